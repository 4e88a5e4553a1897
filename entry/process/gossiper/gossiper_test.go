package gossiper_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/replicator"
)

// offsetOf returns a position whose era is unknown.
func offsetOf(offset int64) replicator.Position { return replicator.Position{Offset: offset} }

// A network queues datagrams between gossipers until a test delivers them.
type network struct {
	now       time.Time
	nodes     map[netip.AddrPort]*gossiper.Gossiper
	positions map[netip.AddrPort]map[string]gossiper.StreamPosition
	queue     []datagram
	dropAll   bool
	// zone is the zone of the VMs that are started next, if not empty.
	zone  string
	zones map[byte]string
	// sent counts the datagrams sent to each VM.
	sent map[netip.AddrPort]int
}

type datagram struct {
	from, to netip.AddrPort
	data     []byte
}

type nodeSender struct {
	*network
	from netip.AddrPort
}

func (w nodeSender) Send(to netip.AddrPort, data []byte) error {
	w.sent[to]++
	if !w.dropAll {
		w.queue = append(w.queue, datagram{w.from, to, data})
	}
	return nil
}

func address(i byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, i}), 7000)
}

// member returns the entry of a VM in the platform's list.
func (n *network) member(i byte) allocator.Member {
	zone, ok := n.zones[i]
	if !ok {
		zone = "z"
	}
	return allocator.Member{VM: "vm" + string(rune('0'+i)), Address: address(i), Zone: zone, Cores: 0.5}
}

// start starts a process of a VM, which has read the given streams up to the given offsets.
func (n *network) start(i byte, boot int64, offsets map[string]int64) *gossiper.Gossiper {
	a := address(i)
	positions := map[string]gossiper.StreamPosition{}
	for stream, offset := range offsets {
		positions[stream] = gossiper.StreamPosition{Position: offsetOf(offset), ConfirmedAt: n.now.Add(-time.Second)}
	}
	n.positions[a] = positions
	if n.zone != "" {
		n.zones[i] = n.zone
	}
	g := gossiper.New(n.member(i), boot, nodeSender{n, a}, func() map[string]gossiper.StreamPosition { return positions }, func() time.Time { return n.now }, zerolog.Nop())
	n.nodes[a] = g
	return g
}

func (n *network) deliver() {
	queue := n.queue
	n.queue = nil
	for _, d := range queue {
		if g, ok := n.nodes[d.to]; ok {
			g.Receive(d.from, d.data)
		}
	}
}

// run advances the time and delivers datagrams meanwhile.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(50 * time.Millisecond) {
		for _, g := range n.nodes {
			g.Tick(n.now)
		}
		n.deliver()
	}
}

func newNetwork() *network {
	return &network{now: time.Unix(1_000_000, 0), nodes: map[netip.AddrPort]*gossiper.Gossiper{}, sent: map[netip.AddrPort]int{}, positions: map[netip.AddrPort]map[string]gossiper.StreamPosition{}, zones: map[byte]string{}}
}

// A VM dies without notice. Soon after, no requests may be sent to it. Its share of
// fleet-wide limits must be kept for longer, because it may only be unreachable and still
// send to upstreams.
func TestSilentVMIsUnreachableBeforeItIsGone(t *testing.T) {
	n := newNetwork()
	a, b := n.start(1, 1, nil), n.start(2, 1, nil)
	a.AddPeer(n.member(2))
	n.run(4 * time.Second)
	assert.DeepEqual(t, b.ReachableMembers(), []allocator.Member{{VM: "vm1", Address: address(1), Zone: "z", Cores: 0.5}}, cmpopts.EquateComparable(netip.AddrPort{}))
	delete(n.nodes, address(1))
	n.run(2 * time.Second)
	assert.Equal(t, len(b.ReachableMembers()), 0)
	assert.DeepEqual(t, b.LiveVMs(), []string{"vm1", "vm2"})
	n.run(8 * time.Second)
	assert.DeepEqual(t, b.LiveVMs(), []string{"vm2"})
}

