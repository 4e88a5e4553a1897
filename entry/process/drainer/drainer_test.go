package drainer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/drainer"
)

// A blockingHandler blocks each request until release is closed or receives a
// value.
type blockingHandler struct {
	started, release chan struct{}
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{started: make(chan struct{}), release: make(chan struct{})}
}

func (g *blockingHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	g.started <- struct{}{}
	<-g.release
	w.WriteHeader(http.StatusAccepted)
}

func send(d *drainer.Drainer) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	d.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/", http.NoBody))
	return w
}

// start sends a request and returns once it is in progress.
func (g *blockingHandler) start(d *drainer.Drainer) <-chan int {
	status := make(chan int, 1)
	go func() { status <- send(d).Code }()
	<-g.started
	return status
}

// A VM is told to stop while a response is streaming. The response must
// complete; a later caller must be told that its request did not run and when
// to retry, on a connection that is then closed.
func TestStopAcceptingLetsRunningRequestsFinish(t *testing.T) {
	g := newBlockingHandler()
	d := drainer.New(g, 10)
	first := g.start(d)
	d.StopAccepting("it is leaving")
	refused := send(d)
	assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
	assert.Equal(t, refused.Header().Get("Heathervane-Ran"), "no")
	assert.Equal(t, refused.Header().Get("Retry-After"), "1")
	assert.Equal(t, refused.Header().Get("Connection"), "close")
	assert.Equal(t, d.Running(), 1)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, d.Wait(cancelled), context.Canceled)
	close(g.release)
	assert.NilError(t, d.Wait(t.Context()))
	assert.Equal(t, <-first, http.StatusAccepted)
}

// Operators take a VM out of service and put it back, twice, while an earlier
// request is still running. The VM must accept requests again, and the next
// stop must wait for all of them.
func TestResumeKeepsRunningCount(t *testing.T) {
	g := newBlockingHandler()
	d := drainer.New(g, 10)
	statuses := []<-chan int{g.start(d)}
	for range 2 {
		d.StopAccepting("it is out of service")
		assert.Equal(t, send(d).Code, http.StatusServiceUnavailable)
		d.Resume()
		statuses = append(statuses, g.start(d))
	}
	d.StopAccepting("it is leaving")
	assert.Equal(t, d.Running(), len(statuses))
	waited := make(chan error, 1)
	go func() { waited <- d.Wait(t.Context()) }()
	for range statuses {
		assert.Equal(t, len(waited), 0, "Wait returned while a request was running")
		g.release <- struct{}{}
	}
	assert.NilError(t, <-waited)
	for _, a := range statuses {
		assert.Equal(t, <-a, http.StatusAccepted)
	}
}

// A handler panics, as net/http's own handlers do when a caller disconnects. A
// count that stayed up would delay every later stop until the drain limit.
func TestPanicEndsRequest(t *testing.T) {
	d := drainer.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), 10)
	func() {
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		send(d)
	}()
	assert.Equal(t, d.Running(), 0)
	assert.NilError(t, d.Wait(t.Context()))
}

// More requests arrive at once than a VM can hold. The one over the limit must
// be refused as not run, rather than exhaust the process for all.
func TestRequestsInProgressAreBounded(t *testing.T) {
	g := newBlockingHandler()
	d := drainer.New(g, 1)
	first := g.start(d)
	refused := send(d)
	assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
	assert.Equal(t, refused.Header().Get("Heathervane-Ran"), "no")
	close(g.release)
	assert.Equal(t, <-first, http.StatusAccepted)
}
