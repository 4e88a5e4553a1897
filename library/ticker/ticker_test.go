package ticker_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/ticker"
)

// A part that has nothing to do ends its subscription, and subscribes again while
// the service sleeps for something that is due much later. It must be called in
// its own period nonetheless.
func TestLaterSubscriberIsCalledInItsOwnPeriod(t *testing.T) {
	tick := ticker.New(time.Now, time.Millisecond)
	rare := make(chan time.Time, 100)
	tick.Subscribe(time.Hour, func(at time.Time) { rare <- at })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { tick.Run(ctx); close(done) }()
	often := make(chan time.Time, 100)
	stop := tick.Subscribe(2*time.Millisecond, func(at time.Time) { often <- at })
	for range 3 {
		select {
		case <-often:
		case <-time.After(10 * time.Second):
			t.Fatal("not called")
		}
	}
	stop()
	cancel()
	<-done
	assert.Equal(t, len(rare), 0)
}

// A process that was frozen must not make up for the missed calls in one burst.
func TestMissedCallsAreNotMadeUpFor(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tick := ticker.New(func() time.Time { return now }, time.Second)
	calls := 0
	tick.Subscribe(time.Second, func(time.Time) { calls++ })
	now = now.Add(time.Minute)
	tick.Tick()
	tick.Tick()
	assert.Equal(t, calls, 1)
}
