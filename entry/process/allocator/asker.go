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
	// resendInterval is the time without an answer after which a request is
	// sent again, and replyTimeout the time after which its leader is skipped.
	// An answer normally takes a millisecond or two, so by the time of
	// replyTimeout three have been lost.
	resendInterval = 20 * time.Millisecond
	replyTimeout   = 80 * time.Millisecond
	// confirmInterval is how often a leader is asked to confirm that it still
	// holds a waiting request, and confirmTimeout the time without a
	// confirmation after which the leader is skipped. A grant is therefore at
	// most confirmTimeout old when it is used.
	confirmInterval = 100 * time.Millisecond
	confirmTimeout  = 300 * time.Millisecond
	// maxTickGap is the time between two ticks above which this VM itself,
	// rather than the leaders, is considered to have been paused.
	maxTickGap = 3 * TickInterval
	// maxSilentLeaders is the number of leaders that may fail to answer before
	// a VM decides alone. maxSilentLeadersLong is the same for a prompt that
	// several engines prefill in parts, because placing such a prompt without
	// knowing the other VMs' load slows many responses.
	maxSilentLeaders     = 2
	maxSilentLeadersLong = 4
	// maxHops is how often a request may be moved to another group.
	maxHops = 2
	// localRetryInterval is how long a request that was scheduled locally for
	// want of a leader waits before it is sent to a leader again.
	localRetryInterval = 500 * time.Millisecond
	// retryAfter is the delay after which a caller may retry a request that
	// could not be placed in time.
	retryAfter = 500 * time.Millisecond
)

// A request is an allocation request of this VM that waits for a placement.
type request struct {
	id    uint64
	spec  scheduler.Request
	group Group
	// hops counts the moves to another group, silentLeaders the leaders that
	// did not answer this request.
	hops, silentLeaders int
	// held is set while the request waits for the start of this VM.
	held bool
	// awaitsStart is set once the request waits for a leader that has just started.
	awaitsStart bool
	// leader is the address of the leader to which the request was sent; local
	// is set if this VM schedules it itself.
	leader    netip.AddrPort
	local     *scheduler.Pending
	submitted time.Time
	// firstSent and lastSent are when the request was first and last sent to
	// this leader; confirmed is when the leader last confirmed that it waits
	// there.
	firstSent, lastSent, confirmed time.Time
	outcome                        chan outcome
}

type outcome struct {
	placement *Placement
	refusal   *scheduler.Refusal
}

// Acquire waits until the call is granted a placement or refused. It withdraws
// the call if ctx is done first.
func (a *Allocator) Acquire(ctx context.Context, c scheduler.Request) (*Placement, *scheduler.Refusal) {
	o := a.Submit(c)
	select {
	case r := <-o.request.outcome:
		return r.placement, r.refusal
	case <-ctx.Done():
		return nil, o.Cancel()
	}
}

// Pending is a request that may still wait for a placement.
type Pending struct {
	allocator *Allocator
	request   *request
}

// Submit requests a placement without waiting for it.
func (a *Allocator) Submit(c scheduler.Request) *Pending {
	o := &request{spec: c, outcome: make(chan outcome, 1)}
	a.locked(func(now time.Time) {
		a.lastID++
		o.id, o.submitted = a.lastID, now
		o.spec.Zone, o.spec.StopsAt = a.me.Zone, a.stopsAt
		o.spec.Unreachable, o.spec.Backoffs = a.deps.Tracker.Unreachable(now), a.ownBackoffs
		o.group = a.initialGroup(c.Service.Name, a.me.Zone)
		a.requests[o.id] = o
		a.send(now, o)
	})
	return &Pending{a, o}
}

// Poll returns the placement or the refusal, once; before and after that it
// returns nil for both.
func (o *Pending) Poll() (*Placement, *scheduler.Refusal) {
	select {
	case r := <-o.request.outcome:
		return r.placement, r.refusal
	default:
		return nil, nil
	}
}

