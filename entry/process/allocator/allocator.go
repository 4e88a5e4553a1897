// Package allocator lets one VM, the leader, allocate the upstreams of a group
// for all VMs. It is meant for fleets of many VMs in front of many engines. If
// each VM decided alone from what the others have reported, two VMs that see
// the same idle engine would send their prompts to it at the same moment, and
// the reports would grow with the square of the number of VMs.
//
// A VM that has a request sends the group's leader a small allocation request
// that contains no byte of the prompt. The leader orders the waiting requests,
// chooses the upstreams and grants placements. The VM talks to the upstreams
// itself and reports when the first event of the response has arrived and when
// the placement is released.
//
// All of this is soft state. The leader is the live VM that ranks first by
// zone, cores and a hash; there is no election. Having two leaders or none for
// a moment makes placement worse but breaks no guarantee, because upstreams
// queue or refuse what exceeds their capacity. A leader that does not answer is
// skipped, and the VM that is asked next first collects from all VMs what they
// have in progress. A VM that cannot reach any other decides alone.
//
// No guarantee depends on this package: a VM checks right before sending
// whether its own list still contains the upstream, and a grant is used only
// while the request still waits for it.
package allocator

import (
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/switcher"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// TickInterval is the time between ticks while requests wait, and
	// idleTickInterval the time between ticks otherwise. The idle interval is
	// longer because each tick wakes the process.
	TickInterval     = 25 * time.Millisecond
	idleTickInterval = 250 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the process is
	// considered to have been paused.
	pauseThreshold = 2 * idleTickInterval
)

// A Sender sends datagrams without blocking.
type Sender interface {
	Send(to netip.AddrPort, data []byte) error
}

// A Timer calls a function periodically until the subscription is stopped.
type Timer interface {
	Subscribe(every time.Duration, call func(time.Time)) (stop func())
}

// A Meter counts events by metric name.
type Meter interface {
	Count(name string, n int64)
}

// Deps holds the dependencies of an Allocator.
type Deps struct {
	Tracker *tracker.Tracker
	Sender  Sender
	Timer   Timer
	Meter   Meter
	// Members returns the other live VMs.
	Members func() []Member
	// FleetSize returns the number of VMs that may exist, including this one
	// and those that are currently unreachable.
	FleetSize func() int
	// Service looks up a service in the configuration.
	Service func(name string) (*matcher.Service, bool)
	// ColdStartQuota returns how many requests per second this VM may place at
	// an upstream in cold start that tolerates rate requests per second from
	// all VMs. leads reports whether this VM places them as a leader rather
	// than only for its own requests.
	ColdStartQuota func(upstream string, rate float64, leads bool) int
	// Policy returns the features that the settings select; nil leaves each to the
	// configuration.
	Policy func() switcher.Policy
	Now    func() time.Time
	Log    zerolog.Logger
}

// An Allocator requests placements for the requests of one VM, and grants
// placements in the groups that this VM leads.
type Allocator struct {
	me   Member
	boot int64
	deps Deps

	mu sync.Mutex
	// startedAt is when the Allocator was created.
	startedAt time.Time
	leaving   bool
	// stopsAt is when this VM stops; zero while no stop is planned.
	stopsAt  time.Time
	suspects map[netip.AddrPort]suspicion
	// suspectCount counts suspicions, and leaderCache holds the leader last
	// found for each group.
	suspectCount int
	leaderCache  map[Group]cachedLeader
	// splitByZone holds the services whose upstreams are grouped by zone.
	splitByZone map[string]bool

	// requests and placements are those of this VM, by the ID it assigned.
	lastID     uint64
	requests   map[uint64]*request
	placements map[uint64]*Placement
	// reportedAt is when the placements were last reported to the leaders, and
	// reportsLeft how many more empty reports each leader gets once this VM
	// holds no placement from it.
	reportedAt  time.Time
	reportsLeft map[netip.AddrPort]int
	lastTick    time.Time
	// stopFastTicks ends the subscription of Tick at TickInterval; nil while
	// nothing waits.
	stopFastTicks func()

	// ledGroups are the groups that this VM leads or has led, and clients the
	// VMs that have sent it messages, with their requests and placements.
	ledGroups map[Group]*ledGroup
	clients   map[netip.AddrPort]*client
	// summaries holds the latest known load of each group.
	summaries       map[Group]*summary
	summariesSentAt time.Time
	// actingLeaders holds, for each group, the VMs that lead it in place of the
	// first-ranked one, and until when each counts as such.
	actingLeaders map[Group]map[netip.AddrPort]time.Time
	typicalLoad   averageLoad

	outgoing map[netip.AddrPort]*message
}

