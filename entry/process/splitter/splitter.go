// Package splitter decides how many engines of a model to reserve for long
// prompts, for a mix of short and long prompts that changes over the day.
// Without it, long prompts run on every engine and delay short ones everywhere;
// with a fixed number, engines idle on one side while the other side is full.
//
// The number follows the offered tokens, smoothed and with hysteresis: an
// engine that changes sides must first finish what it runs, so a number that
// oscillates costs more than one that is slightly off.
package splitter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Config configures a Splitter. Zero fields take their defaults.
type Config struct {
	// SmoothingTime is the time constant over which the load is averaged; one
	// minute by default. Long prompts are few and differ tenfold in length:
	// averaged over five seconds, which see one or two of them, the number
	// oscillated by half, and each change cost more than it gained.
	SmoothingTime time.Duration
	// ShortTokenWeight is the weight of short prompts' tokens; 1.5 by default.
	// The engines for short prompts are thus two thirds as busy as those for
	// long prompts, whose callers notice a wait less.
	ShortTokenWeight float64
	// GrowThreshold is by how many engines the number must be too low before it
	// is raised, and ShrinkThreshold by how many it must be too high before it
	// is lowered; 0.6 and 1.25 by default, so that in doubt an engine stays
	// with the short prompts. The band of nearly two engines is wider than one
	// step, so that no step triggers its own reversal.
	GrowThreshold, ShrinkThreshold float64
	// GrowDelay and ShrinkDelay are how long the number must have been too low
	// or too high before it is changed; 5 s and one minute by default. A long
	// prompt occupies an engine for tens of seconds: an engine that is released
	// sooner would soon have to be reserved again.
	GrowDelay, ShrinkDelay time.Duration
}

// releaseThreshold is the desired number of engines below which no engine stays
// reserved.
const releaseThreshold = 0.01

// firstThreshold is the desired number of engines above which the first engine
// is reserved.
const firstThreshold = 0.1

// warmUpFraction is the value of Splitter.warmUp from which the averages are
// used at full weight.
const warmUpFraction = 0.5

// A Load describes the load offered to a model's engines.
type Load struct {
	// ShortTokens and LongTokens are the offered prompt tokens per second.
	ShortTokens, LongTokens float64
	// Engines is the number of engines of the model.
	Engines int
}

// A Splitter holds the number of reserved engines of one model. It is not safe
// for concurrent use.
type Splitter struct {
	config     Config
	lastUpdate time.Time
	// short and long are moving averages that start at 0. warmUp, from 0 to 1,
	// is how far they have converged from that start.
	short, long, warmUp float64

	reserved int
	// aboveSince and belowSince are the times since which the desired number
	// has been above or below its threshold; zero if it is not.
	aboveSince, belowSince time.Time
}

// New returns a Splitter that reserves no engines yet.
func New(c Config) *Splitter {
	c.SmoothingTime = cmp.Or(c.SmoothingTime, time.Minute)
	c.ShortTokenWeight = cmp.Or(c.ShortTokenWeight, 1.5)
	c.GrowThreshold = cmp.Or(c.GrowThreshold, 0.6)
	c.ShrinkThreshold = cmp.Or(c.ShrinkThreshold, 1.25)
	c.GrowDelay = cmp.Or(c.GrowDelay, 5*time.Second)
	c.ShrinkDelay = cmp.Or(c.ShrinkDelay, time.Minute)
	return &Splitter{config: c}
}

// Update records the current load and returns the number of engines to reserve.
func (s *Splitter) Update(now time.Time, l Load) int {
	s.smooth(now, l)
	limit := max(0, l.Engines-1)
	desired := s.desired(l.Engines)
	s.aboveSince = trueSince(s.aboveSince, now, desired > s.threshold())
	s.belowSince = trueSince(s.belowSince, now, desired < float64(s.reserved)-s.config.ShrinkThreshold || (s.reserved > 0 && desired < releaseThreshold))
	switch {
	case !s.aboveSince.IsZero() && now.Sub(s.aboveSince) >= s.config.GrowDelay:
		s.reserved += stepSize(desired - float64(s.reserved))
		s.aboveSince = time.Time{}
	case !s.belowSince.IsZero() && now.Sub(s.belowSince) >= s.config.ShrinkDelay:
		s.reserved -= stepSize(float64(s.reserved) - desired)
		s.belowSince = time.Time{}
	}
	s.reserved = min(s.reserved, limit)
	return s.reserved
}

// threshold returns the desired number of engines above which one is added. The
// first engine is added early: until then, long prompts run on the engines for
// short ones.
func (s *Splitter) threshold() float64 {
	if s.reserved == 0 {
		return firstThreshold
	}
	return float64(s.reserved) + s.config.GrowThreshold
}

// desired returns the long prompts' share of the engines, not rounded. It is
// scaled down during warm-up: one long prompt in the first seconds is weak
// evidence, and the short prompts would miss the engines reserved for it.
func (s *Splitter) desired(engines int) float64 {
	sum := s.config.ShortTokenWeight*s.short + s.long
	if sum <= 0 {
		return 0
	}
	return min(1, s.warmUp/warmUpFraction) * float64(engines) * s.long / sum
}

// smooth updates the moving averages with the current load.
func (s *Splitter) smooth(now time.Time, l Load) {
	if !s.lastUpdate.IsZero() {
		weight := 1 - math.Exp(-now.Sub(s.lastUpdate).Seconds()/s.config.SmoothingTime.Seconds())
		s.short += weight * (l.ShortTokens - s.short)
		s.long += weight * (l.LongTokens - s.long)
		s.warmUp += weight * (1 - s.warmUp)
	}
	s.lastUpdate = now
}

// stepSize returns half of the difference, but at least one engine.
func stepSize(difference float64) int {
	return max(1, int(difference/2))
}

// trueSince returns the time since which a condition has held, or the zero time
// if it does not hold.
func trueSince(previous, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case previous.IsZero():
		return now
	}
	return previous
}

// LongPromptEngines selects the n engines reserved for long prompts by a hash
// of their names alone: every VM with the same n selects the same engines, and
// a change of n or of the engines moves as few of them as possible.
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
