package reporter_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/collector"
	"github.com/heathervane/heathervane/bench/driver"
	"github.com/heathervane/heathervane/bench/planner"
	"github.com/heathervane/heathervane/bench/reporter"
	"github.com/heathervane/heathervane/bench/runner"
	"github.com/heathervane/heathervane/library/checker"
)

func outcome(e planner.Experiment, policy string, first time.Duration) runner.Outcome {
	record := &driver.Record{}
	for i := range 10 {
		record.Samples = append(record.Samples, driver.Sample{
			Arrival: planner.Arrival{At: time.Duration(i) * time.Second, Load: "short", Kind: planner.Question, Prompt: 1000},
			Verdict: driver.Whole, First: first + time.Duration(i)*time.Millisecond,
		})
	}
	part := collector.Collect(e, record)
	return runner.Outcome{Record: record, Result: collector.Result{Name: e.Name, Policy: policy, Full: part, Reference: &part}}
}

func TestSaveWritesReportPlotsAndData(t *testing.T) {
	e := planner.Experiment{
		Name: "mixed", Time: checker.Duration(10 * time.Second),
		Loads: []planner.Load{{Name: "short", Kind: planner.Question}},
	}
	folder := t.TempDir()
	outcomes := []runner.Outcome{outcome(e, "own", 20*time.Millisecond), outcome(e, "two", 40*time.Millisecond)}
	assert.NilError(t, reporter.Save(folder, e, outcomes))
	for _, name := range []string{"first-short.svg", "series-short.svg", "first-short-own.hgrm", "first-short-two.hgrm"} {
		info, err := os.Stat(filepath.Join(folder, name))
		assert.NilError(t, err)
		assert.Assert(t, info.Size() > 0, name)
	}
	report, err := os.ReadFile(filepath.Join(folder, "report.txt"))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(report), "short to4k first p50 / p95"), "%s", report)
	results, err := reporter.Load(folder)
	assert.NilError(t, err)
	assert.DeepEqual(t, results, []collector.Result{outcomes[0].Result, outcomes[1].Result})
}
