package carrier_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/connection/carrier"
)

// uploadBytes is the length of an upload that no socket buffers hold completely.
const uploadBytes = 16 << 20

// resetConn resets a connection once what was written to it has been received.
func resetConn(c net.Conn) {
	time.Sleep(20 * time.Millisecond)
	c.(*net.TCPConn).SetLinger(0) //nolint:errcheck,forcetypeassert // a TCP connection
	c.Close()
}

// An upstream ends a response without a length before it has read the upload. Only one that it
// still reads may be taken for complete, whoever notices the end of the connection first.
func TestUnframedResponseDuringAnUpload(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\n\r\nhi"
	tests := []struct {
		name string
		end  func(c net.Conn, q *http.Request)
		// delay is the time before the response is read.
		delay    time.Duration
		complete bool
	}{
		{name: "reset noticed by the writer", end: func(c net.Conn, _ *http.Request) { resetConn(c) }, delay: 100 * time.Millisecond},
		{name: "reset noticed by the reader or the writer", end: func(c net.Conn, _ *http.Request) { resetConn(c) }},
		{name: "closed", end: func(c net.Conn, _ *http.Request) { c.Close() }, delay: 100 * time.Millisecond},
		{name: "half-closed and reset", end: func(c net.Conn, _ *http.Request) {
			c.(*net.TCPConn).CloseWrite() //nolint:errcheck,forcetypeassert // a TCP connection
			resetConn(c)
		}},
		{name: "half-closed, upload read", complete: true, end: func(c net.Conn, q *http.Request) {
			c.(*net.TCPConn).CloseWrite() //nolint:errcheck,forcetypeassert // a TCP connection
			io.Copy(io.Discard, q.Body)   //nolint:errcheck // a failure shows in the response
		}},
		{name: "upload read, closed", complete: true, end: func(_ net.Conn, q *http.Request) {
			io.Copy(io.Discard, q.Body) //nolint:errcheck // a failure shows in the response
		}},
	}
	for _, test := range tests {
		for _, reused := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				address, conns := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
					for {
						q, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						if q.Method == http.MethodGet {
							io.WriteString(c, ok) //nolint:errcheck // the test reads it
							continue
						}
						io.WriteString(c, response) //nolint:errcheck // the test reads it
						test.end(c, q)
						return
					}
				})
				c := carrier.New(time.Now)
				if reused {
					_, err := roundTrip(t, c, address, getRequest())
					assert.NilError(t, err)
				}
				x, failure := c.Send(t.Context(), address, carrier.Request{Method: http.MethodPost, Target: "/", Host: "a", Body: make([]byte, uploadBytes)})
				if failure != nil {
					assert.Assert(t, !test.complete && failure.Sent, "%v", failure)
					return
				}
				defer x.Close()
				time.Sleep(test.delay)
				data, err := io.ReadAll(x.Body)
				assert.Equal(t, err == nil, test.complete, "%q %v", data, err)
				if test.complete {
					assert.Equal(t, string(data), "hi")
				}
				assert.Equal(t, conns.Load(), int64(1))
			})
		}
	}
}

// An upstream answers with a length before it has read the upload, and closes the connection.
// The response is complete whatever becomes of the upload.
func TestResponseWithLengthDuringAnUpload(t *testing.T) {
	for _, response := range []string{
		ok,
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	} {
		address, _ := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				io.WriteString(c, response) //nolint:errcheck // the test reads it
				resetConn(c)
			}
		})
		data, err := roundTrip(t, carrier.New(time.Now), address, carrier.Request{Method: http.MethodPost, Target: "/", Host: "a", Body: make([]byte, uploadBytes)})
		assert.NilError(t, err, "%q", response)
		assert.Equal(t, data, "hi")
	}
}

// respondOnceWith returns a script that sends the same bytes to the first request on a connection,
// and closes it.
func respondOnceWith(response string) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, response) //nolint:errcheck // the test reads it
		}
	}
}

