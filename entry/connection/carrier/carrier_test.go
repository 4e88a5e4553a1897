package carrier_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/heathervane/heathervane/entry/connection/carrier"
)

// startUpstream starts a listener that runs script on each connection. The connections
// are numbered from 0.
func startUpstream(t *testing.T, script func(n int, c net.Conn, r *bufio.Reader)) (address string, conns *atomic.Int64) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	conns = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(conns.Add(1)) - 1
			go func() {
				defer c.Close()
				script(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String(), conns
}

// respondWith returns a script that responds with the same bytes to every request on a
// connection.
func respondWith(response string) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, response); err != nil {
				return
			}
		}
	}
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

func getRequest() carrier.Request {
	return carrier.Request{Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{"X-A": {"1"}}}
}

// roundTrip sends a request and reads the response body to its end.
func roundTrip(t *testing.T, c *carrier.Carrier, address string, q carrier.Request) (string, error) {
	t.Helper()
	x, failure := c.Send(t.Context(), address, q)
	if failure != nil {
		return "", failure
	}
	defer x.Close()
	data, err := io.ReadAll(x.Body)
	return string(data), err
}

// A path that is cleaned or unescaped in transit may identify another resource.
func TestRequestGoesOnByteForByte(t *testing.T) {
	got := make(chan string, 1)
	address, _ := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		var head strings.Builder
		for {
			line, err := r.ReadString('\n')
			head.WriteString(line)
			if err != nil || line == "\r\n" {
				break
			}
		}
		body := make([]byte, 3)
		io.ReadFull(r, body) //nolint:errcheck // a short body shows below
		got <- head.String() + string(body)
		io.WriteString(c, ok) //nolint:errcheck // the test reads it
	})
	q := carrier.Request{Method: http.MethodPut, Target: "/a//b/../%2f%41?x=%20;y&", Host: "Host.example:80", Header: http.Header{"X-A": {"1", "2"}}, Body: []byte("abc")}
	response, err := roundTrip(t, carrier.New(time.Now), address, q)
	assert.NilError(t, err)
	assert.Equal(t, response, "hi")
	assert.Equal(t, <-got, "PUT /a//b/../%2f%41?x=%20;y& HTTP/1.1\r\nHost: Host.example:80\r\nX-A: 1\r\nX-A: 2\r\nContent-Length: 3\r\n\r\nabc")
}

// An upstream closes a reused connection while a request is in transit. net/http would
// retry a GET by itself, and a booking made with a GET would be made twice.
func TestNothingIsSentTwice(t *testing.T) {
	var requests atomic.Int64
	address, conns := startUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			requests.Add(1)
			if n == 0 && i == 1 {
				return
			}
			io.WriteString(c, ok) //nolint:errcheck // the test reads it
		}
	})
	c := carrier.New(time.Now)
	_, err := roundTrip(t, c, address, getRequest())
	assert.NilError(t, err)
	_, failure := c.Send(t.Context(), address, getRequest())
	assert.Assert(t, failure != nil)
	assert.Assert(t, failure.Sent && failure.Reused)
	assert.Equal(t, requests.Load(), int64(2))
	assert.Equal(t, conns.Load(), int64(1))
}

// A connection may be reused only if the response permits it and nothing follows it:
// extra bytes would be taken for the response to the next request.
func TestConnectionsAreKeptOnlyWhenClean(t *testing.T) {
	tests := []struct {
		name, response string
		fresh          bool
		want           int64
	}{
		{name: "whole", response: ok, want: 1},
		{name: "chunked", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", want: 1},
		{name: "asked to close", response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", want: 2},
		{name: "more than one answer", response: ok + ok, want: 2},
		{name: "stray bytes", response: ok + "x", want: 2},
		{name: "kept for no time", response: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nhi", want: 2},
		{name: "must be fresh", response: ok, fresh: true, want: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, conns := startUpstream(t, respondWith(test.response))
			c := carrier.New(time.Now)
			for range 2 {
				q := getRequest()
				q.NewConnection = test.fresh
				response, err := roundTrip(t, c, address, q)
				assert.NilError(t, err)
				assert.Equal(t, response, "hi")
				time.Sleep(20 * time.Millisecond)
			}
			assert.Equal(t, conns.Load(), test.want)
		})
	}
}

// A request must not be sent on an idle connection that the upstream has closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address, conns := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, ok) //nolint:errcheck // the test reads it
		}
	})
	c := carrier.New(time.Now)
	_, err := roundTrip(t, c, address, getRequest())
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	_, err = roundTrip(t, c, address, getRequest())
	assert.NilError(t, err)
	assert.Equal(t, conns.Load(), int64(2))
}

