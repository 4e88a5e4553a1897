package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/coordinator"
	"github.com/heathervane/heathervane/entry/process/lender"
)

func engine(name string) coordinator.Upstream {
	return coordinator.Upstream{Name: name, Address: name + ":1", Zone: "a", Slots: 16, Cold: 2, Memory: 100_000}
}

// service does not list what it runs.
func service(name string) coordinator.Upstream {
	return coordinator.Upstream{Name: name, Address: name + ":1", Zone: "a", Slots: 16, Cold: 2}
}

// warmed returns a fleet that has come to rest with all slots lent.
func warmed(t *testing.T, vms, seats int, upstreams ...coordinator.Upstream) *world {
	t.Helper()
	w := newWorld(1, 0, vms, seats, upstreams...)
	w.run(20 * time.Second)
	assert.Equal(t, w.failure, "")
	return w
}

// until runs a world until something holds and returns how long it took.
func (w *world) until(t *testing.T, most time.Duration, f func() bool) time.Duration {
	t.Helper()
	began := w.now
	for !f() {
		w.run(w.step)
		assert.Equal(t, w.failure, "")
		assert.Assert(t, w.now.Sub(began) <= most, "not within %v", most)
	}
	return w.now.Sub(began)
}

func TestAloneServesWithinASecond(t *testing.T) {
	w := newWorld(1, 0, 1, 8, engine("e1"))
	w.run(time.Second)
	assert.Equal(t, w.failure, "")
	assert.Assert(t, w.free(w.upstreams[0]) > 0)
}

func TestFleetUsesAllSlots(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{1, 3, 8} {
		w := warmed(t, vms, 8, engine("e1"), engine("e2"))
		w.load = 0
		w.run(3 * time.Second)
		for _, u := range w.upstreams {
			assert.Equal(t, w.free(u), u.Slots, "%s with %d VMs", u.Name, vms)
		}
	}
}

// All callers come to one VM. It must get nearly all slots, or they would wait
// while slots lie idle elsewhere.
func TestBurstAtOneVM(t *testing.T) {
	w := warmed(t, 4, 4, engine("e1"))
	w.load = 0
	w.run(5 * time.Second)
	v := w.vms[0]
	v.node.Want("e1", 16)
	w.until(t, time.Second, func() bool { return v.node.View(w.now, "e1").Free >= 16-3*2 })
}

// A VM that had most of the callers loses them, and another gets as many. Its
// callers must not wait until the first happens to say so.
func TestDemandMoves(t *testing.T) {
	t.Parallel()
	worst := time.Duration(0)
	for phase := time.Duration(0); phase < time.Second; phase += 90 * time.Millisecond {
		worst = max(worst, moveDemand(t, phase))
	}
	t.Logf("moved after %v at worst", worst)
	assert.Assert(t, worst < 200*time.Millisecond)
}

func moveDemand(t *testing.T, phase time.Duration) time.Duration {
	t.Helper()
	w := warmed(t, 4, 4, engine("e1"))
	w.load = 0
	w.run(5 * time.Second)
	a, b := w.vms[0], w.vms[1]
	a.node.Want("e1", 16)
	w.run(time.Second)
	var boots []uint64
	for {
		boot, ok := a.node.Take(w.now, "e1", 0)
		if !ok {
			break
		}
		boots = append(boots, boot)
	}
	a.node.Want("e1", 0)
	b.node.Want("e1", 16)
	w.run(2*time.Second + phase)
	for _, boot := range boots {
		a.node.Done("e1", boot, 0, coordinator.Completed)
	}
	return w.until(t, time.Second, func() bool { return b.node.View(w.now, "e1").Free >= 9 })
}

// The VM that lends an upstream's slots is killed. Callers at the others keep
// half of the slots by the fixed shares, and get all of them back within a
// bound: a VM counts as dead after 2.5 s, the claim takes a lease and a loan's
// life (4 s and the clocks' drift), what still runs a settling time and a list.
func TestKilledHolder(t *testing.T) {
	for _, upstream := range []coordinator.Upstream{engine("e1"), service("s1")} {
		t.Run(upstream.Name, func(t *testing.T) { killHolder(t, upstream) })
	}
}

