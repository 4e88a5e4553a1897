package runner_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/collector"
	"github.com/heathervane/heathervane/bench/planner"
	"github.com/heathervane/heathervane/bench/runner"
	"github.com/heathervane/heathervane/bench/starter"
)

func TestFastTellsASlowGenerator(t *testing.T) {
	assert.NilError(t, runner.Fast(collector.Times{Count: 100, P99: 25}))
	assert.ErrorContains(t, runner.Fast(collector.Times{Count: 100, P99: 26}), "the load generator was the bottleneck")
}

func TestExperimentsFitBothFleets(t *testing.T) {
	files, err := filepath.Glob("../experiments/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 5)
	for _, file := range files {
		for _, fleet := range []string{"hanbit", "altmuehl"} {
			t.Run(filepath.Base(file)+" "+fleet, func(t *testing.T) {
				text, err := os.ReadFile(file)
				assert.NilError(t, err)
				e, err := planner.Read(string(text))
				assert.NilError(t, err)
				size, err := starter.SizeNamed(fleet)
				assert.NilError(t, err)
				fitted, err := runner.Fit(e, size)
				assert.NilError(t, err)
				plan := planner.Plan(fitted, size.Teams)
				assert.Assert(t, len(plan) > 100)
				for _, a := range plan {
					assert.Assert(t, size.Teams[a.Team] > 0, "team %q", a.Team)
				}
			})
		}
	}
}
