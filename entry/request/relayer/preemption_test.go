package relayer_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/version/matcher"
)

// rankedRoutes returns the routes with a more urgent one for streams. Long prompts on the
// other have the time to wait.
func rankedRoutes() matcher.Config {
	c := routes()
	urgent := c.Routes[3]
	urgent.Name, urgent.Prefix = "urgent", "/urgent/"
	c.Routes[3].Priority, c.Routes[3].Objective, c.Routes[3].Timeout = 1, 6*time.Second, 10*time.Second
	c.Routes = append(c.Routes, urgent)
	return c
}

// A longRead is an upstream that reads long prompts for as long as told, and answers all
// others at once.
type longRead struct {
	// reads counts the long prompts that have come.
	reads atomic.Int32
	// done ends the second read and later ones.
	done chan struct{}
}

func (l *longRead) serve(w http.ResponseWriter, q *http.Request) {
	if prompt, _ := strconv.Atoi(q.Header.Get("Prompt")); prompt < 10_000 {
		events(2, false)(w, q)
		return
	}
	if l.reads.Add(1) == 1 {
		<-q.Context().Done()
		return
	}
	<-l.done
	events(3, false)(w, q)
}

// startLongRead sends a long prompt and waits until the upstream reads it.
func startLongRead(t *testing.T, b *harness, l *longRead) chan result {
	t.Helper()
	long := b.request(http.MethodPost, "/resume/x", "p")
	long.Header.Set("Prompt", "200000")
	out := make(chan result, 1)
	go func() { out <- b.do(long) }()
	for l.reads.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	return out
}

// All engines have just begun to read long prompts when an urgent one comes. One of them
// must give way, and be answered whole afterwards; it must not give way again.
func TestLongPromptGivesWayOnceAndIsAnsweredWhole(t *testing.T) {
	b := newHarness(t, rankedRoutes())
	l := &longRead{done: make(chan struct{})}
	b.upstream("u1", "model", l.serve)
	out := startLongRead(t, b, l)
	start := time.Now()
	o := b.do(b.request(http.MethodPost, "/urgent/x", "p"))
	assert.NilError(t, o.err)
	assert.Equal(t, o.body, eventText(2))
	assert.Assert(t, time.Since(start) < time.Second, "the urgent prompt has waited for the long one")
	for l.reads.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	second := make(chan result, 1)
	urgent := b.request(http.MethodPost, "/urgent/x", "p")
	go func() { second <- b.do(urgent) }()
	time.Sleep(400 * time.Millisecond)
	close(l.done)
	o = <-out
	assert.NilError(t, o.err)
	assert.Equal(t, o.status, http.StatusOK)
	assert.Equal(t, o.body, eventText(3))
	<-second
	assert.Equal(t, l.reads.Load(), int32(2))
	assert.Equal(t, b.budget.taken, 1, "a request that gives way reaches an upstream once more")
}

// A retry that the budget does not allow must not be made for a more urgent request
// either: the long prompt keeps its engine.
func TestLongPromptKeepsItsEngineWithoutRetryBudget(t *testing.T) {
	c := rankedRoutes()
	b := newHarness(t, c)
	b.budget.remaining = 0
	l := &longRead{done: make(chan struct{})}
	l.reads.Store(1)
	b.upstream("u1", "model", l.serve)
	long := b.request(http.MethodPost, "/resume/x", "p")
	long.Header.Set("Prompt", "200000")
	out := make(chan result, 1)
	go func() { out <- b.do(long) }()
	for l.reads.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	urgent := make(chan result, 1)
	q := b.request(http.MethodPost, "/urgent/x", "p")
	go func() { urgent <- b.do(q) }()
	time.Sleep(300 * time.Millisecond)
	close(l.done)
	o := <-out
	assert.Equal(t, o.body, eventText(3))
	assert.Equal(t, l.reads.Load(), int32(2))
	<-urgent
}