// A VM that announced that it is leaving must stay marked as leaving, also when an older
// heartbeat arrives afterwards. A VM that announced its exit is gone at once. After a
// restart it counts like any other VM.
func TestLeavingExitingAndRestartedVMs(t *testing.T) {
	n := newNetwork()
	a, b := n.start(1, 1, nil), n.start(2, 1, nil)
	a.AddPeer(n.member(2))
	n.run(4 * time.Second)
	a.Tick(n.now.Add(time.Second))
	stale := n.queue
	n.queue = nil
	a.AnnounceLeaving()
	n.deliver()
	assert.Assert(t, b.ReachableMembers()[0].Leaving)
	n.queue = stale
	n.deliver()
	assert.Assert(t, b.ReachableMembers()[0].Leaving)
	a.AnnounceExit()
	n.deliver()
	n.now = n.now.Add(time.Second)
	assert.DeepEqual(t, b.LiveVMs(), []string{"vm2"})
	restarted := n.start(1, 2, nil)
	restarted.AddPeer(n.member(2))
	n.run(time.Second)
	assert.Assert(t, !b.ReachableMembers()[0].Leaving)
	assert.DeepEqual(t, b.LiveVMs(), []string{"vm1", "vm2"})
}

// A process that has just started knows no other VM. If it took the whole of each
// fleet-wide limit for itself, processes that start together would exceed the limit
// several times over.
func TestNewProcessAssumesOtherVMs(t *testing.T) {
	n := newNetwork()
	a := n.start(1, 1, nil)
	assert.Assert(t, len(a.LiveVMs()) >= 9)
	n.run(4 * time.Second)
	assert.DeepEqual(t, a.LiveVMs(), []string{"vm1"})
}

// The platform refuses this VM but serves others. The one that has read furthest must be
// found, so that this VM can fetch records from it.
func TestMostAdvancedPeer(t *testing.T) {
	n := newNetwork()
	a := n.start(1, 1, map[string]int64{"s": 5})
	n.start(2, 1, map[string]int64{"s": 9})
	n.start(3, 1, map[string]int64{"s": 7})
	a.AddPeer(n.member(2))
	a.AddPeer(n.member(3))
	n.run(time.Second)
	at, ok := a.MostAdvancedPeer("s", offsetOf(5))
	assert.Assert(t, ok)
	assert.Equal(t, at, address(2))
	_, ok = a.MostAdvancedPeer("s", offsetOf(9))
	assert.Assert(t, !ok)
	_, ok = a.MostAdvancedPeer("other", offsetOf(0))
	assert.Assert(t, !ok)
}

// Each VM that reads the platform has a cost, so one VM reads for its zone. When it becomes
// unreachable, another one must take over, and a VM that receives no heartbeats reads for
// itself.
func TestOneVMReadsForItsZone(t *testing.T) {
	n := newNetwork()
	var all []*gossiper.Gossiper
	for i := range 5 {
		g := n.start(byte(1+i), 1, nil)
		assert.Assert(t, g.ReadRole() == gossiper.Reader, "a VM that knows no other VM must read")
		g.AddPeer(n.member(1))
		g.AddPeer(n.member(2))
		all = append(all, g)
	}
	n.run(200 * time.Millisecond)
	for i, g := range all {
		for j := range all {
			if i != j {
				g.AddPeer(n.member(byte(1 + j)))
			}
		}
	}
	n.run(4 * time.Second)
	reader := -1
	for i, g := range all {
		if g.ReadRole() == gossiper.Reader {
			assert.Equal(t, reader, -1, "two VMs read")
			reader = i
		}
	}
	assert.Assert(t, reader >= 0)
	delete(n.nodes, address(byte(1+reader)))
	n.run(2 * time.Second)
	readers := 0
	for i, g := range all {
		if i != reader && g.ReadRole() == gossiper.Reader {
			readers++
		}
	}
	assert.Equal(t, readers, 1)
}

// The platform refuses the reader of a zone but serves the other VMs. If these waited
// until their records are too old, a key that was revoked meanwhile would be accepted for
// as long.
func TestRefusedReaderIsReplaced(t *testing.T) {
	n := newNetwork()
	all := []*gossiper.Gossiper{n.start(1, 1, nil), n.start(2, 1, nil)}
	all[0].AddPeer(n.member(2))
	n.run(1200 * time.Millisecond)
	reader := 0
	if all[1].ReadRole() == gossiper.Reader {
		reader = 1
	}
	assert.Assert(t, all[reader].ReadRole() == gossiper.Reader && all[1-reader].ReadRole() != gossiper.Reader)
	positions := n.positions[address(byte(1+reader))]
	positions["s"] = gossiper.StreamPosition{Failing: true}
	n.run(300 * time.Millisecond)
	assert.Assert(t, all[1-reader].ReadRole() == gossiper.Reader)
	assert.Assert(t, all[reader].ReadRole() == gossiper.Reader, "a refused VM must keep trying, to learn that it is served again")
	delete(positions, "s")
	n.run(300 * time.Millisecond)
	assert.Assert(t, all[1-reader].ReadRole() != gossiper.Reader)
}

