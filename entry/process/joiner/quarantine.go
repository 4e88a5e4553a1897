package joiner

import (
	"context"
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/process/budgeter"
	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/entry/process/replicator"
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
)

const (
	// keepEvery is how often it is looked at whether the platform has to be told of
	// requests in quarantine.
	keepEvery = time.Second
	// keepTime bounds such a call.
	keepTime = 2 * time.Second
)

// dropping are the requests whose records are over and still kept by the platform.
type dropping struct {
	mu       sync.Mutex
	requests map[fingerprinter.Fingerprint]bool
}

func (d *dropping) add(fs ...fingerprinter.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requests == nil {
		d.requests = make(map[fingerprinter.Fingerprint]bool)
	}
	for _, f := range fs {
		d.requests[f] = true
	}
}

func (d *dropping) done(f fingerprinter.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.requests, f)
}

func (d *dropping) all() (fs []fingerprinter.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for f := range d.requests {
		fs = append(fs, f)
	}
	return fs
}

// hold folds a record that a request is in quarantine, or no longer, and says
// whether it is such a record.
func (v *Process) hold(r replicator.Record) bool {
	q, ok, err := v.platform.ParseQuarantine(r)
	switch {
	case !ok:
		return false
	case err != nil:
		v.log.Warn().Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("record of a request in quarantine not understood")
		return true
	}
	v.matters(VMs, r)
	if r.Deleted {
		v.quarantine.Lift(q.Fingerprint)
		v.dropping.done(q.Fingerprint)
		return true
	}
	if v.quarantine.Restore(q) {
		v.dropping.add(q.Fingerprint)
	}
	return true
}

// keep has the platform keep the requests in quarantine, until the context ends.
// What VMs only tell each other would end with the last of them.
func (v *Process) keep(ctx context.Context) {
	stop := v.ticker.Subscribe(keepEvery, func(time.Time) { signal(v.found) })
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.found:
			v.keepDue(ctx)
		}
	}
}

// mayTry says that this VM may run a held request once: one of those that live, by a
// hash, so that a trial costs one upstream.
func (v *Process) mayTry(f quarantiner.Fingerprint) bool {
	return budgeter.Quota(1, "trial "+f.String(), v.me.VM, v.gossiper.LiveVMs()) > 0
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (v *Process) keepDue(ctx context.Context) {
	held, over := v.quarantine.Reconcile()
	v.dropping.add(over...)
	for _, r := range held {
		short, cancel := context.WithTimeout(ctx, keepTime)
		err := v.platform.StoreQuarantine(short, r)
		cancel()
		if err != nil {
			v.log.Warn().Stringer("fingerprint", r.Fingerprint).Err(err).Msg("quarantine not recorded")
			return
		}
		v.quarantine.MarkStored(r)
		v.log.Info().Stringer("fingerprint", r.Fingerprint).Time("held", r.Since).Bool("confirmed", r.Confirmed).Msg("quarantine recorded")
	}
	if v.gossiper.ReadRole() != gossiper.Reader {
		return
	}
	for _, f := range v.dropping.all() {
		short, cancel := context.WithTimeout(ctx, keepTime)
		err := v.platform.DeleteQuarantine(short, f)
		cancel()
		if err != nil {
			v.log.Warn().Stringer("fingerprint", f).Err(err).Msg("end of a quarantine not recorded")
			return
		}
		v.dropping.done(f)
		v.log.Info().Stringer("fingerprint", f).Msg("end of a quarantine recorded")
	}
}
