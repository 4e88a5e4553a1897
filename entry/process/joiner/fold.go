package joiner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/budgeter"
	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/replicator"
	"github.com/heathervane/heathervane/entry/process/syncer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// configurationShare is the part of the time in which versions must be in force
	// for which the platform holds a reading of the configuration. Where all that
	// read for a zone have fallen silent, the others notice after as long.
	configurationShare = 0.5
	// configurationBehind is how long another VM may have a newer configuration
	// before it is asked for it: the platform's own answer takes some
	// milliseconds, and versions must be in force within two seconds.
	configurationBehind = 200 * time.Millisecond
	// upstreamsShare is the part of the time in which upstreams that leave must get
	// nothing more after which the list of upstreams is read again, and
	// mostUpstreams the longest such time: as the platform's silences must be told
	// from it. Upstreams write to the list all the time, so that waiting there for
	// news would return at every heartbeat.
	upstreamsShare = 0.3
	mostUpstreams  = 900 * time.Millisecond
	// vmsEvery is how often the addresses of VMs are read. New VMs make
	// themselves known, so that this is only for those that could not.
	vmsEvery = 20 * time.Second
	// staleAfter is how much older than its reading takes the list or the
	// configuration may be before a peer is asked, or those that stand by read
	// themselves: VMs hear of a reading with its reader's next beat.
	staleAfter = gossiper.HeartbeatInterval + 100*time.Millisecond
	// announceAgain is the wait after this VM could not be recorded, mostAgain its
	// bound as it doubles: relays tell of it meanwhile.
	announceAgain = 500 * time.Millisecond
	mostAgain     = 8 * time.Second
	// announceTime bounds that call.
	announceTime = 2 * time.Second
	// lapsedUse is how long an upstream is used on whose entry went while the
	// platform was away: upstreams that live are listed again within two
	// seconds of its return.
	lapsedUse = 1800 * time.Millisecond
	// outage is for how long the platform has answered nobody where entries that
	// are gone count as lapsed. Those that go later are news like any other: an
	// upstream may leave a moment after the platform's return, and one that was
	// used on then would get work that it never answers.
	outage = 1500 * time.Millisecond
)

// ReadIntervals are for how long the platform holds a reading of the configuration, and
// how often the list of upstreams is read. Each reading is paid for, also where few
// requests come, so that it is as rare as the bounds allow.
func (b Bounds) ReadIntervals() (held, every time.Duration) {
	return time.Duration(configurationShare * float64(b.ConfigApplyTimeout)), min(mostUpstreams, time.Duration(upstreamsShare*float64(b.DrainTimeout)))
}

func (v *Process) newSyncers() {
	held, every := v.settings.Load().Bounds.ReadIntervals()
	for _, s := range []syncer.Stream{
		{Name: Configuration, Wait: held, StaleAfter: held + staleAfter, MaxLag: configurationBehind, Shared: true},
		{Name: Upstreams, Interval: every, StaleAfter: every + staleAfter, Shared: true},
		{Name: VMs, Interval: vmsEvery, StaleAfter: 2 * vmsEvery, Shared: true},
	} {
		s.Copy = v.copies[s.Name]
		v.syncers = append(v.syncers, syncer.New(s, v.platform, fetcher{v.gossiper}, time.Now, v.log))
	}
}

// wake has peers asked for what this VM does not know at all yet.
func (v *Process) wake() {
	for _, s := range v.syncers {
		s.Wake()
	}
}

// ends tells how far this VM has read. What it has read since the last record that
// mattered changes nothing for whoever has read as far as that: upstreams write all
// the time that they live, and each VM would fetch that from the one that reads.
func (v *Process) ends() map[string]gossiper.StreamPosition {
	ends := make(map[string]gossiper.StreamPosition, len(v.syncers))
	for _, s := range v.syncers {
		c := v.copies[s.Stream()]
		if end, _ := c.End(); end > 0 || s.Failing() {
			ends[s.Stream()] = gossiper.StreamPosition{Offset: v.marks[s.Stream()].Load(), ConfirmedAt: c.ReadAt(), Failing: s.Failing()}
		}
	}
	return ends
}

