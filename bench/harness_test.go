package main_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/caller"
	"github.com/heathervane/heathervane/bench/starter"
	"github.com/heathervane/heathervane/bench/verifier"
)

// programs are built once for all tests.
var programs = sync.OnceValues(func() (starter.Programs, error) {
	folder, err := os.MkdirTemp("", "heathervane-test-")
	if err != nil {
		return starter.Programs{}, err
	}
	built = folder
	return starter.Build(context.Background(), folder)
})

// built is the folder of the programs; empty before they are built.
var built string

func TestMain(m *testing.M) {
	code := m.Run()
	if built != "" {
		os.RemoveAll(built)
	}
	os.Exit(code)
}

// patience bounds a wait on an event. It is far above any normal delay, so that
// a busy machine does not change the verdict.
const patience = time.Minute

// A bench is a running fleet and a caller in one test.
type bench struct {
	*starter.Fleet
	t      testing.TB
	ctx    context.Context
	caller *caller.Caller
}

// fleets bounds how many fleets run at once: most tests wait for leases and
// streams, but each has a dozen processes.
var fleets = make(chan struct{}, 3)

// start brings up the small fleet, changed as the test needs it, and ends it
// with the test. Tests run beside one another from here on.
func start(t testing.TB, changes ...func(*starter.Size)) *bench {
	t.Helper()
	if test, ok := t.(*testing.T); ok {
		test.Parallel()
	}
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	p, err := programs()
	assert.NilError(t, err)
	size, err := starter.SizeNamed("small")
	assert.NilError(t, err)
	for _, change := range changes {
		change(&size)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*patience)
	b := &bench{Fleet: starter.New(p, size, starter.Policy{}, t.TempDir()), t: t, ctx: ctx, caller: caller.New()}
	t.Cleanup(func() {
		b.caller.Close()
		assert.Check(t, b.Close())
		cancel()
	})
	assert.NilError(t, b.Start(ctx))
	return b
}

// slow makes answers last for seconds, so that a fault can come in their
// middle, and lets a fresh fleet run all its slots at once.
func slow(s *starter.Size) { s.Decode, s.Cold = 40, s.Slots }

// until waits for an event.
func (b *bench) until(event string, happened func() (bool, error)) {
	b.t.Helper()
	b.within(patience, event, happened)
}

// within waits for an event that takes so long by design that patience is not far
// above it.
func (b *bench) within(limit time.Duration, event string, happened func() (bool, error)) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.ctx, limit)
	defer cancel()
	assert.NilError(b.t, starter.Poll(ctx, happened), "waiting until %s", event)
}

// token is one team's bearer token.
func (b *bench) token() string { return b.Tokens["stewards"] }

// An asked is a question under way.
type asked struct {
	prompt string
	output int
	done   chan struct{}
	answer caller.Answer
}

// ask sends a question of its own through a VM without waiting for the answer.
func (b *bench) ask(vm *starter.Process, title string, prompt, output int) *asked {
	q := &asked{prompt: verifier.Prompt(title, prompt*b.Size.Bytes), output: output, done: make(chan struct{})}
	go func() {
		defer close(q.done)
		q.answer = b.caller.Ask(b.ctx, vm.Line.Callers, b.token(), caller.Question{
			Model: b.Size.Model, Prompt: q.prompt, Output: output,
		})
	}()
	return q
}

// askAll sends several questions through a VM.
func (b *bench) askAll(vm *starter.Process, count, output int) []*asked {
	var list []*asked
	for i := range count {
		list = append(list, b.ask(vm, fmt.Sprintf("%s asks %d", vm.Name, i), 1000, output))
	}
	return list
}

// whole waits for the answer and checks that it is whole and the right one.
func (b *bench) whole(q *asked) {
	b.t.Helper()
	<-q.done
	assert.Check(b.t, verifier.Check(q.prompt, q.output, q.answer))
}

// truthful waits for an answer that may have been cut, and checks that it does
// not pass for a whole one unless it is, and that what came belongs to it.
func (b *bench) truthful(q *asked) {
	b.t.Helper()
	<-q.done
	assert.Check(b.t, verifier.Begins(q.prompt, q.output, q.answer), "%.80q", q.answer.Content)
	if q.answer.Whole {
		assert.Check(b.t, verifier.Own(q.prompt, q.output, q.answer), "passes for whole after %d tokens", q.answer.Tokens)
	}
}

// streams lists what the engines hold for a VM; for nil, of all.
func (b *bench) streams(vm *starter.Process) []starter.Stream {
	b.t.Helper()
	var list []starter.Stream
	for _, p := range b.Engines {
		streams, err := starter.Streams(b.ctx, p)
		assert.NilError(b.t, err)
		list = append(list, slices.DeleteFunc(streams, func(s starter.Stream) bool {
			return vm != nil && s.VM != vm.Name
		})...)
	}
	return list
}

// running waits until the engines hold so many streams of a VM.
func (b *bench) running(vm *starter.Process, count int) {
	b.t.Helper()
	b.until(fmt.Sprintf("the engines hold %d streams of %s", count, vm.Name), func() (bool, error) {
		return len(b.streams(vm)) >= count, nil
	})
}

// reclaimed waits until the engines hold nothing of any VM.
func (b *bench) reclaimed() {
	b.t.Helper()
	b.until("the engines' memory is free", func() (bool, error) { return len(b.streams(nil)) == 0, nil })
}

// newKey is a key as callers make it: a UUID whose age can be read from it.
func newKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	assert.NilError(t, err)
	return id.String()
}

// book sends one booking under a key through a VM.
func (b *bench) book(vm *starter.Process, key string) caller.Outcome {
	return b.caller.Call(b.ctx, vm.Line.Callers, b.token(), caller.Call{
		Service: b.Size.Service, Method: "POST", Path: "/book", Body: `{"seat":1}`, Key: key,
	})
}

// effects is how often a key took effect, as the services count it.
func (b *bench) effects(key string) int {
	b.t.Helper()
	n, err := b.Effects(b.ctx, key)
	assert.NilError(b.t, err)
	return n
}

// faults sets the same faults on several stand-ins.
func (b *bench) faults(f starter.Faults, ps ...*starter.Process) {
	b.t.Helper()
	for _, p := range ps {
		assert.NilError(b.t, starter.SetFaults(b.ctx, p, f))
	}
}

// operate runs vanectl and checks that it did what it was told.
func (b *bench) operate(args ...string) {
	b.t.Helper()
	out, code, err := b.Operate(b.ctx, args...)
	assert.NilError(b.t, err)
	assert.Equal(b.t, code, 0, "vanectl %v: %s", args, out)
}
