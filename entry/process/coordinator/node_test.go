package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/coordinator"
)

func engine(name string) coordinator.Upstream {
	return coordinator.Upstream{Name: name, Address: name + ":1", Zone: "a", Slots: 16, Cold: 2, Memory: 100_000}
}

func TestAloneServesWithinASecond(t *testing.T) {
	w := newWorld(1, 1, 8, engine("e1"))
	w.run(time.Second)
	assert.Equal(t, w.failure, "")
	assert.Assert(t, w.free(w.upstreams[0]) > 0)
}

func TestFleetUsesAllSlots(t *testing.T) {
	for _, vms := range []int{1, 3, 8} {
		w := newWorld(1, vms, 8, engine("e1"), engine("e2"))
		w.run(20 * time.Second)
		w.load = 0
		w.run(3 * time.Second)
		assert.Equal(t, w.failure, "")
		for _, u := range w.upstreams {
			assert.Equal(t, w.free(u), u.Slots, "%s with %d VMs", u.Name, vms)
		}
	}
}