// Cancel withdraws the request because its caller has gone or its time is over.
func (o *Pending) Cancel() *scheduler.Refusal {
	a := o.allocator
	refusal := &scheduler.Refusal{Code: scheduler.CodeLate, RetryAfter: retryAfter}
	a.locked(func(now time.Time) {
		if _, ok := a.requests[o.request.id]; ok {
			refusal.WaitTimes = a.withdraw(o.request)
			refusal.WaitTimes.AddRemainder(now.Sub(o.request.submitted))
			delete(a.requests, o.request.id)
		}
	})
	select {
	case r := <-o.request.outcome:
		// The request was granted a placement just before it was cancelled.
		if r.placement != nil {
			r.placement.Release()
		}
	default:
	}
	return refusal
}

// initialGroup returns the group to which a request is first sent: that of this
// VM's zone or, if the service has no usable upstreams there, that of the zone
// with the most.
func (a *Allocator) initialGroup(service, zone string) Group {
	sizes := a.zoneSizes(service)
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
func (a *Allocator) send(now time.Time, o *request) {
	if a.isStarting(now) && o.mayAwaitStart(now) {
		// It is sent at a later tick.
		o.leader, o.held = netip.AddrPort{}, true
		return
	}
	if o.held && o.hops == 0 {
		// The list of upstreams may have changed how they are grouped.
		o.group = a.initialGroup(o.spec.Service.Name, a.me.Zone)
	}
	if o.held {
		o.held = false
		a.deps.Log.Info().Str("service", o.group.Service).Dur("waited", now.Sub(o.submitted)).Int("members", len(a.deps.Members())).
			Msg("sending a request that waited for the start of this VM")
	}
	m, self := a.leader(now, o.group)
	if self || o.silentLeaders >= o.maxSilent() || a.deps.Tracker.Outdated() {
		a.scheduleLocally(now, o)
		return
	}
	if o.leader != m.Address {
		o.leader, o.firstSent, o.confirmed = m.Address, now, time.Time{}
	}
	if a.reportsLeft[m.Address] == 0 {
		// A leader that had no report from this VM needs to know what this VM
		// already holds in the group.
		a.reportsLeft[m.Address] = emptyReports
		a.reportGroup(m.Address, o.group)
	}
	o.lastSent = now
	out := a.outgoingTo(m.Address)
	out.Requests = append(out.Requests, o.wire(now))
	if o.spec.Preemptible {
		out.Preemptible = append(out.Preemptible, o.id)
	}
	if f := o.spec.Fingerprint; f != 0 {
		out.Fingerprints = append(out.Fingerprints, wireFingerprint{ID: o.id, Fingerprint: f})
	}
}

// isStarting reports whether this VM has just started and does not know yet which VM leads:
// it has no list of upstreams, or has heard only from few of the VMs that it knows by name.
// VMs that start together and place requests without a leader meet at the same engines.
func (a *Allocator) isStarting(now time.Time) bool {
	if now.Sub(a.startedAt) >= startupGrace {
		return false
	}
	const most = 2 // the inverse of the share of VMs that must have been heard
	return a.deps.Tracker.Outdated() || (a.deps.KnownVMs != nil && most*(len(a.deps.Members())+1) < a.deps.KnownVMs())
}

func (o *request) maxSilent() int {
	if e := o.spec.Service.Engine; e != nil && !placer.IsShort(e, o.spec.Requirements.Prompt) {
		return maxSilentLeadersLong
	}
	return maxSilentLeaders
}

// scheduleLocally schedules a request of this VM on this VM.
func (a *Allocator) scheduleLocally(now time.Time, o *request) {
	l := a.lead(now, o.group, false)
	l.localOnly = !a.isLeaderOrBackup(o.group)
	o.leader, o.firstSent = netip.AddrPort{}, now
	a.observeArrival(now, l, o.spec, o.hops)
	spec := o.spec
	if spec.Preemptible {
		spec.Withdraw = func() { a.withdrawPlacement(o.id) }
	}
	queued := l.scheduler.Submit(spec, func(g *scheduler.Grant, r *scheduler.Refusal) {
		if _, ok := a.requests[o.id]; !ok {
			if g != nil {
				g.Release()
			}
			return
		}
		if r != nil && noneUsable(r) {
			if zone, ok := a.betterZone(now, l, o.spec, o.hops, true); ok {
				a.moveToZone(a.deps.Now(), o, zone)
				return
			}
		}
		delete(a.requests, o.id)
		if g == nil {
			a.shareClaim(a.deps.Now(), l.group, netip.AddrPort{}, r.Claim)
			a.recordPromise(o)
			o.outcome <- outcome{refusal: r}
			return
		}
		a.shareUsedClaim(a.deps.Now(), l.group, g.UsedClaim)
		a.deliver(now, o, &Placement{
			Upstream: g.Upstream.Upstream, Helpers: g.Helpers, Estimate: g.Estimate, Load: g.Load, WaitTimes: g.WaitTimes,
			workload: g.Workload, grant: g,
		})
	})
	if _, waits := a.requests[o.id]; !waits || o.leader.IsValid() || o.local != nil {
		// The request was already answered or sent elsewhere.
		return
	}
	o.local = queued
	if zone, ok := a.betterZone(now, l, o.spec, o.hops, false); ok {
		a.moveToZone(now, o, zone)
	}
}

// moveToZone moves a request to the group of another zone.
func (a *Allocator) moveToZone(now time.Time, o *request, zone string) {
	a.withdraw(o)
	o.hops++
	if o.group.Zone == "" {
		// The leader lists more upstreams than this VM and already splits the
		// service by zone.
		a.splitByZone[o.group.Service] = true
	}
	o.group.Zone = zone
	o.leader = netip.AddrPort{}
	a.send(now, o)
}

func (a *Allocator) deliver(now time.Time, o *request, p *Placement) {
	p.allocator, p.id, p.group = a, o.id, o.group
	a.placements[p.id] = p
	for _, at := range a.leadersOf(now, p.group) {
		// While the leader changes, or while there are two, a leader that did
		// not grant this placement would consider its upstreams idle.
		if at != p.leaderAddress {
			out := a.outgoingTo(at)
			out.Placements = append(out.Placements, p.wire())
		}
	}
	o.outcome <- outcome{placement: p}
}

// withdraw cancels a request at the leader or the local scheduler where it
// waits.
func (a *Allocator) withdraw(o *request) (w scheduler.WaitTimes) {
	if o.local != nil {
		w = o.local.Cancel()
		o.local = nil
		return w
	}
	if o.leader.IsValid() {
		out := a.outgoingTo(o.leader)
		out.Cancelled = append(out.Cancelled, o.id)
	}
	return w
}

// moveToLeader withdraws a request and sends it to the current leader of its
// group.
func (a *Allocator) moveToLeader(now time.Time, o *request) {
	a.withdraw(o)
	o.leader = netip.AddrPort{}
	a.send(now, o)
}

// retryRequests resends unanswered requests and skips leaders that do not
// answer. If this VM itself was paused, the leaders get another chance first.
func (a *Allocator) retryRequests(now time.Time, paused bool) {
	for _, id := range a.requestIDs() {
		o, ok := a.requests[id]
		switch {
		case !ok:
		case o.local != nil:
			if _, self := a.leader(now, o.group); !self && now.Sub(o.firstSent) >= localRetryInterval {
				o.silentLeaders = 0
				a.moveToLeader(now, o)
			}
		case !o.leader.IsValid():
			a.send(now, o)
		case paused:
			o.firstSent, o.confirmed = now, advanceIfSet(o.confirmed, now)
			a.send(now, o)
		case o.confirmed.IsZero() && now.Sub(o.firstSent) >= replyTimeout, !o.confirmed.IsZero() && now.Sub(o.confirmed) >= confirmTimeout:
			o.silentLeaders++
			if now.After(a.suspects[o.leader].until) {
				a.suspect(now, o.leader, "no answer")
			}
			a.moveToLeader(now, o)
		case o.confirmed.IsZero() && now.Sub(o.lastSent) >= resendInterval:
			a.send(now, o)
		case !o.confirmed.IsZero() && now.Sub(o.lastSent) >= confirmInterval:
			if m, self := a.leader(now, o.group); self || (m.Address != o.leader && !a.isSuspect(m.Address)) {
				a.moveToLeader(now, o)
				continue
			}
			o.lastSent = now
			out := a.outgoingTo(o.leader)
			out.StillWaiting = append(out.StillWaiting, o.id)
		}
	}
}

// advanceIfSet returns now, or the zero time if at is zero.
func advanceIfSet(at, now time.Time) time.Time {
	if at.IsZero() {
		return at
	}
	return now
}

// requestIDs returns the IDs of this VM's waiting requests in ascending order.
func (a *Allocator) requestIDs() []uint64 {
	ids := make([]uint64, 0, len(a.requests))
	for id := range a.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
