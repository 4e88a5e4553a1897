package main_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/starter"
)

// An operator takes a zone out at short notice, under load. Answers that stream
// from its engines end whole; three seconds later none of its engines begins
// anything new, as they list it themselves. When the zone is in again, its
// engines get work again.
func TestZoneOutGetsNoNewWork(t *testing.T) {
	b := start(t, slow)
	zone := b.Size.Zones[0]
	b.outAndIn(b.inZone(zone), "zone", zone)
}

// An operator takes one engine out, to replace it. Answers that stream from it
// end whole, and three seconds later it begins nothing new. When it is in
// again, it gets work again.
func TestUpstreamOutGetsNoNewWork(t *testing.T) {
	b := start(t, slow)
	p := b.Engines[0]
	b.outAndIn([]*starter.Process{p}, "upstream", p.Name)
}

// outAndIn takes engines out by one order, under load, and in again.
func (b *bench) outAndIn(engines []*starter.Process, kind, name string) {
	b.t.Helper()
	var before []*asked
	for _, vm := range b.VMs {
		before = append(before, b.askAll(vm, 4, 160)...)
		b.running(vm, 4)
	}
	load := b.load(2)
	load.past(6)
	b.operate(kind, "out", name)
	out := time.Now()
	for _, q := range before {
		b.whole(q)
	}
	// The load goes on beside it until well after the three seconds.
	for time.Since(out) < 2*settle {
		load.past(5)
		b.noneSince(engines, out.Add(settle))
	}
	b.operate(kind, "in", name)
	in := time.Now()
	b.until("they get work again", func() (bool, error) { return b.begun(engines, in) > 0, nil })
	load.stop()
	assert.Equal(b.t, load.wrong.Load(), int64(0))
}

// settle is how long after an order an engine that was taken out may still begin work.
const settle = 3 * time.Second

func (b *bench) inZone(zone string) []*starter.Process {
	var list []*starter.Process
	for _, p := range b.Engines {
		if b.Zone(p) == zone {
			list = append(list, p)
		}
	}
	return list
}

// begun counts what engines hold that began after a time.
func (b *bench) begun(engines []*starter.Process, after time.Time) int {
	b.t.Helper()
	count := 0
	for _, p := range engines {
		now := time.Now()
		streams, err := starter.Streams(b.ctx, p)
		assert.NilError(b.t, err)
		for _, s := range streams {
			if now.Add(-time.Duration(s.Age) * time.Millisecond).After(after) {
				count++
			}
		}
	}
	return count
}

func (b *bench) noneSince(engines []*starter.Process, after time.Time) {
	b.t.Helper()
	assert.Equal(b.t, b.begun(engines, after), 0)
}
