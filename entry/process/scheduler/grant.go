package scheduler

import (
	"time"

	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// A Helper is an upstream that reads a part of a prompt.
type Helper struct {
	tracker.Upstream
	// Tokens is the memory to be set aside there; 0 for none.
	Tokens int
}

// A Grant is a place at an upstream, and at those that help to read.
type Grant struct {
	Upstream tracker.State
	Helpers  []Helper
	// First is the estimated time to the first event in milliseconds, and
	// Load the work at the upstream when it was chosen.
	Estimate float64
	Load     placer.Load
	// Waits is how long it was waited for, and why.
	Waits Waits

	scheduler *Scheduler
	shares    []share
	started   bool
	ended     bool
}

// A share is the work that a request brings to one upstream.
type share struct {
	id string
	// unread ends with the first token, held with the request.
	unread, held placer.Load
}

// grant takes the chosen places. The caller holds the lock.
func (s *Scheduler) grant(now time.Time, w *waiter, c placer.Choice, states []tracker.State) *Grant {
	main := states[c.Main]
	g := &Grant{Upstream: main, Estimate: c.First, scheduler: s, Load: s.deps.Peers.Load(main.ID)}
	if own, ok := s.own[main.ID]; ok {
		g.Load.Add(*own)
	}
	aside := make(map[int]int)
	context := w.call.Ask.Prompt + w.call.Ask.Output
	for _, t := range c.Tickets {
		aside[t.Candidate] = t.Tokens
		context -= t.Tokens
	}
	part := placer.Load{Unread: c.Read}
	if w.times.long {
		part.Parts = 1
	}
	first := part
	first.Starting = 1
	g.shares = append(g.shares, share{main.ID, first, placer.Load{Streams: 1, Context: max(0, context), Stakes: w.call.Ask.Stake()}})
	for _, i := range c.Helpers {
		g.Helpers = append(g.Helpers, Helper{states[i].Upstream, aside[i]})
		g.shares = append(g.shares, share{states[i].ID, part, placer.Load{Context: aside[i]}})
	}
	for _, h := range g.shares {
		s.add(h.id, h.unread, 1)
		s.add(h.id, h.held, 1)
	}
	s.coldOf(main.ID).Sent(now)
	s.rankerOf(w.call.Service.Name).Note(now, w.call.Team, oneShare, max(1, w.call.Ask.Prompt+w.call.Ask.Output))
	return g
}

// Began notes that the first token came: all parts have been read.
func (g *Grant) Began() {
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	g.began()
	g.scheduler.pump()
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

// Done gives the places back. It may be called more than once.
func (g *Grant) Done() {
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	if g.ended {
		return
	}
	g.ended = true
	g.began()
	for _, h := range g.shares {
		g.scheduler.add(h.id, h.held, -1)
	}
	g.scheduler.pump()
}
