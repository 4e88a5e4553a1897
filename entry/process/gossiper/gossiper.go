// Package gossiper exchanges heartbeats between VMs over UDP. A heartbeat says that its
// sender is alive, how much CPU it has and how far it has read the platform's records;
// the package keeps what other VMs report. It makes up for a platform whose list of VMs
// lags: without it a VM would send requests to dead VMs, and continue with old records
// while other VMs have newer ones.
//
// Two VMs of each zone act as relays. The other VMs send heartbeats to the relays of
// their zone, and the relays forward what they received to all VMs of their zone and to
// the relays of other zones. The number of datagrams that a VM sends and receives
// therefore does not grow with the fleet; only their size does, by a digest and one byte
// per live VM. There is no election: the relays are the highest-ranked live VMs of the
// zone, in the order that also determines leaders.
//
// Messages carry the current state, not changes to it, so lost and reordered datagrams
// do no harm. The package makes no decisions.
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
	// broadcastDelay is how long a change of the shared state is held back to batch it
	// with others: an upstream that dies breaks many streams at once.
	broadcastDelay = 5 * time.Millisecond
	// HeartbeatInterval is how often a VM sends a heartbeat with its read positions.
	HeartbeatInterval = 250 * time.Millisecond
	// rosterInterval is how often a relay sends the list of VMs that it knows to be live.
	rosterInterval = time.Second
	// sharedPartInterval is how often a VM that is not a relay sends the next part of the
	// whole shared state to the relays: a change that only this VM found may never have
	// reached them.
	sharedPartInterval = 5 * time.Second
	// relaysPerZone is the number of relays of a zone. When one dies, the other remains.
	relaysPerZone = 2
	// unreachableAfter is the silence after which no requests are sent to a VM.
	unreachableAfter = 1500 * time.Millisecond
	// goneAfter is the silence after which a VM's share of fleet-wide limits is released.
	// It is longer, because an unreachable VM may still send to upstreams.
	goneAfter = 8 * time.Second
	// relayDelay is the additional delay of a heartbeat that arrives through a relay.
	relayDelay = rosterInterval + HeartbeatInterval
	// forgetAfter is the silence after which an address is removed.
	forgetAfter = 3 * time.Minute
	// silentRetryInterval is how often messages are sent to a silent peer until it is removed.
	silentRetryInterval = 2 * time.Second
	// startupPeriod is how long a new process counts all VMs that it knows by name as
	// live, and assumes at least minAssumedVMs. Until it has received heartbeats from the
	// other VMs, its share of fleet-wide limits must be small.
	startupPeriod = 3 * time.Second
	minAssumedVMs = 16
)

// A Sender sends datagrams without blocking.
type Sender interface {
	Send(to netip.AddrPort, data []byte) error
}

// A Timer calls a function at a fixed interval until the subscription is stopped.
type Timer interface {
	Subscribe(interval time.Duration, callback func(time.Time)) (stop func())
}

// A SharedState is state that is replicated to all VMs and that each of them may change.
// It is sent as the current state, in parts that each fit a datagram and that may be
// merged in any order.
type SharedState interface {
	// PendingChanges returns the changes that are still to be sent; with ownOnly, only
	// those that this VM made itself.
	PendingChanges(ownOnly bool) [][]byte
	// NextPart returns the next portion of the whole state, in turn.
	NextPart() [][]byte
	// All returns all parts of the whole state.
	All() [][]byte
	// Merge merges a part from another VM and reports whether it changed anything.
	Merge(data []byte) (changed bool)
}

// A Gossiper sends and receives the heartbeats of one VM.
type Gossiper struct {
	self      allocator.Member
	boot      int64
	sender    Sender
	now       func() time.Time
	log       zerolog.Logger
	positions func() map[string]StreamPosition

	mu        sync.Mutex
	startedAt time.Time
	seq       uint64
	peers     map[netip.AddrPort]*peer
	// peersByDigest indexes peers by the digest of their names.
	peersByDigest   map[uint32]*peer
	lastHeartbeatAt time.Time
	lastRosterAt    time.Time
	// lastRefusedAt is when the platform last refused a read of this VM.
	lastRefusedAt time.Time
	// lastDescribed is the address of the peer that was last sent in full in turn.
	lastDescribed netip.AddrPort
	// liveVMs caches the result of LiveVMs, as of liveVMsAt.
	liveVMs   []string
	liveVMsAt time.Time
	// reachable caches the result of ReachableMembers, as of reachableAt.
	reachable   []allocator.Member
	reachableAt time.Time
	// onPeerAhead is called when another VM reports that it has read further than before;
	// it may be nil.
	onPeerAhead func()
	// shared is the state replicated to all VMs, or nil if there is none.
	shared SharedState
	timer  Timer
	// lastPartAt is when a part of the whole shared state was last sent.
	lastPartAt time.Time
	// stopBroadcast stops the timer of a scheduled broadcast; nil if none is scheduled.
	stopBroadcast func()
}

