package server

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// fetchTimeout bounds fetching the configuration from another VM.
	fetchTimeout = 3 * time.Second
	// checkpointInterval is how often a VM checks whether the configuration
	// must be written to the log again. checkpointJitter spreads the checks of
	// the VMs, so that one writes and the others see that it has.
	checkpointInterval = 5 * time.Second
	checkpointJitter   = 5 * time.Second
	// checkpointTimeout bounds writing a checkpoint.
	checkpointTimeout = 5 * time.Second
)

// onHeartbeat handles how far another VM has read the configuration log, as its
// heartbeat says. If the log is slow or down, this VM would fall behind and
// serve by a configuration that is no longer in force, so it fetches the state
// from the other VM. It is called from a link, which it must not block.
func (v *Server) onHeartbeat(vm string, read uint64) {
	if !v.follower.ShouldFetch(read, time.Now()) || !v.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer v.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		v.fetchConfiguration(ctx, vm)
	}()
}

func (v *Server) fetchConfiguration(ctx context.Context, vm string) {
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

// snapshot returns the state that a VM that is behind fetches from this one.
func (v *Server) snapshot() []byte {
	data, err := v.follower.Snapshot()
	if err != nil {
		return nil
	}
	return data
}

// runCheckpoints writes the configuration in force to the log again before the
// log drops it. Any VM may do so: writing the same configuration twice changes
// nothing.
func (v *Server) runCheckpoints(ctx context.Context) {
	for {
		t := time.NewTimer(checkpointInterval + rand.N(checkpointJitter))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		if !v.follower.CheckpointDue(time.Now()) {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, checkpointTimeout)
		if err := v.follower.WriteCheckpoint(limited); err != nil {
			v.meter.Count("checkpoints.failed", 1)
		}
		cancel()
	}
}
