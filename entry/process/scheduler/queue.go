package scheduler

import (
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/projector"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// unlimitedQuota is the quota of an upstream that is neither cold nor rate limited.
const unlimitedQuota = 1 << 20

// Dispatch places every queued request that can be placed and refuses those that
// can no longer be completed in time. Call it when something has changed, and
// periodically.
func (s *Scheduler) Dispatch() {
	s.withLock(func() {
		s.capacityFreed = true
		s.dispatch()
	})
}

// dispatch makes one pass over the queue. The caller holds the lock.
func (s *Scheduler) dispatch() {
	now := s.deps.Now()
	if len(s.queue) == 0 {
		s.observeLanes(now)
		return
	}
	p := dispatchPass{
		blocked: make(map[class]bool), usable: make(map[string][]tracker.State), capacities: make(map[string]*rateCapacity),
		ahead: make(map[projector.Lane]float64), kept: make(map[keptKey]map[string]bool),
	}
	s.observeOverdue(now)
	s.sortQueue(now)
	s.rankQueue()
	remaining := s.queue[:0:0]
	for _, w := range s.queue {
		r, done := s.tryPlace(now, w, p)
		if !done {
			r, done = s.judge(now, w, p)
		}
		if done {
			r.waiter = w
			s.replies = append(s.replies, r)
			continue
		}
		remaining = append(remaining, w)
	}
	s.queue, s.capacityFreed = remaining, false
	s.observeLanes(now)
	s.preempt(now, p)
}

// A class identifies requests that compete for the same slots, so that none of them
// is placed before an earlier one. Long prompts share a class only with prompts of
// similar length: one of 600,000 tokens that cannot be placed must not hold back
// one of 20,000. Short prompts that are late form a class of their own: an engine
// with a long prefill answers no prompt in time but still has slots for these, which
// would otherwise wait behind each new prompt until their callers disconnect.
type class struct {
	service   string
	sizeClass int
	late      bool
	// due requests form a class of their own: one that cannot be placed must not hold
	// back more urgent ones.
	due bool
}

// A dispatchPass holds the state of one pass over the queue: the blocked classes,
// and the usable upstreams of each service, which do not change during the pass.
type dispatchPass struct {
	blocked map[class]bool
	usable  map[string][]tracker.State
	// capacities is what the rate limits leave of each service, nil if one of its
	// upstreams has announced none.
	capacities map[string]*rateCapacity
	// ahead is the work of the requests that stay queued in each lane.
	ahead map[projector.Lane]float64
	// kept holds the upstreams that are kept free from the requests of each priority.
	kept map[keptKey]map[string]bool
}

func (p dispatchPass) usableUpstreams(s *Scheduler, now time.Time, service string) []tracker.State {
	states, ok := p.usable[service]
	if !ok {
		states = s.usable(now, service)
		p.usable[service] = states
	}
	return states
}

// tryPlace places or refuses one queued request if possible, and reports whether it
// did. Otherwise the request stays queued.
func (s *Scheduler) tryPlace(now time.Time, w *waiter, p dispatchPass) (reply, bool) {
	c := class{w.request.Service.Name, w.timing.sizeClass, !w.timing.long && w.timing.late(now), w.due}
	if w.timing.cannotFinish(now, w.request.StopsAt) {
		return reply{refusal: s.refuse(now, w, p, CodeLate, Decision{Waited: now.Sub(w.request.Requirements.Arrived)})}, true
	}
	if now.Before(s.pausedUntil) {
		w.wait.switchTo(now, waitSync)
		return reply{}, false
	}
	if retryAfter, exceeds := p.exceedsLimits(s, now, w); exceeds {
		return reply{refusal: &Refusal{Code: CodeLimited, RetryAfter: retryAfter, WaitTimes: w.wait.stop(now)}}, true
	}
	if p.blocked[c] && !w.mustBegin(now) {
		w.wait.switchTo(now, waitBlocked)
		return reply{}, false
	}
	if freed := s.capacityFreed && w.blocks && !w.timing.long; now.Before(w.retryAt) && !freed {
		p.blocked[c] = w.blocks
		return reply{}, false
	}
	states := p.usableUpstreams(s, now, w.request.Service.Name)
	if len(states) == 0 && !s.deps.Tracker.Outdated() {
		return reply{refusal: &Refusal{Code: CodeNoUpstream, RetryAfter: defaultRetryAfter, WaitTimes: w.wait.stop(now)}}, true
	}
	states, backoffUntil := w.request.withoutBackoffs(now, states)
	if len(states) == 0 && !backoffUntil.IsZero() && w.timing.cannotFinish(backoffUntil, w.request.StopsAt) {
		return reply{refusal: &Refusal{Code: CodeBackoff, RetryAfter: backoffUntil.Sub(now), WaitTimes: w.wait.stop(now)}}, true
	}
	states = s.withoutKept(now, w, p, states)
	placement, ok := s.choose(now, w, s.candidates(now, w.request, states))
	if !ok {
		// A request that no engine can start in time must not hold back later ones
		// that have more time left. One whose VM has to back off from some upstreams
		// must not hold back those of other VMs.
		w.blocks, w.retryAt = placement.Reason != placer.TooLate && backoffUntil.IsZero(), now.Add(retryInterval)
		if placement.Reason == placer.TooLate {
			w.retryAt = now.Add(tooLateRetryInterval)
		}
		p.blocked[c] = w.blocks
		w.wait.switchTo(now, waitReason(placement.Reason))
		return reply{}, false
	}
	g := s.grant(now, w, placement, states)
	g.WaitTimes = w.wait.stop(now)
	s.projector.Started(now, w.lane(now), w.work())
	s.useClaim(now, w, g)
	return reply{grant: g}, true
}

// usable returns the upstreams of the group that may get new requests.
func (s *Scheduler) usable(now time.Time, service string) []tracker.State {
	states := s.deps.Tracker.Usable(now, service)
	if s.zone == "" {
		return states
	}
	return slices.DeleteFunc(states, func(u tracker.State) bool { return !s.uses(now, &u) })
}

// withoutBackoffs returns those of the upstreams to which the requesting VM may send, and
// when it may send to the first of the others; zero if there is none.
func (r *Request) withoutBackoffs(now time.Time, states []tracker.State) (allowed []tracker.State, until time.Time) {
	if r.Backoffs == nil {
		return states, time.Time{}
	}
	backoffs := r.Backoffs()
	if len(backoffs) == 0 {
		return states, time.Time{}
	}
	for i := range states {
		ends := backoffs[states[i].ID]
		if !now.Before(ends) {
			allowed = append(allowed, states[i])
			continue
		}
		if until.IsZero() || ends.Before(until) {
			until = ends
		}
	}
	return allowed, until
}

func (s *Scheduler) choose(now time.Time, w *waiter, cs []placer.Candidate) (placer.Placement, bool) {
	if w.request.Service.Engine == nil {
		return placer.ChoosePlain(w.request.Requirements, cs)
	}
	return placer.ChooseEngines(w.request.Service.Engine, w.request.Requirements, cs, now, w.urgency(now))
}

func (s *Scheduler) candidates(now time.Time, r Request, states []tracker.State) []placer.Candidate {
	learnsSpeeds := s.learnsSpeeds()
	cs := make([]placer.Candidate, 0, len(states))
	unreported := 0
	if e := r.Service.Engine; e != nil && s.policy().Memory.Enabled(true) && s.deps.Alone != nil && s.deps.Alone() {
		unreported = max(0, placer.MemoryOfOthers(e)-s.assumedLoad.ContextTokens)
	}
	for i := range states {
		u := &states[i]
		c := placer.Candidate{
			ID: u.ID, Zone: u.Zone, Slots: u.Slots, SameZone: u.Zone == r.Zone, Quota: unlimitedQuota,
			Cold: now.Before(u.ColdUntil), Unreachable: now.Before(u.UnreachableUntil) || slices.Contains(r.Unreachable, u.ID),
			Leaving: now.Before(u.LeavingUntil), Failed: u.Outcomes.Failed, Answered: u.Outcomes.Answered, UnreportedTokens: unreported,
		}
		if l, ok := s.loads[u.ID]; ok {
			c.Load = *l
		}
		c.Load.Add(s.loans.Loads[u.ID])
		c.Load.Add(s.assumedLoadAt(u.Slots))
		c.Load.Add(s.unreportedLoadAt(now, u))
		if rate := r.Service.ColdStartRate; rate > 0 && c.Cold {
			c.Quota = s.coldLimiter(u.ID).Available(now, s.deps.ColdQuota(u.ID, rate))
		}
		if learnsSpeeds {
			c.Slowness = s.speeds.Slowness(now, u.ID)
		}
		if u.Limit.Limited {
			c.Quota = min(c.Quota, s.availableAt(now, u))
		}
		cs = append(cs, c)
	}
	return cs
}

// unreportedLoadAt returns the load of requests of VMs that are gone at an upstream. It
// leaves one slot, because an upstream that seems full gets no requests, and that work may
// have ended.
func (s *Scheduler) unreportedLoadAt(now time.Time, u *tracker.State) placer.Load {
	w, ok := s.unreported[u.ID]
	if !ok {
		return placer.Load{}
	}
	l, left := w.At(now)
	if !left {
		delete(s.unreported, u.ID)
		return placer.Load{}
	}
	l.Streams = min(l.Streams, max(0, u.Slots-1))
	return l
}

// assumedLoadAt returns the assumed load of other VMs at an upstream. It covers at
// most half of the slots, because an upstream that seems full gets no requests.
func (s *Scheduler) assumedLoadAt(slots int) placer.Load {
	l := s.assumedLoad
	l.Streams = min(l.Streams, slots/2)
	return l
}
