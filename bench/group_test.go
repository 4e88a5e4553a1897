package main_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/starter"
)

// reading has engines read slowly enough that a fault finds a group in the
// middle of its parts.
func reading(s *starter.Size) { s.Prefill, s.Cold = 20_000, s.Slots }

// fileOf is a prompt in tokens that needs three engines, each of which lends
// four fifths of its memory to long prompts. A fleet of four can lose one.
func fileOf(s starter.Size) int { return s.Memory * 11 / 5 }

// file asks about a file that needs three engines, and returns when one of them
// keeps its part and another reads.
func (b *bench) file(vm *starter.Process) *asked {
	q := b.ask(vm, "a whole bargaining file", fileOf(b.Size), 16)
	b.until("an engine has read a part", func() (bool, error) { return len(b.streams(vm)) >= 2, nil })
	return q
}

// A VM loses power while engines read the parts of a file for it. Each part
// holds most of an engine's memory, and nobody is left who would free it; the
// others must, or no file is ever read again.
func TestKilledVMLeavesNoParts(t *testing.T) {
	b := start(t, reading)
	vm := b.VMs[0]
	q := b.file(vm)
	assert.NilError(t, vm.Kill())
	assert.NilError(t, b.Deregister(b.ctx, vm))
	killed := time.Now()
	b.truthful(q)
	b.reclaimed()
	t.Logf("nothing is left %s after the kill", time.Since(killed))
	b.whole(b.ask(b.VMs[1], "the same file", fileOf(b.Size), 16))
	b.reclaimed()
}

// An engine dies while a group reads a file. The caller gets a whole answer from
// others or a truthful failure, the parts that were read are freed, and the engines
// that are left can read a file.
func TestKilledEngineLeavesNoParts(t *testing.T) {
	b := start(t, reading)
	q := b.file(b.VMs[0])
	assert.NilError(t, b.Engines[0].Kill())
	killed := time.Now()
	b.truthful(q)
	t.Logf("the caller's answer (whole: %t, status %d, error %v) came %s after the kill", q.answer.Whole, q.answer.Status, q.answer.Err, time.Since(killed))
	b.Engines = b.Engines[1:]
	b.reclaimed()
	t.Logf("nothing is left %s after the kill", time.Since(killed))
	b.whole(b.ask(b.VMs[0], "the same file", fileOf(b.Size), 16))
}
