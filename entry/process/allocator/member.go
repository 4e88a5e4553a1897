package allocator

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Group is the set of a service's upstreams that are allocated by one VM:
// those in a zone, or all of them if Zone is empty.
type Group struct{ Service, Zone string }

// A Member is a VM that can lead groups.
type Member struct {
	VM      string
	Address netip.AddrPort
	Zone    string
	// Cores is the number of CPU cores available to the VM; it may be
	// fractional.
	Cores float64
	// Leaving reports whether the VM is about to stop.
	Leaving bool
}

// coresStep is the unit to which Cores is rounded down for comparison, so that
// smaller differences do not decide who leads.
const coresStep = 0.1

// rankKey returns the keys by which members are ordered to lead a group: first
// those in its zone, then by cores, then by hash. Because of the hash,
// different groups are led by different VMs, and a VM that joins takes over few
// of them.
func (m *Member) rankKey(g Group) (near bool, cores int, hash uint64) {
	return g.Zone == "" || m.Zone == g.Zone, int(m.Cores / coresStep), xxhash.Sum64String(g.Service + "\x00" + g.Zone + "\x00" + m.VM)
}

// Outranks reports whether m ranks before o as the leader of a group.
func (m *Member) Outranks(o *Member, g Group) bool {
	near, cores, hash := m.rankKey(g)
	oNear, oCores, oHash := o.rankKey(g)
	if near != oNear {
		return near
	}
	return cmp.Or(cmp.Compare(oCores, cores), cmp.Compare(hash, oHash)) < 0
}

const (
	// minSuspicion is how long a member that did not answer is skipped the
	// first time. The duration doubles each further time, up to maxSuspicion.
	// Messages from the member do not end the suspicion early: its network path
	// may be cut in one direction, or it may be slow.
	minSuspicion = time.Second
	maxSuspicion = 8 * time.Second
)

// A suspicion records how long a member that did not answer is skipped.
type suspicion struct {
	until    time.Time
	duration time.Duration
}

// A cachedLeader is the leader found for a group. It is valid until one of the
// inputs below changes.
type cachedLeader struct {
	leader Member
	self   bool
	// firstMember and memberCount identify the member list that was used,
	// leaving and suspectCount are the values at that time, and until is when
	// the next suspicion ends.
	firstMember  *Member
	memberCount  int
	leaving      bool
	suspectCount int
	until        time.Time
}

// leader returns the member that leads a group as far as this VM knows; self
// reports whether it is this VM. The result is cached: leader is called several
// times per request, and ranking hundreds of members each time would take most
// of a VM's time.
func (a *Allocator) leader(now time.Time, g Group) (m Member, self bool) {
	members := a.deps.Members()
	c := cachedLeader{memberCount: len(members), leaving: a.leaving, suspectCount: a.suspectCount}
	if len(members) > 0 {
		c.firstMember = &members[0]
	}
	if last, ok := a.leaderCache[g]; ok && last.firstMember == c.firstMember && last.memberCount == c.memberCount && last.leaving == c.leaving &&
		last.suspectCount == c.suspectCount && now.Before(last.until) {
		return last.leader, last.self
	}
	c.leader, c.self = a.findLeader(now, g, members)
	c.until = now.Add(maxSuspicion)
	for _, s := range a.suspects {
		if s.until.After(now) && s.until.Before(c.until) {
			c.until = s.until
		}
	}
	a.leaderCache[g] = c
	return c.leader, c.self
}

// findLeader returns the first-ranked member that is neither leaving nor
// suspected.
func (a *Allocator) findLeader(now time.Time, g Group, members []Member) (m Member, self bool) {
	best := a.self()
	self = true
	for i := range members {
		o := &members[i]
		if o.Leaving || now.Before(a.suspects[o.Address].until) {
			continue
		}
		if best.Leaving || o.Outranks(&best, g) {
			best, self = *o, false
		}
	}
	return best, self
}

func (a *Allocator) self() Member {
	return Member{VM: a.me.VM, Zone: a.me.Zone, Cores: a.me.Cores, Leaving: a.leaving}
}

// suspect skips a member for a while.
func (a *Allocator) suspect(now time.Time, m netip.AddrPort, cause string) {
	d := a.suspects[m]
	d.duration = min(maxSuspicion, max(minSuspicion, 2*d.duration))
	d.until = now.Add(d.duration)
	a.suspects[m] = d
	a.suspectCount++
	a.count("leaders.suspected")
	a.deps.Log.Info().Str("leader", m.String()).Str("cause", cause).Dur("for", d.duration).Msg("leader skipped")
}

// isSuspect reports whether a member was skipped and has not sent a message
// since. Requests that wait at another leader are not moved back to it, as it
// may be dead and its missing heartbeats are noticed only later.
func (a *Allocator) isSuspect(m netip.AddrPort) bool {
	_, ok := a.suspects[m]
	return ok
}

// clearSuspicion is called when a member has sent a message. It ends a
// suspicion whose time is over.
func (a *Allocator) clearSuspicion(now time.Time, m netip.AddrPort) {
	if d, ok := a.suspects[m]; ok && !now.Before(d.until) {
		delete(a.suspects, m)
	}
}
