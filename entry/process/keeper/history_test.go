package keeper_test

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

// Members repeat bookings through several VMs at once, while appends are
// refused, lost, late and doubled. The service gets each booking once at most,
// and all who get an answer get that one's.
func TestHistories(t *testing.T) {
	const vms, keys, callers = 3, 8, 12
	log := newLog()
	random := rand.New(rand.NewPCG(1, 2))
	log.set(func([]byte) fault { return fault(random.IntN(8)) }) // none for 0, 6 and 7
	var list []vm
	for i := range vms {
		list = append(list, run(t, log, fmt.Sprint(i), 1, nobodyGone))
	}
	var mu sync.Mutex
	runs := make([]map[string]int, keys)
	operations := make([][]porcupine.Operation, keys)
	var all sync.WaitGroup
	for n := range keys {
		key := keyMade(time.Now(), n)
		runs[n] = make(map[string]int)
		for id := range callers {
			all.Go(func() {
				name := fmt.Sprint(n, ".", id)
				began := time.Now().UnixNano()
				r := book(t, list[id%vms], key, name, func() {
					mu.Lock()
					runs[n][name]++
					mu.Unlock()
				})
				ended := time.Now().UnixNano()
				mu.Lock()
				operations[n] = append(operations[n], porcupine.Operation{
					ClientId: id, Call: began, Output: r, Return: ended,
				})
				mu.Unlock()
			})
		}
	}
	all.Wait()
	model := history.ToModel()
	ran := 0
	for n := range keys {
		assert.Assert(t, len(runs[n]) <= 1, "%v", runs[n])
		ran += len(runs[n])
		assert.Assert(t, porcupine.CheckOperations(model, operations[n]), "%v", operations[n])
	}
	assert.Assert(t, ran > 0)
}

// book makes one call; every third one that is allowed to run sends nothing.
func book(t *testing.T, k vm, key, name string, run func()) result {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	a := k.Begin(ctx, call(key))
	switch {
	case a.Outcome != nil:
		return result{"replayed", string(a.Outcome.Body)}
	case a.Refusal != nil && a.Refusal.Ran == refuser.Unknown:
		return result{kind: "unknown"}
	case a.Refusal != nil:
		return result{kind: "none"}
	}
	if len(name)%3 == 0 || a.Ticket.Check() != nil {
		a.Ticket.Abandon()
		return result{kind: "none"}
	}
	run()
	a.Ticket.Done(ok(name))
	return result{"ran", name}
}
