package scheduler

import (
	"math/bits"
	"time"

	"github.com/heathervane/heathervane/entry/request/placer"
)

const (
	// defaultRetryAfter is when a refused request may be retried: a burst of
	// prompts is prefilled within about this time.
	defaultRetryAfter = 500 * time.Millisecond
	// typicalStreams and typicalContext are the streams at an engine and their
	// context tokens that are assumed when a request's latest start is computed.
	typicalStreams, typicalContext = 6, 60_000
	// latencyMargin is kept between the latest start and the objective, for the
	// network round trip and for what the estimates leave out.
	latencyMargin = 60 * time.Millisecond
	// urgentWindow is how long before giveUpAt a request starts to accept any
	// slot.
	urgentWindow = 2 * time.Second
	// minSizedPrefill is the prefill time in milliseconds from which prompts are
	// classified by length.
	minSizedPrefill = 100.0
	// plainServiceTime is the assumed response time of a plain service, used to
	// decide when to give up.
	plainServiceTime = 20 * time.Millisecond
)

// timing holds the deadlines of a queued request.
type timing struct {
	// latestStart is the latest start at which the first event meets the objective.
	latestStart time.Time
	// giveUpAt is when the request can no longer be completed by its deadline, and
	// duration is the time it needs to complete.
	giveUpAt time.Time
	duration time.Duration
	// latestUsefulStart is the latest start at which the first event still arrives
	// before the caller disconnects; zero if that time is unknown. A request that
	// was kept longer would be answered to nobody; refused now, it can be retried.
	latestUsefulStart time.Time
	long              bool
	// sizeClass is the binary logarithm of the prompt's prefill time in units of
	// minSizedPrefill.
	sizeClass int
}

// cannotFinish reports whether the request should be refused now. The requesting VM
// shuts down at stopsAt, unless that is zero.
func (t timing) cannotFinish(now, stopsAt time.Time) bool {
	switch {
	case !now.Before(t.giveUpAt):
		return true
	case !stopsAt.IsZero() && !now.Before(stopsAt.Add(-t.duration)):
		return true
	}
	return !t.latestUsefulStart.IsZero() && !now.Before(t.latestUsefulStart)
}

// late reports whether the first event can no longer meet the objective. A request
// counts as late as soon as its latest start has passed. In a burst slightly above the
// engines' capacity, a request that might just make it would otherwise go before
// others that would make it, and each would be served a moment too late.
func (t timing) late(now time.Time) bool { return now.After(t.latestStart) }

// newTiming computes the deadlines of a request from the performance model of its
// engine.
func newTiming(r Request) timing {
	e := r.Service.Engine
	if e == nil {
		return timing{latestStart: r.Requirements.Objective, giveUpAt: r.Requirements.Deadline.Add(-plainServiceTime), duration: plainServiceTime}
	}
	long := !placer.IsShort(e, r.Requirements.Prompt)
	prefill := placer.PrefillTime(e, r.Requirements.Prompt, 1)
	if long {
		prefill = placer.PrefillTime(e, r.Requirements.Prompt, placer.MaxHelpers+1)
	}
	pass := placer.DecodePassTime(e, typicalStreams, typicalContext)
	first := milliseconds(1.5*pass + prefill)
	// The actual length of the answer is not known in advance. If requests were
	// refused for the maximum length, most would lose an answer that they could
	// have had.
	answer := milliseconds(pass * placer.TypicalOutputShare * float64(r.Requirements.Output) / float64(max(1, e.StepsPerPass)))
	latestUsefulStart := time.Time{}
	if !r.Requirements.CallerTimeout.IsZero() {
		latestUsefulStart = r.Requirements.CallerTimeout.Add(-first - latencyMargin)
	}
	return timing{
		latestStart:       r.Requirements.Objective.Add(-first - latencyMargin),
		giveUpAt:          r.Requirements.Deadline.Add(-first - answer),
		latestUsefulStart: latestUsefulStart,
		duration:          first + answer,
		long:              long,
		sizeClass:         bits.Len(uint(placer.PrefillTime(e, r.Requirements.Prompt, 1) / minSizedPrefill)),
	}
}

// urgency returns how much the request may cost others now. A late request waits
// for a slot that costs others nothing, until it must start.
func (t timing) urgency(now time.Time) placer.Urgency {
	switch {
	case t.giveUpAt.Sub(now) < urgentWindow:
		return placer.LastChance
	case t.late(now):
		return placer.Late
	}
	return placer.OnTime
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
