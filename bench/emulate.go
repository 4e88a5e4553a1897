package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/bench/emulator"
)

// An emulation is the subcommand that plays loads against the decisions alone.
type emulation struct {
	drawn int
	seeds int
	zones bool
	mixed bool
	out   string
}

func (e *emulation) command() *flaggy.Subcommand {
	e.drawn, e.seeds = 10, 3
	c := flaggy.NewSubcommand("emulate")
	c.Description = "Play loads of known and drawn deployments against the decisions, without processes"
	c.Int(&e.drawn, "", "drawn", "how many deployments are drawn besides the known ones (default: 10)")
	c.Int(&e.seeds, "", "seeds", "how many loads of each are played (default: 3)")
	c.Bool(&e.zones, "", "zones", "play a zone of a large fleet before 7, 39, 83 and 195 VMs instead, without and with leaders in trouble")
	c.Bool(&e.mixed, "", "mixed", "play a fleet with engines enough and a mix that changes instead, without and with VMs that start again")
	c.String(&e.out, "", "out", "folder for result.json and worth.svg (default: none are written)")
	return c
}

func (e *emulation) run(ctx context.Context) error {
	if e.drawn < 0 || e.seeds < 1 {
		return errs.New("--drawn must not be negative, and --seeds must be at least 1")
	}
	fleets := emulator.All(uint64(e.drawn))
	if e.zones {
		fleets = nil
		for _, vms := range []int{7, 39, 83, 195} {
			fleets = append(append(fleets, emulator.Zone(vms)), emulator.Troubled(vms)...)
		}
	}
	if e.mixed {
		fleets = emulator.Restarted()
	}
	results, err := emulator.RunAll(ctx, fleets, uint64(e.seeds))
	if err != nil {
		return err
	}
	if err := emulator.Print(os.Stdout, results); err != nil {
		return errs.Wrap(err)
	}
	if e.out == "" {
		return nil
	}
	if err := os.MkdirAll(e.out, 0o755); err != nil {
		return errs.Wrap(err)
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return errs.Wrap(err)
	}
	if err := os.WriteFile(filepath.Join(e.out, "result.json"), append(data, '\n'), 0o644); err != nil {
		return errs.Wrap(err)
	}
	return emulator.Plot(filepath.Join(e.out, "worth.svg"), results)
}
