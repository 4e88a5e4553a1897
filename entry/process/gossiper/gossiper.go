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

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/request/placer"
)

const (
	// beatEvery is how often a VM tells that it lives, and how far it has read.
	beatEvery = 250 * time.Millisecond
	// flushEvery bounds how late a change of work is told, so that changes of
	// one moment go into one datagram.
	flushEvery = 2 * time.Millisecond
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

// load is the wire form of a placer.Load.
type load struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Streams  int
	Context  int
	Unread   float32
	Starting int
	Parts    int
	Pauses   []int
}

// message is one datagram.
type message struct {
	VM    string           `cbor:"1,keyasint"`
	Boot  int64            `cbor:"2,keyasint"`
	Seq   uint64           `cbor:"3,keyasint"`
	Loads []load           `cbor:"4,keyasint,omitempty"`
	Ends  map[string]int64 `cbor:"5,keyasint,omitempty"`
	Bye   bool             `cbor:"6,keyasint,omitempty"`
	Head  *head            `cbor:"7,keyasint,omitempty"`
	// Silent are upstreams that the sender cannot reach.
	Silent []string `cbor:"8,keyasint,omitempty"`
	Zone   string   `cbor:"9,keyasint,omitempty"`
	// Ages are how long ago the platform confirmed Ends, in milliseconds.
	Ages map[string]int64 `cbor:"10,keyasint,omitempty"`
}

// head is the first of the long prompts that wait at a VM. Its latest start is
// told as the milliseconds until then: clocks of VMs differ.
type head struct {
	_    struct{} `cbor:",toarray"`
	Late bool
	In   int64
}

// A Head is the first of the long prompts that wait at a VM: whether it is late
// already, and its latest start in time.
type Head struct {
	Late  bool
	Start time.Time
}

func (h Head) before(o Head) bool {
	if h.Late != o.Late {
		return o.Late
	}
	return h.Start.Before(o.Start)
}

// A peer is another VM.
type peer struct {
	vm      string
	boot    int64
	address netip.AddrPort
	heard   time.Time
	known   time.Time
	tried   time.Time
	ends    map[string]int64
	// asOf is when the platform confirmed ends, by this VM's clock.
	asOf    map[string]time.Time
	zone    string
	loads   map[string]told
	head    *Head
	headSeq uint64
	silent  map[string]bool
}

type told struct {
	placer.Load
	seq uint64
	at  time.Time
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
	// unreachable are the upstreams that this VM cannot reach.
	unreachable func() []string

	mu       sync.Mutex
	began    time.Time
	seq      uint64
	peers    map[netip.AddrPort]*peer
	dirty    map[string]placer.Load
	own      map[string]placer.Load
	head     *Head
	headNew  bool
	beatAt   time.Time
	repeatAt time.Time
	vms      []string
	vmsAt    time.Time
}

// New returns a Gossiper of a process at an address. ends tells how far it has
// read each stream of records, unreachable which upstreams it cannot reach.
func New(vm, zone string, boot int64, self netip.AddrPort, s Sender, ends func() map[string]End, unreachable func() []string, now func() time.Time, log zerolog.Logger) *Gossiper {
	return &Gossiper{
		vm: vm, zone: zone, boot: boot, self: self, sender: s, now: now, log: log, ends: ends, unreachable: unreachable, began: now(),
		peers: make(map[netip.AddrPort]*peer), dirty: make(map[string]placer.Load), own: make(map[string]placer.Load),
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
		p = &peer{address: address, known: g.now(), ends: make(map[string]int64), asOf: make(map[string]time.Time), loads: make(map[string]told)}
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
	// Read before locking: whoever keeps the records may be telling this
	// package of work at the same moment.
	ends, unreachable := g.ends(), g.unreachable()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.repeatAt) >= repeatEvery {
		g.repeatAt = now
		maps.Copy(g.dirty, g.own)
	}
	if len(g.dirty) == 0 && !g.headNew && now.Sub(g.beatAt) < beatEvery {
		return
	}
	g.beatAt, g.headNew = now, false
	names := slices.Sorted(maps.Keys(g.dirty))
	for first := true; first || len(names) > 0; first = false {
		n := min(len(names), mostLoads)
		g.send(now, g.message(ends, unreachable, names[:n]))
		names = names[n:]
	}
	clear(g.dirty)
}

