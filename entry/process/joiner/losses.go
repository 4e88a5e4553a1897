package joiner

import (
	"context"
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/entry/process/replicator"
)

// obsoleteLossesInterval is how often records of losses that are no longer needed are
// deleted. A crash breaks many requests, most of which are soon served elsewhere, and the
// deletions of one interval take one call.
const obsoleteLossesInterval = 5 * time.Second

// storedLosses holds when the platform's records of losses expire. A VM deletes the records
// that it wrote; those of VMs that are gone are deleted once they have expired.
type storedLosses struct {
	mu      sync.Mutex
	expires map[LossesKey]time.Time
}

func (s *storedLosses) put(k LossesKey, expires time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expires == nil {
		s.expires = make(map[LossesKey]time.Time)
	}
	s.expires[k] = expires
}

func (s *storedLosses) remove(ks ...LossesKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range ks {
		delete(s.expires, k)
	}
}

func (s *storedLosses) expired(now time.Time) (ks []LossesKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, at := range s.expires {
		if now.After(at) {
			ks = append(ks, k)
		}
	}
	return ks
}

// applyLosses applies a record of the losses of a request that is not held. It reports
// whether the record is one.
func (v *Process) applyLosses(r replicator.Record) bool {
	k, q, ok, err := v.platform.ParseLosses(r)
	switch {
	case !ok:
		return false
	case err != nil:
		v.log.Warn().Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("invalid record of losses")
		return true
	case r.Deleted:
		v.storedLosses.remove(k)
		return true
	}
	v.storedLosses.put(k, q.ExpiresAt())
	if k.VM == v.self.VM {
		v.quarantine.RestoreOwn(q)
	} else {
		v.quarantine.Restore(q)
	}
	return true
}

// syncLosses stores losses with the platform and deletes those that are no longer needed,
// until ctx is done. A hold does not wait for these calls.
func (v *Process) syncLosses(ctx context.Context) {
	deletesDue := make(chan struct{}, 1)
	stop := v.ticker.Subscribe(obsoleteLossesInterval, func(time.Time) { notify(deletesDue) })
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case rs := <-v.lossesToStore:
			v.storeLosses(ctx, rs)
		case <-deletesDue:
			v.deleteObsoleteLosses(ctx)
		}
	}
}

func (v *Process) storeLosses(ctx context.Context, rs []quarantiner.Record) {
	callCtx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
	defer cancel()
	if err := v.platform.StoreLosses(callCtx, v.self.VM, rs); err != nil {
		v.log.Warn().Int("requests", len(rs)).Err(err).Msg("failed to store losses")
		return
	}
	for _, r := range rs {
		v.quarantine.MarkStored(r)
	}
	v.log.Info().Int("requests", len(rs)).Msg("losses stored")
}

// deleteObsoleteLosses deletes the records of losses that are no longer needed.
func (v *Process) deleteObsoleteLosses(ctx context.Context) {
	own := v.quarantine.Obsolete()
	var keys []LossesKey
	for _, f := range own {
		keys = append(keys, LossesKey{Fingerprint: f, VM: v.self.VM})
	}
	if v.readsForZone() {
		keys = append(keys, v.storedLosses.expired(time.Now())...)
	}
	if len(keys) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
	defer cancel()
	if err := v.platform.DeleteLosses(callCtx, keys); err != nil {
		v.log.Warn().Int("requests", len(keys)).Err(err).Msg("failed to delete losses")
		return
	}
	v.quarantine.MarkDeleted(own)
	v.storedLosses.remove(keys...)
	v.log.Info().Int("requests", len(keys)).Msg("losses deleted")
}
