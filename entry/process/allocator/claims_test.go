package allocator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// crowded returns a network in which the fifth VM holds the two slots of the only upstream.
// The third VM has been refused a request and told when to bring it back. The first VM
// leads, and the second would be next.
func crowded(t testing.TB, tamper func(datagram) []datagram) (n *network, held *allocator.Placement, refused scheduler.Request, due time.Time) {
	n = newNetwork(t, []string{"z", "z", "z", "z", "z"}, 1)
	for _, v := range n.vms {
		v.service = &matcher.Service{Name: "s", Engine: engine, Priorities: []int{0, 1}}
	}
	for range 2 {
		held = n.acquire(4, placementTime)
	}
	n.tamper = tamper
	type asked struct {
		request scheduler.Request
		pending *allocator.Pending
	}
	var all []asked
	for i := range 12 {
		r := n.call()
		r.Service, r.Fingerprint = n.vms[0].service, uint64(1000+i)
		r.Requirements.CallerTimeout = n.now.Add(3 * time.Second)
		all = append(all, asked{r, n.vms[2].Submit(r)})
	}
	for end := n.now.Add(2 * time.Second); refused.Service == nil && n.now.Before(end); n.run(time.Millisecond) {
		for _, a := range all {
			if _, r := a.pending.Poll(); r != nil && r.Code == scheduler.CodeBacklog {
				refused, due = a.request, n.now.Add(r.RetryAfter)
			}
		}
	}
	assert.Assert(t, refused.Service != nil, "nothing was refused")
	for _, a := range all {
		a.pending.Cancel()
	}
	n.run(10 * time.Millisecond)
	return n, held, refused, due
}

// returnsFirst has a caller come back at a VM at the given time, after others who have
// just come there, and reports whether it gets the slot that becomes free.
func returnsFirst(n *network, v int, held *allocator.Placement, refused scheduler.Request, at time.Time) bool {
	n.run(at.Sub(n.now))
	fresh := n.call()
	fresh.Service = refused.Service
	var others []*allocator.Pending
	for range 2 {
		others = append(others, n.vms[v].Submit(fresh))
	}
	n.run(placementTime)
	refused.Requirements = n.call().Requirements
	back := n.vms[v].Submit(refused)
	n.run(300 * time.Millisecond)
	held.Release()
	n.run(placementTime)
	p, _ := back.Poll()
	for _, o := range others {
		o.Cancel()
	}
	return p != nil
}

// A caller was refused and comes back as told, at another VM. Without the claim it stands
// behind all that came meanwhile.
func TestReturningCallerGoesFirstAtAnyVM(t *testing.T) {
	n, held, refused, due := crowded(t, nil)
	assert.Assert(t, returnsFirst(n, 3, held, refused, due))
}

// The caller does not wait as told. It must gain nothing.
func TestCallerThatReturnsEarlyGainsNothing(t *testing.T) {
	n, held, refused, due := crowded(t, nil)
	assert.Assert(t, due.Sub(n.now) > 400*time.Millisecond, "the claim is due too soon for this test")
	assert.Assert(t, !returnsFirst(n, 3, held, refused, n.now))
}

// The leader dies while claims stand, and so does the VM that was refused: the next leader
// must know the claim.
func TestClaimOutlivesTheLeaderAndTheRefusedVM(t *testing.T) {
	n, held, refused, due := crowded(t, nil)
	n.vms[0].dead, n.vms[2].dead = true, true
	assert.Assert(t, returnsFirst(n, 3, held, refused, due))
}

// The leader and the next one lose all they know. The VM that was refused must tell the
// claim to whoever leads then.
func TestClaimOutlivesTheRestartOfBothLeaders(t *testing.T) {
	n, held, refused, due := crowded(t, nil)
	n.start(n.vms[0], 2)
	n.vms[1].dead = true
	assert.Assert(t, returnsFirst(n, 3, held, refused, due))
}

// Datagrams are lost, doubled and overtake each other. Whoever was told to come back must
// have a claim all the same, also at the next leader.
func TestClaimsSurviveLostDatagrams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		n, held, refused, due := crowded(t, lossy(rng, 0.2))
		n.tamper = nil
		if rapid.Bool().Draw(rt, "leader dies") {
			n.vms[0].dead = true
		}
		if !returnsFirst(n, 3, held, refused, due) {
			rt.Fatal("the caller came back as told and had no claim")
		}
	})
}

// A VM of the previous build names no fingerprints and sends no claims: it is served as
// before.
func TestRequestsWithoutFingerprintsHaveNoClaim(t *testing.T) {
	n, held, refused, due := crowded(t, nil)
	refused.Fingerprint = 0
	assert.Assert(t, !returnsFirst(n, 3, held, refused, due))
}
