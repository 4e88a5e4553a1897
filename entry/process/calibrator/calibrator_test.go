package calibrator_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/calibrator"
)

var start = time.Unix(1_000_000, 0)

// An engine turns slow, and fast again. Requests must avoid it within a second, and must
// not avoid it for long once it is fast.
func TestSlowUpstreamIsKnownAndForgottenWithinASecond(t *testing.T) {
	c, now := calibrator.New(), start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		c.Observe(now, []string{"u"}, 1.1)
		assert.Equal(t, c.Slowness(now, "u"), 1.0)
	}
	slowAt := now
	for c.Slowness(now, "u") == 1 {
		now = now.Add(100 * time.Millisecond)
		c.Observe(now, []string{"u"}, 4)
		assert.Assert(t, now.Sub(slowAt) <= time.Second)
	}
	assert.Equal(t, c.Slowness(now, "u"), 4.0)
	c.Observe(now, []string{"u"}, 1)
	assert.Equal(t, c.Slowness(now, "u"), 1.0)
}

// A prompt is read by several engines of which one is slow. The others must not count as
// slow: the next long prompts would find too few engines.
func TestSlowGroupSuspectsNoneOfItsUpstreams(t *testing.T) {
	c := calibrator.New()
	c.Observe(start, []string{"slow"}, 4)
	c.Observe(start, []string{"slow", "a", "b"}, 4)
	for id, want := range map[string]float64{"a": 1, "b": 1, "slow": 4} {
		assert.Equal(t, c.Slowness(start, id), want, id)
	}
	c.Observe(start, []string{"slow", "a", "b"}, 1)
	assert.Equal(t, c.Slowness(start, "slow"), 1.0)
}

// An engine that stays slow is found out by late requests. They must become rare.
func TestUpstreamThatStaysSlowIsTriedLessOften(t *testing.T) {
	c, now, tries := calibrator.New(), start, 0
	for now.Before(start.Add(20 * time.Second)) {
		now = now.Add(50 * time.Millisecond)
		if c.Slowness(now, "u") == 1 {
			c.Observe(now, []string{"u"}, 4)
			tries++
		}
	}
	assert.Assert(t, tries <= 8, "%d tries in 20 s", tries)
}

// A request hangs at an engine. Those that come meanwhile must not wait for its answer to
// learn of it, and an engine that answers others must not be suspected.
func TestOverdueRequestCountsOnlyWhereNoOtherWasAnswered(t *testing.T) {
	c := calibrator.New()
	c.Overdue(start, "silent", 3)
	c.Overdue(start, "busy", 3)
	c.Observe(start, []string{"busy"}, 1)
	assert.Equal(t, c.Slowness(start, "silent"), 3.0)
	assert.Equal(t, c.Slowness(start, "busy"), 1.0)
	assert.Equal(t, c.Slowness(start.Add(2*time.Second), "silent"), 1.0)
}

// Upstreams have speeds, and requests run at any of them together. None may be believed
// slower than the fastest request that it has worked on within its memory, and one that
// is fast must never count as slow after a request of its own.
func TestUpstreamIsNeverBelievedSlowerThanItsFastestRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "upstreams")
		speeds := make([]float64, n)
		for i := range speeds {
			speeds[i] = rapid.SampledFrom([]float64{1, 1, 1.5, 3, 8}).Draw(t, "speed")
		}
		c, now := calibrator.New(), start
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			size := rapid.IntRange(1, n).Draw(t, "size")
			members, worst := map[int]bool{}, 0.0
			for range size {
				i := rapid.IntRange(0, n-1).Draw(t, "member")
				members[i], worst = true, max(worst, speeds[i])
			}
			var ids []string
			for i := range members {
				ids = append(ids, strconv.Itoa(i))
			}
			c.Observe(now, ids, worst)
			for i := range members {
				if s := c.Slowness(now, strconv.Itoa(i)); s > worst {
					t.Fatalf("%d is believed %v times slower after a request of %v", i, s, worst)
				}
			}
			c.Observe(now, []string{"0"}, speeds[0])
			if s := c.Slowness(now, "0"); s > max(1, speeds[0]) {
				t.Fatalf("believed %v, is %v", s, speeds[0])
			}
		}
	})
}

func TestRatioLeavesOutTheFixedDelay(t *testing.T) {
	assert.Equal(t, calibrator.Ratio(100*time.Millisecond, 425*time.Millisecond), 4.0)
	assert.Equal(t, calibrator.Ratio(0, 5*time.Millisecond), 0.0)
	assert.Assert(t, !calibrator.IsSlow(calibrator.Ratio(time.Millisecond, 40*time.Millisecond)))
}
