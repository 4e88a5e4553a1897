package chatter_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/dispatcher"
)

func full(w http.ResponseWriter, _ int) {
	w.Header().Set("Ran", "no")
	w.WriteHeader(http.StatusTooManyRequests)
	w.Write([]byte(`{"error":{"code":"full","message":"no slot"}}`))
}

func reset(http.ResponseWriter, int) { panic(http.ErrAbortHandler) }

// half sends one token and breaks off; after that the stream is unknown.
func half(w http.ResponseWriter, n int) {
	if n > 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Write([]byte("id: 1\ndata: {\"text\":\"one \"}\n\n"))
	flush(w)
	panic(http.ErrAbortHandler)
}

func flush(w http.ResponseWriter) {
	if err := http.NewResponseController(w).Flush(); err != nil {
		panic(err)
	}
}

// One engine refuses or dies before its first token. The caller gets its answer
// from another engine and is told that there were two tries.
func TestAnotherEngineBeforeTheFirstToken(t *testing.T) {
	tests := []struct {
		name    string
		script  func(http.ResponseWriter, int)
		outcome dispatcher.Outcome
		cancels int
	}{
		{"refused as not run", full, dispatcher.Refused, 0},
		{"the connection breaks", reset, dispatcher.Refused, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bad, good := newEngine(t, test.script), newEngine(t, say("fine"))
			r := newRig(t, manifest(bad.address(), good.address()))
			got := r.post(t, question)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, got.header.Get("Heathervane-Tries"), "2")
			assert.Equal(t, got.header.Get("Heathervane-Upstream"), "e1")
			assert.DeepEqual(t, r.outcomes(), []dispatcher.Outcome{test.outcome, dispatcher.Completed})
			assert.Equal(t, len(r.cancels.ids), test.cancels)
		})
	}
}

// An engine dies in the middle of an answer. The steward sees the first words
// and then a failure that says so: never a second beginning, and never a [DONE]
// under half an answer.
func TestAnAnswerCutInTheMiddle(t *testing.T) {
	bad, good := newEngine(t, half), newEngine(t, say("other"))
	r := newRig(t, manifest(bad.address(), good.address()))
	got := r.post(t, streamed)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, strings.Contains(got.body, `"content":"one "`), got.body)
	assert.Assert(t, strings.Contains(got.body, "event: error\n"), got.body)
	assert.Assert(t, strings.Contains(got.body, `"ran":"yes"`), got.body)
	assert.Assert(t, !strings.Contains(got.body, "[DONE]"), got.body)
	assert.Equal(t, good.begun, 0)
	assert.DeepEqual(t, r.cancels.ids, []string{"vm1-3-1"})
}

// A process is frozen between the moment it took a place and the sending. When
// it wakes, others use the place: sending would overfill the engine.
func TestALapsedPlaceIsNotUsed(t *testing.T) {
	e := newEngine(t, say("no"))
	r := newRig(t, manifest(e.address()))
	r.places.lapsed = true
	got := r.post(t, question)
	assert.Equal(t, got.header.Get("Heathervane-Ran"), "no", got.body)
	assert.Equal(t, e.begun, 0)
}

// An answer takes minutes. The memory of its prompt is free for others as soon
// as the first token has come.
func TestAnOpenStreamHoldsNoBody(t *testing.T) {
	begun, ctx := make(chan struct{}), t.Context()
	e := newEngine(t, func(w http.ResponseWriter, _ int) {
		w.Write([]byte("id: 1\ndata: {\"text\":\"one \"}\n\n"))
		flush(w)
		<-begun
		w.Write([]byte("event: done\ndata: {\"tokens\":1,\"reason\":\"stop\"}\n\n"))
	})
	r := newRig(t, manifest(e.address()))
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, r.URL, strings.NewReader(streamed))
	assert.NilError(t, err)
	q.Header.Set("Authorization", "Bearer "+bearer)
	a, err := r.Client().Do(q)
	assert.NilError(t, err)
	defer a.Body.Close()
	first := make([]byte, 1)
	_, err = a.Body.Read(first)
	assert.NilError(t, err)
	assert.Equal(t, r.bodies.Used(), int64(0))
	close(begun)
}

// All engines refuse. "Not run" is true, and the caller is told when to come
// back; where one may have run it, it is not said.
func TestNotRunIsSaidOnlyWhereItIsTrue(t *testing.T) {
	tests := []struct {
		name, ran     string
		first, second func(http.ResponseWriter, int)
	}{
		{"all refuse", "no", full, full},
		{"one broke off", "unknown", full, reset},
		{"the first broke off", "unknown", reset, full},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, manifest(newEngine(t, test.first).address(), newEngine(t, test.second).address()))
			got := r.post(t, question)
			assert.Assert(t, got.status >= 500, got.body)
			assert.Equal(t, got.header.Get("Heathervane-Ran"), test.ran, got.body)
		})
	}
}

// An engine stops in the middle and says nothing. At the request's own limit
// the caller is told, and the engine's memory is asked back.
func TestTheTimeLimitHolds(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	e := newEngine(t, func(w http.ResponseWriter, _ int) {
		w.Write([]byte("id: 1\ndata: {\"text\":\"one \"}\n\n"))
		flush(w)
		<-ctx.Done()
	})
	r := newRig(t, manifest(e.address()))
	begun := time.Now()
	got := r.post(t, streamed, "Request-Timeout", "0.2")
	took := time.Since(begun)
	assert.Assert(t, took >= 200*time.Millisecond, "%s", took)
	assert.Assert(t, strings.Contains(got.body, `"code":"timeout"`), got.body)
	assert.DeepEqual(t, r.outcomes(), []dispatcher.Outcome{dispatcher.Cancelled})
	assert.Equal(t, len(r.cancels.ids), 1)
}

// A caller goes away in the middle of its answer. The stream at the engine is
// cancelled, or it would hold memory until its last token.
func TestACallerThatLeaves(t *testing.T) {
	begun := make(chan struct{})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	e := newEngine(t, func(w http.ResponseWriter, _ int) {
		w.Write([]byte("id: 1\ndata: {\"text\":\"one \"}\n\n"))
		flush(w)
		close(begun)
		<-ctx.Done()
	})
	r := newRig(t, manifest(e.address()))
	caller, leave := context.WithCancel(context.Background())
	q, err := http.NewRequestWithContext(caller, http.MethodPost, r.URL, strings.NewReader(streamed))
	assert.NilError(t, err)
	q.Header.Set("Authorization", "Bearer "+bearer)
	a, err := r.Client().Do(q)
	assert.NilError(t, err)
	<-begun
	leave()
	a.Body.Close()
	r.Close()
	assert.DeepEqual(t, r.cancels.ids, []string{"vm1-3-1"})
}

// A question that breaks each engine that reads it would take down one after the
// other, as often as it is asked.
func TestAQuestionThatCrashesEnginesIsNotSentOn(t *testing.T) {
	var engines []*engine
	var addresses []string
	for range 6 {
		e := newEngine(t, reset)
		engines = append(engines, e)
		addresses = append(addresses, e.address())
	}
	r := newRig(t, manifest(addresses...))
	runs := func() int {
		n := 0
		for _, e := range engines {
			n += e.count()
		}
		return n
	}
	for range 4 {
		r.post(t, question)
	}
	assert.Equal(t, runs(), 3)
	a := r.post(t, question)
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Equal(t, a.header.Get("Heathervane-Ran"), "no")
	assert.Equal(t, runs(), 3)
	r.post(t, strings.Replace(question, "hi", "ho", 1))
	assert.Assert(t, runs() > 3, "another question was held")
}
