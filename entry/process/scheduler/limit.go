package scheduler

import (
	"math"
	"time"

	"github.com/heathervane/heathervane/entry/process/budgeter"
	"github.com/heathervane/heathervane/entry/process/tracker"
)

// CodeLimited is the code of a request for a service whose upstreams have all named a
// limit, and all that they take in time is taken.
const CodeLimited = "limited"

const (
	// limitPatience is how long after its arrival a request may wait at least for
	// what the limits leave. Beyond that those that come later are served in time,
	// and the earlier ones no longer.
	limitPatience = time.Second
	// mostBack bounds when a request may come back that the limits leave nothing.
	mostBack = 10 * time.Second
)

// room is how many requests may be placed at an upstream that has named a limit.
func (s *Scheduler) room(now time.Time, u *tracker.State) int {
	r, ok := s.limits[u.ID]
	if !ok {
		r = budgeter.NewRateLimiter(now)
		s.limits[u.ID] = r
	}
	return r.Available(now, s.deps.RateQuota(u.Limit.Rate))
}

// note counts a request placed at an upstream that has named a limit.
func (s *Scheduler) note(u *tracker.State) {
	if r, ok := s.limits[u.ID]; ok && u.Limit.Limited {
		r.Sent()
	}
}

// A supply is what the limits of a service's upstreams leave, where all have named
// one: how many requests may be placed now, and how many a second.
type supply struct {
	now  int
	rate float64
	// taken are the requests of this scan that come before.
	taken int
}

// supplyOf is nil where an upstream has named no limit.
func (s *Scheduler) supplyOf(now time.Time, states []tracker.State) *supply {
	if len(states) == 0 {
		return nil
	}
	p := &supply{}
	for i := range states {
		if !states[i].Limit.Limited {
			return nil
		}
		p.now += s.room(now, &states[i])
		p.rate += s.deps.RateQuota(states[i].Limit.Rate)
	}
	return p
}

// next is how long the next request waits for its turn.
func (p *supply) next() time.Duration {
	ahead := p.taken - p.now
	p.taken++
	if ahead < 0 {
		return 0
	}
	wait := float64(ahead+1) / p.rate
	return time.Duration(min(wait, math.MaxInt32) * float64(time.Second))
}

// beyond says that a request comes too late in the order of those that wait for the
// limits of all upstreams of its service, and when it had better come back. Requests
// over what upstreams in need take would else wait until their callers leave.
func (l scan) beyond(s *Scheduler, now time.Time, w *waiter) (after time.Duration, is bool) {
	name := w.call.Service.Name
	p, ok := l.supplies[name]
	if !ok {
		p = s.supplyOf(now, l.states(s, now, name))
		l.supplies[name] = p
	}
	if p == nil {
		return 0, false
	}
	wait := p.next()
	last := w.call.Requirements.Arrived.Add(limitPatience)
	if w.times.start.After(last) {
		last = w.times.start
	}
	if wait == 0 || !now.Add(wait).After(last) {
		return 0, false
	}
	// One that does not wait holds nobody up.
	p.taken--
	return min(mostBack, max(comeBack, wait)), true
}
