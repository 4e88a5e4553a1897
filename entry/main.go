// Command entry is the heathervane server, which runs on each entry VM between
// callers and upstreams.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/process/server"
	"github.com/heathervane/heathervane/entry/process/setter"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	path := ""
	check := false
	flaggy.SetName("heathervane")
	flaggy.SetDescription("forwards callers' requests to a fleet's engines and plain services")
	flaggy.String(&path, "s", "settings", "the settings file, in TOML")
	flaggy.Bool(&check, "c", "check", "check the settings and exit")
	flaggy.Parse()
	if path == "" {
		fmt.Fprintln(os.Stderr, "heathervane: --settings is missing; see --help")
		os.Exit(exitUsage)
	}
	settings, err := setter.Read(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s:\n%s\n", path, err)
		os.Exit(exitUsage)
	}
	if check {
		return
	}
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, "heathervane:", err)
		os.Exit(exitFailed)
	}
}

func run(s setter.Settings) error {
	log := zerolog.New(os.Stderr).With().Timestamp().Str("vm", s.ID).Logger()
	v, err := server.New(s, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return v.Run(ctx, os.Stdout)
}
