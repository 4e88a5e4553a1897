package gossiper

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/replicator"
)

// A peer is another VM.
type peer struct {
	allocator.Member
	boot int64
	// heardAt is when the VM was last known to be alive, directly or through a relay, and
	// directAt when a message last arrived from the VM itself.
	heardAt, directAt time.Time
	knownSince        time.Time
	// exited reports whether the VM announced its exit.
	exited     bool
	lastSentAt time.Time
	// changedAt is when this VM learned something about the peer that others may not know.
	changedAt time.Time
	seq       uint64
	positions map[string]peerPosition
	// refusedAt is when this VM last learned that the platform refuses the peer's reads.
	refusedAt time.Time
}

// A peerPosition is how far a peer has read a stream.
type peerPosition struct {
	replicator.Position
	// confirmedAt is when the platform confirmed the position to the peer, by this VM's
	// clock.
	confirmedAt time.Time
}

// updatePosition records how far the peer has read a stream and reports whether that is
// further than before. The era is 0 if the sender does not know of eras.
func (p *peer) updatePosition(now time.Time, w wireStream, era int64) (advanced bool) {
	position := p.positions[w.Name]
	if era == 0 {
		era = position.Era
	}
	reported := replicator.Position{Era: era, Offset: w.Offset}
	advanced = position.Before(reported)
	if !reported.Before(position.Position) {
		position.Position = reported
		if at := now.Add(-time.Duration(w.AgeMillis) * time.Millisecond); w.AgeMillis != unconfirmed && at.After(position.confirmedAt) {
			position.confirmedAt = at
		}
	}
	p.positions[w.Name] = position
	return advanced
}

// Receive processes a datagram.
func (g *Gossiper) Receive(from netip.AddrPort, data []byte) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil || m.VM == "" {
		g.log.Debug().Str("peer", from.String()).Err(err).Msg("invalid gossip datagram")
		return
	}
	newRun, advanced := g.applyMessage(from, &m)
	g.mergeShared(m.Shared)
	if newRun && !m.Reply && !m.Exiting {
		g.reply(from)
		g.sendSharedState(from)
	}
	if advanced && g.onPeerAhead != nil {
		g.onPeerAhead()
	}
}

// applyMessage updates the peers from a message. It reports whether the message is the
// first one of a run of its sender, and whether the sender has read further than before.
func (g *Gossiper) applyMessage(from netip.AddrPort, m *message) (newRun, advanced bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.findOrAddPeer(allocator.Member{VM: m.VM, Address: from, Zone: m.Zone, Cores: float64(m.Power)})
	if p == nil || m.Boot < p.boot {
		return false, false
	}
	now := g.now()
	if m.Boot != p.boot {
		g.log.Info().Str("peer", m.VM).Str("address", from.String()).Int64("boot", m.Boot).Msg("peer process discovered")
		newRun = true
		p.boot, p.seq, p.changedAt, g.reachable = m.Boot, 0, now, nil
		clear(p.positions)
	} else if now.Sub(p.heardAt) > g.allowedSilence(p, now) {
		g.log.Info().Str("peer", m.VM).Dur("silent", now.Sub(p.heardAt)).Msg("peer reachable again")
		p.changedAt, g.reachable = now, nil
	}
	p.heardAt, p.directAt, p.exited = now, now, m.Exiting
	if m.Exiting {
		p.heardAt, p.directAt = now.Add(-goneAfter-2*relayDelay), time.Time{}
		p.knownSince, g.reachable = p.heardAt, nil
		g.log.Info().Str("peer", m.VM).Msg("peer exited")
		return newRun, false
	}
	if m.Seq <= p.seq {
		return newRun, false
	}
	p.seq = m.Seq
	if p.Leaving != m.Leaving {
		p.Leaving, p.changedAt, g.reachable = m.Leaving, now, nil
	}
	p.Zone, p.Cores = m.Zone, float64(m.Power)
	p.refusedAt = time.Time{}
	for i, w := range m.Streams {
		advanced = p.updatePosition(now, w, eraAt(m.StreamEras, i)) || advanced
		if w.Failing {
			p.refusedAt = now
		}
	}
	for _, d := range m.Refused {
		if o, ok := g.peersByDigest[d]; ok {
			o.refusedAt = now
		}
	}
	for i := range m.Peers {
		if o, ok := m.Peers[i].member(); ok {
			g.findOrAddPeer(o)
		}
	}
	g.applyPeerAges(now, m.PeerAges)
	g.applyRemotePositions(now, m.RemotePositions, m.RemoteEras)
	return newRun, advanced
}
