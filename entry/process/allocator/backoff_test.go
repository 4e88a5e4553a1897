package allocator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/scheduler"
)

// An upstream asks one VM to back off, which learns it while datagrams are lost and the
// leader may be replaced. Leaders must not grant the upstream to that VM; otherwise each
// grant would be returned and cost its request time. Other VMs may use it.
func TestLeadersRespectTheBackoffOfEachVM(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		zones := []string{"x", "y", "z"}[:rapid.IntRange(2, 3).Draw(rt, "vms")]
		n := newNetwork(t, zones, 3)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		last := len(n.vms) - 1
		held := n.acquire(last, time.Second)
		defer held.Release()
		n.tamper = lossy(rng, rapid.Float64Range(0, 0.3).Draw(rt, "lost datagrams"))
		for _, id := range []string{"u0", "u1"} {
			n.vms[last].tracker.ReportBackoff(n.now, id, 0, time.Minute)
		}
		n.run(departureSpreadTime)
		if rapid.Bool().Draw(rt, "leader is replaced") && len(n.vms) > 2 {
			n.vms[0].dead = true
			for _, v := range n.vms {
				v.unreachable[0] = true
			}
			n.run(departureSpreadTime)
		}
		other := map[string]bool{}
		for range 10 {
			for _, v := range n.vms {
				if v.dead {
					continue
				}
				p := n.acquire(v.index, 2*time.Second)
				if v.index == last {
					assert.Assert(rt, p.Upstream.ID == "u2", "%s was granted %s, which wants no requests from it", v.member.VM, p.Upstream.ID)
				} else {
					other[p.Upstream.ID] = true
				}
				p.Release()
				n.run(time.Millisecond)
			}
		}
		assert.Assert(rt, len(other) > 0)
	})
}

// All upstreams of a VM's zone asked it to back off for longer than its callers wait,
// while those of another zone take its requests. The request must move there instead of
// being refused.
func TestRequestMovesToAnotherZoneDuringBackoff(t *testing.T) {
	const upstreams = 64 // enough to be grouped by zone
	n := newNetwork(t, []string{"x", "y"}, upstreams)
	for _, v := range []int{0, 1} {
		// Both leaders send each other the load of their zones.
		n.acquire(v, time.Second).Release()
	}
	for v := range n.vms {
		held := n.acquire(v, time.Second)
		defer held.Release()
	}
	n.run(2 * time.Second)
	for _, s := range n.vms[1].tracker.Usable(n.now, "s") {
		if s.Zone == "y" {
			n.vms[1].tracker.ReportBackoff(n.now, s.ID, 0, time.Minute)
		}
	}
	o := n.vms[1].Submit(n.call())
	for range 1000 {
		p, r := o.Poll()
		if p != nil {
			u, _ := n.vms[1].tracker.Get(p.Upstream.ID)
			assert.Equal(t, u.Zone, "x")
			return
		}
		if r != nil {
			assert.Assert(t, r.Code != scheduler.CodeBackoff, "refused although another zone has free upstreams")
			t.Fatalf("refused: %s", r.Code)
		}
		n.run(time.Millisecond)
	}
	t.Fatal("not placed within a second")
}
