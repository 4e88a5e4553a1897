// Package runner plays an experiment under each of its policies, every play on
// a fresh fleet of processes, so that no play inherits another's caches, queues
// or cold upstreams.
package runner

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/bench/caller"
	"github.com/heathervane/heathervane/bench/collector"
	"github.com/heathervane/heathervane/bench/driver"
	"github.com/heathervane/heathervane/bench/planner"
	"github.com/heathervane/heathervane/bench/starter"
)

// A Runner runs experiments.
type Runner struct {
	programs starter.Programs
	folder   string
	progress func(string)
}

// New returns a Runner that keeps the fleets' files under folder and tells its
// progress line by line.
func New(programs starter.Programs, folder string, progress func(string)) *Runner {
	return &Runner{programs: programs, folder: folder, progress: progress}
}

// An Outcome is one policy's result with the samples that it came from.
type Outcome struct {
	Result collector.Result
	Record *driver.Record
}

// Run plays the experiment under one policy, after its reference loads if it
// names any.
func (r *Runner) Run(ctx context.Context, e planner.Experiment, policy string) (Outcome, error) {
	o := Outcome{Result: collector.Result{
		Name: e.Name, Text: e.Text, Fleet: e.Fleet, Policy: policy, Seed: e.Seed, Time: e.Span().Seconds(),
	}}
	if len(e.Reference) > 0 {
		only := e.Only(e.Reference)
		record, err := r.play(ctx, only, policy, "reference")
		if err != nil {
			return o, err
		}
		part := collector.Collect(only, record)
		o.Result.Reference = &part
	}
	var err error
	if o.Record, err = r.play(ctx, e, policy, "full"); err != nil {
		return o, err
	}
	o.Result.Full = collector.Collect(e, o.Record)
	o.Result.Lag = collector.Lag(o.Record)
	return o, Fast(o.Result.Lag)
}

// tolerable is how late 99 in 100 requests may be sent. Above it the generator
// itself shapes what it measures: a short prompt's first token takes tens of
// milliseconds.
const tolerable = 25.0

// Fast returns an error where the generator was the bottleneck.
func Fast(lag collector.Times) error {
	if lag.P99 <= tolerable {
		return nil
	}
	return errs.New("the load generator was the bottleneck: one request in a hundred was sent %.0f ms late or more "+
		"(at most %.0f ms are tolerable); run it on a less busy machine or with lower rates", lag.P99, tolerable)
}

// PolicyOf gives the settings of a policy by its name in experiments. The three
// baselines that choose an upstream at random or by requests in progress have a
// queue that is first come, first served; first has that queue alone.
func PolicyOf(name string) starter.Policy {
	const queue = "first"
	switch name {
	case "own":
		return starter.Policy{}
	case "first":
		return starter.Policy{Queue: queue}
	default:
		return starter.Policy{Router: name, Queue: queue}
	}
}

// Fit gives an experiment the rates and the zones' names of a fleet.
func Fit(e planner.Experiment, size starter.Size) (planner.Experiment, error) {
	e.Loads = slices.Clone(e.Loads)
	for i := range e.Loads {
		e.Loads[i].Rate *= float64(size.Engines)
	}
	e.Events = slices.Clone(e.Events)
	for i, v := range e.Events {
		digits, ok := strings.CutPrefix(v.On, "zone")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(digits)
		if err != nil || n < 1 || n > len(size.Zones) {
			return e, errs.New("events[%d].on: the fleet has zone1 to zone%d, not %s", i, len(size.Zones), v.On)
		}
		e.Events[i].On = size.Zones[n-1]
	}
	return e, nil
}

func (r *Runner) play(ctx context.Context, e planner.Experiment, policy, part string) (record *driver.Record, err error) {
	size, err := starter.SizeNamed(e.Fleet)
	if err != nil {
		return nil, err
	}
	if e, err = Fit(e, size); err != nil {
		return nil, err
	}
	folder := filepath.Join(r.folder, policy+"-"+part)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errs.Wrap(err)
	}
	say := func(line string) { r.progress(fmt.Sprintf("%s %s %s: %s", e.Name, policy, part, line)) }
	f := starter.New(r.programs, size, PolicyOf(policy), folder)
	defer func() { err = errs.Combine(err, f.Close()) }()
	begun := time.Now()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	say(fmt.Sprintf("%d processes started in %.1fs", f.Count(), time.Since(begun).Seconds()))
	c := caller.New()
	defer c.Close()
	return driver.New(f, c, say).Drive(ctx, planner.Plan(e, size.Teams), e.Events)
}
