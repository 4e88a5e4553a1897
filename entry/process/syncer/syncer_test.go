package syncer_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/replicator"
	"github.com/heathervane/heathervane/entry/process/syncer"
)

var errDown = errors.New("down")

// A platform stores records. It can be down, or have discarded old records.
type platform struct {
	mu        sync.Mutex
	records   []replicator.Record
	down      bool
	truncated bool
	snapshots int
	reads     int
}

func (p *platform) Newest(context.Context, string) ([]replicator.Record, replicator.Position, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, at(0), errDown
	}
	p.truncated = false
	p.snapshots++
	return p.records, at(len(p.records)), nil
}

func (p *platform) Read(_ context.Context, _ string, from replicator.Position, _ time.Duration) ([]replicator.Record, replicator.Position, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	switch {
	case p.down:
		return nil, at(0), errDown
	case p.truncated:
		return nil, from, syncer.ErrNotRetained
	}
	return p.records[from.Offset:], at(len(p.records)), nil
}

func (p *platform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// peers simulates one VM that has read further.
type peers struct {
	records []replicator.Record
	// serving reports that the peers read for this VM, confirm what it has and pass
	// on their records. If it is nil they only pass on their records.
	serving *atomic.Bool
	// role is this VM's role while the peers serve. stale reports that they confirm
	// nothing. lastConfirmed is when the platform last answered one of them.
	role          gossiper.ReadRole
	stale         bool
	lastConfirmed time.Time
	// published counts the calls of PublishOffsets.
	published *atomic.Int32
}

func (p peers) ReadRole() gossiper.ReadRole {
	if p.serving == nil || !p.serving.Load() {
		return gossiper.Reader
	}
	return p.role
}

func (p peers) ShouldReadAtStart() bool { return p.ReadRole() == gossiper.Reader }

func (p peers) PublishOffsets() {
	if p.published != nil {
		p.published.Add(1)
	}
}

func (p peers) ConfirmedAt(string, replicator.Position) time.Time {
	if p.ReadRole() == gossiper.Reader || p.stale {
		return time.Time{}
	}
	return time.Now()
}

func (p peers) LastConfirmed(string) time.Time { return p.lastConfirmed }

func (p peers) MostAdvancedPeer(_ string, than replicator.Position) (netip.AddrPort, bool) {
	return netip.AddrPort{}, at(len(p.records)).IsAheadOf(than) && (p.serving == nil || p.serving.Load())
}

func (p peers) Fetch(_ context.Context, _ netip.AddrPort, _ string, from replicator.Position) (replicator.Page, error) {
	return replicator.Page{Records: p.records[from.Offset:], End: at(len(p.records)), AsOf: time.Now().Add(-30 * time.Millisecond)}, nil
}

// at returns a position whose era is unknown.
func at(offset int) replicator.Position { return replicator.Position{Offset: int64(offset)} }

func record(key string, offset int64) replicator.Record {
	return replicator.Record{Key: key, Offset: offset}
}

func start(t *testing.T, p syncer.Source, others peers) *replicator.Copy {
	t.Helper()
	c := replicator.New(func([]replicator.Record, time.Duration) {})
	return run(t, syncer.Stream{Name: "s", Copy: c, Interval: time.Millisecond, StaleAfter: 200 * time.Millisecond, Shared: true}, p, others)
}

func run(t *testing.T, stream syncer.Stream, p syncer.Source, others peers) *replicator.Copy {
	t.Helper()
	c := stream.Copy
	s := syncer.New(stream, p, others, time.Now, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	var both sync.WaitGroup
	both.Go(func() { s.Run(ctx) })
	both.Go(func() { s.RunPeers(ctx) })
	t.Cleanup(func() {
		cancel()
		both.Wait()
	})
	return c
}

func waitForEnd(t *testing.T, c *replicator.Copy, end int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reached, _ := c.End(); reached.Offset == int64(end) {
			return poll.Success()
		}
		return poll.Continue("the copy has not reached the end")
	}, poll.WithTimeout(20*time.Second))
}

func TestReadsSnapshotThenNewRecords(t *testing.T) {
	p := &platform{records: []replicator.Record{record("a", 0)}}
	c := start(t, p, peers{})
	waitForEnd(t, c, 1)
	p.set(func() { p.records = append(p.records, record("b", 1)) })
	waitForEnd(t, c, 2)
}

// The platform discards its history, so the newer records cannot be read from this
// VM's offset. A VM that kept asking for them would learn nothing more.
func TestDiscardedHistoryIsReadInFull(t *testing.T) {
	p := &platform{records: []replicator.Record{record("a", 0)}}
	c := start(t, p, peers{})
	waitForEnd(t, c, 1)
	p.set(func() {
		p.truncated = true
		p.records = append(p.records, record("b", 1), record("c", 2))
	})
	waitForEnd(t, c, 3)
	p.set(func() { assert.Equal(t, p.snapshots, 2) })
}

