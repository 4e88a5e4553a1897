// Package gauger estimates the speed of upstreams relative to the rate they
// advertise. It detects engines that slow down while still reporting that they
// are healthy. Without it, such an engine would look idle, because few requests
// finish there, and would attract ever more of them; and once it recovered, all
// VMs would return to it at once.
//
// The estimate falls quickly and recovers slowly: with each response and, for
// an upstream that counts as slow and so gets no requests, with time.
package gauger

import (
	"math"
	"time"
)

const (
	// minSpeed is the lowest speed: lower ones cannot be distinguished from
	// an engine that has stopped.
	minSpeed = 0.01
	// slowerWeight is the weight of a new measurement below the current speed.
	// Two slow responses take an engine from 1 to 0.3.
	slowerWeight = 0.6
	// fasterWeight is the weight of a new measurement above the current speed.
	// An engine that recovers from a tenth of its speed is at half after three
	// responses and at 0.9 after eight.
	fasterWeight = 0.25
	// grace is how far a response may exceed its expected time before the delay
	// lowers the speed: network latency, scheduling and batching take that
	// long.
	grace = 100 * time.Millisecond
	// recoveryDoubling is the time without a measurement in which a low speed
	// doubles. An upstream that counts as too slow for every time limit gets no
	// requests and so would never be measured again: its VM would refuse all
	// requests for as long as it runs. At 5 s the lowest speed is back at 1
	// after 33 s, and an engine that is still ten times slower gets a request
	// every few seconds.
	recoveryDoubling = 5 * time.Second
	// retention is how long the speed of an upstream without new measurements
	// is kept before RemoveStale drops it.
	retention = 10 * time.Minute
)

// A SpeedEstimator holds the estimated speeds of a VM's upstreams. It is not
// safe for concurrent use.
type SpeedEstimator struct {
	speeds map[string]measurement
}

type measurement struct {
	speed float64
	at    time.Time
}

// New returns an empty SpeedEstimator.
func New() *SpeedEstimator {
	return &SpeedEstimator{speeds: map[string]measurement{}}
}

// Observe records a response: the upstream took the elapsed time for the given
// number of tokens, and advertises so many tokens per second. For a first
// token, tokens counts all prompt tokens that were queued before it at the
// upstream; for later tokens, it counts those of one stream, and advertised is
// the decode rate.
func (g *SpeedEstimator) Observe(now time.Time, name string, tokens int, elapsed time.Duration, advertised float64) {
	if tokens <= 0 || advertised <= 0 {
		return
	}
	current := g.Speed(now, name)
	measured := measuredSpeed(tokens, elapsed, advertised)
	weight := fasterWeight
	if measured < current {
		weight = slowerWeight
	}
	g.speeds[name] = measurement{speed: current + weight*(measured-current), at: now}
}

// ObservePending records a response that has not arrived after the elapsed
// time. Without it, an engine that does not respond would count as fast until
// its first response.
func (g *SpeedEstimator) ObservePending(now time.Time, name string, tokens int, elapsed time.Duration, advertised float64) {
	if tokens <= 0 || advertised <= 0 {
		return
	}
	if measured := measuredSpeed(tokens, elapsed, advertised); measured < g.Speed(now, name) {
		g.speeds[name] = measurement{speed: measured, at: now}
	}
}

// Speed returns the estimated speed of an upstream at the given time, relative
// to its advertised rate: 0.1 is ten times slower. An unknown upstream has
// speed 1.
func (g *SpeedEstimator) Speed(now time.Time, name string) float64 {
	s, ok := g.speeds[name]
	if !ok {
		return 1
	}
	doublings := max(0, now.Sub(s.at).Seconds()) / recoveryDoubling.Seconds()
	return min(1, s.speed*math.Exp2(doublings))
}

// Forget removes an upstream that no longer exists.
func (g *SpeedEstimator) Forget(name string) { delete(g.speeds, name) }

// RemoveStale removes the speeds whose last measurement is older than
// retention.
func (g *SpeedEstimator) RemoveStale(now time.Time) {
	for name, s := range g.speeds {
		if now.Sub(s.at) > retention {
			delete(g.speeds, name)
		}
	}
}

// measuredSpeed returns the speed that one measurement shows, from minSpeed to
// 1.
func measuredSpeed(tokens int, elapsed time.Duration, advertised float64) float64 {
	expected := float64(tokens) / advertised
	adjusted := elapsed.Seconds() - grace.Seconds()
	if adjusted <= expected {
		return 1
	}
	return max(minSpeed, expected/adjusted)
}
