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
	// starting is the time within which the VMs of a fleet start again.
	starting = 300 * time.Millisecond
	// agreed is how soon after the last start all VMs hear all others, and
	// repaired how soon where datagrams are lost meanwhile.
	agreed   = 10 * time.Millisecond
	repaired = 3 * time.Second
)

// restart has the VMs of three zones start, each at its time, and gives for how long
// after the last start some VM did not hear another one, within a bound.
func restart(starts []time.Duration, bound time.Duration, lost func() bool) time.Duration {
	n := newNetwork()
	began := n.now
	last := time.Duration(0)
	for i, at := range starts {
		n.zones[byte(i+1)] = string(rune('a' + i%3))
		last = max(last, at)
	}
	running := map[netip.AddrPort]*gossiper.Gossiper{}
	for ; n.now.Sub(began) <= last+bound; n.now = n.now.Add(time.Millisecond) {
		for i, at := range starts {
			if a := address(byte(i + 1)); running[a] == nil && n.now.Sub(began) >= at {
				running[a] = n.add(byte(i+1), int64(i+1), nil)
				for j := range starts {
					running[a].AddPeer(n.member(byte(j + 1)))
				}
				running[a].SendHello()
			}
		}
		kept := n.queue[:0]
		for _, d := range n.queue {
			if n.now.Sub(began) > last || !lost() {
				kept = append(kept, d)
			}
		}
		n.queue = kept
		n.deliver()
		whole := len(running) == len(starts)
		for _, g := range running {
			g.Tick(n.now)
			whole = whole && len(g.ReachableMembers()) == len(starts)-1
		}
		if whole {
			return n.now.Sub(began) - last
		}
	}
	return bound
}

// VMs that start together and take the list's word for each other ask leaders that
// have not heard of them, and are not served until the next beats.
func TestVMsThatStartTogetherHearEachOtherAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		starts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, int(starting.Milliseconds())).Draw(t, "ms")) * time.Millisecond
		}), 2, 12).Draw(t, "starts")
		took := restart(starts, agreed, func() bool { return false })
		assert.Assert(t, took < agreed, "a VM is not heard after %v", took)
	})
}

// A VM whose greeting was lost must be heard by the next beats and rolls.
func TestLostGreetingsAreMadeUpFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		starts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, int(starting.Milliseconds())).Draw(t, "ms")) * time.Millisecond
		}), 2, 12).Draw(t, "starts")
		draw := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		took := restart(starts, repaired, func() bool { return draw.IntN(3) == 0 })
		assert.Assert(t, took < repaired, "a VM is not heard after %v", took)
	})
}

// A VM that has started and hears of a reader's records only with its next beat
// refuses its callers until then.
func TestReaderIsHeardOfAtOnce(t *testing.T) {
	n := newNetwork()
	a := n.add(1, 1, nil)
	b := n.add(2, 1, nil)
	woken := 0
	b.OnPeerAhead(func() { woken++ })
	b.AddPeer(n.member(1))
	b.SendHello()
	n.deliver()
	n.deliver()
	_, ok := b.MostAdvancedPeer("s", 0)
	assert.Assert(t, !ok)
	n.ends[address(1)]["s"] = gossiper.StreamPosition{Offset: 5, ConfirmedAt: n.now}
	a.PublishOffsets()
	n.deliver()
	from, ok := b.MostAdvancedPeer("s", 0)
	assert.Assert(t, ok)
	assert.Equal(t, from, address(1))
	assert.Equal(t, woken, 1)
}

// Of VMs that know nothing each must not call the platform, and those that it lists
// but that do not live must not be waited for.
func TestOneOfTheVMsThatStartReads(t *testing.T) {
	n := newNetwork()
	a, b := n.add(1, 1, nil), n.add(2, 1, nil)
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
