package claimer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/claimer"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
)

const (
	lease = 2 * time.Second
	life  = 2 * time.Second
)

var epoch = time.Unix(1_000_000, 0)

// record builds a log's record at a time after the epoch.
func record(t testing.TB, offset uint64, at time.Duration, c recorder.Claim) appender.Record {
	t.Helper()
	data, err := recorder.Wrap(recorder.KindClaim, c)
	assert.NilError(t, err)
	return appender.Record{Offset: offset, At: epoch.Add(at), Data: data}
}

// claim is a claim by the first process of a VM.
func claim(vm, name string, replaces uint64) recorder.Claim {
	return recorder.Claim{VM: vm, Boot: 1, By: vm, Upstreams: []recorder.ClaimUpstream{{Name: name, Replaces: replaces}}}
}

func machine(vm string, keep time.Duration) *claimer.Machine {
	return claimer.New(claimer.Config{VM: vm, Boot: 1, Lease: lease, Life: life, Drift: 0.01, Keep: keep})
}

// batch is the log from an offset on.
func batch(start uint64, records ...appender.Record) appender.Batch {
	end := start + uint64(len(records))
	return appender.Batch{Start: start, End: end, Records: records}
}

// Two VMs claim the same upstream at once. The log's order decides, and every
// VM sees the same one as holder: otherwise each would lend all slots.
func TestRacingClaims(t *testing.T) {
	records := []appender.Record{
		record(t, 1, 0, claim("a", "e", 0)),
		record(t, 2, time.Second, claim("b", "e", 1)),
		record(t, 3, time.Second, claim("c", "e", 1)), // late by one
		record(t, 4, time.Second, claim("b", "e", 1)), // landed twice
	}
	for _, vm := range []string{"a", "b", "c"} {
		m := machine(vm, 0)
		m.Read(epoch, epoch, batch(1, records...))
		c, ok := m.Claimed("e")
		assert.Assert(t, ok)
		assert.Equal(t, c.VM, "b")
		assert.Equal(t, c.Offset, uint64(2))
	}
}

func TestFirstClaimTakesEffectAtOnce(t *testing.T) {
	m := machine("a", 0)
	m.Read(epoch, epoch, batch(1, record(t, 1, 0, claim("a", "e", 0))))
	fence, ok := m.Hold("e", epoch)
	assert.Assert(t, ok)
	assert.Equal(t, fence, uint64(1))
}

// A log that has forgotten its first records may have held a claim whose holder
// still lends.
func TestFirstSeenIsNotFirst(t *testing.T) {
	m := machine("a", 0)
	m.Read(epoch, epoch, batch(7, record(t, 7, 0, claim("a", "e", 0))))
	_, ok := m.Hold("e", epoch)
	assert.Assert(t, !ok)
}

// A claim takes effect only once the holder before has stopped and its loans
// have lapsed, by clocks that may run unevenly, and only after a read that began
// later than that stop.
func TestClaimWaits(t *testing.T) {
	m := machine("b", 0)
	records := []appender.Record{record(t, 1, 0, claim("a", "e", 0)), record(t, 2, 0, claim("b", "e", 1))}
	m.Read(epoch, epoch, batch(1, records...))
	effect := lease + life + lease/100 + life/100
	for d := time.Duration(0); d < effect; d += 100 * time.Millisecond {
		m.Read(epoch.Add(d), epoch.Add(d), batch(3))
		_, ok := m.Hold("e", epoch.Add(d))
		assert.Assert(t, !ok, "holds after %v", d)
	}
	m.Read(epoch.Add(effect), epoch.Add(effect), batch(3))
	_, ok := m.Hold("e", epoch.Add(effect))
	assert.Assert(t, ok)
}

// A hand-over takes effect at once only where the table has come. A successor
// that lost it, restarted meanwhile, does not know what is lent.
func TestHandoverNeedsTheTable(t *testing.T) {
	handed := claim("b", "e", 1)
	handed.By, handed.Handed = "a", true
	records := []appender.Record{record(t, 1, 0, claim("a", "e", 0)), record(t, 2, 0, handed)}
	for _, fence := range []uint64{0, 1, 7} {
		m := machine("b", 0)
		m.Read(epoch, epoch, batch(1, records[0]))
		m.Tabled("e", fence)
		m.Read(epoch, epoch, batch(1, records...))
		_, ok := m.Hold("e", epoch)
		assert.Equal(t, ok, fence == 1, "table under fence %d", fence)
	}
}

// The holder can't read the log, or is slow to read it: another may have claimed
// meanwhile, so it stops within the lease of the read's begin.
func TestHolderStopsWithoutLog(t *testing.T) {
	m := machine("a", 0)
	m.Read(epoch, epoch.Add(time.Second), batch(1, record(t, 1, 0, claim("a", "e", 0))))
	_, ok := m.Hold("e", epoch.Add(lease*98/100))
	assert.Assert(t, ok)
	_, ok = m.Hold("e", epoch.Add(lease*99/100))
	assert.Assert(t, !ok)
	// A read that doesn't reach the end proves nothing.
	m.Read(epoch.Add(lease), epoch.Add(lease), appender.Batch{Start: 1, End: 9})
	_, ok = m.Hold("e", epoch.Add(lease))
	assert.Assert(t, !ok)
}

// The log loses its end, as after a fault of the platform. The holder stops, and
// the VM goes on with what the log has.
func TestLogGoesBack(t *testing.T) {
	m := machine("a", 0)
	m.Read(epoch, epoch, batch(1, record(t, 1, 0, claim("a", "e", 0)), record(t, 2, 0, claim("a", "f", 0))))
	now := epoch
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		m.Read(now, now, batch(1))
	}
	_, ok := m.Hold("e", now)
	assert.Assert(t, !ok)
	assert.Equal(t, m.From(), uint64(1))
	m.Read(now, now, batch(1, record(t, 1, 0, claim("a", "e", 0))))
	_, ok = m.Hold("e", now)
	assert.Assert(t, !ok, "a claim in a log that lost records is not the first")
}

