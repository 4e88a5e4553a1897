package allocator

import (
	"net/netip"
	"time"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// answered takes in what leaders say.
func (a *Allocator) answered(now time.Time, from netip.AddrPort, m *message) {
	for i := range m.Grants {
		a.granted(now, from, m.VM, &m.Grants[i])
	}
	for i := range m.Refusals {
		w := &m.Refusals[i]
		if o := a.asked(from, w.ID); o != nil {
			delete(a.asks, o.id)
			refusal := &scheduler.Refusal{Code: w.Code, RetryAfter: time.Duration(w.After) * time.Millisecond, WaitTimes: waitsOf(w.Waits)}
			refusal.WaitTimes.AddRemainder(now.Sub(o.since))
			o.answer <- answer{refusal: refusal}
		}
	}
	for _, id := range m.Waits {
		if o := a.asked(from, id); o != nil {
			o.heard = now
		}
	}
	for _, w := range m.Elsewhere {
		if o := a.asked(from, w.ID); o != nil && o.hops < mostHops {
			a.divert(now, o, w.Zone)
		}
	}
	if m.Stops {
		a.suspect(now, from, "it stops")
	}
	for _, id := range m.Moved {
		if o := a.asked(from, id); o != nil {
			if !m.Stops {
				a.suspect(now, from, "it does not lead")
			}
			o.to = netip.AddrPort{}
			a.send(now, o)
		}
	}
	for _, id := range m.Again {
		if o := a.asked(from, id); o != nil {
			a.send(now, o)
		}
	}
	for _, id := range m.Want {
		if p, ok := a.places[id]; ok {
			out := a.to(from)
			out.Places = append(out.Places, p.wire())
		}
	}
	for _, w := range m.Collect {
		g := w.group()
		a.tell(from, g)
		a.depute(now, g, from)
	}
	for _, w := range m.Summaries {
		a.summaries[w.Group.group()] = &summary{engines: w.Engines, free: w.Free, reading: float64(w.Reading), at: now}
	}
}

// asked is a request that waits at a VM; nil where it does not. A leader that
// was paused answers what was asked of it long ago, and has been skipped.
func (a *Allocator) asked(from netip.AddrPort, id uint64) *ask {
	if o, ok := a.asks[id]; ok && o.to == from {
		return o
	}
	return nil
}

func (a *Allocator) granted(now time.Time, from netip.AddrPort, vm string, w *wireGrant) {
	o := a.asked(from, w.ID)
	if o == nil {
		if p, ok := a.places[w.ID]; !ok || p.Leader != vm {
			// Nobody waits for it any more.
			out := a.to(from)
			out.Ended = append(out.Ended, w.ID)
		}
		return
	}
	delete(a.asks, o.id)
	p := &Placement{
		Upstream: a.upstream(w.Main), Estimate: float64(w.Estimate), Leader: vm, Waits: waitsOf(w.Waits), from: from,
		Load: placer.Load{Streams: w.Streams, ContextTokens: w.Context, PendingPrefill: float64(w.Unread)},
		work: scheduler.Workload{
			Prompt: o.call.Requirements.Prompt, Output: o.call.Requirements.Output, MaxPause: o.call.Requirements.MaxPause, Prefill: float64(w.Read), Long: w.Long, Main: w.Main.ID,
		},
	}
	p.Waits.AddRemainder(now.Sub(o.since))
	a.usual.note(p.Load, o.call.Requirements)
	for _, h := range w.Helpers {
		p.Helpers = append(p.Helpers, scheduler.Helper{Upstream: a.upstream(h), ReservedTokens: h.Tokens})
		p.work.Helpers = append(p.work.Helpers, h.ID)
		p.work.ReservedTokens = append(p.work.ReservedTokens, h.Tokens)
	}
	a.give(now, o, p)
}

// upstream is one that a leader named, by this VM's own list where that has it.
func (a *Allocator) upstream(w wireUpstream) tracker.Upstream {
	if u, ok := a.deps.Tracker.Get(w.ID); ok {
		return u.Upstream
	}
	return tracker.Upstream{ID: w.ID, Address: w.Address}
}
