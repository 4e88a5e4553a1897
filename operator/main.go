// Command vanectl checks and publishes manifests, takes VMs, availability zones
// and upstreams out of service and back in, and shows the configuration in force.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/heathervane/heathervane/operator/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
