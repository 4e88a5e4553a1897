package gossiper

import (
	"net/netip"
	"time"

	"github.com/heathervane/heathervane/entry/process/allocator"
)

// SetSharedState sets the state to replicate and the timer for its broadcasts. It must be
// called at most once, before the Gossiper is used.
func (g *Gossiper) SetSharedState(shared SharedState, timer Timer) { g.shared, g.timer = shared, timer }

// ScheduleBroadcast sends pending changes of the shared state to other VMs after
// broadcastDelay. The next heartbeats repeat them, because datagrams may be lost.
func (g *Gossiper) ScheduleBroadcast() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopBroadcast == nil {
		g.stopBroadcast = g.timer.Subscribe(broadcastDelay, g.broadcastNow)
	}
}

func (g *Gossiper) broadcastNow(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopBroadcast == nil {
		return
	}
	g.stopBroadcast()
	g.stopBroadcast = nil
	g.broadcast(now, g.relaysByZone(now), false)
}

// broadcast sends pending changes of the shared state and, with withPart, also the next
// part of the whole state if one is due. A relay forwards changes that it received; other
// VMs send only their own, because what they received came from a relay.
func (g *Gossiper) broadcast(now time.Time, relays map[string][]allocator.Member, withPart bool) {
	if g.shared == nil {
		return
	}
	isRelay := g.isRelay(relays)
	parts := g.shared.PendingChanges(!isRelay)
	interval := sharedPartInterval
	if isRelay {
		interval = rosterInterval
	}
	if withPart && now.Sub(g.lastPartAt) >= interval {
		g.lastPartAt = now
		parts = append(parts, g.shared.NextPart()...)
	}
	for _, part := range parts {
		m := g.newSharedMessage(part)
		if !isRelay {
			g.send(now, m, g.toLocalRelays(relays))
			continue
		}
		g.send(now, m, g.toLocalZone)
		g.send(now, m, g.toRemoteRelays(relays))
	}
}

// newSharedMessage returns a message with only a part of the shared state. Its sequence
// number is 0: it is not ordered with the reports of this VM, so that none of these is
// dropped as older.
func (g *Gossiper) newSharedMessage(part []byte) message {
	m := g.newMessage()
	m.Seq, m.Shared = 0, part
	return m
}

// sendSharedState sends the whole shared state to a VM that has just started.
func (g *Gossiper) sendSharedState(to netip.AddrPort) {
	if g.shared == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, part := range g.shared.All() {
		m := g.newSharedMessage(part)
		m.Reply = true
		g.send(now, m, func(p *peer) bool { return p.Address == to })
	}
}

// mergeShared merges a part of the shared state. If it changed anything, it schedules a
// broadcast, with which a relay forwards the change.
func (g *Gossiper) mergeShared(data []byte) {
	if g.shared != nil && len(data) > 0 && g.shared.Merge(data) {
		g.ScheduleBroadcast()
	}
}
