package relayer

import (
	"context"
	"sync/atomic"
	"time"
)

// A watchdog ends an attempt whose upstream is silent for too long, but only if the
// request may be sent to another one: silence alone is no reason to end a response.
// It detects upstreams that have lost power, which do not close their connections.
type watchdog struct {
	timer *time.Timer
	// retryGranted is true once the watchdog has ended the attempt. Its retry was
	// taken from the budget.
	retryGranted atomic.Bool
}

// startWatchdog starts the watchdog of one attempt, which it ends by calling cancel.
func (r *Relayer) startWatchdog(j *job, firstTimeout time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{}
	if !j.route.Repeatable() || j.possibleRuns+1 >= j.route.MaxAttempts {
		return w
	}
	service := j.service.Name
	w.timer = time.AfterFunc(firstTimeout, func() {
		// A VM that is about to stop has no time left for another attempt. Ending
		// this one could only truncate a response that is merely slow.
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

// reset restarts the timer, to wait for the next event.
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
