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

// A platform keeps records and can be down, or have forgotten.
type platform struct {
	mu      sync.Mutex
	records []replicator.Record
	down    bool
	forgot  bool
	wholes  int
	reads   int
}

func (p *platform) Newest(context.Context, string) ([]replicator.Record, int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, 0, errDown
	}
	p.forgot = false
	p.wholes++
	return p.records, int64(len(p.records)), nil
}

func (p *platform) Read(_ context.Context, _ string, from int64, _ time.Duration) ([]replicator.Record, int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	switch {
	case p.down:
		return nil, 0, errDown
	case p.forgot:
		return nil, 0, syncer.ErrNotRetained
	}
	return p.records[from:], int64(len(p.records)), nil
}

func (p *platform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// peers have one VM that has read further.
type peers struct {
	records []replicator.Record
	// serves says that they read for this VM, confirm what it has and give what they
	// have; nil where they only give it.
	serves *atomic.Bool
	// duty is this VM's while they do; stale says that they confirm nothing, and
	// answered when the platform last answered one of them.
	duty     gossiper.ReadRole
	stale    bool
	answered time.Time
	// told counts how often this VM told them how far it has read.
	told *atomic.Int32
}

func (p peers) ReadRole() gossiper.ReadRole {
	if p.serves == nil || !p.serves.Load() {
		return gossiper.Reader
	}
	return p.duty
}

func (p peers) ShouldReadAtStart() bool { return p.ReadRole() == gossiper.Reader }

func (p peers) PublishOffsets() {
	if p.told != nil {
		p.told.Add(1)
	}
}

func (p peers) ConfirmedAt(string, int64) time.Time {
	if p.ReadRole() == gossiper.Reader || p.stale {
		return time.Time{}
	}
	return time.Now()
}

func (p peers) LastConfirmed(string) time.Time { return p.answered }

func (p peers) MostAdvancedPeer(_ string, than int64) (netip.AddrPort, bool) {
	return netip.AddrPort{}, int64(len(p.records)) > than && (p.serves == nil || p.serves.Load())
}

func (p peers) Fetch(_ context.Context, _ netip.AddrPort, _ string, from int64) (replicator.Page, error) {
	return replicator.Page{Records: p.records[from:], End: int64(len(p.records)), AsOf: time.Now().Add(-30 * time.Millisecond)}, nil
}

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

func reaches(t *testing.T, c *replicator.Copy, end int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if at, _ := c.End(); at == end {
			return poll.Success()
		}
		return poll.Continue("not there")
	}, poll.WithTimeout(20*time.Second))
}

func TestReadsAllAndThenOn(t *testing.T) {
	p := &platform{records: []replicator.Record{record("a", 0)}}
	c := start(t, p, peers{})
	reaches(t, c, 1)
	p.set(func() { p.records = append(p.records, record("b", 1)) })
	reaches(t, c, 2)
}

// The platform drops its history: what comes after cannot be read from where
// this VM stood, and a VM that went on asking would learn nothing more.
func TestForgottenHistoryIsReadWhole(t *testing.T) {
	p := &platform{records: []replicator.Record{record("a", 0)}}
	c := start(t, p, peers{})
	reaches(t, c, 1)
	p.set(func() {
		p.forgot = true
		p.records = append(p.records, record("b", 1), record("c", 2))
	})
	reaches(t, c, 3)
	p.set(func() { assert.Equal(t, p.wholes, 2) })
}

// The platform turns this VM away and serves the others. What they have read
// must get here: a key that was taken away opens nothing.
func TestPeersBringWhatThePlatformDoesNot(t *testing.T) {
	p := &platform{down: true}
	c := start(t, p, peers{records: []replicator.Record{record("a", 0), record("b", 1)}})
	reaches(t, c, 2)
	_, asOf := c.End()
	assert.Assert(t, time.Since(asOf) >= 30*time.Millisecond, "it is as old as the peer's reading")
}

// Another VM reads for this one. It makes no call of its own; when that VM falls
// silent, it reads again before what it knows is too old.
func TestServedVMReadsOnlyWhenNewsStop(t *testing.T) {
	serves := &atomic.Bool{}
	p := &platform{records: []replicator.Record{record("a", 0)}}
	c := start(t, p, peers{records: []replicator.Record{record("a", 0), record("b", 1)}, serves: serves})
	reaches(t, c, 1)
	serves.Store(true)
	reaches(t, c, 2)
	time.Sleep(50 * time.Millisecond)
	before, after := 0, 0
	p.set(func() { before = p.reads })
	time.Sleep(500 * time.Millisecond)
	p.set(func() { after = p.reads })
	assert.Equal(t, after, before)
	serves.Store(false)
	p.set(func() { p.records = append(p.records, record("b", 1), record("c", 2)) })
	reaches(t, c, 3)
}

