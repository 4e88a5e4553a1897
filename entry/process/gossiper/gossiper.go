// Package gossiper tells the other VMs over UDP what this one has under way at
// each upstream and how far it has read the platform's records, and keeps what
// they tell. It answers reports of upstreams that lag and a view of a ninth of
// the load or less: without it VMs that each see an engine idle send their
// prompts to it at the same moment.
//
// Everything it tells is the present state and no change of it, so that lost
// and reordered datagrams do no harm. It decides nothing.
package gossiper

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/request/placer"
)

const (
	// beatEvery is how often a VM tells that it lives, and how far it has read.
	beatEvery = 250 * time.Millisecond
	// perFar is the time between beats to VMs of other zones for each of these,
	// and mostFar its bound. Bytes between zones are dear, and with beats of a
	// quarter of a second each VM of 83 sent 224 of them a second there.
	perFar  = 20 * time.Millisecond
	mostFar = time.Second
	// FlushEvery is how long after a change of work Tick should be called, so
	// that changes of one moment go into one datagram.
	FlushEvery = 2 * time.Millisecond
	// repeatEvery is how often all work is told again, for lost datagrams.
	repeatEvery = time.Second
	// silent is after how long without a word what a VM told of its work no
	// longer counts, and goneAfter after how long it itself does not: a VM
	// that cannot be heard may still send to upstreams.
	silent    = 1500 * time.Millisecond
	goneAfter = 8 * time.Second
	// forgotten is after how long an address without a word is tried no more,
	// and rareEvery how often a silent one is tried until then.
	forgotten = 3 * time.Minute
	rareEvery = 2 * time.Second
	// mostLoads is how many upstreams one datagram tells of: each takes about
	// 35 bytes, and a datagram should not be split on its way.
	mostLoads = 32
	// settling is how long a new process assumes assumed VMs: until it has
	// heard of the others, its parts of common bounds must be small.
	settling = 3 * time.Second
	assumed  = 16
)

// A Sender sends datagrams. It does not block.
type Sender interface {
	Send(to netip.AddrPort, data []byte) error
}

// Upstreams is what this VM knows of upstreams.
type Upstreams interface {
	// Silent are those that it cannot reach.
	Silent(now time.Time) []string
	// Counts are how many of its requests one has failed and answered.
	Counts(upstream string) (failed, answered uint32)
	// Heard notes that one has given a sign of life.
	Heard(now time.Time, upstream string)
}

// A Gossiper is one VM's side of the exchange.
type Gossiper struct {
	vm     string
	zone   string
	boot   int64
	self   netip.AddrPort
	sender Sender
	now    func() time.Time
	log    zerolog.Logger
	ends   func() map[string]End
	// upstreams is what this VM knows of upstreams.
	upstreams Upstreams

	mu      sync.Mutex
	began   time.Time
	seq     uint64
	peers   map[netip.AddrPort]*peer
	sums    map[string]*sum
	dirty   map[string]placer.Load
	own     map[string]placer.Load
	heads   []Head
	headNew bool
	beatAt  time.Time
	farAt   time.Time
	// farEvery is the time between beats to VMs of other zones, as last
	// worked out.
	farEvery time.Duration
	repeatAt time.Time
	vms      []string
	vmsAt    time.Time
	// expiredAt is when what is too old to count was last taken back.
	expiredAt time.Time
}

// New returns a Gossiper of a process at an address. ends tells how far it has
// read each stream of records, us what it knows of upstreams.
func New(vm, zone string, boot int64, self netip.AddrPort, s Sender, ends func() map[string]End, us Upstreams, now func() time.Time, log zerolog.Logger) *Gossiper {
	return &Gossiper{
		vm: vm, zone: zone, boot: boot, self: self, sender: s, now: now, log: log, ends: ends, upstreams: us, began: now(),
		peers: make(map[netip.AddrPort]*peer), sums: make(map[string]*sum), dirty: make(map[string]placer.Load), own: make(map[string]placer.Load),
	}
}

// Meet notes the address of a VM, which need not live.
func (g *Gossiper) Meet(address netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meet(address)
}

func (g *Gossiper) meet(address netip.AddrPort) *peer {
	if address == g.self {
		return nil
	}
	p, ok := g.peers[address]
	if !ok {
		p = &peer{address: address, known: g.now(), ends: make(map[string]int64), asOf: make(map[string]time.Time), failing: make(map[string]bool), loads: make(map[string]told)}
		g.peers[address] = p
	}
	return p
}

// Share tells the others of this VM's work at an upstream, with the next Tick.
func (g *Gossiper) Share(upstream string, l placer.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dirty[upstream] = l
	if l == (placer.Load{}) {
		delete(g.own, upstream)
		return
	}
	g.own[upstream] = l
}

