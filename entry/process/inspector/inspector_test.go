package inspector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/inspector"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

var engine = &matcher.Engine{
	Slots: 12, KVCapacity: 232_000, StepsPerPass: 48, PrefillChunk: 2048, StepTime: 1.02, StepTimePerStream: 0.00226, StepTimePerContext: 0.00431,
	PrefillRate: 206, AttentionTime: 0.138, UsualPrompt: 12_886, UsualOutput: 1415, ReportLag: 200 * time.Millisecond,
}

var now = time.Unix(1_000_000, 0)

// Engines go on with the streams of VMs that lost power. These count until about the time
// in which an answer is written.
func TestOrphanedStreamsCountUntilTheyEnd(t *testing.T) {
	w := inspector.Estimate(engine, inspector.Report{Running: 12, UsedTokens: 60_000}, placer.Load{}, now)
	l, left := w.At(now)
	assert.Assert(t, left && l.Streams >= 10 && l.Streams <= 12, "%+v", l)
	assert.Assert(t, l.ContextTokens > 50_000 && l.ContextTokens <= 60_000)
	l, left = w.At(now.Add(time.Second))
	assert.Assert(t, left && l.Streams >= 3 && l.Streams <= 8, "%+v", l)
	_, left = w.At(now.Add(2 * time.Second))
	assert.Assert(t, !left)
}

// A slow engine needs longer for the same work.
func TestPaceSlowsTheDecay(t *testing.T) {
	w := inspector.Estimate(engine, inspector.Report{Running: 12, UsedTokens: 60_000, Pace: 4}, placer.Load{}, now)
	l, left := w.At(now.Add(2 * time.Second))
	assert.Assert(t, left && l.Streams >= 6, "%+v", l)
}

// The requests that surviving VMs have reported are in the engine's report too.
func TestKnownLoadIsNotCountedTwice(t *testing.T) {
	known := placer.Load{Streams: 4, ContextTokens: 30_000}
	w := inspector.Estimate(engine, inspector.Report{Running: 4, UsedTokens: 20_000}, known, now)
	assert.Assert(t, w.IsZero())
	_, left := w.At(now)
	assert.Assert(t, !left)
}

func TestWorkOnlyShrinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := inspector.Report{
			Waiting: rapid.IntRange(-1, 30).Draw(t, "waiting"), Running: rapid.IntRange(0, 12).Draw(t, "running"),
			UsedTokens: rapid.IntRange(0, 232_000).Draw(t, "used"), Pace: rapid.Float64Range(0, 8).Draw(t, "pace"),
		}
		known := placer.Load{Streams: rapid.IntRange(0, 12).Draw(t, "streams"), ContextTokens: rapid.IntRange(0, 232_000).Draw(t, "context")}
		w := inspector.Estimate(engine, r, known, now)
		before, _ := w.At(now.Add(-engine.ReportLag))
		assert.Assert(t, before.ContextTokens <= r.UsedTokens && before.Streams <= max(0, r.Running+r.Waiting))
		for at := now; ; at = at.Add(50 * time.Millisecond) {
			l, left := w.At(at)
			assert.Assert(t, l.Streams >= 0 && l.ContextTokens >= 0 && l.PendingPrefill >= 0 && l.Starting >= 0)
			assert.Assert(t, l.Streams <= before.Streams && l.ContextTokens <= before.ContextTokens && l.PendingPrefill <= before.PendingPrefill)
			if !left {
				return
			}
			before = l
			assert.Assert(t, at.Sub(now) < 10*time.Minute, "the work never ends")
		}
	})
}

// A long prompt that an engine still reads for a VM that is gone delays the next one by more
// than a usual prompt does.
func TestLongPromptsThatWaitTakeLonger(t *testing.T) {
	usual, _ := inspector.Estimate(engine, inspector.Report{Waiting: 1, UsedTokens: 5_000}, placer.Load{}, now).At(now)
	long, _ := inspector.Estimate(engine, inspector.Report{Waiting: 1, UsedTokens: 190_000}, placer.Load{}, now).At(now)
	assert.Assert(t, usual.PendingPrefill < 100 && long.PendingPrefill > 2000, "%v and %v ms", usual.PendingPrefill, long.PendingPrefill)
}
