package main_test

import (
	"testing"
)

// A VM loses power while steward's questions run through it. Its callers see
// their streams break off; nobody else notices anything. At the engines its
// streams would run on and keep their memory for ever, because nobody is left
// who would cancel them, so the other VMs must.
func TestKilledVMTakesOnlyItsOwnStreams(t *testing.T) {
	b := start(t, slow)
	const each, output = 4, 200
	dead := b.askAll(b.VMs[0], each, output)
	var others []*asked
	for _, vm := range b.VMs[1:] {
		others = append(others, b.askAll(vm, each, output)...)
	}
	for _, vm := range b.VMs {
		b.running(vm, each)
	}
	vm := b.VMs[0]
	if err := vm.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := b.Deregister(b.ctx, vm); err != nil {
		t.Fatal(err)
	}
	for _, q := range others {
		b.whole(q)
	}
	for _, q := range dead {
		b.truthful(q)
	}
	b.reclaimed()
}

// An engine dies in the middle of its answers. A caller who has had part of an
// answer sees it end with an error and without [DONE]; a caller who has had
// none of it may get a whole answer from another engine. Both must be told the
// truth, and in time.
func TestKilledEngineEndsItsStreamsTruthfully(t *testing.T) {
	b := start(t, slow)
	asked := b.askAll(b.VMs[0], 12, 200)
	b.running(b.VMs[0], len(asked))
	if err := b.Engines[0].Kill(); err != nil {
		t.Fatal(err)
	}
	whole := 0
	for _, q := range asked {
		b.truthful(q)
		if q.answer.Whole {
			whole++
		}
	}
	if whole == 0 {
		t.Errorf("no answer was whole, though three engines still ran")
	}
}
