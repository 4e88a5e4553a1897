package observer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/gauger"
	"github.com/heathervane/heathervane/entry/process/observer"
)

const (
	engine = "e1"
	tokens = 1000
	// rate reads the tokens in one second.
	rate = 1000.0
	tick = 100 * time.Millisecond
)

// A testObserver is an Observer with a clock that the test sets.
type testObserver struct {
	*observer.Observer
	now time.Time
}

func newTestObserver() *testObserver {
	w := &testObserver{now: time.Unix(1_000_000, 0)}
	w.Observer = observer.New(gauger.New(), func() time.Time { return w.now }, func(string, uint64, string) {})
	return w
}

// advance lets time pass while the process runs.
func (w *testObserver) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.Tick(w.now)
	}
}

// The platform pauses a VM that is waiting for its engines. When it resumes, its
// clock shows that they have not responded for a long time. If that counted as low
// speed, the VM would refuse every request as certain to miss its time limit: callers
// saw a minute of refusals from an idle fleet.
func TestVMPauseDoesNotLowerEngineSpeed(t *testing.T) {
	for _, order := range []string{"the timer first", "the answer first", "a new request first"} {
		t.Run(order, func(t *testing.T) {
			w := newTestObserver()
			w.RequestSent(engine, "before", tokens, rate)
			w.advance(500 * time.Millisecond)
			w.now = w.now.Add(30 * time.Second)
			switch order {
			case "the timer first":
				w.Tick(w.now)
				w.FirstToken("before")
			case "the answer first":
				w.FirstToken("before")
				w.Tick(w.now)
			case "a new request first":
				w.RequestSent(engine, "after", tokens, rate)
				w.Tick(w.now)
			}
			assert.Equal(t, w.Speed(engine), 1.0)
		})
	}
}

// If the VM was running the whole time, the missing response is the engine's fault.
func TestUnansweredRequestLowersEngineSpeed(t *testing.T) {
	w := newTestObserver()
	w.RequestSent(engine, "one", tokens, rate)
	w.advance(10 * time.Second)
	assert.Assert(t, w.Speed(engine) < 0.15, "%v", w.Speed(engine))
	w.FirstToken("one")
	w.advance(time.Minute)
	assert.Equal(t, w.Speed(engine), 1.0, "the engine may be tried again")
}
