package scheduler

import (
	"time"

	"github.com/heathervane/heathervane/entry/process/calibrator"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// overdueInterval is how often unanswered requests are compared with what was
	// expected of them.
	overdueInterval = 50 * time.Millisecond
	// medianStep is the factor by which the usual duration of a plain service moves with
	// each request, so that it follows the median.
	medianStep = 1.05
	// firstPlainDuration is where it begins.
	firstPlainDuration = 20 * time.Millisecond
)

// learnsSpeeds reports whether the speed of upstreams is learnt.
func (s *Scheduler) learnsSpeeds() bool { return s.policy().Speeds.Enabled(false) }

// expectedTime returns how long a request should take to its first event at upstreams as
// fast as their figures, given the load there before it; for a plain service, how long
// its requests usually take.
func (s *Scheduler) expectedTime(service *matcher.Service, w Workload) time.Duration {
	if service.Engine == nil {
		if d, ok := s.plainDurations[service.Name]; ok {
			return d
		}
		return firstPlainDuration
	}
	longest := 0.0
	for _, id := range append([]string{w.Main}, w.Helpers...) {
		load := placer.Load{}
		if l, ok := s.loads[id]; ok {
			load = *l
		}
		longest = max(longest, placer.TimeToFirstToken(service.Engine, load, w.Prefill))
	}
	return milliseconds(longest)
}

// observeStart learns from a request whose first event, or whose answer, has arrived.
func (s *Scheduler) observeStart(g *Grant) {
	if g.timed == nil {
		return
	}
	now := s.deps.Now()
	actual := now.Sub(g.since)
	ratio := calibrator.Ratio(g.expected, actual)
	s.speeds.Observe(now, g.upstreams(), ratio)
	if g.timed.Engine == nil {
		usual := s.expectedTime(g.timed, g.Workload)
		if actual > usual {
			usual = time.Duration(float64(usual) * medianStep)
		} else {
			usual = time.Duration(float64(usual) / medianStep)
		}
		s.plainDurations[g.timed.Name] = usual
	}
	if calibrator.IsSlow(ratio) && len(g.Workload.Helpers) == 0 {
		s.count("upstreams.slow")
		s.deps.Log.Info().Str("service", g.timed.Name).Str("upstream", g.Workload.Main).Float64("slowness", ratio).
			Dur("expected", g.expected).Dur("actual", actual).Msg("upstream slower than expected")
	}
}

// upstreams returns all upstreams of the grant.
func (g *Grant) upstreams() []string { return append([]string{g.Workload.Main}, g.Workload.Helpers...) }

// observeOverdue learns from requests whose first event is late.
func (s *Scheduler) observeOverdue(now time.Time) {
	if now.Sub(s.overdueCheckedAt) < overdueInterval {
		return
	}
	s.overdueCheckedAt = now
	for g := range s.running {
		if !g.started && g.timed != nil && len(g.Workload.Helpers) == 0 {
			s.speeds.Overdue(now, g.Workload.Main, calibrator.Ratio(g.expected, now.Sub(g.since)))
		}
	}
}
