package allocator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/tracker"
)

// VMs that have just started reach neither the leader nor each other, and each decides
// alone. Together they must not send an engine more than its memory: it would crash.
func TestVMsThatDecideAloneKeepAnEngineWithinItsMemory(t *testing.T) {
	const prompt = 17_000
	n := newNetwork(t, []string{"z", "z", "z", "z"}, 0)
	for _, v := range n.vms {
		v.tracker.Put(n.now, tracker.Upstream{ID: "u0", Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 16})
	}
	for i := range n.vms {
		for j := range n.vms {
			n.blocked[[2]int{i, j}] = i != j
		}
	}
	held := 0
	for _, v := range n.vms[2:] {
		var waiting []*allocator.Pending
		for range 16 {
			q := n.call()
			q.Requirements.Prompt = prompt
			q.Requirements.Objective = n.now.Add(9 * time.Second)
			waiting = append(waiting, v.Submit(q))
		}
		for range 30 {
			n.run(100 * time.Millisecond)
			for i, o := range waiting {
				if o == nil {
					continue
				}
				if p, _ := o.Poll(); p != nil {
					p.MarkStarted()
					waiting[i] = nil
					held += prompt
				}
			}
		}
	}
	assert.Assert(t, held >= prompt && held <= engine.KVCapacity, "the engine holds %d tokens", held)
}
