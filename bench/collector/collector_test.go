package collector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/caller"
	"github.com/heathervane/heathervane/bench/collector"
	"github.com/heathervane/heathervane/bench/driver"
	"github.com/heathervane/heathervane/bench/planner"
	"github.com/heathervane/heathervane/bench/starter"
	"github.com/heathervane/heathervane/library/checker"
)

func question(at time.Duration, prompt int, v driver.Verdict, first, end time.Duration) driver.Sample {
	return driver.Sample{
		Arrival: planner.Arrival{At: at, Load: "short", Kind: planner.Question, Prompt: prompt, Output: 10, Limit: time.Second},
		Verdict: v, First: first, End: end, Way: caller.Way{Upstream: "engine1"},
	}
}

func booking(key int, ran string) driver.Sample {
	return driver.Sample{
		Arrival: planner.Arrival{At: time.Second, Load: "swaps", Kind: planner.Booking, Key: key},
		Verdict: driver.Lost, Way: caller.Way{Ran: ran},
	}
}

func experiment() planner.Experiment {
	return planner.Experiment{
		Time: checker.Duration(10 * time.Second), Skip: checker.Duration(time.Second),
		Loads: []planner.Load{{Name: "short", Kind: planner.Question}},
	}
}

func TestCollectCountsWhatCallersGot(t *testing.T) {
	ms := time.Millisecond
	away := question(3*time.Second, 1000, driver.Refused, 0, 30*ms)
	away.Status, away.Code, away.Retry, away.Lag = 429, "busy", time.Second, 10*ms
	p := collector.Collect(experiment(), &driver.Record{Samples: []driver.Sample{
		question(0, 1000, driver.Whole, ms, ms), // skipped
		question(2*time.Second, 1000, driver.Whole, 40*ms, 80*ms),
		question(2*time.Second, 50_000, driver.Whole, 400*ms, 800*ms),
		question(4*time.Second, 1000, driver.Whole, 40*ms, 2*time.Second), // past its limit
		question(5*time.Second, 1000, driver.Cut, 40*ms, 80*ms),
		away,
	}})
	assert.Equal(t, p.Totals.Sent, 5)
	assert.Equal(t, p.Totals.Whole, 3)
	assert.Equal(t, p.Totals.Late, 1)
	assert.Equal(t, p.Totals.Cut, 1)
	assert.Equal(t, p.Totals.Goodput, float64(1000+10+50_000+10)/9)
	assert.DeepEqual(t, p.Refusals.Codes, map[string]int{"busy": 1})
	assert.Equal(t, p.Refusals.Hinted, 1.0)
	assert.Assert(t, p.Refusals.Answer.Max < 21 && p.Refusals.Answer.Max > 19, "%v", p.Refusals.Answer)
	bands := make(map[string]int)
	for _, g := range p.Groups {
		bands[g.Band] = g.First.Count
	}
	assert.DeepEqual(t, bands, map[string]int{"": 3, "to4k": 2, "to100k": 1})
}

func TestCollectSetsBookingsAgainstEffects(t *testing.T) {
	p := collector.Collect(experiment(), &driver.Record{
		Samples: []driver.Sample{
			booking(1, "no"),                    // truly not run
			booking(2, "no"),                    // untruly: it had an effect
			booking(3, "no"), booking(3, "yes"), // the second sending ran it
			booking(4, "unknown"), // run twice
		},
		Effects: map[int]int{1: 0, 2: 1, 3: 1, 4: 2},
	})
	assert.Equal(t, p.Bookings, 4)
	assert.Equal(t, p.Untrue, 1)
	assert.Equal(t, p.Doubled, 1)
}

func TestCollectCountsWorkInAZoneThatIsOut(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	event := func(what string, s float64) driver.Happened {
		return driver.Happened{Event: planner.Event{What: what, On: "a"}, Start: at(s), End: at(s)}
	}
	p := collector.Collect(experiment(), &driver.Record{
		Start:  start,
		Zones:  map[string]string{"engine1": "a", "engine2": "b"},
		Events: []driver.Happened{event(planner.ZoneOut, 2), event(planner.ZoneIn, 8)},
		Works: []driver.Work{
			{Upstream: "engine1", Start: at(4.9)}, // within three seconds
			{Upstream: "engine1", Start: at(5.1)},
			{Upstream: "engine2", Start: at(6)},
			{Upstream: "engine1", Start: at(8.1)},
		},
		Peaks: map[string]starter.Peak{
			"engine1": {Bears: 2, Peaks: map[string]int{"1": 2}},
			"engine2": {Bears: 2, Falls: 1, Peaks: map[string]int{"1": 1, "2": 3}},
		},
	})
	assert.Equal(t, p.Entered, 1)
	assert.DeepEqual(t, p.Cold, []collector.Overload{{Upstream: "engine2", Peak: 3, Bears: 2, Falls: 1}})
}