// The platform rejects this VM and serves the others. Their records must still reach
// this VM, so that it stops accepting a revoked key.
func TestPeersReplaceAnUnavailablePlatform(t *testing.T) {
	p := &platform{down: true}
	c := start(t, p, peers{records: []replicator.Record{record("a", 0), record("b", 1)}})
	waitForEnd(t, c, 2)
	_, asOf := c.End()
	assert.Assert(t, time.Since(asOf) >= 30*time.Millisecond, "the age is that of the peer's read")
}

// Another VM reads for this one, which makes no calls of its own. When that VM stops
// responding, this one reads again before its records are too old.
func TestFollowerReadsOnlyWhenReaderStops(t *testing.T) {
	serving := &atomic.Bool{}
	p := &platform{records: []replicator.Record{record("a", 0)}}
	c := start(t, p, peers{records: []replicator.Record{record("a", 0), record("b", 1)}, serving: serving})
	waitForEnd(t, c, 1)
	serving.Store(true)
	waitForEnd(t, c, 2)
	time.Sleep(50 * time.Millisecond)
	before, after := 0, 0
	p.set(func() { before = p.reads })
	time.Sleep(500 * time.Millisecond)
	p.set(func() { after = p.reads })
	assert.Equal(t, after, before)
	serving.Store(false)
	p.set(func() { p.records = append(p.records, record("b", 1), record("c", 2)) })
	waitForEnd(t, c, 3)
}

// The platform is down and no VM has fresh records. If hundreds of VMs kept retrying,
// the platform would have to reject them all when it comes back. Followers leave the
// retries to the VMs that read, unless the platform answers other VMs whose records
// do not reach them.
func TestFollowersDoNotRetryAnUnavailablePlatform(t *testing.T) {
	serving := &atomic.Bool{}
	serving.Store(true)
	for _, c := range []struct {
		peers peers
		reads bool
	}{
		{peers{role: gossiper.Follower, stale: true}, false},
		{peers{role: gossiper.Follower, stale: true, lastConfirmed: time.Now().Add(time.Hour)}, true},
		{peers{role: gossiper.Standby, stale: true}, true},
		{peers{role: gossiper.Standby}, false},
	} {
		serving.Store(false)
		c.peers.serving = serving
		p := &platform{records: []replicator.Record{record("a", 0)}}
		waitForEnd(t, start(t, p, c.peers), 1)
		serving.Store(true)
		time.Sleep(50 * time.Millisecond)
		before, after := 0, 0
		p.set(func() { before = p.reads })
		time.Sleep(800 * time.Millisecond)
		p.set(func() { after = p.reads })
		assert.Equal(t, after > before, c.reads, "%+v", c.peers)
	}
}

// stallingPlatform does not answer a long poll when there are new records.
type stallingPlatform struct{ platform }

func (f *stallingPlatform) Read(ctx context.Context, _ string, from replicator.Position, wait time.Duration) ([]replicator.Record, replicator.Position, error) {
	select {
	case <-ctx.Done():
		return nil, from, ctx.Err()
	case <-time.After(wait):
		return nil, from, nil
	}
}

// The platform does not answer a long poll although there are new records. The copy
// is not stale yet, but the peers have read further, and a new configuration has to
// be in effect within two seconds.
func TestPeersAreAskedWhenTheyAreAhead(t *testing.T) {
	p := &stallingPlatform{platform{records: []replicator.Record{record("a", 0)}}}
	c := replicator.New(func([]replicator.Record, time.Duration) {})
	began := time.Now()
	run(t, syncer.Stream{Name: "s", Copy: c, Wait: 10 * time.Second, StaleAfter: time.Minute, MaxLag: 100 * time.Millisecond}, p,
		peers{records: []replicator.Record{record("a", 0), record("b", 1)}})
	waitForEnd(t, c, 2)
	assert.Assert(t, time.Since(began) < 5*time.Second)
}

// A VM has just started, and another one of its zone has all the records. The new VM
// must neither wait for its next regular check of its peers nor call the platform.
func TestStartingVMFetchesFromPeerImmediately(t *testing.T) {
	serving := &atomic.Bool{}
	serving.Store(true)
	p := &platform{records: []replicator.Record{record("a", 0), record("b", 1)}}
	c := replicator.New(func([]replicator.Record, time.Duration) {})
	s := syncer.New(syncer.Stream{Name: "s", Copy: c, Interval: time.Millisecond, StaleAfter: 200 * time.Millisecond, Shared: true}, p,
		peers{records: p.records, serving: serving, role: gossiper.Follower}, time.Now, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	var both sync.WaitGroup
	both.Go(func() { s.Run(ctx) })
	both.Go(func() { s.RunPeers(ctx) })
	defer both.Wait()
	defer cancel()
	began := time.Now()
	s.Wake()
	waitForEnd(t, c, 2)
	assert.Assert(t, time.Since(began) < 140*time.Millisecond, "it took %v", time.Since(began))
	p.set(func() { assert.Equal(t, p.snapshots, 0) })
}

// No VM of the zone has any records. The first one to read them announces them
// immediately.
func TestFirstReadIsPublished(t *testing.T) {
	published := &atomic.Int32{}
	p := &platform{records: []replicator.Record{record("a", 0)}}
	c := start(t, p, peers{published: published})
	waitForEnd(t, c, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if published.Load() == 1 {
			return poll.Success()
		}
		return poll.Continue("published %d times", published.Load())
	})
}

