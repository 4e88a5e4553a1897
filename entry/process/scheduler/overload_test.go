package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// A play is a group's scheduler before its engines, and a clock.
type play struct {
	*fleet
	pending []*arrival
	running []*arrival
}

// An arrival is one request, and what became of it.
type arrival struct {
	at      time.Time
	out     chan outcome
	outcome outcome
	ends    time.Time
}

// step lets a moment pass: what has run for so long ends, and places that are
// free are given.
func (p *play) step(passed, lasts time.Duration) {
	p.now = p.now.Add(passed)
	var still []*arrival
	for _, a := range p.running {
		if p.now.Before(a.ends) {
			still = append(still, a)
			continue
		}
		a.outcome.grant.Release()
	}
	p.running = still
	p.Dispatch()
	p.collect(lasts)
}

// collect takes the answers that have come.
func (p *play) collect(lasts time.Duration) {
	var still []*arrival
	for _, a := range p.pending {
		select {
		case a.outcome = <-a.out:
			if a.outcome.grant != nil {
				a.outcome.grant.MarkStarted()
				a.ends = p.now.Add(lasts)
				p.running = append(p.running, a)
			}
		default:
			still = append(still, a)
		}
	}
	p.pending = still
}

// In a burst slightly more short prompts come than the engines bear. Were each
// slot given to whoever has waited longest, the wait would grow until every
// answer is late; so most are in time, and few are late.
func TestOverloadMakesFewLate(t *testing.T) {
	const (
		engines = 16
		// slots are those of an engine of newPlay.
		slots     = 2
		lasts     = 2 * time.Second
		rate      = 1.06 * engines * slots / 2 // requests a second; what fits, and a little more
		step      = 5 * time.Millisecond
		burst     = 15 * time.Second
		objective = 300 * time.Millisecond
		// first is about what an engine takes to the first event.
		first = 130 * time.Millisecond
	)
	p := &play{fleet: newFleet(engines)}
	draw := rand.New(rand.NewPCG(7, 7))
	service := newFleet(0).call(5000, time.Second).Service
	var all []*arrival
	for passed := time.Duration(0); passed < burst; passed += step {
		p.step(step, lasts)
		if draw.Float64() > rate*step.Seconds() {
			continue
		}
		a := &arrival{at: p.now}
		c := scheduler.Request{Service: service, Requirements: placer.Request{
			Prompt: 5000, Output: 3400, MaxPause: 250, Arrived: p.now, Objective: p.now.Add(objective),
			CallerTimeout: p.now.Add(2 * time.Second), Deadline: p.now.Add(10 * time.Second),
		}}
		a.out = p.ask(c)
		all = append(all, a)
		p.pending = append(p.pending, a)
	}
	inTime := 0
	for _, a := range all {
		if !a.ends.IsZero() && a.ends.Sub(a.at) < lasts+objective-first {
			inTime++
		}
	}
	// The slots are free at first, and then each once in so long.
	fit := int(float64(engines*slots) * float64(burst) / float64(lasts))
	assert.Assert(t, len(all) > fit, "no overload")
	assert.Assert(t, inTime*100 >= 85*fit, "%d of %d began in time, %d fit", inTime, len(all), fit)
}
