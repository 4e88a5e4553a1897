package main_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/caller"
	"github.com/heathervane/heathervane/bench/starter"
)

// The service books the seat, and its answer is lost on the way. A member who
// books again under the same key through another VM must not be booked twice;
// the answer says that the outcome is unknown, or tells it.
func TestLostAnswerBooksOnce(t *testing.T) {
	b := start(t)
	b.faults(starter.Faults{Lose: 1}, b.Services...)
	key := newKey(t)
	first := b.book(b.VMs[0], key)
	assert.NilError(t, first.Err)
	assert.Equal(t, first.Ran, "unknown", "%+v", first)
	for _, vm := range b.VMs {
		again := b.book(vm, key)
		assert.NilError(t, again.Err)
		assert.Check(t, again.Ran == "unknown" || again.Ran == "yes", "%+v", again)
	}
	assert.Equal(t, b.effects(key), 1)
}

// As above for a call without a key. Nothing can tell that a second call is the
// same, so the VM must not send the first again by itself, and must not say
// that it did not run.
func TestLostAnswerWithoutKeyIsNotRepeated(t *testing.T) {
	b := start(t)
	b.faults(starter.Faults{Lose: 1}, b.Services...)
	o := b.caller.Call(b.ctx, b.VMs[0].Line.Callers, b.token(), caller.Call{
		Service: b.Size.Service, Method: http.MethodPost, Path: "/book", Body: `{"seat":2}`,
	})
	assert.NilError(t, o.Err)
	assert.Equal(t, o.Ran, "unknown", "%+v", o)
	sum := 0
	for _, p := range b.Services {
		effects, err := starter.Effects(b.ctx, p)
		assert.NilError(t, err)
		for _, n := range effects {
			sum += n
		}
	}
	assert.Equal(t, sum, 1)
}

// A member's browser sends the same booking many times at once, through all
// VMs. One runs; all who get an outcome get that one's.
func TestOneKeyManyTimesAtOnceBooksOnce(t *testing.T) {
	b := start(t)
	key := newKey(t)
	const times = 9
	outcomes := make(chan caller.Outcome, times)
	for i := range times {
		go func() { outcomes <- b.book(b.VMs[i%len(b.VMs)], key) }()
	}
	bodies := make(map[string]bool)
	for range times {
		o := <-outcomes
		assert.NilError(t, o.Err)
		if o.Status == http.StatusOK {
			bodies[o.Body] = true
		} else {
			assert.Check(t, o.Ran != "no", "%+v", o)
		}
	}
	assert.Equal(t, len(bodies), 1, "%v", bodies)
	assert.Equal(t, b.effects(key), 1)
}
