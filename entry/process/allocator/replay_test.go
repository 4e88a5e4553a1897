package allocator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/allocator"
)

// A session is a random sequence of callers that come, give up and finish at
// two VMs, while datagrams are lost, delayed, duplicated and reordered. It is
// determined by its seed.
type session struct {
	n          *network
	rng        *rand.Rand
	waiting    []*allocator.Pending
	placements []*allocator.Placement
}

func newSession(t testing.TB, seed uint64) *session {
	rng := rand.New(rand.NewPCG(seed, 7))
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	n.tamper = lossy(rng, rng.Float64()*0.3)
	return &session{n: n, rng: rng}
}

func (v *session) step() {
	switch v.rng.IntN(4) {
	case 0, 1:
		v.waiting = append(v.waiting, v.n.vms[1+v.rng.IntN(2)].Submit(v.n.call()))
	case 2:
		if len(v.placements) > 0 {
			i := v.rng.IntN(len(v.placements))
			if v.rng.IntN(2) == 0 {
				v.placements[i].MarkStarted()
			}
			v.placements[i].Release()
			v.placements = append(v.placements[:i], v.placements[i+1:]...)
		}
	case 3:
		if len(v.waiting) > 0 {
			_ = v.waiting[0].Cancel()
			v.waiting = v.waiting[1:]
		}
	}
	for range 1 + v.rng.IntN(60) {
		v.n.run(time.Millisecond)
		v.collectReplies()
	}
}

func (v *session) collectReplies() {
	var remaining []*allocator.Pending
	for _, o := range v.waiting {
		p, r := o.Poll()
		if p != nil {
			v.placements = append(v.placements, p)
		}
		if p == nil && r == nil {
			remaining = append(remaining, o)
		}
	}
	v.waiting = remaining
}

// finish cancels and releases everything on a network that no longer loses
// datagrams.
func (v *session) finish() {
	v.n.tamper = nil
	for _, o := range v.waiting {
		_ = o.Cancel()
	}
	for _, p := range v.placements {
		p.Release()
	}
}

// A VM got a placement from another leader, and its message that the request no
// longer waits was lost. The first leader then granted a second placement,
// which replaced the record of the first one, so that an engine kept a request
// that nobody had.
func TestDuplicatePlacementOfARequestIsReleased(t *testing.T) {
	const seeds = 400
	for seed := range uint64(seeds) {
		v := newSession(t, seed)
		for range 10 + v.rng.IntN(50) {
			v.step()
		}
		v.finish()
		v.n.run(2 * time.Second)
		assert.Equal(t, v.n.vms[0].streams(), 0, "seed %d", seed)
	}
}
