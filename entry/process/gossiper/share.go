package gossiper

import (
	"net/netip"
	"time"

	"github.com/heathervane/heathervane/entry/process/allocator"
)

// SetSharedState has this VM tell the others of something that all know together, and take
// in what they tell. It is called once, before the Gossiper is used.
func (g *Gossiper) SetSharedState(s SharedState, t Timer) { g.shared, g.timer = s, t }

// ScheduleBroadcast tells other VMs soon what changed of that. The next beats tell it again, as
// datagrams get lost.
func (g *Gossiper) ScheduleBroadcast() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.soon == nil {
		g.soon = g.timer.Subscribe(spreadAfter, g.spreadNow)
	}
}

func (g *Gossiper) spreadNow(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.soon == nil {
		return
	}
	g.soon()
	g.soon = nil
	g.spread(now, g.first(now), false)
}

// spread tells what changed, and with all now and then a part of the rest. What a relay
// was told goes on, what any other VM was told came from one.
func (g *Gossiper) spread(now time.Time, first map[string][]allocator.Member, all bool) {
	if g.shared == nil {
		return
	}
	relay := g.relays(first)
	parts := g.shared.PendingChanges(!relay)
	every := standingEvery
	if relay {
		every = rollEvery
	}
	if all && now.Sub(g.partAt) >= every {
		g.partAt = now
		parts = append(parts, g.shared.NextPart()...)
	}
	for _, part := range parts {
		m := g.share(part)
		if !relay {
			g.send(now, m, g.toRelays(first))
			continue
		}
		g.send(now, m, g.toZone)
		g.send(now, m, g.toFar(first))
	}
}

// share is a message that only tells what is shared. It has no place in the order of
// those that tell of this VM, so that none of them is dropped as older.
func (g *Gossiper) share(part []byte) message {
	m := g.message()
	m.Seq, m.Shared = 0, part
	return m
}

// tellAll tells a VM that has just started all that VMs share.
func (g *Gossiper) tellAll(to netip.AddrPort) {
	if g.shared == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, part := range g.shared.All() {
		m := g.share(part)
		m.Reply = true
		g.send(now, m, func(p *peer) bool { return p.Address == to })
	}
}

// heed takes in what a VM told of what is shared. A relay tells it on.
func (g *Gossiper) heed(data []byte) {
	if g.shared != nil && len(data) > 0 && g.shared.Merge(data) {
		g.ScheduleBroadcast()
	}
}
