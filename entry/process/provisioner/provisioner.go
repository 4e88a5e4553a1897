// Package provisioner estimates how much capacity the more urgent requests of a service
// will use. It answers bursts of long, less urgent requests while short, urgent ones keep
// arriving: each engine that the former take is unavailable for longer than the latter
// can wait. It doesn't choose what is kept free, and doesn't order requests.
package provisioner

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// rateWindow is the time constant of the arrival rates. With a shorter one a few
	// arrivals close together would count as a burst; with a longer one, what is kept
	// would follow a burst too late, and be given back too late.
	rateWindow = time.Second
	// heldWeight is the weight of the latest request in the mean time in service.
	heldWeight = 0.05
	// deviations is by how many standard deviations the number of streams may exceed its
	// mean before capacity kept for it runs out: independent arrivals exceed it in one
	// moment of several hundred, and their rate is known from one rateWindow only.
	deviations = 3.0
)

// A Provisioner observes the requests of one service. It is not safe for concurrent use.
type Provisioner struct {
	flows map[int]*flow
}

// A flow is the requests of one priority.
type flow struct {
	// recent is the number of recent arrivals, where older ones weigh less, as of at.
	recent float64
	at     time.Time
	// held is the mean time in service; 0 until a request has ended.
	held time.Duration
}

// New returns a Provisioner that has observed nothing.
func New() *Provisioner { return &Provisioner{flows: make(map[int]*flow)} }

func (p *Provisioner) flow(now time.Time, priority int) *flow {
	f, ok := p.flows[priority]
	if !ok {
		f = &flow{at: now}
		p.flows[priority] = f
	}
	if elapsed := now.Sub(f.at); elapsed > 0 {
		f.recent *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		f.at = now
	}
	return f
}

// Began records that a request has got a place at an upstream. Requests that were refused
// don't count: their callers come back, and would be counted again.
func (p *Provisioner) Began(now time.Time, priority int) { p.flow(now, priority).recent++ }

// Ended records that a request was answered, and for how long it has held its place.
func (p *Provisioner) Ended(now time.Time, priority int, held time.Duration) {
	f := p.flow(now, priority)
	if f.held == 0 {
		f.held = held
		return
	}
	f.held += time.Duration(heldWeight * float64(held-f.held))
}

// Streams returns how many places the requests more urgent than a priority will hold at
// once, given how many of them wait now and the expected time in service of those of which
// none has ended yet.
func (p *Provisioner) Streams(now time.Time, priority, waiting int, usual time.Duration) int {
	mean := 0.0
	// Sums in a fixed order are the same each time.
	for _, q := range slices.Sorted(maps.Keys(p.flows)) {
		if q >= priority {
			break
		}
		f := p.flow(now, q)
		held := f.held
		if held == 0 {
			held = usual
		}
		mean += f.recent / rateWindow.Seconds() * held.Seconds()
	}
	return waiting + int(math.Round(mean+deviations*math.Sqrt(mean)))
}