// New returns an Allocator for the VM me. boot identifies this run of its
// process; later runs have larger values.
func New(me Member, boot int64, d Deps) *Allocator {
	a := &Allocator{
		me: me, boot: boot, deps: d, startedAt: d.Now(), lastTick: d.Now(),
		suspects: make(map[netip.AddrPort]suspicion), leaderCache: make(map[Group]cachedLeader), splitByZone: make(map[string]bool),
		requests: make(map[uint64]*request), placements: make(map[uint64]*Placement), reportsLeft: make(map[netip.AddrPort]int),
		ledGroups: make(map[Group]*ledGroup), clients: make(map[netip.AddrPort]*client), summaries: make(map[Group]*summary),
		outgoing: make(map[netip.AddrPort]*message), actingLeaders: make(map[Group]map[netip.AddrPort]time.Time),
	}
	d.Tracker.SetListener(a.reportEvent)
	d.Timer.Subscribe(idleTickInterval, a.Tick)
	return a
}

// locked runs f with the lock held and then sends the messages that f queued.
func (a *Allocator) locked(f func(now time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Now()
	f(now)
	a.flush()
	a.adjustTicks(now)
}

// adjustTicks subscribes Tick at TickInterval while requests wait, and ends
// that subscription otherwise.
func (a *Allocator) adjustTicks(now time.Time) {
	busy := len(a.requests) > 0
	for _, l := range a.ledGroups {
		busy = busy || l.scheduler.QueueLength() > 0
	}
	switch {
	case busy && a.stopFastTicks == nil:
		a.lastTick = now
		a.stopFastTicks = a.deps.Timer.Subscribe(TickInterval, a.Tick)
	case !busy && a.stopFastTicks != nil:
		a.stopFastTicks()
		a.stopFastTicks = nil
	}
}

// outgoingTo returns the message that will be sent to the VM at the given
// address at the next flush.
func (a *Allocator) outgoingTo(at netip.AddrPort) *message {
	m, ok := a.outgoing[at]
	if !ok {
		m = &message{VM: a.me.VM, Boot: a.boot}
		a.outgoing[at] = m
	}
	return m
}

// maxEntries is the maximum number of placements, and of each kind of state of
// upstreams, in one datagram, chosen so that datagrams are not fragmented on the way.
const maxEntries = 12

func (a *Allocator) flush() {
	for at, m := range a.outgoing {
		for len(m.Placements) > maxEntries {
			a.transmit(at, &message{VM: m.VM, Boot: m.Boot, Placements: m.Placements[:maxEntries]})
			m.Placements = m.Placements[maxEntries:]
		}
		for len(m.Limits) > maxEntries {
			a.transmit(at, &message{VM: m.VM, Boot: m.Boot, Limits: m.Limits[:maxEntries]})
			m.Limits = m.Limits[maxEntries:]
		}
		for len(m.Departures) > maxEntries {
			a.transmit(at, &message{VM: m.VM, Boot: m.Boot, Departures: m.Departures[:maxEntries]})
			m.Departures = m.Departures[maxEntries:]
		}
		for len(m.Backoffs) > maxEntries {
			a.transmit(at, &message{VM: m.VM, Boot: m.Boot, Backoffs: m.Backoffs[:maxEntries]})
			m.Backoffs = m.Backoffs[maxEntries:]
		}
		a.transmit(at, m)
	}
	clear(a.outgoing)
}

func (a *Allocator) transmit(at netip.AddrPort, m *message) {
	data, err := cbor.Marshal(m)
	if err != nil {
		a.deps.Log.Error().Err(err).Msg("failed to encode message")
		return
	}
	a.deps.Meter.Count("exchange.sent", 1)
	a.deps.Meter.Count("exchange.bytes", int64(len(data)+1))
	if err := a.deps.Sender.Send(at, append([]byte{DatagramType}, data...)); err != nil {
		a.deps.Log.Debug().Str("peer", at.String()).Err(err).Msg("failed to send datagram")
	}
}

func (a *Allocator) count(name string) { a.deps.Meter.Count(name, 1) }

// Receive handles a datagram. A datagram whose sender is not the live VM at
// that address is ignored.
func (a *Allocator) Receive(from netip.AddrPort, data []byte) {
	if len(data) < 1 || data[0] != DatagramType {
		return
	}
	var m message
	if err := cbor.Unmarshal(data[1:], &m); err != nil {
		a.deps.Log.Debug().Str("peer", from.String()).Err(err).Msg("failed to decode datagram")
		return
	}
	if !a.isMember(from, m.VM) {
		a.deps.Log.Debug().Str("peer", from.String()).Str("name", m.VM).Msg("ignored datagram from non-member")
		return
	}
	a.deps.Meter.Count("exchange.received", 1)
	a.locked(func(now time.Time) {
		a.clearSuspicion(now, from)
		a.handleRequests(now, from, &m)
		a.handleReplies(now, from, &m)
	})
}

func (a *Allocator) isMember(from netip.AddrPort, vm string) bool {
	members := a.deps.Members()
	for i := range members {
		if members[i].Address == from {
			return members[i].VM == vm
		}
	}
	return false
}

// Tick runs all periodic work.
func (a *Allocator) Tick(time.Time) {
	a.locked(func(now time.Time) {
		paused := now.Sub(a.lastTick) > maxTickGap
		if now.Sub(a.lastTick) > pauseThreshold {
			// After a pause this VM's knowledge as a leader is too old: the
			// next use of each group collects the placements again.
			for _, l := range a.ledGroups {
				l.lastUsed, l.lastRemoteUse = time.Time{}, time.Time{}
			}
		}
		a.lastTick = now
		a.dispatch()
		a.retryRequests(now, paused)
		a.reportPlacements(now)
		a.expireClients(now)
		a.sendSummaries(now)
	})
}

// Dispatch tries to place the requests that wait at this VM as a leader. It is
// called when the state of upstreams has changed.
func (a *Allocator) Dispatch() { a.locked(func(time.Time) { a.dispatch() }) }

func (a *Allocator) dispatch() {
	for _, l := range a.ledGroups {
		l.scheduler.Dispatch()
	}
}

// reportEvent sends the leader what this VM's requests have observed at an
// upstream.
func (a *Allocator) reportEvent(e tracker.Event) {
	if len(e.Upstreams) == 0 || e.Finding == tracker.FoundAnswer {
		// The leader learns this from the report that the placement has
		// started.
		return
	}
	u, ok := a.deps.Tracker.Get(e.Upstreams[0])
	if !ok {
		return
	}
	a.locked(func(now time.Time) {
		if m, self := a.leader(now, a.groupOf(u.Service, u.Zone)); !self {
			out := a.outgoingTo(m.Address)
			switch e.Finding {
			case tracker.FoundLimit:
				out.Limits = append(out.Limits, newWireLimit(now, u.ID, e.Limit))
			case tracker.FoundDeparture:
				out.Departures = append(out.Departures, newWireDeparture(now, e.Departure))
			case tracker.FoundBackoff:
				out.Backoffs = append(out.Backoffs, newWireBackoff(u.ID, e.For))
			default:
				out.Events = append(out.Events, newWireEvent(e))
			}
		}
	})
}

// Drain announces that this VM stops at the given time. It no longer leads any
// group, and those of its own requests that cannot finish in time are refused
// while they can still go to another VM.
func (a *Allocator) Drain(stop time.Time) {
	a.locked(func(now time.Time) {
		a.leaving, a.stopsAt = true, stop
		a.handOver(now)
		for _, o := range a.requests {
			o.spec.StopsAt = stop
			if o.local != nil {
				o.local.SetStop(stop)
				continue
			}
			a.send(now, o)
		}
	})
}

// Waiting returns the number of this VM's requests that wait for a placement.
func (a *Allocator) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}

