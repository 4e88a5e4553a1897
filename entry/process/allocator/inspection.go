package allocator

import (
	"context"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/inspector"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// restartWindow is how long after the start of a process engines may still work on
	// requests of processes that are gone, and within which VMs started together.
	restartWindow = 5 * time.Second
	// inspectionPause is how long placement waits for the engines' reports. Reports that
	// take longer count when they arrive, up to inspectionTimeout.
	inspectionPause   = 40 * time.Millisecond
	inspectionTimeout = 300 * time.Millisecond
	// maxInspected bounds the engines of a group that are asked, as each report has a cost.
	maxInspected = 64
)

// mustInspect reports whether the VMs' reports cannot tell what the engines of a group do,
// because most VMs have just started. Each process asks the engines of a group once.
func (a *Allocator) mustInspect(now time.Time, l *ledGroup) bool {
	if l.inspected || now.Sub(a.startedAt) > restartWindow || a.deps.Report == nil || a.deps.Tracker.Outdated() {
		return false
	}
	s, ok := a.deps.Service(l.group.Service)
	return ok && s.Engine != nil && a.policy().Inspection.Enabled(s.Engine.UsualOutput > 0) &&
		a.isLeader(now, l.group) && a.deps.FleetRestarted(restartWindow)
}

// inspect asks the engines of a group what they do, and suspends placement for a moment.
func (a *Allocator) inspect(now time.Time, l *ledGroup) {
	s, ok := a.deps.Service(l.group.Service)
	if !ok {
		return
	}
	states := slices.DeleteFunc(a.deps.Tracker.Usable(now, s.Name), func(u tracker.State) bool {
		return l.group.Zone != "" && u.Zone != l.group.Zone
	})
	if len(states) == 0 {
		return
	}
	states = states[:min(len(states), maxInspected)]
	l.inspected, l.inspecting = true, true
	l.scheduler.PauseUntil(now.Add(inspectionPause))
	a.deps.Meter.Count("inspections", int64(len(states)))
	go a.collectReports(now, l, s.Engine, states)
}

// An engineReport is the report of an upstream, or the failure to get one.
type engineReport struct {
	upstream string
	report   inspector.Report
	err      error
}

// collectReports asks engines for their reports. Those that arrive during the pause are
// compared with the load that the VMs have reported when it ends.
func (a *Allocator) collectReports(startedAt time.Time, l *ledGroup, e *matcher.Engine, states []tracker.State) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectionTimeout)
	defer cancel()
	results := make(chan engineReport, len(states))
	for i := range states {
		go func() {
			r, err := a.deps.Report(ctx, states[i].Address)
			results <- engineReport{states[i].ID, r, err}
		}()
	}
	pause := time.NewTimer(inspectionPause)
	defer pause.Stop()
	var early []engineReport
	for waiting := true; waiting && len(early) < len(states); {
		select {
		case r := <-results:
			early = append(early, r)
		case <-pause.C:
			waiting = false
		}
	}
	var known map[string]placer.Load
	var sum inspection
	a.locked(func(now time.Time) {
		known = l.scheduler.Loads()
		for _, r := range early {
			sum.add(a.assume(now, l, e, r, known))
		}
		l.inspecting = false
		l.resume(now)
	})
	sum.early = sum.answered
	for range len(states) - len(early) {
		r := <-results
		a.locked(func(now time.Time) { sum.add(a.assume(now, l, e, r, known)) })
	}
	a.deps.Log.Info().Str("service", l.group.Service).Str("zone", l.group.Zone).Int("asked", len(states)).Int("answered", sum.answered).
		Int("early", sum.early).Int("streams", sum.streams).Int("context", sum.context).Dur("age", e.ReportLag).
		Dur("took", a.deps.Now().Sub(startedAt)).Msg("asked engines what they do for requests of VMs that are gone")
}

// assume makes the scheduler count what an engine does beyond the known load.
func (a *Allocator) assume(now time.Time, l *ledGroup, e *matcher.Engine, r engineReport, known map[string]placer.Load) (left placer.Load, err error) {
	a.deps.Log.Debug().Str("upstream", r.upstream).Int("waiting", r.report.Waiting).Int("running", r.report.Running).Int("context", r.report.UsedTokens).
		Float64("pace", r.report.Pace).Int("known", known[r.upstream].Streams).Err(r.err).Msg("report of an engine")
	if r.err != nil {
		return left, r.err
	}
	w := inspector.Estimate(e, r.report, known[r.upstream], now)
	l.scheduler.AssumeWork(r.upstream, w)
	left, _ = w.At(now)
	return left, nil
}

// An inspection sums up the engines' reports for the log.
type inspection struct {
	answered, early, streams, context int
}

func (i *inspection) add(l placer.Load, err error) {
	if err != nil {
		return
	}
	i.answered++
	i.streams += l.Streams
	i.context += l.ContextTokens
}
