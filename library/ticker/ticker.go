// Package ticker provides a timer service. Components subscribe and are called
// periodically with the current time, so that tests can advance the clock manually
// instead of sleeping. With time.Now as the clock, times carry Go's monotonic clock
// reading; wall-clock time is not tracked.
package ticker

import (
	"context"
	"slices"
	"sync"
	"time"
)

// A Ticker calls each of its subscribers at the subscriber's own period.
type Ticker struct {
	now      func() time.Time
	minSleep time.Duration
	// wake makes Run recompute when the next subscriber is due.
	wake chan struct{}

	mu   sync.Mutex
	subs []*subscriber
}

type subscriber struct {
	period   time.Duration
	next     time.Time
	callback func(time.Time)
}

// New returns a Ticker that uses now as its clock. Run sleeps until the next
// subscriber is due, but at least for minSleep, so that subscribers due within
// that time are called together and the process wakes up less often.
func New(now func() time.Time, minSleep time.Duration) *Ticker {
	return &Ticker{now: now, minSleep: minSleep, wake: make(chan struct{}, 1)}
}

// Now returns the current time.
func (t *Ticker) Now() time.Time { return t.now() }

// Subscribe calls callback once per period, starting one period from now. All
// calls are made sequentially from one goroutine and must not block. The returned
// function cancels the subscription.
func (t *Ticker) Subscribe(period time.Duration, callback func(time.Time)) (stop func()) {
	s := &subscriber{period: period, next: t.now().Add(period), callback: callback}
	t.mu.Lock()
	t.subs = append(t.subs, s)
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
	return func() {
		t.mu.Lock()
		t.subs = slices.DeleteFunc(t.subs, func(o *subscriber) bool { return o == s })
		t.mu.Unlock()
	}
}

// Tick calls the subscribers that are due. Run calls it; tests may call it directly.
func (t *Ticker) Tick() {
	now := t.now()
	for _, s := range t.due(now) {
		s.callback(now)
	}
}

func (t *Ticker) due(now time.Time) []*subscriber {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []*subscriber
	for _, s := range t.subs {
		if now.Before(s.next) {
			continue
		}
		// Schedule from now rather than from the previous due time, so that a process
		// that was suspended does not make up for missed calls in a burst.
		s.next = now.Add(s.period)
		due = append(due, s)
	}
	return due
}

// Run calls subscribers as they become due until ctx is done.
func (t *Ticker) Run(ctx context.Context) {
	timer := time.NewTimer(t.sleepDuration())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			t.Tick()
		case <-t.wake:
		}
		timer.Reset(t.sleepDuration())
	}
}

// idleSleep is how long Run sleeps if no subscriber is due sooner.
const idleSleep = time.Second

// sleepDuration returns how long to sleep until the next subscriber is due.
func (t *Ticker) sleepDuration() time.Duration {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	next := now.Add(idleSleep)
	for _, s := range t.subs {
		if s.next.Before(next) {
			next = s.next
		}
	}
	return max(t.minSleep, next.Sub(now))
}
