// Package retrier decides whether a failed attempt is made again. It answers a
// group of upstreams that fails in part or in whole: without a budget every
// failure is sent again, so that a group that is down gets two or three times
// its load at the very moment when it can bear least, and a call that may not
// be repeated could run twice.
//
// The budget is a token bucket filled by completed work, not by time, so that
// a group that completes nothing gets no retries but the first few.
package retrier

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// A Config sets a Retrier. A zero field takes the default named with it.
type Config struct {
	// Ratio is the retries earned by one completed request; 0.1 by default,
	// which bounds what retries add to a group's load at a tenth.
	Ratio float64
	// Burst is the most retries saved up, and what a Retrier starts with; 10
	// by default: the streams that one VM loses with one engine.
	Burst float64
	// MaxAttempts is the most attempts at one request, the first included; 3 by
	// default, as a third failure in a row is rarely the upstream's own.
	MaxAttempts int
	// Base is the wait after the first attempt at most; it doubles with each
	// further one. 25 ms by default, a few round trips between zones.
	Base time.Duration
}

// A Retrier is the retry budget of one group of upstreams. It is not safe for
// use by several goroutines.
type Retrier struct {
	conf   Config
	rand   *rand.Rand
	budget float64
}

// An Attempt is one that failed.
type Attempt struct {
	// Repeatable says that running the call twice does no harm.
	Repeatable bool
	// MayHaveRun says that a byte of the request may have left and no answer proves
	// that nothing ran. A refusal that says "not run" leaves it false.
	MayHaveRun bool
	// ResponseStarted says that a byte of the answer has gone to the caller, after
	// which a new attempt could only repeat or contradict it.
	ResponseStarted bool
	// Attempts is how many attempts there were, this one included.
	Attempts int
	// Deadline is when the request must have ended.
	Deadline time.Time
}

// A Decision says whether to try again, and after how long.
type Decision struct {
	Retry bool
	Delay time.Duration
}

// New returns a Retrier with a full budget, which draws its waits from r.
func New(c Config, r *rand.Rand) *Retrier {
	c.Ratio = cmp.Or(c.Ratio, 0.1)
	c.Burst = cmp.Or(c.Burst, 10)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, 3)
	c.Base = cmp.Or(c.Base, 25*time.Millisecond)
	return &Retrier{conf: c, rand: r, budget: c.Burst}
}

// Completed counts n requests that the group has answered.
func (r *Retrier) Completed(n int) {
	r.budget = min(r.conf.Burst, r.budget+r.conf.Ratio*float64(n))
}

// Budget is how many retries are left.
func (r *Retrier) Budget() float64 { return r.budget }

// Decide says whether the request is tried again, and takes the retry from the
// budget if so.
func (r *Retrier) Decide(now time.Time, a Attempt) Decision {
	if a.ResponseStarted || (a.MayHaveRun && !a.Repeatable) || a.Attempts >= r.conf.MaxAttempts || r.budget < 1 {
		return Decision{}
	}
	after := r.wait(a)
	if !now.Add(after).Before(a.Deadline) {
		return Decision{}
	}
	r.budget--
	return Decision{Retry: true, Delay: after}
}

// wait is random up to a bound that doubles, so that requests that failed
// together do not come back together. What never left goes elsewhere at once
// the first time.
func (r *Retrier) wait(a Attempt) time.Duration {
	if !a.MayHaveRun && a.Attempts <= 1 {
		return 0
	}
	most := r.conf.Base << max(0, min(a.Attempts-1, 16))
	return time.Duration(r.rand.Int64N(int64(most)) + 1)
}
