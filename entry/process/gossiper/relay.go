package gossiper

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/allocator"
)

// relaysByZone returns the relays of each zone: its highest-ranked live VMs.
func (g *Gossiper) relaysByZone(now time.Time) map[string][]allocator.Member {
	relays := map[string][]allocator.Member{g.self.Zone: {g.self}}
	for _, p := range g.peers {
		if !p.Leaving && g.isLive(now, p) {
			relays[p.Zone] = insertRanked(relays[p.Zone], p.Member)
		}
	}
	return relays
}

// isLive reports whether a VM is live as far as is known. A VM that is known only by name
// counts as last known to be alive when its name became known.
func (g *Gossiper) isLive(now time.Time, p *peer) bool {
	return now.Sub(later(p.heardAt, p.knownSince)) <= g.allowedSilence(p, now)
}

// A ReadRole is a VM's role in reading the platform's records.
type ReadRole int

const (
	// Follower fetches the records from VMs that read the platform.
	Follower ReadRole = iota
	// Standby reads the platform itself if the reader has no recent records.
	Standby
	// Reader reads the platform for its zone.
	Reader
)

// maxReadCandidates is how many VMs of a zone may read the platform if its reader has no
// recent records. If all VMs tried while the platform refuses them or is down, each
// attempt would be another call that it has to refuse.
const maxReadCandidates = 3

// ReadRole returns this VM's role. The reader of a zone is its highest-ranked live VM
// whose reads the platform does not refuse, in the order that also determines leaders. If
// the platform refuses all of them, they take turns in trying.
func (g *Gossiper) ReadRole() ReadRole {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	higherRanked, served := 0, 0
	for _, p := range g.peers {
		if p.Zone != g.self.Zone || p.Leaving || !g.isLive(now, p) || !p.Outranks(&g.self, allocator.Group{Zone: g.self.Zone}) {
			continue
		}
		higherRanked++
		if now.Sub(p.refusedAt) > refusalLifetime {
			served++
		}
	}
	switch {
	case served == 0 && (higherRanked < maxReadCandidates || !g.refusedRecently(now)):
		return Reader
	case higherRanked < maxReadCandidates:
		return Standby
	}
	return Follower
}

// ShouldReadAtStart reports whether no reachable VM of this zone that the platform does
// not refuse outranks this one as reader. It is meant for a process that has no records
// yet: VMs that it knows only by name may all be starting as well, or be gone.
func (g *Gossiper) ShouldReadAtStart() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, p := range g.peers {
		reachable := !p.heardAt.IsZero() && now.Sub(p.heardAt) <= g.allowedSilence(p, now)
		if reachable && p.Zone == g.self.Zone && !p.Leaving && now.Sub(p.refusedAt) > refusalLifetime && p.Outranks(&g.self, allocator.Group{Zone: g.self.Zone}) {
			return false
		}
	}
	return true
}

// refusalLifetime is how long a VM counts as refused after the last report of it.
const refusalLifetime = time.Second

// refusedRecently reports whether the platform has refused this VM within refusalBackoff.
func (g *Gossiper) refusedRecently(now time.Time) bool {
	return now.Sub(g.lastRefusedAt) <= refusalBackoff
}

// refusalBackoff is how long a VM that was refused leaves further attempts to others.
const refusalBackoff = 5 * time.Second

// refusedDigests returns the digests of the VMs of this zone whose reads the platform
// refuses.
func (g *Gossiper) refusedDigests(now time.Time) []uint32 {
	var digests []uint32
	for _, p := range g.peers {
		if p.Zone == g.self.Zone && now.Sub(p.refusedAt) <= refusalLifetime && now.Sub(p.directAt) <= unreachableAfter {
			digests = append(digests, digest(p.VM))
		}
	}
	return digests
}

// insertRanked inserts a VM into the ranked relays of its zone and keeps the first
// relaysPerZone.
func insertRanked(relays []allocator.Member, m allocator.Member) []allocator.Member {
	at := len(relays)
	for at > 0 && m.Outranks(&relays[at-1], allocator.Group{Zone: m.Zone}) {
		at--
	}
	relays = slices.Insert(relays, at, m)
	return relays[:min(len(relays), relaysPerZone)]
}