// LedGroups returns the number of groups that this VM leads.
func (a *Allocator) LedGroups() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for g := range a.ledGroups {
		if a.isLeader(a.deps.Now(), g) {
			n++
		}
	}
	return n
}

// Forget drops the request counts of a cold or limited upstream that is gone.
func (a *Allocator) Forget(upstream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.ledGroups {
		l.scheduler.Forget(upstream)
	}
}

// Loads returns the load of each upstream, as far as this VM knows it as a
// leader.
func (a *Allocator) Loads() map[string]placer.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make(map[string]placer.Load)
	for _, l := range a.ledGroups {
		for id, w := range l.scheduler.Loads() {
			sum := all[id]
			sum.Add(w)
			all[id] = sum
		}
	}
	return all
}

// maxGroupSize is the number of upstreams above which a service with upstreams
// in several zones is split into one group per zone, because a leader examines
// every upstream of the group for each decision. Upstreams that currently may
// not get work count as well, and a split service is merged again only below
// minSplitSize, so not before it has lost a third of its upstreams. This makes
// VMs agree on the grouping; if they disagreed, two leaders would allocate the
// same upstreams.
const (
	maxGroupSize = 60
	minSplitSize = 40
)

// groupOf returns the group of a service's upstreams in a zone.
func (a *Allocator) groupOf(service, zone string) Group {
	if a.splitByZone[service] {
		return Group{service, zone}
	}
	return Group{service, ""}
}

