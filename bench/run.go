package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/bench/collector"
	"github.com/heathervane/heathervane/bench/planner"
	"github.com/heathervane/heathervane/bench/reporter"
	"github.com/heathervane/heathervane/bench/runner"
	"github.com/heathervane/heathervane/bench/starter"
)

// A play is the subcommand that runs an experiment.
type play struct {
	file     string
	out      string
	policies string
	fleet    string
}

func (p *play) command() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("run")
	c.Description = "Play an experiment under each of its policies and write report, plots and JSON"
	c.AddPositionalValue(&p.file, "file", 1, true, "the experiment's TOML file")
	c.String(&p.out, "", "out", "folder for the results (default: runs/NAME-FLEET)")
	c.String(&p.policies, "", "policies", "policies instead of the file's, with commas between")
	c.String(&p.fleet, "", "fleet", "fleet instead of the file's")
	return c
}

func (p *play) run(ctx context.Context) error {
	e, err := p.read()
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "heathervane-run-")
	if err != nil {
		return errs.Wrap(err)
	}
	defer os.RemoveAll(folder)
	programs, err := starter.Build(ctx, folder)
	if err != nil {
		return err
	}
	r := runner.New(programs, folder, func(line string) { fmt.Fprintln(os.Stderr, line) })
	var outcomes []runner.Outcome
	var slow error
	for _, policy := range e.Policies {
		o, err := r.Run(ctx, e, policy)
		if o.Record == nil {
			return errs.New("policy %s: %v", policy, err)
		}
		// A generator that was too slow spoils the figures, but not the files
		// that show by how much.
		slow = errs.Combine(slow, err)
		outcomes = append(outcomes, o)
	}
	out := p.out
	if out == "" {
		out = filepath.Join("runs", e.Name+"-"+e.Fleet)
	}
	if err := reporter.Save(out, e, outcomes); err != nil {
		return err
	}
	var results []collector.Result
	for _, o := range outcomes {
		results = append(results, o.Result)
	}
	if err := reporter.Write(os.Stdout, results); err != nil {
		return err
	}
	fmt.Printf("\nwritten to %s\n", out)
	return slow
}

// read reads the file and what the command line puts in its place.
func (p *play) read() (planner.Experiment, error) {
	text, err := os.ReadFile(p.file)
	if err != nil {
		return planner.Experiment{}, errs.Wrap(err)
	}
	e, err := planner.Read(string(text))
	if err != nil {
		return e, errs.New("%s:\n%v", p.file, err)
	}
	if p.fleet != "" {
		e.Fleet = p.fleet
	}
	if p.policies != "" {
		e.Policies = strings.Split(p.policies, ",")
	}
	return e, planner.Check(&e)
}
