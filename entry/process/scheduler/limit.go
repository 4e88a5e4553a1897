package scheduler

import (
	"math"
	"time"

	"github.com/heathervane/heathervane/entry/process/budgeter"
	"github.com/heathervane/heathervane/entry/process/tracker"
)

// CodeLimited refuses a request for a service whose upstreams have all announced a
// rate limit, when earlier requests use up what they accept in time.
const CodeLimited = "limited"

const (
	// minRateWait is the time after its arrival for which a request may wait for
	// capacity under the rate limits, even if its latest start is earlier. Beyond
	// that, requests that arrive later are served in time and earlier ones no
	// longer.
	minRateWait = time.Second
	// maxRetryAfter caps RetryAfter for requests that exceed the rate limits.
	maxRetryAfter = 10 * time.Second
)

// availableAt returns how many requests may be placed now at an upstream that has
// announced a rate limit.
func (s *Scheduler) availableAt(now time.Time, u *tracker.State) int {
	r, ok := s.rateLimiters[u.ID]
	if !ok {
		r = budgeter.NewRateLimiter(now)
		s.rateLimiters[u.ID] = r
	}
	return r.Available(now, s.deps.RateQuota(u.Limit.Rate))
}

// countSent counts a request placed at an upstream that has announced a rate limit.
func (s *Scheduler) countSent(u *tracker.State) {
	if r, ok := s.rateLimiters[u.ID]; ok && u.Limit.Limited {
		r.Sent()
	}
}

// A rateCapacity is what the rate limits leave of a service whose upstreams have all
// announced one: how many requests may be placed now, and how many per second.
type rateCapacity struct {
	available int
	rate      float64
	// reserved is the number of earlier requests of this pass.
	reserved int
}

// newRateCapacity returns nil if an upstream has announced no rate limit.
func (s *Scheduler) newRateCapacity(now time.Time, states []tracker.State) *rateCapacity {
	if len(states) == 0 {
		return nil
	}
	c := &rateCapacity{}
	for i := range states {
		if !states[i].Limit.Limited {
			return nil
		}
		c.available += s.availableAt(now, &states[i])
		c.rate += s.deps.RateQuota(states[i].Limit.Rate)
	}
	return c
}

// reserve reserves capacity for the next request and returns how long it must wait.
func (c *rateCapacity) reserve() time.Duration {
	ahead := c.reserved - c.available
	c.reserved++
	if ahead < 0 {
		return 0
	}
	wait := float64(ahead+1) / c.rate
	return time.Duration(min(wait, math.MaxInt32) * float64(time.Second))
}

// exceedsLimits reports whether too many requests are queued ahead of a request for
// the rate limits of all upstreams of its service, and if so after what time to
// retry. Otherwise requests above what overloaded upstreams accept would wait until
// their callers disconnect.
func (p dispatchPass) exceedsLimits(s *Scheduler, now time.Time, w *waiter) (retryAfter time.Duration, exceeds bool) {
	service := w.request.Service.Name
	c, ok := p.capacities[service]
	if !ok {
		c = s.newRateCapacity(now, p.usableUpstreams(s, now, service))
		p.capacities[service] = c
	}
	if c == nil {
		return 0, false
	}
	wait := c.reserve()
	latest := w.request.Requirements.Arrived.Add(minRateWait)
	if w.timing.latestStart.After(latest) {
		latest = w.timing.latestStart
	}
	if wait == 0 || !now.Add(wait).After(latest) {
		return 0, false
	}
	// A request that is refused delays no other.
	c.reserved--
	return min(maxRetryAfter, max(defaultRetryAfter, wait)), true
}
