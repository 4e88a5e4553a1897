package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/bench/collector"
	"github.com/heathervane/heathervane/bench/reporter"
)

// A comparison is the subcommand that sets two runs side by side.
type comparison struct {
	one, other string
}

func (c *comparison) command() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("compare")
	s.Description = "Set the results of two runs side by side"
	s.AddPositionalValue(&c.one, "a", 1, true, "the folder of one run's results")
	s.AddPositionalValue(&c.other, "b", 2, true, "the folder of the other's")
	return s
}

func (c *comparison) run(context.Context) error {
	var all []collector.Result
	for _, folder := range []string{c.one, c.other} {
		results, err := reporter.Load(folder)
		if err != nil {
			return err
		}
		for _, r := range results {
			r.Policy = filepath.Base(folder) + ":" + r.Policy
			all = append(all, r)
		}
	}
	if len(all) == 0 {
		return errs.New("neither folder holds a result")
	}
	for _, r := range all {
		if r.Name != all[0].Name {
			return errs.New("the runs are of two experiments, %s and %s", all[0].Name, r.Name)
		}
	}
	return reporter.Write(os.Stdout, all)
}
