package allocator

import (
	"net/netip"
	"time"

	"github.com/heathervane/heathervane/entry/process/budgeter"
)

const (
	// besideShare is what of an upstream's limit those may use who give places beside
	// the leader of its group: each VM that leads in place of it, and all together
	// that decide for themselves only.
	besideShare = 0.1
	// sideShare is how much more than their part of all VMs those may use that hear
	// each other, where others are not heard: these may be dead, or have a leader of
	// their own.
	sideShare = 1.2
)

// limitPart is what of an upstream's limit this VM may use that gives places in a
// group.
func (a *Allocator) limitPart(l *led, named float64) float64 {
	heard := 1 + len(a.deps.Members())
	all := max(heard, a.deps.FleetSize())
	rate := budgeter.EffectiveRate(named) * min(1, sideShare*float64(heard)/float64(all))
	switch {
	case l.alone:
		return rate * besideShare / float64(heard)
	case a.before(l.group) > 0:
		// One that leads as the first did not answer it: that one may lead others.
		return rate * besideShare
	default:
		return rate
	}
}

// tellLimits tells a VM which limits are known in a group. Whoever begins to lead it
// has heard of none, and would let each upstream have what it took before.
func (a *Allocator) tellLimits(now time.Time, to netip.AddrPort, g Group) {
	for id, l := range a.deps.Tracker.Limits(g.Service, g.Zone) {
		out := a.to(to)
		out.Limits = append(out.Limits, limitOf(now, id, l))
	}
}

// learnLimits takes in what another VM knows of limits.
func (a *Allocator) learnLimits(now time.Time, all []wireLimit) {
	for i := range all {
		w := &all[i]
		if old, changed := a.deps.Tracker.MergeLimit(w.Upstream, w.limit(now)); changed {
			a.deps.Log.Info().Str("upstream", w.Upstream).Bool("limited", w.Limited).Float64("rate", w.Rate).
				Float64("before", old.Rate).Int64("age", w.Age).Msg("limit of an upstream")
		}
	}
}