// New returns a Gossiper for one run of a VM's process, which boot identifies. positions
// returns how far this VM has read each stream of records.
func New(self allocator.Member, boot int64, sender Sender, positions func() map[string]StreamPosition, now func() time.Time, log zerolog.Logger) *Gossiper {
	return &Gossiper{
		self: self, boot: boot, sender: sender, now: now, log: log, positions: positions, startedAt: now(),
		peers: make(map[netip.AddrPort]*peer), peersByDigest: make(map[uint32]*peer),
	}
}

// AddPeer adds a VM that is known by name. It need not be alive.
func (g *Gossiper) AddPeer(m allocator.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.findOrAddPeer(m)
}

// findOrAddPeer returns the peer for a VM, or nil for this VM.
func (g *Gossiper) findOrAddPeer(m allocator.Member) *peer {
	if m.Address == g.self.Address {
		return nil
	}
	p, ok := g.peers[m.Address]
	if ok && p.VM == m.VM {
		if p.Zone == "" {
			p.Member = m
		}
		return p
	}
	p = &peer{Member: m, knownSince: g.now(), positions: make(map[string]peerPosition)}
	g.peers[m.Address] = p
	g.peersByDigest[digest(m.VM)] = p
	return p
}

// Tick sends a heartbeat if one is due. It calls positions without holding the lock: the
// owner of the records may be calling into this package at the same time, and both would
// deadlock.
func (g *Gossiper) Tick(now time.Time) {
	g.mu.Lock()
	due := now.Sub(g.lastHeartbeatAt) >= HeartbeatInterval
	if due {
		g.lastHeartbeatAt = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	positions := g.positions()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sendHeartbeat(now, positions)
}

func (g *Gossiper) sendHeartbeat(now time.Time, positions map[string]StreamPosition) {
	m := g.newReport(now, positions)
	for _, position := range positions {
		if position.Failing {
			g.lastRefusedAt = now
		}
	}
	g.sendToNewPeers(now, m)
	relays := g.relaysByZone(now)
	sendRoster := now.Sub(g.lastRosterAt) >= rosterInterval
	defer g.broadcast(now, relays, true)
	if !g.isRelay(relays) {
		g.send(now, m, g.toLocalRelays(relays))
		return
	}
	remote := m
	m.RemotePositions, m.RemoteEras = g.remotePositions(now)
	m.Refused = g.refusedDigests(now)
	if sendRoster {
		g.lastRosterAt = now
		m.PeerAges, m.Peers = g.encodePeerAges(now, ""), g.describePeers(now)
		remote.PeerAges, remote.Peers = g.encodePeerAges(now, g.self.Zone), m.Peers
	}
	g.send(now, m, g.toLocalZone)
	g.send(now, remote, g.toRemoteRelays(relays))
}

// isRelay reports whether this VM is among the given relays.
func (g *Gossiper) isRelay(relays map[string][]allocator.Member) bool {
	return containsAddress(relays[g.self.Zone], g.self.Address)
}

// toLocalRelays selects the relays of this zone.
func (g *Gossiper) toLocalRelays(relays map[string][]allocator.Member) func(*peer) bool {
	return func(p *peer) bool { return p.Zone == g.self.Zone && containsAddress(relays[p.Zone], p.Address) }
}

// toLocalZone selects all VMs of this zone.
func (g *Gossiper) toLocalZone(p *peer) bool { return p.Zone == g.self.Zone }

// toRemoteRelays selects the relays of the other zones.
func (g *Gossiper) toRemoteRelays(relays map[string][]allocator.Member) func(*peer) bool {
	return func(p *peer) bool {
		// If no VM of a zone is live as far as is known, all of them are selected, because
		// its relays are unknown.
		return p.Zone != g.self.Zone && (len(relays[p.Zone]) == 0 || containsAddress(relays[p.Zone], p.Address))
	}
}

func containsAddress(members []allocator.Member, address netip.AddrPort) bool {
	return slices.ContainsFunc(members, func(m allocator.Member) bool { return m.Address == address })
}

// sendToNewPeers sends a message to the peers with which this process has exchanged
// nothing yet.
func (g *Gossiper) sendToNewPeers(now time.Time, m message) {
	g.send(now, m, func(p *peer) bool { return p.lastSentAt.IsZero() && p.directAt.IsZero() })
}

// SendHello sends a heartbeat to the VMs that this process knows only by name, and they
// reply. After a restart of many VMs each of them requests slots within milliseconds, and
// a leader serves no VM from which it has not received a heartbeat.
func (g *Gossiper) SendHello() {
	positions := g.positions()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.sendToNewPeers(now, g.newReport(now, positions))
}

// PublishOffsets sends this VM's read positions to the VMs of its zone at once, because
// VMs that are just starting have no records until then.
func (g *Gossiper) PublishOffsets() {
	positions := g.positions()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.send(now, g.newReport(now, positions), func(p *peer) bool { return p.Zone == g.self.Zone })
}

// reply answers the first message of a VM that has just started.
func (g *Gossiper) reply(to netip.AddrPort) {
	positions := g.positions()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	m := g.newReport(now, positions)
	m.Reply = true
	g.send(now, m, func(p *peer) bool { return p.Address == to })
}

// newReport returns a message with this VM's state and read positions.
func (g *Gossiper) newReport(now time.Time, positions map[string]StreamPosition) message {
	m := g.newMessage()
	m.Streams, m.StreamEras = encodePositions(now, positions)
	return m
}

// OnPeerAhead sets a function to call when another VM reports that it has read further
// than before. It must be called at most once, before the Gossiper is used.
func (g *Gossiper) OnPeerAhead(call func()) { g.onPeerAhead = call }

func encodePositions(now time.Time, positions map[string]StreamPosition) (streams []wireStream, eras []int64) {
	for name, position := range positions {
		w := wireStream{Name: name, Offset: position.Offset, AgeMillis: unconfirmed, Failing: position.Failing}
		if !position.ConfirmedAt.IsZero() {
			w.AgeMillis = now.Sub(position.ConfirmedAt).Milliseconds()
		}
		streams, eras = append(streams, w), append(eras, position.Era)
	}
	return streams, eras
}

func (g *Gossiper) newMessage() message {
	g.seq++
	return message{VM: g.self.VM, Boot: g.boot, Seq: g.seq, Zone: g.self.Zone, Power: float32(g.self.Cores), Leaving: g.self.Leaving}
}

// send sends a message to the selected peers. It sends less often to peers that are
// silent, and removes those that have been silent for forgetAfter.
func (g *Gossiper) send(now time.Time, m message, selects func(*peer) bool) {
	var data []byte
	for address, p := range g.peers {
		if !selects(p) {
			continue
		}
		if silence := now.Sub(later(p.heardAt, p.knownSince)); silence > g.allowedSilence(p, now) {
			if silence > forgetAfter {
				delete(g.peers, address)
				delete(g.peersByDigest, digest(p.VM))
				continue
			}
			if now.Sub(p.lastSentAt) < silentRetryInterval {
				continue
			}
		}
		if data == nil {
			var err error
			if data, err = cbor.Marshal(m); err != nil {
				g.log.Error().Err(err).Msg("failed to encode gossip message")
				return
			}
		}
		p.lastSentAt = now
		if err := g.sender.Send(address, data); err != nil {
			g.log.Debug().Str("peer", address.String()).Err(err).Msg("failed to send gossip datagram")
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func toAllPeers(*peer) bool { return true }

// AnnounceLeaving tells the other VMs that this one is about to stop and no longer leads.
func (g *Gossiper) AnnounceLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.Leaving = true
	g.send(g.now(), g.newMessage(), toAllPeers)
}

// AnnounceExit tells the other VMs that this process exits.
func (g *Gossiper) AnnounceExit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.newMessage()
	m.Exiting = true
	g.send(g.now(), m, toAllPeers)
}

// sortedAddresses returns the addresses of all peers in ascending order.
func (g *Gossiper) sortedAddresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(g.peers))
	for address := range g.peers {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}
