// Package gossiper has each VM tell others over UDP that it lives, what it bears
// and how far it has read the platform's records, and keeps what they tell. It
// answers a platform's list of VMs that lags: without it a VM would ask those that
// have died, and go on with old records while others have new ones.
//
// Two VMs of each zone relay: the others beat to these, and these tell all VMs of
// their zone, and the relays of other zones, what they have heard. So what a VM
// sends and hears does not grow with their number, but for one byte and a digest
// of each that lives. Nobody elects relays: they are the first of those that live
// and that the platform serves, by the order in which VMs lead.
//
// Everything it tells is the present state and no change of it, so that lost
// and reordered datagrams do no harm. It decides nothing.
package gossiper

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/process/allocator"
)

const (
	// spreadAfter is how long a change of what VMs share waits for others that come
	// with it: an upstream that dies breaks many streams at once.
	spreadAfter = 5 * time.Millisecond
	// HeartbeatInterval is how often a VM tells that it lives, and how far it has read,
	// and rollEvery how often relays tell which VMs live.
	HeartbeatInterval = 250 * time.Millisecond
	rollEvery         = time.Second
	// standingEvery is how often a VM that does not relay tells the relays all that is
	// shared, in parts: what it found out alone may never have come to them.
	standingEvery = 5 * time.Second
	// relays is how many VMs of a zone relay: when one dies the other goes on.
	relays = 2
	// silent is after how long without a word a VM is not asked for anything, and
	// goneAfter after how long its part of common bounds is free: a VM that
	// cannot be heard may still send to upstreams.
	silent    = 1500 * time.Millisecond
	goneAfter = 8 * time.Second
	// relayDelay is by how much later a VM is heard of that is heard through a relay.
	relayDelay = rollEvery + HeartbeatInterval
	// forgotten is after how long an address without a word is tried no more,
	// and rareEvery how often a silent one is tried until then.
	forgotten = 3 * time.Minute
	rareEvery = 2 * time.Second
	// settling is how long a new process takes all VMs that it knows by name for
	// alive, and at least assumed: until it has heard of the others, its parts of
	// common bounds must be small.
	settling = 3 * time.Second
	assumed  = 16
)

// A Sender sends datagrams. It does not block.
type Sender interface {
	Send(to netip.AddrPort, data []byte) error
}

// A Timer calls back every so often, until it is told to stop.
type Timer interface {
	Subscribe(every time.Duration, call func(time.Time)) (stop func())
}

// A SharedState is what all VMs know together, which each may change. It is told as the
// present state, in parts that fit a datagram each, and taken in any order.
type SharedState interface {
	// PendingChanges is what changed and is still to be told, with own only what this VM found
	// out itself.
	PendingChanges(own bool) [][]byte
	// NextPart is a part of all, another each time, and All is all of it.
	NextPart() [][]byte
	All() [][]byte
	// Merge takes a part in, and says whether it was news.
	Merge(data []byte) (news bool)
}

// A Gossiper is one VM's side of the exchange.
type Gossiper struct {
	me     allocator.Member
	boot   int64
	sender Sender
	now    func() time.Time
	log    zerolog.Logger
	ends   func() map[string]StreamPosition

	mu    sync.Mutex
	began time.Time
	seq   uint64
	peers map[netip.AddrPort]*peer
	// named are peers by the digest of their names.
	named  map[uint32]*peer
	beatAt time.Time
	rollAt time.Time
	// refusedAt is when the platform last did not let this VM read.
	refusedAt time.Time
	// rolled is the address of the last peer that was told of in full.
	rolled netip.AddrPort
	vms    []string
	vmsAt  time.Time
	// members are those that can be heard, as of membersAt.
	members   []allocator.Member
	membersAt time.Time
	// ahead is called when another VM turns out to have read on; nil where nobody
	// listens.
	ahead func()
	// shared is what all VMs know together; nil where they share nothing.
	shared SharedState
	timer  Timer
	// partAt is when it last told a part of all.
	partAt time.Time
	// soon ends the subscription by which changes of it are about to be told; nil
	// where none are.
	soon func()
}

// New returns a Gossiper of one run of a VM's process. ends tells how far it has
// read each stream of records.
func New(me allocator.Member, boot int64, s Sender, ends func() map[string]StreamPosition, now func() time.Time, log zerolog.Logger) *Gossiper {
	return &Gossiper{
		me: me, boot: boot, sender: s, now: now, log: log, ends: ends, began: now(),
		peers: make(map[netip.AddrPort]*peer), named: make(map[uint32]*peer),
	}
}

// AddPeer notes a VM that need not live.
func (g *Gossiper) AddPeer(m allocator.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meet(m)
}

// meet is what is known of a VM; nil for this one.
func (g *Gossiper) meet(m allocator.Member) *peer {
	if m.Address == g.me.Address {
		return nil
	}
	p, ok := g.peers[m.Address]
	if ok && p.VM == m.VM {
		if p.Zone == "" {
			p.Member = m
		}
		return p
	}
	p = &peer{Member: m, known: g.now(), streams: make(map[string]reading)}
	g.peers[m.Address] = p
	g.named[digest(m.VM)] = p
	return p
}

