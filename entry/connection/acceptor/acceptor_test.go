package acceptor_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/heathervane/heathervane/entry/connection/acceptor"
	"github.com/heathervane/heathervane/entry/connection/shedder"
	"github.com/heathervane/heathervane/entry/process/meter"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

func start(t *testing.T, h http.Handler) (*acceptor.Acceptor, string) {
	t.Helper()
	return startWith(t, h, 1000)
}

func startWith(t *testing.T, h http.Handler, maxConns int) (*acceptor.Acceptor, string) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := acceptor.New(l, h, maxConns, time.Now, meter.New(), zerolog.Nop())
	go a.Run()
	t.Cleanup(func() { assert.Check(t, a.Shutdown(context.Background())) })
	return a, l.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func get(t *testing.T, c net.Conn, r *bufio.Reader, header string) int {
	t.Helper()
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: a\r\n%s\r\n", header)
	reply, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	defer reply.Body.Close()
	_, err = io.Copy(io.Discard, reply.Body)
	assert.NilError(t, err)
	return reply.StatusCode
}

var ok = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })

// The limits change while callers are connected. Open connections must not be closed and
// keep the old limits; new connections get the new limits.
func TestLimitsChangeForNewConnectionsOnly(t *testing.T) {
	a, address := start(t, ok)
	a.SetLimits(matcher.Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	old, oldReader := dial(t, address)
	long := "X-A: " + strings.Repeat("a", 10<<10) + "\r\n"
	assert.Equal(t, get(t, old, oldReader, long), http.StatusOK)
	a.SetLimits(matcher.Limits{MaxHeaderBytes: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	assert.Equal(t, get(t, old, oldReader, long), http.StatusOK)
	fresh, freshReader := dial(t, address)
	assert.Equal(t, get(t, fresh, freshReader, long), http.StatusRequestHeaderFieldsTooLarge)
}

// A client that sends an incomplete request header must not hold a connection forever.
func TestHalfARequestEndsAtItsTime(t *testing.T) {
	a, address := start(t, ok)
	a.SetLimits(matcher.Limits{MaxHeaderBytes: 1 << 10, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Minute})
	c, r := dial(t, address)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost")
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := io.ReadAll(r)
	assert.NilError(t, err, "the connection must end")
}

// Shutdown must wait for the requests in progress on connections of all sets of limits.
func TestShutdownWaitsForRequests(t *testing.T) {
	begun, end := make(chan struct{}, 2), make(chan struct{})
	a, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-end
		w.WriteHeader(http.StatusOK)
	}))
	statuses := make(chan int, 2)
	for i := range 2 {
		c, r := dial(t, address)
		go func() { statuses <- get(t, c, r, "") }()
		<-begun
		a.SetLimits(matcher.Limits{MaxHeaderBytes: int64(1+i) << 10})
	}
	stopped := make(chan error, 1)
	go func() { stopped <- a.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(stopped), 0)
	close(end)
	assert.NilError(t, <-stopped)
	assert.Equal(t, <-statuses, http.StatusOK)
	assert.Equal(t, <-statuses, http.StatusOK)
}

// hang serves requests with the header X-Wait once end is closed, and others at once.
func hang(begun chan<- struct{}, end <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get("X-Wait") != "" {
			begun <- struct{}{}
			<-end
		}
		w.WriteHeader(http.StatusOK)
	})
}

