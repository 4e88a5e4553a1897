package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/bench/caller"
	"github.com/heathervane/heathervane/bench/presenter"
	"github.com/heathervane/heathervane/bench/starter"
)

// A demo is the subcommand that shows a fleet.
type demo struct {
	hold  bool
	fleet string
}

func (d *demo) command() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("demo")
	c.Description = "Start a fleet on loopback, send one request of each kind and print what each got"
	d.fleet = "small"
	c.Bool(&d.hold, "", "hold", "stay up and print one JSON line with every address, token and process id")
	c.String(&d.fleet, "", "fleet", "the fleet to start: small, hanbit or altmuehl")
	return c
}

func (d *demo) run(ctx context.Context) (err error) {
	size, err := starter.SizeNamed(d.fleet)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "heathervane-demo-")
	if err != nil {
		return errs.Wrap(err)
	}
	defer os.RemoveAll(folder)
	start := time.Now()
	programs, err := starter.Build(ctx, folder)
	if err != nil {
		return err
	}
	built := time.Now()
	f := starter.New(programs, size, starter.Policy{}, folder)
	defer func() { err = errs.Combine(err, f.Close()) }()
	if err := f.Start(ctx); err != nil {
		return err
	}
	if d.hold {
		return hold(ctx, f)
	}
	fmt.Printf("built the programs in %.1fs, started %d VMs, %d engines and %d service processes in %.1fs\n\n",
		built.Sub(start).Seconds(), len(f.VMs), len(f.Engines), len(f.Services), time.Since(built).Seconds())
	c := caller.New()
	defer c.Close()
	return presenter.New(f, c, os.Stdout).Present(ctx)
}

// held is the line that demo --hold prints.
type held struct {
	Folder    string            `json:"folder"`
	Log       starter.Line      `json:"log"`
	List      starter.Line      `json:"list"`
	Weights   starter.Line      `json:"weights"`
	Upstreams []upstreamLine    `json:"upstreams"`
	VMs       []starter.Line    `json:"vms"`
	Tokens    map[string]string `json:"tokens"`
	Model     string            `json:"model"`
	Service   string            `json:"service"`
}

type upstreamLine struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	starter.Line
}

func hold(ctx context.Context, f *starter.Fleet) error {
	h := held{
		Folder: f.Folder, Log: f.Log.Line, List: f.List.Line, Weights: f.Weights.Line,
		Tokens: f.Tokens, Model: f.Size.Model, Service: f.Size.Service,
	}
	for _, p := range f.Upstreams() {
		h.Upstreams = append(h.Upstreams, upstreamLine{Name: p.Name, Zone: f.Zone(p), Line: p.Line})
	}
	for _, p := range f.VMs {
		h.VMs = append(h.VMs, p.Line)
	}
	line, err := json.Marshal(h)
	if err != nil {
		return errs.Wrap(err)
	}
	fmt.Println(string(line))
	<-ctx.Done()
	return nil
}
