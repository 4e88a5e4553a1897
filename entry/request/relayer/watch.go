package relayer

import (
	"context"
	"sync/atomic"
	"time"
)

// A watch gives up an upstream that is silent for too long, but only where the
// request may be sent to another: an upstream's silence alone is no reason to
// end an answer. It answers upstreams that lose their power, of which no end of
// the connection tells.
type watch struct {
	timer *time.Timer
	// granted says that the watch ended the try, and that its repeat is taken
	// from the budget.
	granted atomic.Bool
}

// watch begins a watch over one try; end ends the try.
func (r *Relayer) watch(j *job, first time.Duration, end context.CancelFunc) *watch {
	w := &watch{}
	if !j.route.Repeatable() || j.runs+1 >= j.route.Attempts {
		return w
	}
	service := j.service.Name
	w.timer = time.AfterFunc(first, func() {
		// A VM that is about to stop finds no other place that ends in time, and an
		// answer that was only slow would be cut for nothing.
		if leaving, left := r.deps.ShuttingDown(); leaving && left < r.lasts(j) {
			return
		}
		if r.deps.RetryBudget.TakeRetry(service) {
			r.deps.Meter.Count("repeats", 1)
			w.granted.Store(true)
			end()
		}
	})
	return w
}

// heard begins the wait for the next event.
func (w *watch) heard(wait time.Duration) {
	if w.timer != nil && w.timer.Stop() {
		w.timer.Reset(wait)
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
