package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/request/ranker"
)

// unbounded is the room at an upstream that is not cold.
const unbounded = 1 << 20

// compare orders by rank, then those that can be in time before those that are
// late already, then teams within their share before those over it, then by the
// latest start. Without the second, a backlog of late prompts would stand before
// everything that could still be in time, and make it late as well; without the
// third, one team's burst stands before the others' questions.
func compare(a, b *waiter) int {
	return cmp.Or(
		cmp.Compare(a.call.Priority, b.call.Priority), cmp.Compare(a.late, b.late), cmp.Compare(a.over, b.over),
		a.times.start.Compare(b.times.start),
	)
}

// sort puts what waits in its order.
func (s *Scheduler) sort(now time.Time) {
	for _, w := range s.waiting {
		w.late, w.over = 0, 0
		if w.times.late(now) {
			w.late = 1
		}
		if s.rankerOf(w.call.Service.Name).OverShare(now, w.call.Team) {
			w.over = 1
		}
	}
	slices.SortStableFunc(s.waiting, compare)
}

// oneShare is every team's share: the platform's configuration names none.
const oneShare = 1

func (s *Scheduler) rankerOf(service string) *ranker.Ranker {
	r, ok := s.rankers[service]
	if !ok {
		r = ranker.New()
		s.rankers[service] = r
	}
	return r
}

// Dispatch places what can be placed and refuses what cannot be done in time. It is
// called when something changed, and now and then.
func (s *Scheduler) Dispatch() {
	s.locked(func() {
		s.freed = true
		s.pump()
	})
}

func (s *Scheduler) pump() {
	if len(s.waiting) == 0 {
		return
	}
	now := s.deps.Now()
	l := scan{blocked: make(map[kind]bool), usable: make(map[string][]tracker.State), supplies: make(map[string]*supply)}
	s.sort(now)
	kept := s.waiting[:0:0]
	for _, w := range s.waiting {
		if r, done := s.step(now, w, l); done {
			r.waiter = w
			s.replies = append(s.replies, r)
			continue
		}
		kept = append(kept, w)
	}
	s.waiting, s.freed = kept, false
}

// A kind is what waits for the same places, so that none of it is placed before
// an earlier one. Long prompts are of a kind only with those of about their
// length: one of 600,000 tokens that finds no place must not hold back one of
// 20,000. Short ones that are late are of a kind of their own: an engine that
// reads for long answers none in time, and is still free for these, which would
// else wait behind each new prompt until their callers leave.
type kind struct {
	service string
	size    int
	late    bool
}

// A scan is one pass over all that waits: what is held back, and the upstreams of each
// service, which do not change meanwhile.
type scan struct {
	blocked map[kind]bool
	usable  map[string][]tracker.State
	// supplies are what the limits leave of services whose upstreams have all named one.
	supplies map[string]*supply
}

func (l scan) states(s *Scheduler, now time.Time, service string) []tracker.State {
	states, ok := l.usable[service]
	if !ok {
		states = s.usable(now, service)
		l.usable[service] = states
	}
	return states
}

// step does what can be done for one waiting request.
func (s *Scheduler) step(now time.Time, w *waiter, l scan) (reply, bool) {
	k := kind{w.call.Service.Name, w.times.size, !w.times.long && w.times.late(now)}
	if w.times.hopeless(now, w.call.StopsAt) {
		return reply{refusal: &Refusal{Code: CodeLate, RetryAfter: comeBack, WaitTimes: w.waits.end(now)}}, true
	}
	if now.Before(s.holds) {
		w.waits.turn(now, waitSync)
		return reply{}, false
	}
	if after, is := l.beyond(s, now, w); is {
		return reply{refusal: &Refusal{Code: CodeLimited, RetryAfter: after, WaitTimes: w.waits.end(now)}}, true
	}
	if l.blocked[k] {
		w.waits.turn(now, waitBehind)
		return reply{}, false
	}
	if freed := s.freed && w.holds && !w.times.long; now.Before(w.next) && !freed {
		l.blocked[k] = w.holds
		return reply{}, false
	}
	states := l.states(s, now, w.call.Service.Name)
	if len(states) == 0 && !s.deps.Tracker.Outdated() {
		return reply{refusal: &Refusal{Code: CodeNoUpstream, RetryAfter: comeBack, WaitTimes: w.waits.end(now)}}, true
	}
	choice, ok := s.choose(now, w, s.candidates(now, w.call, states))
	if !ok {
		// One that no engine can begin in time must not hold back those behind it
		// that have more of theirs left.
		w.holds, w.next = choice.Reason != placer.TooLate, now.Add(retryEvery)
		if !w.holds {
			w.next = now.Add(timeEvery)
		}
		l.blocked[k] = w.holds
		w.waits.turn(now, reason(choice.Reason))
		return reply{}, false
	}
	g := s.grant(now, w, choice, states)
	g.WaitTimes = w.waits.end(now)
	return reply{grant: g}, true
}

// usable are the upstreams of the group that may get new work.
func (s *Scheduler) usable(now time.Time, service string) []tracker.State {
	states := s.deps.Tracker.Usable(now, service)
	if s.zone == "" {
		return states
	}
	return slices.DeleteFunc(states, func(u tracker.State) bool { return u.Zone != s.zone })
}

func (s *Scheduler) choose(now time.Time, w *waiter, cs []placer.Candidate) (placer.Placement, bool) {
	if w.call.Service.Engine == nil {
		return placer.ChoosePlain(w.call.Requirements, cs)
	}
	return placer.ChooseEngines(w.call.Service.Engine, w.call.Requirements, cs, now, w.times.urgency(now))
}

func (s *Scheduler) candidates(now time.Time, call Request, states []tracker.State) []placer.Candidate {
	cs := make([]placer.Candidate, 0, len(states))
	for i := range states {
		u := &states[i]
		c := placer.Candidate{
			ID: u.ID, Zone: u.Zone, Slots: u.Slots, SameZone: u.Zone == call.Zone, Quota: unbounded,
			Cold: now.Before(u.ColdUntil), Unreachable: now.Before(u.UnreachableUntil) || slices.Contains(call.Unreachable, u.ID),
			Leaving: now.Before(u.LeavingUntil), Failed: u.Outcomes.Failed, Answered: u.Outcomes.Answered,
		}
		if l, ok := s.work[u.ID]; ok {
			c.Load = *l
		}
		c.Load.Add(s.unknownAt(u.Slots))
		if rate := call.Service.ColdStartRate; rate > 0 && c.Cold {
			c.Quota = s.coldOf(u.ID).Available(now, s.deps.ColdQuota(u.ID, rate))
		}
		if u.Limit.Limited {
			c.Quota = min(c.Quota, s.room(now, u))
		}
		cs = append(cs, c)
	}
	return cs
}

// unknownAt is what others are taken to have at an upstream: no more than half of
// its slots, as one that seems full gets nothing at all.
func (s *Scheduler) unknownAt(slots int) placer.Load {
	l := s.unknown
	l.Streams = min(l.Streams, slots/2)
	return l
}