// allowedSilence returns how long a live VM may be silent. It is longer for a VM that does
// not send to this one directly, because its heartbeats arrive through relays.
func (g *Gossiper) allowedSilence(p *peer, now time.Time) time.Duration {
	switch {
	case now.Sub(p.directAt) <= 2*unreachableAfter:
		return unreachableAfter
	case p.Zone == g.self.Zone:
		return unreachableAfter + relayDelay
	}
	return unreachableAfter + 2*relayDelay
}

// encodePeerAges encodes the time since the last heartbeat of each VM of a zone, or of all
// zones if zone is empty.
func (g *Gossiper) encodePeerAges(now time.Time, zone string) []byte {
	var data []byte
	for _, p := range g.peers {
		age := now.Sub(p.heardAt) / ageUnit
		if p.VM == "" || age > maxAge || (zone != "" && p.Zone != zone) {
			continue
		}
		data = append(binary.BigEndian.AppendUint32(data, digest(p.VM)), byte(age))
	}
	return data
}

// applyPeerAges updates the peers from the ages that a relay sent.
func (g *Gossiper) applyPeerAges(now time.Time, data []byte) {
	for ; len(data) >= peerAgeSize; data = data[peerAgeSize:] {
		p, ok := g.peersByDigest[binary.BigEndian.Uint32(data)]
		if !ok {
			continue
		}
		if at := now.Add(-time.Duration(data[digestSize]) * ageUnit); at.After(p.heardAt) {
			p.heardAt = at
		}
	}
}

const (
	// maxChangedPeers is how many recently changed VMs a relay sends in full at a time,
	// and maxOtherPeers how many VMs it sends in turn besides.
	maxChangedPeers = 8
	maxOtherPeers   = 4
	// changedPeriod is how long a VM counts as recently changed.
	changedPeriod = 4 * time.Second
)

// describePeers returns VMs that changed recently, so that others may not know them, and
// some of all VMs in turn.
func (g *Gossiper) describePeers(now time.Time) []wirePeer {
	var described []wirePeer
	addresses := g.sortedAddresses()
	for _, at := range addresses {
		if p := g.peers[at]; len(described) < maxChangedPeers && !p.heardAt.IsZero() && now.Sub(p.changedAt) <= changedPeriod {
			described = append(described, p.encode())
		}
	}
	start := 0
	for start < len(addresses) && addresses[start].Compare(g.lastDescribed) <= 0 {
		start++
	}
	for i := range min(maxOtherPeers, len(addresses)) {
		at := addresses[(start+i)%len(addresses)]
		g.lastDescribed = at
		if p := g.peers[at]; !p.heardAt.IsZero() {
			described = append(described, p.encode())
		}
	}
	return described
}

func (p *peer) encode() wirePeer {
	return wirePeer{VM: p.VM, Address: p.Address.String(), Zone: p.Zone, Power: float32(p.Cores), Leaving: p.Leaving}
}

// remotePositions returns, for each stream, the most recently confirmed position that this
// VM received directly from a VM of another zone. It does not forward positions that
// others received: each hop would make them look younger by its transit time, and VMs that
// all receive nothing from the platform would keep assuring one another that they are
// current.
func (g *Gossiper) remotePositions(now time.Time) (positions []wireRemotePosition, eras []int64) {
	freshest := make(map[string]wireRemotePosition)
	freshestEras := make(map[string]int64)
	for _, p := range g.peers {
		if p.Zone == g.self.Zone || now.Sub(p.directAt) > unreachableAfter {
			continue
		}
		for name, position := range p.positions {
			if position.confirmedAt.IsZero() {
				continue
			}
			age := now.Sub(position.confirmedAt).Milliseconds()
			if b, ok := freshest[name]; !ok || age < b.AgeMillis {
				freshest[name] = wireRemotePosition{Address: p.Address.String(), Name: name, Offset: position.Offset, AgeMillis: age}
				freshestEras[name] = position.Era
			}
		}
	}
	for name, w := range freshest {
		positions, eras = append(positions, w), append(eras, freshestEras[name])
	}
	return positions, eras
}

// applyRemotePositions updates the peers of other zones from the positions that a relay
// sent.
func (g *Gossiper) applyRemotePositions(now time.Time, positions []wireRemotePosition, eras []int64) {
	for i, w := range positions {
		address, err := netip.ParseAddrPort(w.Address)
		if err != nil {
			continue
		}
		if p, ok := g.peers[address]; ok {
			p.updatePosition(now, wireStream{Name: w.Name, Offset: w.Offset, AgeMillis: w.AgeMillis}, eraAt(eras, i))
		}
	}
}