// Tick sends what is due.
func (g *Gossiper) Tick(now time.Time) {
	b := g.dueBeat(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.repeatAt) >= repeatEvery {
		g.repeatAt = now
		maps.Copy(g.dirty, g.own)
	}
	if len(g.dirty) == 0 && !g.headNew && b == nil {
		return
	}
	names := slices.Sorted(maps.Keys(g.dirty))
	if b != nil {
		g.beat(now, b, g.headNew && len(names) == 0)
	}
	for first := b == nil; first || len(names) > 0; first = false {
		n := min(len(names), mostLoads)
		g.send(now, g.message(names[:n]), everybody)
		names = names[n:]
	}
	g.headNew = false
	clear(g.dirty)
}

// beat tells that this VM lives. VMs of other zones are told less often, but at
// once where what waits here is news that no other message brings.
func (g *Gossiper) beat(now time.Time, b *beat, news bool) {
	m := g.message(nil)
	m.Beat = b
	g.farEvery = g.farGap()
	if now.Sub(g.farAt) >= g.farEvery {
		g.farAt = now
		g.send(now, m, everybody)
		return
	}
	g.send(now, m, g.near)
	if news {
		m.Beat = nil
		g.send(now, m, func(p *peer) bool { return !g.near(p) })
	}
}

func everybody(*peer) bool { return true }

// near says that a VM is in this zone, as far as is known.
func (g *Gossiper) near(p *peer) bool { return p.zone == "" || p.zone == g.zone }

// farGap is the time between beats to VMs of other zones, by how many there are.
func (g *Gossiper) farGap() time.Duration {
	far := 0
	for _, p := range g.peers {
		if !g.near(p) {
			far++
		}
	}
	return min(mostFar, max(beatEvery, time.Duration(far)*perFar))
}

// quietFor is for how long a VM that lives may be silent: as many of its beats may
// be lost as of those of this zone.
func (g *Gossiper) quietFor(p *peer) time.Duration {
	if g.near(p) {
		return silent
	}
	return silent + max(0, g.farEvery-beatEvery)
}

// dueBeat is the next beat where it is due. It takes the lock only for the time
// of the last one: whoever keeps the records may be telling this package of work
// at the same moment, and would wait for this one while this one waits for it.
func (g *Gossiper) dueBeat(now time.Time) *beat {
	g.mu.Lock()
	due := now.Sub(g.beatAt) >= beatEvery
	if due {
		g.beatAt = now
	}
	g.mu.Unlock()
	if !due {
		return nil
	}
	ends := g.ends()
	b := &beat{Zone: g.zone, Silent: g.upstreams.Silent(now), Ends: make(map[string]int64, len(ends)), Ages: make(map[string]int64, len(ends))}
	for stream, end := range ends {
		b.Ends[stream] = end.Offset
		if !end.AsOf.IsZero() {
			b.Ages[stream] = now.Sub(end.AsOf).Milliseconds()
		}
		if end.Failing {
			b.Failing = append(b.Failing, stream)
		}
	}
	return b
}

func (g *Gossiper) message(names []string) message {
	g.seq++
	m := message{VM: g.vm, Boot: g.boot, Seq: g.seq}
	for _, h := range g.heads {
		m.Heads = append(m.Heads, head{Service: h.Service, Long: h.Long, Late: h.Late, In: h.Start.Sub(g.now()).Milliseconds()})
	}
	for _, name := range names {
		l := g.dirty[name]
		failed, answered := g.upstreams.Counts(name)
		m.Loads = append(m.Loads, load{
			Upstream: name, Streams: l.Streams, Context: l.Context,
			Unread: float32(l.Unread), Starting: l.Starting, Parts: l.Parts, Stakes: sparse(l.Stakes),
			Failed: failed, Answered: answered,
		})
	}
	return m
}

func (g *Gossiper) send(now time.Time, m message, to func(*peer) bool) {
	data, err := cbor.Marshal(m)
	if err != nil {
		g.log.Error().Err(err).Msg("a message to peers was not encoded")
		return
	}
	for address, p := range g.peers {
		if !to(p) {
			continue
		}
		if quiet := now.Sub(latest(p.heard, p.known)); quiet > g.quietFor(p) {
			if quiet > forgotten {
				g.forget(p)
				delete(g.peers, address)
				continue
			}
			if now.Sub(p.tried) < rareEvery {
				continue
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

// Bye tells the others that this process ends.
func (g *Gossiper) Bye() {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.message(nil)
	m.Bye = true
	g.send(g.now(), m, everybody)
}
