// Package ticker is the timer service. Parts subscribe to it and are called
// with the time, so that tests can drive time by hand and never sleep. It does
// not keep wall-clock time: its times carry Go's monotonic reading.
package ticker

import (
	"context"
	"slices"
	"sync"
	"time"
)

// A Ticker calls its subscribers, each at its own period.
type Ticker struct {
	now  func() time.Time
	step time.Duration
	// woken has Run look again at when the next subscriber is due.
	woken chan struct{}

	mu   sync.Mutex
	subs []*subscriber
}

type subscriber struct {
	every time.Duration
	next  time.Time
	call  func(time.Time)
}

// New returns a Ticker that reads the time from now. It sleeps until a subscriber is
// due, at least a step: those that are due within a step are called together, as
// each call wakes the process.
func New(now func() time.Time, step time.Duration) *Ticker {
	return &Ticker{now: now, step: step, woken: make(chan struct{}, 1)}
}

// Now is the current time.
func (t *Ticker) Now() time.Time { return t.now() }

// Subscribe has call run every period, first a period from now. Calls come
// from one goroutine, one after another, and must not block. The returned
// function ends the subscription.
func (t *Ticker) Subscribe(every time.Duration, call func(time.Time)) (stop func()) {
	s := &subscriber{every: every, next: t.now().Add(every), call: call}
	t.mu.Lock()
	t.subs = append(t.subs, s)
	t.mu.Unlock()
	select {
	case t.woken <- struct{}{}:
	default:
	}
	return func() {
		t.mu.Lock()
		t.subs = slices.DeleteFunc(t.subs, func(o *subscriber) bool { return o == s })
		t.mu.Unlock()
	}
}

// Tick runs the subscribers that are due. Run calls it; tests call it by hand.
func (t *Ticker) Tick() {
	now := t.now()
	for _, s := range t.due(now) {
		s.call(now)
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
		// A process that was frozen must not make up for the missed calls in
		// one burst: the next call is a period from now.
		s.next = now.Add(s.every)
		due = append(due, s)
	}
	return due
}

// Run ticks until the context ends.
func (t *Ticker) Run(ctx context.Context) {
	timer := time.NewTimer(t.wait())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			t.Tick()
		case <-t.woken:
		}
		timer.Reset(t.wait())
	}
}

// idle is how long a Ticker without subscribers sleeps.
const idle = time.Second

// wait is how long to sleep until the next subscriber is due.
func (t *Ticker) wait() time.Duration {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	next := now.Add(idle)
	for _, s := range t.subs {
		if s.next.Before(next) {
			next = s.next
		}
	}
	return max(t.step, next.Sub(now))
}
