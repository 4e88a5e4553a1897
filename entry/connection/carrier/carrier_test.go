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

// An upstream is a listener that hands each connection to a script, with the
// connection's number from 0.
func upstream(t *testing.T, script func(n int, c net.Conn, r *bufio.Reader)) (address string, conns *atomic.Int64) {
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

// serve answers every request on a connection with the same bytes.
func serve(answer string) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
		}
	}
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

func get() carrier.Request {
	return carrier.Request{Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{"X-A": {"1"}}}
}

// whole sends a request and reads its answer to the end.
func whole(t *testing.T, c *carrier.Carrier, address string, q carrier.Request) (string, error) {
	t.Helper()
	x, failure := c.Send(t.Context(), address, q)
	if failure != nil {
		return "", failure
	}
	defer x.Close()
	data, err := io.ReadAll(x.Body)
	return string(data), err
}

// A path that is cleaned or unescaped on its way asks for something else than
// the caller did.
func TestRequestGoesOnByteForByte(t *testing.T) {
	got := make(chan string, 1)
	address, _ := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
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
	answer, err := whole(t, carrier.New(time.Now), address, q)
	assert.NilError(t, err)
	assert.Equal(t, answer, "hi")
	assert.Equal(t, <-got, "PUT /a//b/../%2f%41?x=%20;y& HTTP/1.1\r\nHost: Host.example:80\r\nX-A: 1\r\nX-A: 2\r\nContent-Length: 3\r\n\r\nabc")
}

// An upstream closes a kept connection while a request is on its way. net/http
// would send a GET again by itself, and a booking that is a GET would be made
// twice.
func TestNothingIsSentTwice(t *testing.T) {
	var requests atomic.Int64
	address, conns := upstream(t, func(n int, c net.Conn, r *bufio.Reader) {
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
	_, err := whole(t, c, address, get())
	assert.NilError(t, err)
	_, failure := c.Send(t.Context(), address, get())
	assert.Assert(t, failure != nil)
	assert.Assert(t, failure.Sent && failure.Reused)
	assert.Equal(t, requests.Load(), int64(2))
	assert.Equal(t, conns.Load(), int64(1))
}

// Connections are kept where the answer allows it, and only there: what comes
// after an answer would be taken for the next request's.
func TestConnectionsAreKeptOnlyWhenClean(t *testing.T) {
	tests := []struct {
		name, answer string
		fresh        bool
		want         int64
	}{
		{name: "whole", answer: ok, want: 1},
		{name: "chunked", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", want: 1},
		{name: "asked to close", answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", want: 2},
		{name: "more than one answer", answer: ok + ok, want: 2},
		{name: "stray bytes", answer: ok + "x", want: 2},
		{name: "kept for no time", answer: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nhi", want: 2},
		{name: "must be fresh", answer: ok, fresh: true, want: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, conns := upstream(t, serve(test.answer))
			c := carrier.New(time.Now)
			for range 2 {
				q := get()
				q.NewConnection = test.fresh
				answer, err := whole(t, c, address, q)
				assert.NilError(t, err)
				assert.Equal(t, answer, "hi")
				time.Sleep(20 * time.Millisecond)
			}
			assert.Equal(t, conns.Load(), test.want)
		})
	}
}

// An upstream drops an idle connection without a word. The next request must not
// be spent on it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address, conns := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, ok) //nolint:errcheck // the test reads it
		}
	})
	c := carrier.New(time.Now)
	_, err := whole(t, c, address, get())
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	_, err = whole(t, c, address, get())
	assert.NilError(t, err)
	assert.Equal(t, conns.Load(), int64(2))
}

// Half an answer must never look like a whole one.
func TestCutAnswersAreErrors(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
		"no answer at all\r\n\r\n",
		"",
	} {
		address, _ := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				io.WriteString(c, answer) //nolint:errcheck // the test reads it
			}
		})
		_, err := whole(t, carrier.New(time.Now), address, get())
		assert.Assert(t, err != nil, "%q", answer)
	}
}

