package allocator

import (
	"net/netip"
	"time"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// handleReplies handles the fields of a message that come from a leader.
func (a *Allocator) handleReplies(now time.Time, from netip.AddrPort, m *message) {
	for i := range m.Grants {
		a.handleGrant(now, from, m.VM, &m.Grants[i])
	}
	for i := range m.Refusals {
		w := &m.Refusals[i]
		if o := a.requestAt(from, w.ID); o != nil {
			delete(a.requests, o.id)
			a.recordPromise(o)
			refusal := &scheduler.Refusal{Code: w.Code, RetryAfter: time.Duration(w.RetryAfter) * time.Millisecond, WaitTimes: decodeWaitTimes(w.Waits)}
			refusal.WaitTimes.AddRemainder(now.Sub(o.submitted))
			o.outcome <- outcome{refusal: refusal}
		}
	}
	for _, id := range m.Queued {
		if o := a.requestAt(from, id); o != nil {
			o.confirmed = now
		}
	}
	for _, id := range m.Starting {
		if o := a.requestAt(from, id); o != nil && o.mayAwaitStart(now) {
			o.firstSent = now
			if !o.awaitsStart {
				o.awaitsStart = true
				a.deps.Log.Info().Str("leader", m.VM).Str("service", o.group.Service).Dur("waited", now.Sub(o.submitted)).
					Msg("waiting for a leader that has just started")
			}
		}
	}
	for _, w := range m.OtherZones {
		if o := a.requestAt(from, w.ID); o != nil && o.hops < maxHops {
			a.moveToZone(now, o, w.Zone)
		}
	}
	for _, w := range m.Withdrawals {
		// IDs begin anew with each run of the process.
		if w.Boot == a.boot {
			a.withdrawPlacement(w.ID)
		}
	}
	if m.Stopping {
		a.suspect(now, from, "leader is stopping")
	}
	for _, id := range m.NotLeading {
		if o := a.requestAt(from, id); o != nil {
			if !m.Stopping {
				a.suspect(now, from, "not leading")
			}
			o.leader = netip.AddrPort{}
			a.send(now, o)
		}
	}
	for _, id := range m.UnknownRequests {
		if o := a.requestAt(from, id); o != nil {
			a.send(now, o)
		}
	}
	for _, id := range m.UnknownPlacements {
		if p, ok := a.placements[id]; ok {
			out := a.outgoingTo(from)
			out.Placements = append(out.Placements, p.wire())
		}
	}
	for _, w := range m.CollectGroups {
		g := w.group()
		a.reportGroup(from, g)
		a.addActingLeader(now, g, from)
		a.renewLoansAt(now, from, g)
	}
	for _, w := range m.Summaries {
		a.summaries[w.Group.group()] = &summary{engines: w.Engines, freeSlots: w.FreeSlots, prefillTime: float64(w.PrefillTime), at: now}
	}
}

// mayAwaitStart reports whether a request may wait for a leader that has just started:
// for half of the time to its objective, which leaves time for another leader.
func (o *request) mayAwaitStart(now time.Time) bool {
	return now.Sub(o.submitted) < o.spec.Requirements.Objective.Sub(o.submitted)/2
}

// requestAt returns the request with the given ID if it waits at the leader
// with the given address, and nil otherwise. A leader that was paused may
// answer old requests that have since moved to another leader.
func (a *Allocator) requestAt(from netip.AddrPort, id uint64) *request {
	if o, ok := a.requests[id]; ok && o.leader == from {
		return o
	}
	return nil
}

func (a *Allocator) handleGrant(now time.Time, from netip.AddrPort, vm string, w *wireGrant) {
	o := a.requestAt(from, w.ID)
	if o == nil {
		if p, ok := a.placements[w.ID]; !ok || p.Leader != vm {
			// The request no longer waits: release the placement.
			out := a.outgoingTo(from)
			out.Released = append(out.Released, w.ID)
		}
		return
	}
	delete(a.requests, o.id)
	p := &Placement{
		Upstream: a.resolveUpstream(w.Main), Estimate: float64(w.Estimate), Leader: vm, WaitTimes: decodeWaitTimes(w.Waits), leaderAddress: from,
		Load: placer.Load{Streams: w.Streams, ContextTokens: w.ContextTokens, PendingPrefill: float64(w.PendingPrefill)},
		workload: scheduler.Workload{
			Prompt: o.spec.Requirements.Prompt, Output: o.spec.Requirements.Output, MaxPause: o.spec.Requirements.MaxPause, Prefill: float64(w.Prefill), Long: w.Long, Main: w.Main.ID,
		},
	}
	p.WaitTimes.AddRemainder(now.Sub(o.submitted))
	a.typicalLoad.add(p.Load, o.spec.Requirements)
	for _, h := range w.Helpers {
		p.Helpers = append(p.Helpers, scheduler.Helper{Upstream: a.resolveUpstream(h), ReservedTokens: h.ReservedTokens})
		p.workload.Helpers = append(p.workload.Helpers, h.ID)
		p.workload.ReservedTokens = append(p.workload.ReservedTokens, h.ReservedTokens)
	}
	a.deliver(now, o, p)
}

// resolveUpstream returns the upstream named by a leader, with the details from
// this VM's own list if it is listed there.
func (a *Allocator) resolveUpstream(w wireUpstream) tracker.Upstream {
	if u, ok := a.deps.Tracker.Get(w.ID); ok {
		return u.Upstream
	}
	return tracker.Upstream{ID: w.ID, Address: w.Address}
}
