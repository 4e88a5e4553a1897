package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/switcher"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// ranked returns a request of a service whose requests have three priorities.
func (f *fleet) ranked(priority, prompt int, limit time.Duration) scheduler.Request {
	c := f.request(prompt, limit)
	c.Service.Priorities = []int{0, 1, 2}
	c.Priority = priority
	return c
}

// playUrgent lets urgent requests come at a steady rate and hold their slots for a second.
func (f *fleet) playUrgent(t *testing.T, perSecond int, span time.Duration) {
	t.Helper()
	var open []*scheduler.Grant
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(time.Second / time.Duration(perSecond)) {
		if len(open) == perSecond {
			open[0].Release()
			open = open[1:]
		}
		g, refusal := f.acquire(t, f.ranked(0, 1000, 10*time.Second))
		assert.Assert(t, refusal == nil)
		g.MarkStarted()
		open = append(open, g)
	}
	for _, g := range open {
		g.Release()
	}
}

// fill submits less urgent requests until none is placed, and returns how many were.
func (f *fleet) fill(priority int) (placed int) {
	for ; ; placed++ {
		pending, out := f.submitPending(f.ranked(priority, 1000, 10*time.Second))
		if len(out) == 0 {
			pending.Cancel()
			return placed
		}
	}
}

// Less urgent requests that come in a burst must leave the slots that the more urgent ones
// use from moment to moment, and get them back when these stay away.
func TestSlotsAreKeptForUrgentRequestsThatKeepComing(t *testing.T) {
	const engines, slots = 8, 2
	for _, tt := range []struct {
		mode switcher.Mode
		// idle is the time since the last urgent request.
		idle     time.Duration
		priority int
		least    int
		most     int
	}{
		{switcher.Auto, 0, 2, 4, engines*slots - 6},
		{switcher.Auto, 0, 1, 4, engines*slots - 6},
		{switcher.Auto, 0, 0, engines * slots, engines * slots},
		{switcher.Auto, 20 * time.Second, 2, engines * slots, engines * slots},
		{switcher.Off, 0, 2, engines * slots, engines * slots},
	} {
		f := newFleet(engines)
		f.policy.Headroom = tt.mode
		f.playUrgent(t, 4, 3*time.Second)
		f.now = f.now.Add(tt.idle)
		got := f.fill(tt.priority)
		assert.Check(t, got >= tt.least && got <= tt.most, "mode %d, idle %v, priority %d: %d slots", tt.mode, tt.idle, tt.priority, got)
	}
}

// However many urgent requests come, the least urgent must see upstreams to their share.
func TestLeastUrgentSeesUpstreamsToItsShare(t *testing.T) {
	f := newFleet(8)
	f.policy.PriorityWeights = map[int]float64{0: 2, 1: 1, 2: 1}
	f.playUrgent(t, 15, 3*time.Second)
	const quarter = 2 * 2
	assert.Equal(t, f.fill(2), quarter)
}

// A deployment whose requests all have the same priority must be served as without the
// features for priorities.
func TestOnePriorityIsDecidedAsWithoutPriorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// With several engines chance decides between equal ones.
		fleets := []*fleet{newFleet(1), newFleet(1)}
		fleets[1].policy = switcher.Policy{Headroom: switcher.Off, Shares: switcher.Off, Preemption: switcher.Off}
		priorities := rapid.SampledFrom([][]int{nil, {3}}).Draw(t, "priorities")
		open := make([][]*scheduler.Grant, len(fleets))
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			elapsed := time.Duration(rapid.IntRange(0, 400).Draw(t, "elapsed")) * time.Millisecond
			prompt := rapid.IntRange(1, 200_000).Draw(t, "prompt")
			limit := time.Duration(rapid.IntRange(1, 20).Draw(t, "limit")) * time.Second
			ends := rapid.Bool().Draw(t, "ends")
			var outcomes []string
			for i, f := range fleets {
				f.now = f.now.Add(elapsed)
				if ends && len(open[i]) > 0 {
					g := open[i][0]
					open[i] = open[i][1:]
					g.Release()
				}
				c := f.request(prompt, limit)
				c.Service = &matcher.Service{Name: "s", Engine: engine, Priorities: priorities}
				if len(priorities) > 0 {
					c.Priority = priorities[0]
				}
				c.Preemptible, c.Withdraw = true, func() { t.Fatalf("step %d: a request was to give way to an equal one", step) }
				result := ""
				f.Submit(c, func(g *scheduler.Grant, r *scheduler.Refusal) {
					if r != nil {
						result = r.Code
						return
					}
					result = g.Workload.Main + strconv.Itoa(len(g.Workload.Helpers))
					open[i] = append(open[i], g)
				})
				f.Dispatch()
				outcomes = append(outcomes, result+" "+strconv.Itoa(len(open[i]))+" "+strconv.Itoa(f.QueueLength()))
			}
			if outcomes[0] != outcomes[1] {
				t.Fatalf("step %d: %q with and %q without", step, outcomes[0], outcomes[1])
			}
		}
	})
}
