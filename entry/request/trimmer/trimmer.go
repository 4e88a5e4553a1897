// Package trimmer removes hop-by-hop headers from messages that are forwarded.
package trimmer

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to a single connection, as in RFC 9110,
// section 7.6.1.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// EndToEndHeaders returns a copy of h without the hop-by-hop headers, those that
// its Connection header names included, and without Authorization.
func EndToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	// The bearer token is meant for this system only and is not forwarded.
	out.Del("Authorization")
	return out
}
