package main_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/caller"
	"github.com/heathervane/heathervane/bench/starter"
)

// The platform pauses a VM for longer than its leases last and then lets it run
// on. Meanwhile the others took it for dead and freed its streams at the
// engines. The woken VM must not give what it has for a whole answer: its
// callers are told that the answer was cut.
func TestFrozenVMEndsItsStreamsTruthfully(t *testing.T) {
	b := start(t, slow)
	vm := b.VMs[0]
	asked := b.askAll(vm, 4, 250)
	b.running(vm, len(asked))
	assert.NilError(t, vm.Freeze())
	b.until("the others have freed the frozen VM's streams", func() (bool, error) {
		return len(b.streams(vm)) == 0, nil
	})
	assert.NilError(t, vm.Wake())
	for _, q := range asked {
		b.truthful(q)
	}
	b.reclaimed()
	b.until("the woken VM serves again", func() (bool, error) {
		q := b.ask(vm, "after the pause", 1000, 8)
		<-q.done
		if !q.answer.Whole {
			t.Logf("the woken VM: status %d, %s %q, after %v: %v", q.answer.Status, q.answer.Code, q.answer.Text, q.answer.End, q.answer.Err)
		}
		return q.answer.Whole, nil
	})
}

// A VM is paused while its call to the booking service is under way. The member
// gets no answer and books again, under the same key, through another VM, while
// the first is still paused. However the two end, one seat is booked.
func TestFrozenVMBooksOnce(t *testing.T) {
	b := start(t)
	b.faults(starter.Faults{Slower: 50}, b.Services...) // a call takes a second
	key := newKey(t)
	first := make(chan caller.Outcome, 1)
	go func() { first <- b.book(b.VMs[0], key) }()
	b.until("the service has the call", func() (bool, error) {
		for _, p := range b.Services {
			load, err := starter.LoadOf(b.ctx, p)
			if err != nil || load.Running > 0 {
				return err == nil, err
			}
		}
		return false, nil
	})
	assert.NilError(t, b.VMs[0].Freeze())
	b.until("the service has run the call", func() (bool, error) { return b.effects(key) == 1, nil })
	second := b.book(b.VMs[1], key)
	assert.Check(t, second.Ran != "no" || second.Status == 200, "%+v", second)
	assert.NilError(t, b.VMs[0].Wake())
	<-first
	third := b.book(b.VMs[2], key)
	assert.Check(t, third.Ran != "no", "%+v", third)
	assert.Equal(t, b.effects(key), 1)
}
