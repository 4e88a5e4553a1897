package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/switcher"
)

// serveBacklog keeps some requests of each priority queued at a full fleet, lets one slot
// become free at a time, and returns how many of each priority got one.
func serveBacklog(f *fleet, steps int) (served [3]int) {
	const backlog = 2
	waiting := [3]int{}
	var open []*scheduler.Grant
	submit := func(priority int) {
		waiting[priority]++
		f.Submit(f.ranked(priority, 1000, 100*time.Second), func(g *scheduler.Grant, _ *scheduler.Refusal) {
			waiting[priority]--
			served[priority]++
			open = append(open, g)
		})
	}
	fill := func() {
		for priority := range waiting {
			for waiting[priority] < backlog {
				submit(priority)
			}
		}
	}
	fill()
	served = [3]int{}
	for range steps {
		f.now = f.now.Add(10 * time.Millisecond)
		g := open[0]
		open = open[1:]
		g.Release()
		fill()
	}
	return served
}

// Urgent requests that never cease must not starve the others: each priority that waits
// gets its share of the slots that become free.
func TestEachWaitingPriorityIsServedToItsShare(t *testing.T) {
	const steps = 140
	for _, tt := range []struct {
		policy switcher.Policy
		want   [3]int
	}{
		{switcher.Policy{Headroom: switcher.Off}, [3]int{80, 40, 20}},
		{switcher.Policy{Headroom: switcher.Off, PriorityWeights: map[int]float64{0: 1, 1: 1, 2: 5}}, [3]int{20, 20, 100}},
		{switcher.Policy{Headroom: switcher.Off, Shares: switcher.Off}, [3]int{steps, 0, 0}},
	} {
		f := newFleet(2)
		f.policy = tt.policy
		served := serveBacklog(f, steps)
		for priority, want := range tt.want {
			// Shares hold in steps of one request of each priority.
			assert.Check(t, served[priority] >= want-3 && served[priority] <= want+3, "%v: %v", tt.policy, served)
		}
	}
}

// The share of a team follows its weight: with an even one, a team that had most of the
// service would go last.
func TestTeamWithALargerWeightKeepsItsPlace(t *testing.T) {
	for weight, first := range map[float64]string{1: "small", 20: "large"} {
		f := newFleet(1)
		f.policy.TeamWeights = map[string]float64{"large": weight}
		small, large := f.request(1000, 100*time.Second), f.request(1000, 100*time.Second)
		small.Team, large.Team = "small", "large"
		small.Requirements.Objective = small.Requirements.Objective.Add(time.Millisecond)
		g, _ := f.acquire(t, small)
		g.Release()
		for range 12 {
			g, _ := f.acquire(t, large)
			g.Release()
		}
		held, _ := f.acquire(t, large)
		_, _ = f.acquire(t, large)
		outs := map[string]chan outcome{"large": f.submit(large), "small": f.submit(small)}
		held.Release()
		assert.Equal(t, len(outs[first]), 1, "weight %g", weight)
	}
}