// receiveOnce sends a request to an upstream that sends response and closes the connection. It returns
// the body.
func receiveOnce(t *testing.T, response string) (string, error) {
	t.Helper()
	address, _ := startUpstream(t, respondOnceWith(response))
	return roundTrip(t, carrier.New(time.Now), address, getRequest())
}

// A faulty upstream sends a status that HTTP does not have. It must not be taken for a response,
// whose status could be passed on.
func TestInvalidStatusIsAnError(t *testing.T) {
	for _, status := range []string{
		"000", "001", "099", "600", "999", "-20", "+20", "-200", "+200", "0200", "2000", "20", "2", "", "2 0", "20 0", " 200", "  200", "20x", "0x1", "２００", "2\x000", "\t200",
	} {
		for _, begin := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
			_, err := receiveOnce(t, begin+"HTTP/1.1 "+status+" OK\r\nContent-Length: 2\r\n\r\nhi")
			assert.Check(t, err != nil, "%q", begin+status)
		}
	}
}

// All statuses that HTTP has are passed on.
func TestValidStatusIsNoError(t *testing.T) {
	for _, status := range []string{"200 OK", "200 ", "200", "299 x", "404 Not\tFound", "500 \xe4", "599 x"} {
		data, err := receiveOnce(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nhi")
		assert.NilError(t, err, "%q", status)
		assert.Equal(t, data, "hi")
	}
}

// A faulty upstream sends a field whose name has a blank or a control byte. The line must not be
// passed on, nor be taken for no framing, which would change the body.
func TestInvalidFieldNameIsAnError(t *testing.T) {
	names := []string{
		" X-A", "\tX-A", "X A", "X\tA", "X-A ", "X-A\t", "", " ", "X\x00A", "\x01X-A", "X-A\x1f", "X\x7fA", "X\rA", "\rX-A", "X-A\r", "X\x80", "X(A", "X/A", "X\"A", "{X}",
		" Content-Length", "Content-Length ", "Content-Length\t", "Content Length", "Content\x01Length", "Content-Length\x00", "Transfer-Encoding ", " Transfer-Encoding", "Transfer Encoding", "Transfer-Encoding\x0b",
	}
	for _, name := range names {
		value, body := "2", "hi"
		if strings.Contains(name, "Transfer") {
			value, body = "chunked", "2\r\nhi\r\n0\r\n\r\n"
		}
		for _, response := range []string{
			"HTTP/1.1 200 OK\r\n" + name + ": " + value + "\r\nX-B: b\r\n\r\n" + body,
			"HTTP/1.1 200 OK\r\nX-B: b\r\n" + name + ": " + value + "\r\n\r\n" + body,
			"HTTP/1.1 103 Hints\r\nX-B: b\r\n" + name + ": " + value + "\r\n\r\n" + ok,
		} {
			_, err := receiveOnce(t, response)
			assert.Check(t, err != nil, "%q", response)
		}
	}
}

// A faulty upstream sends a trailer field with an invalid name. The response must not look complete.
func TestInvalidTrailerNameIsAnError(t *testing.T) {
	for _, name := range []string{"X A", "X-A ", "X\x01A", "X-A\t", ""} {
		_, err := receiveOnce(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-B: b\r\n"+name+": a\r\n\r\n")
		assert.Check(t, err != nil, "%q", name)
	}
}

// A line without a colon, and control bytes elsewhere in a head, are no HTTP either.
func TestInvalidLineIsAnError(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nX-A\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nX-A: \x00\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nX-A: a\rb\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nX-A: a\r\n folded\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\rhi",
		"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.10 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		"http/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		" HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		"\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
	} {
		_, err := receiveOnce(t, response)
		assert.Check(t, err != nil, "%q", response)
	}
}

// An upstream stops in the middle of a head, and closes or resets the connection. What came must
// not be taken for a response, whose body would be empty or short, and the error must say that
// the connection was lost: the upstream may have crashed.
func TestHeadCutAfterEachByteIsALostConnection(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-A: a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 204 No\r\nX-A: a\r\n\r\n",
		"HTTP/1.1 200\n\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nX-A: a\r\n\r\n",
	} {
		for n := range len(head) {
			for _, reset := range []bool{false, true} {
				address, _ := startUpstream(t, func(i int, c net.Conn, r *bufio.Reader) {
					respondOnceWith(head[:n])(i, c, r)
					if reset {
						resetConn(c)
					}
				})
				_, failure := carrier.New(time.Now).Send(t.Context(), address, getRequest())
				assert.Assert(t, failure != nil && failure.Sent, "%q", head[:n])
				want := io.ErrUnexpectedEOF
				if reset {
					want = syscall.ECONNRESET
				}
				assert.Check(t, errors.Is(failure, want), "%q: %v", head[:n], failure)
			}
		}
	}
}

