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
		name  string
		a     retrier.Attempt
		again bool
		most  time.Duration
	}{
		{"nothing left", retrier.Attempt{Attempts: 1, Deadline: later}, true, 0},
		{"nothing left, second time", retrier.Attempt{Attempts: 2, Deadline: later}, true, 50 * time.Millisecond},
		{"may have run", retrier.Attempt{MayHaveRun: true, Attempts: 1, Deadline: later}, false, 0},
		{"may have run and may run twice", retrier.Attempt{Repeatable: true, MayHaveRun: true, Attempts: 1, Deadline: later}, true, 25 * time.Millisecond},
		{"answer begun", retrier.Attempt{Repeatable: true, MayHaveRun: true, ResponseStarted: true, Attempts: 1, Deadline: later}, false, 0},
		{"too many tries", retrier.Attempt{Attempts: 3, Deadline: later}, false, 0},
		{"no time left", retrier.Attempt{Attempts: 1, Deadline: epoch}, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRetrier()
			d := r.Decide(epoch, tt.a)
			assert.Equal(t, d.Retry, tt.again)
			assert.Assert(t, d.Delay <= tt.most, "after %v", d.Delay)
			taken := 10 - r.Budget()
			assert.Equal(t, taken == 1, tt.again)
		})
	}
}

// All engines of a group fail at once. Without a budget each request would be
// sent three times, to engines that can bear none of it.
func TestBudgetBoundsAnOutage(t *testing.T) {
	r := newRetrier()
	r.Completed(1_000_000)
	retries := 0
	for range 10_000 {
		for tries := 1; r.Decide(epoch, retrier.Attempt{Attempts: tries, Deadline: later}).Retry; tries++ {
			retries++
		}
	}
	assert.Equal(t, retries, 10)
}

// Retries are never more than the burst and a tenth of what was completed, and
// what may have run is never sent again unless it is repeatable.
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
					Repeatable: rapid.Bool().Draw(t, "repeatable"), MayHaveRun: rapid.Bool().Draw(t, "sent"),
					ResponseStarted: rapid.Bool().Draw(t, "first"), Attempts: rapid.IntRange(1, 4).Draw(t, "tries"), Deadline: later,
				}
				d := r.Decide(epoch, a)
				if !d.Retry {
					return
				}
				retries++
				if a.ResponseStarted || (a.MayHaveRun && !a.Repeatable) {
					t.Fatalf("%+v was tried again", a)
				}
			},
			"": func(t *rapid.T) {
				if most := 10 + 0.1*float64(completed); float64(retries) > most+1e-6 {
					t.Fatalf("%d retries, %f allowed", retries, most)
				}
			},
		})
	})
}