// Tick sends what is due. It reads the streams' ends without the lock: whoever
// keeps the records may be asking this package at the same moment, and would wait
// for this one while this one waits for it.
func (g *Gossiper) Tick(now time.Time) {
	g.mu.Lock()
	due := now.Sub(g.beatAt) >= HeartbeatInterval
	if due {
		g.beatAt = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	ends := g.ends()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beat(now, ends)
}

func (g *Gossiper) beat(now time.Time, ends map[string]StreamPosition) {
	m := g.report(now, ends)
	for _, end := range ends {
		if end.Failing {
			g.refusedAt = now
		}
	}
	g.greet(now, m)
	first := g.first(now)
	roll := now.Sub(g.rollAt) >= rollEvery
	defer g.spread(now, first, true)
	if !g.relays(first) {
		g.send(now, m, g.toRelays(first))
		return
	}
	far := m
	m.Far, m.Refused = g.farReadings(now), g.refused(now)
	if roll {
		g.rollAt = now
		m.Alive, m.Peers = g.alive(now, ""), g.some(now)
		far.Alive, far.Peers = g.alive(now, g.me.Zone), m.Peers
	}
	g.send(now, m, g.toZone)
	g.send(now, far, g.toFar(first))
}

// relays says that this VM relays, by those that do.
func (g *Gossiper) relays(first map[string][]allocator.Member) bool {
	return names(first[g.me.Zone], g.me.Address)
}

// toRelays chooses the relays of this zone, toZone all VMs of it, and toFar the
// relays of other zones.
func (g *Gossiper) toRelays(first map[string][]allocator.Member) func(*peer) bool {
	return func(p *peer) bool { return p.Zone == g.me.Zone && names(first[p.Zone], p.Address) }
}

func (g *Gossiper) toZone(p *peer) bool { return p.Zone == g.me.Zone }

func (g *Gossiper) toFar(first map[string][]allocator.Member) func(*peer) bool {
	return func(p *peer) bool {
		// Where none can be heard in a zone any more, all are tried: nobody knows who
		// relays there.
		return p.Zone != g.me.Zone && (len(first[p.Zone]) == 0 || names(first[p.Zone], p.Address))
	}
}

func names(all []allocator.Member, at netip.AddrPort) bool {
	return slices.ContainsFunc(all, func(m allocator.Member) bool { return m.Address == at })
}

// greet tells VMs that this process has not met before that it is there.
func (g *Gossiper) greet(now time.Time, m message) {
	g.send(now, m, func(p *peer) bool { return p.tried.IsZero() && p.direct.IsZero() })
}

// SendHello tells the VMs that this process knows by name only that it is there, and
// they answer. After a restart of many VMs each asks for places within
// milliseconds, and until a leader has heard of those that ask it serves none.
func (g *Gossiper) SendHello() {
	ends := g.ends()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.greet(now, g.report(now, ends))
}

// PublishOffsets tells the VMs of this zone at once how far this one has read: those that
// start now know nothing until then.
func (g *Gossiper) PublishOffsets() {
	ends := g.ends()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.send(now, g.report(now, ends), func(p *peer) bool { return p.Zone == g.me.Zone })
}

// reply answers a VM that has just started.
func (g *Gossiper) reply(to netip.AddrPort) {
	ends := g.ends()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	m := g.report(now, ends)
	m.Reply = true
	g.send(now, m, func(p *peer) bool { return p.Address == to })
}

// report is what this VM says of itself, and how far it has read.
func (g *Gossiper) report(now time.Time, ends map[string]StreamPosition) message {
	m := g.message()
	m.Streams = wireStreams(now, ends)
	return m
}

// OnPeerAhead has a function called when another VM turns out to have read on. It is
// called once, before the Gossiper is used.
func (g *Gossiper) OnPeerAhead(ahead func()) { g.ahead = ahead }

func wireStreams(now time.Time, ends map[string]StreamPosition) []wireStream {
	var streams []wireStream
	for name, end := range ends {
		w := wireStream{Name: name, End: end.Offset, Age: unconfirmed, Failing: end.Failing}
		if !end.ConfirmedAt.IsZero() {
			w.Age = now.Sub(end.ConfirmedAt).Milliseconds()
		}
		streams = append(streams, w)
	}
	return streams
}

func (g *Gossiper) message() message {
	g.seq++
	return message{VM: g.me.VM, Boot: g.boot, Seq: g.seq, Zone: g.me.Zone, Power: float32(g.me.Cores), Leaving: g.me.Leaving}
}

// send sends a message to the peers that are chosen, rarely to those that have
// long been silent.
func (g *Gossiper) send(now time.Time, m message, to func(*peer) bool) {
	var data []byte
	for address, p := range g.peers {
		if !to(p) {
			continue
		}
		if quiet := now.Sub(latest(p.heard, p.known)); quiet > g.quietFor(p, now) {
			if quiet > forgotten {
				delete(g.peers, address)
				delete(g.named, digest(p.VM))
				continue
			}
			if now.Sub(p.tried) < rareEvery {
				continue
			}
		}
		if data == nil {
			var err error
			if data, err = cbor.Marshal(m); err != nil {
				g.log.Error().Err(err).Msg("a message to peers was not encoded")
				return
			}
		}
		p.tried = now
		if err := g.sender.Send(address, data); err != nil {
			g.log.Debug().Str("peer", address.String()).Err(err).Msg("datagram not sent")
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func everybody(*peer) bool { return true }

// AnnounceLeaving tells the others that this VM is about to stop, and leads nobody.
func (g *Gossiper) AnnounceLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.me.Leaving = true
	g.send(g.now(), g.message(), everybody)
}

// AnnounceExit tells the others that this process ends.
func (g *Gossiper) AnnounceExit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.message()
	m.Bye = true
	g.send(g.now(), m, everybody)
}

// sorted are the addresses of all peers in their order.
func (g *Gossiper) sorted() []netip.AddrPort {
	all := make([]netip.AddrPort, 0, len(g.peers))
	for address := range g.peers {
		all = append(all, address)
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return all
}