// An answer without a length ends with its connection; one that is reset on the
// way is not whole.
func TestAnswerWithoutLengthEndsInGoodOrder(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address, _ := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhi") //nolint:errcheck // the test reads it
			if reset {
				time.Sleep(20 * time.Millisecond)
				c.(*net.TCPConn).SetLinger(0) //nolint:errcheck,forcetypeassert // a TCP connection
			}
		})
		answer, err := whole(t, carrier.New(time.Now), address, get())
		assert.Equal(t, err != nil, reset)
		assert.Equal(t, answer, "hi")
	}
}

// An upstream rejects a long body before it has read it, and reads no more. Who
// writes all before reading waits until the time limit.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	address, conns := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno") //nolint:errcheck // the test reads it
		time.Sleep(300 * time.Millisecond)
	})
	c := carrier.New(time.Now)
	q := carrier.Request{Method: http.MethodPost, Target: "/", Host: "a", Body: make([]byte, 64<<20)}
	answer, err := whole(t, c, address, q)
	assert.NilError(t, err)
	assert.Equal(t, answer, "no")
	_, err = whole(t, c, address, get())
	assert.NilError(t, err)
	assert.Equal(t, conns.Load(), int64(2), "the rest of the body is still due on the first")
}

// A caller leaves: its upstream must learn it at once by the connection's end,
// or it works on for nobody.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := upstream(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		r.ReadByte() //nolint:errcheck // its end is what counts
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, failure := carrier.New(time.Now).Send(ctx, address, get())
	assert.ErrorIs(t, failure, context.Canceled)
	assert.Assert(t, failure.Sent)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// Nobody listens: nothing can have been sent, and the request may go elsewhere.
func TestRefusedConnectionSentNothing(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	l.Close()
	_, failure := carrier.New(time.Now).Send(t.Context(), address, get())
	assert.Assert(t, failure != nil)
	assert.Assert(t, !failure.Sent)
}

// A broken upstream sends a head without end; read whole, it would exhaust a
// small VM's memory.
func TestEndlessHeadIsCut(t *testing.T) {
	address, _ := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n") //nolint:errcheck // cut before its end
		for {
			if _, err := io.WriteString(c, "X-A: "+strings.Repeat("a", 1000)+"\r\n"); err != nil {
				return
			}
		}
	})
	_, failure := carrier.New(time.Now).Send(t.Context(), address, get())
	assert.ErrorContains(t, failure, "bytes")
}

// Interim answers are no answer; an upstream that sends nothing else is silent,
// and given up when the context ends.
func TestInterimAnswersAreNone(t *testing.T) {
	address, _ := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") //nolint:errcheck // nothing follows
		r.ReadByte()                                       //nolint:errcheck // until the other side ends
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, failure := carrier.New(time.Now).Send(ctx, address, get())
	assert.ErrorIs(t, failure, context.DeadlineExceeded)
}

// Idle connections end with their time, so that an upstream's connections are
// there for other VMs.
func TestIdleConnectionsAreSwept(t *testing.T) {
	var now atomic.Int64
	now.Store(time.Now().UnixNano())
	gone := make(chan struct{})
	address, _ := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		serve(ok)(0, c, r)
		close(gone)
	})
	c := carrier.New(func() time.Time { return time.Unix(0, now.Load()) })
	_, err := whole(t, c, address, get())
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

// The way to an upstream is cut without a word, on this VM's side only. Others
// get its answers, so that it is not blamed, and each kept connection would cost
// a caller its patience until none is left.
func TestDroppedAddressIsDialledAnew(t *testing.T) {
	address, _ := upstream(t, serve(ok))
	c := carrier.New(time.Now)
	for range 2 {
		_, err := whole(t, c, address, get())
		assert.NilError(t, err)
	}
	assert.Equal(t, c.Dials(), int64(1))
	c.CloseIdle(address)
	_, err := whole(t, c, address, get())
	assert.NilError(t, err)
	assert.Equal(t, c.Dials(), int64(2))
}

// Many VMs that keep the usual number of idle connections each take all that a small
// service accepts, and its requests are reset.
func TestNoMoreIdleConnectionsAreKeptThanAllowed(t *testing.T) {
	for idle, dials := range map[int]int64{0: 2, 1: 3, -1: 4} {
		address, conns := upstream(t, serve("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
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
