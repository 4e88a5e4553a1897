package scheduler

import (
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/preempter"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// withdrawalTimeout is how long after a request was asked to give way its slot may still
// become free. After that its VM has refused, or a message was lost.
const withdrawalTimeout = 150 * time.Millisecond

// preempt asks requests that are read without an event yet to give way to more urgent
// short prompts that this pass could not place. Long prompts have the time to wait.
func (s *Scheduler) preempt(now time.Time, p dispatchPass) {
	if len(s.reading) == 0 {
		return
	}
	seen := make(map[keptKey]bool)
	for _, w := range s.queue {
		service := w.request.Service
		key := keptKey{service.Name, w.request.Priority}
		if seen[key] || !s.policy().Preemption.Enabled(service.HasPriorities()) || service.Engine == nil || !w.waitsForEngine(now) {
			continue
		}
		seen[key] = true
		s.preemptFor(now, w, p.usableUpstreams(s, now, service.Name))
	}
}

// waitsForEngine reports whether a short prompt that can still be in time waits because
// no engine could start it.
func (w *waiter) waitsForEngine(now time.Time) bool {
	reason := w.wait.reason
	return !w.timing.long && !w.timing.late(now) && (reason == waitReason(placer.NoEngine) || reason == waitReason(placer.TooLate))
}

func (s *Scheduler) preemptFor(now time.Time, w *waiter, states []tracker.State) {
	alike := 0
	for _, o := range s.queue {
		if o.request.Service.Name == w.request.Service.Name && o.request.Priority == w.request.Priority && !o.timing.long && !o.timing.late(now) {
			alike++
		}
	}
	var grants []*Grant
	var holders []preempter.Holder
	for _, g := range s.reading {
		if g.service != w.request.Service.Name {
			continue
		}
		h := s.holder(now, g, w, states)
		switch {
		case g.withdrawnAt.IsZero():
			grants, holders = append(grants, g), append(holders, h)
		case now.Sub(g.withdrawnAt) < withdrawalTimeout:
			alike -= h.Slots
		}
	}
	waiter := preempter.Waiter{Priority: w.request.Priority, Left: inMilliseconds(w.timing.latestStart.Sub(now)), Alike: alike}
	i, ok := preempter.Choose(waiter, holders)
	if !ok {
		return
	}
	g, h := grants[i], holders[i]
	g.withdrawnAt = now
	s.withdrawals = append(s.withdrawals, g.withdraw)
	s.count("preemptions")
	s.deps.Log.Info().Str("service", g.service).Str("upstream", g.Workload.Main).Int("priority", h.Priority).Int("urgent", waiter.Priority).
		Float64("left", waiter.Left).Int("alike", alike).Float64("read", h.Read).Float64("remaining", h.Remaining).
		Int("upstreams", h.Upstreams).Msg("asked a request to give way to a more urgent one")
}

// retryAfterWithdrawal lets the requests for which a slot was given back try at once.
func (s *Scheduler) retryAfterWithdrawal(g *Grant) {
	if g.withdrawnAt.IsZero() {
		return
	}
	for _, w := range s.queue {
		if w.request.Priority < g.priority {
			w.retryAt = time.Time{}
		}
	}
}

// holder describes a request that may give way to another one.
func (s *Scheduler) holder(now time.Time, g *Grant, w *waiter, states []tracker.State) preempter.Holder {
	read := min(inMilliseconds(now.Sub(g.since)), g.Workload.Prefill)
	h := preempter.Holder{Priority: g.priority, Read: read, Remaining: g.Workload.Prefill - read, Upstreams: 1 + len(g.Workload.Helpers)}
	e := w.request.Service.Engine
	untilObjective := inMilliseconds(w.request.Requirements.Objective.Sub(now))
	for _, held := range g.loads {
		i := slices.IndexFunc(states, func(u tracker.State) bool { return u.ID == held.id })
		l, ok := s.loads[held.id]
		if !ok || i < 0 || now.Before(states[i].UnreachableUntil) || slices.Contains(w.request.Unreachable, held.id) {
			continue
		}
		freed := *l
		freed.Sub(held.untilStart)
		freed.Sub(held.untilEnd)
		if freed.Parts == 0 && placer.TimeToFirstToken(e, freed, placer.PrefillTime(e, w.request.Requirements.Prompt, 1)) <= untilObjective {
			h.Slots += max(0, placer.PackingLimit(states[i].Slots)-freed.Streams)
		}
	}
	return h
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