func killHolder(t *testing.T, upstream coordinator.Upstream) {
	t.Helper()
	w := warmed(t, 4, 4, upstream)
	u := w.upstreams[0]
	old := w.holder()
	w.kill(old)
	least := u.Slots
	took := w.until(t, 9*time.Second, func() bool {
		least = min(least, w.free(u))
		h := w.holder()
		return h != nil && h != old && w.free(u) > u.Slots/2
	})
	assert.Assert(t, least >= u.Slots/2-2, "only %d slots left", least)
	t.Logf("lent again after %v, least %d of %d slots", took, least, u.Slots)
}

// A VM is killed while its long requests run. They outlive its loans, and nobody
// reports them; lent anew, their slots would overrun the engine, which cuts the
// answers of others.
func TestDeadVMsWorkIsCounted(t *testing.T) {
	for _, holder := range []bool{false, true} {
		w := warmed(t, 3, 4, engine("e1"))
		w.longest, w.load = time.Minute, 0.9
		w.run(5 * time.Second)
		var victim *vm
		for _, v := range w.vms {
			if (v == w.holder()) == holder {
				victim = v
			}
		}
		w.kill(victim)
		w.run(30 * time.Second)
		assert.Equal(t, w.failure, "", "holder killed: %v", holder)
	}
}

// A VM dies and none comes in its place. Its seat's share must not lie idle for
// ever.
func TestDeadVMsSeatIsLent(t *testing.T) {
	w := warmed(t, 3, 4, engine("e1"))
	for _, v := range w.vms {
		if v != w.holder() {
			w.kill(v)
			break
		}
	}
	w.load = 0
	w.until(t, 15*time.Second, func() bool { return w.free(w.upstreams[0]) == 16 })
}

// A plain service does not say whose work it runs. What a dead VM left there is
// bounded by what the service reports, and gone at the latest with the longest
// time of a request.
func TestKilledBorrowerAtService(t *testing.T) {
	w := warmed(t, 4, 4, service("s1"))
	w.load = 0.8
	w.run(3 * time.Second)
	for _, v := range w.vms {
		if v != w.holder() {
			w.kill(v)
			break
		}
	}
	// The list drops it after 2 s, its seat is free after Absent, and until then
	// it may have started work on its share.
	most := 2*time.Second + w.timings.Absent + w.timings.Longest + 2*time.Second
	w.until(t, most, func() bool { return w.free(w.upstreams[0]) > 12 })
}

// The VM that lends an upstream's slots stands still for long and wakes. It must
// not lend what another has lent meanwhile.
func TestFrozenHolder(t *testing.T) {
	t.Parallel()
	for _, d := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second, time.Minute} {
		w := warmed(t, 3, 4, engine("e1"))
		w.load = 0.8
		w.freeze(w.holder(), d)
		w.run(d + 10*time.Second)
		assert.Equal(t, w.failure, "", "frozen for %v", d)
		assert.Assert(t, w.holder() != nil)
	}
}

// The log is down for an hour. Questions go on with the fixed shares, half of
// the slots, and the rest comes back with the log.
func TestLogDownForAnHour(t *testing.T) {
	t.Parallel()
	w := warmed(t, 4, 4, engine("e1"), engine("e2"))
	w.step, w.load = 250*time.Millisecond, 0.9
	w.logDown = true
	w.run(10 * time.Second)
	for range 59 {
		w.run(time.Minute)
		assert.Equal(t, w.failure, "")
		for _, u := range w.upstreams {
			assert.Equal(t, w.free(u), u.Slots/2)
		}
	}
	w.logDown, w.step = false, step
	took := w.until(t, 5*time.Second, func() bool { return w.free(w.upstreams[0]) > 12 })
	t.Logf("back after %v", took)
}

// During an outage of the log an upstream falls and comes back cold. Nobody can
// be its holder, so nobody sends anything: it would fall again.
func TestColdDuringLogOutage(t *testing.T) {
	t.Parallel()
	w := warmed(t, 4, 4, engine("e1"))
	w.logDown = true
	w.run(10 * time.Second)
	w.fall(w.upstreams[0])
	w.run(5 * time.Second)
	assert.Equal(t, w.free(w.upstreams[0]), 0)
	w.run(time.Minute)
	assert.Equal(t, w.failure, "")
	w.logDown = false
	w.until(t, 20*time.Second, func() bool { return w.free(w.upstreams[0]) > 12 })
}

// An upstream turns cold without warning in the middle of load.
func TestTurnsCold(t *testing.T) {
	w := warmed(t, 4, 4, engine("e1"))
	w.load = 0.8
	w.fall(w.upstreams[0])
	w.run(300 * time.Millisecond)
	took := w.until(t, 20*time.Second, func() bool { return w.free(w.upstreams[0]) > 12 })
	t.Logf("all slots again after %v", took)
}

