package allocator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/allocator"
)

// A visit is callers that come, leave and end at two VMs, with datagrams that are lost,
// late, repeated and out of order, all drawn from one seed.
type visit struct {
	n       *network
	draw    *rand.Rand
	waiting []*allocator.Pending
	open    []*allocator.Placement
}

func newVisit(t testing.TB, seed uint64) *visit {
	draw := rand.New(rand.NewPCG(seed, 7))
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	n.spoil = spoiled(draw, draw.Float64()*0.3)
	return &visit{n: n, draw: draw}
}

func (v *visit) step() {
	switch v.draw.IntN(4) {
	case 0, 1:
		v.waiting = append(v.waiting, v.n.vms[1+v.draw.IntN(2)].Submit(v.n.call()))
	case 2:
		if len(v.open) > 0 {
			i := v.draw.IntN(len(v.open))
			if v.draw.IntN(2) == 0 {
				v.open[i].MarkStarted()
			}
			v.open[i].Release()
			v.open = append(v.open[:i], v.open[i+1:]...)
		}
	case 3:
		if len(v.waiting) > 0 {
			_ = v.waiting[0].Cancel()
			v.waiting = v.waiting[1:]
		}
	}
	for range 1 + v.draw.IntN(60) {
		v.n.run(time.Millisecond)
		v.settle()
	}
}

func (v *visit) settle() {
	var still []*allocator.Pending
	for _, o := range v.waiting {
		p, r := o.Poll()
		if p != nil {
			v.open = append(v.open, p)
		}
		if p == nil && r == nil {
			still = append(still, o)
		}
	}
	v.waiting = still
}

// end has all leave and end, on a network that loses nothing any more.
func (v *visit) end() {
	v.n.spoil = nil
	for _, o := range v.waiting {
		_ = o.Cancel()
	}
	for _, p := range v.open {
		p.Release()
	}
}

// A VM that another leader gave a place, whose word that it waits no more was lost, got
// a second one that hid the first: an engine kept a request that nobody had.
func TestSecondPlaceOfARequestHidesNoOther(t *testing.T) {
	const seeds = 400
	for seed := range uint64(seeds) {
		v := newVisit(t, seed)
		for range 10 + v.draw.IntN(50) {
			v.step()
		}
		v.end()
		v.n.run(2 * time.Second)
		assert.Equal(t, v.n.vms[0].streams(), 0, "seed %d", seed)
	}
}
