package drainer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/drainer"
)

// A gate holds each request until it is told to end.
type gate struct {
	begun, end chan struct{}
}

func newGate() *gate { return &gate{begun: make(chan struct{}), end: make(chan struct{})} }

func (g *gate) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	g.begun <- struct{}{}
	<-g.end
	w.WriteHeader(http.StatusAccepted)
}

func ask(d *drainer.Drainer) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	d.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/", http.NoBody))
	return w
}

// begin sends a request and returns once it is in progress.
func (g *gate) begin(d *drainer.Drainer) <-chan int {
	status := make(chan int, 1)
	go func() { status <- ask(d).Code }()
	<-g.begun
	return status
}

// A VM is told to stop while an answer streams through it. The answer ends
// whole; a caller who comes later is told truly that nothing ran and when to
// come back, on a connection that brings nothing more.
func TestShutCutsNothingAndRefusesTheRest(t *testing.T) {
	g := newGate()
	d := drainer.New(g, 10)
	first := g.begin(d)
	d.StopAccepting("it is leaving")
	late := ask(d)
	assert.Equal(t, late.Code, http.StatusServiceUnavailable)
	assert.Equal(t, late.Header().Get("Heathervane-Ran"), "no")
	assert.Equal(t, late.Header().Get("Retry-After"), "1")
	assert.Equal(t, late.Header().Get("Connection"), "close")
	assert.Equal(t, d.Running(), 1)
	over, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, d.Wait(over), context.Canceled)
	close(g.end)
	assert.NilError(t, d.Wait(t.Context()))
	assert.Equal(t, <-first, http.StatusAccepted)
}

// Operators take a VM out and bring it back while a request of before still
// runs, and do so twice. It takes work again, and the next stop waits for all of
// it.
func TestOpenedAgainItCountsOn(t *testing.T) {
	g := newGate()
	d := drainer.New(g, 10)
	answers := []<-chan int{g.begin(d)}
	for range 2 {
		d.StopAccepting("it is out of service")
		assert.Equal(t, ask(d).Code, http.StatusServiceUnavailable)
		d.Resume()
		answers = append(answers, g.begin(d))
	}
	d.StopAccepting("it is leaving")
	assert.Equal(t, d.Running(), len(answers))
	waited := make(chan error, 1)
	go func() { waited <- d.Wait(t.Context()) }()
	for range answers {
		assert.Equal(t, len(waited), 0, "a request still runs")
		g.end <- struct{}{}
	}
	assert.NilError(t, <-waited)
	for _, a := range answers {
		assert.Equal(t, <-a, http.StatusAccepted)
	}
}

// A handler panics, as net/http's own does when a caller has gone. A count that
// stayed up would hold each later stop until the drain limit.
func TestAPanicIsNoRequestInProgress(t *testing.T) {
	d := drainer.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), 10)
	func() {
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		ask(d)
	}()
	assert.Equal(t, d.Running(), 0)
	assert.NilError(t, d.Wait(t.Context()))
}

// More requests come at once than a VM can hold. The one too many is refused as
// not run, instead of ending the process for all.
func TestRequestsInProgressAreBounded(t *testing.T) {
	g := newGate()
	d := drainer.New(g, 1)
	first := g.begin(d)
	more := ask(d)
	assert.Equal(t, more.Code, http.StatusServiceUnavailable)
	assert.Equal(t, more.Header().Get("Heathervane-Ran"), "no")
	close(g.end)
	assert.Equal(t, <-first, http.StatusAccepted)
}
