package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/allocator"
)

// ReachableMembers are the other VMs that can be heard.
func (g *Gossiper) ReachableMembers() []allocator.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if g.members != nil && now.Sub(g.membersAt) < HeartbeatInterval {
		return g.members
	}
	members := make([]allocator.Member, 0, len(g.peers))
	for _, p := range g.peers {
		if now.Sub(p.heard) <= g.quietFor(p, now) {
			members = append(members, p.Member)
		}
	}
	g.members, g.membersAt = members, now
	return members
}

// LiveVMs are the names of the LiveVMs that live, this one included, in order.
func (g *Gossiper) LiveVMs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if now.Sub(g.vmsAt) < HeartbeatInterval && g.vms != nil {
		return g.vms
	}
	settles := now.Sub(g.began) < settling
	vms := []string{g.me.VM}
	for _, p := range g.peers {
		if settles || now.Sub(p.heard) <= goneAfter+g.quietFor(p, now)-silent {
			vms = append(vms, p.VM)
		}
	}
	for i := len(vms); settles && i < assumed; i++ {
		vms = append(vms, "\xffassumed"+string(rune('a'+i)))
	}
	slices.Sort(vms)
	g.vms, g.vmsAt = slices.Compact(vms), now
	return g.vms
}

// FleetSize is how many VMs there may be, this one included: those that were heard a
// while ago may be cut off, and go on sending to upstreams.
func (g *Gossiper) FleetSize() int {
	assumed := len(g.LiveVMs())
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	known := 1
	for _, p := range g.peers {
		if !p.heard.IsZero() && !p.ended && now.Sub(p.heard) <= forgotten {
			known++
		}
	}
	return max(assumed, known)
}

// An StreamPosition is how far a stream of records has been read, when the platform
// confirmed it to this VM itself, zero where it never did, and whether the last
// reading failed. What others confirmed is not told on: with each VM that it
// passed it would seem younger by the time on its way, and VMs that all hear
// nothing would keep one another sure.
type StreamPosition struct {
	Offset      int64
	ConfirmedAt time.Time
	Failing     bool
}

// ConfirmedAt is when the platform last confirmed, to a VM that can be heard, that
// a stream went no further than an offset.
func (g *Gossiper) ConfirmedAt(stream string, offset int64) (asOf time.Time) {
	g.readings(stream, func(_ *peer, r reading) {
		if r.end <= offset {
			asOf = latest(asOf, r.asOf)
		}
	})
	return asOf
}

// LastConfirmed is when the platform last confirmed any offset of a stream to a VM that
// can be heard.
func (g *Gossiper) LastConfirmed(stream string) (at time.Time) {
	g.readings(stream, func(_ *peer, r reading) { at = latest(at, r.asOf) })
	return at
}

// MostAdvancedPeer is the VM that has read most of a stream beyond an offset, among those
// that can be heard; one of this zone where there is any, as bytes between zones
// are dear.
func (g *Gossiper) MostAdvancedPeer(stream string, than int64) (at netip.AddrPort, ok bool) {
	var best int64
	near := false
	g.readings(stream, func(p *peer, r reading) {
		here := p.Zone == g.me.Zone
		if r.end <= than || (near && !here) || (near == here && r.end <= best) {
			return
		}
		at, ok, best, near = p.Address, true, r.end, here
	})
	return at, ok
}

// readings gives the readings of a stream by VMs that can be heard.
func (g *Gossiper) readings(stream string, give func(*peer, reading)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, p := range g.peers {
		if r, ok := p.streams[stream]; ok && now.Sub(p.heard) <= g.quietFor(p, now) {
			give(p, r)
		}
	}
}
