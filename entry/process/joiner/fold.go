package joiner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/budgeter"
	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/hedger"
	"github.com/heathervane/heathervane/entry/process/replicator"
	"github.com/heathervane/heathervane/entry/process/syncer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// configWaitFraction is the fraction of ConfigApplyTimeout for which the platform may
	// hold a long poll for the configuration. When all readers of a zone have fallen
	// silent, the other VMs notice only after that time.
	configWaitFraction = 0.5
	// configMaxLag is how long another VM may have a newer configuration before it is
	// asked for it: the platform's own response takes some milliseconds, and versions must
	// be in force within two seconds.
	configMaxLag = 200 * time.Millisecond
	// upstreamsIntervalFraction is the fraction of DrainTimeout after which the list of
	// upstreams is read again. The list is not long-polled: upstreams write to it all the
	// time, so a long poll would return at each of their heartbeats.
	upstreamsIntervalFraction = 0.3
	// maxUpstreamsInterval is the upper limit of that interval. It must be short enough to
	// distinguish an outage of the platform from the time between two reads.
	maxUpstreamsInterval = 900 * time.Millisecond
	// vmsWait is how long the platform may hold a long poll for the records of VMs, and
	// vmsInterval the pause between two. VMs tell each other of these records; the
	// platform tells those that cannot reach each other. A wave of crashes writes many of
	// them at a time.
	vmsWait     = 19 * time.Second
	vmsInterval = time.Second
	// staleMargin is how much older than the time of a read the list of upstreams or the
	// configuration may be before a peer is asked, or standby VMs read it themselves. VMs
	// learn of a read with the reader's next heartbeat.
	staleMargin = gossiper.HeartbeatInterval + 100*time.Millisecond
	// registerRetryDelay is the first delay after a failed registration of this VM. It
	// doubles up to maxRegisterRetryDelay; meanwhile relays make the VM known.
	registerRetryDelay    = 500 * time.Millisecond
	maxRegisterRetryDelay = 8 * time.Second
	// registerTimeout is the timeout of a registration, and of the first read of the list
	// of VMs.
	registerTimeout = 2 * time.Second
	// lapsedGracePeriod is how long an upstream stays in use after its entry disappeared
	// during an outage of the platform: live upstreams are listed again within two seconds
	// of the platform's return.
	lapsedGracePeriod = 1800 * time.Millisecond
	// outageThreshold is how long the platform must have answered no VM for entries that
	// are gone to count as lapsed. Entries that disappear later are removed at once: an
	// upstream may leave just after the platform's return, and if it stayed in use it would
	// get requests that it never answers.
	outageThreshold = 1500 * time.Millisecond
)

// ReadIntervals returns how long the platform may hold a long poll for the configuration,
// and how often the list of upstreams is read. Each read has a cost, even under low load,
// so reads are as rare as the bounds allow.
func (b Bounds) ReadIntervals() (wait, interval time.Duration) {
	return time.Duration(configWaitFraction * float64(b.ConfigApplyTimeout)), min(maxUpstreamsInterval, time.Duration(upstreamsIntervalFraction*float64(b.DrainTimeout)))
}

func (v *Process) newSyncers() {
	wait, interval := v.settings.Load().Bounds.ReadIntervals()
	for _, s := range []syncer.Stream{
		{Name: Configuration, Wait: wait, StaleAfter: wait + staleMargin, MaxLag: configMaxLag, Shared: true},
		{Name: Upstreams, Interval: interval, StaleAfter: interval + staleMargin, Shared: true},
		{Name: VMs, Wait: vmsWait, Interval: vmsInterval, StaleAfter: 2 * (vmsWait + vmsInterval), Shared: true},
	} {
		s.Copy = v.copies[s.Name]
		v.syncers = append(v.syncers, syncer.New(s, v.platform, fetcher{v.gossiper}, time.Now, v.log))
	}
}

// wakeSyncers makes the syncers ask peers at once for streams of which this VM has no
// records yet.
func (v *Process) wakeSyncers() {
	for _, s := range v.syncers {
		s.Wake()
	}
}

// positions returns how far this VM has read each stream, up to the last record that
// changed anything. Later records change nothing for VMs that have read as far: upstreams
// rewrite their entries all the time, and each VM would fetch all these from the reader.
func (v *Process) positions() map[string]gossiper.StreamPosition {
	positions := make(map[string]gossiper.StreamPosition, len(v.syncers))
	for _, s := range v.syncers {
		c := v.copies[s.Stream()]
		if c.IsEmpty() && !s.Failing() {
			continue
		}
		relevant := v.relevantEnds[s.Stream()].load()
		if end, _ := c.End(); relevant.Era < end.Era {
			// The platform was restored: others need all that it has now.
			relevant = end
		}
		positions[s.Stream()] = gossiper.StreamPosition{Position: relevant, ConfirmedAt: c.ReadAt(), Failing: s.Failing()}
	}
	return positions
}

// markRelevant records that other VMs need a record, because it changes something.
func (v *Process) markRelevant(stream string, r replicator.Record) {
	v.relevantEnds[stream].advance(replicator.Position{Era: r.Era, Offset: r.Offset + 1})
}