// A confirmation received from a peer holds for every VM that has read as far, and must
// carry the time at which the peer received it.
func TestConfirmedAtIsTheTimeAtThePeer(t *testing.T) {
	n := newNetwork()
	a := n.start(1, 1, nil)
	n.start(2, 1, map[string]int64{"s": 9})
	a.AddPeer(n.member(2))
	start := n.now
	n.run(300 * time.Millisecond)
	assert.Assert(t, a.ConfirmedAt("s", offsetOf(8)).IsZero(), "the stream extends beyond this offset")
	at := a.ConfirmedAt("s", offsetOf(9))
	assert.Assert(t, at.Sub(start.Add(-time.Second)).Abs() < 60*time.Millisecond, "%v", at.Sub(start))
}

// Receive must not panic on any datagram, because anybody may send one.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x61, 0x78})
	f.Fuzz(func(_ *testing.T, data []byte) {
		n := newNetwork()
		n.start(1, 1, nil).Receive(address(2), data)
	})
}

// newFleet starts VMs in several zones, all of which know one another from the platform's
// list.
func newFleet(n *network, zoneCount, vmsPerZone byte) (all []*gossiper.Gossiper) {
	for z := range zoneCount {
		n.zone = string(rune('a' + z))
		for i := range vmsPerZone {
			all = append(all, n.start(1+z*vmsPerZone+i, 1, map[string]int64{"s": int64(z)}))
		}
	}
	for _, g := range all {
		for i := range zoneCount * vmsPerZone {
			g.AddPeer(n.member(1 + i))
		}
	}
	return all
}

// If each VM sent heartbeats to all others, a VM in a fleet of 60 would receive 240
// datagrams a second, and one in a fleet of 330 would have no time for anything else. With
// relays the number must stay small, while all VMs still know all others and notice when
// one dies.
func TestDatagramCountDoesNotGrowWithTheFleet(t *testing.T) {
	const zones, vmsPerZone = 3, 20
	n := newNetwork()
	all := newFleet(n, zones, vmsPerZone)
	n.run(4 * time.Second)
	clear(n.sent)
	n.run(4 * time.Second)
	total := 0
	for _, sent := range n.sent {
		total += sent
	}
	// Sixteen times in four seconds each VM sends to its two relays, each relay sends to
	// all VMs of its zone, and the relays send to those of the other zones.
	assert.Assert(t, total <= 16*zones*(2*vmsPerZone+2*vmsPerZone+2*2*(zones-1)), "%d datagrams", total)
	for i, g := range all {
		assert.Equal(t, len(g.ReachableMembers()), zones*vmsPerZone-1, "VM %d", i)
		assert.Equal(t, len(g.LiveVMs()), zones*vmsPerZone)
	}
	delete(n.nodes, address(7))
	n.run(6 * time.Second)
	for _, i := range []int{0, 25, 59} {
		assert.Equal(t, len(all[i].ReachableMembers()), zones*vmsPerZone-2, "VM %d", i)
	}
}

// Both relays of a zone die. The other VMs must not take one another for dead as well, and
// another VM must soon relay and read the platform.
func TestDeadRelaysAreReplaced(t *testing.T) {
	const zones, vmsPerZone = 2, 12
	n := newNetwork()
	all := newFleet(n, zones, vmsPerZone)
	n.run(4 * time.Second)
	dead := map[int]bool{}
	for range 2 {
		for i, g := range all[:vmsPerZone] {
			if !dead[i] && g.ReadRole() == gossiper.Reader {
				dead[i] = true
				delete(n.nodes, address(byte(1+i)))
			}
		}
		n.run(2 * time.Second)
	}
	assert.Equal(t, len(dead), 2)
	n.run(4 * time.Second)
	readers := 0
	for i, g := range all {
		if dead[i] {
			continue
		}
		assert.Equal(t, len(g.ReachableMembers()), zones*vmsPerZone-3, "VM %d", i)
		if i < vmsPerZone && g.ReadRole() == gossiper.Reader {
			readers++
		}
	}
	assert.Equal(t, readers, 1)
}

