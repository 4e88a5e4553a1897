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
)

// A net carries datagrams between gossipers when a test says so.
type network struct {
	now   time.Time
	nodes map[netip.AddrPort]*gossiper.Gossiper
	ends  map[netip.AddrPort]map[string]gossiper.StreamPosition
	queue []datagram
	lose  bool
	// zone is that of the VMs that are added next.
	zone  string
	zones map[byte]string
	// sent counts the datagrams to each VM.
	sent map[netip.AddrPort]int
}

type datagram struct {
	from, to netip.AddrPort
	data     []byte
}

type wire struct {
	*network
	from netip.AddrPort
}

func (w wire) Send(to netip.AddrPort, data []byte) error {
	w.sent[to]++
	if !w.lose {
		w.queue = append(w.queue, datagram{w.from, to, data})
	}
	return nil
}

func address(i byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, i}), 7000)
}

// member is what the platform's list says of a VM.
func (n *network) member(i byte) allocator.Member {
	zone, ok := n.zones[i]
	if !ok {
		zone = "z"
	}
	return allocator.Member{VM: "vm" + string(rune('0'+i)), Address: address(i), Zone: zone, Cores: 0.5}
}

func (n *network) add(i byte, boot int64, ends map[string]int64) *gossiper.Gossiper {
	a := address(i)
	read := map[string]gossiper.StreamPosition{}
	for stream, end := range ends {
		read[stream] = gossiper.StreamPosition{Offset: end, ConfirmedAt: n.now.Add(-time.Second)}
	}
	n.ends[a] = read
	if n.zone != "" {
		n.zones[i] = n.zone
	}
	g := gossiper.New(n.member(i), boot, wire{n, a}, func() map[string]gossiper.StreamPosition { return read }, func() time.Time { return n.now }, zerolog.Nop())
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

// run lets time pass, with datagrams delivered.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(50 * time.Millisecond) {
		for _, g := range n.nodes {
			g.Tick(n.now)
		}
		n.deliver()
	}
}

func newNetwork() *network {
	return &network{now: time.Unix(1_000_000, 0), nodes: map[netip.AddrPort]*gossiper.Gossiper{}, sent: map[netip.AddrPort]int{}, ends: map[netip.AddrPort]map[string]gossiper.StreamPosition{}, zones: map[byte]string{}}
}

