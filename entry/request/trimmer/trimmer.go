// Package trimmer takes from a message's headers those that concern one
// connection only, so that what goes on to the other side is the sender's own.
package trimmer

import (
	"net/http"
	"strings"
)

// hop are the headers that belong to one connection, by RFC 9110, section 7.6.1.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// EndToEndHeaders are the headers that go on to the other side.
func EndToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hop {
		out.Del(name)
	}
	// The bearer token is between the caller and this system.
	out.Del("Authorization")
	return out
}