// The same for a body in chunks and its trailer.
func TestChunksCutAfterEachByteAreAnError(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nhi\r\n0\r\nX-A: a\r\n\r\n"
	for n := range len(body) {
		_, err := receiveOnce(t, head+body[:n])
		assert.Check(t, err != nil, "%q", body[:n])
	}
}

// An upstream of HTTP/1.0 cannot send chunks. A response that states them all the same must not be
// taken for one that ends with its connection, with the sizes of the chunks in its body.
func TestChunksInHTTP10AreAnError(t *testing.T) {
	for _, name := range []string{"Transfer-Encoding", "transfer-encoding", "TRANSFER-ENCODING"} {
		for _, more := range []string{"", "Content-Length: 2\r\n", "X-Transfer-Encoding: a\r\n"} {
			data, err := receiveOnce(t, "HTTP/1.0 200 OK\r\n"+name+": chunked\r\n"+more+"\r\n2\r\nhi\r\n0\r\n\r\n")
			assert.Check(t, err != nil, "%s %q: %q", name, more, data)
		}
	}
	data, err := receiveOnce(t, "HTTP/1.0 200 OK\r\nX-Transfer-Encoding: a\r\nTransfer-Encodings: b\r\nTransfer: c\r\n\r\nhi")
	assert.NilError(t, err)
	assert.Equal(t, data, "hi")
}

// A connection that is kept belongs to the next request. Closing the earlier exchange again must not
// end it.
func TestExchangeClosedTwiceKeepsItsConnection(t *testing.T) {
	const length = 4 << 20
	address, _ := startUpstream(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(length)+"\r\n\r\n"+strings.Repeat("x", length)))
	c := carrier.New(time.Now)
	send := func() *carrier.Exchange {
		x, failure := c.Send(t.Context(), address, getRequest())
		assert.Assert(t, failure == nil, "%v", failure)
		return x
	}
	var first *carrier.Exchange
	second := send()
	for !second.Reused {
		// A connection is not kept where the writer of a request is scheduled late.
		_, err := io.Copy(io.Discard, second.Body)
		assert.NilError(t, err)
		second.Close()
		first, second = second, send()
	}
	defer second.Close()
	first.Close()
	n, err := io.Copy(io.Discard, second.Body)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(length))
}

// What states its framing in a way that HTTP does not have is no response either.
func TestInvalidFramingIsAnError(t *testing.T) {
	for _, rest := range []string{
		"Transfer-Encoding: gzip\r\n\r\nhi",
		"Transfer-Encoding: identity\r\n\r\nhi",
		"Transfer-Encoding: chunked, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
		"Content-Length: 2, 2\r\n\r\nhi",
		"Content-Length: +2\r\n\r\nhi",
		"Content-Length: -1\r\n\r\nhi",
		"Content-Length: 0x2\r\n\r\nhi",
		"Content-Length: 2 2\r\n\r\nhi",
		"Content-Length:\r\n\r\nhi",
		"Content-Length: 99999999999999999999\r\n\r\nhi",
		"Transfer-Encoding: chunked\r\n\r\n2\nhi\n0\n\n",
		"Transfer-Encoding: chunked\r\n\r\n+2\r\nhi\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n2\r\nhi!\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n10000000000000002\r\nhi\r\n0\r\n\r\n",
	} {
		data, err := receiveOnce(t, "HTTP/1.1 200 OK\r\n"+rest)
		assert.Check(t, err != nil, "%q: %q", rest, data)
	}
}
