// Package hedger repeats calls that are not answered, and uses the first answer. It
// answers the load of a fleet that starts while a part of its store is silent: a call to
// that part stays unanswered also after the store has recovered, so that each VM would
// wait for the timeout of its first call. A repeated call runs beside the earlier ones,
// which may only be slow. The package does not repeat calls that fail.
package hedger

import (
	"context"
	"math"
	"sync/atomic"
	"time"
)

const (
	// Never is the wait of a call that is not repeated.
	Never = time.Duration(math.MaxInt64)
	// maxOpen bounds the calls that are open at the same time. A further one ends the
	// oldest, whose answer has probably been lost.
	maxOpen = 6
	// reviewInterval is how often the wait of an open call is evaluated again, as it may
	// depend on what other VMs do.
	reviewInterval = 25 * time.Millisecond
)

// A Policy says when calls are repeated. Its zero value repeats none.
type Policy struct {
	// Wait returns how long the latest of a number of calls may stay unanswered, and no
	// part of any answer may arrive, before another is made. If it is nil, the answer is Never.
	Wait func(calls int) time.Duration
	// Timeout bounds all calls for one answer; 0 leaves that to the context.
	Timeout time.Duration
	// Repeated is called before each repeated call with its number, counted from 2, and
	// the time since the first. It may be nil.
	Repeated func(call int, elapsed time.Duration)
}

type policyKey struct{}

type progressKey struct{}

// ReportProgress records that a part of an answer has arrived in a call that Do makes with
// the context. While an answer arrives, the call is not repeated: a second answer would
// share a narrow link with the first.
func ReportProgress(ctx context.Context) {
	if at, ok := ctx.Value(progressKey{}).(*atomic.Int64); ok {
		at.Store(time.Now().UnixNano())
	}
}

// NewContext returns a context that carries a policy for the calls made with it.
func NewContext(ctx context.Context, p Policy) context.Context {
	return context.WithValue(ctx, policyKey{}, p)
}

func fromContext(ctx context.Context) Policy {
	p, _ := ctx.Value(policyKey{}).(Policy)
	return p
}

type result[T any] struct {
	value T
	err   error
}

// Do makes a call, and repeats it as the policy of the context says. It returns the first
// answer, or an error once every call made has failed.
func Do[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	p := fromContext(ctx)
	if p.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.Timeout)
		defer cancel()
	}
	if p.Wait == nil {
		return call(ctx)
	}
	var progressAt atomic.Int64
	ctx, cancel := context.WithCancel(context.WithValue(ctx, progressKey{}, &progressAt))
	defer cancel()
	results := make(chan result[T])
	var open []context.CancelFunc
	calls, pending := 0, 0
	begin := func() {
		if len(open) == maxOpen {
			open[0]()
			open = open[1:]
		}
		callCtx, end := context.WithCancel(ctx)
		open = append(open, end)
		calls++
		pending++
		go func() {
			value, err := call(callCtx)
			select {
			case results <- result[T]{value, err}:
			case <-ctx.Done():
			}
		}()
	}
	startedAt := time.Now()
	latest := startedAt
	begin()
	review := time.NewTicker(reviewInterval)
	defer review.Stop()
	for {
		select {
		case r := <-results:
			pending--
			if r.err == nil || pending == 0 {
				return r.value, r.err
			}
		case <-ctx.Done():
			var none T
			return none, context.Cause(ctx)
		case now := <-review.C:
			wait := p.Wait(calls)
			if now.Sub(latest) < wait || now.Sub(time.Unix(0, progressAt.Load())) < wait {
				continue
			}
			if p.Repeated != nil {
				p.Repeated(calls+1, now.Sub(startedAt))
			}
			latest = now
			begin()
		}
	}
}