// The limits have changed, and a request is in progress on a connection with the old ones. If
// the idle connections with the newer ones stay open until it ends, a VM that stops takes
// requests on them that it cannot finish.
func TestShutdownClosesIdleConnectionsOfAllLimits(t *testing.T) {
	begun, end := make(chan struct{}, 1), make(chan struct{})
	a, address := start(t, hang(begun, end))
	release := sync.OnceFunc(func() { close(end) })
	t.Cleanup(release)
	statuses := make(chan int, 1)
	busy, busyReader := dial(t, address)
	go func() { statuses <- get(t, busy, busyReader, "X-Wait: 1\r\n") }()
	<-begun
	var idle []net.Conn
	for i := range 3 {
		a.SetLimits(matcher.Limits{MaxHeaderBytes: int64(1000 + i), HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
		c, r := dial(t, address)
		assert.Equal(t, get(t, c, r, ""), http.StatusOK)
		idle = append(idle, c)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- a.Shutdown(context.Background()) }()
	for i, c := range idle {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err := c.Read(make([]byte, 1))
		assert.Check(t, errors.Is(err, io.EOF), "idle connection %d: %v", i, err)
	}
	release()
	assert.Equal(t, <-statuses, http.StatusOK)
	assert.NilError(t, <-stopped)
}

// The limits change while a VM stops. Requests on connections with the new ones would be cut
// off if the shutdown did not wait for them.
func TestShutdownWaitsForRequestsAfterAChangeOfLimits(t *testing.T) {
	for _, drain := range []bool{false, true} {
		t.Run(fmt.Sprintf("drained first: %t", drain), func(t *testing.T) {
			begun, end := make(chan struct{}, 2), make(chan struct{})
			a, address := start(t, hang(begun, end))
			release := sync.OnceFunc(func() { close(end) })
			t.Cleanup(release)
			if drain {
				a.Drain()
			}
			statuses := make(chan int, 2)
			for i := range 2 {
				a.SetLimits(matcher.Limits{MaxHeaderBytes: int64(1000 + i), HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
				c, r := dial(t, address)
				go func() { statuses <- get(t, c, r, "X-Wait: 1\r\n") }()
				<-begun
			}
			stopped := make(chan error, 1)
			go func() { stopped <- a.Shutdown(context.Background()) }()
			time.Sleep(50 * time.Millisecond)
			a.SetLimits(matcher.Limits{MaxHeaderBytes: 2000, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
			assert.Equal(t, len(stopped), 0)
			release()
			assert.NilError(t, <-stopped)
			assert.Equal(t, <-statuses, http.StatusOK)
			assert.Equal(t, <-statuses, http.StatusOK)
		})
	}
}

// Drain closes the connections that callers keep, so that they do not send on them, and takes
// new ones, each for one request.
func TestDrainKeepsNoConnection(t *testing.T) {
	a, address := start(t, ok)
	kept, keptReader := dial(t, address)
	assert.Equal(t, get(t, kept, keptReader, ""), http.StatusOK)
	a.Drain()
	fresh, freshReader := dial(t, address)
	assert.Equal(t, get(t, fresh, freshReader, ""), http.StatusOK)
	for _, c := range []net.Conn{kept, fresh} {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err := c.Read(make([]byte, 1))
		assert.Check(t, errors.Is(err, io.EOF), "%v", err)
	}
}

// Callers open connections and leave them idle, or send an incomplete request on each.
// Without a limit they would use up the file descriptors, and no request could be sent to
// an upstream. The connections that have waited longest must be closed, but none that
// serves a request.
func TestIdleAndHalfSentConnectionsGiveWay(t *testing.T) {
	const maxConns = 20
	begun, end := make(chan struct{}, 1), make(chan struct{})
	_, address := startWith(t, hang(begun, end), maxConns)
	release := sync.OnceFunc(func() { close(end) })
	t.Cleanup(release)
	busy, busyReader := dial(t, address)
	statuses := make(chan int, 1)
	go func() { statuses <- get(t, busy, busyReader, "X-Wait: 1\r\n") }()
	<-begun
	var idle []net.Conn
	began := time.Now()
	for i := range 10 * maxConns {
		c, _ := dial(t, address)
		idle = append(idle, c)
		if i%2 == 0 {
			fmt.Fprint(c, "GET / HTTP/1.1\r\nHost")
		}
	}
	last, lastReader := dial(t, address)
	assert.Equal(t, get(t, last, lastReader, ""), http.StatusOK)
	assert.Assert(t, time.Since(began) < 5*time.Second, "a caller had to wait for connections without a request")
	still := 0
	for _, c := range idle {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			still++
		}
	}
	assert.Assert(t, still <= maxConns-2, "%d connections are open besides the two that sent a request", still)
	release()
	assert.Equal(t, <-statuses, http.StatusOK)
}

// Each new version of the configuration may change the limits. If the servers of old
// limits were not closed, they would eventually exhaust the VM's memory.
func TestServersOfOldLimitsEnd(t *testing.T) {
	a, address := start(t, ok)
	before := runtime.NumGoroutine()
	for i := range 200 {
		a.SetLimits(matcher.Limits{MaxHeaderBytes: int64(1000 + i), HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
		if i%50 == 0 {
			c, r := dial(t, address)
			assert.Equal(t, get(t, c, r, ""), http.StatusOK)
			c.Close()
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := runtime.NumGoroutine(); n > before+10 {
			return poll.Continue("%d goroutines, %d before", n, before)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// A VM that is overloaded must close connections before it reads from them, and take all again
// afterwards. A caller that was read could not send a booking elsewhere.
func TestOverloadedVMClosesConnectionsUnread(t *testing.T) {
	var served sync.Map
	a, address := start(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { served.Store(q.URL.Path, true) }))
	now := time.Now()
	probe := func(n int, late time.Duration) {
		for range n {
			now = now.Add(shedder.ProbeInterval + late)
			a.Probe(now)
		}
	}
	send := func(path string) (ok bool) {
		c, r := dial(t, address)
		defer c.Close()
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			_, read := served.Load(path)
			assert.Assert(t, !read, "%s was read and not answered", path)
			return false
		}
		assert.NilError(t, resp.Body.Close())
		return true
	}
	probe(120, 0)
	assert.Assert(t, send("/before"))
	probe(2, 300*time.Millisecond)
	answered := 0
	for i := range 20 {
		if send(fmt.Sprintf("/%d", i)) {
			answered++
		}
	}
	assert.Equal(t, answered, 10)
	probe(20, 0)
	assert.Assert(t, send("/after"))
}
