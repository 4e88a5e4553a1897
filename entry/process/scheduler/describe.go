package scheduler

import (
	"fmt"

	"github.com/heathervane/heathervane/library/describer"
)

// Waiting returns the queued requests by class.
func (s *Scheduler) Waiting() []describer.Class {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, all := s.deps.Now(), describer.Classes{}
	for _, w := range s.queue {
		all.Add(w.kind(), now.Sub(w.request.Requirements.Arrived).Milliseconds())
	}
	return all.List()
}

// Running returns the requests that this Scheduler has placed and that have not ended,
// by class. Those that another Scheduler has placed are not among them.
func (s *Scheduler) Running() []describer.Class {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, all := s.deps.Now(), describer.Classes{}
	for g := range s.running {
		all.Add(g.kind, now.Sub(g.since).Milliseconds())
	}
	return all.List()
}

// Details returns figures of optional features for operators.
func (s *Scheduler) Details() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Now()
	all := map[string]float64{
		"claims": float64(len(s.deferrer.All(now))), "slow upstreams": float64(s.speeds.Slow(now)),
	}
	for key, kept := range s.keptLogged {
		all[fmt.Sprintf("upstreams kept free from priority %d", key.priority)] = float64(kept.upstreams)
	}
	return all
}

// kind returns the class of a request in reports to operators.
func (w *waiter) kind() describer.Class {
	kind := describer.Plain
	switch {
	case w.request.Service.Engine == nil:
	case w.timing.long:
		kind = describer.Long
	default:
		kind = describer.Short
	}
	return describer.Class{Priority: w.request.Priority, Team: w.request.Team, Kind: kind}
}
