package allocator

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/request/placer"
)

const (
	// resend is after how long without an answer an ask is sent again, and
	// patience after how long its leader is skipped. An answer takes a
	// millisecond or two, so that three were lost.
	resend   = 20 * time.Millisecond
	patience = 80 * time.Millisecond
	// askEvery is how often a leader is asked whether it still knows of a request
	// that waits there, and silence after how long without its word that it does
	// the leader is skipped. A grant is at most so old when it is used.
	askEvery = 100 * time.Millisecond
	silence  = 300 * time.Millisecond
	// mostTick is the time between two ticks above which this VM itself was
	// paused, and not the leaders.
	mostTick = 3 * TickInterval
	// mostSilent is how many leaders may fail to answer before a VM decides
	// alone, and mostSilentLong the same for a prompt that is read in parts: a
	// place chosen without knowledge of the others' work harms many answers.
	mostSilent     = 2
	mostSilentLong = 4
	// mostHops is how often a request is sent to another group.
	mostHops = 2
	// aloneFor is how long a request waits that this VM decides on for want of a
	// leader before it looks for one again.
	aloneFor = 500 * time.Millisecond
	// comeBack is when a request may come back whose time was over here.
	comeBack = 500 * time.Millisecond
)

// An ask is a request of this VM that waits for a place.
type ask struct {
	id    uint64
	call  scheduler.Request
	group Group
	// hops is how often it was sent to another group, silent how many leaders
	// have not answered it.
	hops, silent int
	// to is the leader that it was sent to; local is set where that is this VM.
	to    netip.AddrPort
	local *scheduler.Pending
	since time.Time
	// first and sent are when it was sent to this leader, first and last, heard
	// when that has last said that it waits there.
	first, sent, heard time.Time
	answer             chan answer
}

type answer struct {
	place   *Placement
	refusal *scheduler.Refusal
}

// Acquire waits for a place, or for the word that there will be none in time.
func (a *Allocator) Acquire(ctx context.Context, c scheduler.Request) (*Placement, *scheduler.Refusal) {
	o := a.Submit(c)
	select {
	case r := <-o.ask.answer:
		return r.place, r.refusal
	case <-ctx.Done():
		return nil, o.Cancel()
	}
}

// An Pending is a request for a place that may still wait.
type Pending struct {
	allocator *Allocator
	ask       *ask
}

// Submit asks for a place without waiting for it.
func (a *Allocator) Submit(c scheduler.Request) *Pending {
	o := &ask{call: c, answer: make(chan answer, 1)}
	a.do(func(now time.Time) {
		a.last++
		o.id, o.since = a.last, now
		o.call.Zone, o.call.StopsAt = a.me.Zone, a.stop
		o.call.Unreachable = a.deps.Tracker.Unreachable(now)
		o.group = a.choose(c.Service.Name, a.me.Zone)
		a.asks[o.id] = o
		a.send(now, o)
	})
	return &Pending{a, o}
}

// Poll gives the place or the refusal, once, and neither while it waits.
func (o *Pending) Poll() (*Placement, *scheduler.Refusal) {
	select {
	case r := <-o.ask.answer:
		return r.place, r.refusal
	default:
		return nil, nil
	}
}

// Cancel takes the request back: its caller has gone, or its time is over.
func (o *Pending) Cancel() *scheduler.Refusal {
	a := o.allocator
	refusal := &scheduler.Refusal{Code: scheduler.CodeLate, RetryAfter: comeBack}
	a.do(func(now time.Time) {
		if _, ok := a.asks[o.ask.id]; ok {
			refusal.WaitTimes = a.withdraw(o.ask)
			refusal.WaitTimes.AddRemainder(now.Sub(o.ask.since))
			delete(a.asks, o.ask.id)
		}
	})
	select {
	case r := <-o.ask.answer:
		// It was given a place in the moment it left.
		if r.place != nil {
			r.place.Release()
		}
	default:
	}
	return refusal
}

// choose is the group that a request is asked for in first: that of its VM's zone,
// or of another one where it has no upstreams there.
func (a *Allocator) choose(service, zone string) Group {
	sizes := a.sizes(service)
	g := a.groupOf(service, zone)
	if g.Zone == "" || sizes[g.Zone] > 0 || len(sizes) == 0 {
		return g
	}
	best, size := g.Zone, 0
	for zone, n := range sizes {
		if n > size || (n == size && zone < best) {
			best, size = zone, n
		}
	}
	return Group{service, best}
}

// send sends a request to the leader of its group.
func (a *Allocator) send(now time.Time, o *ask) {
	m, self := a.leader(now, o.group)
	if self || o.silent >= o.mostSilent() || a.deps.Tracker.Outdated() {
		a.decide(now, o)
		return
	}
	if o.to != m.Address {
		o.to, o.first, o.heard = m.Address, now, time.Time{}
	}
	if a.reported[m.Address] == 0 {
		// Who has not led before learns with the ask what this VM has there.
		a.reported[m.Address] = lastReports
		a.tell(m.Address, o.group)
	}
	o.sent = now
	out := a.to(m.Address)
	out.Asks = append(out.Asks, o.wire(now))
}

