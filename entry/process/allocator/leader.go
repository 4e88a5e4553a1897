package allocator

import (
	"net/netip"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

const (
	// leaderIdleTimeout is the time without a request from another VM after
	// which a leader no longer knows what the others may have allocated in the
	// meantime. collectTimeout is how long it then waits for the VMs' reports.
	leaderIdleTimeout = time.Second
	collectTimeout    = 30 * time.Millisecond
	// coldStartDelay is how long a new leader places nothing at upstreams in
	// cold start: the previous leader may have used up their quota for the
	// current second.
	coldStartDelay = 1500 * time.Millisecond
	// startupGrace is the maximum time that a new process needs to obtain the
	// configuration and the list of upstreams while any VM or the platform
	// answers.
	startupGrace = 300 * time.Millisecond
	// clientTimeout is the time without a message after which a VM's placements
	// are released, and requestTimeout the time without a confirmation request
	// after which one of its requests is cancelled.
	clientTimeout  = 1500 * time.Millisecond
	requestTimeout = 4 * confirmInterval
	// reportDelay is how long a VM may take to learn of a placement that it was
	// granted; younger placements may be missing from its reports.
	reportDelay = 300 * time.Millisecond
)

// A ledGroup is a group that this VM leads or has led.
type ledGroup struct {
	group     Group
	scheduler *scheduler.Scheduler
	// lastUsed is when the group was last used, and lastRemoteUse when it was
	// last used for another VM.
	lastUsed, lastRemoteUse time.Time
	// announcedAt is when this VM last announced to all others that it leads
	// the group.
	announcedAt time.Time
	// localOnly is set if the group is used only for this VM's own requests,
	// because no leader answers them.
	localOnly     bool
	coldAllowedAt time.Time
	// inspecting is set while engines are asked what they still do, and inspected once
	// they have been asked.
	inspecting, inspected bool
	// awaited are the VMs whose reports on their placements are still missing.
	awaited map[netip.AddrPort]bool
	lending lending
}

// awaitReports suspends placement until all members have reported their
// placements, or until collectTimeout in case a report is lost.
func (l *ledGroup) awaitReports(now time.Time, members []Member) {
	l.awaited = make(map[netip.AddrPort]bool, len(members))
	for i := range members {
		l.awaited[members[i].Address] = true
	}
	l.scheduler.PauseUntil(now.Add(collectTimeout))
}

// reportReceived records a VM's report. After the last one, placement resumes.
func (l *ledGroup) reportReceived(now time.Time, from netip.AddrPort) {
	if !l.awaited[from] {
		return
	}
	delete(l.awaited, from)
	l.resume(now)
}

// resume ends the pause of placement once all reports have arrived.
func (l *ledGroup) resume(now time.Time) {
	if len(l.awaited) == 0 && !l.inspecting {
		l.scheduler.PauseUntil(now)
		l.scheduler.Dispatch()
	}
}

// A client is a VM that has sent this one a message, with the requests and
// placements of that VM.
type client struct {
	vm         string
	boot       int64
	lastSeen   time.Time
	requests   map[uint64]*remoteRequest
	placements map[uint64]*heldPlacement
	// released holds the placements that the VM has reported as released, and
	// when. Reports that were sent earlier and still list them may arrive
	// later.
	released map[uint64]time.Time
	// backoffs holds until when upstreams want no requests from the VM.
	backoffs map[string]time.Time
}

// A remoteRequest is a request of another VM that waits here.
type remoteRequest struct {
	group         *ledGroup
	spec          scheduler.Request
	hops          int
	queued        *scheduler.Pending
	lastConfirmed time.Time
	done          bool
}

// A heldPlacement is a placement that another VM holds.
type heldPlacement struct {
	grant     *scheduler.Grant
	countedAt time.Time
	// sentGrant is the grant as sent to the VM; nil if another leader granted
	// the placement.
	sentGrant *wireGrant
}

// lead records that this VM is asked for placements in a group, by itself or by
// another VM. When it starts leading, it first collects all VMs' placements in
// the group. A VM that does not consider itself the rightful leader repeats the
// announcement, so that the others keep reporting to it.
func (a *Allocator) lead(now time.Time, g Group, remote bool) *ledGroup {
	l := a.ledGroupOf(g)
	starts := now.Sub(l.lastUsed) > leaderIdleTimeout || (remote && now.Sub(l.lastRemoteUse) > leaderIdleTimeout)
	l.lastUsed = now
	if remote {
		l.lastRemoteUse = now
	}
	if starts {
		a.deps.Log.Info().Str("service", g.Service).Str("zone", g.Zone).Bool("others", remote).Msg("started leading group")
		a.count("groups.led")
		if len(a.deps.Members()) > 0 {
			l.awaitReports(now, a.deps.Members())
			l.coldAllowedAt = now.Add(coldStartDelay)
		}
		for _, p := range a.placements {
			if p.group == g {
				a.adopt(p)
			}
		}
	}
	if a.mustInspect(now, l) {
		a.inspect(now, l)
	}
	// If every VM that decides alone asked all others, the messages would
	// overload a fleet that has lost its leaders.
	announces := remote || a.isLeaderOrBackup(g)
	if announces && (starts || (now.Sub(l.announcedAt) > announceInterval && !a.isLeader(now, g))) {
		l.announcedAt = now
		members := a.deps.Members()
		for i := range members {
			out := a.outgoingTo(members[i].Address)
			out.CollectGroups = append(out.CollectGroups, g.wire())
		}
	}
	l.scheduler.AssumeLoad(a.unreportedLoad(now, l))
	return l
}

// announceInterval is how often a VM that leads in place of another announces
// it.
const announceInterval = 2 * time.Second

// unreportedLoad returns the load to assume at each upstream for placements of
// other VMs that were not reported. Without it, a leader that is cut off from
// the others would consider all engines idle, and spread each long prompt over
// many of them, slowing all responses there.
func (a *Allocator) unreportedLoad(now time.Time, l *ledGroup) placer.Load {
	if len(a.deps.Members()) == 0 || now.Sub(l.lastRemoteUse) <= leaderIdleTimeout {
		return placer.Load{}
	}
	return a.typicalLoad.load()
}

// adopt makes the local scheduler count a placement of this VM that another
// leader granted.
func (a *Allocator) adopt(p *Placement) {
	if p.grant == nil {
		p.grant = a.ledGroupOf(p.group).scheduler.Adopt(p.workload, p.started)
	}
}

// isLeaderOrBackup reports whether this VM leads a group, or would if the
// first-ranked VM failed.
func (a *Allocator) isLeaderOrBackup(g Group) bool {
	const backups = 1
	return a.rankIn(g) <= backups
}

// rankIn returns the number of reachable VMs that rank before this one in a
// group.
func (a *Allocator) rankIn(g Group) int {
	me, n := a.self(), 0
	members := a.deps.Members()
	for i := range members {
		if !members[i].Leaving && members[i].Outranks(&me, g) {
			n++
		}
	}
	return n
}

// clientOf returns the state of the VM that sent m, or nil if the message is
// from an earlier run of its process. If the process has restarted, everything
// that its earlier run held is released.
func (a *Allocator) clientOf(now time.Time, from netip.AddrPort, m *message) *client {
	h, ok := a.clients[from]
	if ok && (h.vm != m.VM || m.Boot > h.boot) {
		a.releaseAll(h)
		ok = false
	}
	if !ok {
		h = &client{vm: m.VM, boot: m.Boot, requests: make(map[uint64]*remoteRequest), placements: make(map[uint64]*heldPlacement), released: make(map[uint64]time.Time), backoffs: make(map[string]time.Time)}
		a.clients[from] = h
	}
	if m.Boot < h.boot {
		return nil
	}
	h.lastSeen = now
	return h
}

// releaseAll cancels all requests and releases all placements of a VM.
func (a *Allocator) releaseAll(h *client) {
	for id, o := range h.requests {
		a.cancelRequest(h, id, o)
	}
	placements := h.placements
	h.placements = make(map[uint64]*heldPlacement)
	for _, p := range placements {
		p.grant.Release()
	}
}

// cancelRequest removes a request of another VM.
func (a *Allocator) cancelRequest(h *client, id uint64, o *remoteRequest) {
	delete(h.requests, id)
	o.done = true
	o.queued.Cancel()
}

// handleRequests handles the fields of a message that are addressed to a
// leader.
func (a *Allocator) handleRequests(now time.Time, from netip.AddrPort, m *message) {
	h := a.clientOf(now, from, m)
	if h == nil {
		return
	}
	for i := range m.Events {
		a.deps.Tracker.MergeEvent(now, m.Events[i].event())
	}
	a.forwardEvents(now, m)
	a.applyLimits(now, m.Limits)
	a.applyDepartures(now, m.VM, m.Departures)
	h.applyBackoffs(now, m.Backoffs)
	a.applyClaims(now, from, m)
	for _, id := range m.Cancelled {
		if o, ok := h.requests[id]; ok {
			a.cancelRequest(h, id, o)
		}
	}
	for _, id := range m.Started {
		if p, ok := h.placements[id]; ok {
			p.grant.MarkStarted()
			a.deps.Tracker.MergeEvent(now, tracker.Event{Finding: tracker.FoundAnswer, Upstreams: []string{p.grant.Workload.Main}})
		}
	}
	for _, id := range m.Released {
		h.released[id] = now
		if p, ok := h.placements[id]; ok {
			delete(h.placements, id)
			p.grant.Release()
		}
	}
	for i := range m.Placements {
		w := &m.Placements[i]
		if o, ok := h.requests[w.ID]; ok {
			// Another leader has granted this request a placement, and the
			// message that it no longer waits here is lost or late. A second
			// placement with the same ID would replace this one and never be
			// released.
			a.cancelRequest(h, w.ID, o)
		}
		_, released := h.released[w.ID]
		if _, ok := h.placements[w.ID]; !ok && !released {
			h.placements[w.ID] = &heldPlacement{grant: a.ledGroupOf(w.Group.group()).scheduler.Adopt(w.workload(), w.Started), countedAt: now}
		}
	}
	for _, w := range m.ReportedGroups {
		if l, ok := a.ledGroups[w.group()]; ok {
			l.reportReceived(now, from)
		}
	}
	if m.HeldComplete {
		a.reconcile(now, from, h, m.Held)
	}
	for _, id := range m.StillWaiting {
		out := a.outgoingTo(from)
		if o, ok := h.requests[id]; ok {
			o.lastConfirmed = now
			out.Queued = append(out.Queued, id)
		} else if p, ok := h.placements[id]; ok && p.sentGrant != nil {
			out.Grants = append(out.Grants, *p.sentGrant)
		} else {
			out.UnknownRequests = append(out.UnknownRequests, id)
		}
	}
	for i := range m.Requests {
		w := &m.Requests[i]
		a.handleRequest(now, from, h, w, m.fingerprintOf(w.ID), slices.Contains(m.Preemptible, w.ID))
	}
}

// reconcile releases the placements that a VM no longer holds, and asks it to
// describe those that are unknown here.
func (a *Allocator) reconcile(now time.Time, from netip.AddrPort, h *client, held []uint64) {
	has := make(map[uint64]bool, len(held))
	for _, id := range held {
		has[id] = true
		if _, ok := h.placements[id]; !ok {
			out := a.outgoingTo(from)
			out.UnknownPlacements = append(out.UnknownPlacements, id)
		}
	}
	for id, p := range h.placements {
		if !has[id] && now.Sub(p.countedAt) > reportDelay {
			delete(h.placements, id)
			a.count("places.repaired")
			p.grant.Release()
		}
	}
}

// handleRequest handles another VM's request for a placement.
func (a *Allocator) handleRequest(now time.Time, from netip.AddrPort, h *client, w *wireRequest, fingerprint uint64, preemptible bool) {
	if o, ok := h.requests[w.ID]; ok {
		// The request was resent.
		o.lastConfirmed = now
		if stop := timeFromMillis(now, w.StopsAt); !stop.IsZero() {
			o.queued.SetStop(stop)
		}
		if !o.done {
			out := a.outgoingTo(from)
			out.Queued = append(out.Queued, w.ID)
		}
		return
	}
	if p, ok := h.placements[w.ID]; ok {
		if p.sentGrant != nil {
			out := a.outgoingTo(from)
			out.Grants = append(out.Grants, *p.sentGrant)
		}
		return
	}
	service, ok := a.deps.Service(w.Group.Service)
	if (!ok || a.deps.Tracker.Outdated()) && now.Sub(a.startedAt) < startupGrace {
		// The VM will resend the request shortly. If it were informed that this
		// VM does not lead, or heard nothing, the VMs that start at the same time
		// would each use another leader for the next second.
		out := a.outgoingTo(from)
		out.Starting = append(out.Starting, w.ID)
		return
	}
	if !ok || a.leaving || a.deps.Tracker.Outdated() {
		out := a.outgoingTo(from)
		out.NotLeading = append(out.NotLeading, w.ID)
		out.Stopping = out.Stopping || a.leaving
		return
	}
	g := w.Group.group()
	if a.zoneSizes(g.Service); g.Zone == "" && a.splitByZone[g.Service] {
		out := a.outgoingTo(from)
		out.OtherZones = append(out.OtherZones, wireOtherZone{ID: w.ID, Zone: a.initialGroup(g.Service, w.Zone).Zone})
		return
	}
	l := a.lead(now, g, true)
	l.localOnly = false
	o := &remoteRequest{group: l, spec: w.spec(now), hops: w.Hops, lastConfirmed: now}
	o.spec.Service, o.spec.Fingerprint = service, fingerprint
	o.spec.Backoffs = func() map[string]time.Time { return h.backoffs }
	if preemptible {
		id, boot := w.ID, h.boot
		o.spec.Withdraw = func() {
			out := a.outgoingTo(from)
			out.Withdrawals = append(out.Withdrawals, wireWithdrawal{ID: id, Boot: boot})
		}
	}
	h.requests[w.ID] = o
	a.observeArrival(now, l, o.spec, o.hops)
	o.queued = l.scheduler.Submit(o.spec, func(g *scheduler.Grant, r *scheduler.Refusal) {
		a.reply(from, h, w.ID, o, g, r)
	})
	if o.done {
		return
	}
	out := a.outgoingTo(from)
	if zone, ok := a.betterZone(now, l, o.spec, o.hops, false); ok {
		a.cancelRequest(h, w.ID, o)
		out.OtherZones = append(out.OtherZones, wireOtherZone{ID: w.ID, Zone: zone})
		return
	}
	out.Queued = append(out.Queued, w.ID)
}

// reply sends a VM the result of its request.
func (a *Allocator) reply(from netip.AddrPort, h *client, id uint64, o *remoteRequest, g *scheduler.Grant, r *scheduler.Refusal) {
	if o.done {
		if g != nil {
			g.Release()
		}
		return
	}
	o.done = true
	delete(h.requests, id)
	now := a.deps.Now()
	out := a.outgoingTo(from)
	if r != nil {
		if noneUsable(r) {
			if zone, ok := a.betterZone(now, o.group, o.spec, o.hops, true); ok {
				out.OtherZones = append(out.OtherZones, wireOtherZone{ID: id, Zone: zone})
				return
			}
		}
		a.shareClaim(now, o.group.group, from, r.Claim)
		out.Refusals = append(out.Refusals, wireRefusal{ID: id, Code: r.Code, RetryAfter: r.RetryAfter.Milliseconds(), Waits: encodeWaitTimes(r.WaitTimes)})
		return
	}
	w := wireGrant{
		ID: id, Main: wireUpstream{ID: g.Upstream.ID, Address: g.Upstream.Address},
		Prefill: float32(g.Workload.Prefill), Estimate: float32(g.Estimate), Long: g.Workload.Long,
		Streams: g.Load.Streams, ContextTokens: g.Load.ContextTokens, PendingPrefill: float32(g.Load.PendingPrefill), Waits: encodeWaitTimes(g.WaitTimes),
	}
	for _, p := range g.Helpers {
		w.Helpers = append(w.Helpers, wireUpstream{ID: p.ID, Address: p.Address, ReservedTokens: p.ReservedTokens})
	}
	h.placements[id] = &heldPlacement{grant: g, countedAt: now, sentGrant: &w}
	a.typicalLoad.add(g.Load, o.spec.Requirements)
	a.shareUsedClaim(now, o.group.group, g.UsedClaim)
	out.Grants = append(out.Grants, w)
	if len(out.Departures) == 0 {
		// If the VM has to place requests itself, it must know what the leader knows.
		a.sendDepartures(now, from, o.group.group)
	}
	if l := g.Upstream.Limit; l.Limited {
		// Without this the VM would not notice when the upstream's responses
		// stop naming a limit.
		out.Limits = append(out.Limits, newWireLimit(now, g.Upstream.ID, l))
	}
}

// expireClients cancels the requests and releases the placements of VMs that
// have gone silent.
func (a *Allocator) expireClients(now time.Time) {
	for at, h := range a.clients {
		for id, o := range h.requests {
			if now.Sub(o.lastConfirmed) > requestTimeout {
				a.cancelRequest(h, id, o)
			}
		}
		h.expireBackoffs(now)
		for id, at := range h.released {
			if now.Sub(at) > clientTimeout {
				delete(h.released, id)
			}
		}
		if now.Sub(h.lastSeen) > clientTimeout {
			if n := len(h.placements); n > 0 {
				a.deps.Log.Info().Str("peer", h.vm).Int("places", n).Dur("silent", now.Sub(h.lastSeen)).Msg("released placements of silent VM")
			}
			a.releaseAll(h)
			delete(a.clients, at)
		}
	}
}

// handOver tells all clients to send their requests to another leader.
func (a *Allocator) handOver(now time.Time) {
	for at, h := range a.clients {
		out := a.outgoingTo(at)
		out.Stopping = true
		for id, o := range h.requests {
			out.NotLeading = append(out.NotLeading, id)
			a.cancelRequest(h, id, o)
		}
	}
	a.deps.Log.Info().Int("holders", len(a.clients)).Dur("left", a.stopsAt.Sub(now)).Msg("groups handed over")
}
