// Command bench shows and measures a whole fleet as separate processes on
// loopback: demo sends one request of each kind, run plays an experiment, and
// compare sets two runs side by side. emulate plays loads against the decisions
// alone, and tally counts from logs how VMs without a path to upstreams serve. It is no part of what serves callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// run reads the command line and runs the subcommand that it names.
func run(ctx context.Context, args []string) error {
	parser := flaggy.NewParser("bench")
	parser.Description = "Show and measure a heathervane fleet on loopback"
	var d demo
	var p play
	var c comparison
	var e emulation
	var t tallying
	commands := []struct {
		command *flaggy.Subcommand
		run     func(context.Context) error
	}{
		{d.command(), d.run},
		{p.command(), p.run},
		{c.command(), c.run},
		{e.command(), e.run},
		{t.command(), t.run},
	}
	for _, one := range commands {
		parser.AttachSubcommand(one.command, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return errs.Wrap(err)
	}
	for _, one := range commands {
		if one.command.Used {
			return one.run(ctx)
		}
	}
	parser.ShowHelp()
	return errs.New("name a subcommand: demo, run, compare, emulate or tally")
}
