package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/provisioner"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// A keptKey identifies the requests from which the same upstreams are kept free.
type keptKey struct {
	service  string
	priority int
}

// withoutKept returns the upstreams that a request may use: those that are not kept free
// for more urgent ones. That holds also for a request that is due by its share: the share
// bounds what is kept, so that its part of the upstreams is left to it.
func (s *Scheduler) withoutKept(now time.Time, w *waiter, p dispatchPass, states []tracker.State) []tracker.State {
	service := w.request.Service
	if !s.policy().Headroom.Enabled(service.HasPriorities()) || w.request.Priority <= service.Priorities[0] {
		return states
	}
	key := keptKey{service.Name, w.request.Priority}
	kept, ok := p.kept[key]
	if !ok {
		kept = s.keep(now, service, w.request.Priority, p.usableUpstreams(s, now, service.Name))
		p.kept[key] = kept
	}
	if len(kept) == 0 {
		return states
	}
	visible := make([]tracker.State, 0, len(states))
	for i := range states {
		if !kept[states[i].ID] {
			visible = append(visible, states[i])
		}
	}
	return visible
}

// keep chooses the upstreams that are kept free from requests of a priority: those that
// have streams of more urgent short ones, which a part of a long prompt would pause, and as many
// as these will fill, but not more than their share. After those with streams it takes
// the ones that the placer prefers for short prompts.
func (s *Scheduler) keep(now time.Time, service *matcher.Service, priority int, states []tracker.State) map[string]bool {
	urgent := 0
	for _, w := range s.queue {
		if w.request.Service.Name == service.Name && w.request.Priority < priority && !w.timing.long {
			urgent++
		}
	}
	loads, streams := make([]placer.Load, len(states)), make([]int, len(states))
	order := make([]int, len(states))
	for i := range states {
		order[i] = i
		if l, ok := s.loads[states[i].ID]; ok {
			loads[i] = *l
		}
		for q, n := range s.streams[states[i].ID] {
			if q < priority {
				streams[i] += n
			}
		}
	}
	needed := s.provisioner(service.Name).Streams(now, priority, urgent, usualHeldTime(service.Engine))
	left, most := needed, int(float64(len(states))*s.shareAbove(service, priority))
	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Or(cmp.Compare(streams[j], streams[i]), cmp.Compare(loads[i].Parts, loads[j].Parts), cmp.Compare(loads[j].Streams, loads[i].Streams), cmp.Compare(states[i].ID, states[j].ID))
	})
	kept := make(map[string]bool)
	for _, i := range order {
		if (left <= 0 && streams[i] == 0) || len(kept) >= most {
			break
		}
		places := streams[i]
		if loads[i].Parts == 0 {
			places += max(0, placer.PackingLimit(states[i].Slots)-loads[i].Streams)
		}
		if places > 0 {
			kept[states[i].ID] = true
			left -= places
		}
	}
	s.logKept(now, keptKey{service.Name, priority}, keptRecord{len(kept), now}, needed, urgent, len(states))
	return kept
}

// keptLogInterval is the minimum time between two log lines on what is kept free from the
// same requests, which may change with each of them.
const keptLogInterval = time.Second

// A keptRecord is how many upstreams were kept free, as last logged.
type keptRecord struct {
	upstreams int
	at        time.Time
}

func (s *Scheduler) logKept(now time.Time, key keptKey, r keptRecord, needed, waiting, usable int) {
	last := s.keptLogged[key]
	if last.upstreams == r.upstreams || now.Sub(last.at) < keptLogInterval {
		return
	}
	s.keptLogged[key] = r
	s.count("headroom.changes")
	s.deps.Log.Info().Str("service", key.service).Int("priority", key.priority).Int("kept", r.upstreams).Int("before", last.upstreams).
		Int("upstreams", usable).Int("needed", needed).Int("waiting", waiting).Msg("upstreams kept free for more urgent requests")
}

// shareAbove returns the share of a service's capacity of the priorities more urgent than
// the given one.
func (s *Scheduler) shareAbove(service *matcher.Service, priority int) float64 {
	weight := s.weightOf(service)
	above, total := 0.0, 0.0
	for _, q := range service.Priorities {
		total += weight(q)
		if q < priority {
			above += weight(q)
		}
	}
	return above / total
}

// usualHeldTime is the time for which a request is expected to hold its slot.
func usualHeldTime(e *matcher.Engine) time.Duration {
	if e == nil {
		return plainServiceTime
	}
	return milliseconds(typicalPasses * placer.DecodePassTime(e, typicalStreams, typicalContext))
}

// typicalPasses is the number of passes of an engine that generate a typical answer.
const typicalPasses = 30

// recordBegun and recordEnded tell the provisioner of a request.
func (s *Scheduler) recordBegun(now time.Time, w *waiter, g *Grant) {
	g.service, g.priority, g.since = w.request.Service.Name, w.request.Priority, now
	// Long prompts have the time to wait for an engine.
	if w.request.Service.HasPriorities() && !w.timing.long {
		s.provisioner(g.service).Began(now, g.priority)
		g.counted = true
		g.countStream(1)
	}
}

// countStream adds n to the streams of the grant's priority at its upstream.
func (g *Grant) countStream(n int) {
	s, id := g.scheduler, g.Workload.Main
	if s.streams[id] == nil {
		s.streams[id] = make(map[int]int)
	}
	s.streams[id][g.priority] += n
	if s.streams[id][g.priority] == 0 {
		delete(s.streams[id], g.priority)
	}
	if len(s.streams[id]) == 0 {
		delete(s.streams, id)
	}
}

func (s *Scheduler) recordEnded(g *Grant) {
	if !g.counted {
		return
	}
	g.countStream(-1)
	// A request that was never answered says nothing about how long answers take.
	if g.started {
		s.provisioner(g.service).Ended(s.deps.Now(), g.priority, s.deps.Now().Sub(g.since))
	}
}

func (s *Scheduler) provisioner(service string) *provisioner.Provisioner {
	p, ok := s.provisioners[service]
	if !ok {
		p = provisioner.New()
		s.provisioners[service] = p
	}
	return p
}
