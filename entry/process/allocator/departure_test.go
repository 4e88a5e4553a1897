package allocator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// departureSpreadTime is the time within which leaders learn of a departure from the VM
// to which it was announced: a report and its repeat.
const departureSpreadTime = 1500 * time.Millisecond

// Only one VM has got a response in which an upstream announces its leaving, and the
// datagram that tells its leader may be lost. Leaders, also new ones, must stop granting
// the upstream; otherwise each grant to that VM would be returned and cost its request
// time.
func TestLeadersLearnOfDeparturesFromOtherVMs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		zones := []string{"x", "y", "z"}[:rapid.IntRange(2, 3).Draw(rt, "vms")]
		n := newNetwork(t, zones, 4)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		// Vm0 leads.
		last := len(n.vms) - 1
		held := n.acquire(last, time.Second)
		defer held.Release()
		n.tamper = lossy(rng, rapid.Float64Range(0, 0.3).Draw(rt, "lost datagrams"))
		n.vms[last].tracker.ReportDeparture(n.now, "u1", 0)
		n.run(departureSpreadTime)
		if rapid.Bool().Draw(rt, "leader is replaced") && len(n.vms) > 2 {
			n.vms[0].dead = true
			for _, v := range n.vms {
				v.unreachable[0] = true
			}
			n.run(departureSpreadTime)
		}
		for range 20 {
			for _, v := range n.vms {
				if v.dead {
					continue
				}
				p := n.acquire(v.index, 2*time.Second)
				assert.Assert(rt, p.Upstream.ID != "u1", "%s was granted an upstream that is leaving", v.member.VM)
				p.Release()
				n.run(time.Millisecond)
			}
		}
	})
}