// A truncated response must be reported as an error, never as a complete response.
func TestCutAnswersAreErrors(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
		"no answer at all\r\n\r\n",
		"",
	} {
		address, _ := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				io.WriteString(c, response) //nolint:errcheck // the test reads it
			}
		})
		_, err := roundTrip(t, carrier.New(time.Now), address, getRequest())
		assert.Assert(t, err != nil, "%q", response)
	}
}

// A response without a length ends when its connection is closed. If the connection is
// reset instead, the response is incomplete.
func TestAnswerWithoutLengthEndsInGoodOrder(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address, _ := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhi") //nolint:errcheck // the test reads it
			if reset {
				time.Sleep(20 * time.Millisecond)
				c.(*net.TCPConn).SetLinger(0) //nolint:errcheck,forcetypeassert // a TCP connection
			}
		})
		response, err := roundTrip(t, carrier.New(time.Now), address, getRequest())
		assert.Equal(t, err != nil, reset)
		assert.Equal(t, response, "hi")
	}
}

// An upstream rejects a long body before it has read it, and stops reading. A client
// that writes the whole request before it reads the response waits until its timeout.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	address, conns := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno") //nolint:errcheck // the test reads it
		time.Sleep(300 * time.Millisecond)
	})
	c := carrier.New(time.Now)
	q := carrier.Request{Method: http.MethodPost, Target: "/", Host: "a", Body: make([]byte, 64<<20)}
	response, err := roundTrip(t, c, address, q)
	assert.NilError(t, err)
	assert.Equal(t, response, "no")
	_, err = roundTrip(t, c, address, getRequest())
	assert.NilError(t, err)
	assert.Equal(t, conns.Load(), int64(2), "the first connection still has a part of the body to send")
}

// When a caller cancels its request, the connection must be closed at once. Otherwise
// the upstream continues to work on a response that is not needed.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := startUpstream(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		r.ReadByte() //nolint:errcheck // returns when the connection ends
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, failure := carrier.New(time.Now).Send(ctx, address, getRequest())
	assert.ErrorIs(t, failure, context.Canceled)
	assert.Assert(t, failure.Sent)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// If the connection is refused, nothing was sent, so the request may be sent to another
// upstream.
func TestRefusedConnectionSentNothing(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	l.Close()
	_, failure := carrier.New(time.Now).Send(t.Context(), address, getRequest())
	assert.Assert(t, failure != nil)
	assert.Assert(t, !failure.Sent)
}

// A broken upstream sends an endless header, which would exhaust the memory of a small
// VM if it were read completely.
func TestEndlessHeadIsCut(t *testing.T) {
	address, _ := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n") //nolint:errcheck // the client closes the connection early
		for {
			if _, err := io.WriteString(c, "X-A: "+strings.Repeat("a", 1000)+"\r\n"); err != nil {
				return
			}
		}
	})
	_, failure := carrier.New(time.Now).Send(t.Context(), address, getRequest())
	assert.ErrorContains(t, failure, "bytes")
}

// Interim (1xx) responses must not be taken for the response. A request to an upstream
// that sends nothing else fails when the context ends.
func TestInterimAnswersAreNone(t *testing.T) {
	address, _ := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") //nolint:errcheck // nothing follows
		r.ReadByte()                                       //nolint:errcheck // returns when the client closes the connection
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, failure := carrier.New(time.Now).Send(ctx, address, getRequest())
	assert.ErrorIs(t, failure, context.DeadlineExceeded)
}

