package router_test

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// outcome sums the results of calls over several seeds.
type outcome struct {
	short, long, others  []float64 // seconds to first token
	calls, refused       int
	expired              int     // expired after admission
	resplits             int     // changes of the number of reserved engines
	late, lost           int     // ended past their limit, or not at all
	goodput, longGoodput float64 // tokens of complete answers in time, over fleetPrefillRate
}

func (w policies) outcome(long int, span time.Duration, loads ...[]load) outcome {
	seeds := 3
	if w.policy != "best" {
		seeds = 1 // baselines serve only for comparison
	}
	warm := span / 6
	var o outcome
	for seed := range uint64(seeds) {
		f := w.simulate(long, span, seed+1, loads...)
		o.short = append(o.short, f.timesToFirstToken(arrivedAfter(warm, isShort))...)
		o.long = append(o.long, f.timesToFirstToken(arrivedAfter(warm, isLong))...)
		o.resplits += f.resplits
		o.others = append(o.others, f.timesToFirstToken(arrivedAfter(warm, func(c *call) bool { return c.request.Team != "hot" }))...)
		for _, c := range f.calls {
			o.count(c, warm, span)
		}
	}
	per := float64(seeds) * (span - warm).Seconds() * fleetPrefillRate * float64(w.engines) / engines
	o.goodput /= per
	o.longGoodput /= per
	return o
}

func (o *outcome) count(c *call, from, to time.Duration) {
	o.calls++
	late := c.end > c.request.Deadline.Sub(epoch)
	switch {
	case c.refused != nil && c.refused.Code == "expired":
		o.expired++
	case c.refused != nil:
		o.refused++
	case c.end == 0:
		o.lost++
	case late:
		o.late++
	case c.end >= from && c.end < to:
		o.goodput += float64(c.request.PromptTokens)
		if isLong(c) {
			o.longGoodput += float64(c.request.PromptTokens)
		}
	}
}

func (o outcome) String() string {
	return fmt.Sprintf("calls %d, rejected %d, expired %d, past time limit %d, %d resplits, goodput %.2f (long %.2f), short first token p50 %.3f p95 %.3f p99 %.3f s, long p50 %.1f p95 %.1f s",
		o.calls, o.refused, o.expired, o.late, o.resplits, o.goodput, o.longGoodput,
		quantile(o.short, .5), quantile(o.short, .95), quantile(o.short, .99), quantile(o.long, .5), quantile(o.long, .95))
}

// timesToFirstToken returns the seconds to the first token of the calls that
// pass.
func (f *fleet) timesToFirstToken(pass func(*call) bool) []float64 {
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

func isShort(c *call) bool { return c.request.PromptTokens <= 16<<10 }

func isLong(c *call) bool { return c.request.PromptTokens >= 100_000 }

func arrivedAfter(t time.Duration, pass func(*call) bool) func(*call) bool {
	return func(c *call) bool { return c.at >= t && pass(c) }
}
