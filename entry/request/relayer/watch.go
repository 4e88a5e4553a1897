package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// deniedRetryInterval is how often a watchdog asks again for a retry that the budget did not
// allow. The budget grows with each request, and used retries expire.
const deniedRetryInterval = 250 * time.Millisecond

// A watchdog ends an attempt whose upstream is silent for too long, but only if the
// request may be sent to another one: silence alone is no reason to end a response.
// It detects upstreams that have lost power, which do not close their connections.
type watchdog struct {
	// retryGranted is true once the watchdog has ended the attempt. Its retry was
	// taken from the budget.
	retryGranted atomic.Bool
	// gaveWay is true if it did so because more urgent requests wait, not because the
	// upstream was silent.
	gaveWay atomic.Bool

	mu sync.Mutex
	// timer is nil if the attempt is not watched, or no longer. It runs until firesAt,
	// which is zero if it does not run.
	timer   *time.Timer
	firesAt time.Time
	// dueAt is when the upstream will have been silent for too long. It is zero while
	// nothing is expected of the upstream.
	dueAt time.Time
	// eventSeen is true once the upstream has sent an event, or has ended its response.
	eventSeen bool
	now       func() time.Time
	// mayRetry reports whether the request may be sent to another upstream, and takes the
	// retry from the budget.
	mayRetry func() bool
	cancel   context.CancelFunc
}

// startWatchdog starts the watchdog of one attempt, which it ends by calling cancel.
func (r *Relayer) startWatchdog(j *job, firstTimeout time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{now: r.deps.Now, cancel: cancel}
	if !j.route.Repeatable() || j.possibleRuns+1 >= j.route.MaxAttempts {
		return w
	}
	w.start(firstTimeout, func() bool {
		// A VM that is about to stop has no time left for another attempt. Ending
		// this one could only truncate a response that is merely slow.
		if s, leaving := r.deps.ShuttingDown(); leaving && s.Left < r.expectedDuration(j) {
			return false
		}
		return r.takeRetry(j)
	})
	return w
}

// takeRetry takes a retry from the budget and reports whether there was one.
func (r *Relayer) takeRetry(j *job) bool {
	if !r.deps.RetryBudget.TakeRetry(j.service.Name) {
		return false
	}
	r.deps.Meter.Count("repeats", 1)
	return true
}

func (w *watchdog) start(firstTimeout time.Duration, mayRetry func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mayRetry = mayRetry
	w.dueAt = w.now().Add(firstTimeout)
	w.firesAt = w.dueAt
	w.timer = time.AfterFunc(firstTimeout, w.check)
}

// check ends the attempt if the upstream has been silent for too long and a retry is
// allowed.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	now := w.now()
	w.firesAt = time.Time{}
	if w.dueAt.IsZero() {
		return
	}
	if left := w.dueAt.Sub(now); left > 0 {
		w.wake(w.dueAt, left)
		return
	}
	if !w.mayRetry() {
		w.wake(now.Add(deniedRetryInterval), deniedRetryInterval)
		return
	}
	w.timer = nil
	w.retryGranted.Store(true)
	w.cancel()
}

// wake runs the timer until a point in time.
func (w *watchdog) wake(at time.Time, wait time.Duration) {
	w.firesAt = at
	w.timer.Reset(wait)
}

// reset starts to wait for the upstream's next event. A timer that fires sooner is left
// running, as most events come long before.
func (w *watchdog) reset(wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	w.dueAt = w.now().Add(wait)
	if w.firesAt.IsZero() || w.dueAt.Before(w.firesAt) {
		w.wake(w.dueAt, wait)
	}
}

// received records that the upstream has sent an event or ended its response, and pauses.
func (w *watchdog) received() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.eventSeen = true
	w.dueAt = time.Time{}
}

// pause stops the time until reset is called, because the upstream is not waited for: the
// VM does not read what it sends, or has not yet sent it the whole request.
func (w *watchdog) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dueAt = time.Time{}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
