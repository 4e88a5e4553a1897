package server

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// fetchTime bounds getting the configuration from a peer.
	fetchTime = 3 * time.Second
	// dutyEvery is how often a VM looks whether the configuration must be
	// written again. dutyJitter spreads the VMs, so that one writes and the
	// others see that it has.
	dutyEvery  = 5 * time.Second
	dutyJitter = 5 * time.Second
	// dutyTime bounds writing it.
	dutyTime = 5 * time.Second
)

// heard hears in a heartbeat how far another VM has read the configuration. A
// log that is slow or down would leave this VM behind, serving by rules that
// are no longer in force: it then gets the state from that VM. It must not
// block the link that it is called from.
func (v *Server) heard(vm string, read uint64) {
	if !v.follower.ShouldFetch(read, time.Now()) || !v.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer v.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTime)
		defer cancel()
		v.fetch(ctx, vm)
	}()
}

func (v *Server) fetch(ctx context.Context, vm string) {
	data, err := v.linker.FetchState(ctx, vm)
	if err == nil {
		_, err = v.follower.ApplySnapshot(data)
	}
	if err != nil {
		v.meter.Count("configuration.fetches.failed", 1)
		return
	}
	v.meter.Count("configuration.fetches", 1)
}

// snapshot is what a VM that is behind gets from this one.
func (v *Server) snapshot() []byte {
	data, err := v.follower.Snapshot()
	if err != nil {
		return nil
	}
	return data
}

// checkpoints writes the configuration in force to the log again before the log
// forgets it. Any VM may: two that write the same change nothing.
func (v *Server) checkpoints(ctx context.Context) {
	for {
		t := time.NewTimer(dutyEvery + rand.N(dutyJitter))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		if !v.follower.CheckpointDue(time.Now()) {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, dutyTime)
		if err := v.follower.WriteCheckpoint(limited); err != nil {
			v.meter.Count("checkpoints.failed", 1)
		}
		cancel()
	}
}
