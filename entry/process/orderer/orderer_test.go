package orderer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/orderer"
)

const (
	load  = 10 * time.Second
	lease = 2 * time.Second
	drain = time.Minute
	step  = time.Second
	// settling is long enough for any engine's settling time.
	settling = load + 20*time.Second
)

var epoch = time.Unix(1_000_000, 0)

func config() orderer.Config { return orderer.Config{MaxLoads: 2, Lease: lease, DrainTimeout: drain} }

// behind is an engine that this process holds and that shows an old version.
func behind(name string) orderer.Observation {
	return orderer.Observation{
		Engine:        orderer.Engine{Name: name, Model: "m", Version: "2", MaxLoadTime: load},
		ReportedModel: "m", ReportedVersion: "1", Held: true, Fence: 5,
	}
}

// run ticks for a time with the same facts, freshly read, and returns what is
// ordered; each order ends in the same answer.
func run(r *orderer.Orderer, from time.Time, d time.Duration, answer orderer.Outcome, facts ...orderer.Observation) []orderer.Order {
	var all []orderer.Order
	for now := from; now.Before(from.Add(d)); now = now.Add(step) {
		for i := range facts {
			facts[i].ReadAt = now
		}
		for _, o := range r.Tick(now, facts) {
			r.RecordOutcome(o, answer)
			all = append(all, o)
		}
	}
	return all
}

func TestWhoIsOrdered(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*orderer.Observation)
		orders int
	}{
		"one that is behind":     {func(*orderer.Observation) {}, 1},
		"one of another model":   {func(f *orderer.Observation) { f.ReportedModel, f.ReportedVersion = "n", "2" }, 1},
		"one that is right":      {func(f *orderer.Observation) { f.ReportedVersion = "2" }, 0},
		"one held by another VM": {func(f *orderer.Observation) { f.Held = false }, 0},
		"one with work":          {func(f *orderer.Observation) { f.Requests = 1 }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := behind("e1")
			c.change(&f)
			assert.Equal(t, len(run(orderer.New(config()), epoch, settling, orderer.Accepted, f)), c.orders)
		})
	}
}

// A request that never ends would keep an engine on its old version for ever.
func TestEngineWithWorkIsOrderedAfterTheLongestTimeOfWork(t *testing.T) {
	f := behind("e1")
	f.Requests = 1
	r := orderer.New(config())
	assert.Equal(t, len(run(r, epoch, drain, orderer.Accepted, f)), 0)
	assert.Equal(t, len(run(r, epoch.Add(drain), settling, orderer.Accepted, f)), 1)
}

// The engine takes an order and its answer is lost. A second order would begin
// the load anew: repeated every second, the engine never ends loading, and its
// callers wait for ever.
func TestLostAnswerIsNotRepeatedBeforeTheLoadHasEnded(t *testing.T) {
	orders := run(orderer.New(config()), epoch, 10*time.Minute, orderer.Lost, behind("e1"))
	assert.Assert(t, len(orders) > 2)
	gap := load
	for i, o := range orders[1:] {
		since := o.At.Sub(orders[i].At)
		assert.Assert(t, since >= gap, "order %d after %s", i+2, since)
		gap = min(2*gap, 16*load)
	}
}

// Another process has taken the engine over and has ordered it. What this one
// still sends would only be refused, and on an engine that forgot its fence it
// would undo the newer order. So it stops until it has a claim of its own again.
func TestFencedHolderStopsUntilTheClaimChanges(t *testing.T) {
	r, f := orderer.New(config()), behind("e1")
	assert.Equal(t, len(run(r, epoch, 10*time.Minute, orderer.Fenced, f)), 1)
	f.Fence++
	assert.Equal(t, len(run(r, epoch.Add(10*time.Minute), 10*time.Minute, orderer.Fenced, f)), 1)
}

// An engine has just loaded for its old holder and does not report it yet. The
// new holder, who knows nothing of that, orders it again: it loads once more,
// while all others see it as right and order the next one, so that more load
// than may. An engine that checks no fences would also obey what the old holder
// still sends within its lease.
func TestNewHolderWaitsForWhatTheOldOneOrdered(t *testing.T) {
	r, f := orderer.New(config()), behind("e1")
	f.Held = false
	assert.Equal(t, len(run(r, epoch, settling, orderer.Accepted, f)), 0)
	f.Held = true
	orders := run(r, epoch.Add(settling), settling, orderer.Accepted, f)
	assert.Assert(t, len(orders) > 0)
	since := orders[0].At.Sub(epoch.Add(settling))
	assert.Assert(t, since >= lease && since > load, "ordered after %s", since)
}

// A holder freezes between its decision and the sending, and another takes the
// engine over meanwhile. When it wakes it would send an order that is long
// replaced.
func TestOrderDiesWithItsClaimAndWithTime(t *testing.T) {
	o := orderer.Order{Fence: 5, At: epoch}
	assert.Assert(t, o.Valid(epoch.Add(time.Second/2), 5, true))
	assert.Assert(t, !o.Valid(epoch, 6, true))
	assert.Assert(t, !o.Valid(epoch, 5, false))
	assert.Assert(t, !o.Valid(epoch.Add(time.Minute), 5, true))
}

// A VM that was frozen wakes with old readings. By them an engine is idle and
// behind that works or is right again.
func TestOldReadingsOrderNothing(t *testing.T) {
	r, f := orderer.New(config()), behind("e1")
	f.ReadAt = epoch
	for now := epoch; now.Before(epoch.Add(10 * time.Minute)); now = now.Add(step) {
		assert.Equal(t, len(r.Tick(now, []orderer.Observation{f})), 0)
	}
}

// An engine gives no reports. It may be loading, so it counts among those that
// load, and the next ones wait.
func TestEnginesWithoutReportsCount(t *testing.T) {
	facts := []orderer.Observation{behind("e1"), behind("e2"), behind("e3")}
	r := orderer.New(config())
	for now := epoch; now.Before(epoch.Add(settling)); now = now.Add(step) {
		facts[0].ReadAt, facts[1].ReadAt, facts[2].ReadAt = time.Time{}, time.Time{}, now
		assert.Equal(t, len(r.Tick(now, facts)), 0)
	}
}

// An engine takes no orders, as one of an older release. Its turn never ends, and
// without an end of another kind it would get no work ever again.
func TestEngineThatTakesNoOrdersGetsWorkAgain(t *testing.T) {
	r, facts := orderer.New(config()), []orderer.Observation{behind("e1"), behind("e2")}
	run(r, epoch, settling, orderer.Refused, facts...)
	assert.DeepEqual(t, r.Draining(), []string{"e1"})
	run(r, epoch.Add(settling), drain+2*settling, orderer.Refused, facts...)
	assert.Equal(t, len(r.Draining()), 0)
}

func TestTurnsLeaveTheRestOfAPool(t *testing.T) {
	for size, want := range map[int]int{1: 0, 2: 1, 4: 1, 7: 1, 8: 2, 40: 2} {
		var facts []orderer.Observation
		for i := range size {
			facts = append(facts, behind("e"+string(rune('A'+i))))
		}
		r := orderer.New(config())
		run(r, epoch, settling, orderer.Accepted, facts...)
		assert.Equal(t, len(r.Draining()), want, "pool of %d", size)
	}
}
