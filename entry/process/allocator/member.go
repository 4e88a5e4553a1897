package allocator

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Group is the upstreams of a service among which one VM allocates places:
// those of a zone, or all of them where Zone is empty.
type Group struct{ Service, Zone string }

// A Member is a VM that may allocate.
type Member struct {
	VM      string
	Address netip.AddrPort
	Zone    string
	// Cores is the part of a core that its machine gives it.
	Cores float64
	// Leaving says that it is about to stop.
	Leaving bool
}

// powerUnit is the difference in power from which the stronger of two VMs leads.
const powerUnit = 0.1

// place orders members by how well they lead a group: those near its upstreams
// first, then the strongest, then by hash, so that different groups are led by
// different VMs and a VM that joins takes over few of them.
func (m *Member) place(g Group) (near bool, power int, hash uint64) {
	return g.Zone == "" || m.Zone == g.Zone, int(m.Cores / powerUnit), xxhash.Sum64String(g.Service + "\x00" + g.Zone + "\x00" + m.VM)
}

// Outranks says that a member leads a group rather than another one.
func (m *Member) Outranks(o *Member, g Group) bool {
	near, power, hash := m.place(g)
	oNear, oPower, oHash := o.place(g)
	if near != oNear {
		return near
	}
	return cmp.Or(cmp.Compare(oPower, power), cmp.Compare(hash, oHash)) < 0
}

const (
	// suspectFor is for how long a member that did not answer is skipped; it
	// doubles each time up to mostSuspect. That it can be heard says little: its
	// way may be cut in one direction, or it is slow.
	suspectFor  = time.Second
	mostSuspect = 8 * time.Second
)

// A suspicion is what this VM holds against a member that did not answer.
type suspicion struct {
	until time.Time
	next  time.Duration
}

// A choice is the leader of a group, as long as nothing has changed on which it rests.
type choice struct {
	leader Member
	self   bool
	// first and count are the list of members, leaving and suspected as of then, and
	// until when no suspicion ends.
	first     *Member
	count     int
	leaving   bool
	suspected int
	until     time.Time
}

// leader is the member that allocates for a group, as far as this VM knows; self
// says that it is this one. It is asked for several times for each request, and
// ranking hundreds of members each time would take most of a VM's time.
func (a *Allocator) leader(now time.Time, g Group) (m Member, self bool) {
	members := a.deps.Members()
	c := choice{count: len(members), leaving: a.leaving, suspected: a.suspected}
	if len(members) > 0 {
		c.first = &members[0]
	}
	if last, ok := a.leaders[g]; ok && last.first == c.first && last.count == c.count && last.leaving == c.leaving &&
		last.suspected == c.suspected && now.Before(last.until) {
		return last.leader, last.self
	}
	c.leader, c.self = a.rank(now, g, members)
	c.until = now.Add(mostSuspect)
	for _, s := range a.suspects {
		if s.until.After(now) && s.until.Before(c.until) {
			c.until = s.until
		}
	}
	a.leaders[g] = c
	return c.leader, c.self
}

// rank finds the first member that may lead a group.
func (a *Allocator) rank(now time.Time, g Group, members []Member) (m Member, self bool) {
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
func (a *Allocator) suspect(now time.Time, m netip.AddrPort, why string) {
	d := a.suspects[m]
	d.next = min(mostSuspect, max(suspectFor, 2*d.next))
	d.until = now.Add(d.next)
	a.suspects[m] = d
	a.suspected++
	a.count("leaders.suspected")
	a.deps.Log.Info().Str("leader", m.String()).Str("cause", why).Dur("for", d.next).Msg("leader skipped")
}

// isSuspect says that a member has been skipped and has not answered since. What
// waits at another one is not sent back to it: it may be dead, and its beats are
// missed only later.
func (a *Allocator) isSuspect(m netip.AddrPort) bool {
	_, ok := a.suspects[m]
	return ok
}

// clear notes that a member has answered.
func (a *Allocator) clear(now time.Time, m netip.AddrPort) {
	if d, ok := a.suspects[m]; ok && !now.Before(d.until) {
		delete(a.suspects, m)
	}
}
