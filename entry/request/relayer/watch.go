package relayer

import (
	"context"
	"sync/atomic"
	"time"
)

// A watchdog gives up an upstream that is silent for too long, but only where the
// request may be sent to another: an upstream's silence alone is no reason to
// end an answer. It answers upstreams that lose their power, of which no end of
// the connection tells.
type watchdog struct {
	timer *time.Timer
	// retryGranted says that the watch ended the try, and that its repeat is taken
	// from the budget.
	retryGranted atomic.Bool
}

// startWatchdog begins a startWatchdog over one try; end ends the try.
func (r *Relayer) startWatchdog(j *job, firstTimeout time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{}
	if !j.route.Repeatable() || j.possibleRuns+1 >= j.route.Attempts {
		return w
	}
	service := j.service.Name
	w.timer = time.AfterFunc(firstTimeout, func() {
		// A VM that is about to stop finds no other place that ends in time, and an
		// answer that was only slow would be cut for nothing.
		if leaving, left := r.deps.ShuttingDown(); leaving && left < r.expectedDuration(j) {
			return
		}
		if r.deps.RetryBudget.TakeRetry(service) {
			r.deps.Meter.Count("repeats", 1)
			w.retryGranted.Store(true)
			cancel()
		}
	})
	return w
}

// reset begins the wait for the next event.
func (w *watchdog) reset(wait time.Duration) {
	if w.timer != nil && w.timer.Stop() {
		w.timer.Reset(wait)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
