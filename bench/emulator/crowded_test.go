package emulator_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/emulator"
	"github.com/heathervane/heathervane/entry/process/switcher"
)

// The least urgent prompts come in a burst and fill the engines that the most urgent need
// a moment later. These must be in time all the same, and the least urgent keep a part of
// what they are worth.
func TestUrgentPromptsAreInTimeInACrowd(t *testing.T) {
	const (
		seeds = 6
		// urgentInTime and leastWorth are the targets for the most and the least urgent.
		urgentInTime = 0.95
		leastWorth   = 0.35
	)
	without := emulator.Crowded()
	without.Name += ", without"
	without.Policy = switcher.Policy{Headroom: switcher.Off, Shares: switcher.Off}
	results, err := emulator.RunAll(t.Context(), []emulator.Deployment{without, emulator.Crowded()}, seeds)
	assert.NilError(t, err)
	assert.NilError(t, emulator.Print(os.Stdout, results))
	inTime := func(r emulator.Result) float64 { return float64(r.Kinds[0].InTime) / float64(r.Kinds[0].Asked) }
	least := results[1].Kinds[2]
	assert.Check(t, inTime(results[0]) < urgentInTime, "the load is too small: %.3f of the most urgent are in time without headroom", inTime(results[0]))
	assert.Check(t, inTime(results[1]) >= urgentInTime, "%.3f of the most urgent are in time", inTime(results[1]))
	assert.Check(t, least.Earned >= leastWorth*least.Owed, "the least urgent got %.3f of their worth", least.Earned/least.Owed)
}