// A relevantEnd is the position after the last record of a stream that changed anything.
type relevantEnd struct {
	mu  sync.Mutex
	end replicator.Position
}

func (e *relevantEnd) load() replicator.Position {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.end
}

func (e *relevantEnd) advance(to replicator.Position) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.end.Before(to) {
		e.end = to
	}
}

// applyConfiguration applies records of the Configuration stream.
func (v *Process) applyConfiguration(rs []replicator.Record, _ time.Duration) {
	for _, r := range rs {
		v.markRelevant(Configuration, r)
		c, err := v.platform.ParseChange(r)
		if err != nil {
			v.log.Error().Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("invalid configuration record")
			continue
		}
		if c.Config != nil {
			v.activateConfig(*c.Config, r.Offset)
		}
		if c.Zone != "" {
			v.zones[c.Zone] = c.OutOfService
			v.setZoneOutOfService(c.Zone, c.OutOfService, r.Offset)
		}
	}
	v.allocator.Dispatch()
}

// activateConfig puts a version of the configuration in force, unless it is not newer than
// the current one. A process never goes back to an older version, whatever its source.
func (v *Process) activateConfig(c matcher.Config, offset int64) {
	if old := v.table.Load(); old != nil && c.Version <= old.Version {
		v.log.Warn().Int64("version", c.Version).Int64("in force", old.Version).Int64("offset", offset).Msg("older configuration ignored")
		return
	}
	first := v.table.Load() == nil
	v.table.Store(matcher.New(c))
	if first {
		close(v.configured)
	}
	v.acceptor.SetLimits(c.Limits)
	v.log.Info().Int64("version", c.Version).Int64("offset", offset).Int("routes", len(c.Routes)).
		Int("services", len(c.Services)).Int("teams", len(c.Teams)).Msg("configuration in force")
}

func (v *Process) setZoneOutOfService(zone string, out bool, offset int64) {
	zones := make(map[string]bool, len(v.zones))
	for name, outOfService := range v.zones {
		zones[name] = outOfService
	}
	v.tracker.SetDisabledZones(zones)
	v.log.Info().Str("zone", zone).Bool("out", out).Int64("offset", offset).Msg("zone service state set")
}

// applyUpstreams applies records of the Upstreams stream. gap is how long the platform had
// answered no VM before.
func (v *Process) applyUpstreams(rs []replicator.Record, gap time.Duration) {
	now := time.Now()
	afterOutage := gap > outageThreshold
	for _, r := range rs {
		if r.Deleted {
			if v.tracker.Remove(now, r.Key, afterOutage) {
				v.markRelevant(Upstreams, r)
				v.log.Info().Str("upstream", r.Key).Int64("offset", r.Offset).Bool("lapsed", afterOutage).Dur("silence", gap).Msg("upstream removed from the list")
			}
			continue
		}
		u, err := v.platform.ParseUpstream(r)
		if err != nil {
			v.log.Warn().Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("invalid upstream entry")
			v.tracker.Remove(now, r.Key, false)
			v.markRelevant(Upstreams, r)
			continue
		}
		if v.tracker.Put(now, u) {
			v.markRelevant(Upstreams, r)
			v.log.Info().Str("upstream", u.ID).Str("service", u.Service).Str("zone", u.Zone).Str("address", u.Address).
				Bool("draining", u.Draining).Dur("cold", u.Cold).Int64("born", u.StartedAt).Int64("offset", r.Offset).Msg("upstream added or changed")
		}
	}
	if v.listed.CompareAndSwap(false, true) {
		// This must come after all entries: otherwise a request that waits for the list
		// would be refused for lack of upstreams while entries are still being applied.
		v.tracker.SetOutdated(false)
	}
	v.allocator.Dispatch()
}

func (v *Process) expireLapsed(now time.Time) {
	for _, id := range v.tracker.Expire(now, lapsedGracePeriod) {
		v.log.Info().Str("upstream", id).Msg("lapsed upstream removed")
		v.allocator.Forget(id)
	}
}

// outdatedFraction is the fraction of DrainTimeout by which the list of upstreams may lag.
// The rest is for the platform's response to reach this VM, which takes a quarter of a
// second and a heartbeat, and for a request to reach its upstream.
const outdatedFraction = 0.6

// checkOutdated compares the copies of the platform's records with what the platform has
// confirmed to other VMs, and sets whether the list of upstreams is outdated. A VM that
// receives records late must know that. Otherwise it would keep using upstreams that have
// left, and take entries that were removed for lapsed ones. The list also counts as
// outdated while a VM that has just started has none, because it would otherwise refuse
// requests that it could serve a moment later.
func (v *Process) checkOutdated() {
	for name, c := range v.copies {
		c.RecordAnswer(v.gossiper.LastConfirmed(name))
	}
	upstreams := v.copies[Upstreams]
	lag := upstreams.Lag()
	_, asOf := upstreams.End()
	outdated := asOf.IsZero() || lag > time.Duration(outdatedFraction*float64(v.settings.Load().Bounds.DrainTimeout))
	if !v.tracker.SetOutdated(outdated) {
		return
	}
	v.log.Warn().Bool("outdated", outdated).Dur("behind", lag).Msg("state of the upstream list changed")
	v.allocator.Dispatch()
}

