package allocator

import (
	"net/netip"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// A Placement is the capacity reserved for one request at its upstreams.
type Placement struct {
	Upstream tracker.Upstream
	Helpers  []scheduler.Helper
	// Estimate is the estimated time to the first event in milliseconds, and
	// Load the load of the upstream when it was chosen.
	Estimate float64
	Load     placer.Load
	// WaitTimes is how long the request waited, by reason.
	WaitTimes scheduler.WaitTimes
	// Leader is the VM that granted the placement; empty if this VM did.
	Leader string

	leaderAddress netip.AddrPort
	allocator     *Allocator
	id            uint64
	group         Group
	workload      scheduler.Workload
	started       bool
	released      bool
	// withdrawn is set once a leader has asked for the placement back, and onWithdrawal is
	// called then; nil until the holder has set it.
	withdrawn    bool
	onWithdrawal func()
	// grant is the local scheduler's record of the placement; nil if only
	// another VM counts it.
	grant *scheduler.Grant
}

// MarkStarted records that the first event of the response has arrived.
func (p *Placement) MarkStarted() {
	p.allocator.locked(func(now time.Time) {
		if p.started || p.released {
			return
		}
		p.started = true
		if p.grant != nil {
			p.grant.MarkStarted()
		}
		p.notifyLeaders(now, func(m *message) { m.Started = append(m.Started, p.id) })
	})
}

// Release releases the placement. It may be called more than once.
func (p *Placement) Release() {
	p.allocator.locked(func(now time.Time) {
		if p.released {
			return
		}
		p.released = true
		delete(p.allocator.placements, p.id)
		if p.grant != nil {
			p.grant.Release()
		}
		p.notifyLeaders(now, func(m *message) { m.Released = append(m.Released, p.id) })
	})
}

// notifyLeaders adds an entry to the messages to all VMs that count the
// placement: the one that granted it and the current leaders.
func (p *Placement) notifyLeaders(now time.Time, add func(*message)) {
	if p.leaderAddress.IsValid() {
		add(p.allocator.outgoingTo(p.leaderAddress))
	}
	for _, at := range p.allocator.leadersOf(now, p.group) {
		if at != p.leaderAddress {
			add(p.allocator.outgoingTo(at))
		}
	}
}

// actingLeaderTimeout is how long a VM counts as an acting leader after its
// last announcement.
const actingLeaderTimeout = announceInterval * 3 / 2

// maxActingLeaders limits the acting leaders of a group, since each report is
// sent to all of them.
const maxActingLeaders = 3

// addActingLeader records that a VM leads a group in place of the first-ranked
// one. Beyond maxActingLeaders the one that expires first is dropped.
func (a *Allocator) addActingLeader(now time.Time, g Group, at netip.AddrPort) {
	all := a.actingLeaders[g]
	if all == nil {
		all = make(map[netip.AddrPort]time.Time)
		a.actingLeaders[g] = all
	}
	all[at] = now.Add(actingLeaderTimeout)
	for len(all) > maxActingLeaders {
		first := at
		for o, until := range all {
			if until.Before(all[first]) {
				first = o
			}
		}
		delete(all, first)
	}
}

// leadersOf returns the VMs to which a group's placements are reported: its
// leader, and those that lead in place of it for VMs that cannot reach it. If
// only the VM that granted a placement got reports, the counts of the others
// would become stale while other VMs still rely on them.
func (a *Allocator) leadersOf(now time.Time, g Group) []netip.AddrPort {
	var all []netip.AddrPort
	if m, self := a.leader(now, g); !self {
		all = append(all, m.Address)
	}
	for at, until := range a.actingLeaders[g] {
		if now.After(until) {
			delete(a.actingLeaders[g], at)
			continue
		}
		if !slices.Contains(all, at) {
			all = append(all, at)
		}
	}
	return all
}

// reportInterval is how often the leaders get the list of all placements that
// this VM holds, as single reports may be lost.
const reportInterval = 500 * time.Millisecond

// emptyReports is how often this VM reports to a leader that it holds no
// placements any more. A single report may be lost, and a placement that the
// leader has only just recorded is not released by the first.
const emptyReports = 3

// reportPlacements sends the leaders the list of all placements.
func (a *Allocator) reportPlacements(now time.Time) {
	if now.Sub(a.reportedAt) < reportInterval {
		return
	}
	a.reportedAt = now
	previous := a.reportsLeft
	a.reportsLeft = make(map[netip.AddrPort]int)
	groupsSent := make(map[reportTarget]bool)
	for _, p := range a.placements {
		if a.isLeader(now, p.group) {
			a.adopt(p)
		}
		for _, at := range a.leadersOf(now, p.group) {
			out := a.outgoingTo(at)
			out.Held, out.HeldComplete = append(out.Held, p.id), true
			a.reportsLeft[at] = emptyReports
			if t := (reportTarget{at, p.group}); !groupsSent[t] {
				groupsSent[t] = true
				a.sendUpstreamState(now, at, p.group)
			}
		}
	}
	for at, remaining := range previous {
		if _, reported := a.reportsLeft[at]; reported {
			continue
		}
		a.outgoingTo(at).HeldComplete = true
		if remaining > 1 {
			a.reportsLeft[at] = remaining - 1
		}
	}
}

// A reportTarget is a VM that gets reports for a group.
type reportTarget struct {
	at    netip.AddrPort
	group Group
}

// sendUpstreamState sends a VM what upstreams of a group have announced.
func (a *Allocator) sendUpstreamState(now time.Time, to netip.AddrPort, g Group) {
	a.sendLimits(now, to, g)
	a.sendDepartures(now, to, g)
	a.sendBackoffs(now, to, g)
}

// reportGroup reports this VM's placements, and what upstreams have announced, in a
// group to a VM that starts leading it.
func (a *Allocator) reportGroup(to netip.AddrPort, g Group) {
	a.sendUpstreamState(a.deps.Now(), to, g)
	a.sendClaims(a.deps.Now(), to, g)
	out := a.outgoingTo(to)
	out.ReportedGroups = append(out.ReportedGroups, g.wire())
	for _, p := range a.placements {
		if p.group == g {
			out.Placements = append(out.Placements, p.wire())
		}
	}
}
