package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/sharer"
	"github.com/heathervane/heathervane/entry/process/switcher"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/request/ranker"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// compareWaiters orders by priority, then requests with a claim that is due before others,
// then requests that can still be in time before late ones, then teams within their share before teams over it, then by latest
// start. Without the second criterion a backlog of late prompts would go before
// every request that can still be in time, and make it late as well. Without the
// third, one team's burst would go before the other teams' short prompts.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(
		cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(b.claimed, a.claimed), cmp.Compare(a.late, b.late), cmp.Compare(a.overShare, b.overShare),
		a.timing.latestStart.Compare(b.timing.latestStart),
	)
}

// sortQueue updates the sort keys of the queued requests and sorts the queue. Requests
// that are due by the share of their class go first.
func (s *Scheduler) sortQueue(now time.Time) {
	shares := s.policy().Shares
	for _, w := range s.queue {
		w.late, w.overShare, w.due = 0, 0, false
		if w.timing.late(now) {
			w.late = 1
		}
		if shares != switcher.Off && s.ranker(w.request.Service.Name).OverShare(now, w.request.Team) {
			w.overShare = 1
		}
	}
	slices.SortStableFunc(s.queue, compareWaiters)
	if s.markDue(shares) {
		slices.SortStableFunc(s.queue, func(a, b *waiter) int {
			switch {
			case a.due == b.due:
				return 0
			case a.due:
				return -1
			}
			return 1
		})
	}
}

// A sharedClass is a class of requests of one service that share an account.
type sharedClass struct {
	service string
	class   sharer.Class
}

// markDue marks the requests that are due by the share of their class, given the queue in
// order, and reports whether there are any.
func (s *Scheduler) markDue(shares switcher.Mode) (due bool) {
	waiting := make(map[string]map[sharer.Class]bool)
	for _, w := range s.queue {
		service := w.request.Service
		if !shares.Enabled(service.HasPriorities()) {
			continue
		}
		if waiting[service.Name] == nil {
			waiting[service.Name] = make(map[sharer.Class]bool)
		}
		waiting[service.Name][w.class()] = true
	}
	for service, classes := range waiting {
		s.sharer(service).SetWaiting(classes)
	}
	for service, sh := range s.sharers {
		if waiting[service] == nil {
			sh.SetWaiting(nil)
		}
	}
	costs := make(map[sharedClass]float64)
	for _, w := range s.queue {
		service := w.request.Service.Name
		if waiting[service] == nil {
			continue
		}
		k := sharedClass{service, w.class()}
		costs[k] += w.cost()
		w.due = s.sharer(service).Due(k.class, costs[k])
		due = due || w.due
	}
	return due
}

func (w *waiter) class() sharer.Class {
	return sharer.Class{Priority: w.request.Priority, Size: w.timing.sizeClass}
}

// cost returns the engine time in milliseconds that the request is expected to take: that
// of its prefill, and its part of the passes that generate its answer.
func (w *waiter) cost() float64 {
	e, r := w.request.Service.Engine, &w.request.Requirements
	if e == nil {
		return 1
	}
	passes := placer.TypicalOutputShare * float64(r.Output) / float64(max(1, e.StepsPerPass))
	return placer.PrefillTime(e, r.Prompt, 1) + passes*placer.DecodePassTime(e, typicalStreams, typicalContext)/typicalStreams
}

// recordServed books a granted request to the account of its class and to its team.
func (s *Scheduler) recordServed(now time.Time, w *waiter) {
	service := w.request.Service
	r := &w.request.Requirements
	s.ranker(service.Name).Record(now, w.request.Team, s.teamShare(w.request.Team), max(1, r.Prompt+r.Output))
	if !s.policy().Shares.Enabled(service.HasPriorities()) {
		return
	}
	s.sharer(service.Name).Serve(w.class(), w.cost(), s.weightOf(service))
	if w.due {
		s.count("shares.due")
		s.deps.Log.Info().Str("service", service.Name).Int("priority", w.request.Priority).Str("team", w.request.Team).Int("prompt", r.Prompt).
			Float64("cost", w.cost()).Dur("waited", now.Sub(r.Arrived)).Msg("placed a request that was due by its share")
	}
}

// weightOf returns the weights of a service's priorities.
func (s *Scheduler) weightOf(service *matcher.Service) func(priority int) float64 {
	set := s.policy().PriorityWeights
	return func(priority int) float64 { return sharer.Weight(set, service.Priorities, priority) }
}

// teamShareUnit is the share of a team with the weight 1 where the settings name weights.
const teamShareUnit = 1000

// teamShare returns the share of a team. All are equal if the settings name no weights.
func (s *Scheduler) teamShare(team string) int {
	weights := s.policy().TeamWeights
	if len(weights) == 0 {
		return 1
	}
	if weight, ok := weights[team]; ok {
		return max(1, int(math.Round(weight*teamShareUnit)))
	}
	return teamShareUnit
}

func (s *Scheduler) ranker(service string) *ranker.Ranker {
	r, ok := s.rankers[service]
	if !ok {
		r = ranker.New()
		s.rankers[service] = r
	}
	return r
}

func (s *Scheduler) sharer(service string) *sharer.Sharer {
	sh, ok := s.sharers[service]
	if !ok {
		sh = sharer.New()
		s.sharers[service] = sh
	}
	return sh
}