// The platform is down, and no VM has anything fresh. Were each of hundreds to try
// again and again, it would have to refuse them all when it comes back. Those that
// follow leave it to those that read, but for one to whom what others have read
// does not come although the platform answers them.
func TestFollowersDoNotTryADeadPlatform(t *testing.T) {
	serves := &atomic.Bool{}
	serves.Store(true)
	for _, c := range []struct {
		peers peers
		reads bool
	}{
		{peers{duty: gossiper.Follower, stale: true}, false},
		{peers{duty: gossiper.Follower, stale: true, answered: time.Now().Add(time.Hour)}, true},
		{peers{duty: gossiper.Standby, stale: true}, true},
		{peers{duty: gossiper.Standby}, false},
	} {
		serves.Store(false)
		c.peers.serves = serves
		p := &platform{records: []replicator.Record{record("a", 0)}}
		reaches(t, start(t, p, c.peers), 1)
		serves.Store(true)
		time.Sleep(50 * time.Millisecond)
		before, after := 0, 0
		p.set(func() { before = p.reads })
		time.Sleep(800 * time.Millisecond)
		p.set(func() { after = p.reads })
		assert.Equal(t, after > before, c.reads, "%+v", c.peers)
	}
}

// forgetful does not answer a long reading when there is news.
type forgetful struct{ platform }

func (f *forgetful) Read(ctx context.Context, _ string, from int64, wait time.Duration) ([]replicator.Record, int64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, from, nil
	}
}

// The platform holds a long reading although there is something new. The copy is
// not old yet, but the others have read further, and a version of the
// configuration has to be in force within two seconds.
func TestPeersAreAskedWhenTheyAreAhead(t *testing.T) {
	p := &forgetful{platform{records: []replicator.Record{record("a", 0)}}}
	c := replicator.New(func([]replicator.Record, time.Duration) {})
	began := time.Now()
	run(t, syncer.Stream{Name: "s", Copy: c, Wait: 10 * time.Second, StaleAfter: time.Minute, MaxLag: 100 * time.Millisecond}, p,
		peers{records: []replicator.Record{record("a", 0), record("b", 1)}})
	reaches(t, c, 2)
	assert.Assert(t, time.Since(began) < 5*time.Second)
}

// A VM has just started, and another one of its zone has all that it needs. It must
// not wait for its next look at its peers, nor make a call of its own.
func TestStartingVMTakesAPeersRecordsAtOnce(t *testing.T) {
	serves := &atomic.Bool{}
	serves.Store(true)
	p := &platform{records: []replicator.Record{record("a", 0), record("b", 1)}}
	c := replicator.New(func([]replicator.Record, time.Duration) {})
	s := syncer.New(syncer.Stream{Name: "s", Copy: c, Interval: time.Millisecond, StaleAfter: 200 * time.Millisecond, Shared: true}, p,
		peers{records: p.records, serves: serves, duty: gossiper.Follower}, time.Now, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	var both sync.WaitGroup
	both.Go(func() { s.Run(ctx) })
	both.Go(func() { s.RunPeers(ctx) })
	defer both.Wait()
	defer cancel()
	began := time.Now()
	s.Wake()
	reaches(t, c, 2)
	assert.Assert(t, time.Since(began) < 140*time.Millisecond, "it took %v", time.Since(began))
	p.set(func() { assert.Equal(t, p.wholes, 0) })
}

// No VM of the zone has anything. The one that reads first tells the others at once.
func TestFirstReaderTellsTheOthers(t *testing.T) {
	told := &atomic.Int32{}
	p := &platform{records: []replicator.Record{record("a", 0)}}
	c := start(t, p, peers{told: told})
	reaches(t, c, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if told.Load() == 1 {
			return poll.Success()
		}
		return poll.Continue("told %d times", told.Load())
	})
}

// All that has been heard is that others start too, and none of them gets anything:
// the VM that followed reads for itself.
func TestStartingVMWaitsForPeersInVainOnlyBriefly(t *testing.T) {
	serves := &atomic.Bool{}
	serves.Store(true)
	p := &platform{records: []replicator.Record{record("a", 0)}}
	began := time.Now()
	reaches(t, start(t, p, peers{serves: serves, duty: gossiper.Follower, stale: true}), 1)
	assert.Assert(t, time.Since(began) < time.Second, "it took %v", time.Since(began))
}

// A fleet starts for the first time, and operators have published nothing yet. Each
// reading is paid for: the platform holds one until there is something.
func TestEmptyStreamIsReadWholeOnce(t *testing.T) {
	p := &platform{}
	c := replicator.New(func([]replicator.Record, time.Duration) {})
	run(t, syncer.Stream{Name: "s", Copy: c, Interval: 20 * time.Millisecond, StaleAfter: time.Second, Shared: true}, p, peers{})
	time.Sleep(400 * time.Millisecond)
	p.set(func() { assert.Equal(t, p.wholes, 1) })
	p.set(func() { p.records = append(p.records, record("a", 0)) })
	reaches(t, c, 1)
}
