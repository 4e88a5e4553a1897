package main_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/caller"
	"github.com/heathervane/heathervane/bench/starter"
)

// A VM loses power after it has sent a booking and before it could record the
// outcome. The member books again under the same key, through the others and
// through the VM's replacement: nobody knows whether the first ran, all say so,
// and none books again.
func TestKilledVMBooksOnce(t *testing.T) {
	b := start(t)
	b.faults(starter.Faults{Slower: 50}, b.Services...) // a call takes a second
	key := newKey(t)
	vm := b.VMs[0]
	first := make(chan caller.Outcome, 1)
	go func() { first <- b.book(vm, key) }()
	b.until("a service has the call", func() (bool, error) {
		for _, p := range b.Services {
			load, err := starter.LoadOf(b.ctx, p)
			if err != nil || load.Running > 0 {
				return err == nil, err
			}
		}
		return false, nil
	})
	assert.NilError(t, vm.Kill())
	assert.NilError(t, b.Deregister(b.ctx, vm))
	assert.Assert(t, (<-first).Err != nil, "the caller's connection broke off")
	b.until("the service has run the call", func() (bool, error) { return b.effects(key) == 1, nil })
	assert.NilError(t, b.Restart(b.ctx, vm))
	for _, vm := range b.VMs {
		var again caller.Outcome
		b.until("the VM judges keys", func() (bool, error) { // the new one refuses at first
			again = b.book(vm, key)
			return again.Status != http.StatusServiceUnavailable, again.Err
		})
		assert.Equal(t, again.Ran, "unknown", "%+v", again)
	}
	assert.Equal(t, b.effects(key), 1)
}

// The log takes records and loses the answers, takes them twice, or is slow. A
// member books through two VMs at once under one key; one booking is made, and
// a third request gets its confirmation.
func TestLogFaultsBookOnce(t *testing.T) {
	b := start(t)
	for name, f := range map[string]starter.Faults{
		"answers lost": {Lose: 4},
		"taken twice":  {Double: 6},
		"slow":         {Slow: 300},
	} {
		t.Run(name, func(t *testing.T) {
			b.faults(f, b.Log)
			key := newKey(t)
			both := make(chan caller.Outcome, 2)
			for _, vm := range b.VMs[:2] {
				go func() { both <- b.book(vm, key) }()
			}
			one, two := <-both, <-both
			b.faults(starter.Faults{}, b.Log)
			last := b.book(b.VMs[2], key)
			assert.NilError(t, last.Err)
			assert.Equal(t, last.Status, http.StatusOK, "%+v", last)
			for _, o := range []caller.Outcome{one, two} {
				assert.NilError(t, o.Err)
				assert.Check(t, o.Status != http.StatusOK || o.Body == last.Body, "%+v", o)
			}
			assert.Equal(t, b.effects(key), 1)
		})
	}
}