// FlushEvery is how often Tick wants to be called.
func FlushEvery() time.Duration { return flushEvery }

func (g *Gossiper) message(ends map[string]End, unreachable, names []string) message {
	g.seq++
	m := message{
		VM: g.vm, Zone: g.zone, Boot: g.boot, Seq: g.seq, Silent: unreachable,
		Ends: make(map[string]int64, len(ends)), Ages: make(map[string]int64, len(ends)),
	}
	for stream, end := range ends {
		m.Ends[stream] = end.Offset
		if !end.AsOf.IsZero() {
			m.Ages[stream] = g.now().Sub(end.AsOf).Milliseconds()
		}
	}
	if g.head != nil {
		m.Head = &head{Late: g.head.Late, In: g.head.Start.Sub(g.now()).Milliseconds()}
	}
	for _, name := range names {
		l := g.dirty[name]
		m.Loads = append(m.Loads, load{
			Upstream: name, Streams: l.Streams, Context: l.Context,
			Unread: float32(l.Unread), Starting: l.Starting, Parts: l.Parts, Pauses: l.Pauses[:],
		})
	}
	return m
}

func (g *Gossiper) send(now time.Time, m message) {
	data, err := cbor.Marshal(m)
	if err != nil {
		g.log.Error().Err(err).Msg("a message to peers was not encoded")
		return
	}
	for address, p := range g.peers {
		if quiet := now.Sub(latest(p.heard, p.known)); quiet > silent {
			if quiet > forgotten {
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
	ends := g.ends()
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.message(ends, nil, nil)
	m.Bye = true
	g.send(g.now(), m)
}

// Receive takes a datagram in.
func (g *Gossiper) Receive(from netip.AddrPort, data []byte) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil || m.VM == "" {
		g.log.Debug().Str("peer", from.String()).Err(err).Msg("datagram not understood")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.meet(from)
	if p == nil || (m.VM == p.vm && m.Boot < p.boot) {
		return
	}
	now := g.now()
	if m.VM != p.vm || m.Boot != p.boot {
		g.log.Info().Str("peer", m.VM).Str("address", from.String()).Int64("boot", m.Boot).Msg("peer found")
		p.vm, p.boot, p.head, p.headSeq = m.VM, m.Boot, nil, 0
		clear(p.loads)
		clear(p.ends)
		clear(p.asOf)
	} else if now.Sub(p.heard) > silent {
		g.log.Info().Str("peer", m.VM).Dur("silent", now.Sub(p.heard)).Msg("peer heard again")
	}
	p.heard = now
	if m.Bye {
		p.heard = now.Add(-goneAfter)
		g.log.Info().Str("peer", m.VM).Msg("peer leaves")
	}
	p.zone = m.Zone
	for stream, end := range m.Ends {
		if end < p.ends[stream] {
			continue
		}
		p.ends[stream] = end
		if age, ok := m.Ages[stream]; ok {
			p.asOf[stream] = now.Add(-time.Duration(age) * time.Millisecond)
		}
	}
	if m.Seq > p.headSeq {
		p.head, p.headSeq = nil, m.Seq
		p.silent = make(map[string]bool, len(m.Silent))
		for _, id := range m.Silent {
			p.silent[id] = true
		}
		if m.Head != nil {
			p.head = &Head{Late: m.Head.Late, Start: now.Add(time.Duration(m.Head.In) * time.Millisecond)}
		}
	}
	for _, l := range m.Loads {
		if old, ok := p.loads[l.Upstream]; ok && old.seq > m.Seq {
			continue
		}
		t := told{seq: m.Seq, at: now, Load: placer.Load{
			Streams: l.Streams, Context: l.Context, Unread: float64(l.Unread), Starting: l.Starting, Parts: l.Parts,
		}}
		copy(t.Pauses[:], l.Pauses)
		p.loads[l.Upstream] = t
	}
}

// Load is the others' work at an upstream. What a silent VM told does not
// count, nor what was not told again.
func (g *Gossiper) Load(upstream string) placer.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var sum placer.Load
	for _, p := range g.peers {
		if now.Sub(p.heard) > silent {
			continue
		}
		if l, ok := p.loads[upstream]; ok && now.Sub(l.at) <= repeatEvery+silent {
			sum.Add(l.Load)
		}
	}
	return sum
}

// Wait tells the others, with the next Tick, of the first long prompt that waits
// here; nil where none does. It says whether that is news.
func (g *Gossiper) Wait(h *Head) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if (h == nil) == (g.head == nil) && (h == nil || *h == *g.head) {
		return false
	}
	g.head, g.headNew = h, true
	return true
}

// Silent says that another VM cannot reach an upstream.
func (g *Gossiper) Silent(upstream string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, p := range g.peers {
		if p.silent[upstream] && now.Sub(p.heard) <= 2*beatEvery {
			return true
		}
	}
	return false
}

// Before is how many VMs have a long prompt waiting that goes before one of
// this VM.
func (g *Gossiper) Before(h Head) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	n := 0
	for _, p := range g.peers {
		if p.head != nil && now.Sub(p.heard) <= silent && p.head.before(h) {
			n++
		}
	}
	return n
}

