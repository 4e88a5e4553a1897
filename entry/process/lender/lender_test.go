package lender_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/lender"
	"github.com/heathervane/heathervane/entry/process/limiter"
)

var epoch = time.Unix(1_000_000, 0)

func config() lender.Config {
	return lender.Config{
		Name: "e", Slots: 16, Cold: 2, Memory: 100_000, Life: 2 * time.Second, Drift: 0.01,
		Fresh: 3 * time.Second, Settle: time.Second / 2, Longest: time.Minute, Lists: true,
	}
}

// warmLender holds a warm upstream and knows all that runs there.
func warmLender() *lender.Lender {
	l := lender.New(config(), limiter.New(16, 2), 1, epoch, true)
	l.Import(epoch, lender.Table{Name: "e", Boot: 7, Full: true, Known: true})
	l.Loaded(epoch, lender.Load{Boot: 7, Taken: epoch})
	return l
}

func who(n int) lender.Who { return lender.Who{VM: fmt.Sprintf("v%d", n), Boot: uint64(n) + 1} }

func TestShareAddsUpToHalf(t *testing.T) {
	for slots := range 40 {
		for seats := 1; seats < 12; seats++ {
			sum := 0
			for seat := range seats {
				sum += lender.Share("e", slots, seats, seat)
			}
			assert.Equal(t, sum, slots/2)
		}
	}
	assert.Equal(t, lender.Share("e", 16, 0, 0), 0)
	assert.Equal(t, lender.Share("e", 16, 4, 4), 0)
}

// The few slots that don't divide evenly fall to other seats at each upstream.
func TestShareIsSpread(t *testing.T) {
	sums := map[int]int{}
	for i := range 400 {
		for seat := range 8 {
			sums[seat] += lender.Share(fmt.Sprintf("e%d", i), 4, 8, seat)
		}
	}
	for seat, n := range sums {
		assert.Assert(t, n > 60 && n < 140, "seat %d has %d of 800", seat, n)
	}
}

// A few VMs want everything. Those that want little get it all the same.
func TestWantsAreMetInTurns(t *testing.T) {
	l := warmLender()
	wants := []int{100, 100, 2, 1}
	for n, want := range wants {
		l.Handle(epoch, who(n), lender.Ask{Name: "e", Seq: 1, Want: want})
	}
	got := map[string]int{}
	for _, o := range l.Tick(epoch) {
		got[o.To.VM] = o.Loan.Slots
	}
	assert.DeepEqual(t, got, map[string]int{"v0": 7, "v1": 6, "v2": 2, "v3": 1})
}

// Asks come from a VM that gets no answers. What it was lent stays counted, also
// the most of it, however long that lasts; a word on loans that were never sent
// counts for nothing.
func TestUnansweredBorrower(t *testing.T) {
	l := warmLender()
	now := epoch
	for n := range 200 {
		now = now.Add(100 * time.Millisecond)
		want := 3
		if n == 0 {
			want = 16
		}
		l.Handle(now, who(0), lender.Ask{Name: "e", Seq: uint64(n) + 1, Want: want, Fence: 1, Ack: 1 << 40})
		if n > 0 {
			l.Handle(now, who(1), lender.Ask{Name: "e", Seq: uint64(n) + 1, Want: 16})
		}
		for _, o := range l.Tick(now) {
			assert.Assert(t, o.To != who(1) || o.Loan.Slots == 0, "lent twice in round %d", n)
		}
	}
}

// A VM that wanted much dies, and its seat goes to another. Lent to again, it
// would count as lending for ever, and its slots lie idle.
func TestDeadVMIsLentNothing(t *testing.T) {
	l := warmLender()
	l.Shares(epoch, map[lender.Who]int{who(0): 2})
	l.Handle(epoch, who(0), lender.Ask{Name: "e", Seq: 1, Want: 100})
	l.Handle(epoch, who(1), lender.Ask{Name: "e", Seq: 1, Want: 8})
	l.Tick(epoch)
	now := epoch
	for n := range 100 {
		now = now.Add(100 * time.Millisecond)
		if n == 40 {
			l.Shares(now, nil)
		}
		l.Handle(now, who(1), lender.Ask{Name: "e", Seq: uint64(n) + 2, Want: 1})
		for _, o := range l.Tick(now) {
			late := now.Sub(epoch) > 2020*time.Millisecond
			assert.Assert(t, o.To == who(1) || !late, "lent to a dead VM in round %d", n)
		}
	}
}

// A long prompt's memory is lent whole or not at all.
func TestMemoryIsLentWhole(t *testing.T) {
	l := warmLender()
	l.Handle(epoch, who(0), lender.Ask{Name: "e", Seq: 1, Want: 1, Need: 60_000})
	l.Handle(epoch, who(1), lender.Ask{Name: "e", Seq: 1, Want: 1, Need: 30_000})
	got := map[string]int{}
	for _, o := range l.Tick(epoch) {
		got[o.To.VM] = o.Loan.Tokens
	}
	assert.DeepEqual(t, got, map[string]int{"v0": 60_000, "v1": 0})
}

// Late and doubled asks change nothing: an old one could say that slots are free
// which have been taken since.
func TestOldAsksAreIgnored(t *testing.T) {
	l := warmLender()
	l.Handle(epoch, who(0), lender.Ask{Name: "e", Seq: 2, Used: 9, Want: 9})
	l.Tick(epoch)
	before := l.Charged()
	l.Handle(epoch, who(0), lender.Ask{Name: "e", Seq: 1, Used: 0})
	l.Handle(epoch, who(0), lender.Ask{Name: "e", Seq: 3, Used: -5})
	assert.Equal(t, l.Charged(), before)
}

// A VM takes over from a dead one and leaves by plan at once. What the dead one
// left running is known to neither, so the next holder must ask for it as well.
func TestTableOfOneThatDoesNotKnowAll(t *testing.T) {
	second := lender.New(config(), limiter.New(16, 2), 2, epoch, false)
	second.Loaded(epoch, lender.Load{Boot: 7, Running: 12, Taken: epoch})
	table := second.Export()

	third := lender.New(config(), limiter.New(16, 2), 3, epoch, table.Known)
	third.Import(epoch, table)
	third.Loaded(epoch, lender.Load{Boot: 7, Running: 12, Taken: epoch})
	third.Handle(epoch, who(0), lender.Ask{Name: "e", Seq: 1, Want: 9})
	assert.Equal(t, len(third.Tick(epoch)), 0)
	later := epoch.Add(time.Second)
	third.Streams(later, later, 7, map[lender.Who]int{who(9): 12})
	third.Handle(later, who(0), lender.Ask{Name: "e", Seq: 2, Want: 9})
	assert.Equal(t, len(third.Tick(later)), 1)
	assert.Assert(t, third.Charged() >= 12)
}

func BenchmarkTick(b *testing.B) {
	for _, vms := range []int{8, 64, 330} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			l := warmLender()
			for n := range vms {
				l.Handle(epoch, who(n), lender.Ask{Name: "e", Seq: 1, Want: 2})
			}
			for b.Loop() {
				l.Tick(epoch)
			}
		})
	}
}
