package acceptor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/connection/acceptor"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

func start(t *testing.T, h http.Handler) (*acceptor.Acceptor, string) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := acceptor.New(l, h, zerolog.Nop())
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

func ask(t *testing.T, c net.Conn, r *bufio.Reader, header string) int {
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

// A new version of the configuration changes the limits while callers are
// connected: nobody is cut off, and whoever comes after is held to the new ones.
func TestLimitsChangeForNewConnectionsOnly(t *testing.T) {
	a, address := start(t, ok)
	a.Limit(matcher.Limits{Header: 16 << 10, HeaderTime: time.Minute, IdleTime: time.Minute})
	old, oldReader := dial(t, address)
	long := "X-A: " + strings.Repeat("a", 10<<10) + "\r\n"
	assert.Equal(t, ask(t, old, oldReader, long), http.StatusOK)
	a.Limit(matcher.Limits{Header: 1 << 10, HeaderTime: time.Minute, IdleTime: time.Minute})
	assert.Equal(t, ask(t, old, oldReader, long), http.StatusOK)
	fresh, freshReader := dial(t, address)
	assert.Equal(t, ask(t, fresh, freshReader, long), http.StatusRequestHeaderFieldsTooLarge)
}

// Whoever sends half a request and stops would hold a connection forever.
func TestHalfARequestEndsAtItsTime(t *testing.T) {
	a, address := start(t, ok)
	a.Limit(matcher.Limits{Header: 1 << 10, HeaderTime: 100 * time.Millisecond, IdleTime: time.Minute})
	c, r := dial(t, address)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost")
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := io.ReadAll(r)
	assert.NilError(t, err, "the connection must end")
}

// A planned stop waits for the requests in progress, on connections of all
// limits.
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
		go func() { statuses <- ask(t, c, r, "") }()
		<-begun
		a.Limit(matcher.Limits{Header: int64(1+i) << 10})
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
