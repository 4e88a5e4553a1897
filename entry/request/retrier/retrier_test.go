package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/request/retrier"
)

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	later = epoch.Add(time.Minute)
)

func newRetrier() *retrier.Retrier {
	return retrier.New(retrier.Config{}, rand.New(rand.NewPCG(1, 2)))
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name     string
		a        retrier.Attempt
		retry    bool
		maxDelay time.Duration
	}{
		{"cannot have run", retrier.Attempt{Attempts: 1, Deadline: later}, true, 0},
		{"cannot have run, second attempt", retrier.Attempt{Attempts: 2, Deadline: later}, true, 50 * time.Millisecond},
		{"may have run", retrier.Attempt{MayHaveRun: true, Attempts: 1, Deadline: later}, false, 0},
		{"may have run, repeatable", retrier.Attempt{Repeatable: true, MayHaveRun: true, Attempts: 1, Deadline: later}, true, 25 * time.Millisecond},
		{"response started", retrier.Attempt{Repeatable: true, MayHaveRun: true, ResponseStarted: true, Attempts: 1, Deadline: later}, false, 0},
		{"too many attempts", retrier.Attempt{Attempts: 3, Deadline: later}, false, 0},
		{"no time left", retrier.Attempt{Attempts: 1, Deadline: epoch}, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRetrier()
			decision := r.Decide(epoch, tt.a)
			assert.Equal(t, decision.Retry, tt.retry)
			assert.Assert(t, decision.Delay <= tt.maxDelay, "delay %v", decision.Delay)
			taken := 10 - r.Budget()
			assert.Equal(t, taken == 1, tt.retry)
		})
	}
}

// All engines of a group fail at once. Without a budget each request would be sent
// three times, to engines that can handle none of them.
func TestBudgetBoundsAnOutage(t *testing.T) {
	r := newRetrier()
	r.Completed(1_000_000)
	retries := 0
	for range 10_000 {
		for attempts := 1; r.Decide(epoch, retrier.Attempt{Attempts: attempts, Deadline: later}).Retry; attempts++ {
			retries++
		}
	}
	assert.Equal(t, retries, 10)
}

// There are never more retries than the initial budget and a tenth of the completed
// requests, and a request that may have run is retried only if it is repeatable.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRetrier()
		completed, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"complete": func(t *rapid.T) {
				n := rapid.IntRange(1, 50).Draw(t, "n")
				completed += n
				r.Completed(n)
			},
			"fail": func(t *rapid.T) {
				a := retrier.Attempt{
					Repeatable: rapid.Bool().Draw(t, "repeatable"), MayHaveRun: rapid.Bool().Draw(t, "may have run"),
					ResponseStarted: rapid.Bool().Draw(t, "response started"), Attempts: rapid.IntRange(1, 4).Draw(t, "attempts"), Deadline: later,
				}
				decision := r.Decide(epoch, a)
				if !decision.Retry {
					return
				}
				retries++
				if a.ResponseStarted || (a.MayHaveRun && !a.Repeatable) {
					t.Fatalf("%+v was retried", a)
				}
			},
			"": func(t *rapid.T) {
				if allowed := 10 + 0.1*float64(completed); float64(retries) > allowed+1e-6 {
					t.Fatalf("%d retries, %f allowed", retries, allowed)
				}
			},
		})
	})
}
