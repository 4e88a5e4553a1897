// Package reporter writes an experiment's results for people and for programs:
// a plain report that sets policies side by side, plots, JSON, and histograms in
// HdrHistogram's percentile format. It judges nothing: whether an aim was
// reached is for its reader.
package reporter

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/bench/collector"
	"github.com/heathervane/heathervane/bench/planner"
	"github.com/heathervane/heathervane/bench/runner"
)

// The names of the files in a results folder.
const (
	jsonFile   = "results.json"
	reportFile = "report.txt"
)

// Save writes all files of one experiment's outcomes into a folder.
func Save(folder string, e planner.Experiment, outcomes []runner.Outcome) error {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return errs.Wrap(err)
	}
	results := make([]collector.Result, 0, len(outcomes))
	for _, o := range outcomes {
		results = append(results, o.Result)
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return errs.Wrap(err)
	}
	return errs.Combine(
		errs.Wrap(os.WriteFile(filepath.Join(folder, jsonFile), data, 0o600)),
		saveReport(folder, results),
		saveHistograms(folder, e, outcomes),
		plotFirsts(folder, e, outcomes),
		plotSeries(folder, e, results),
	)
}

// Load reads the results of a folder that Save wrote.
func Load(folder string) ([]collector.Result, error) {
	data, err := os.ReadFile(filepath.Join(folder, jsonFile))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	var results []collector.Result
	if err := json.Unmarshal(data, &results); err != nil {
		return nil, errs.New("%s: %v", filepath.Join(folder, jsonFile), err)
	}
	return results, nil
}

func saveReport(folder string, results []collector.Result) error {
	file, err := os.Create(filepath.Join(folder, reportFile))
	if err != nil {
		return errs.Wrap(err)
	}
	return errs.Combine(Write(file, results), errs.Wrap(file.Close()))
}

// saveHistograms writes each load's first-token times under each policy.
func saveHistograms(folder string, e planner.Experiment, outcomes []runner.Outcome) error {
	for _, o := range outcomes {
		for _, l := range questions(e) {
			h := collector.Histogram(collector.Firsts(o.Record, l, "", time.Duration(e.Skip)))
			file, err := os.Create(filepath.Join(folder, fmt.Sprintf("first-%s-%s.hgrm", l, o.Result.Policy)))
			if err != nil {
				return errs.Wrap(err)
			}
			const microsecondsInMillisecond = 1000
			_, err = h.PercentilesPrint(file, 5, microsecondsInMillisecond)
			if err := errs.Combine(errs.Wrap(err), errs.Wrap(file.Close())); err != nil {
				return err
			}
		}
	}
	return nil
}

// questions are the names of the loads that ask questions.
func questions(e planner.Experiment) []string {
	var names []string
	for _, l := range e.Loads {
		if l.Kind == planner.Question {
			names = append(names, l.Name)
		}
	}
	return names
}
