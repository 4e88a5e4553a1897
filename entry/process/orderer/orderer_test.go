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
	// settleTime is at least the settle time of every engine.
	settleTime = load + 20*time.Second
)

var epoch = time.Unix(1_000_000, 0)

func config() orderer.Config { return orderer.Config{MaxLoads: 2, Lease: lease, DrainTimeout: drain} }

// outdated returns an engine that this process holds and that reports an old version.
func outdated(name string) orderer.Observation {
	return orderer.Observation{
		Engine:        orderer.Engine{Name: name, Model: "m", Version: "2", MaxLoadTime: load},
		ReportedModel: "m", ReportedVersion: "1", Held: true, Fence: 5,
	}
}

// run ticks for the duration d with the same observations, freshly read, and returns
// the orders. Every order has the same outcome.
func run(r *orderer.Orderer, from time.Time, d time.Duration, outcome orderer.Outcome, observations ...orderer.Observation) []orderer.Order {
	var all []orderer.Order
	for now := from; now.Before(from.Add(d)); now = now.Add(step) {
		for i := range observations {
			observations[i].ReadAt = now
		}
		for _, o := range r.Tick(now, observations) {
			r.RecordOutcome(o, outcome)
			all = append(all, o)
		}
	}
	return all
}

func TestWhichEnginesAreOrdered(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*orderer.Observation)
		orders int
	}{
		"outdated engine":           {func(*orderer.Observation) {}, 1},
		"engine with another model": {func(o *orderer.Observation) { o.ReportedModel, o.ReportedVersion = "n", "2" }, 1},
		"up-to-date engine":         {func(o *orderer.Observation) { o.ReportedVersion = "2" }, 0},
		"engine held by another VM": {func(o *orderer.Observation) { o.Held = false }, 0},
		"engine with requests":      {func(o *orderer.Observation) { o.Requests = 1 }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			o := outdated("e1")
			c.change(&o)
			assert.Equal(t, len(run(orderer.New(config()), epoch, settleTime, orderer.Accepted, o)), c.orders)
		})
	}
}

// A request that never ends would keep an engine on its old version forever.
func TestBusyEngineIsOrderedAfterDrainTimeout(t *testing.T) {
	o := outdated("e1")
	o.Requests = 1
	r := orderer.New(config())
	assert.Equal(t, len(run(r, epoch, drain, orderer.Accepted, o)), 0)
	assert.Equal(t, len(run(r, epoch.Add(drain), settleTime, orderer.Accepted, o)), 1)
}

// The engine accepts an order and its reply is lost. A second order would restart
// the load: if it were repeated every second, the engine would never finish loading
// and its callers would wait forever.
func TestLostOrderIsNotRepeatedBeforeTheLoadHasEnded(t *testing.T) {
	orders := run(orderer.New(config()), epoch, 10*time.Minute, orderer.Lost, outdated("e1"))
	assert.Assert(t, len(orders) > 2)
	gap := load
	for i, o := range orders[1:] {
		elapsed := o.DecidedAt.Sub(orders[i].DecidedAt)
		assert.Assert(t, elapsed >= gap, "order %d after %s", i+2, elapsed)
		gap = min(2*gap, 16*load)
	}
}

// Another process has taken the engine over and ordered it. Further orders under the
// old fence would be refused, or, at an engine that forgot the fence it has seen,
// would undo the newer order. The process sends none until it has a new claim.
func TestFencedHolderStopsUntilTheClaimChanges(t *testing.T) {
	r, o := orderer.New(config()), outdated("e1")
	assert.Equal(t, len(run(r, epoch, 10*time.Minute, orderer.Fenced, o)), 1)
	o.Fence++
	assert.Equal(t, len(run(r, epoch.Add(10*time.Minute), 10*time.Minute, orderer.Fenced, o)), 1)
}

// An engine has just loaded for its previous holder and does not report it yet. If
// the new holder ordered it again, it would load once more while the other VMs see
// it as up to date and order the next engine, so that more engines load than
// allowed. An engine that ignores fences would also carry out the orders that the
// previous holder still sends within its lease.
func TestNewHolderWaitsForLoadsOfThePreviousHolder(t *testing.T) {
	r, o := orderer.New(config()), outdated("e1")
	o.Held = false
	assert.Equal(t, len(run(r, epoch, settleTime, orderer.Accepted, o)), 0)
	o.Held = true
	orders := run(r, epoch.Add(settleTime), settleTime, orderer.Accepted, o)
	assert.Assert(t, len(orders) > 0)
	elapsed := orders[0].DecidedAt.Sub(epoch.Add(settleTime))
	assert.Assert(t, elapsed >= lease && elapsed > load, "ordered after %s", elapsed)
}

// A holder is frozen between deciding and sending an order, and another VM takes the
// engine over meanwhile. When the holder resumes it would send an outdated order.
func TestOrderExpiresWithItsFenceAndWithTime(t *testing.T) {
	o := orderer.Order{Fence: 5, DecidedAt: epoch}
	assert.Assert(t, o.Valid(epoch.Add(time.Second/2), 5, true))
	assert.Assert(t, !o.Valid(epoch, 6, true))
	assert.Assert(t, !o.Valid(epoch, 5, false))
	assert.Assert(t, !o.Valid(epoch.Add(time.Minute), 5, true))
}

// A VM that was frozen resumes with old reports. They show an engine as idle and
// outdated that is busy or up to date by now.
func TestOldReportsCauseNoOrders(t *testing.T) {
	r, o := orderer.New(config()), outdated("e1")
	o.ReadAt = epoch
	for now := epoch; now.Before(epoch.Add(10 * time.Minute)); now = now.Add(step) {
		assert.Equal(t, len(r.Tick(now, []orderer.Observation{o})), 0)
	}
}

// An engine that gives no reports may be loading. It counts as one that loads, and
// the next engines wait.
func TestEnginesWithoutReportsCountAsLoading(t *testing.T) {
	observations := []orderer.Observation{outdated("e1"), outdated("e2"), outdated("e3")}
	r := orderer.New(config())
	for now := epoch; now.Before(epoch.Add(settleTime)); now = now.Add(step) {
		observations[0].ReadAt, observations[1].ReadAt, observations[2].ReadAt = time.Time{}, time.Time{}, now
		assert.Equal(t, len(r.Tick(now, observations)), 0)
	}
}

// An engine accepts no orders, for example because it runs an older release. It stays
// selected to load, and without a time limit it would never get requests again.
func TestEngineThatRefusesOrdersGetsRequestsAgain(t *testing.T) {
	r, observations := orderer.New(config()), []orderer.Observation{outdated("e1"), outdated("e2")}
	run(r, epoch, settleTime, orderer.Refused, observations...)
	assert.DeepEqual(t, r.Draining(), []string{"e1"})
	run(r, epoch.Add(settleTime), drain+2*settleTime, orderer.Refused, observations...)
	assert.Equal(t, len(r.Draining()), 0)
}

func TestDrainingLeavesTheRestOfAPool(t *testing.T) {
	for size, want := range map[int]int{1: 0, 2: 1, 4: 1, 7: 1, 8: 2, 40: 2} {
		var observations []orderer.Observation
		for i := range size {
			observations = append(observations, outdated("e"+string(rune('A'+i))))
		}
		r := orderer.New(config())
		run(r, epoch, settleTime, orderer.Accepted, observations...)
		assert.Equal(t, len(r.Draining()), want, "pool of %d", size)
	}
}