// The platform does not answer one zone but serves another. The VMs of the first zone must
// learn through relays that the platform is up and which VM has read further. Otherwise
// they would keep using upstreams that have left meanwhile.
func TestRemotePositionsReachAllVMsOfAZone(t *testing.T) {
	const zones, vmsPerZone = 2, 12
	n := newNetwork()
	all := newFleet(n, zones, vmsPerZone)
	n.run(3 * time.Second)
	for i := range byte(vmsPerZone) {
		n.positions[address(1+i)]["s"] = gossiper.StreamPosition{Failing: true}
		n.positions[address(1+vmsPerZone+i)]["s"] = gossiper.StreamPosition{Position: offsetOf(9), ConfirmedAt: n.now}
	}
	n.run(time.Second)
	for i, g := range all[:vmsPerZone] {
		at, ok := g.MostAdvancedPeer("s", offsetOf(5))
		assert.Assert(t, ok && at.Compare(address(vmsPerZone)) > 0, "VM %d asks %v", i, at)
		assert.Assert(t, n.now.Sub(g.LastConfirmed("s")) < 1200*time.Millisecond, "%v", n.now.Sub(g.LastConfirmed("s")))
	}
}

// All datagrams are lost for a while. A few lost heartbeats must not make a VM
// unreachable, a long silence must, and the VMs must recover afterwards.
func TestLostHeartbeats(t *testing.T) {
	n := newNetwork()
	all := newFleet(n, 3, 5)
	n.run(4 * time.Second)
	n.dropAll = true
	n.run(time.Second)
	n.dropAll = false
	assert.Equal(t, len(all[0].ReachableMembers()), 14)
	n.dropAll = true
	n.run(6 * time.Second)
	assert.Equal(t, len(all[0].ReachableMembers()), 0)
	n.dropAll = false
	n.run(5 * time.Second)
	assert.Equal(t, len(all[0].ReachableMembers()), 14)
}

// A process restarts and knows no other VM, because the platform's store is down. VMs that
// still know its address must send it the others.
func TestRestartedProcessLearnsItsPeers(t *testing.T) {
	n := newNetwork()
	newFleet(n, 2, 4)
	n.run(4 * time.Second)
	n.zone = ""
	restarted := n.start(3, 2, nil)
	n.run(4 * time.Second)
	assert.Equal(t, len(restarted.ReachableMembers()), 7)
}

// The platform was restored from a backup, and the VM that reads it has fewer records than
// before, at lower offsets. The others must find that it is ahead of them, and prefer it
// to a VM whose build knows of no eras, whose offsets may be of an earlier one.
func TestPeerInALaterEraIsAhead(t *testing.T) {
	n := newNetwork()
	a := n.start(1, 1, map[string]int64{"s": 10})
	n.start(2, 1, map[string]int64{"s": 10})
	n.start(3, 1, map[string]int64{"s": 12})
	a.AddPeer(n.member(2))
	a.AddPeer(n.member(3))
	read := func(vm byte, era, offset int64) {
		n.positions[address(vm)]["s"] = gossiper.StreamPosition{Position: replicator.Position{Era: era, Offset: offset}, ConfirmedAt: n.now}
	}
	read(2, 2, 10)
	n.run(time.Second)
	at, ok := a.MostAdvancedPeer("s", replicator.Position{Era: 2, Offset: 10})
	assert.Assert(t, ok)
	assert.Equal(t, at, address(3), "without an era only the offset counts")
	read(2, 3, 4)
	n.run(time.Second)
	at, ok = a.MostAdvancedPeer("s", replicator.Position{Era: 2, Offset: 10})
	assert.Assert(t, ok)
	assert.Equal(t, at, address(2))
	confirmed := n.now
	read(2, 3, 4)
	n.run(time.Second)
	assert.Assert(t, a.ConfirmedAt("s", replicator.Position{Era: 2, Offset: 10}).Before(confirmed), "it confirms nothing of the earlier era")
	assert.Assert(t, !a.ConfirmedAt("s", replicator.Position{Era: 3, Offset: 4}).Before(confirmed))
}

// The reader of another zone is known only through a relay, and its era must arrive with
// its position.
func TestRelaysForwardEras(t *testing.T) {
	n := newNetwork()
	n.zones[4] = "other"
	a := n.start(1, 1, nil)
	n.start(2, 1, nil)
	n.start(3, 1, nil)
	n.start(4, 1, nil)
	for _, i := range []byte{1, 2, 3, 4} {
		for _, j := range []byte{1, 2, 3, 4} {
			if i != j {
				n.nodes[address(i)].AddPeer(n.member(j))
			}
		}
	}
	n.positions[address(4)]["s"] = gossiper.StreamPosition{Position: replicator.Position{Era: 3, Offset: 4}, ConfirmedAt: n.now}
	n.run(4 * time.Second)
	last := n.nodes[address(3)]
	for _, g := range []*gossiper.Gossiper{a, last} {
		at, ok := g.MostAdvancedPeer("s", replicator.Position{Era: 2, Offset: 10})
		assert.Assert(t, ok)
		assert.Equal(t, at, address(4))
	}
}
