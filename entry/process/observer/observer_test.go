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
	// rate makes a second of tokens.
	rate = 1000.0
	tick = 100 * time.Millisecond
)

// A watched is an Observer with a clock that the test sets.
type watched struct {
	*observer.Observer
	now time.Time
}

func newWatched() *watched {
	w := &watched{now: time.Unix(1_000_000, 0)}
	w.Observer = observer.New(gauger.New(), func() time.Time { return w.now }, func(string, uint64, string) {})
	return w
}

// pass lets time pass while the process runs.
func (w *watched) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.Tick(w.now)
	}
}

// The platform pauses a VM that waits for its engines. When it runs on, its
// clock says that they have answered nothing for a long time. Were that taken
// for their speed, the VM would refuse every question as hopeless: its callers
// saw a fleet that is idle, and a minute of refusals.
func TestPauseOfTheVMSaysNothingOfEngines(t *testing.T) {
	for _, order := range []string{"the timer first", "the answer first", "a new request first"} {
		t.Run(order, func(t *testing.T) {
			w := newWatched()
			w.Begun(engine, "before", tokens, rate)
			w.pass(500 * time.Millisecond)
			w.now = w.now.Add(30 * time.Second)
			switch order {
			case "the timer first":
				w.Tick(w.now)
				w.First("before")
			case "the answer first":
				w.First("before")
				w.Tick(w.now)
			case "a new request first":
				w.Begun(engine, "after", tokens, rate)
				w.Tick(w.now)
			}
			assert.Equal(t, w.Speed(engine), 1.0)
		})
	}
}

// The engine is at fault where the VM ran all the while.
func TestEngineThatAnswersNothingIsSlow(t *testing.T) {
	w := newWatched()
	w.Begun(engine, "one", tokens, rate)
	w.pass(10 * time.Second)
	assert.Assert(t, w.Speed(engine) < 0.15, "%v", w.Speed(engine))
	w.First("one")
	w.pass(time.Minute)
	assert.Equal(t, w.Speed(engine), 1.0, "it is tried again")
}
