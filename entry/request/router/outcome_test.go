package router_test

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// An outcome is what callers got over several seeds.
type outcome struct {
	short, long, others []float64 // seconds to first token
	calls, refused      int
	given               int     // given up after they were let in
	moves               int     // of the number of engines set apart
	late, lost          int     // ended past their limit, or not at all
	good, longGood      float64 // tokens of whole answers in time, over what fits
}

func (w way) outcome(long int, span time.Duration, loads ...[]load) outcome {
	seeds := 3
	if w.policy != "best" {
		seeds = 1 // baselines only for comparison
	}
	warm := span / 6
	var o outcome
	for seed := range uint64(seeds) {
		f := w.play(long, span, seed+1, loads...)
		o.short = append(o.short, f.firsts(after(warm, short))...)
		o.long = append(o.long, f.firsts(after(warm, isLong))...)
		o.moves += f.moves
		o.others = append(o.others, f.firsts(after(warm, func(c *call) bool { return c.ask.Team != "hot" }))...)
		for _, c := range f.calls {
			o.count(c, warm, span)
		}
	}
	per := float64(seeds) * (span - warm).Seconds() * fits * float64(w.engines) / engines
	o.good /= per
	o.longGood /= per
	return o
}

func (o *outcome) count(c *call, from, to time.Duration) {
	o.calls++
	late := c.end > c.ask.Deadline.Sub(epoch)
	switch {
	case c.refused != nil && c.refused.Code == "expired":
		o.given++
	case c.refused != nil:
		o.refused++
	case c.end == 0:
		o.lost++
	case late:
		o.late++
	case c.end >= from && c.end < to:
		o.good += float64(c.ask.PromptTokens)
		if isLong(c) {
			o.longGood += float64(c.ask.PromptTokens)
		}
	}
}

func (o outcome) String() string {
	return fmt.Sprintf("calls %d, refused %d, given up %d, past limit %d, %d moves, goodput %.2f (long %.2f), short first token p50 %.3f p95 %.3f p99 %.3f s, long p50 %.1f p95 %.1f s",
		o.calls, o.refused, o.given, o.late, o.moves, o.good, o.longGood,
		quantile(o.short, .5), quantile(o.short, .95), quantile(o.short, .99), quantile(o.long, .5), quantile(o.long, .95))
}

// firsts are the seconds to the first token of the calls that pass.
func (f *fleet) firsts(pass func(*call) bool) []float64 {
	var s []float64
	for _, c := range f.calls {
		if c.first > 0 && pass(c) {
			s = append(s, (c.first - c.at).Seconds())
		}
	}
	return s
}

func quantile(s []float64, q float64) float64 {
	if len(s) == 0 {
		return math.NaN()
	}
	s = slices.Sorted(slices.Values(s))
	return s[int(q*float64(len(s)-1))]
}

func short(c *call) bool { return c.ask.PromptTokens <= 16<<10 }

func isLong(c *call) bool { return c.ask.PromptTokens >= 100_000 }

func after(t time.Duration, pass func(*call) bool) func(*call) bool {
	return func(c *call) bool { return c.at >= t && pass(c) }
}