// A VM leaves by plan. What it held goes on without a gap.
func TestLeaveHandsOver(t *testing.T) {
	w := warmed(t, 4, 4, engine("e1"))
	u := w.upstreams[0]
	old := w.holder()
	old.node.Leave()
	took := w.until(t, time.Second, func() bool {
		h := w.holder()
		return h != nil && h != old && old.node.Left(w.now)
	})
	least := u.Slots
	for range 300 {
		w.run(w.step)
		least = min(least, w.free(u))
	}
	assert.Equal(t, w.failure, "")
	assert.Assert(t, least >= u.Slots/2, "only %d slots left", least)
	t.Logf("handed over in %v, least %d of %d slots", took, least, u.Slots)
}

// A process is replaced under the name of its VM. Its old fence and boot number
// count for nothing, and its seat and what it held come back.
func TestReplacedUnderItsName(t *testing.T) {
	w := warmed(t, 3, 4, engine("e1"))
	old := w.holder()
	old.dead = true
	w.start(old.id)
	w.until(t, 15*time.Second, func() bool { return w.holder() != nil && w.free(w.upstreams[0]) > 12 })
}

// VMs start together while the list is down. They find one another by their
// claims, or each would take for itself what the others hold, again and again,
// and nobody would lend anything.
func TestStartWithoutTheList(t *testing.T) {
	w := newWorld(1, 0, 3, 4, engine("e1"), engine("e2"))
	w.listDown = true
	w.run(15 * time.Second)
	w.load = 0
	w.run(3 * time.Second)
	assert.Equal(t, w.failure, "")
	for _, u := range w.upstreams {
		assert.Equal(t, w.free(u), u.Slots)
	}
	assert.Assert(t, len(w.records) < 30, "%d claims", len(w.records))
}

// A broken VM says that it lends, under a fence far ahead. Believed, it would have
// all later loans of the true holder refused, for ever.
func TestLoanFromOneThatDoesNotHold(t *testing.T) {
	w := warmed(t, 3, 4, engine("e1"))
	for _, v := range w.vms {
		for _, o := range w.vms {
			loan := lender.Loan{Name: "e1", Fence: 1 << 60, Seq: 1, Echo: 1, Life: 2000, Boot: w.upstreams[0].boot}
			v.node.Handle(w.now, lender.Who{VM: o.id, Boot: o.boot}, coordinator.Message{Loans: []lender.Loan{loan}})
		}
	}
	w.load = 0
	w.run(5 * time.Second)
	assert.Equal(t, w.free(w.upstreams[0]), 16)
}

// The list of VMs stands still for hours while VMs come and go.
func TestListHoursOld(t *testing.T) {
	t.Parallel()
	w := warmed(t, 3, 4, engine("e1"))
	w.listDown = true
	w.step = 250 * time.Millisecond
	w.run(time.Hour)
	w.step = step
	w.kill(w.holder())
	w.run(20 * time.Second)
	assert.Equal(t, w.failure, "")
	assert.Assert(t, w.holder() != nil)
}

// BenchmarkTick is one tick of a VM in a fleet of today's size, without load.
func BenchmarkTick(b *testing.B) {
	var upstreams []coordinator.Upstream
	for i := range 27 {
		upstreams = append(upstreams, engine(fmt.Sprintf("e%d", i)))
	}
	w := newWorld(1, 0, 8, 8, upstreams...)
	w.run(10 * time.Second)
	v := w.vms[0]
	for b.Loop() {
		v.node.Tick(w.now)
	}
}

// TestMessagesAtRest counts what a VM sends in a fleet of today's size.
func TestMessagesAtRest(t *testing.T) {
	t.Parallel()
	var upstreams []coordinator.Upstream
	for i := range 27 {
		upstreams = append(upstreams, engine(fmt.Sprintf("e%d", i)))
	}
	for _, load := range []float64{0, 1} {
		w := newWorld(1, 0, 8, 8, upstreams...)
		w.load = load
		w.run(5 * time.Second)
		w.sent, w.bytes = 0, 0
		w.run(5 * time.Second)
		assert.Equal(t, w.failure, "")
		t.Logf("load %.1f: %d messages and %d bytes a second for each VM", load, w.sent/40, w.bytes/40)
		assert.Assert(t, w.bytes/40 < 30_000)
	}
}
