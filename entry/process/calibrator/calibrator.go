// Package calibrator learns how much slower than expected each upstream is, from the
// requests that it has answered. It is for upstreams that turn slow, and fast again,
// while requests keep coming: published figures stand for all engines of a service, and
// every long prompt that several engines read ends with the slowest of them.
//
// An upstream is as slow as the fastest request that it has lately worked on, which keeps
// a VM that is slow itself from slowing every upstream that it uses. A request that several
// upstreams work on ends with its slowest part: where it is fast, none of them is slow;
// where it is slow, it says nothing about any of them.
package calibrator

import "time"

const (
	// minSlowness is the ratio of the actual to the expected time from which an upstream
	// counts as slow. Estimates of loaded engines are too short by half in one of ten
	// requests, and by more at times.
	minSlowness = 2.5
	// maxSlowness limits what one request may say.
	maxSlowness = 20
	// memory is how long an observation counts. Each time an upstream is found slow
	// again it doubles, up to maxMemory, because every request that finds it out is late.
	memory    = time.Second
	maxMemory = 4 * time.Second
	// fixedDelay is the part of the actual time that does not depend on the upstream's
	// speed: messages between VMs and a connection.
	fixedDelay = 25 * time.Millisecond
	// minExpected is the shortest expected time that is used. Below it fixedDelay
	// dominates.
	minExpected = 20 * time.Millisecond
	// maxObservations is how many observations of an upstream are kept.
	maxObservations = 4
)

// A Calibrator holds what is known of the speed of the upstreams of one group. It is not
// safe for concurrent use.
type Calibrator struct {
	upstreams map[string]*upstream
}

// New returns a Calibrator that takes every upstream for as fast as expected.
func New() *Calibrator { return &Calibrator{upstreams: make(map[string]*upstream)} }

type upstream struct {
	// recent are the last observations, and next is where the next one goes.
	recent [maxObservations]observation
	next   int
	// overdue is the ratio of a request that has not been answered, as of overdueAt.
	overdue   float64
	overdueAt time.Time
	// memory is how long observations of this upstream count, and slowAt when it was
	// last found slow.
	memory time.Duration
	slowAt time.Time
}

type observation struct {
	ratio float64
	at    time.Time
}

// Ratio returns the ratio of the actual to the expected time of a request.
func Ratio(expected, actual time.Duration) float64 {
	r := float64(actual-fixedDelay) / float64(max(expected, minExpected))
	return min(maxSlowness, max(0, r))
}

// IsSlow reports whether a ratio counts as slow.
func IsSlow(ratio float64) bool { return ratio >= minSlowness }

// Observe records the ratio of a request that the upstreams have worked on together.
func (c *Calibrator) Observe(now time.Time, ids []string, ratio float64) {
	if len(ids) > 1 && IsSlow(ratio) {
		return
	}
	for _, id := range ids {
		u := c.upstream(id)
		u.overdue = 0
		if IsSlow(ratio) {
			u.found(now)
		} else {
			u.memory = memory
		}
		u.recent[u.next] = observation{ratio, now}
		u.next = (u.next + 1) % maxObservations
	}
}

// Overdue records that a request at an upstream has already taken so much longer than
// expected. It counts only if the upstream has answered no other lately.
func (c *Calibrator) Overdue(now time.Time, id string, ratio float64) {
	if IsSlow(ratio) {
		u := c.upstream(id)
		u.overdue, u.overdueAt = min(ratio, maxSlowness), now
	}
}

// found records that the upstream is slow. The memory doubles where the last time has
// just been forgotten.
func (u *upstream) found(now time.Time) {
	if since := now.Sub(u.slowAt); !u.slowAt.IsZero() && since > u.memory && since <= 3*u.memory {
		u.memory = min(maxMemory, 2*u.memory)
	}
	if now.Sub(u.slowAt) > u.memory {
		u.slowAt = now
	}
}

func (c *Calibrator) upstream(id string) *upstream {
	u, ok := c.upstreams[id]
	if !ok {
		u = &upstream{memory: memory}
		c.upstreams[id] = u
	}
	return u
}

// Slowness returns how many times longer than expected the upstream takes; 1 if it is not
// known to be slow.
func (c *Calibrator) Slowness(now time.Time, id string) float64 {
	u, ok := c.upstreams[id]
	if !ok {
		return 1
	}
	least, known := float64(maxSlowness), false
	for _, o := range u.recent {
		if !o.at.IsZero() && now.Sub(o.at) < u.memory {
			least, known = min(least, o.ratio), true
		}
	}
	if !known && u.overdue > 0 && now.Sub(u.overdueAt) < u.memory {
		least, known = u.overdue, true
	}
	if !known || !IsSlow(least) {
		return 1
	}
	return least
}

// Slow returns the number of upstreams that are known to be slow.
func (c *Calibrator) Slow(now time.Time) (n int) {
	for id := range c.upstreams {
		if c.Slowness(now, id) > 1 {
			n++
		}
	}
	return n
}

// Forget drops what is known of an upstream that is gone.
func (c *Calibrator) Forget(id string) { delete(c.upstreams, id) }
