package passer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/bounder"
	"github.com/heathervane/heathervane/entry/request/authenticator"
	"github.com/heathervane/heathervane/entry/request/reader"
)

// uploadBytes is the length of an upload that the buffers of a connection do not hold completely.
const uploadBytes = 16 << 20

// newProxyForUploads returns a Proxy that accepts long uploads, for a service that answers each call with
// the same bytes and closes the connection. With early set it has not read the upload then, so
// that the connection is reset.
func newProxyForUploads(t *testing.T, answer string, early bool) *httptest.Server {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if !early {
			io.Copy(io.Discard, q.Body) //nolint:errcheck // a failure shows in the answer
		}
		io.WriteString(c, answer) //nolint:errcheck // the proxy may have left
		if early {
			time.Sleep(10 * time.Millisecond)
		}
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go serve(c)
		}
	}()
	bodies := &reader.Reader{MaxBytes: uploadBytes, Budget: bounder.New(4 * uploadBytes), Timeout: 5 * time.Second}
	return newProxyWithReader(t, l.Addr().String(), fakeAcquirer{}, bodies)
}

// sendUpload sends a call with a long upload, and a time limit that a busy machine does not exceed.
func sendUpload(t *testing.T, s *httptest.Server) response {
	t.Helper()
	return send(t, s, http.MethodPost, "/services/booking/seats", strings.Repeat("x", uploadBytes), authenticator.TimeoutHeader, "10")
}

// A service resets the connection during the upload, after a part of an answer without a length.
// The caller must not get the part as a complete answer.
func TestAnswerCutOffDuringAnUpload(t *testing.T) {
	s := newProxyForUploads(t, "HTTP/1.1 200 OK\r\n\r\npart", true)
	for range 10 {
		got := sendUpload(t, s)
		assert.Equal(t, got.status, http.StatusBadGateway, got.body)
		assert.Equal(t, got.header.Get("Heathervane-Ran"), "unknown")
	}
}

// Answers that state their length, or whose upload was read, are complete. They must reach the
// caller also if the service closes the connection right after them.
func TestSoundAnswersToUploads(t *testing.T) {
	for name, service := range map[string]struct {
		answer string
		early  bool
		status int
	}{
		"early, with a length":          {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", true, http.StatusOK},
		"early rejection with a length": {"HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\ndone", true, http.StatusRequestEntityTooLarge},
		"without a length, upload read": {"HTTP/1.1 200 OK\r\n\r\ndone", false, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			s := newProxyForUploads(t, service.answer, service.early)
			for range 4 {
				got := sendUpload(t, s)
				assert.Equal(t, got.status, service.status, got.body)
				assert.Equal(t, got.body, "done")
			}
		})
	}
}

// A service in trouble sends a malformed answer. The caller must learn that the call may have run.
func TestMalformedAnswersReachNoCaller(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 No\r\nContent-Length: 6\r\n\r\nbroken",
		"HTTP/1.1 600 No\r\nContent-Length: 6\r\n\r\nbroken",
		"HTTP/1.1 200 OK\r\nX A: a\r\nContent-Length: 6\r\n\r\nbroken",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
	} {
		s := newProxyForUploads(t, answer, false)
		got := send(t, s, http.MethodPost, "/services/booking/seats", "x")
		assert.Equal(t, got.status, http.StatusBadGateway, "%q: %s", answer, got.body)
		assert.Equal(t, got.header.Get("Heathervane-Ran"), "unknown")
	}
}
