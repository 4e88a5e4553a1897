package scheduler

import (
	"time"

	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// A Helper is an upstream that reads a part of a prompt.
type Helper struct {
	tracker.Upstream
	// ReservedTokens is the memory to be set aside there; 0 for none.
	ReservedTokens int
}

// A Grant is a place at an upstream, and at those that help to read.
type Grant struct {
	Upstream tracker.State
	Helpers  []Helper
	// Estimate is the estimated time to the first event in milliseconds, and
	// Load the work at the upstream when it was chosen.
	Estimate float64
	Load     placer.Load
	// WaitTimes is how long it was waited for, and why.
	WaitTimes WaitTimes

	// Workload is what the place takes, as another Scheduler has to know it.
	Workload Workload

	scheduler *Scheduler
	shares    []share
	started   bool
	ended     bool
}

// A Workload is what a request brings to the upstreams of its place.
type Workload struct {
	Prompt, Output int
	// MaxPause is the longest pause between events in milliseconds that its caller
	// bears, and Prefill each upstream's reading time in milliseconds.
	MaxPause, Prefill float64
	// Long says that it is read in parts.
	Long bool
	// Main and Helpers are the upstreams, Tokens the memory set aside at each of
	// the helpers.
	Main           string
	Helpers        []string
	ReservedTokens []int
}

// A share is the work that a request brings to one upstream.
type share struct {
	id string
	// unread ends with the first token, held with the request.
	unread, held placer.Load
}

// shares are what a work brings to each upstream.
func (w Workload) shares() []share {
	context := w.Prompt + w.Output
	for _, n := range w.ReservedTokens {
		context -= n
	}
	part := placer.Load{PendingPrefill: w.Prefill}
	if w.Long {
		part.Parts = 1
	}
	first := part
	first.Starting = 1
	stake := placer.Request{Prompt: w.Prompt, MaxPause: w.MaxPause}.PauseWeights()
	all := []share{{w.Main, first, placer.Load{Streams: 1, ContextTokens: max(0, context), PauseWeights: stake}}}
	for i, id := range w.Helpers {
		held := placer.Load{}
		if i < len(w.ReservedTokens) {
			held.ContextTokens = w.ReservedTokens[i]
		}
		all = append(all, share{id, part, held})
	}
	return all
}

// grant takes the chosen places. The caller holds the lock.
func (s *Scheduler) grant(now time.Time, w *waiter, c placer.Placement, states []tracker.State) *Grant {
	main := states[c.Main]
	g := &Grant{Upstream: main, Estimate: c.TimeToFirstEvent, scheduler: s}
	if l, ok := s.work[main.ID]; ok {
		g.Load = *l
	}
	aside := make(map[int]int)
	for _, t := range c.Reservations {
		aside[t.Candidate] = t.Tokens
	}
	g.Workload = Workload{
		Prompt: w.call.Requirements.Prompt, Output: w.call.Requirements.Output, MaxPause: w.call.Requirements.MaxPause,
		Prefill: c.PrefillTime, Long: w.times.long, Main: main.ID,
	}
	for _, i := range c.Helpers {
		g.Helpers = append(g.Helpers, Helper{states[i].Upstream, aside[i]})
		g.Workload.Helpers = append(g.Workload.Helpers, states[i].ID)
		g.Workload.ReservedTokens = append(g.Workload.ReservedTokens, aside[i])
	}
	g.take()
	s.coldOf(main.ID).Sent(now)
	s.note(&main)
	s.rankerOf(w.call.Service.Name).Record(now, w.call.Team, oneShare, max(1, w.call.Requirements.Prompt+w.call.Requirements.Output))
	return g
}

// take counts the work of a place.
func (g *Grant) take() {
	g.shares = g.Workload.shares()
	for _, h := range g.shares {
		g.scheduler.add(h.id, h.unread, 1)
		g.scheduler.add(h.id, h.held, 1)
	}
}

// Adopt counts a place that another Scheduler has given. Without it whoever
// begins to schedule for a group would take its upstreams for idle.
func (s *Scheduler) Adopt(w Workload, began bool) *Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &Grant{Workload: w, scheduler: s}
	g.take()
	if began {
		g.began()
	}
	return g
}

// MarkStarted notes that the first token came: all parts have been read.
func (g *Grant) MarkStarted() {
	g.scheduler.locked(func() {
		g.began()
		g.scheduler.pump()
	})
}

func (g *Grant) began() {
	if g.started {
		return
	}
	g.started = true
	for _, h := range g.shares {
		g.scheduler.add(h.id, h.unread, -1)
	}
}

// Release gives the places back. It may be called more than once.
func (g *Grant) Release() {
	g.scheduler.locked(func() {
		if g.ended {
			return
		}
		g.ended, g.scheduler.freed = true, true
		g.began()
		for _, h := range g.shares {
			g.scheduler.add(h.id, h.held, -1)
		}
		g.scheduler.pump()
	})
}
