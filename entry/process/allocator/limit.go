package allocator

import (
	"net/netip"
	"time"

	"github.com/heathervane/heathervane/entry/process/budgeter"
)

const (
	// secondaryShare is the fraction of an upstream's rate limit that is
	// available beside the leader of its group: to each VM that leads in place
	// of it, and to all VMs together that schedule only their own requests.
	secondaryShare = 0.1
	// partitionFactor is the multiple of their proportional share that VMs on
	// one side of a network partition may use. The VMs that they cannot reach
	// may be dead, or may use the upstreams under a leader of their own.
	partitionFactor = 1.2
)

// limitShare returns the part of an upstream's rate limit, as named by the
// upstream, that this VM may use when it places requests in a group.
func (a *Allocator) limitShare(l *ledGroup, limit float64) float64 {
	reachable := 1 + len(a.deps.Members())
	total := max(reachable, a.deps.FleetSize())
	rate := budgeter.EffectiveRate(limit) * min(1, partitionFactor*float64(reachable)/float64(total))
	switch {
	case l.localOnly:
		return rate * secondaryShare / float64(reachable)
	case a.rankIn(l.group) > 0:
		// This VM leads because the first-ranked one did not answer it; that
		// one may still lead for others.
		return rate * secondaryShare
	default:
		return rate
	}
}

// sendLimits sends a VM the known rate limits in a group. A new leader that
// does not know them would place as many requests as before the limit.
func (a *Allocator) sendLimits(now time.Time, to netip.AddrPort, g Group) {
	for id, l := range a.deps.Tracker.Limits(g.Service, g.Zone) {
		out := a.outgoingTo(to)
		out.Limits = append(out.Limits, newWireLimit(now, id, l))
	}
}

// applyLimits records the rate limits that another VM has reported.
func (a *Allocator) applyLimits(now time.Time, all []wireLimit) {
	for i := range all {
		w := &all[i]
		if old, changed := a.deps.Tracker.MergeLimit(w.Upstream, w.limit(now)); changed {
			a.deps.Log.Info().Str("upstream", w.Upstream).Bool("limited", w.Limited).Float64("rate", w.Rate).
				Float64("before", old.Rate).Int64("age", w.Age).Msg("rate limit of an upstream changed")
		}
	}
}