// zoneSizes decides whether a service's upstreams are grouped by zone, and
// returns the number of its usable upstreams in each zone.
func (a *Allocator) zoneSizes(service string) map[string]int {
	switch listed := a.deps.Tracker.CountListed(service); {
	case listed > maxGroupSize:
		a.splitByZone[service] = true
	case listed < minSplitSize && listed > 0:
		delete(a.splitByZone, service)
	}
	return a.deps.Tracker.CountUsableByZone(service)
}

// logSlow logs that an upstream took much longer for a request than expected.
func (a *Allocator) logSlow(upstream string, ratio float64, expected, actual time.Duration) {
	a.count("upstreams.slow")
	a.deps.Log.Info().Str("upstream", upstream).Float64("slowness", ratio).Dur("expected", expected).Dur("actual", actual).
		Msg("upstream slower than expected")
}

// policy returns the features that the settings select.
func (a *Allocator) policy() switcher.Policy {
	if a.deps.Policy == nil {
		return switcher.Policy{}
	}
	return a.deps.Policy()
}

// isLeader reports whether this VM considers itself the leader of a group.
func (a *Allocator) isLeader(now time.Time, g Group) bool {
	_, self := a.leader(now, g)
	return self
}

func (a *Allocator) ledGroupOf(g Group) *ledGroup {
	l, ok := a.ledGroups[g]
	if !ok {
		l = &ledGroup{group: g}
		l.scheduler = scheduler.New(g.Zone, scheduler.Deps{
			Tracker: a.deps.Tracker, Now: a.deps.Now, Policy: a.policy, FoundSlow: a.logSlow,
			ColdQuota: func(upstream string, rate float64) int {
				if a.deps.Now().Before(l.coldAllowedAt) {
					return 0
				}
				return a.deps.ColdStartQuota(upstream, rate, !l.localOnly)
			},
			RateQuota: func(rate float64) float64 { return a.limitShare(l, rate) },
		})
		a.ledGroups[g] = l
	}
	return l
}
