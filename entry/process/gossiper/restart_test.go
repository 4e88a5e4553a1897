package gossiper_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/gossiper"
)

const (
	// startWindow is the time within which all VMs of a fleet restart.
	startWindow = 300 * time.Millisecond
	// discoveryLimit is the time after the last start within which all VMs must have
	// received heartbeats of all others, and lossyDiscoveryLimit the same when datagrams
	// are lost.
	discoveryLimit      = 10 * time.Millisecond
	lossyDiscoveryLimit = 3 * time.Second
)

// discoveryTime starts VMs of three zones at the given times. It returns how long after
// the last start all VMs reach all others, or limit if they do not. drop decides which
// datagrams are lost until the last start.
func discoveryTime(starts []time.Duration, limit time.Duration, drop func() bool) time.Duration {
	n := newNetwork()
	begin := n.now
	last := time.Duration(0)
	for i, at := range starts {
		n.zones[byte(i+1)] = string(rune('a' + i%3))
		last = max(last, at)
	}
	running := map[netip.AddrPort]*gossiper.Gossiper{}
	for ; n.now.Sub(begin) <= last+limit; n.now = n.now.Add(time.Millisecond) {
		for i, at := range starts {
			if a := address(byte(i + 1)); running[a] == nil && n.now.Sub(begin) >= at {
				running[a] = n.start(byte(i+1), int64(i+1), nil)
				for j := range starts {
					running[a].AddPeer(n.member(byte(j + 1)))
				}
				running[a].SendHello()
			}
		}
		kept := n.queue[:0]
		for _, d := range n.queue {
			if n.now.Sub(begin) > last || !drop() {
				kept = append(kept, d)
			}
		}
		n.queue = kept
		n.deliver()
		complete := len(running) == len(starts)
		for _, g := range running {
			g.Tick(n.now)
			complete = complete && len(g.ReachableMembers()) == len(starts)-1
		}
		if complete {
			return n.now.Sub(begin) - last
		}
	}
	return limit
}

// VMs that start together know one another only from the platform's list. If they did not
// exchange hellos, leaders would not serve them until the next heartbeats.
func TestVMsStartingTogetherDiscoverEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		starts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, int(startWindow.Milliseconds())).Draw(t, "ms")) * time.Millisecond
		}), 2, 12).Draw(t, "starts")
		took := discoveryTime(starts, discoveryLimit, func() bool { return false })
		assert.Assert(t, took < discoveryLimit, "a VM is not reachable after %v", took)
	})
}

// A VM whose hello was lost must become reachable through the next heartbeats and rosters.
func TestLostHellosAreRecovered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		starts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, int(startWindow.Milliseconds())).Draw(t, "ms")) * time.Millisecond
		}), 2, 12).Draw(t, "starts")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		took := discoveryTime(starts, lossyDiscoveryLimit, func() bool { return rng.IntN(3) == 0 })
		assert.Assert(t, took < lossyDiscoveryLimit, "a VM is not reachable after %v", took)
	})
}

// A VM that has just started refuses its callers until it has records. It must learn of a
// reader's records at once, not only with the reader's next heartbeat.
func TestPublishedOffsetsArriveAtOnce(t *testing.T) {
	n := newNetwork()
	a := n.start(1, 1, nil)
	b := n.start(2, 1, nil)
	notified := 0
	b.OnPeerAhead(func() { notified++ })
	b.AddPeer(n.member(1))
	b.SendHello()
	n.deliver()
	n.deliver()
	_, ok := b.MostAdvancedPeer("s", offsetOf(0))
	assert.Assert(t, !ok)
	n.positions[address(1)]["s"] = gossiper.StreamPosition{Position: offsetOf(5), ConfirmedAt: n.now}
	a.PublishOffsets()
	n.deliver()
	from, ok := b.MostAdvancedPeer("s", offsetOf(0))
	assert.Assert(t, ok)
	assert.Equal(t, from, address(1))
	assert.Equal(t, notified, 1)
}

// Of VMs that start together without records, only one may read the platform, and it must
// not wait for VMs that are listed but not alive.
func TestOneOfTheStartingVMsReads(t *testing.T) {
	n := newNetwork()
	a, b := n.start(1, 1, nil), n.start(2, 1, nil)
	for _, g := range []*gossiper.Gossiper{a, b} {
		for i := range byte(9) {
			g.AddPeer(n.member(i + 1))
		}
	}
	assert.Assert(t, a.ShouldReadAtStart() && b.ShouldReadAtStart())
	a.SendHello()
	n.deliver()
	n.deliver()
	assert.Assert(t, a.ShouldReadAtStart() != b.ShouldReadAtStart())
}

// A VM that alone has started again must not take the whole fleet for restarted, and VMs that
// all have, must.
func TestFleetRestartedNeedsMostVMs(t *testing.T) {
	const window = 5 * time.Second
	for _, test := range []struct {
		name  string
		boots []int64
		want  bool
	}{
		{"alone", nil, false},
		{"others run on", []int64{1, 1, 1}, false},
		{"one more", []int64{1, 1, int64(time.Minute)}, false},
		{"most", []int64{1, int64(time.Minute + 2*time.Second), int64(time.Minute - time.Second)}, true},
	} {
		n := newNetwork()
		restarted := n.start(1, int64(time.Minute), nil)
		for i, boot := range test.boots {
			g := n.start(byte(i+2), boot, nil)
			g.AddPeer(n.member(1))
			g.SendHello()
		}
		n.deliver()
		n.deliver()
		assert.Equal(t, restarted.FleetRestarted(window), test.want, test.name)
	}
}
