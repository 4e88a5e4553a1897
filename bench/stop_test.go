package main_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/starter"
)

// The platform stops a VM in order, to replace it, while answers stream through
// it. Its callers get their whole answers; the VM says at once that it is not
// ready, so that the balancer sends nobody else, and ends when the last answer
// is out.
func TestPlannedStopCutsNoStream(t *testing.T) {
	b := start(t, slow)
	vm := b.VMs[0]
	asked := b.askAll(vm, 6, 120)
	b.running(vm, len(asked))
	assert.NilError(t, b.Register(b.ctx, vm, "leaving"))
	assert.NilError(t, vm.Stop())
	b.until("the VM says that it is not ready", func() (bool, error) {
		return !b.ready(vm), nil
	})
	for _, q := range asked {
		b.whole(q)
	}
	assert.NilError(t, vm.Wait(b.ctx))
	assert.Equal(t, vm.Code(), 0)
	for _, q := range b.askAll(b.VMs[1], 4, 8) {
		b.whole(q)
	}
	b.reclaimed()
}

// ready says whether a VM answers that it is ready; one that has ended is not.
func (b *bench) ready(vm *starter.Process) bool {
	r, err := http.NewRequestWithContext(b.ctx, http.MethodGet, "http://"+vm.Line.Watch+"/readyz", http.NoBody)
	assert.NilError(b.t, err)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