// applyVMs applies records of the VMs stream.
func (v *Process) applyVMs(rs []replicator.Record, _ time.Duration) {
	for _, r := range rs {
		if v.applyQuarantine(r) || v.applyLosses(r) || r.Deleted {
			continue
		}
		m, err := v.platform.ParseMember(r)
		if err != nil {
			v.log.Warn().Str("key", r.Key).Err(err).Msg("invalid VM record")
			continue
		}
		v.markRelevant(VMs, r)
		v.gossiper.AddPeer(m)
		if m.VM != v.self.VM {
			continue
		}
		if old := v.registered.Swap(&m); old != nil && *old == v.self && m != v.self {
			// A restored platform has the record of an earlier run at another address.
			notify(v.registrationLost)
		}
	}
}

const (
	// bootstrapDelay is the time that all VMs of a fleet that starts for the first time
	// are given to register.
	bootstrapDelay = 400 * time.Millisecond
	// vmListWait is how long a process waits for the list of VMs before it starts to read
	// the streams.
	vmListWait = 400 * time.Millisecond
)

// readVMListAndRegister reads the list of VMs and registers this one, unless an earlier run
// of it has done so. When a fleet starts for the first time, each VM registers before it
// reads the list: otherwise the list would be empty, and each VM would read all streams
// for itself.
func (v *Process) readVMListAndRegister(ctx context.Context) {
	defer close(v.vmListRead)
	if v.settings.Load().FleetBootstrap {
		v.register(ctx)
		sleep(ctx, bootstrapDelay)
	}
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	callCtx = hedger.NewContext(callCtx, hedger.Policy{Wait: vmListRepeat})
	rs, end, err := v.platform.Newest(callCtx, VMs)
	cancel()
	if err != nil {
		v.log.Warn().Err(err).Msg("failed to read the list of VMs")
	} else {
		v.copies[VMs].MergeSnapshot(rs, end, time.Now())
	}
	v.gossiper.SendHello()
	if registered := v.registered.Load(); registered == nil || *registered != v.self {
		go v.register(ctx)
	}
}

// vmListRepeat returns how long the first read of the list of VMs waits for an answer before
// the call is repeated. Once the syncer of the list runs, that repeats its own calls.
func vmListRepeat(calls int) time.Duration {
	if calls > 1 {
		return hedger.Never
	}
	return syncer.RepeatWait(gossiper.Reader, calls)
}

// runSyncer syncs a stream. It first waits for the list of VMs, from which it is known
// which VM reads the stream for the others.
func (v *Process) runSyncer(ctx context.Context, s *syncer.Syncer) {
	t := time.NewTimer(vmListWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-v.vmListRead:
	}
	s.Run(ctx)
}

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// register registers this VM with the platform and retries until it succeeds.
func (v *Process) register(ctx context.Context) {
	for delay := registerRetryDelay; ctx.Err() == nil; delay = min(maxRegisterRetryDelay, 2*delay) {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		err := v.platform.RegisterVM(callCtx, v.self)
		cancel()
		if err == nil {
			return
		}
		v.log.Warn().Err(err).Msg("failed to register this VM")
		sleep(ctx, delay+rand.N(delay))
	}
}

// service returns a service of the configuration in force.
func (v *Process) service(name string) (*matcher.Service, bool) {
	t := v.table.Load()
	if t == nil {
		return nil, false
	}
	return t.Service(name)
}

// coldQuotaDivisor is the number of equal parts into which the fleet-wide limit of an
// upstream in cold start is divided: one for the leader of its group, one for another VM
// that takes itself for the leader at the same time, and one shared by all VMs that decide
// without a leader.
const coldQuotaDivisor = 3

// coldStartQuota returns how many requests per second this VM may place at an upstream in
// cold start.
func (v *Process) coldStartQuota(upstream string, rate float64, leads bool) int {
	b := v.settings.Load().Bounds
	quota := (rate*b.ColdMultiplier + b.ColdSlack) / coldQuotaDivisor
	if leads {
		return int(quota)
	}
	return budgeter.Quota(quota, "cold "+upstream, v.settings.Load().VM, v.gossiper.LiveVMs())
}

// maxIdleConns returns how many idle connections this VM may keep to an upstream that
// accepts the given number from all VMs: 0 for the default, or a negative number for none.
func (v *Process) maxIdleConns(connections int, upstream string) int {
	if connections <= 0 {
		return 0
	}
	n := budgeter.IdleConnections(connections, carrier.MaxIdlePerAddress, upstream, v.settings.Load().VM, v.gossiper.LiveVMs())
	if n == 0 {
		return -1
	}
	return n
}

// leaseMargin is by how much a lease is shorter than ReleaseTimeout, the time within which
// memory must be free after its VM died.
const leaseMargin = 600 * time.Millisecond

func (v *Process) leaseDuration() time.Duration {
	return max(time.Second, v.settings.Load().Bounds.ReleaseTimeout-leaseMargin)
}
