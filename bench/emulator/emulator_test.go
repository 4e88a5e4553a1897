package emulator_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/emulator"
)

// earlier is what each deployment earned with an earlier version of the
// decisions, under which long prompts held out for engines without streams until
// their last moment and pauses were told apart by three fixed steps: the mean of
// the loads of seeds 0 to 2.
var earlier = map[string]float64{
	"six-sixteen": 0.7685, "nine-twentythree": 0.7556, "seven-sixteen": 0.8474,
	"drawn-0": 0.5783, "drawn-1": 0.8014, "drawn-2": 0.7750, "drawn-3": 0.7498, "drawn-4": 0.6694,
	"drawn-5": 0.8316, "drawn-6": 0.8979, "drawn-7": 0.7985, "drawn-8": 0.8438, "drawn-9": 0.8145,
}

// A change that serves one fleet's callers better may rest on their habits, and
// another fleet's callers then wait for what they got before. So today's fleets
// and ten that nobody has, drawn within wide bounds, play bursts of short after
// long questions and the reverse, some with a third of their engines lost.
func TestNoFleetIsServedWorseThanBefore(t *testing.T) {
	// spread is what the mean of few loads differs by when nothing but the
	// moments of decisions change.
	const (
		seeds  = 8
		spread = 0.02
	)
	results, err := emulator.RunAll(t.Context(), emulator.All(10), seeds)
	assert.NilError(t, err)
	assert.NilError(t, emulator.Print(os.Stdout, results))
	gain := 0.0
	for _, r := range results {
		before, ok := earlier[r.Deployment]
		assert.Assert(t, ok, "%s has no earlier figure", r.Deployment)
		assert.Check(t, r.Worth >= before-spread, "%s: %.4f, and %.4f before", r.Deployment, r.Worth, before)
		gain += (r.Worth - before) / float64(len(results))
	}
	t.Logf("mean gain %.4f", gain)
	assert.Check(t, gain > spread, "the decisions earn %.4f more than the earlier ones in the mean", gain)
}

// All VMs, half or a third of them start again in a burst of short prompts, and know
// nothing of each other's work. Where there are engines enough, whoever asks in the
// next second must not wait for them to agree, nor for engines that several took.
func TestShortPromptsAfterARestartAreInTime(t *testing.T) {
	const (
		seeds = 1
		aim   = 0.8
	)
	results, err := emulator.RunAll(t.Context(), emulator.Restarted(), seeds)
	assert.NilError(t, err)
	for _, r := range results[1:] {
		t.Logf("%s: %d of %d", r.Deployment, r.AfterInTime, r.After)
		assert.Check(t, r.After > 0 && float64(r.AfterInTime) >= aim*float64(r.After), "%s: %d of %d in time", r.Deployment, r.AfterInTime, r.After)
	}
}
