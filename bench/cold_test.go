package main_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/caller"
	"github.com/heathervane/heathervane/bench/starter"
	"github.com/heathervane/heathervane/bench/verifier"
)

// Two engines turn cold under load, without a word. A cold engine falls over
// when it gets more at once than it bears, and every answer on it is lost. The
// VMs do not know of each other's requests one by one, so the bound must hold
// over all of them together, from the first request after the turn until the
// engine is warm again; the engine counts it itself.
func TestColdAgainGetsNoMoreThanItBears(t *testing.T) {
	b := start(t, func(s *starter.Size) { s.Warm = 20 })
	load := b.load(6)
	load.past(30)
	b.faults(starter.Faults{Cold: true}, b.Engines[0], b.Engines[1])
	load.past(150)
	b.until("both engines are warm again", func() (bool, error) {
		for _, p := range b.Engines[:2] {
			l, err := starter.LoadOf(b.ctx, p)
			if err != nil || l.Cold {
				return false, err
			}
		}
		return true, nil
	})
	load.stop()
	for _, p := range b.Engines {
		peak, err := starter.PeakOf(b.ctx, p)
		assert.NilError(t, err)
		assert.Check(t, peak.Falls == 0 && peak.Most() <= peak.Bears, "%s: %+v", p.Name, peak)
	}
	assert.Equal(t, load.wrong.Load(), int64(0))
}

// A load asks short questions without a pause, some at a time through each VM.
type load struct {
	b     *bench
	ended chan struct{}
	left  chan struct{}
	whole atomic.Int64
	wrong atomic.Int64
}

// load begins a load with so many callers at each VM.
func (b *bench) load(callers int) *load {
	l := &load{b: b, ended: make(chan struct{}), left: make(chan struct{})}
	count := callers * len(b.VMs)
	gone := make(chan struct{}, count)
	for i := range count {
		go func() {
			l.run(b.VMs[i%len(b.VMs)], i)
			gone <- struct{}{}
		}()
	}
	go func() {
		for range count {
			<-gone
		}
		close(l.left)
	}()
	return l
}

func (l *load) run(vm *starter.Process, n int) {
	for i := 0; ; i++ {
		select {
		case <-l.ended:
			return
		default:
		}
		const output = 16
		prompt := verifier.Prompt(fmt.Sprintf("caller %d question %d", n, i), 1000*l.b.Size.Bytes)
		a := l.b.caller.Ask(l.b.ctx, vm.Line.Callers, l.b.token(), caller.Question{
			Model: l.b.Size.Model, Prompt: prompt, Output: output,
		})
		switch {
		case a.Whole && verifier.Own(prompt, output, a):
			l.whole.Add(1)
		case a.Whole || !verifier.Begins(prompt, output, a):
			l.wrong.Add(1)
		}
	}
}

// past waits until so many more answers have come.
func (l *load) past(count int64) {
	l.b.t.Helper()
	from := l.whole.Load()
	l.b.until("answers come", func() (bool, error) { return l.whole.Load() >= from+count, nil })
}

// stop ends the load and waits for its last answers.
func (l *load) stop() {
	close(l.ended)
	<-l.left
}
