package scheduler

import (
	"math/bits"
	"time"

	"github.com/heathervane/heathervane/entry/request/placer"
)

const (
	// comeBack is when a refused request may come back: a burst of prompts is
	// read within about this time.
	comeBack = 500 * time.Millisecond
	// usual is the streams and their context that an engine is taken to have
	// when a request's latest start is worked out.
	usualStreams, usualContext = 6, 60_000
	// margin is kept between the latest start and the objective, for the ways
	// there and back and for what estimates leave out.
	margin = 60 * time.Millisecond
	// rush is how long before a request must be given up it takes any place
	// that there is.
	rush = 2 * time.Second
	// sizeUnit is the reading time in milliseconds of the shortest prompts that
	// are told apart by length.
	sizeUnit = 100.0
	// plainWork is the time assumed for a plain service's answer, as far as
	// giving up is concerned.
	plainWork = 20 * time.Millisecond
)

// times are the moments that matter while a request waits.
type times struct {
	// start is the latest start with which the first event is in time.
	start time.Time
	// last is when the request can no longer be done by its deadline, and takes
	// the time that it needs.
	last  time.Time
	takes time.Duration
	// leaves is when the caller can no longer have its first event before it
	// leaves; zero where that is not known. Held on, the request would be
	// answered to nobody; refused now, it can still come back.
	leaves time.Time
	long   bool
	// size is the binary logarithm of the prompt's reading time.
	size int
}

// hopeless says that the request had better be refused now, where the VM stops
// at a time, unless that is zero.
func (t times) hopeless(now, stop time.Time) bool {
	switch {
	case !now.Before(t.last):
		return true
	case !stop.IsZero() && !now.Before(stop.Add(-t.takes)):
		return true
	}
	return !t.leaves.IsZero() && !now.Before(t.leaves)
}

// late says that the first event can no longer be in time. A request whose latest
// start has just passed counts as late at once: in a burst that is a little more
// than the engines bear, one that might still make it stands before others that
// would, and each is served when it is a moment too late for it.
func (t times) late(now time.Time) bool { return now.After(t.start) }

func timesOf(c Request) times {
	e := c.Service.Engine
	if e == nil {
		return times{start: c.Requirements.Objective, last: c.Requirements.Deadline.Add(-plainWork), takes: plainWork}
	}
	long := !placer.IsShort(e, c.Requirements.Prompt)
	read := placer.PrefillTime(e, c.Requirements.Prompt, 1)
	if long {
		read = placer.PrefillTime(e, c.Requirements.Prompt, placer.MaxHelpers+1)
	}
	pass := placer.DecodePassTime(e, usualStreams, usualContext)
	first := milliseconds(1.5*pass + read)
	// Whether an answer is as long as it may be is not known beforehand: refused
	// for that, most requests would lose an answer that they could have had.
	answer := milliseconds(pass * placer.TypicalOutputShare * float64(c.Requirements.Output) / float64(max(1, e.StepsPerPass)))
	leaves := time.Time{}
	if !c.Requirements.CallerTimeout.IsZero() {
		leaves = c.Requirements.CallerTimeout.Add(-first - margin)
	}
	return times{
		start:  c.Requirements.Objective.Add(-first - margin),
		last:   c.Requirements.Deadline.Add(-first - answer),
		leaves: leaves,
		takes:  first + answer,
		long:   long,
		size:   bits.Len(uint(placer.PrefillTime(e, c.Requirements.Prompt, 1) / sizeUnit)),
	}
}

// urgency says what the request may cost others now. One that is late already
// waits for a place that costs nobody anything, until it must begin.
func (t times) urgency(now time.Time) placer.Urgency {
	switch {
	case t.last.Sub(now) < rush:
		return placer.LastChance
	case t.late(now):
		return placer.Late
	}
	return placer.OnTime
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
