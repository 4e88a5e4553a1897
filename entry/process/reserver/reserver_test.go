package reserver_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/heathervane/heathervane/entry/process/reserver"
)

var errFull = errors.New("full")

// engines keep memory for as long as its lease lasts, and can be full, or lose
// the answer to an order that they carried out.
type engines struct {
	mu       sync.Mutex
	held     map[string]time.Time
	full     string
	mute     string
	orders   int
	released []string
}

func (e *engines) Reserve(_ context.Context, address, name string, _ int, hold time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if address == e.full {
		return errFull
	}
	e.held[name] = time.Now().Add(hold)
	if address == e.mute {
		return context.DeadlineExceeded
	}
	return nil
}

func (e *engines) Release(_ context.Context, _, name string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held, name)
	e.released = append(e.released, name)
	return nil
}

func (e *engines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, until := range e.held {
		if time.Now().Before(until) {
			n++
		}
	}
	return n
}

func (e *engines) isEmpty(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.count() == 0 {
			return poll.Success()
		}
		return poll.Continue("memory is held")
	})
}

var parts = []reserver.EngineMemory{{Address: "a", Tokens: 10}, {Address: "b", Tokens: 20}}

func start(e *engines, hold time.Duration) *reserver.Reserver {
	return reserver.New("me-", e, func() time.Duration { return hold }, zerolog.Nop())
}

// A request lasts longer than the lease of its memory. If it were not renewed
// the engine would cut the request off in the middle.
func TestMemoryIsKeptUntilReleased(t *testing.T) {
	defer goleak.VerifyNone(t)
	e := &engines{held: map[string]time.Time{}}
	h, err := start(e, 150*time.Millisecond).Reserve(t.Context(), "r", parts)
	assert.NilError(t, err)
	assert.Equal(t, len(slices.Compact(slices.Clone(h.Names))), 2)
	for range 8 {
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, e.count(), 2)
	}
	h.Release()
	h.Release()
	e.isEmpty(t)
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, e.count(), 0, "nothing is renewed after its release")
}

// One engine has no memory, or carries the order out and its answer is lost.
// What was set aside must go back at all of them.
func TestFailedReservationLeavesNothing(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, e := range []*engines{{full: "b"}, {mute: "b"}} {
		e.held = map[string]time.Time{}
		_, err := start(e, time.Minute).Reserve(t.Context(), "r", parts)
		assert.Assert(t, err != nil)
		e.isEmpty(t)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			e.mu.Lock()
			defer e.mu.Unlock()
			if len(e.released) == 2 {
				return poll.Success()
			}
			return poll.Continue("%d released", len(e.released))
		})
	}
}

// A caller leaves. Its engines may still be at work, and their memory must not
// go to somebody else before they have stopped: only the release ends it.
func TestMemoryOutlivesItsCaller(t *testing.T) {
	e := &engines{held: map[string]time.Time{}}
	ctx, leave := context.WithCancel(t.Context())
	h, err := start(e, 200*time.Millisecond).Reserve(ctx, "r", parts)
	assert.NilError(t, err)
	leave()
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, e.count(), 2)
	h.Release()
	e.isEmpty(t)
}
