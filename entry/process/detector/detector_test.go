package detector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/detector"
)

var start = time.Unix(1000, 0)

// failUntilCheck records failures until a check is due.
func failUntilCheck(t *testing.T, d *detector.Detector, at time.Time) {
	t.Helper()
	assert.Assert(t, !d.RecordFailure(at, "s", "u1"))
	assert.Assert(t, d.RecordFailure(at.Add(50*time.Millisecond), "s", "u2"))
}

// A VM whose network path to all upstreams is broken must find that out from its first
// failures, and at the latest within two checks when the path is repaired.
func TestPartitionedVMDetectsThatUpstreamsAreUnreachable(t *testing.T) {
	d := detector.New()
	failUntilCheck(t, d, start)
	assert.Assert(t, !d.Unreachable("s"))
	assert.DeepEqual(t, d.RecordCheck("s", detector.Check{Asked: 6}), detector.Result{Unreachable: true, Changed: true, Since: start})
	assert.Assert(t, d.Unreachable("s"))
	assert.Assert(t, !d.Unreachable("other"))
	assert.Equal(t, d.CountUnreachable(), 1)

	now := start.Add(time.Second)
	for i := range 2 {
		assert.DeepEqual(t, d.DueChecks(now), []string{"s"})
		assert.Equal(t, len(d.DueChecks(now)), 0, "a check is running")
		assert.DeepEqual(t, d.RecordCheck("s", detector.Check{Asked: 6, Reached: 6}), detector.Result{Unreachable: i == 0, Changed: i == 1, Since: start})
		now = now.Add(500 * time.Millisecond)
	}
	assert.Assert(t, !d.Unreachable("s"))
	assert.Equal(t, len(d.DueChecks(now)), 0)
}

// One failed connection, or upstreams that crash while most others are reached, must not
// count as a broken path of this VM.
func TestCrashedUpstreamsAreNotABrokenPath(t *testing.T) {
	d := detector.New()
	assert.Assert(t, !d.RecordFailure(start, "s", "u1"))
	assert.Assert(t, !d.RecordFailure(start.Add(3*time.Second), "s", "u2"), "the first failure is too old")
	assert.Assert(t, !d.RecordFailure(start.Add(3100*time.Millisecond), "s", "u2"), "it is the same upstream")
	assert.Assert(t, d.RecordFailure(start.Add(4*time.Second), "s", "u3"))
	assert.DeepEqual(t, d.RecordCheck("s", detector.Check{Asked: 6, Reached: 2}), detector.Result{Since: start.Add(3 * time.Second)})
	assert.Assert(t, !d.RecordFailure(start.Add(4100*time.Millisecond), "s", "u1"))
	assert.Assert(t, !d.RecordFailure(start.Add(4200*time.Millisecond), "s", "u2"), "the last check is too recent")
}

// Whatever the order of events, checks of a service never overlap or follow each other
// faster than their interval, and the state follows the results.
func TestChecksAreBoundedAndDecideAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, now := detector.New(), start
		checking, unreachable, good := false, false, 0
		var lastCheck time.Time
		begin := func() {
			assert.Assert(t, !checking)
			assert.Assert(t, lastCheck.IsZero() || now.Sub(lastCheck) >= 500*time.Millisecond)
			checking, lastCheck = true, now
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 3:
				if d.ConfirmReachable(now, "s") {
					assert.Assert(t, lastCheck.IsZero() || now.Sub(lastCheck) >= time.Second)
					begin()
				}
			case 0:
				if d.RecordFailure(now, "s", rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(t, "upstream")) {
					begin()
				}
			case 1:
				if len(d.DueChecks(now)) > 0 {
					assert.Assert(t, unreachable)
					begin()
				}
			case 2:
				if !checking {
					continue
				}
				c := detector.Check{Asked: 6, Reached: rapid.IntRange(0, 6).Draw(t, "reached")}
				switch {
				case c.Reached < 2:
					unreachable, good = true, 0
				case unreachable:
					good++
					unreachable = good < 2
				}
				checking = false
				assert.Equal(t, d.RecordCheck("s", c).Unreachable, unreachable)
			}
			assert.Equal(t, d.Unreachable("s"), unreachable)
		}
	})
}
