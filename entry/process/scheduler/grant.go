package scheduler

import (
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
	"github.com/heathervane/heathervane/library/describer"
)

// A Helper is an upstream that prefills a part of a prompt.
type Helper struct {
	tracker.Upstream
	// ReservedTokens is the memory to reserve there; 0 for none.
	ReservedTokens int
}

// A Grant is a slot at an upstream, and at those that help to prefill the prompt.
type Grant struct {
	Upstream tracker.State
	Helpers  []Helper
	// Estimate is the estimated time to the first event in milliseconds, and Load
	// the load of the upstream when it was chosen.
	Estimate float64
	Load     placer.Load
	// WaitTimes is how long the request was queued, by reason.
	WaitTimes WaitTimes
	// UsedClaim is the fingerprint of the claim that ended with this grant; 0 for none.
	UsedClaim uint64

	// Workload is the load of the grant, as another Scheduler needs it for Adopt.
	Workload Workload

	scheduler *Scheduler
	// service, priority and since are those of the request and when it got its slot; empty
	// if another Scheduler has placed it. counted is set if it counts as a stream of its
	// priority, and kind describes the request to operators.
	service  string
	priority int
	since    time.Time
	counted  bool
	kind     describer.Class
	// withdraw asks for the slot back, and withdrawnAt is when it was called; nil and zero
	// if it was not, or if the request must keep its slot.
	withdraw    func()
	withdrawnAt time.Time
	// timed is the service if the speed of its upstreams is learnt, otherwise nil, and
	// expected how long the request should take to its first event.
	timed    *matcher.Service
	expected time.Duration
	loads    []upstreamLoad
	started  bool
	ended    bool
}

// A Workload is the load that a request adds to the upstreams of its grant.
type Workload struct {
	Prompt, Output int
	// MaxPause is the longest pause between events that the caller tolerates, and
	// Prefill the prefill time at each upstream, both in milliseconds.
	MaxPause, Prefill float64
	// Long is set if the prompt is prefilled in parts.
	Long bool
	// Main and Helpers are the upstreams, and ReservedTokens the memory reserved
	// at each helper.
	Main           string
	Helpers        []string
	ReservedTokens []int
}

// An upstreamLoad is the load that a request adds to one upstream.
type upstreamLoad struct {
	id string
	// untilStart lasts until the first token, untilEnd until the request ends.
	untilStart, untilEnd placer.Load
}

// perUpstream returns the load at each upstream.
func (w Workload) perUpstream() []upstreamLoad {
	context := w.Prompt + w.Output
	for _, n := range w.ReservedTokens {
		context -= n
	}
	perPart := placer.Load{PendingPrefill: w.Prefill}
	if w.Long {
		perPart.Parts = 1
	}
	main := perPart
	main.Starting = 1
	stakes := placer.Request{Prompt: w.Prompt, MaxPause: w.MaxPause}.PauseWeights()
	all := []upstreamLoad{{w.Main, main, placer.Load{Streams: 1, ContextTokens: max(0, context), PauseWeights: stakes}}}
	for i, id := range w.Helpers {
		untilEnd := placer.Load{}
		if i < len(w.ReservedTokens) {
			untilEnd.ContextTokens = w.ReservedTokens[i]
		}
		all = append(all, upstreamLoad{id, perPart, untilEnd})
	}
	return all
}

// grant takes the chosen slots. The caller holds the lock.
func (s *Scheduler) grant(now time.Time, w *waiter, c placer.Placement, states []tracker.State) *Grant {
	main := states[c.Main]
	g := &Grant{Upstream: main, Estimate: c.TimeToFirstEvent, scheduler: s, kind: w.kind()}
	s.running[g] = struct{}{}
	if l, ok := s.loads[main.ID]; ok {
		g.Load = *l
	}
	reserved := make(map[int]int)
	for _, t := range c.Reservations {
		reserved[t.Candidate] = t.Tokens
	}
	g.Workload = Workload{
		Prompt: w.request.Requirements.Prompt, Output: w.request.Requirements.Output, MaxPause: w.request.Requirements.MaxPause,
		Prefill: c.PrefillTime, Long: w.timing.long, Main: main.ID,
	}
	for _, i := range c.Helpers {
		g.Helpers = append(g.Helpers, Helper{states[i].Upstream, reserved[i]})
		g.Workload.Helpers = append(g.Workload.Helpers, states[i].ID)
		g.Workload.ReservedTokens = append(g.Workload.ReservedTokens, reserved[i])
	}
	if s.learnsSpeeds() {
		g.timed, g.expected = w.request.Service, s.expectedTime(w.request.Service, g.Workload)
	}
	g.reserve()
	s.coldLimiter(main.ID).Sent(now)
	s.countSent(&main)
	s.recordServed(now, w)
	s.recordBegun(now, w, g)
	if g.withdraw = w.request.Withdraw; g.withdraw != nil {
		s.reading = append(s.reading, g)
	}
	return g
}

// reserve adds the load of the grant to its upstreams.
func (g *Grant) reserve() {
	g.loads = g.Workload.perUpstream()
	for _, h := range g.loads {
		g.scheduler.addLoad(h.id, h.untilStart, 1)
		g.scheduler.addLoad(h.id, h.untilEnd, 1)
	}
}

// Adopt counts a grant of another Scheduler. Without it a VM that starts to
// schedule for a group would take the group's upstreams for idle.
func (s *Scheduler) Adopt(w Workload, started bool) *Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &Grant{Workload: w, scheduler: s}
	g.reserve()
	if started {
		g.markStarted()
	}
	return g
}

// MarkStarted records that the first token has arrived: the prefill is complete.
func (g *Grant) MarkStarted() {
	g.scheduler.withLock(func() {
		if !g.started {
			g.scheduler.observeStart(g)
		}
		g.markStarted()
		g.scheduler.dispatch()
	})
}

func (g *Grant) markStarted() {
	if g.started {
		return
	}
	g.started = true
	if g.withdraw != nil {
		s := g.scheduler
		s.reading = slices.DeleteFunc(s.reading, func(o *Grant) bool { return o == g })
	}
	for _, h := range g.loads {
		g.scheduler.addLoad(h.id, h.untilStart, -1)
	}
}

// Release returns the slots. It may be called more than once.
func (g *Grant) Release() {
	g.scheduler.withLock(func() {
		if g.ended {
			return
		}
		g.ended, g.scheduler.capacityFreed = true, true
		delete(g.scheduler.running, g)
		g.scheduler.recordEnded(g)
		g.scheduler.retryAfterWithdrawal(g)
		g.markStarted()
		for _, h := range g.loads {
			g.scheduler.addLoad(h.id, h.untilEnd, -1)
		}
		g.scheduler.dispatch()
	})
}
