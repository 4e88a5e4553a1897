package allocator

import (
	"net/netip"
	"time"
)

// sendDepartures sends a VM the known departures in a group. A leader that does not know
// them would grant placements that other VMs may not use.
func (a *Allocator) sendDepartures(now time.Time, to netip.AddrPort, g Group) {
	for _, d := range a.deps.Tracker.Departures(g.Service, g.Zone) {
		out := a.outgoingTo(to)
		out.Departures = append(out.Departures, newWireDeparture(now, d))
	}
}

// applyDepartures records the departures that another VM has reported.
func (a *Allocator) applyDepartures(now time.Time, from string, all []wireDeparture) {
	for i := range all {
		if w := &all[i]; a.deps.Tracker.MergeDeparture(now, w.departure(now)) {
			a.deps.Log.Info().Str("upstream", w.Upstream).Str("peer", from).Int64("born", w.StartedAt).Int64("age", w.Age).Msg("upstream is leaving")
		}
	}
}