// This VM hears only from others that are starting too, and none of them gets any
// records: the follower reads for itself.
func TestStartingVMStopsWaitingForPeers(t *testing.T) {
	serving := &atomic.Bool{}
	serving.Store(true)
	p := &platform{records: []replicator.Record{record("a", 0)}}
	began := time.Now()
	waitForEnd(t, start(t, p, peers{serving: serving, role: gossiper.Follower, stale: true}), 1)
	assert.Assert(t, time.Since(began) < time.Second, "it took %v", time.Since(began))
}

// A fleet starts for the first time, and operators have not published anything yet.
// Each read is paid for, so the stream is read in full only once; after that the
// platform holds each read until there are records.
func TestEmptyStreamIsReadInFullOnce(t *testing.T) {
	p := &platform{}
	c := replicator.New(func([]replicator.Record, time.Duration) {})
	run(t, syncer.Stream{Name: "s", Copy: c, Interval: 20 * time.Millisecond, StaleAfter: time.Second, Shared: true}, p, peers{})
	time.Sleep(400 * time.Millisecond)
	p.set(func() { assert.Equal(t, p.snapshots, 1) })
	p.set(func() { p.records = append(p.records, record("a", 0)) })
	waitForEnd(t, c, 1)
}

// A platform whose full reads bring nothing that its other reads accept must not be called
// in a tight loop: each of these calls has a cost, and together they keep it from
// answering others.
func TestFullReadsThatDoNotHelpArePaced(t *testing.T) {
	p := &brokenPlatform{platform{records: []replicator.Record{record("a", 0)}}}
	start(t, p, peers{})
	time.Sleep(time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Assert(t, p.snapshots > 0 && p.snapshots < 10, "%d full reads in a second", p.snapshots)
}

// brokenPlatform never has the records from an offset on.
type brokenPlatform struct{ platform }

func (*brokenPlatform) Read(_ context.Context, _ string, from replicator.Position, _ time.Duration) ([]replicator.Record, replicator.Position, error) {
	return nil, from, syncer.ErrNotRetained
}

// The platform was restored from a backup, as the reading of another stream has shown. This
// one must not wait for the end of its interval.
func TestRereadEndsTheInterval(t *testing.T) {
	p := &platform{records: []replicator.Record{record("a", 0)}}
	c := replicator.New(func([]replicator.Record, time.Duration) {})
	s := syncer.New(syncer.Stream{Name: "s", Copy: c, Interval: time.Hour, StaleAfter: time.Hour}, p, peers{}, time.Now, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	defer func() {
		cancel()
		<-done
	}()
	waitForEnd(t, c, 1)
	p.set(func() { p.records = append(p.records, record("b", 1)) })
	s.Reread()
	waitForEnd(t, c, 2)
}

// pollingPlatform holds a read that has no new records for as long as it is allowed to.
type pollingPlatform struct{ platform }

func (p *pollingPlatform) Read(ctx context.Context, stream string, from replicator.Position, wait time.Duration) ([]replicator.Record, replicator.Position, error) {
	rs, end, err := p.platform.Read(ctx, stream, from, wait)
	if err != nil || len(rs) > 0 {
		return rs, end, err
	}
	select {
	case <-ctx.Done():
		return nil, end, ctx.Err()
	case <-time.After(wait):
		return nil, end, nil
	}
}

// A platform that was restored from a backup may hold a long poll of the lost records for
// as long as it is allowed to. Such a poll is no failed read either.
func TestRereadEndsALongPoll(t *testing.T) {
	p := &pollingPlatform{platform{records: []replicator.Record{record("a", 0)}}}
	c := replicator.New(func([]replicator.Record, time.Duration) {})
	s := syncer.New(syncer.Stream{Name: "s", Copy: c, Wait: time.Hour, StaleAfter: time.Hour}, p, peers{}, time.Now, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	defer func() {
		cancel()
		<-done
	}()
	waitForEnd(t, c, 1)
	time.Sleep(50 * time.Millisecond)
	p.set(func() { p.records = append(p.records, record("b", 1)) })
	s.Reread()
	waitForEnd(t, c, 2)
	assert.Assert(t, !s.Failing())
}
