// Package retrier decides whether a failed attempt is retried. It is for a group of
// upstreams that fails in part or as a whole: without a budget every failure would be
// retried, so that a group that is down gets two or three times its load when it can
// handle least, and a call that must not be repeated could run twice.
//
// The budget is a token bucket filled by completed requests, not by time, so that a
// group that completes nothing gets only the first few retries.
package retrier

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Config configures a Retrier. A zero field selects its default.
type Config struct {
	// Ratio is how many retries each completed request earns. The default is
	// 0.1, which limits the load added by retries to a tenth.
	Ratio float64
	// Burst is the size of the budget, which is full at the start. The default
	// is 10, the number of streams that one VM loses with one engine.
	Burst float64
	// MaxAttempts is the maximum number of attempts at a request, including the
	// first. The default is 3, because a third failure in a row is rarely the
	// upstream's fault.
	MaxAttempts int
	// BaseDelay is the maximum delay after the first attempt; it doubles with
	// each further one. The default is 25 ms, a few round trips between zones.
	BaseDelay time.Duration
}

// Retrier is the retry budget of one group of upstreams. It is not safe for
// concurrent use.
type Retrier struct {
	conf   Config
	rand   *rand.Rand
	budget float64
}

// Attempt describes a failed attempt at a request.
type Attempt struct {
	// Repeatable says that it does no harm to run the request twice.
	Repeatable bool
	// MayHaveRun says that a byte of the request may have been sent and no
	// response proves that nothing ran. It is false after a refusal that says
	// "not run".
	MayHaveRun bool
	// ResponseStarted says that a byte of the response has been sent to the
	// caller, after which another attempt could only repeat or contradict it.
	ResponseStarted bool
	// Attempts is the number of attempts so far, including this one.
	Attempts int
	// Deadline is the time by which the request must have ended.
	Deadline time.Time
}

// Decision says whether to retry, and after which delay.
type Decision struct {
	Retry bool
	Delay time.Duration
}

// New returns a Retrier with a full budget that draws its random delays from r.
func New(c Config, r *rand.Rand) *Retrier {
	c.Ratio = cmp.Or(c.Ratio, 0.1)
	c.Burst = cmp.Or(c.Burst, 10)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, 3)
	c.BaseDelay = cmp.Or(c.BaseDelay, 25*time.Millisecond)
	return &Retrier{conf: c, rand: r, budget: c.Burst}
}

// Completed adds the retries earned by n completed requests to the budget.
func (r *Retrier) Completed(n int) {
	r.budget = min(r.conf.Burst, r.budget+r.conf.Ratio*float64(n))
}

// Budget returns the number of retries left.
func (r *Retrier) Budget() float64 { return r.budget }

// Decide decides whether to retry a request. A retry is taken from the budget.
func (r *Retrier) Decide(now time.Time, a Attempt) Decision {
	if a.ResponseStarted || (a.MayHaveRun && !a.Repeatable) || a.Attempts >= r.conf.MaxAttempts || r.budget < 1 {
		return Decision{}
	}
	delay := r.delay(a)
	if !now.Add(delay).Before(a.Deadline) {
		return Decision{}
	}
	r.budget--
	return Decision{Retry: true, Delay: delay}
}

// delay returns a random delay up to a maximum that doubles with each attempt, so
// that requests that failed together are not retried together. The first retry of a
// request that cannot have run has no delay.
func (r *Retrier) delay(a Attempt) time.Duration {
	if !a.MayHaveRun && a.Attempts <= 1 {
		return 0
	}
	maxDelay := r.conf.BaseDelay << max(0, min(a.Attempts-1, 16))
	return time.Duration(r.rand.Int64N(int64(maxDelay)) + 1)
}
