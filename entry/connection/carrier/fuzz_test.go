package carrier_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/connection/carrier"
)

// A received response is what a caller would get; broken if it is not complete.
type receivedResponse struct {
	exchange *carrier.Exchange
	body     []byte
	broken   bool
}

// receive sends a request to an upstream that sends data and closes the connection.
func receive(t *testing.T, l net.Listener, data []byte) receivedResponse {
	t.Helper()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, 1<<10)); err == nil {
			c.Write(data) //nolint:errcheck // the carrier may have left
		}
	}()
	x, failure := carrier.New(time.Now).Send(t.Context(), l.Addr().String(), getRequest())
	if failure != nil {
		return receivedResponse{broken: true}
	}
	defer x.Close()
	body, err := io.ReadAll(x.Body)
	return receivedResponse{x, body, err != nil}
}

// What an upstream sends, whatever it is, must be refused or be a response in HTTP/1.1, and a part of
// a response with a length or in chunks must not be taken for a whole one.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		ok,
		"HTTP/1.1 200\n\nhi",
		"HTTP/1.0 200 OK\r\nX-A: a\r\n\r\nhi",
		"HTTP/1.1 000 No\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1  200 OK\r\nContent-Length : 2\r\n\r\nhi",
		"HTTP/1.1 204 No\r\nTransfer-Encoding : chunked\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nX A: a\r\n\r\nHTTP/1.1 304 No\r\nContent-Length: 7\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nhi\r\n0\r\nX-A: a\r\n b\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
		"HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n\x00\x01",
	} {
		f.Add([]byte(seed))
	}
	l, err := (&net.ListenConfig{}).Listen(f.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	f.Cleanup(func() { l.Close() })
	f.Fuzz(func(t *testing.T, data []byte) {
		whole := receive(t, l, data)
		if whole.broken {
			return
		}
		x := whole.exchange
		assert.Assert(t, http.StatusOK <= x.Status && x.Status <= 599, "status %d", x.Status)
		for name, values := range x.Header {
			assert.Assert(t, isToken(name), "name %q", name)
			assert.Assert(t, !strings.ContainsFunc(strings.Join(values, ""), isControl), "values %q", values)
		}
		if x.IsUnframed() && len(whole.body) > 0 {
			assert.Assert(t, bytes.HasSuffix(data, whole.body))
			return
		}
		if x.Length() >= 0 && x.Status != http.StatusNotModified {
			assert.Equal(t, int64(len(whole.body)), x.Length())
		}
		if cut := receive(t, l, data[:len(data)-1]); !cut.broken && !x.IsUnframed() {
			assert.DeepEqual(t, cut.body, whole.body)
		}
	})
}

func isControl(r rune) bool { return r != '\t' && (r < ' ' || r == 0x7f) }

// isToken reports whether a name is a token of RFC 9110, section 5.6.2, in the canonical form of net/http.
func isToken(name string) bool {
	const separators = "()<>@,;:\\\"/[]?={} "
	return name != "" && name == textproto.CanonicalMIMEHeaderKey(name) &&
		!strings.ContainsFunc(name, func(r rune) bool { return r > '~' || isControl(r) || r == '\t' || strings.ContainsRune(separators, r) })
}
