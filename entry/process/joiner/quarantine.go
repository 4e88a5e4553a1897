package joiner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/entry/process/replicator"
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
)

const (
	// quarantineSyncInterval is how often the quarantine is checked for changes that the
	// platform must store.
	quarantineSyncInterval = time.Second
	// quarantineCallTimeout is the timeout of a call to the platform to store or delete
	// quarantine records. A platform that takes seconds must still get them.
	quarantineCallTimeout = 4 * time.Second
)

// pendingDeletes is the set of requests whose quarantine has expired but whose records the
// platform still stores.
type pendingDeletes struct {
	mu       sync.Mutex
	requests map[fingerprinter.Fingerprint]bool
}

func (d *pendingDeletes) add(fs ...fingerprinter.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requests == nil {
		d.requests = make(map[fingerprinter.Fingerprint]bool)
	}
	for _, f := range fs {
		d.requests[f] = true
	}
}

func (d *pendingDeletes) remove(f fingerprinter.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.requests, f)
}

func (d *pendingDeletes) all() (fs []fingerprinter.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for f := range d.requests {
		fs = append(fs, f)
	}
	return fs
}

// applyQuarantine applies a record that a request is in quarantine or no longer is. It
// reports whether the record is a quarantine record.
func (v *Process) applyQuarantine(r replicator.Record) bool {
	q, ok, err := v.platform.ParseQuarantine(r)
	switch {
	case !ok:
		return false
	case err != nil:
		v.log.Warn().Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("invalid quarantine record")
		return true
	}
	v.markRelevant(VMs, r)
	if r.Deleted {
		v.quarantine.Lift(q.Fingerprint)
		v.pendingDeletes.remove(q.Fingerprint)
		return true
	}
	if v.quarantine.Restore(q) {
		v.pendingDeletes.add(q.Fingerprint)
	}
	return true
}

// syncQuarantine stores the requests in quarantine with the platform until ctx is done.
// State that VMs only exchange among themselves would be lost with the last of them.
func (v *Process) syncQuarantine(ctx context.Context) {
	stop := v.ticker.Subscribe(quarantineSyncInterval, func(time.Time) { notify(v.quarantineChanged) })
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.quarantineChanged:
			v.storeQuarantineChanges(ctx)
		}
	}
}

// mayRunTrial reports whether this VM may run a held request once now. A VM that reaches no
// upstream would forward it to one that holds it.
func (v *Process) mayRunTrial(f quarantiner.Fingerprint) bool {
	return v.reachability.CountUnreachable() == 0 && quarantiner.IsTrialTurn(f, v.quarantine.HeldFor(f), v.self.VM, v.gossiper.KnownVMs())
}

// mayRunEarlyTrial reports the same of a trial that tells parts of prompts apart.
func (v *Process) mayRunEarlyTrial(f quarantiner.Fingerprint) bool {
	return v.reachability.CountUnreachable() == 0 && quarantiner.IsEarlyTrialTurn(f, v.quarantine.HeldFor(f), v.self.VM, v.gossiper.KnownVMs())
}

// notify sends a value on a channel unless its buffer is full.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// readsForZone reports whether this VM reads the platform for its zone.
func (v *Process) readsForZone() bool { return v.gossiper.ReadRole() == gossiper.Reader }

// storeQuarantineChanges stores new quarantine records with the platform, has syncLosses
// store new losses and, if this VM is the reader of its zone, deletes expired quarantine
// records.
func (v *Process) storeQuarantineChanges(ctx context.Context) {
	store, remove := v.quarantine.Reconcile()
	v.pendingDeletes.add(remove...)
	if losses := slices.DeleteFunc(slices.Clone(store), quarantiner.Record.IsHeld); len(losses) > 0 {
		select {
		case v.lossesToStore <- losses:
		default:
			// They are stored when the call in progress has ended.
		}
	}
	for _, r := range store {
		if !r.IsHeld() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
		err := v.platform.StoreQuarantine(callCtx, r)
		cancel()
		if err != nil {
			v.log.Warn().Stringer("fingerprint", r.Fingerprint).Err(err).Msg("failed to store quarantine record")
			return
		}
		v.quarantine.MarkStored(r)
		v.log.Info().Stringer("fingerprint", r.Fingerprint).Time("held", r.Since).Bool("confirmed", r.Confirmed).Msg("quarantine record stored")
	}
	if !v.readsForZone() {
		return
	}
	for _, f := range v.pendingDeletes.all() {
		callCtx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
		err := v.platform.DeleteQuarantine(callCtx, f)
		cancel()
		if err != nil {
			v.log.Warn().Stringer("fingerprint", f).Err(err).Msg("failed to delete quarantine record")
			return
		}
		v.pendingDeletes.remove(f)
		v.log.Info().Stringer("fingerprint", f).Msg("quarantine record deleted")
	}
}