// VMs are the names of the VMs that live, this one included, in order.
func (g *Gossiper) VMs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if now.Sub(g.vmsAt) < beatEvery && g.vms != nil {
		return g.vms
	}
	vms := []string{g.vm}
	for _, p := range g.peers {
		if p.vm != "" && now.Sub(p.heard) <= goneAfter {
			vms = append(vms, p.vm)
		}
	}
	for i := len(vms); now.Sub(g.began) < settling && i < assumed; i++ {
		vms = append(vms, "\xffassumed"+string(rune('a'+i)))
	}
	slices.Sort(vms)
	g.vms, g.vmsAt = slices.Compact(vms), now
	return g.vms
}

// An End is how far a stream of records has been read, and when the platform
// confirmed it to this VM itself; zero where it never did. What others confirmed
// is not told on: with each VM that it passed it would seem younger by the time
// on its way, and VMs that all hear nothing would keep one another sure.
type End struct {
	Offset int64
	AsOf   time.Time
}

// Reads says that this VM reads a stream from the platform for the others of its
// zone: the one of those that can be heard which ranks first for it. A process
// that has not heard of the others yet reads for itself.
func (g *Gossiper) Reads(stream string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if now.Sub(g.began) < settling {
		return true
	}
	mine := rank(stream, g.vm)
	for _, p := range g.peers {
		if p.zone == g.zone && now.Sub(p.heard) <= silent && rank(stream, p.vm) < mine {
			return false
		}
	}
	return true
}

func rank(stream, vm string) uint64 { return xxhash.Sum64String(stream + "\x00" + vm) }

// Confirmed is when the platform last confirmed, to a VM that can be heard, that
// a stream went no further than an offset.
func (g *Gossiper) Confirmed(stream string, offset int64) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var asOf time.Time
	for _, p := range g.peers {
		if now.Sub(p.heard) <= silent && p.ends[stream] <= offset && p.asOf[stream].After(asOf) {
			asOf = p.asOf[stream]
		}
	}
	return asOf
}

// Ahead is the VM that has read most of a stream beyond an offset, among those
// that can be heard; one of this zone where there is any, as bytes between zones
// are dear.
func (g *Gossiper) Ahead(stream string, than int64) (netip.AddrPort, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var best *peer
	for _, p := range g.peers {
		if now.Sub(p.heard) > silent || p.ends[stream] <= than {
			continue
		}
		if best == nil || p.near(g.zone, stream) > best.near(g.zone, stream) {
			best = p
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return best.address, true
}

// near orders peers to read from: those of a zone first, then by how far they
// have read.
func (p *peer) near(zone, stream string) float64 {
	const zoneFirst = 1e15
	if p.zone == zone {
		return zoneFirst + float64(p.ends[stream])
	}
	return float64(p.ends[stream])
}
