package gauger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/gauger"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	rate = 1000.0
	name = "e1"
)

func TestSpeed(t *testing.T) {
	type step = func(*gauger.SpeedEstimator)
	// answer records a response of a thousand tokens, one second's work at
	// rate.
	answer := func(took time.Duration) step {
		return func(g *gauger.SpeedEstimator) { g.Observe(epoch, name, 1000, took, rate) }
	}
	waiting := func(since time.Duration) step {
		return func(g *gauger.SpeedEstimator) { g.ObservePending(epoch, name, 1000, since, rate) }
	}
	tests := []struct {
		name        string
		steps       []step
		least, most float64
	}{
		{"unknown", nil, 1, 1},
		{"at the advertised rate", []step{answer(time.Second)}, 1, 1},
		{"faster", []step{answer(time.Second / 2)}, 1, 1},
		{"a little late", []step{answer(1080 * time.Millisecond)}, 1, 1},
		{"one slow answer", []step{answer(10 * time.Second)}, 0.4, 0.5},
		{"two slow answers", []step{answer(10 * time.Second), answer(10 * time.Second)}, 0.1, 0.3},
		{"no answer yet, not long", []step{waiting(time.Second)}, 1, 1},
		{"no answer yet", []step{waiting(10 * time.Second)}, 0.1, 0.11},
		{"no answer at all", []step{waiting(time.Hour)}, 0.01, 0.01},
		{"waiting never raises", []step{waiting(10 * time.Second), waiting(time.Second)}, 0.1, 0.11},
		{"one good answer after", []step{waiting(10 * time.Second), answer(time.Second)}, 0.3, 0.4},
		{"three good answers after", []step{waiting(10 * time.Second), answer(time.Second), answer(time.Second), answer(time.Second)}, 0.5, 0.7},
		{"no advertised rate", []step{func(g *gauger.SpeedEstimator) { g.Observe(epoch, name, 1, time.Hour, 0) }}, 1, 1},
		{"forgotten", []step{waiting(time.Hour), func(g *gauger.SpeedEstimator) { g.Forget(name) }}, 1, 1},
		{"swept", []step{waiting(time.Hour), func(g *gauger.SpeedEstimator) { g.RemoveStale(epoch.Add(time.Hour)) }}, 1, 1},
		{"not swept yet", []step{waiting(time.Hour), func(g *gauger.SpeedEstimator) { g.RemoveStale(epoch.Add(time.Minute)) }}, 0.01, 0.01},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gauger.New()
			for _, s := range tt.steps {
				s(g)
			}
			got := g.Speed(epoch, name)
			assert.Assert(t, got >= tt.least && got <= tt.most, "speed %.3f", got)
		})
	}
}

// An engine did not respond for a long time and counts as too slow for every
// time limit, so that nothing is sent to it and nothing can be measured. Its
// speed must recover with time, or its VM refuses requests for good; but not so
// quickly that an engine that is still slow gets a burst of requests.
func TestUnmeasuredEngineRecovers(t *testing.T) {
	g := gauger.New()
	g.ObservePending(epoch, name, 1000, time.Hour, rate)
	assert.Assert(t, g.Speed(epoch.Add(5*time.Second), name) < 0.05)
	assert.Assert(t, g.Speed(epoch.Add(20*time.Second), name) > 0.1)
	assert.Equal(t, g.Speed(epoch.Add(time.Minute), name), 1.0)
	g.ObservePending(epoch.Add(time.Minute), name, 1000, 10*time.Second, rate)
	assert.Assert(t, g.Speed(epoch.Add(time.Minute), name) < 0.2, "speed after a new slow measurement")
}
