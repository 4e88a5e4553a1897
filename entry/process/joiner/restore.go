package joiner

import (
	"context"
	"time"

	"github.com/heathervane/heathervane/entry/process/replicator"
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
)

// configRetention is how long the zones out of service stay so after the platform was
// restored from a backup that does not have them: operators write again what was lost.
const configRetention = 10 * time.Second

// setRestorePolicies configures what happens when the platform is restored from a backup.
// What operators and upstreams had written since then is written again by them, what VMs
// had written only by VMs.
func (v *Process) setRestorePolicies() {
	v.copies[Configuration].SetRestorePolicy(replicator.RestorePolicy{
		Retention: configRetention, IsOlder: v.isOlderConfig, OnRestore: func(r replicator.Restore) { v.onRestore(Configuration, r) },
	})
	v.copies[Upstreams].SetRestorePolicy(replicator.RestorePolicy{
		Retention: lapsedGracePeriod, IsOlder: v.isOlderEntry, OnRestore: func(r replicator.Restore) { v.onRestore(Upstreams, r) },
	})
	v.copies[VMs].SetRestorePolicy(replicator.RestorePolicy{OnRestore: v.onVMsRestored})
}

// isOlderConfig reports whether a is an older version of the configuration than b.
func (v *Process) isOlderConfig(a, b replicator.Record) bool {
	ca, errA := v.platform.ParseChange(a)
	cb, errB := v.platform.ParseChange(b)
	return errA == nil && errB == nil && ca.Config != nil && cb.Config != nil && ca.Config.Version < cb.Config.Version
}

// isOlderEntry reports whether a was written before b by the same upstream process, or by
// an earlier one.
func (v *Process) isOlderEntry(a, b replicator.Record) bool {
	ua, errA := v.platform.ParseUpstream(a)
	ub, errB := v.platform.ParseUpstream(b)
	return errA == nil && errB == nil && ub.NewerThan(ua)
}

// onRestore makes this VM read the other streams as well.
func (v *Process) onRestore(stream string, r replicator.Restore) {
	v.meter.Count("platform.restores", 1)
	v.log.Warn().Str("stream", stream).Int64("era", r.After.Era).Int64("before", r.Before.Offset).Int64("end", r.After.Offset).
		Int("lost", len(r.Lost)).Msg("platform was restored from a backup")
	for _, s := range v.syncers {
		s.Reread()
	}
}

// onVMsRestored makes this VM store its records again if the platform has lost them.
func (v *Process) onVMsRestored(r replicator.Restore) {
	v.onRestore(VMs, r)
	if !r.Present[v.self.VM] {
		notify(v.registrationLost)
	}
	kept := make(map[fingerprinter.Fingerprint]bool)
	for key := range r.Present {
		if q, ok, err := v.platform.ParseQuarantine(replicator.Record{Key: key, Deleted: true}); ok && err == nil {
			kept[q.Fingerprint] = true
		}
	}
	v.quarantine.MarkLost(kept, v.readsForZone())
	v.quarantine.MarkLossesLost()
	notify(v.quarantineChanged)
}

// keepRegistered registers this VM again whenever the platform has lost its record.
func (v *Process) keepRegistered(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.registrationLost:
			v.register(ctx)
			v.log.Info().Msg("registered this VM again")
		}
	}
}

// expireLost drops what a restored platform lost and nobody wrote again.
func (v *Process) expireLost(time.Time) {
	for name, c := range v.copies {
		if n := c.ExpireLost(); n > 0 {
			v.log.Info().Str("stream", name).Int("records", n).Msg("records that the platform lost have expired")
		}
	}
}
