package gossiper

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/allocator"
)

// first are the VMs that relay for each zone: the first of those that live.
func (g *Gossiper) first(now time.Time) map[string][]allocator.Member {
	found := map[string][]allocator.Member{g.me.Zone: {g.me}}
	for _, p := range g.peers {
		if !p.Leaving && g.lives(now, p) {
			found[p.Zone] = rank(found[p.Zone], p.Member)
		}
	}
	return found
}

// lives says that a VM lives, as far as is known. One that is known by name only
// is given the time of one that has just been heard.
func (g *Gossiper) lives(now time.Time, p *peer) bool {
	return now.Sub(latest(p.heard, p.known)) <= g.quietFor(p, now)
}

// A ReadRole is what a VM does about the platform's records.
type ReadRole int

const (
	// Follower is to take them from the VMs that read.
	Follower ReadRole = iota
	// Standby is to read where those have nothing fresh.
	Standby
	// Reader is to read for the zone.
	Reader
)

// standBy is how many VMs of a zone read where the one that should has nothing
// fresh. Were all to try that the platform refuses, or that is down, each of the
// tries would be one more call that it has to refuse.
const standBy = 3

// ReadRole is this VM's: the first of its zone reads that lives and that the platform
// serves, in the order in which VMs lead. Where it serves none of them, one after
// the other tries.
func (g *Gossiper) ReadRole() ReadRole {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	before, served := 0, 0
	for _, p := range g.peers {
		if p.Zone != g.me.Zone || p.Leaving || !g.lives(now, p) || !p.Outranks(&g.me, allocator.Group{Zone: g.me.Zone}) {
			continue
		}
		before++
		if now.Sub(p.refused) > refusedFor {
			served++
		}
	}
	switch {
	case served == 0 && (before < standBy || !g.refusedLately(now)):
		return Reader
	case before < standBy:
		return Standby
	}
	return Follower
}

// ShouldReadAtStart says that no VM of this zone that has been heard, and that the platform
// serves, reads rather than this one. It is for a process that knows nothing yet:
// those that it knows by name only may all be starting as well, or be gone.
func (g *Gossiper) ShouldReadAtStart() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, p := range g.peers {
		heard := !p.heard.IsZero() && now.Sub(p.heard) <= g.quietFor(p, now)
		if heard && p.Zone == g.me.Zone && !p.Leaving && now.Sub(p.refused) > refusedFor && p.Outranks(&g.me, allocator.Group{Zone: g.me.Zone}) {
			return false
		}
	}
	return true
}

// refusedFor is how long a VM counts as refused after the last word that it is.
const refusedFor = time.Second

// refusedLately says that the platform has refused this VM.
func (g *Gossiper) refusedLately(now time.Time) bool {
	return now.Sub(g.refusedAt) <= refusedAgain
}

// refusedAgain is how long a VM that was refused leaves it to others to try.
const refusedAgain = 5 * time.Second

// refused are the digests of the VMs of this zone that are refused.
func (g *Gossiper) refused(now time.Time) []uint32 {
	var found []uint32
	for _, p := range g.peers {
		if p.Zone == g.me.Zone && now.Sub(p.refused) <= refusedFor && now.Sub(p.direct) <= silent {
			found = append(found, digest(p.VM))
		}
	}
	return found
}

// rank puts a VM among the first of its zone, where it belongs there.
func rank(first []allocator.Member, m allocator.Member) []allocator.Member {
	at := len(first)
	for at > 0 && m.Outranks(&first[at-1], allocator.Group{Zone: m.Zone}) {
		at--
	}
	first = slices.Insert(first, at, m)
	return first[:min(len(first), relays)]
}

// quietFor is for how long a VM that lives may be silent. One that does not speak
// to this VM itself is heard of later.
func (g *Gossiper) quietFor(p *peer, now time.Time) time.Duration {
	switch {
	case now.Sub(p.direct) <= 2*silent:
		return silent
	case p.Zone == g.me.Zone:
		return silent + relayDelay
	}
	return silent + 2*relayDelay
}

// alive is how long ago VMs of a zone were heard, of all zones where it is empty.
func (g *Gossiper) alive(now time.Time, zone string) []byte {
	var data []byte
	for _, p := range g.peers {
		age := now.Sub(p.heard) / ageUnit
		if p.VM == "" || age > mostAge || (zone != "" && p.Zone != zone) {
			continue
		}
		data = append(binary.BigEndian.AppendUint32(data, digest(p.VM)), byte(age))
	}
	return data
}

// heedAlive takes in what a relay has heard of VMs.
func (g *Gossiper) heedAlive(now time.Time, data []byte) {
	for ; len(data) >= aliveSize; data = data[aliveSize:] {
		p, ok := g.named[binary.BigEndian.Uint32(data)]
		if !ok {
			continue
		}
		if at := now.Add(-time.Duration(data[digestSize]) * ageUnit); at.After(p.heard) {
			p.heard = at
		}
	}
}

const (
	// someNew and someOld are how many VMs a relay tells of in full at a time, and
	// fresh how long a VM counts as new.
	someNew = 8
	someOld = 4
	fresh   = 4 * time.Second
)

// some are VMs that others may not know yet, and some of the rest in turn.
func (g *Gossiper) some(now time.Time) []wirePeer {
	var found []wirePeer
	all := g.sorted()
	for _, at := range all {
		if p := g.peers[at]; len(found) < someNew && !p.heard.IsZero() && now.Sub(p.changed) <= fresh {
			found = append(found, p.wire())
		}
	}
	start := 0
	for start < len(all) && all[start].Compare(g.rolled) <= 0 {
		start++
	}
	for i := range min(someOld, len(all)) {
		at := all[(start+i)%len(all)]
		g.rolled = at
		if p := g.peers[at]; !p.heard.IsZero() {
			found = append(found, p.wire())
		}
	}
	return found
}

func (p *peer) wire() wirePeer {
	return wirePeer{VM: p.VM, Address: p.Address.String(), Zone: p.Zone, Power: float32(p.Cores), Leaving: p.Leaving}
}

// farReadings are the freshest readings of each stream that this VM has heard of
// from another zone itself. What others have heard is not told on: with each VM
// that it passed it would seem younger by the time on its way, and VMs that all
// hear nothing would keep one another sure.
func (g *Gossiper) farReadings(now time.Time) []wireFar {
	best := make(map[string]wireFar)
	for _, p := range g.peers {
		if p.Zone == g.me.Zone || now.Sub(p.direct) > silent {
			continue
		}
		for name, r := range p.streams {
			if r.asOf.IsZero() {
				continue
			}
			age := now.Sub(r.asOf).Milliseconds()
			if b, ok := best[name]; !ok || age < b.Age {
				best[name] = wireFar{Address: p.Address.String(), Name: name, End: r.end, Age: age}
			}
		}
	}
	var found []wireFar
	for _, w := range best {
		found = append(found, w)
	}
	return found
}

// heedFar takes in what a relay has heard from another zone.
func (g *Gossiper) heedFar(now time.Time, all []wireFar) {
	for _, w := range all {
		address, err := netip.ParseAddrPort(w.Address)
		if err != nil {
			continue
		}
		if p, ok := g.peers[address]; ok {
			p.read(now, wireStream{Name: w.Name, End: w.End, Age: w.Age})
		}
	}
}
