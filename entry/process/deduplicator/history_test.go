package deduplicator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/request/refuser"
)

// A result is what one caller saw.
type result struct {
	kind string // ran, replayed, unknown or none
	by   string // whose call's answer it got
}

// history is the sequential meaning of calls with one key: the first that runs
// settles it, and every later answer is that one's.
var history = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		ran, _ := state.(string)
		o, _ := output.(result)
		switch o.kind {
		case "ran":
			if ran != "" {
				return nil
			}
			return []any{o.by}
		case "replayed":
			if ran != o.by {
				return nil
			}
			return []any{ran}
		}
		return []any{ran}
	},
	Equal: func(a, b any) bool { return a == b },
}

// A storm is many calls with a few keys at once, and what was seen of them.
type storm struct {
	*testing.T
	vms []vm

	mu         sync.Mutex
	runs       map[string][]string // callers whose call ran, by key
	operations map[string][]porcupine.Operation
}

// Members repeat bookings through several VMs at once, while appends are
// refused, lost, late and doubled. The service gets each booking once at most,
// and all who get an answer get that one's. When the log is well again no key
// is stuck: the next call runs, or gets the outcome.
func TestHistories(t *testing.T) {
	const vms, keys, callers = 3, 8, 12
	log := newLog()
	random := rand.New(rand.NewPCG(1, 2))
	log.set(func([]byte) fault { return fault(random.IntN(10)) }) // none for 0 and from 6 up
	s := &storm{T: t, runs: make(map[string][]string), operations: make(map[string][]porcupine.Operation)}
	for i := range vms {
		s.vms = append(s.vms, run(t, log, fmt.Sprint(i), 1, nobodyGone))
	}
	var all sync.WaitGroup
	for n := range keys {
		for id := range callers {
			all.Go(func() { s.book(keyMade(start, n), id, 2*time.Second) })
		}
	}
	all.Wait()
	log.set(nil)
	model := history.ToModel()
	for n := range keys {
		key := keyMade(start, n)
		last := s.book(key, callers+1, 30*time.Second)
		assert.Assert(t, last.kind == "ran" || last.kind == "replayed", "%v", last)
		assert.Equal(t, len(s.runs[key]), 1, "%v", s.runs[key])
		assert.Assert(t, porcupine.CheckOperations(model, s.operations[key]), "%v", s.operations[key])
	}
}

// book makes one call and notes what came of it.
func (s *storm) book(key string, id int, limit time.Duration) result {
	ctx, cancel := context.WithTimeout(s.Context(), limit)
	defer cancel()
	began := time.Now().UnixNano()
	r := s.try(ctx, key, id)
	ended := time.Now().UnixNano()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operations[key] = append(s.operations[key], porcupine.Operation{
		ClientId: id, Call: began, Output: r, Return: ended,
	})
	return r
}

// try makes one call; every third caller that is allowed to run sends nothing.
func (s *storm) try(ctx context.Context, key string, id int) result {
	name := fmt.Sprint(id)
	c := call(key)
	c.Timestamped = false // the keys are made at a fixed time
	a := s.vms[id%len(s.vms)].Begin(ctx, c)
	switch {
	case a.Outcome != nil:
		return result{"replayed", string(a.Outcome.Body)}
	case a.Refusal != nil && a.Refusal.Ran == refuser.RanUnknown:
		return result{kind: "unknown"}
	case a.Refusal != nil:
		return result{kind: "none"}
	case id%3 == 0 || a.Ticket.Check() != nil:
		a.Ticket.Abandon()
		return result{kind: "none"}
	}
	s.mu.Lock()
	s.runs[key] = append(s.runs[key], name)
	s.mu.Unlock()
	a.Ticket.Complete(ok(name))
	return result{"ran", name}
}
