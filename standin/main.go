// Command standin plays one role of the platform over HTTP for tests and
// demonstrations: an engine, a plain service, the log, the list of VMs or the
// weight store. It prints one JSON line with its address when it serves, and
// ends at SIGTERM.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := parse(args)
	if err != nil {
		return err
	}
	return serve(ctx, r)
}

// A role is what one process plays.
type role struct {
	name    string
	listen  string
	handler http.Handler
	run     func(context.Context) // may be nil
	// serve makes handler and run where they depend on the address.
	serve func(address string) (http.Handler, func(context.Context), error)
}

// greeting is the line that tells a starter where the role serves.
type greeting struct {
	Role    string `json:"role"`
	Address string `json:"address"`
	PID     int    `json:"pid"`
}

// headerLimit is how long a caller may take to send a request's header.
const headerLimit = 10 * time.Second

// serve plays a role until the context ends. Answers in progress are cut then,
// as those of a killed process.
func serve(ctx context.Context, r role) error {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", r.listen)
	if err != nil {
		return err
	}
	if r.serve != nil {
		if r.handler, r.run, err = r.serve(l.Addr().String()); err != nil {
			return err
		}
	}
	server := &http.Server{Handler: r.handler, ReadHeaderTimeout: headerLimit}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if r.run != nil {
		go r.run(ctx)
	}
	line := greeting{Role: r.name, Address: l.Addr().String(), PID: os.Getpid()}
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		return err
	}
	err = server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
