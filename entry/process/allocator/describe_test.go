package allocator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/describer"
)

// Operators look for who crowds a group. The leader must show what waits and runs for
// other VMs, and not only its own requests.
func TestLeaderDescribesTheRequestsOfAllVMs(t *testing.T) {
	n := newNetwork(t, []string{"a", "a"}, 1)
	n.run(100 * time.Millisecond)
	n.acquire(1, time.Second)
	n.acquire(1, time.Second)
	c := n.call()
	c.Priority, c.Team = 2, "t"
	n.vms[1].Submit(c)
	n.run(30 * time.Millisecond)
	all := n.vms[0].Describe()
	assert.Equal(t, len(all), 1)
	g := all[0]
	assert.Assert(t, g.Leads)
	assert.Equal(t, g.Upstreams, 1)
	assert.Equal(t, g.FreeSlots, 0)
	assert.Equal(t, len(g.Waiting), 1)
	assert.Equal(t, g.Waiting[0].Team, "t")
	assert.Equal(t, g.Waiting[0].Priority, 2)
	assert.Equal(t, g.Waiting[0].Kind, describer.Short)
	assert.Equal(t, g.Running[0].Count, 2)
	for _, name := range []string{"claims", "slow upstreams", "upstreams lent", "upstreams borrowed"} {
		n, ok := g.Details[name]
		assert.Assert(t, ok && n == 0, name)
	}
}
