package allocator

import (
	"net/netip"
	"time"
)

// ownBackoffs returns until when this VM may not send anything to some upstreams.
func (a *Allocator) ownBackoffs() map[string]time.Time {
	return a.deps.Tracker.Backoffs(a.deps.Now())
}

// sendBackoffs sends a VM the upstreams of a group that want no requests from this VM for
// a while. A leader that does not know them would grant placements that this VM may not
// use.
func (a *Allocator) sendBackoffs(now time.Time, to netip.AddrPort, g Group) {
	for id, until := range a.deps.Tracker.Backoffs(now) {
		if u, ok := a.deps.Tracker.Get(id); ok && u.Service == g.Service && (g.Zone == "" || u.Zone == g.Zone) {
			out := a.outgoingTo(to)
			out.Backoffs = append(out.Backoffs, newWireBackoff(id, until.Sub(now)))
		}
	}
}

// applyBackoffs records the backoffs that a client has reported. They concern only its own
// requests.
func (h *client) applyBackoffs(now time.Time, all []wireBackoff) {
	for _, w := range all {
		if until := now.Add(time.Duration(w.Left) * time.Millisecond); until.After(h.backoffs[w.Upstream]) {
			h.backoffs[w.Upstream] = until
		}
	}
}

// expireBackoffs removes the backoffs that are over.
func (h *client) expireBackoffs(now time.Time) {
	for id, until := range h.backoffs {
		if !now.Before(until) {
			delete(h.backoffs, id)
		}
	}
}