// The log keeps records for a time only. A holder writes its claim again well
// before, and one that can't stops before its claim is forgotten.
func TestClaimIsRenewedBeforeItIsForgotten(t *testing.T) {
	keep := time.Minute
	m := machine("a", keep)
	facts := claimer.Facts{
		Live:      func(string, uint64) bool { return true },
		Should:    func(string) (string, uint64) { return "a", 1 },
		Absent:    func(string, uint64) bool { return false },
		Upstreams: []string{"e"},
	}
	m.Read(epoch, epoch, batch(1))
	m.Read(epoch, epoch, batch(1, record(t, 1, 0, claim("a", "e", 0))))
	now := epoch.Add(keep/4 + time.Second)
	m.Read(now, now, batch(2))
	claims := m.Tick(now, facts)
	assert.Equal(t, len(claims), 1)
	assert.Equal(t, claims[0].Upstreams[0], recorder.ClaimUpstream{Name: "e", Replaces: 1})
	assert.Equal(t, len(m.Tick(now, facts)), 0, "nothing is appended twice at once")
	now = epoch.Add(keep)
	m.Read(now, now, batch(2))
	_, ok := m.Hold("e", now)
	assert.Assert(t, !ok)
}

// A VM starts when the log has forgotten a race's begin. It must not take the
// loser for the holder.
func TestLateReaderSeesTheWinner(t *testing.T) {
	m := machine("x", time.Hour)
	m.Read(epoch, epoch, batch(11,
		record(t, 11, 0, claim("loser", "e", 5)),
		record(t, 12, time.Minute, claim("winner", "e", 10)),
		record(t, 13, 2*time.Minute, claim("winner", "e", 12)),
	))
	c, _ := m.Claimed("e")
	assert.Equal(t, c.VM, "winner")
}

// Any bytes on the stream are read by all VMs alike, and stop none.
func FuzzClaims(f *testing.F) {
	good, err := recorder.Wrap(recorder.KindClaim, claim("a", "e", 0))
	assert.NilError(f, err)
	f.Add(good, uint64(1))
	f.Add([]byte{}, uint64(9))
	f.Fuzz(func(t *testing.T, data []byte, start uint64) {
		if start == 0 || start > 1<<60 {
			return
		}
		m, o := machine("a", time.Hour), machine("b", time.Hour)
		b := batch(start, appender.Record{Offset: start, At: epoch, Data: data})
		m.Read(epoch, epoch, b)
		o.Read(epoch, epoch, b)
		assert.Equal(t, m.From(), start+1)
		c1, ok1 := m.Claimed("e")
		c2, ok2 := o.Claimed("e")
		assert.Equal(t, ok1, ok2)
		assert.Equal(t, c1.Offset, c2.Offset)
	})
}

// Many VMs write claims by chance, some late, some twice. All that read the same
// records agree, offsets of claims in force only go up, and nobody holds beside
// another.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		var machines []*claimer.Machine
		for _, n := range names {
			machines = append(machines, machine(n, 0))
		}
		var log []appender.Record
		now := epoch
		last := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, 2).Draw(t, "vm")
			if rapid.Bool().Draw(t, "append") {
				replaces := uint64(rapid.IntRange(0, len(log)).Draw(t, "replaces"))
				data, err := recorder.Wrap(recorder.KindClaim, claim(names[n], "e", replaces))
				assert.NilError(t, err)
				log = append(log, appender.Record{Offset: uint64(len(log)) + 1, At: now, Data: data})
			}
			m := machines[n]
			m.Read(now, now, appender.Batch{Start: 1, End: uint64(len(log)) + 1, Records: log[m.From()-1:]})
			c, _ := m.Claimed("e")
			if c.Offset < last {
				t.Fatalf("claim %d in force after %d", c.Offset, last)
			}
			last = c.Offset
			holders := 0
			for _, m := range machines {
				if _, ok := m.Hold("e", now); ok {
					holders++
				}
			}
			if holders > 1 {
				t.Fatalf("%d holders", holders)
			}
		}
	})
}

// Several VMs start at once, before the list shows any of them to the others.
// Each takes the others' claims for those of dead VMs and claims again at every
// look. The log, which takes a few hundred appends a second for the whole
// fleet, is full of claims, and bookings wait behind them.
func TestVMsThatDoNotKnowOneAnotherYetDoNotFloodTheLog(t *testing.T) {
	const seconds, tick = 3, 10 * time.Millisecond
	var log []appender.Record
	machines := map[string]*claimer.Machine{}
	for _, vm := range []string{"a", "b", "c"} {
		machines[vm] = machine(vm, 0)
	}
	for at := time.Duration(0); at < seconds*time.Second; at += tick {
		now := epoch.Add(at)
		for _, vm := range []string{"a", "b", "c"} {
			m := machines[vm]
			m.Read(now, now, batch(1, log...))
			claims := m.Tick(now, claimer.Facts{
				Live:      func(other string, _ uint64) bool { return other == vm },
				Should:    func(string) (string, uint64) { return vm, 1 },
				Absent:    func(string, uint64) bool { return false },
				Upstreams: []string{"e"},
			})
			for _, c := range claims {
				log = append(log, record(t, uint64(len(log)+1), at, c))
			}
		}
	}
	assert.Assert(t, len(log) <= len(machines)*(seconds*int(time.Second)/int(lease)+1), "%d claims", len(log))
}
