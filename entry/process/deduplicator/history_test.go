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

// A result is what one caller observed.
type result struct {
	kind   string // ran, replayed, unknown or none
	winner string // the caller whose call produced the response
}

// sequentialModel is the sequential specification of calls with one key: the first
// call that runs completes the key, and every later response is the response to that
// call.
var sequentialModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		ran, _ := state.(string)
		o, _ := output.(result)
		switch o.kind {
		case "ran":
			if ran != "" {
				return nil
			}
			return []any{o.winner}
		case "replayed":
			if ran != o.winner {
				return nil
			}
			return []any{ran}
		}
		return []any{ran}
	},
	Equal: func(a, b any) bool { return a == b },
}

// A workload is many concurrent calls with a few keys, and the observed results.
type workload struct {
	*testing.T
	vms []vm

	mu         sync.Mutex
	runs       map[string][]string // callers whose call ran, by key
	operations map[string][]porcupine.Operation
}

// Callers repeat bookings through several VMs at once, while appends are refused,
// lost, delayed and duplicated. The service must get each booking at most once, and
// every response must be the response to that call. Once the log works again, no key
// may be stuck: the next call must run or get the outcome.
func TestHistories(t *testing.T) {
	const vms, keys, callers = 3, 8, 12
	log := newLog()
	random := rand.New(rand.NewPCG(1, 2))
	log.setFaults(func([]byte) fault { return fault(random.IntN(10)) }) // 0 and values above 5 mean no fault
	s := &workload{T: t, runs: make(map[string][]string), operations: make(map[string][]porcupine.Operation)}
	for i := range vms {
		s.vms = append(s.vms, run(t, log, fmt.Sprint(i), 1, neverGone))
	}
	var all sync.WaitGroup
	for n := range keys {
		for id := range callers {
			all.Go(func() { s.book(uuidAt(start, n), id, 2*time.Second) })
		}
	}
	all.Wait()
	log.setFaults(nil)
	model := sequentialModel.ToModel()
	for n := range keys {
		key := uuidAt(start, n)
		last := s.book(key, callers+1, 30*time.Second)
		assert.Assert(t, last.kind == "ran" || last.kind == "replayed", "%v", last)
		assert.Equal(t, len(s.runs[key]), 1, "%v", s.runs[key])
		assert.Assert(t, porcupine.CheckOperations(model, s.operations[key]), "%v", s.operations[key])
	}
}

// book makes one call and records its result.
func (s *workload) book(key string, id int, limit time.Duration) result {
	ctx, cancel := context.WithTimeout(s.Context(), limit)
	defer cancel()
	started := time.Now().UnixNano()
	r := s.attempt(ctx, key, id)
	ended := time.Now().UnixNano()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operations[key] = append(s.operations[key], porcupine.Operation{
		ClientId: id, Call: started, Output: r, Return: ended,
	})
	return r
}

// attempt makes one call; every third caller that is permitted to send abandons.
func (s *workload) attempt(ctx context.Context, key string, id int) result {
	name := fmt.Sprint(id)
	c := call(key)
	c.Timestamped = false // the keys have a fixed creation time
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