// Idle connections are closed when they expire, so that other VMs can use the
// upstream's connections.
func TestIdleConnectionsAreSwept(t *testing.T) {
	var now atomic.Int64
	now.Store(time.Now().UnixNano())
	gone := make(chan struct{})
	address, _ := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		respondWith(ok)(0, c, r)
		close(gone)
	})
	c := carrier.New(func() time.Time { return time.Unix(0, now.Load()) })
	_, err := roundTrip(t, c, address, getRequest())
	assert.NilError(t, err)
	c.CloseExpired()
	now.Add(int64(10 * time.Second))
	c.CloseExpired()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case <-gone:
			return poll.Success()
		default:
			return poll.Continue("still open")
		}
	})
	assert.Equal(t, c.Dials(), int64(1))
}

// The network path from this VM to an upstream drops packets silently. Other VMs still
// reach the upstream, so it is not marked as failed, and each idle connection would
// stall one more request.
func TestDroppedAddressIsDialledAnew(t *testing.T) {
	address, _ := startUpstream(t, respondWith(ok))
	c := carrier.New(time.Now)
	for range 2 {
		_, err := roundTrip(t, c, address, getRequest())
		assert.NilError(t, err)
	}
	assert.Equal(t, c.Dials(), int64(1))
	c.CloseIdle(address)
	_, err := roundTrip(t, c, address, getRequest())
	assert.NilError(t, err)
	assert.Equal(t, c.Dials(), int64(2))
}

// If many VMs each keep the default number of idle connections, they use up all the
// connections that a small service accepts, and its requests are reset.
func TestNoMoreIdleConnectionsAreKeptThanAllowed(t *testing.T) {
	for idle, dials := range map[int]int64{0: 2, 1: 3, -1: 4} {
		address, conns := startUpstream(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		c := carrier.New(time.Now)
		for range 2 {
			var open []*carrier.Exchange
			for range 2 {
				x, failure := c.Send(t.Context(), address, carrier.Request{Method: http.MethodGet, Target: "/", Host: "h", MaxIdle: idle})
				assert.Assert(t, failure == nil, "%v", failure)
				open = append(open, x)
			}
			for _, x := range open {
				_, err := io.Copy(io.Discard, x.Body)
				assert.NilError(t, err)
				x.Close()
			}
		}
		assert.Equal(t, conns.Load(), dials, "with %d idle connections", idle)
	}
}

// An upstream announces that it is leaving while a connection to it is being opened. The
// request that waits for the connection must not be sent there.
func TestRequestIsWithheldIfItMayNoLongerBeSent(t *testing.T) {
	received := &atomic.Int64{}
	address, conns := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := r.ReadByte(); err == nil {
			received.Add(1)
		}
		c.Close()
	})
	q := getRequest()
	q.MaySend = func() bool { return false }
	_, failure := carrier.New(time.Now).Send(t.Context(), address, q)
	assert.ErrorIs(t, failure, carrier.ErrWithheld)
	assert.Assert(t, !failure.Sent)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if conns.Load() == 1 {
			return poll.Success()
		}
		return poll.Continue("no connection was opened")
	})
	assert.Equal(t, received.Load(), int64(0))
}

// An upstream reads a long request slowly. Whoever waits for its response must be able to
// tell that it has not received the whole request yet.
func TestWrittenFollowsTheUpstreamsReading(t *testing.T) {
	var written atomic.Bool
	early := make(chan bool, 1)
	address, _ := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
		early <- written.Load()
		if _, err := io.Copy(io.Discard, q.Body); err == nil {
			io.WriteString(c, ok) //nolint:errcheck // the test reads it
		}
	})
	q := carrier.Request{Method: http.MethodPost, Target: "/", Host: "a", Body: make([]byte, 16<<20), Written: func() { written.Store(true) }}
	response, err := roundTrip(t, carrier.New(time.Now), address, q)
	assert.NilError(t, err)
	assert.Equal(t, response, "hi")
	assert.Assert(t, !<-early, "most of the request was not read")
	assert.Assert(t, written.Load())
}
