package allocator

import (
	"net/netip"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// A Placement is a place at upstreams.
type Placement struct {
	Upstream tracker.Upstream
	Helpers  []scheduler.Helper
	// Estimate is the estimated time to the first event in milliseconds, and
	// Load the work at the upstream when it was chosen.
	Estimate float64
	Load     placer.Load
	// Waits is how long it was waited for, and why.
	Waits scheduler.WaitTimes
	// Leader is who gave it; empty where this VM did.
	Leader string

	from      netip.AddrPort
	allocator *Allocator
	id        uint64
	group     Group
	work      scheduler.Workload
	began     bool
	ended     bool
	// grant is what this VM's own scheduler counts of it.
	grant *scheduler.Grant
}

// MarkStarted notes that the first event came.
func (p *Placement) MarkStarted() {
	p.allocator.do(func(now time.Time) {
		if p.began || p.ended {
			return
		}
		p.began = true
		if p.grant != nil {
			p.grant.MarkStarted()
		}
		p.report(now, func(m *message) { m.Began = append(m.Began, p.id) })
	})
}

// Release gives the place back. It may be called more than once.
func (p *Placement) Release() {
	p.allocator.do(func(now time.Time) {
		if p.ended {
			return
		}
		p.ended = true
		delete(p.allocator.places, p.id)
		if p.grant != nil {
			p.grant.Release()
		}
		p.report(now, func(m *message) { m.Ended = append(m.Ended, p.id) })
	})
}

// report tells whoever counts the place: who gave it, and who leads now.
func (p *Placement) report(now time.Time, say func(*message)) {
	if p.from.IsValid() {
		say(p.allocator.to(p.from))
	}
	for _, at := range p.allocator.countedBy(now, p.group) {
		if at != p.from {
			say(p.allocator.to(at))
		}
	}
}

// deputyFor is how long a VM that has said that it leads counts as doing so.
const deputyFor = tellAgain * 3 / 2

// mostDeputies bounds how many such VMs a group has: each report goes to all.
const mostDeputies = 3

// depute notes that a VM leads a group in place of another.
func (a *Allocator) depute(now time.Time, g Group, at netip.AddrPort) {
	all := a.deputies[g]
	if all == nil {
		all = make(map[netip.AddrPort]time.Time)
		a.deputies[g] = all
	}
	all[at] = now.Add(deputyFor)
	for len(all) > mostDeputies {
		first := at
		for o, until := range all {
			if until.Before(all[first]) {
				first = o
			}
		}
		delete(all, first)
	}
}

// countedBy are the VMs that count the places of a group: its leader, and those that
// lead in place of it for VMs that do not hear it. Told by the first only, what
// these count would go stale while it is still right for others.
func (a *Allocator) countedBy(now time.Time, g Group) []netip.AddrPort {
	var all []netip.AddrPort
	if m, self := a.leader(now, g); !self {
		all = append(all, m.Address)
	}
	for at, until := range a.deputies[g] {
		if now.After(until) {
			delete(a.deputies[g], at)
			continue
		}
		if !slices.Contains(all, at) {
			all = append(all, at)
		}
	}
	return all
}

// keptEvery is how often leaders are told of all places that a VM has from them:
// reports may be lost.
const keptEvery = 500 * time.Millisecond

// lastReports is how often a leader is told that there is no place any more: one word
// may be lost, and a place that it has just heard of is not given back at once.
const lastReports = 3

// keep tells leaders of all places.
func (a *Allocator) keep(now time.Time) {
	if now.Sub(a.keptAt) < keptEvery {
		return
	}
	a.keptAt = now
	before := a.reported
	a.reported = make(map[netip.AddrPort]int)
	told := make(map[toldGroup]bool)
	for _, p := range a.places {
		if a.leads(now, p.group) {
			a.adopt(p)
		}
		for _, at := range a.countedBy(now, p.group) {
			out := a.to(at)
			out.Kept, out.Whole = append(out.Kept, p.id), true
			a.reported[at] = lastReports
			if t := (toldGroup{at, p.group}); !told[t] {
				told[t] = true
				a.tellLimits(now, at, p.group)
			}
		}
	}
	for at, left := range before {
		if _, told := a.reported[at]; told {
			continue
		}
		a.to(at).Whole = true
		if left > 1 {
			a.reported[at] = left - 1
		}
	}
}

// A toldGroup is a VM that is told what is known in a group.
type toldGroup struct {
	at    netip.AddrPort
	group Group
}

// tell tells a VM of all places in a group that it begins to lead, and of the limits
// there.
func (a *Allocator) tell(to netip.AddrPort, g Group) {
	a.tellLimits(a.deps.Now(), to, g)
	out := a.to(to)
	out.Told = append(out.Told, g.wire())
	for _, p := range a.places {
		if p.group == g {
			out.Places = append(out.Places, p.wire())
		}
	}
}
