package projector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/projector"
)

var lane = projector.Lane{Service: "s", Priority: 1}

// begin lets a request of one unit begin every interval while others wait.
func begin(p *projector.Projector, now time.Time, interval, during time.Duration) time.Time {
	for end := now.Add(during); now.Before(end); now = now.Add(interval) {
		p.Observe(now, map[projector.Lane]bool{lane: true})
		p.Started(now, lane, 1)
	}
	return now
}

// The figures of the upstreams promise 100 requests a second, and more urgent ones leave
// ten of them. The estimate must follow what is observed, or the backlog would be taken
// for one of a tenth of a second.
func TestObservedRateReplacesTheCapacity(t *testing.T) {
	p, now := projector.New(), time.Unix(1_000_000, 0)
	d := projector.Demand{Ahead: 20, Own: 1, Capacity: 100}
	first := p.Project(now, lane, d)
	assert.Assert(t, first.Expected < 300*time.Millisecond, "%v", first.Expected)
	now = begin(p, now, 100*time.Millisecond, 6*time.Second)
	learnt := p.Project(now, lane, d)
	assert.Assert(t, learnt.Expected > 1400*time.Millisecond && learnt.Expected < 2300*time.Millisecond, "%v", learnt.Expected)
	p.Observe(now, nil)
	now = now.Add(time.Minute)
	p.Observe(now, nil)
	assert.Equal(t, p.Project(now, lane, d), first, "the lane was idle for long: nothing observed may count")
}

// Nothing begins at all while requests wait: the estimate must rise with every second.
func TestAStandstillIsNoticed(t *testing.T) {
	p, now := projector.New(), time.Unix(1_000_000, 0)
	d := projector.Demand{Ahead: 20, Own: 1, Capacity: 100}
	last := p.Project(now, lane, d).Earliest
	for range 3 {
		p.Observe(now, map[projector.Lane]bool{lane: true})
		now = now.Add(time.Second)
		next := p.Project(now, lane, d).Earliest
		assert.Assert(t, next > last, "%v after %v", next, last)
		last = next
	}
	assert.Assert(t, last > 2*time.Second, "%v", last)
}

// Requests that begin while none waits say nothing about how many could.
func TestLightLoadIsNotTakenForTheCapacity(t *testing.T) {
	p, now := projector.New(), time.Unix(1_000_000, 0)
	d := projector.Demand{Ahead: 20, Own: 1, Capacity: 100}
	before := p.Project(now, lane, d)
	for range 50 {
		p.Observe(now, nil)
		p.Started(now, lane, 1)
		now = now.Add(100 * time.Millisecond)
	}
	assert.Equal(t, p.Project(now, lane, d), before)
}

// Without capacity nothing can begin, whatever is ahead.
func TestNoCapacityIsProjectedAsTheLongestWait(t *testing.T) {
	for _, capacity := range []float64{0, -1, 1e-308} {
		for _, ahead := range []float64{0, 1} {
			got := projector.New().Project(time.Unix(1_000_000, 0), lane, projector.Demand{Ahead: ahead, Own: 1, Capacity: capacity})
			assert.Equal(t, got, projector.Projection{Earliest: time.Hour, Expected: time.Hour, Latest: time.Hour}, "capacity %v, ahead %v", capacity, ahead)
		}
	}
}

func TestProjectionsAreOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := projector.New(), time.Unix(1_000_000, 0)
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			p.Observe(now, map[projector.Lane]bool{lane: rapid.Bool().Draw(t, "waiting")})
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "starts") {
				p.Started(now, lane, rapid.Float64Range(0.1, 5000).Draw(t, "work"))
			}
		}
		d := projector.Demand{Own: rapid.Float64Range(0.1, 5000).Draw(t, "own"), Capacity: rapid.Float64Range(0, 1e6).Draw(t, "capacity")}
		last := projector.Projection{}
		for _, d.Ahead = range []float64{0, 1, 10, 1e3, 1e7} {
			got := p.Project(now, lane, d)
			if got.Earliest < last.Earliest || got.Expected < last.Expected || got.Latest < last.Latest {
				t.Fatalf("more work ahead gave %v after %v", got, last)
			}
			if got.Earliest < 0 || got.Earliest > got.Expected || got.Expected > got.Latest || got.Latest > time.Hour {
				t.Fatalf("%v", got)
			}
			last = got
		}
	})
}

func TestDecisions(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	limit := now.Add(2 * time.Second)
	p := func(earliest, latest time.Duration) projector.Projection {
		return projector.Projection{Earliest: earliest, Expected: (earliest + latest) / 2, Latest: latest}
	}
	for _, c := range []struct {
		projection projector.Projection
		settle     bool
		want       projector.Verdict
	}{
		{p(time.Second, 3*time.Second), false, projector.Wait},
		{p(3*time.Second, 4*time.Second), false, projector.Refuse},
		{p(time.Second, 3*time.Second), true, projector.Refuse},
		{p(0, 1100*time.Millisecond), true, projector.Refuse},
		{p(0, time.Second), true, projector.Accept},
	} {
		assert.Equal(t, projector.Decide(now, c.projection, c.settle, limit), c.want, "%v, settle %v", c.projection, c.settle)
	}
}
