// Package splitter decides how many engines are set apart for long prompts. It
// answers a mix of short and long prompts that changes over the day. Without
// it long prompts stand on every engine, and a short question meets one
// wherever it goes; with a fixed number, engines idle on one side while the
// other side is full.
//
// The number follows the offered tokens, smoothed, with hysteresis: an engine
// that changes sides must first finish what it runs, so that a number that
// swings costs more than one that is a little off.
package splitter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Config sets a Splitter. A zero field takes the default named with it.
type Config struct {
	// SmoothingTime is the time constant over which the load is averaged; a minute by
	// default. Long prompts are few and their lengths differ tenfold: over
	// five seconds, of which each sees one or two, the number swung by half,
	// and each swing cost more than it gained.
	SmoothingTime time.Duration
	// ShortTokenWeight is how many times the short prompts' tokens count; 1.5 by default.
	// The short ones' engines are so two thirds as busy as those of the long
	// ones, whose callers notice a wait less.
	ShortTokenWeight float64
	// GrowThreshold is how many engines too few there must be before one is added, and
	// ShrinkThreshold how many too many before one is given back; 0.6 and 1.25 by
	// default: in doubt an engine stays with the short ones. The band of
	// nearly two engines is wider than one step, so that a step never calls
	// for its own reversal.
	GrowThreshold, ShrinkThreshold float64
	// GrowDelay and ShrinkDelay are how long that must have lasted; 5 s and a minute by
	// default. A long prompt holds an engine for tens of seconds: giving one
	// back sooner would mean to take it again.
	GrowDelay, ShrinkDelay time.Duration
}

// none is the part of an engine below which none is set apart any more.
const none = 0.01

// first is the part of an engine from which one is set apart.
const first = 0.1

// enough is the part of the time constant after which averages are trusted.
const enough = 0.5

// A Load is what is offered.
type Load struct {
	// ShortTokens and LongTokens are prompt tokens offered per second.
	ShortTokens, LongTokens float64
	// Engines is how many there are.
	Engines int
}

// A Splitter keeps the number for one model. It is not safe for use by several
// goroutines.
type Splitter struct {
	conf Config
	last time.Time
	// short and long are averages that begin at 0, and seen is how much of the
	// time constant is behind them, from 0 to 1.
	short, long, seen float64

	n int
	// above and below are since when there were too few or too many.
	above, below time.Time
}

// New returns a Splitter that sets no engine apart yet.
func New(c Config) *Splitter {
	c.SmoothingTime = cmp.Or(c.SmoothingTime, time.Minute)
	c.ShortTokenWeight = cmp.Or(c.ShortTokenWeight, 1.5)
	c.GrowThreshold = cmp.Or(c.GrowThreshold, 0.6)
	c.ShrinkThreshold = cmp.Or(c.ShrinkThreshold, 1.25)
	c.GrowDelay = cmp.Or(c.GrowDelay, 5*time.Second)
	c.ShrinkDelay = cmp.Or(c.ShrinkDelay, time.Minute)
	return &Splitter{conf: c}
}

// Update takes the load as of now and gives how many engines are set apart.
func (s *Splitter) Update(now time.Time, l Load) int {
	s.average(now, l)
	most := max(0, l.Engines-1)
	want := s.want(l.Engines)
	s.above = since(s.above, now, want > s.threshold())
	s.below = since(s.below, now, want < float64(s.n)-s.conf.ShrinkThreshold || (s.n > 0 && want < none))
	switch {
	case !s.above.IsZero() && now.Sub(s.above) >= s.conf.GrowDelay:
		s.n += step(want - float64(s.n))
		s.above = time.Time{}
	case !s.below.IsZero() && now.Sub(s.below) >= s.conf.ShrinkDelay:
		s.n -= step(float64(s.n) - want)
		s.below = time.Time{}
	}
	s.n = min(s.n, most)
	return s.n
}

// threshold is how many engines must be wanted for one to be added. The first
// one comes early: until then long prompts are read by the short ones' engines.
func (s *Splitter) threshold() float64 {
	if s.n == 0 {
		return first
	}
	return float64(s.n) + s.conf.GrowThreshold
}

// want is the long prompts' part of the engines, not rounded. At the start it
// is held down: one long prompt in the first seconds says little, and engines
// taken from the short ones for it would be missed.
func (s *Splitter) want(engines int) float64 {
	sum := s.conf.ShortTokenWeight*s.short + s.long
	if sum <= 0 {
		return 0
	}
	return min(1, s.seen/enough) * float64(engines) * s.long / sum
}

// average smooths the load with the time constant.
func (s *Splitter) average(now time.Time, l Load) {
	if !s.last.IsZero() {
		weight := 1 - math.Exp(-now.Sub(s.last).Seconds()/s.conf.SmoothingTime.Seconds())
		s.short += weight * (l.ShortTokens - s.short)
		s.long += weight * (l.LongTokens - s.long)
		s.seen += weight * (1 - s.seen)
	}
	s.last = now
}

// step moves half of the way and at least one engine.
func step(gap float64) int {
	return max(1, int(gap/2))
}

func since(was, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case was.IsZero():
		return now
	}
	return was
}

// LongPromptEngines chooses which n engines are set apart, by a hash of their names alone:
// every VM that has the same n chooses the same ones, and another n or another
// engine moves no more of them than it must.
func LongPromptEngines(names []string, n int) map[string]bool {
	if n <= 0 {
		return map[string]bool{}
	}
	type scored struct {
		score uint64
		name  string
	}
	all := make([]scored, 0, len(names))
	for _, name := range names {
		all = append(all, scored{xxhash.Sum64String(name), name})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	long := make(map[string]bool, n)
	for _, s := range all[:min(n, len(all))] {
		long[s.name] = true
	}
	return long
}
