package allocator

import (
	"net/netip"
	"time"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

const (
	// idle is after how long without another VM's ask a leader no longer knows what
	// others may have allocated meanwhile, and learning how long it then waits for
	// the VMs' word.
	idle     = time.Second
	learning = 30 * time.Millisecond
	// newLeader is for how long whoever begins to lead places nothing at
	// upstreams in cold start: another one may have placed there as many as they
	// bear in this second.
	newLeader = 1500 * time.Millisecond
	// starting is how long a new process takes at most to have the configuration and
	// the list, where any VM or the platform answers.
	starting = 300 * time.Millisecond
	// lost is after how long without a word a VM's places count as free, and its
	// asks as left.
	lost     = 1500 * time.Millisecond
	lostAsks = 4 * askEvery
	// underWay is how old a place must be for a VM to know of it.
	underWay = 300 * time.Millisecond
)

// A led is a group that this VM leads or has led.
type led struct {
	group     Group
	scheduler *scheduler.Scheduler
	// usedAt is when it was last asked, and askedAt when by another VM.
	usedAt, askedAt time.Time
	// toldAt is when all VMs were last told that this one leads.
	toldAt time.Time
	// alone says that it is used for this VM's own requests only, as no leader
	// answers it.
	alone    bool
	coldFrom time.Time
	// awaited are the VMs whose word on what they have it still waits for.
	awaited map[netip.AddrPort]bool
}

// await has nothing placed until all VMs have told what they have, or for as long
// as that takes where none is lost.
func (l *led) await(now time.Time, members []Member) {
	l.awaited = make(map[netip.AddrPort]bool, len(members))
	for i := range members {
		l.awaited[members[i].Address] = true
	}
	l.scheduler.PauseUntil(now.Add(learning))
}

// collected notes a VM's word. With the last one places are given again.
func (l *led) collected(now time.Time, from netip.AddrPort) {
	if !l.awaited[from] {
		return
	}
	delete(l.awaited, from)
	if len(l.awaited) == 0 {
		l.scheduler.PauseUntil(now)
		l.scheduler.Dispatch()
	}
}

// A holder is a VM that asks this one.
type holder struct {
	vm    string
	boot  int64
	heard time.Time
	asks  map[uint64]*remote
	holds map[uint64]*held
	// ended are places that it has reported as free, and when: reports that were on
	// their way before may still come.
	ended map[uint64]time.Time
}

// A remote is another VM's request that waits here.
type remote struct {
	led   *led
	call  scheduler.Request
	hops  int
	asked *scheduler.Pending
	heard time.Time
	done  bool
}

// A held is a place that another VM has.
type held struct {
	grant *scheduler.Grant
	at    time.Time
	// answer is what it was told; nil where another leader gave the place.
	answer *wireGrant
}

// lead notes that this VM is asked for places in a group, by another VM or itself.
// One that begins to lead first has all VMs tell what they have there, and one that
// is not the first by its own view has them go on telling it.
func (a *Allocator) lead(now time.Time, g Group, byAnother bool) *led {
	l := a.schedulerOf(g)
	begins := now.Sub(l.usedAt) > idle || (byAnother && now.Sub(l.askedAt) > idle)
	l.usedAt = now
	if byAnother {
		l.askedAt = now
	}
	if begins {
		a.deps.Log.Info().Str("service", g.Service).Str("zone", g.Zone).Bool("others", byAnother).Msg("group led by this VM")
		a.count("groups.led")
		if len(a.deps.Members()) > 0 {
			l.await(now, a.deps.Members())
			l.coldFrom = now.Add(newLeader)
		}
		for _, p := range a.places {
			if p.group == g {
				a.adopt(p)
			}
		}
	}
	// Were each VM to ask all others that decides alone, a fleet that has lost its
	// leaders would drown in it.
	collects := byAnother || a.ranksHigh(g)
	if collects && (begins || (now.Sub(l.toldAt) > tellAgain && !a.leads(now, g))) {
		l.toldAt = now
		members := a.deps.Members()
		for i := range members {
			out := a.to(members[i].Address)
			out.Collect = append(out.Collect, g.wire())
		}
	}
	l.scheduler.AssumeLoad(a.unknownLoad(now, l))
	return l
}

// tellAgain is how often a VM that leads in place of another says so.
const tellAgain = 2 * time.Second

// unknownLoad is what other VMs may have at each upstream that nobody has told.
// A leader that is cut from the others would take all engines for idle, and read
// each long prompt at many of them, under everybody's answers.
func (a *Allocator) unknownLoad(now time.Time, l *led) placer.Load {
	if len(a.deps.Members()) == 0 || now.Sub(l.askedAt) <= idle {
		return placer.Load{}
	}
	return a.usual.load()
}

// adopt counts a place of this VM's own that another leader gave.
func (a *Allocator) adopt(p *Placement) {
	if p.grant == nil {
		p.grant = a.schedulerOf(p.group).scheduler.Adopt(p.work, p.began)
	}
}

// ranksHigh says that this VM leads a group, or would if its first leader died.
func (a *Allocator) ranksHigh(g Group) bool {
	const standBy = 1
	return a.before(g) <= standBy
}

// before is how many VMs that can be heard would lead a group rather than this one.
func (a *Allocator) before(g Group) int {
	me, n := a.self(), 0
	members := a.deps.Members()
	for i := range members {
		if !members[i].Leaving && members[i].Outranks(&me, g) {
			n++
		}
	}
	return n
}

// holderOf is what is known of a VM. One that has started again has nothing left
// of before.
func (a *Allocator) holderOf(now time.Time, from netip.AddrPort, m *message) *holder {
	h, ok := a.holders[from]
	if ok && (h.vm != m.VM || m.Boot > h.boot) {
		a.free(h)
		ok = false
	}
	if !ok {
		h = &holder{vm: m.VM, boot: m.Boot, asks: make(map[uint64]*remote), holds: make(map[uint64]*held), ended: make(map[uint64]time.Time)}
		a.holders[from] = h
	}
	if m.Boot < h.boot {
		return nil
	}
	h.heard = now
	return h
}

// free gives back all that a VM has.
func (a *Allocator) free(h *holder) {
	for id, o := range h.asks {
		a.drop(h, id, o)
	}
	holds := h.holds
	h.holds = make(map[uint64]*held)
	for _, p := range holds {
		p.grant.Release()
	}
}

// drop takes an ask back.
func (a *Allocator) drop(h *holder, id uint64, o *remote) {
	delete(h.asks, id)
	o.done = true
	o.asked.Cancel()
}

// heed takes in what a VM says that asks.
func (a *Allocator) heed(now time.Time, from netip.AddrPort, m *message) {
	h := a.holderOf(now, from, m)
	if h == nil {
		return
	}
	for i := range m.Events {
		a.deps.Tracker.MergeEvent(now, m.Events[i].event())
	}
	a.learnLimits(now, m.Limits)
	for _, id := range m.Left {
		if o, ok := h.asks[id]; ok {
			a.drop(h, id, o)
		}
	}
	for _, id := range m.Began {
		if p, ok := h.holds[id]; ok {
			p.grant.MarkStarted()
			a.deps.Tracker.MergeEvent(now, tracker.Event{Finding: tracker.FoundAnswer, Upstreams: []string{p.grant.Workload.Main}})
		}
	}
	for _, id := range m.Ended {
		h.ended[id] = now
		if p, ok := h.holds[id]; ok {
			delete(h.holds, id)
			p.grant.Release()
		}
	}
	for i := range m.Places {
		w := &m.Places[i]
		if o, ok := h.asks[w.ID]; ok {
			// Another leader has given it a place, and the word that it does not wait any
			// more is lost or late. A second place for it would hide this one.
			a.drop(h, w.ID, o)
		}
		_, ended := h.ended[w.ID]
		if _, ok := h.holds[w.ID]; !ok && !ended {
			h.holds[w.ID] = &held{grant: a.schedulerOf(w.Group.group()).scheduler.Adopt(w.work(), w.Began), at: now}
		}
	}
	for _, w := range m.Told {
		if l, ok := a.led[w.group()]; ok {
			l.collected(now, from)
		}
	}
	if m.Whole {
		a.compare(now, from, h, m.Kept)
	}
	for _, id := range m.Still {
		out := a.to(from)
		if o, ok := h.asks[id]; ok {
			o.heard = now
			out.Waits = append(out.Waits, id)
		} else if p, ok := h.holds[id]; ok && p.answer != nil {
			out.Grants = append(out.Grants, *p.answer)
		} else {
			out.Again = append(out.Again, id)
		}
	}
	for i := range m.Asks {
		a.receive(now, from, h, &m.Asks[i])
	}
}

// compare gives back the places that a VM does not have, and asks what those take
// that this one does not know.
func (a *Allocator) compare(now time.Time, from netip.AddrPort, h *holder, kept []uint64) {
	has := make(map[uint64]bool, len(kept))
	for _, id := range kept {
		has[id] = true
		if _, ok := h.holds[id]; !ok {
			out := a.to(from)
			out.Want = append(out.Want, id)
		}
	}
	for id, p := range h.holds {
		if !has[id] && now.Sub(p.at) > underWay {
			delete(h.holds, id)
			a.count("places.repaired")
			p.grant.Release()
		}
	}
}

// receive takes another VM's request for a place.
func (a *Allocator) receive(now time.Time, from netip.AddrPort, h *holder, w *wireAsk) {
	if o, ok := h.asks[w.ID]; ok {
		// It was sent again.
		o.heard = now
		if stop := moment(now, w.Stop); !stop.IsZero() {
			o.asked.SetStop(stop)
		}
		if !o.done {
			out := a.to(from)
			out.Waits = append(out.Waits, w.ID)
		}
		return
	}
	if p, ok := h.holds[w.ID]; ok {
		if p.answer != nil {
			out := a.to(from)
			out.Grants = append(out.Grants, *p.answer)
		}
		return
	}
	service, ok := a.deps.Service(w.Group.Service)
	if (!ok || a.deps.Tracker.Outdated()) && now.Sub(a.began) < starting {
		// It is asked again in a moment. Told that this VM does not lead, those that
		// start together with it would each ask another one for the next second.
		return
	}
	if !ok || a.leaving || a.deps.Tracker.Outdated() {
		out := a.to(from)
		out.Moved = append(out.Moved, w.ID)
		out.Stops = out.Stops || a.leaving
		return
	}
	g := w.Group.group()
	if a.sizes(g.Service); g.Zone == "" && a.split[g.Service] {
		out := a.to(from)
		out.Elsewhere = append(out.Elsewhere, wireElsewhere{ID: w.ID, Zone: a.choose(g.Service, w.Zone).Zone})
		return
	}
	l := a.lead(now, g, true)
	l.alone = false
	o := &remote{led: l, call: w.call(now), hops: w.Hops, heard: now}
	o.call.Service = service
	h.asks[w.ID] = o
	o.asked = l.scheduler.Submit(o.call, func(g *scheduler.Grant, r *scheduler.Refusal) {
		a.reply(from, h, w.ID, o, g, r)
	})
	if o.done {
		return
	}
	out := a.to(from)
	if zone, ok := a.better(now, l, o.call, o.hops); ok {
		a.drop(h, w.ID, o)
		out.Elsewhere = append(out.Elsewhere, wireElsewhere{ID: w.ID, Zone: zone})
		return
	}
	out.Waits = append(out.Waits, w.ID)
}

// reply tells a VM what became of its ask.
func (a *Allocator) reply(from netip.AddrPort, h *holder, id uint64, o *remote, g *scheduler.Grant, r *scheduler.Refusal) {
	if o.done {
		if g != nil {
			g.Release()
		}
		return
	}
	o.done = true
	delete(h.asks, id)
	now := a.deps.Now()
	out := a.to(from)
	if r != nil {
		if r.Code == scheduler.CodeNoUpstream {
			if zone, ok := a.better(now, o.led, o.call, o.hops); ok {
				out.Elsewhere = append(out.Elsewhere, wireElsewhere{ID: id, Zone: zone})
				return
			}
		}
		out.Refusals = append(out.Refusals, wireRefusal{ID: id, Code: r.Code, After: r.RetryAfter.Milliseconds(), Waits: wireWaits(r.WaitTimes)})
		return
	}
	w := wireGrant{
		ID: id, Main: wireUpstream{ID: g.Upstream.ID, Address: g.Upstream.Address},
		Read: float32(g.Workload.Prefill), Estimate: float32(g.Estimate), Long: g.Workload.Long,
		Streams: g.Load.Streams, Context: g.Load.ContextTokens, Unread: float32(g.Load.PendingPrefill), Waits: wireWaits(g.WaitTimes),
	}
	for _, p := range g.Helpers {
		w.Helpers = append(w.Helpers, wireUpstream{ID: p.ID, Address: p.Address, Tokens: p.ReservedTokens})
	}
	h.holds[id] = &held{grant: g, at: now, answer: &w}
	a.usual.note(g.Load, o.call.Requirements)
	out.Grants = append(out.Grants, w)
	if l := g.Upstream.Limit; l.Limited {
		// Else the VM would not notice that the answer names no limit any more.
		out.Limits = append(out.Limits, limitOf(now, g.Upstream.ID, l))
	}
}

// forget gives back what VMs have that are silent.
func (a *Allocator) forget(now time.Time) {
	for at, h := range a.holders {
		for id, o := range h.asks {
			if now.Sub(o.heard) > lostAsks {
				a.drop(h, id, o)
			}
		}
		for id, at := range h.ended {
			if now.Sub(at) > lost {
				delete(h.ended, id)
			}
		}
		if now.Sub(h.heard) > lost {
			if n := len(h.holds); n > 0 {
				a.deps.Log.Info().Str("peer", h.vm).Int("places", n).Dur("silent", now.Sub(h.heard)).Msg("places of a silent VM given back")
			}
			a.free(h)
			delete(a.holders, at)
		}
	}
}

// hand tells all that have asked this VM to ask another.
func (a *Allocator) hand(now time.Time) {
	for at, h := range a.holders {
		out := a.to(at)
		out.Stops = true
		for id, o := range h.asks {
			out.Moved = append(out.Moved, id)
			a.drop(h, id, o)
		}
	}
	a.deps.Log.Info().Int("holders", len(a.holders)).Dur("left", a.stop.Sub(now)).Msg("groups handed over")
}
