// Package projector estimates when a queued request could begin, for load that exceeds
// what the upstreams can serve: without an estimate, a request waits until its caller
// is about to disconnect and is refused then, although the backlog was known when it
// arrived.
//
// Requests that compete for the same capacity form a lane. The estimate is the work
// ahead in the lane divided by the rate at which the lane's work has recently begun
// while requests waited. Until enough has been observed, the capacity of the upstreams
// takes the place of that rate. An interval around the estimate says how far it may be
// wrong, so that doubt never refuses a request on arrival.
package projector

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which observations are forgotten.
	memory = 3 * time.Second
	// priorStarts is how many observed starts the capacity of the upstreams counts
	// for.
	priorStarts = 5.0
	// earlyDeviations and lateDeviations are how far the interval extends in standard
	// deviations. It is wider where a place is promised than where one is ruled out.
	earlyDeviations, lateDeviations = 2.0, 3.0
	// minRateShare is the smallest fraction of the estimated rate that is assumed.
	minRateShare = 0.2
	// promiseMargin is the multiple of the latest time that must be left when a place is
	// promised: what arrives meanwhile may go first.
	promiseMargin = 2
	// longest caps projected waits.
	longest = time.Hour
)

// A Lane identifies requests that compete for the same capacity.
type Lane struct {
	Service  string
	Priority int
	// Size is the class of the length of prompts that several upstreams read in parts; 0
	// for other requests. A prompt that waits for a large part of the upstreams does not
	// hold back a much shorter one.
	Size int
	// Late is set for requests of size 0 whose objective can no longer be met; they begin
	// only when more capacity is free.
	Late bool
}

// A Demand describes a request, and what is ahead of it. Work is in any unit, the same
// for all requests of a lane.
type Demand struct {
	// Ahead is the work of the requests ahead, and Own that of the request itself.
	Ahead, Own float64
	// Expected is work that may arrive and go first.
	Expected float64
	// Capacity is the work that the upstreams could begin per second if they served
	// nothing else.
	Capacity float64
}

// A Projection says after what time a request could begin.
type Projection struct {
	Earliest, Expected, Latest time.Duration
}

// A Projector holds what was observed of each lane. It is not safe for concurrent use.
type Projector struct {
	lanes map[Lane]*observation
}

// An observation sums up the recent past of a lane; older parts weigh less.
type observation struct {
	at      time.Time
	waiting bool
	// starts and work count the requests that began, and busy is the time in seconds,
	// while requests of the lane waited.
	starts, work, busy float64
}

// New returns a Projector that has observed nothing.
func New() *Projector { return &Projector{lanes: make(map[Lane]*observation)} }

// Observe records the lanes in which requests wait from now on.
func (p *Projector) Observe(now time.Time, waiting map[Lane]bool) {
	for l, o := range p.lanes {
		o.advance(now)
		o.waiting = waiting[l]
		if !o.waiting && o.busy < 1e-3 {
			delete(p.lanes, l)
		}
	}
	for l, waits := range waiting {
		if waits && p.lanes[l] == nil {
			p.lanes[l] = &observation{at: now, waiting: true}
		}
	}
}

// Started records that a request of a lane began. It tells nothing about the capacity
// while no request of the lane waited.
func (p *Projector) Started(now time.Time, l Lane, work float64) {
	if o := p.lanes[l]; o != nil && o.waiting {
		o.advance(now)
		o.starts++
		o.work += work
	}
}

func (o *observation) advance(now time.Time) {
	elapsed := now.Sub(o.at).Seconds()
	if elapsed <= 0 {
		return
	}
	o.at = now
	kept := math.Exp(-elapsed / memory.Seconds())
	o.starts *= kept
	o.work *= kept
	o.busy *= kept
	if o.waiting {
		o.busy += memory.Seconds() * (1 - kept)
	}
}

// Project estimates when a request could begin.
func (p *Projector) Project(now time.Time, l Lane, d Demand) Projection {
	o := observation{at: now}
	if seen := p.lanes[l]; seen != nil {
		seen.advance(now)
		o = *seen
	}
	unit := d.Own
	if o.starts >= 1 {
		unit = o.work / o.starts
	}
	prior := priorStarts * unit
	if d.Capacity <= 0 || prior <= 0 {
		return Projection{Latest: longest, Expected: longest, Earliest: longest}
	}
	rate := (o.work + prior) / (o.busy + prior/d.Capacity)
	deviation := 1 / math.Sqrt(o.starts+priorStarts)
	return Projection{
		Earliest: seconds(d.Ahead / (rate * (1 + earlyDeviations*deviation))),
		Expected: seconds((d.Ahead + d.Expected + d.Own) / rate),
		Latest:   seconds((d.Ahead + d.Expected + d.Own) / (rate * max(minRateShare, 1-lateDeviations*deviation))),
	}
}

// seconds converts s, which is infinite or not a number if there is no capacity.
func seconds(s float64) time.Duration {
	if s < longest.Seconds() {
		return time.Duration(s * float64(time.Second))
	}
	return longest
}

// A Verdict is what becomes of a queued request.
type Verdict int

const (
	// Wait leaves the request in the queue.
	Wait Verdict = iota
	// Accept leaves it in the queue although it will be late; from now on it is not
	// refused for what is ahead of it.
	Accept
	// Refuse refuses it now.
	Refuse
)

// Decide judges a request that could not begin now. It is useful to begin it until
// limit. It is refused if it could not even begin by limit at the earliest. With settle
// set, as when its objective can no longer be met, it is refused or accepted for good: it
// would otherwise wait for a place that it may never get.
func Decide(now time.Time, p Projection, settle bool, limit time.Time) Verdict {
	switch {
	case now.Add(p.Earliest).After(limit):
		return Refuse
	case !settle:
		return Wait
	case now.Add(promiseMargin * p.Latest).After(limit):
		return Refuse
	}
	return Accept
}