func (o *ask) mostSilent() int {
	if e := o.call.Service.Engine; e != nil && !placer.IsShort(e, o.call.Requirements.Prompt) {
		return mostSilentLong
	}
	return mostSilent
}

// decide has this VM look for a place for its own request.
func (a *Allocator) decide(now time.Time, o *ask) {
	l := a.lead(now, o.group, false)
	l.alone = !a.ranksHigh(o.group)
	o.to, o.first = netip.AddrPort{}, now
	asked := l.scheduler.Submit(o.call, func(g *scheduler.Grant, r *scheduler.Refusal) {
		if _, ok := a.asks[o.id]; !ok {
			if g != nil {
				g.Release()
			}
			return
		}
		if r != nil && r.Code == scheduler.CodeNoUpstream {
			if zone, ok := a.better(now, l, o.call, o.hops); ok {
				a.divert(a.deps.Now(), o, zone)
				return
			}
		}
		delete(a.asks, o.id)
		if g == nil {
			o.answer <- answer{refusal: r}
			return
		}
		a.give(now, o, &Placement{
			Upstream: g.Upstream.Upstream, Helpers: g.Helpers, Estimate: g.Estimate, Load: g.Load, Waits: g.WaitTimes,
			work: g.Workload, grant: g,
		})
	})
	if _, waits := a.asks[o.id]; !waits || o.to.IsValid() || o.local != nil {
		// It has its answer, or was sent on.
		return
	}
	o.local = asked
	if zone, ok := a.better(now, l, o.call, o.hops); ok {
		a.divert(now, o, zone)
	}
}

// divert asks for a place in the group of another zone.
func (a *Allocator) divert(now time.Time, o *ask, zone string) {
	a.withdraw(o)
	o.hops++
	if o.group.Zone == "" {
		// Whoever led knows more upstreams than this VM, and that there are groups.
		a.split[o.group.Service] = true
	}
	o.group.Zone = zone
	o.to = netip.AddrPort{}
	a.send(now, o)
}

func (a *Allocator) give(now time.Time, o *ask, p *Placement) {
	p.allocator, p.id, p.group = a, o.id, o.group
	a.places[p.id] = p
	for _, at := range a.countedBy(now, p.group) {
		// While leaders change, or where two lead, whoever did not give the place would
		// take its upstreams for idle.
		if at != p.from {
			out := a.to(at)
			out.Places = append(out.Places, p.wire())
		}
	}
	o.answer <- answer{place: p}
}

// withdraw takes a request back from whoever was asked.
func (a *Allocator) withdraw(o *ask) (w scheduler.WaitTimes) {
	if o.local != nil {
		w = o.local.Cancel()
		o.local = nil
		return w
	}
	if o.to.IsValid() {
		out := a.to(o.to)
		out.Left = append(out.Left, o.id)
	}
	return w
}

// move sends a request to whoever leads its group now.
func (a *Allocator) move(now time.Time, o *ask) {
	a.withdraw(o)
	o.to = netip.AddrPort{}
	a.send(now, o)
}

// chase sends again what was not answered, and skips leaders that are
// silent. After a pause of this VM itself it waits once more.
func (a *Allocator) chase(now time.Time, late bool) {
	for _, id := range a.open() {
		o, ok := a.asks[id]
		switch {
		case !ok:
		case o.local != nil:
			if _, self := a.leader(now, o.group); !self && now.Sub(o.first) >= aloneFor {
				o.silent = 0
				a.move(now, o)
			}
		case !o.to.IsValid():
			a.send(now, o)
		case late:
			o.first, o.heard = now, laterOf(o.heard, now)
			a.send(now, o)
		case o.heard.IsZero() && now.Sub(o.first) >= patience, !o.heard.IsZero() && now.Sub(o.heard) >= silence:
			o.silent++
			if now.After(a.suspects[o.to].until) {
				a.suspect(now, o.to, "no answer")
			}
			a.move(now, o)
		case o.heard.IsZero() && now.Sub(o.sent) >= resend:
			a.send(now, o)
		case !o.heard.IsZero() && now.Sub(o.sent) >= askEvery:
			if m, self := a.leader(now, o.group); self || (m.Address != o.to && !a.isSuspect(m.Address)) {
				a.move(now, o)
				continue
			}
			o.sent = now
			out := a.to(o.to)
			out.Still = append(out.Still, o.id)
		}
	}
}

// laterOf is a later time in place of one that is known.
func laterOf(at, now time.Time) time.Time {
	if at.IsZero() {
		return at
	}
	return now
}

// open are the ids of this VM's requests that wait, in their order.
func (a *Allocator) open() []uint64 {
	ids := make([]uint64, 0, len(a.asks))
	for id := range a.asks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
