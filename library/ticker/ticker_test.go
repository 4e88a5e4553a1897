package ticker_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/ticker"
)

// A subscription made while Run sleeps until a much later due time must still be
// called at its own period. This happens when a component without work cancels
// its subscription and subscribes again.
func TestSubscribeWhileSleeping(t *testing.T) {
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

// A process that was suspended must not make up for missed calls in a burst.
func TestMissedCallsAreSkipped(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tick := ticker.New(func() time.Time { return now }, time.Second)
	calls := 0
	tick.Subscribe(time.Second, func(time.Time) { calls++ })
	now = now.Add(time.Minute)
	tick.Tick()
	tick.Tick()
	assert.Equal(t, calls, 1)
}
