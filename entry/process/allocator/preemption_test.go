package allocator_test

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/scheduler"
)

// rank gives the requests of the service two priorities.
func (n *network) rank() {
	for _, v := range n.vms {
		v.service.Priorities = []int{0, 1}
	}
}

// submitRanked submits a request that its VM may take back.
func (n *network) submitRanked(v, priority, prompt int) *allocator.Pending {
	c := n.call()
	c.Service = n.vms[v].service
	c.Priority, c.Preemptible = priority, true
	c.Requirements.Prompt = prompt
	c.Requirements.Deadline = n.now.Add(30 * time.Second)
	if priority > 0 {
		c.Requirements.Objective = n.now.Add(8 * time.Second)
	}
	return n.vms[v].Submit(c)
}

// wait runs the network until a request is settled.
func (n *network) wait(o *allocator.Pending, within time.Duration) (*allocator.Placement, *scheduler.Refusal) {
	for end := n.now.Add(within); n.now.Before(end); n.run(time.Millisecond) {
		if p, r := o.Poll(); p != nil || r != nil {
			return p, r
		}
	}
	return nil, nil
}

// countWithdrawals counts how often the leader asks for a placement back.
func countWithdrawals(p *allocator.Placement) *atomic.Int32 {
	n := &atomic.Int32{}
	p.OnWithdrawal(func() { n.Add(1) })
	return n
}

// settle waits until calls that run in goroutines of their own have been made.
func settle() { time.Sleep(20 * time.Millisecond) }

// The leader must reach the VM that holds the placement, whichever it is, itself included,
// and the urgent request must get the slot when that VM gives it back.
func TestLeaderAsksTheHolderForASlotBack(t *testing.T) {
	for holder := range 3 {
		n := newNetwork(t, []string{"z", "z", "z"}, 1)
		n.rank()
		long, refusal := n.wait(n.submitRanked(holder, 1, 150_000), time.Second)
		assert.Assert(t, refusal == nil && long != nil)
		asked := countWithdrawals(long)
		urgent := n.submitRanked(2, 0, 1000)
		n.run(30 * time.Millisecond)
		settle()
		assert.Equal(t, asked.Load(), int32(1), "holder %d", holder)
		long.Release()
		p, _ := n.wait(urgent, 100*time.Millisecond)
		assert.Assert(t, p != nil, "holder %d", holder)
	}
}

// A placement whose first event has come, or that is free again, must not be taken back by
// a message that comes late; nor may one be taken back because its ID is the same as that
// of an earlier run of the process.
func TestLateWithdrawalIsIgnored(t *testing.T) {
	n := newNetwork(t, []string{"z", "z"}, 1)
	n.rank()
	var late []datagram
	delayed := false
	n.tamper = func(d datagram) []datagram {
		if delayed && d.from == 0 {
			late = append(late, d)
			return nil
		}
		return []datagram{d}
	}
	long, _ := n.wait(n.submitRanked(1, 1, 150_000), time.Second)
	assert.Assert(t, long != nil)
	asked := countWithdrawals(long)
	delayed = true
	urgent := n.submitRanked(0, 0, 1000)
	n.run(10 * time.Millisecond)
	_ = urgent.Cancel()
	assert.Assert(t, len(late) > 0)
	long.MarkStarted()
	n.start(n.vms[1], 2)
	again, _ := n.wait(n.submitRanked(1, 1, 1000), 2*time.Second)
	askedAgain := &atomic.Int32{}
	if again != nil {
		askedAgain = countWithdrawals(again)
	}
	for _, d := range late {
		n.vms[1].Receive(address(0), d.data)
	}
	settle()
	assert.Equal(t, asked.Load(), int32(0))
	assert.Equal(t, askedAgain.Load(), int32(0))
}

// Datagrams are lost, doubled and delayed, and leaders freeze so that others lead beside
// them. A placement must be asked for at most once all the same.
func TestPlacementIsAskedForAtMostOnce(t *testing.T) {
	total := int32(0)
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 5))
		n := newNetwork(t, []string{"z", "z", "z", "z"}, 3)
		n.rank()
		n.tamper = lossy(rng, 0.15)
		type held struct {
			placement *allocator.Placement
			asked     *atomic.Int32
			until     time.Time
		}
		var open []held
		var all []*atomic.Int32
		var pending []*allocator.Pending
		for range 60 {
			vm := rng.IntN(len(n.vms))
			switch rng.IntN(6) {
			case 0:
				n.vms[0].frozen = true
			case 1:
				n.unfreeze(n.vms[0])
			case 2, 3:
				pending = append(pending, n.submitRanked(vm, 0, 1000))
			default:
				pending = append(pending, n.submitRanked(vm, 1, 150_000))
			}
			n.run(time.Duration(20+rng.IntN(60)) * time.Millisecond)
			remaining := pending[:0]
			for _, o := range pending {
				p, refusal := o.Poll()
				switch {
				case p != nil:
					asked := countWithdrawals(p)
					all = append(all, asked)
					open = append(open, held{p, asked, n.now.Add(time.Duration(rng.IntN(800)) * time.Millisecond)})
				case refusal == nil:
					remaining = append(remaining, o)
				}
			}
			pending = remaining
			kept := open[:0]
			for _, h := range open {
				if n.now.After(h.until) || (h.asked.Load() > 0 && rng.IntN(2) == 0) {
					h.placement.Release()
					continue
				}
				kept = append(kept, h)
			}
			open = kept
		}
		settle()
		for _, asked := range all {
			assert.Assert(t, asked.Load() <= 1, "seed %d: asked %d times", seed, asked.Load())
			total += asked.Load()
		}
	}
	assert.Assert(t, total > 0, "no placement was asked for")
}
