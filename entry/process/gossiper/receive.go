package gossiper

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/heathervane/heathervane/entry/process/allocator"
)

// A peer is another VM.
type peer struct {
	allocator.Member
	boot int64
	// heard is when it last lived, as far as is known, and direct when it last
	// spoke to this VM itself.
	heard, direct time.Time
	known         time.Time
	// ended says that it has said so.
	ended bool
	tried time.Time
	// changed is when something became known of it that others may not know.
	changed time.Time
	seq     uint64
	streams map[string]reading
	// refused is when it was last heard of that the platform does not let it read.
	refused time.Time
}

// A reading is how far a VM has read a stream.
type reading struct {
	end int64
	// asOf is when the platform confirmed the end to it, by this VM's clock.
	asOf time.Time
}

// read notes how far the VM has read a stream, and says whether that is further
// than before.
func (p *peer) read(now time.Time, w wireStream) (further bool) {
	r := p.streams[w.Name]
	further = w.End > r.end
	if w.End >= r.end {
		r.end = w.End
		if at := now.Add(-time.Duration(w.Age) * time.Millisecond); w.Age != unconfirmed && at.After(r.asOf) {
			r.asOf = at
		}
	}
	p.streams[w.Name] = r
	return further
}

// Receive takes a datagram in.
func (g *Gossiper) Receive(from netip.AddrPort, data []byte) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil || m.VM == "" {
		g.log.Debug().Str("peer", from.String()).Err(err).Msg("datagram not understood")
		return
	}
	found, further := g.take(from, &m)
	g.heed(m.Shared)
	if found && !m.Reply && !m.Bye {
		g.reply(from)
		g.tellAll(from)
	}
	if further && g.ahead != nil {
		g.ahead()
	}
}

// take folds a message. It says whether it is the first of a run of its sender,
// and whether that has read on.
func (g *Gossiper) take(from netip.AddrPort, m *message) (found, further bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.meet(allocator.Member{VM: m.VM, Address: from, Zone: m.Zone, Cores: float64(m.Power)})
	if p == nil || m.Boot < p.boot {
		return false, false
	}
	now := g.now()
	if m.Boot != p.boot {
		g.log.Info().Str("peer", m.VM).Str("address", from.String()).Int64("boot", m.Boot).Msg("peer found")
		found = true
		p.boot, p.seq, p.changed, g.members = m.Boot, 0, now, nil
		clear(p.streams)
	} else if now.Sub(p.heard) > g.quietFor(p, now) {
		g.log.Info().Str("peer", m.VM).Dur("silent", now.Sub(p.heard)).Msg("peer heard again")
		p.changed, g.members = now, nil
	}
	p.heard, p.direct, p.ended = now, now, m.Bye
	if m.Bye {
		p.heard, p.direct = now.Add(-goneAfter-2*relayDelay), time.Time{}
		p.known, g.members = p.heard, nil
		g.log.Info().Str("peer", m.VM).Msg("peer leaves")
		return found, false
	}
	if m.Seq <= p.seq {
		return found, false
	}
	p.seq = m.Seq
	if p.Leaving != m.Leaving {
		p.Leaving, p.changed, g.members = m.Leaving, now, nil
	}
	p.Zone, p.Cores = m.Zone, float64(m.Power)
	p.refused = time.Time{}
	for _, w := range m.Streams {
		further = p.read(now, w) || further
		if w.Failing {
			p.refused = now
		}
	}
	for _, d := range m.Refused {
		if o, ok := g.named[d]; ok {
			o.refused = now
		}
	}
	for i := range m.Peers {
		if o, ok := m.Peers[i].member(); ok {
			g.meet(o)
		}
	}
	g.heedAlive(now, m.Alive)
	g.heedFar(now, m.Far)
	return found, further
}
