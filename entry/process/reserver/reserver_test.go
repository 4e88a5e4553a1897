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

// fakeEngines hold memory until its lease expires. The engine at address full
// refuses reservations; the one at noReply makes them, but its replies are lost.
type fakeEngines struct {
	mu      sync.Mutex
	leases  map[string]time.Time
	full    string
	noReply string
	// silent are addresses that answer no call.
	silent   []string
	calls    int
	released []string
}

func (e *fakeEngines) Reserve(ctx context.Context, address, name string, _ int, lease time.Duration) error {
	e.mu.Lock()
	if e.isSilent(address) {
		e.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	defer e.mu.Unlock()
	e.calls++
	if address == e.full {
		return errFull
	}
	e.leases[name] = time.Now().Add(lease)
	if address == e.noReply {
		return context.DeadlineExceeded
	}
	return nil
}

func (e *fakeEngines) isSilent(address string) bool { return slices.Contains(e.silent, address) }

func (e *fakeEngines) Release(ctx context.Context, address, name string) error {
	e.mu.Lock()
	if e.isSilent(address) {
		e.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	defer e.mu.Unlock()
	delete(e.leases, name)
	e.released = append(e.released, name)
	return nil
}

func (e *fakeEngines) liveLeases() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, expiry := range e.leases {
		if time.Now().Before(expiry) {
			n++
		}
	}
	return n
}

func (e *fakeEngines) waitUntilEmpty(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.liveLeases() == 0 {
			return poll.Success()
		}
		return poll.Continue("memory is still reserved")
	})
}

var parts = []reserver.EngineMemory{{Address: "a", Tokens: 10}, {Address: "b", Tokens: 20}}

func newReserver(e *fakeEngines, lease time.Duration) *reserver.Reserver {
	return reserver.New("me-", e, func() time.Duration { return lease }, zerolog.Nop())
}

// A request may outlast the lease of its memory. If the lease were not renewed, the
// engine would abort the request.
func TestMemoryIsKeptUntilReleased(t *testing.T) {
	defer goleak.VerifyNone(t)
	e := &fakeEngines{leases: map[string]time.Time{}}
	res, err := newReserver(e, 150*time.Millisecond).Reserve(t.Context(), "r", parts)
	assert.NilError(t, err)
	assert.Equal(t, len(slices.Compact(slices.Clone(res.Names))), 2)
	for range 8 {
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, e.liveLeases(), 2)
	}
	res.Release()
	res.Release()
	e.waitUntilEmpty(t)
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, e.liveLeases(), 0, "a lease was renewed after its release")
}

// One engine is full, or makes the reservation but its reply is lost. The memory
// must be released at all engines.
func TestFailedReservationLeavesNothing(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, e := range []*fakeEngines{{full: "b"}, {noReply: "b"}} {
		e.leases = map[string]time.Time{}
		_, err := newReserver(e, time.Minute).Reserve(t.Context(), "r", parts)
		assert.Assert(t, err != nil)
		e.waitUntilEmpty(t)
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

// A caller disconnects while its engines may still be running the request. Their
// memory must not go to another request until Release.
func TestMemoryOutlivesItsCaller(t *testing.T) {
	e := &fakeEngines{leases: map[string]time.Time{}}
	ctx, disconnect := context.WithCancel(t.Context())
	res, err := newReserver(e, 200*time.Millisecond).Reserve(ctx, "r", parts)
	assert.NilError(t, err)
	disconnect()
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, e.liveLeases(), 2)
	res.Release()
	e.waitUntilEmpty(t)
}

// Half of the engines that hold a prompt fall silent. Calls to them time out one after the
// other, and must not delay those to the others, whose memory would stay reserved for
// seconds after the request, or whose leases would expire during it.
func TestSilentEnginesDoNotDelayTheOthers(t *testing.T) {
	many := []reserver.EngineMemory{{Address: "s1", Tokens: 1}, {Address: "s2", Tokens: 1}, {Address: "s3", Tokens: 1}, {Address: "ok", Tokens: 1}}
	e := &fakeEngines{leases: map[string]time.Time{}}
	const lease = 600 * time.Millisecond
	res, err := newReserver(e, lease).Reserve(t.Context(), "r", many)
	assert.NilError(t, err)
	held := res.Names[len(many)-1]
	e.mu.Lock()
	e.silent = []string{"s1", "s2", "s3"}
	e.mu.Unlock()
	for range 5 {
		time.Sleep(lease / 2)
		e.mu.Lock()
		left := time.Until(e.leases[held])
		e.mu.Unlock()
		assert.Assert(t, left > 0, "the lease of an engine that answers has expired")
	}
	res.Release()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		e.mu.Lock()
		defer e.mu.Unlock()
		if slices.Contains(e.released, held) {
			return poll.Success()
		}
		return poll.Continue("not released")
	}, poll.WithTimeout(time.Second))
}
