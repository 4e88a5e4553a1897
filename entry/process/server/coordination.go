package server

import (
	"context"
	"time"

	"github.com/heathervane/heathervane/entry/connection/linker"
	"github.com/heathervane/heathervane/entry/process/canceller"
	"github.com/heathervane/heathervane/entry/process/coordinator"
	"github.com/heathervane/heathervane/entry/process/deduplicator"
	"github.com/heathervane/heathervane/library/lister"
)

const (
	// sweepEvery is how often a holder looks through its engines' lists for
	// what processes that are gone have left there.
	sweepEvery = 2 * time.Second
	// sweepTime bounds one look.
	sweepTime = time.Second
	// firstWindow is how long keys are known until a manifest says so. It is
	// longer than any manifest's: what the deduplicator forgot under a shorter one
	// would be missing under the manifest's, and calls refused for it.
	firstWindow = 30 * 24 * time.Hour
)

// newCoordination joins the parts that act together with other VMs.
func (v *Server) newCoordination(list *lister.List) {
	s := v.settings
	address := v.listeners.peers.Addr().String()
	v.linker = linker.New(linker.Config{
		VM: s.ID, Zone: s.Zone, Address: address, Boot: v.boot, Secret: []byte(s.Peers.Secret), TLS: v.linksTLS,
	}, v.log, v.meter.Registry())
	v.linker.ServeState(v.snapshot)
	v.coordinator = coordinator.New(coordinator.Config{
		VM: s.ID, Zone: s.Zone, Address: address, Boot: v.boot, Timings: coordinator.Today(),
		Version: v.read, Heard: v.heard,
	}, coordinator.Deps{
		Log: v.records, List: list, Links: coordinator.Over(v.linker), Prober: coordinator.NewHTTP(v.upstream),
		Ticker: v.ticker, Registry: v.meter.Registry(), Logger: v.log,
	})
	v.canceller = canceller.New(v.upstream, v.ticker, v.meter.Registry())
	v.deduplicator = deduplicator.New(deduplicator.Config{VM: s.ID, Boot: v.boot, Limits: deduplicator.Limits{Window: firstWindow, MaxClockSkew: deduplicator.DefaultMaxClockSkew}, MaxStoredBody: deduplicator.DefaultMaxStoredBody}, v.records, v.ticker, v.coordinator.Gone, v.meter)
}

// read is how far this VM has read the configuration, for heartbeats.
func (v *Server) read() uint64 {
	if s := v.follower.State(); s != nil {
		return s.LastOffset
	}
	return 0
}

// sweep looks through the lists of the engines that this VM holds, and cancels
// what stands there for nobody: a VM that died can cancel nothing itself, and
// without this its streams keep their memory for ever.
func (v *Server) sweep(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			v.sweepHeld(ctx)
		}
	}
}

func (v *Server) sweepHeld(ctx context.Context) {
	view := v.view.Load()
	if view == nil {
		return
	}
	for _, u := range view.Upstreams() {
		if u.Model == "" || !v.coordinator.Holds(u.Name) {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, sweepTime)
		err := v.canceller.Sweep(limited, u.Address, owner{v})
		cancel()
		if err != nil {
			v.meter.Count("sweeps.failed", 1)
		}
	}
}

// owner tells the sweep whose streams an engine has.
type owner struct {
	server *Server
}

// Own tells whether a process is this one.
func (o owner) Own(vm string, boot uint64) bool {
	return vm == o.server.settings.ID && boot == o.server.boot
}

// Known tells whether a stream of this process is in progress.
func (o owner) Known(id string) bool { return o.server.chatter.InProgress(id) }

// Gone tells that a process has certainly been stopped.
func (o owner) Gone(vm string, boot uint64) bool { return o.server.coordinator.Gone(vm, boot) }