// A VM dies and says nothing. It must not be asked for anything soon after; but it
// may only be unheard, and still send, so that its part of common bounds is not
// given away at once.
func TestSilentVMIsNotAskedBeforeItIsForgotten(t *testing.T) {
	n := newNetwork()
	a, b := n.add(1, 1, nil), n.add(2, 1, nil)
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

// A VM that says that it is about to stop leads nobody from then on, also where
// that word comes late, and one that says that it ends need not be waited for.
// Started again it is like any other.
func TestLeavingAndReturningVMs(t *testing.T) {
	n := newNetwork()
	a, b := n.add(1, 1, nil), n.add(2, 1, nil)
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
	again := n.add(1, 2, nil)
	again.AddPeer(n.member(2))
	n.run(time.Second)
	assert.Assert(t, !b.ReachableMembers()[0].Leaving)
	assert.DeepEqual(t, b.LiveVMs(), []string{"vm1", "vm2"})
}

// A process that has just started knows no other. If it took the whole of each
// common bound for itself, all that start together would send a multiple.
func TestNewProcessAssumesOthers(t *testing.T) {
	n := newNetwork()
	a := n.add(1, 1, nil)
	assert.Assert(t, len(a.LiveVMs()) >= 9)
	n.run(4 * time.Second)
	assert.DeepEqual(t, a.LiveVMs(), []string{"vm1"})
}

// The platform refuses this VM and serves another: that one is ahead, and has
// to be asked.
func TestAheadNamesWhoHasReadFurther(t *testing.T) {
	n := newNetwork()
	a := n.add(1, 1, map[string]int64{"s": 5})
	n.add(2, 1, map[string]int64{"s": 9})
	n.add(3, 1, map[string]int64{"s": 7})
	a.AddPeer(n.member(2))
	a.AddPeer(n.member(3))
	n.run(time.Second)
	at, ok := a.MostAdvancedPeer("s", 5)
	assert.Assert(t, ok)
	assert.Equal(t, at, address(2))
	_, ok = a.MostAdvancedPeer("s", 9)
	assert.Assert(t, !ok)
	_, ok = a.MostAdvancedPeer("other", 0)
	assert.Assert(t, !ok)
}

// Each VM that reads the platform is paid for. One reads for a zone; when it can
// no longer be heard, another does, and a VM that hears nobody reads for itself.
func TestOneVMReadsForItsZone(t *testing.T) {
	n := newNetwork()
	var all []*gossiper.Gossiper
	for i := range 5 {
		g := n.add(byte(1+i), 1, nil)
		assert.Assert(t, g.ReadRole() == gossiper.Reader, "it has heard of nobody")
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
			assert.Equal(t, reader, -1, "two read")
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

// The platform turns away the VM that reads for its zone and serves the others.
// If they waited until what they have is too old, a key that was taken away
// meanwhile would open for as long.
func TestVMThatIsTurnedAwayReadsForNobody(t *testing.T) {
	n := newNetwork()
	all := []*gossiper.Gossiper{n.add(1, 1, nil), n.add(2, 1, nil)}
	all[0].AddPeer(n.member(2))
	n.run(1200 * time.Millisecond)
	reader := 0
	if all[1].ReadRole() == gossiper.Reader {
		reader = 1
	}
	assert.Assert(t, all[reader].ReadRole() == gossiper.Reader && all[1-reader].ReadRole() != gossiper.Reader)
	ends := n.ends[address(byte(1+reader))]
	ends["s"] = gossiper.StreamPosition{Failing: true}
	n.run(300 * time.Millisecond)
	assert.Assert(t, all[1-reader].ReadRole() == gossiper.Reader)
	assert.Assert(t, all[reader].ReadRole() == gossiper.Reader, "it has to learn that it is served again")
	delete(ends, "s")
	n.run(300 * time.Millisecond)
	assert.Assert(t, all[1-reader].ReadRole() != gossiper.Reader)
}

// What a peer confirms holds for whoever has read as far, and is as old as it
// was there.
func TestConfirmedIsAsOldAsAtThePeer(t *testing.T) {
	n := newNetwork()
	a := n.add(1, 1, nil)
	n.add(2, 1, map[string]int64{"s": 9})
	a.AddPeer(n.member(2))
	began := n.now
	n.run(300 * time.Millisecond)
	assert.Assert(t, a.ConfirmedAt("s", 8).IsZero(), "there is more than that")
	at := a.ConfirmedAt("s", 9)
	assert.Assert(t, at.Sub(began.Add(-time.Second)).Abs() < 60*time.Millisecond, "%v", at.Sub(began))
}

// Anybody may send a datagram.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x61, 0x78})
	f.Fuzz(func(_ *testing.T, data []byte) {
		n := newNetwork()
		n.add(1, 1, nil).Receive(address(2), data)
	})
}

// fleet is many VMs in three zones, which have met by the platform's list.
func fleet(n *network, zones, each byte) (all []*gossiper.Gossiper) {
	for z := range zones {
		n.zone = string(rune('a' + z))
		for i := range each {
			all = append(all, n.add(1+z*each+i, 1, map[string]int64{"s": int64(z)}))
		}
	}
	for _, g := range all {
		for i := range zones * each {
			g.AddPeer(n.member(1 + i))
		}
	}
	return all
}

// A fleet of many VMs in three zones. Were each to tell each that it lives, a VM of
// 60 would hear 240 datagrams a second, and one of 330 would do nothing else. All
// have to know of all nonetheless, and of one that dies.
func TestWhatAVMHearsDoesNotGrowWithTheFleet(t *testing.T) {
	const zones, each = 3, 20
	n := newNetwork()
	all := fleet(n, zones, each)
	n.run(4 * time.Second)
	clear(n.sent)
	n.run(4 * time.Second)
	sum := 0
	for _, sent := range n.sent {
		sum += sent
	}
	// Two beats of each VM to its relays, two of these to each, and the relays'
	// own, sixteen times in four seconds.
	assert.Assert(t, sum <= 16*zones*(2*each+2*each+2*2*(zones-1)), "%d datagrams", sum)
	for i, g := range all {
		assert.Equal(t, len(g.ReachableMembers()), zones*each-1, "VM %d", i)
		assert.Equal(t, len(g.LiveVMs()), zones*each)
	}
	delete(n.nodes, address(7))
	n.run(6 * time.Second)
	for _, i := range []int{0, 25, 59} {
		assert.Equal(t, len(all[i].ReachableMembers()), zones*each-2, "VM %d", i)
	}
}

// Both VMs die that relay for a zone. The others must not take one another for
// dead with them, and another must relay and read the platform soon.
func TestOtherVMsRelayWhenThoseThatDidAreGone(t *testing.T) {
	const zones, each = 2, 12
	n := newNetwork()
	all := fleet(n, zones, each)
	n.run(4 * time.Second)
	dead := map[int]bool{}
	for range 2 {
		for i, g := range all[:each] {
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
		assert.Equal(t, len(g.ReachableMembers()), zones*each-3, "VM %d", i)
		if i < each && g.ReadRole() == gossiper.Reader {
			readers++
		}
	}
	assert.Equal(t, readers, 1)
}

// The platform answers nobody in one zone and goes on in another. VMs of the first
// must learn of it, by whom they can hear, that the platform lives and who has read
// further: they would use what has left meanwhile.
func TestFarReadingsReachAllVMsOfAZone(t *testing.T) {
	const zones, each = 2, 12
	n := newNetwork()
	all := fleet(n, zones, each)
	n.run(3 * time.Second)
	for i := range byte(each) {
		n.ends[address(1+i)]["s"] = gossiper.StreamPosition{Offset: 0, Failing: true}
		n.ends[address(1+each+i)]["s"] = gossiper.StreamPosition{Offset: 9, ConfirmedAt: n.now}
	}
	n.run(time.Second)
	for i, g := range all[:each] {
		at, ok := g.MostAdvancedPeer("s", 5)
		assert.Assert(t, ok && at.Compare(address(each)) > 0, "VM %d asks %v", i, at)
		assert.Assert(t, n.now.Sub(g.LastConfirmed("s")) < 1200*time.Millisecond, "%v", n.now.Sub(g.LastConfirmed("s")))
	}
}

// A VM's link loses everything for a while. A beat or two that are lost are no
// death, and what nobody has heard for long is.
func TestBeatsMayBeLost(t *testing.T) {
	n := newNetwork()
	all := fleet(n, 3, 5)
	n.run(4 * time.Second)
	n.lose = true
	n.run(time.Second)
	n.lose = false
	assert.Equal(t, len(all[0].ReachableMembers()), 14)
	n.lose = true
	n.run(6 * time.Second)
	assert.Equal(t, len(all[0].ReachableMembers()), 0)
	n.lose = false
	n.run(5 * time.Second)
	assert.Equal(t, len(all[0].ReachableMembers()), 14)
}

// All processes of a fleet end, and those that start again know nobody, as the
// platform's store is down. Whoever still knows their addresses tells them.
func TestProcessThatKnowsNobodyIsTold(t *testing.T) {
	n := newNetwork()
	fleet(n, 2, 4)
	n.run(4 * time.Second)
	n.zone = ""
	again := n.add(3, 2, nil)
	n.run(4 * time.Second)
	assert.Equal(t, len(again.ReachableMembers()), 7)
}
