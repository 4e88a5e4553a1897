package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// A simulation runs a group's scheduler and its engines on a simulated clock.
type simulation struct {
	*fleet
	pending []*arrival
	running []*arrival
}

// An arrival is one request and its outcome.
type arrival struct {
	arrivedAt time.Time
	out       chan outcome
	outcome   outcome
	endsAt    time.Time
}

// advance moves the clock: requests that have run for duration end, and queued
// ones take the freed slots.
func (s *simulation) advance(elapsed, duration time.Duration) {
	s.now = s.now.Add(elapsed)
	var remaining []*arrival
	for _, a := range s.running {
		if s.now.Before(a.endsAt) {
			remaining = append(remaining, a)
			continue
		}
		a.outcome.grant.Release()
	}
	s.running = remaining
	s.Dispatch()
	s.collect(duration)
}

// collect starts the requests that were placed and drops those that were refused.
func (s *simulation) collect(duration time.Duration) {
	var remaining []*arrival
	for _, a := range s.pending {
		select {
		case a.outcome = <-a.out:
			if a.outcome.grant != nil {
				a.outcome.grant.MarkStarted()
				a.endsAt = s.now.Add(duration)
				s.running = append(s.running, a)
			}
		default:
			remaining = append(remaining, a)
		}
	}
	s.pending = remaining
}

// In a burst slightly more short prompts arrive than the engines can handle. If
// each slot went to the request that has waited longest, the wait would grow until
// every answer is late. Most must be in time, and few late.
func TestMostRequestsStartInTimeUnderSlightOverload(t *testing.T) {
	const (
		engines = 16
		// slots is the number of slots per engine of newFleet.
		slots     = 2
		duration  = 2 * time.Second
		rate      = 1.06 * engines * slots / 2 // requests per second; 6% above capacity
		step      = 5 * time.Millisecond
		burst     = 15 * time.Second
		objective = 300 * time.Millisecond
		// firstEvent is roughly the time that an engine takes to the first event.
		firstEvent = 130 * time.Millisecond
	)
	s := &simulation{fleet: newFleet(engines)}
	random := rand.New(rand.NewPCG(7, 7))
	service := newFleet(0).request(5000, time.Second).Service
	var all []*arrival
	for elapsed := time.Duration(0); elapsed < burst; elapsed += step {
		s.advance(step, duration)
		if random.Float64() > rate*step.Seconds() {
			continue
		}
		a := &arrival{arrivedAt: s.now}
		c := scheduler.Request{Service: service, Requirements: placer.Request{
			Prompt: 5000, Output: 3400, MaxPause: 250, Arrived: s.now, Objective: s.now.Add(objective),
			CallerTimeout: s.now.Add(2 * time.Second), Deadline: s.now.Add(10 * time.Second),
		}}
		a.out = s.submit(c)
		all = append(all, a)
		s.pending = append(s.pending, a)
	}
	inTime := 0
	for _, a := range all {
		if !a.endsAt.IsZero() && a.endsAt.Sub(a.arrivedAt) < duration+objective-firstEvent {
			inTime++
		}
	}
	// All slots are free at first, and each becomes free once per duration.
	capacity := int(float64(engines*slots) * float64(burst) / float64(duration))
	assert.Assert(t, len(all) > capacity, "no overload")
	assert.Assert(t, inTime*100 >= 85*capacity, "%d of %d requests started in time, capacity %d", inTime, len(all), capacity)
}
