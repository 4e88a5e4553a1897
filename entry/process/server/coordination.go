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
	// sweepInterval is how often this VM checks the engines that it holds for
	// streams left behind by stopped processes.
	sweepInterval = 2 * time.Second
	// sweepTimeout bounds the sweep of one engine.
	sweepTimeout = time.Second
	// initialKeyWindow is how long idempotency keys are remembered until a
	// manifest sets the window. It is longer than any manifest's: keys that the
	// deduplicator forgot under a shorter window would be missing under the
	// manifest's, and calls would be refused for it.
	initialKeyWindow = 30 * 24 * time.Hour
)

// newCoordination creates the parts that coordinate with other VMs.
func (v *Server) newCoordination(list *lister.Client) {
	s := v.settings
	address := v.listeners.peers.Addr().String()
	v.linker = linker.New(linker.Config{
		VM: s.ID, Zone: s.Zone, Address: address, Boot: v.boot, Secret: []byte(s.Peers.Secret), TLS: v.linksTLS,
	}, v.log, v.meter.Registry())
	v.linker.ServeState(v.snapshot)
	v.coordinator = coordinator.New(coordinator.Config{
		VM: s.ID, Zone: s.Zone, Address: address, Boot: v.boot, Timings: coordinator.Today(),
		Version: v.readPosition, Heard: v.onHeartbeat,
	}, coordinator.Deps{
		Log: v.records, List: list, Links: coordinator.Over(v.linker), Prober: coordinator.NewHTTP(v.upstream),
		Ticker: v.ticker, Registry: v.meter.Registry(), Logger: v.log,
	})
	v.canceller = canceller.New(v.upstream, v.ticker, v.meter.Registry())
	v.deduplicator = deduplicator.New(deduplicator.Config{VM: s.ID, Boot: v.boot, Limits: deduplicator.Limits{Window: initialKeyWindow, MaxClockSkew: deduplicator.DefaultMaxClockSkew}, MaxStoredBody: deduplicator.DefaultMaxStoredBody}, v.records, v.ticker, v.coordinator.Gone, v.meter)
}

// readPosition returns how far this VM has read the configuration log, for
// heartbeats.
func (v *Server) readPosition() uint64 {
	if s := v.follower.State(); s != nil {
		return s.LastOffset
	}
	return 0
}

// runSweeps periodically sweeps the engines that this VM holds and cancels
// orphaned streams: a VM that died cannot cancel its own, and they would keep
// their memory forever.
func (v *Server) runSweeps(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
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
		limited, cancel := context.WithTimeout(ctx, sweepTimeout)
		err := v.canceller.Sweep(limited, u.Address, processRegistry{v})
		cancel()
		if err != nil {
			v.meter.Count("sweeps.failed", 1)
		}
	}
}

// processRegistry implements canceller.ProcessRegistry.
type processRegistry struct {
	server *Server
}

// IsSelf reports whether the process is this one.
func (o processRegistry) IsSelf(vm string, boot uint64) bool {
	return vm == o.server.settings.ID && boot == o.server.boot
}

// InProgress reports whether a stream of this process is in progress.
func (o processRegistry) InProgress(id string) bool { return o.server.chatter.InProgress(id) }

// Gone reports whether the process has certainly stopped.
func (o processRegistry) Gone(vm string, boot uint64) bool {
	return o.server.coordinator.Gone(vm, boot)
}
