package gossiper_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// A net carries datagrams between gossipers when a test says so.
type network struct {
	now   time.Time
	nodes map[netip.AddrPort]*gossiper.Gossiper
	ends  map[netip.AddrPort]map[string]gossiper.End
	queue []datagram
	lose  bool
	// zone is that of the VMs that are added next.
	zone string
	// sent counts the datagrams to each VM.
	sent map[netip.AddrPort]int
	// known is what each VM knows of upstreams.
	known map[netip.AddrPort]*tracker.Tracker
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

func (n *network) add(i byte, boot int64, ends map[string]int64) *gossiper.Gossiper {
	a := address(i)
	read := map[string]gossiper.End{}
	for stream, end := range ends {
		read[stream] = gossiper.End{Offset: end, AsOf: n.now.Add(-time.Second)}
	}
	n.ends[a], n.known[a] = read, tracker.New()
	for _, id := range []string{"u", "v"} {
		n.known[a].Put(n.now, tracker.Upstream{ID: id})
	}
	zone := n.zone
	if zone == "" {
		zone = "z"
	}
	g := gossiper.New("vm"+string(rune('0'+i)), zone, boot, a, wire{n, a}, func() map[string]gossiper.End { return read }, n.known[a],
		func() time.Time { return n.now }, zerolog.Nop())
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
	return &network{now: time.Unix(1_000_000, 0), nodes: map[netip.AddrPort]*gossiper.Gossiper{}, sent: map[netip.AddrPort]int{}, ends: map[netip.AddrPort]map[string]gossiper.End{}, known: map[netip.AddrPort]*tracker.Tracker{}}
}

var work = placer.Load{Streams: 2, Context: 9000, Unread: 40, Starting: 1, Parts: 1, Stakes: placer.Stakes{3: 100, 9: 250}}

// A VM that sees only its own requests takes an engine for idle to which the
// others have just sent theirs.
func TestWorkReachesTheOthers(t *testing.T) {
	n := newNetwork()
	a, b := n.add(1, 1, nil), n.add(2, 1, nil)
	a.Meet(address(2))
	a.Share("u", work)
	n.run(100 * time.Millisecond)
	assert.Equal(t, b.Load("u"), work)
	assert.Equal(t, b.Load("v"), placer.Load{})
	a.Share("u", placer.Load{})
	n.run(100 * time.Millisecond)
	assert.Equal(t, b.Load("u"), placer.Load{})
	n.run(4 * time.Second)
	assert.DeepEqual(t, b.VMs(), []string{"vm1", "vm2"})
}

// Datagrams are lost and arrive out of order. What is told later must not be
// undone by what was told before, and a lost word is said again.
func TestLostAndReorderedDatagramsDoNoHarm(t *testing.T) {
	n := newNetwork()
	a, b := n.add(1, 1, nil), n.add(2, 1, nil)
	a.Meet(address(2))
	a.Share("u", work)
	a.Tick(n.now)
	a.Share("u", placer.Load{})
	a.Tick(n.now)
	n.queue[0], n.queue[1] = n.queue[1], n.queue[0]
	n.deliver()
	assert.Equal(t, b.Load("u"), placer.Load{})

	n.lose = true
	a.Share("u", work)
	n.run(100 * time.Millisecond)
	n.lose = false
	n.run(1200 * time.Millisecond)
	assert.Equal(t, b.Load("u"), work)
}

// An upstream dies. The first VM that finds out spares the others' requests, as
// long as it says so.
func TestUnreachableUpstreamIsTold(t *testing.T) {
	n := newNetwork()
	a, b := n.add(1, 1, nil), n.add(2, 1, nil)
	a.Meet(address(2))
	n.known[address(1)].Failed(n.now, "u", true)
	n.run(280 * time.Millisecond)
	assert.Assert(t, b.Silent("u") && !b.Silent("v"))
	n.run(600 * time.Millisecond)
	assert.Assert(t, !b.Silent("u"))
}

// An upstream fails its requests at once while its health is good. Of many VMs
// each sends it a request now and then, and each would take its own failure for
// the first.
func TestOutcomesAreTold(t *testing.T) {
	n := newNetwork()
	a, b, c := n.add(1, 1, nil), n.add(2, 1, nil), n.add(3, 1, nil)
	a.Meet(address(2))
	a.Meet(address(3))
	b.Meet(address(3))
	for i, g := range []*gossiper.Gossiper{a, b} {
		known := n.known[address(byte(1+i))]
		g.Share("u", work)
		n.run(50 * time.Millisecond)
		known.Failed(n.now, "u", false)
		known.Failed(n.now, "u", false)
		known.Answered(n.now, "u")
		g.Share("u", placer.Load{})
		n.run(50 * time.Millisecond)
	}
	o := c.Outcomes("u")
	assert.Assert(t, o.Failed > 3.7 && o.Failed <= 4 && o.Answered > 1.8 && o.Answered <= 2, "%+v", o)
	n.run(20 * time.Second)
	assert.Assert(t, c.Outcomes("u").Failed < 0.01)
}

// An engine reads for long, and this VM hears nothing of it. Another VM gets its
// answers from there, so that the engine lives and is not to be blamed.
func TestAnswersElsewhereAreASignOfLife(t *testing.T) {
	n := newNetwork()
	a, _ := n.add(1, 1, nil), n.add(2, 1, nil)
	a.Meet(address(2))
	a.Share("u", work)
	n.run(50 * time.Millisecond)
	sent := n.now
	n.known[address(1)].Answered(n.now, "u")
	a.Share("u", placer.Load{Streams: 1})
	n.run(50 * time.Millisecond)
	assert.DeepEqual(t, n.known[address(2)].Stalled(n.now, sent, []string{"u", "v"}), []string{"v"})
}

// A VM dies and says nothing. Its work ends with it, and counted on it would
// keep engines idle; but it may only be unheard, and still send, so that its
// part of common bounds is not given away at once.
func TestSilentVMsWorkIsForgottenBeforeItself(t *testing.T) {
	n := newNetwork()
	a, b := n.add(1, 1, nil), n.add(2, 1, nil)
	a.Meet(address(2))
	a.Share("u", work)
	n.run(4 * time.Second)
	delete(n.nodes, address(1))
	n.run(2 * time.Second)
	assert.Equal(t, b.Load("u"), placer.Load{})
	assert.DeepEqual(t, b.VMs(), []string{"vm1", "vm2"})
	n.run(8 * time.Second)
	assert.DeepEqual(t, b.VMs(), []string{"vm2"})
}

// One that says that it leaves need not be waited for, and one that starts again
// has nothing left of before.
func TestLeavingAndReturningVMs(t *testing.T) {
	n := newNetwork()
	a, b := n.add(1, 1, nil), n.add(2, 1, nil)
	a.Meet(address(2))
	a.Share("u", work)
	n.run(4 * time.Second)
	a.Bye()
	n.deliver()
	n.now = n.now.Add(time.Second)
	assert.DeepEqual(t, b.VMs(), []string{"vm2"})
	again := n.add(1, 2, nil)
	again.Meet(address(2))
	n.run(time.Second)
	assert.Equal(t, b.Load("u"), placer.Load{})
	assert.DeepEqual(t, b.VMs(), []string{"vm1", "vm2"})
}

// A process that has just started knows no other. If it took the whole of each
// common bound for itself, all that start together would send a multiple.
func TestNewProcessAssumesOthers(t *testing.T) {
	n := newNetwork()
	a := n.add(1, 1, nil)
	assert.Assert(t, len(a.VMs()) >= 9)
	n.run(4 * time.Second)
	assert.DeepEqual(t, a.VMs(), []string{"vm1"})
}

// The platform refuses this VM and serves another: that one is ahead, and has
// to be asked.
func TestAheadNamesWhoHasReadFurther(t *testing.T) {
	n := newNetwork()
	a := n.add(1, 1, map[string]int64{"s": 5})
	n.add(2, 1, map[string]int64{"s": 9})
	n.add(3, 1, map[string]int64{"s": 7})
	a.Meet(address(2))
	a.Meet(address(3))
	n.run(time.Second)
	at, ok := a.Ahead("s", 5)
	assert.Assert(t, ok)
	assert.Equal(t, at, address(2))
	_, ok = a.Ahead("s", 9)
	assert.Assert(t, !ok)
	_, ok = a.Ahead("other", 0)
	assert.Assert(t, !ok)
}

// Each VM that reads the platform is paid for. One reads for a zone; when it can
// no longer be heard, another does, and a VM that hears nobody reads for itself.
func TestOneVMReadsForItsZone(t *testing.T) {
	n := newNetwork()
	var all []*gossiper.Gossiper
	for i := range 5 {
		g := n.add(byte(1+i), 1, nil)
		assert.Assert(t, g.Reads("s"), "it has heard of nobody")
		g.Meet(address(1))
		g.Meet(address(2))
		all = append(all, g)
	}
	n.run(200 * time.Millisecond)
	for i, g := range all {
		for j := range all {
			if i != j {
				g.Meet(address(byte(1 + j)))
			}
		}
	}
	n.run(4 * time.Second)
	reader := -1
	for i, g := range all {
		if g.Reads("s") {
			assert.Equal(t, reader, -1, "two read")
			reader = i
		}
	}
	assert.Assert(t, reader >= 0)
	delete(n.nodes, address(byte(1+reader)))
	n.run(2 * time.Second)
	readers := 0
	for i, g := range all {
		if i != reader && g.Reads("s") {
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
	all[0].Meet(address(2))
	n.run(1200 * time.Millisecond)
	reader := 0
	if all[1].Reads("s") {
		reader = 1
	}
	assert.Assert(t, all[reader].Reads("s") && !all[1-reader].Reads("s"))
	ends := n.ends[address(byte(1+reader))]
	ends["s"] = gossiper.End{Failing: true}
	n.run(300 * time.Millisecond)
	assert.Assert(t, all[1-reader].Reads("s"))
	assert.Assert(t, all[reader].Reads("s"), "it has to learn that it is served again")
	delete(ends, "s")
	n.run(300 * time.Millisecond)
	assert.Assert(t, !all[1-reader].Reads("s"))
}

// What a peer confirms holds for whoever has read as far, and is as old as it
// was there.
func TestConfirmedIsAsOldAsAtThePeer(t *testing.T) {
	n := newNetwork()
	a := n.add(1, 1, nil)
	n.add(2, 1, map[string]int64{"s": 9})
	a.Meet(address(2))
	began := n.now
	n.run(300 * time.Millisecond)
	assert.Assert(t, a.Confirmed("s", 8).IsZero(), "there is more than that")
	at := a.Confirmed("s", 9)
	assert.Assert(t, at.Sub(began.Add(-time.Second)).Abs() < 60*time.Millisecond, "%v", at.Sub(began))
}

// Long prompts wait at several VMs for the same engines. Without an order each
// VM sends its own there in the same moment.
func TestWaitingPromptsHaveOneOrder(t *testing.T) {
	n := newNetwork()
	a, b := n.add(1, 1, nil), n.add(2, 1, nil)
	a.Meet(address(2))
	first := gossiper.Head{Service: "s", Long: true, Start: n.now.Add(time.Second)}
	second := gossiper.Head{Service: "s", Long: true, Start: n.now.Add(2 * time.Second)}
	late := gossiper.Head{Service: "s", Long: true, Late: true, Start: n.now.Add(-time.Second)}
	assert.Assert(t, a.Wait([]gossiper.Head{first}))
	assert.Assert(t, !a.Wait([]gossiper.Head{first}), "it is no news")
	n.run(300 * time.Millisecond)
	assert.Equal(t, b.Before(second), 1)
	assert.Equal(t, b.Before(late), 1, "what can be in time goes before what cannot")
	assert.Equal(t, b.Before(gossiper.Head{Service: "s", Long: true, Start: n.now}), 0)
	assert.Equal(t, b.Before(gossiper.Head{Service: "s", Start: second.Start}), 0, "short ones wait for other places")
	assert.Equal(t, b.Before(gossiper.Head{Service: "t", Long: true, Start: second.Start}), 0)
	assert.Assert(t, a.Wait(nil))
	n.run(300 * time.Millisecond)
	assert.Equal(t, b.Before(second), 0)
}

// Anybody may send a datagram.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x61, 0x78})
	f.Fuzz(func(_ *testing.T, data []byte) {
		n := newNetwork()
		n.add(1, 1, nil).Receive(address(2), data)
	})
}

// A fleet of many VMs in three zones. Bytes between zones are dear, and most of
// what crossed them was that VMs live. They say so less often there, and are not
// taken for dead when a beat is lost; work is told at once as before.
func TestFarVMsHearFewerBeats(t *testing.T) {
	const zones, each = 3, 20
	n := newNetwork()
	var all []*gossiper.Gossiper
	for z := range byte(zones) {
		n.zone = string(rune('a' + z))
		for i := range byte(each) {
			all = append(all, n.add(1+z*each+i, 1, nil))
		}
	}
	for _, g := range all {
		for i := range byte(zones * each) {
			g.Meet(address(1 + i))
		}
	}
	n.run(2 * time.Second)
	clear(n.sent)
	n.run(4 * time.Second)
	toOne := n.sent[address(1)]
	near, far := 4*4*(each-1), 4*(zones-1)*each
	assert.Assert(t, toOne >= near+far*3/4 && toOne <= near+far*2, "%d datagrams, of which %d are due from its zone", toOne, near)

	all[zones*each-1].Share("u", work)
	n.run(60 * time.Millisecond)
	assert.Equal(t, all[0].Load("u"), work)
	n.lose = true
	n.run(time.Second)
	n.lose = false
	assert.Equal(t, all[0].Load("u"), work, "one beat that is lost is no death")
	n.lose = true
	n.run(4 * time.Second)
	assert.Equal(t, all[0].Load("u"), placer.Load{})
}
