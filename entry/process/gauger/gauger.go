// Package gauger measures how fast upstreams are against what they promise. It
// answers engines that slow down and keep reporting that all is well. Without
// it such an engine looks idle, because few requests end there, and draws ever
// more of them; and when it recovers, all VMs would return to it at once.
//
// The measure falls quickly and rises slowly: with answers, and where none can
// come, because nothing is sent to an upstream that counts as slow, with time.
package gauger

import (
	"math"
	"time"
)

const (
	// least is the lowest speed: lower ones cannot be told from standing.
	least = 0.01
	// fall is the weight of a new measure below the present speed. Two slow
	// answers take an engine from 1 to 0.3.
	fall = 0.6
	// rise is the same above it. An engine that has recovered from a tenth is
	// at half of its speed after three answers and at 0.9 after eight.
	rise = 0.25
	// grace is how long beyond what was promised an answer may take before its
	// absence says anything: lag, scheduling and batching take that much.
	grace = 100 * time.Millisecond
	// renewal is the time without a measure in which a low speed doubles. An
	// upstream taken for too slow for every limit gets nothing, and so would
	// never be measured again: its VM would refuse all questions for as long as
	// it lives. Five seconds bring the lowest speed back to 1 in 33 s, and
	// give an engine that still is ten times slower a request every few seconds.
	renewal = 5 * time.Second
	// memory is how long a speed is kept for an upstream that gives no
	// further measure, after which Sweep forgets it.
	memory = 10 * time.Minute
)

// A SpeedEstimator keeps the speeds of a VM's upstreams. It is not safe for use by
// several goroutines.
type SpeedEstimator struct {
	speeds map[string]speed
}

type speed struct {
	value float64
	at    time.Time
}

// New returns a Gauger that knows no upstream.
func New() *SpeedEstimator {
	return &SpeedEstimator{speeds: map[string]speed{}}
}

// Observe takes an answer: the upstream took that long over so many tokens,
// and had promised that many a second. For a first token, count all the prompt
// tokens that stood before it in the upstream; for later tokens, those of one
// stream against the decode rate.
func (g *SpeedEstimator) Observe(now time.Time, name string, tokens int, took time.Duration, promised float64) {
	if tokens <= 0 || promised <= 0 {
		return
	}
	value := g.Speed(now, name)
	ratio := ratio(tokens, took, promised)
	weight := rise
	if ratio < value {
		weight = fall
	}
	g.speeds[name] = speed{value: value + weight*(ratio-value), at: now}
}

// ObservePending takes an answer that has not come: of the tokens asked for nothing
// came for that long. An engine that answers nothing would otherwise count as
// fast until its first answer.
func (g *SpeedEstimator) ObservePending(now time.Time, name string, tokens int, since time.Duration, promised float64) {
	if tokens <= 0 || promised <= 0 {
		return
	}
	if ratio := ratio(tokens, since, promised); ratio < g.Speed(now, name) {
		g.speeds[name] = speed{value: ratio, at: now}
	}
}

// Speed is the speed at a time by the last measure: 1 as promised, 0.1 ten times
// slower.
func (g *SpeedEstimator) Speed(now time.Time, name string) float64 {
	s, ok := g.speeds[name]
	if !ok {
		return 1
	}
	doubled := max(0, now.Sub(s.at).Seconds()) / renewal.Seconds()
	return min(1, s.value*math.Exp2(doubled))
}

// Forget drops an upstream that has gone.
func (g *SpeedEstimator) Forget(name string) { delete(g.speeds, name) }

// RemoveStale drops what was last measured too long ago to say anything.
func (g *SpeedEstimator) RemoveStale(now time.Time) {
	for name, s := range g.speeds {
		if now.Sub(s.at) > memory {
			delete(g.speeds, name)
		}
	}
}

// ratio is the speed that one measure shows, from least to 1.
func ratio(tokens int, took time.Duration, promised float64) float64 {
	expected := float64(tokens) / promised
	over := took.Seconds() - grace.Seconds()
	if over <= expected {
		return 1
	}
	return max(least, expected/over)
}