// matters notes that a record changes what others have to know.
func (v *Process) matters(stream string, r replicator.Record) {
	v.marks[stream].Store(max(v.marks[stream].Load(), r.Offset+1))
}

// configure folds records of the configuration.
func (v *Process) configure(rs []replicator.Record, _ time.Duration) {
	for _, r := range rs {
		v.matters(Configuration, r)
		c, err := v.platform.ParseChange(r)
		if err != nil {
			v.log.Error().Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("configuration record not understood")
			continue
		}
		if c.Config != nil {
			v.enforce(*c.Config, r.Offset)
		}
		if c.Zone != "" {
			v.zones[c.Zone] = c.OutOfService
			v.takeOut(c.Zone, c.OutOfService, r.Offset)
		}
	}
	v.allocator.Dispatch()
}

// enforce puts a version in force, unless a newer one is: whoever brings it, a
// process never goes back.
func (v *Process) enforce(c matcher.Config, offset int64) {
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

func (v *Process) takeOut(zone string, out bool, offset int64) {
	zones := make(map[string]bool, len(v.zones))
	for name, is := range v.zones {
		zones[name] = is
	}
	v.tracker.SetDisabledZones(zones)
	v.log.Info().Str("zone", zone).Bool("out", out).Int64("offset", offset).Msg("zone of upstreams")
}

// list folds entries of upstreams.
func (v *Process) list(rs []replicator.Record, gap time.Duration) {
	now := time.Now()
	lapsing := gap > outage
	for _, r := range rs {
		if r.Deleted {
			if v.tracker.Remove(now, r.Key, lapsing) {
				v.matters(Upstreams, r)
				v.log.Info().Str("upstream", r.Key).Int64("offset", r.Offset).Bool("lapsed", lapsing).Dur("silence", gap).Msg("upstream gone from the list")
			}
			continue
		}
		u, err := v.platform.ParseUpstream(r)
		if err != nil {
			v.log.Warn().Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("entry of an upstream not understood")
			v.tracker.Remove(now, r.Key, false)
			v.matters(Upstreams, r)
			continue
		}
		if v.tracker.Put(now, u) {
			v.matters(Upstreams, r)
			v.log.Info().Str("upstream", u.ID).Str("service", u.Service).Str("zone", u.Zone).Str("address", u.Address).
				Bool("draining", u.Draining).Dur("cold", u.Cold).Int64("born", u.StartedAt).Int64("offset", r.Offset).Msg("upstream")
		}
	}
	if v.listed.CompareAndSwap(false, true) {
		// Not before: a request that waits for the list would be refused for want of
		// upstreams while the entries are still being taken in.
		v.tracker.SetOutdated(false)
	}
	v.allocator.Dispatch()
}

func (v *Process) expire(now time.Time) {
	for _, id := range v.tracker.Expire(now, lapsedUse) {
		v.log.Info().Str("upstream", id).Msg("lapsed upstream was not listed again")
		v.allocator.Forget(id)
	}
}

// outdatedShare is the part of the time in which upstreams must get nothing more
// that a list may be behind. The rest is for the way of the platform's answer to
// this VM, a quarter of a second and a beat, and for a request's to its upstream.
const outdatedShare = 0.6

// watch compares the copies with what the platform has told others. A VM that its
// peers' records reach late has to know it: it would use upstreams on that have
// left, and take those that are gone for lapsed. One that has just started and has
// no list yet would refuse what it could serve a moment later.
func (v *Process) watch() {
	for name, c := range v.copies {
		c.RecordAnswer(v.gossiper.LastConfirmed(name))
	}
	copied := v.copies[Upstreams]
	behind := copied.Lag()
	_, asOf := copied.End()
	outdated := asOf.IsZero() || behind > time.Duration(outdatedShare*float64(v.settings.Load().Bounds.DrainTimeout))
	if !v.tracker.SetOutdated(outdated) {
		return
	}
	v.log.Warn().Bool("outdated", outdated).Dur("behind", behind).Msg("list of upstreams")
	v.allocator.Dispatch()
}

// meet folds addresses of VMs.
func (v *Process) meet(rs []replicator.Record, _ time.Duration) {
	for _, r := range rs {
		if v.hold(r) || r.Deleted {
			continue
		}
		m, err := v.platform.ParseMember(r)
		if err != nil {
			v.log.Warn().Str("key", r.Key).Err(err).Msg("record of a VM not understood")
			continue
		}
		v.matters(VMs, r)
		v.gossiper.AddPeer(m)
		if m.VM == v.me.VM {
			v.own.Store(&m)
		}
	}
}

const (
	// together is how long VMs that start together take to record themselves.
	together = 400 * time.Millisecond
	// meeting is how long a process waits for the list of VMs before it reads the
	// rest for itself.
	meeting = 600 * time.Millisecond
)

// introduce reads the list of VMs and records this one there, unless an earlier run
// of it has. Of VMs that start together each records itself first: read before, the
// list would be empty, and each VM would read everything for itself.
func (v *Process) introduce(ctx context.Context) {
	defer close(v.met)
	if v.settings.Load().FleetBootstrap {
		v.announce(ctx)
		wait(ctx, together)
	}
	short, cancel := context.WithTimeout(ctx, announceTime)
	rs, end, err := v.platform.Newest(short, VMs)
	cancel()
	if err != nil {
		v.log.Warn().Err(err).Msg("list of VMs not read")
	} else {
		v.copies[VMs].MergeSnapshot(rs, end, time.Now())
	}
	v.gossiper.SendHello()
	if own := v.own.Load(); own == nil || *own != v.me {
		go v.announce(ctx)
	}
}

// follow keeps a stream, once it is known who reads it for others.
func (v *Process) follow(ctx context.Context, s *syncer.Syncer) {
	t := time.NewTimer(meeting)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-v.met:
	}
	s.Run(ctx)
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// announce records this VM for the others until that has been done.
func (v *Process) announce(ctx context.Context) {
	for again := announceAgain; ctx.Err() == nil; again = min(mostAgain, 2*again) {
		short, cancel := context.WithTimeout(ctx, announceTime)
		err := v.platform.RegisterVM(short, v.me)
		cancel()
		if err == nil {
			return
		}
		v.log.Warn().Err(err).Msg("this VM was not recorded")
		wait(ctx, again+rand.N(again))
	}
}

// service finds a service of the configuration in force.
func (v *Process) service(name string) (*matcher.Service, bool) {
	t := v.table.Load()
	if t == nil {
		return nil, false
	}
	return t.Service(name)
}

// coldParts is in how many parts the bound of an upstream in cold start is divided
// that holds in sum over all VMs: one for whoever leads its group, one for another
// that takes itself for the leader at the same time, and one for all VMs together
// that decide alone.
const coldParts = 3

// coldPart is what this VM may place there in a second.
func (v *Process) coldPart(upstream string, rate float64, leads bool) int {
	b := v.settings.Load().Bounds
	part := (rate*b.ColdMultiplier + b.ColdSlack) / coldParts
	if leads {
		return int(part)
	}
	return budgeter.Quota(part, "cold "+upstream, v.settings.Load().VM, v.gossiper.LiveVMs())
}

// idlePart is how many idle connections this VM may keep to an upstream that accepts so
// many from all VMs: 0 for the usual number, less for none.
func (v *Process) idlePart(connections int, upstream string) int {
	if connections <= 0 {
		return 0
	}
	n := budgeter.IdleConnections(connections, carrier.MaxIdlePerAddress, upstream, v.settings.Load().VM, v.gossiper.LiveVMs())
	if n == 0 {
		return -1
	}
	return n
}

// leaseSpare is what a lease is shorter than the time in which memory must be
// free after its VM died.
const leaseSpare = 600 * time.Millisecond

func (v *Process) lease() time.Duration {
	return max(time.Second, v.settings.Load().Bounds.ReleaseTimeout-leaseSpare)
}
