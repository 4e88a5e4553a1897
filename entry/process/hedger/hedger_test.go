package hedger_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/hedger"
)

var errRefused = errors.New("refused")

const (
	wait    = 250 * time.Millisecond
	timeout = 4 * time.Second
)

func every(d time.Duration) hedger.Policy {
	return hedger.Policy{Wait: func(int) time.Duration { return d }, Timeout: timeout}
}

// A store answers calls that arrive while it is not silent, after a delay.
type store struct {
	startedAt           time.Time
	silentUntil, answer time.Duration
	lost                func(call int) bool

	mu                sync.Mutex
	calls, open, peak int
}

// begin counts a call and returns its number.
func (s *store) begin() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.open++
	s.peak = max(s.peak, s.open)
	return s.calls
}

func (s *store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

func (s *store) call(ctx context.Context) (int, error) {
	n := s.begin()
	defer s.end()
	if time.Since(s.startedAt) < s.silentUntil || (s.lost != nil && s.lost(n)) {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(s.answer):
		return n, nil
	}
}

func TestAnswerSoonAfterTheStoreRecovers(t *testing.T) {
	for _, test := range []struct {
		name string
		*store
		within   time.Duration
		maxCalls int
	}{
		{"quick", &store{answer: 4 * time.Millisecond}, 5 * time.Millisecond, 1},
		{"slow", &store{answer: 200 * time.Millisecond}, 201 * time.Millisecond, 1},
		{"slower than the wait", &store{answer: 600 * time.Millisecond}, 601 * time.Millisecond, 3},
		{"silent", &store{silentUntil: 2500 * time.Millisecond, answer: 4 * time.Millisecond}, 3 * time.Second, 11},
		{"silent, then slow", &store{silentUntil: 2500 * time.Millisecond, answer: 200 * time.Millisecond}, 3 * time.Second, 12},
		{"first answers lost", &store{answer: 4 * time.Millisecond, lost: func(n int) bool { return n < 2 }}, 300 * time.Millisecond, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := test.store
				s.startedAt = time.Now()
				_, err := hedger.Do(hedger.NewContext(t.Context(), every(wait)), s.call)
				assert.NilError(t, err)
				elapsed := time.Since(s.startedAt)
				assert.Assert(t, elapsed <= test.within, "it took %v", elapsed)
				assert.Assert(t, s.calls <= test.maxCalls, "%d calls", s.calls)
				synctest.Wait()
				assert.Equal(t, s.open, 0, "calls stay open after the answer")
			})
		})
	}
}

// A call without a policy, or whose policy says never, is made once.
func TestCallsAreNotRepeatedUnasked(t *testing.T) {
	for _, p := range []hedger.Policy{{}, every(hedger.Never)} {
		synctest.Test(t, func(t *testing.T) {
			s := store{startedAt: time.Now(), silentUntil: time.Hour}
			ctx, cancel := context.WithTimeout(hedger.NewContext(t.Context(), p), timeout)
			defer cancel()
			_, err := hedger.Do(ctx, s.call)
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			assert.Equal(t, s.calls, 1)
		})
	}
}

// A large answer arrives over a narrow link for longer than the wait. Repeated calls would
// share the link, and none of them would end in time.
func TestCallIsNotRepeatedWhileItsAnswerArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		_, err := hedger.Do(hedger.NewContext(t.Context(), every(wait)), func(ctx context.Context) (int, error) {
			calls.Add(1)
			for range 15 {
				time.Sleep(wait * 2 / 5)
				hedger.ReportProgress(ctx)
			}
			return 0, nil
		})
		assert.NilError(t, err)
		assert.Equal(t, calls.Load(), int32(1))
	})
}

// An answer that stops in the middle is lost too.
func TestCallIsRepeatedOnceItsAnswerStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		startedAt := time.Now()
		_, err := hedger.Do(hedger.NewContext(t.Context(), every(wait)), func(ctx context.Context) (int, error) {
			if calls.Add(1) > 1 {
				return 0, nil
			}
			time.Sleep(100 * time.Millisecond)
			hedger.ReportProgress(ctx)
			<-ctx.Done()
			return 0, ctx.Err()
		})
		assert.NilError(t, err)
		assert.Assert(t, time.Since(startedAt) <= wait+150*time.Millisecond)
	})
}

// A refused call is left to the caller's backoff, unless an earlier one may be answered.
func TestFailureEndsOnlyTheLastOpenCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, err := hedger.Do(hedger.NewContext(t.Context(), every(wait)), func(context.Context) (int, error) { return 0, errRefused })
		assert.ErrorIs(t, err, errRefused)
		var calls atomic.Int32
		n, err := hedger.Do(hedger.NewContext(t.Context(), every(wait)), func(context.Context) (int, error) {
			if calls.Add(1) > 1 {
				return 0, errRefused
			}
			time.Sleep(2 * wait)
			return 1, nil
		})
		assert.NilError(t, err)
		assert.Equal(t, n, 1)
	})
}

// A wait that becomes shorter during a call counts at once: the VM that read for others is
// gone, and this one takes its place.
func TestWaitMayChangeDuringACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store{startedAt: time.Now(), silentUntil: time.Second}
		p := hedger.Policy{Timeout: timeout, Wait: func(int) time.Duration {
			if time.Since(s.startedAt) < 1500*time.Millisecond {
				return hedger.Never
			}
			return wait
		}}
		_, err := hedger.Do(hedger.NewContext(t.Context(), p), s.call)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(s.startedAt) < 1600*time.Millisecond)
	})
}

func TestCallsAndWaitsAreBounded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			const maxOpen = 6
			s := store{
				startedAt:   time.Now(),
				silentUntil: time.Duration(rapid.IntRange(0, 3000).Draw(r, "silent")) * time.Millisecond,
				answer:      time.Duration(rapid.IntRange(1, 400).Draw(r, "answer")) * time.Millisecond,
			}
			lost := rapid.Bool().Draw(r, "lost")
			s.lost = func(n int) bool { return lost && n%2 == 1 }
			_, err := hedger.Do(hedger.NewContext(t.Context(), every(wait)), s.call)
			assert.NilError(t, err)
			elapsed := time.Since(s.startedAt)
			bound := s.silentUntil + wait + s.answer + 50*time.Millisecond
			if lost {
				bound += wait + 25*time.Millisecond
			}
			assert.Assert(t, elapsed <= bound, "it took %v, not %v", elapsed, bound)
			assert.Assert(t, s.calls <= 1+int(elapsed/wait), "%d calls in %v", s.calls, elapsed)
			// The call that a new one replaces ends in its own goroutine.
			assert.Assert(t, s.peak <= maxOpen+1, "%d open calls", s.peak)
		})
	})
}
