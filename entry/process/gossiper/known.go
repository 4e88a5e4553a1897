package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/replicator"
)

// ReachableMembers returns the other VMs from which heartbeats arrive.
func (g *Gossiper) ReachableMembers() []allocator.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if g.reachable != nil && now.Sub(g.reachableAt) < HeartbeatInterval {
		return g.reachable
	}
	reachable := make([]allocator.Member, 0, len(g.peers))
	for _, p := range g.peers {
		if now.Sub(p.heardAt) <= g.allowedSilence(p, now) {
			reachable = append(reachable, p.Member)
		}
	}
	g.reachable, g.reachableAt = reachable, now
	return reachable
}

// FleetRestarted reports whether at least half of the VMs from which this one hears started
// within a given time of its own start. Their clocks may differ a little.
func (g *Gossiper) FleetRestarted(within time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	heard, together := 0, 0
	for _, p := range g.peers {
		if p.heardAt.IsZero() || now.Sub(p.heardAt) > g.allowedSilence(p, now) {
			continue
		}
		heard++
		if apart := time.Duration(p.boot - g.boot); apart.Abs() <= within {
			together++
		}
	}
	return heard > 0 && 2*together >= heard
}

// LiveVMs returns the sorted names of the VMs that are not gone, including this one.
// During startupPeriod it includes all known VMs, and placeholders up to minAssumedVMs.
func (g *Gossiper) LiveVMs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if now.Sub(g.liveVMsAt) < HeartbeatInterval && g.liveVMs != nil {
		return g.liveVMs
	}
	starting := now.Sub(g.startedAt) < startupPeriod
	vms := []string{g.self.VM}
	for _, p := range g.peers {
		if starting || now.Sub(p.heardAt) <= goneAfter+g.allowedSilence(p, now)-unreachableAfter {
			vms = append(vms, p.VM)
		}
	}
	for i := len(vms); starting && i < minAssumedVMs; i++ {
		vms = append(vms, "\xffassumed"+string(rune('a'+i)))
	}
	slices.Sort(vms)
	g.liveVMs, g.liveVMsAt = slices.Compact(vms), now
	return g.liveVMs
}

// FleetSize returns how many VMs there may be, including this one. It counts VMs that have
// been silent for a while, because they may only be unreachable and still send to
// upstreams.
func (g *Gossiper) FleetSize() int {
	live := len(g.LiveVMs())
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	known := 1
	for _, p := range g.peers {
		if !p.heardAt.IsZero() && !p.exited && now.Sub(p.heardAt) <= forgetAfter {
			known++
		}
	}
	return max(live, known)
}

// KnownVMs returns the sorted names of the VMs that have not exited, including this one and
// those that have been silent for a while. A VM that is known by name only may be cut off
// since before this process started.
func (g *Gossiper) KnownVMs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	vms := []string{g.self.VM}
	for _, p := range g.peers {
		if !p.exited && now.Sub(later(p.heardAt, p.knownSince)) <= forgetAfter {
			vms = append(vms, p.VM)
		}
	}
	slices.Sort(vms)
	return slices.Compact(vms)
}

// A StreamPosition is how far this VM has read a stream of records.
type StreamPosition struct {
	replicator.Position
	// ConfirmedAt is when the platform last confirmed the position to this VM itself, or
	// zero if it never did. Confirmations received by other VMs are not forwarded: each
	// hop would make them look younger by its transit time, and VMs that all receive
	// nothing from the platform would keep assuring one another that they are current.
	ConfirmedAt time.Time
	// Failing reports whether the last read failed.
	Failing bool
}

// ConfirmedAt returns when the platform last confirmed to a reachable peer that a stream
// did not extend beyond a position.
func (g *Gossiper) ConfirmedAt(stream string, end replicator.Position) (at time.Time) {
	g.forEachPosition(stream, func(_ *peer, position peerPosition) {
		if !position.IsAheadOf(end) {
			at = later(at, position.confirmedAt)
		}
	})
	return at
}

// LastConfirmed returns when the platform last confirmed any offset of a stream to a
// reachable peer.
func (g *Gossiper) LastConfirmed(stream string) (at time.Time) {
	g.forEachPosition(stream, func(_ *peer, position peerPosition) { at = later(at, position.confirmedAt) })
	return at
}

// MostAdvancedPeer returns the reachable peer that has read a stream furthest beyond a
// position. It prefers any such peer that names the era of its position, as the others may
// be in an earlier one, and then any peer of this zone, because traffic between zones is
// expensive.
func (g *Gossiper) MostAdvancedPeer(stream string, than replicator.Position) (peerAddress netip.AddrPort, ok bool) {
	var best peerPosition
	bestIsLocal := false
	g.forEachPosition(stream, func(p *peer, position peerPosition) {
		if !position.IsAheadOf(than) {
			return
		}
		isLocal := p.Zone == g.self.Zone
		switch {
		case !ok:
		case (position.Era > 0) != (best.Era > 0):
			if best.Era > 0 {
				return
			}
		case isLocal != bestIsLocal:
			if bestIsLocal {
				return
			}
		case !best.Before(position.Position):
			return
		}
		peerAddress, ok, best, bestIsLocal = p.Address, true, position, isLocal
	})
	return peerAddress, ok
}

// forEachPosition calls visit for each reachable peer that has read a stream.
func (g *Gossiper) forEachPosition(stream string, visit func(*peer, peerPosition)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, p := range g.peers {
		if position, ok := p.positions[stream]; ok && now.Sub(p.heardAt) <= g.allowedSilence(p, now) {
			visit(p, position)
		}
	}
}
