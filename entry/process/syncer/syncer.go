// Package syncer keeps this VM's copies of the platform's records up to date. It
// reads from the platform and, when that fails or falls behind, from a peer that has
// read further. This covers a platform that is down, slow or unresponsive, or that
// rejects only this VM. Without the second source such a VM would keep its old state
// while the others follow a newer configuration.
package syncer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/hedger"
	"github.com/heathervane/heathervane/entry/process/replicator"
)

// ErrNotRetained reports that the platform does not have the requested records: it no
// longer keeps them, or lost them when it was restored from a backup. The stream has to
// be read in full again.
var ErrNotRetained = errors.New("the requested records are not retained")

// errReread ends a read because the platform is to be read again at once.
var errReread = errors.New("the platform is to be read again")

const (
	// minBackoff is the wait after a failed read. It doubles with each further
	// failure, up to maxBackoff.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// readGrace is how much longer than the requested wait a read may take before it
	// times out.
	readGrace = 900 * time.Millisecond
	// snapshotTimeout bounds a read of all keys, and pageTimeout each of its pages. A slow
	// platform needs some hundred milliseconds for a page.
	snapshotTimeout = 16 * time.Second
	pageTimeout     = 4 * time.Second
	// A VM without records does not serve, and waits for the platform's answer to its first
	// read only for a while before it repeats the call. A lost answer must not hold up the
	// fleet, and a slow platform must not get several calls for each answer. The reader of
	// a zone repeats earliest, and less often after the first repeats; a standby only in
	// case the reader cannot reach the platform; followers get the records from them.
	readerRepeat       = 250 * time.Millisecond
	laterReaderRepeat  = 400 * time.Millisecond
	earlyReaderRepeats = 4
	standbyRepeat      = time.Second
	// maxStartBackoff is the longest wait after a failed read while a VM has no records.
	maxStartBackoff = 300 * time.Millisecond
	// recordsCheckInterval is how often a first read checks whether a peer has delivered
	// the records.
	recordsCheckInterval = 25 * time.Millisecond
	// peerInterval is how often this VM checks whether a peer has read further, and
	// peerTimeout bounds a read from a peer.
	peerInterval = 150 * time.Millisecond
	peerTimeout  = time.Second
	// startInterval is how often a VM without records checks whether it has to read,
	// peerDiscoveryWait how long it waits to hear from running peers, and
	// peerRecordsWait how long it waits for their records.
	startInterval     = 5 * time.Millisecond
	peerDiscoveryWait = 15 * time.Millisecond
	peerRecordsWait   = 250 * time.Millisecond
	// outageThreshold is the time without a successful read after which the platform
	// is reported as unavailable.
	outageThreshold = 1500 * time.Millisecond
	// failureWindow is how long a failed read counts as recent.
	failureWindow = 2500 * time.Millisecond
	// followerGrace is how far beyond StaleAfter the copy of a follower may age
	// before it reads for itself while the platform answers other VMs, whose records
	// do not reach it.
	followerGrace = 400 * time.Millisecond
)

// A Source is the platform.
type Source interface {
	// Newest returns the newest record of each key, and a position below which the
	// result is complete. It repeats unanswered calls as the hedger.Policy of the context
	// says.
	Newest(ctx context.Context, stream string) (rs []replicator.Record, end replicator.Position, err error)
	// Read returns the records from a position on. If there are none it waits for at
	// most the given time.
	Read(ctx context.Context, stream string, from replicator.Position, wait time.Duration) (rs []replicator.Record, end replicator.Position, err error)
}

// Peers are the other VMs.
type Peers interface {
	// ReadRole returns whether this VM reads the platform for others, stands by or
	// follows. ShouldReadAtStart reports whether it reads right after its start if
	// none of the VMs from which it receives messages will.
	ReadRole() gossiper.ReadRole
	ShouldReadAtStart() bool
	// PublishOffsets tells the other VMs immediately how far this one has read.
	PublishOffsets()
	// LastConfirmed returns when the platform last confirmed any offset of a stream
	// to a VM from which this one receives messages.
	LastConfirmed(stream string) time.Time
	// ConfirmedAt returns when the platform last confirmed to a VM that a stream has
	// no records beyond a position, or the zero time if none was.
	ConfirmedAt(stream string, end replicator.Position) time.Time
	// MostAdvancedPeer returns the address of a VM that has read further than a
	// position.
	MostAdvancedPeer(stream string, than replicator.Position) (netip.AddrPort, bool)
	// Fetch returns another VM's records from a position on.
	Fetch(ctx context.Context, from netip.AddrPort, stream string, at replicator.Position) (replicator.Page, error)
}

// A Stream configures how one stream of records is read.
type Stream struct {
	Name string
	Copy *replicator.Copy
	// Wait is how long the platform holds a read that has no new records. Interval is
	// the pause between the end of a read and the start of the next.
	Wait, Interval time.Duration
	// StaleAfter is how old a copy may be before this VM uses another source: a VM
	// that reads the platform asks a peer, and one that relies on another VM reads
	// the platform itself.
	StaleAfter time.Duration
	// MaxLag is how long a peer may be ahead before it is asked even though the copy
	// is not stale: a long poll that the platform fails to answer looks like one
	// without new records. If it is zero, only the age of the copy counts.
	MaxLag time.Duration
	// Shared reports that one VM of a zone reads for the others, which fetch its
	// records as soon as it announces new ones.
	Shared bool
}

// A Syncer keeps the copy of one stream up to date.
type Syncer struct {
	stream       Stream
	source       Source
	peers        Peers
	now          func() time.Time
	log          zerolog.Logger
	platformDown bool
	createdAt    time.Time
	// runStartedAt is when Run began. Only Run uses it.
	runStartedAt time.Time
	// wake receives a value when another VM has read further, and reread when the
	// platform is to be read without waiting for the end of the interval.
	wake, reread chan struct{}
	// failedAt is when the last read failed, in Unix milliseconds; 0 if it succeeded.
	failedAt atomic.Int64
}

// New returns a Syncer for one stream.
func New(s Stream, source Source, p Peers, now func() time.Time, log zerolog.Logger) *Syncer {
	return &Syncer{
		stream: s, source: source, peers: p, now: now, createdAt: now(), wake: make(chan struct{}, 1), reread: make(chan struct{}, 1),
		log: log.With().Str("stream", s.Name).Logger(),
	}
}

// Run reads from the platform until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	backoff := minBackoff
	lastRead := s.now()
	s.runStartedAt = lastRead
	// needSnapshot is set if the platform does not have the records that this VM has
	// not read. snapshotAt is when that last led to a full read.
	needSnapshot := false
	var snapshotAt time.Time
	for ctx.Err() == nil {
		if !s.shouldRead() {
			lastRead = s.now()
			sleep(ctx, s.pollInterval())
			continue
		}
		first := !s.hasRecords()
		err := s.read(ctx, needSnapshot || !s.hasSnapshot())
		now := s.now()
		s.failedAt.Store(0)
		if err != nil && !errors.Is(err, ErrNotRetained) && !errors.Is(err, errReread) {
			s.failedAt.Store(now.UnixMilli())
		}
		switch {
		case err == nil:
			if s.platformDown {
				s.platformDown = false
				s.log.Info().Dur("away", now.Sub(lastRead)).Msg("platform is available again")
			}
			if needSnapshot {
				snapshotAt = now
			}
			needSnapshot, backoff, lastRead = false, minBackoff, now
			if first && s.hasRecords() && s.stream.Shared {
				s.peers.PublishOffsets()
			}
			s.awaitNextRead(ctx)
			continue
		case errors.Is(err, errReread):
			continue
		case errors.Is(err, ErrNotRetained):
			from, _ := s.stream.Copy.End()
			s.log.Info().Int64("from", from.Offset).Int64("era", from.Era).Msg("platform does not have the next records, reading the stream in full")
			needSnapshot = true
			if now.Sub(snapshotAt) < maxBackoff {
				// The full read did not help. Without a pause, this VM would overload
				// the platform.
				sleep(ctx, backoff)
				backoff = min(maxBackoff, 2*backoff)
			}
			continue
		}
		if !s.platformDown && ctx.Err() == nil && now.Sub(lastRead) > outageThreshold {
			s.platformDown = true
			s.log.Warn().Err(err).Dur("since", now.Sub(lastRead)).Msg("platform is unavailable")
		}
		if !s.hasRecords() {
			backoff = min(maxStartBackoff, backoff)
		}
		// The jitter keeps VMs that failed together from retrying together.
		sleep(ctx, backoff*3/4+rand.N(backoff/2))
		backoff = min(maxBackoff, 2*backoff)
	}
}

// Failing reports whether the last read of the platform failed recently. A VM that
// the platform rejects must not remain the one that reads for its zone.
func (s *Syncer) Failing() bool {
	at := s.failedAt.Load()
	return at != 0 && s.now().Sub(time.UnixMilli(at)) < failureWindow
}

// Stream returns the name of the stream.
func (s *Syncer) Stream() string { return s.stream.Name }

// Wake makes RunPeers ask peers immediately if this VM has no records yet. A VM
// serves no requests until it knows the configuration and the list of upstreams.
func (s *Syncer) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Reread makes Run read the platform at once, without waiting for the end of the
// interval or of a long poll. The platform has been restored from a backup, which may
// have changed this stream too.
func (s *Syncer) Reread() {
	select {
	case s.reread <- struct{}{}:
	default:
	}
}

// awaitNextRead waits for the end of the interval between two reads, or for Reread.
func (s *Syncer) awaitNextRead(ctx context.Context) {
	if s.stream.Interval <= 0 {
		return
	}
	t := time.NewTimer(s.stream.Interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.reread:
	}
}

// pollInterval returns how often Run checks whether it has to read.
func (s *Syncer) pollInterval() time.Duration {
	if s.hasRecords() {
		return peerInterval
	}
	return startInterval
}

// shouldStart reports whether a VM without records reads the platform. It first gives
// running peers time to announce that they have the records; otherwise each VM that
// starts would make its own calls.
func (s *Syncer) shouldStart() bool {
	elapsed := s.now().Sub(s.runStartedAt)
	if _, ahead := s.peers.MostAdvancedPeer(s.stream.Name, replicator.Position{}); ahead && elapsed < peerRecordsWait {
		return false
	}
	return elapsed >= peerRecordsWait || (elapsed >= peerDiscoveryWait && s.peers.ShouldReadAtStart())
}

// shouldRead reports whether this VM has to read the platform. Each read is paid for
// and the platform handles a limited number, so one VM of a zone reads for the
// others. If that VM has no fresh records, the few standbys read as well. The rest do
// so only if the platform is known to answer other VMs whose records do not reach
// this one.
func (s *Syncer) shouldRead() bool {
	if !s.stream.Shared {
		return true
	}
	_, asOf := s.stream.Copy.End()
	if !s.hasRecords() && s.failedAt.Load() == 0 {
		return s.shouldStart()
	}
	if asOf.IsZero() {
		asOf = s.createdAt
	}
	overdue := s.now().Sub(asOf) - s.stream.StaleAfter
	switch s.peers.ReadRole() {
	case gossiper.Reader:
		return true
	case gossiper.Standby:
		return overdue >= 0
	case gossiper.Follower:
	}
	answered := s.now().Sub(s.peers.LastConfirmed(s.stream.Name)) < s.stream.StaleAfter
	return overdue >= followerGrace && (answered || !s.hasRecords())
}

// hasRecords reports whether this VM has read any records, so that peers may have
// newer ones.
func (s *Syncer) hasRecords() bool { return !s.stream.Copy.IsEmpty() }

// hasSnapshot reports whether the stream has been read in full, so that reads may
// continue from its end. This avoids repeated full reads of a stream that is still
// empty.
func (s *Syncer) hasSnapshot() bool {
	_, asOf := s.stream.Copy.End()
	return !asOf.IsZero()
}

func (s *Syncer) read(ctx context.Context, full bool) error {
	from, _ := s.stream.Copy.End()
	asOf := s.now()
	if full {
		readCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		readCtx, interrupt := context.WithCancelCause(readCtx)
		defer interrupt(nil)
		if !s.hasSnapshot() {
			go s.interruptOnRecords(readCtx, interrupt)
		}
		rs, end, err := s.source.Newest(hedger.NewContext(readCtx, s.repeatPolicy()), s.stream.Name)
		if err != nil {
			if cause := context.Cause(readCtx); errors.Is(cause, errReread) {
				return cause
			}
			return err
		}
		accepted := s.stream.Copy.MergeSnapshot(rs, end, asOf)
		s.stream.Copy.MarkRead(asOf)
		s.log.Info().Int64("from", from.Offset).Int64("end", end.Offset).Int64("era", end.Era).Int("records", len(rs)).Int("accepted", accepted).Msg("stream read in full")
		return nil
	}
	readCtx, cancel := context.WithTimeout(ctx, s.stream.Wait+readGrace)
	defer cancel()
	readCtx, interrupt := context.WithCancelCause(readCtx)
	defer interrupt(nil)
	if s.stream.Wait > 0 {
		go s.interruptOnReread(readCtx, interrupt)
	}
	rs, end, err := s.source.Read(readCtx, s.stream.Name, from, s.stream.Wait)
	if err != nil {
		if cause := context.Cause(readCtx); errors.Is(cause, errReread) {
			return cause
		}
		return err
	}
	now := s.now()
	s.stream.Copy.Merge(rs, end, now)
	s.stream.Copy.MarkRead(now)
	return nil
}

// repeatPolicy returns when the calls of a full read are repeated. A VM that has records
// serves with them meanwhile, and repeats none.
func (s *Syncer) repeatPolicy() hedger.Policy {
	return hedger.Policy{
		Timeout: pageTimeout,
		Wait: func(calls int) time.Duration {
			if s.hasSnapshot() {
				return hedger.Never
			}
			return RepeatWait(s.readRole(), calls)
		},
		Repeated: func(call int, elapsed time.Duration) {
			s.log.Info().Int("call", call).Dur("elapsed", elapsed).Msg("repeating a first read that was not answered")
		},
	}
}

// RepeatWait returns how long a VM with the given role waits for the answer to its first
// read, after a number of calls, before it makes another.
func RepeatWait(role gossiper.ReadRole, calls int) time.Duration {
	switch role {
	case gossiper.Reader:
		if calls <= earlyReaderRepeats {
			return readerRepeat
		}
		return laterReaderRepeat
	case gossiper.Standby:
		return standbyRepeat
	case gossiper.Follower:
	}
	return hedger.Never
}

func (s *Syncer) readRole() gossiper.ReadRole {
	if !s.stream.Shared {
		return gossiper.Reader
	}
	return s.peers.ReadRole()
}

// interruptOnRecords ends a first read once a peer has delivered the records: the answer
// may be lost, and the newer records are to be read.
func (s *Syncer) interruptOnRecords(ctx context.Context, interrupt context.CancelCauseFunc) {
	t := time.NewTicker(recordsCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if s.hasSnapshot() {
				interrupt(errReread)
				return
			}
		}
	}
}

// interruptOnReread ends a long poll when Reread is called: after the platform was
// restored it may not return for as long as the platform may hold it.
func (s *Syncer) interruptOnReread(ctx context.Context, interrupt context.CancelCauseFunc) {
	select {
	case <-ctx.Done():
	case <-s.reread:
		interrupt(errReread)
	}
}

// RunPeers reads from peers what the platform did not deliver, until the context
// ends.
func (s *Syncer) RunPeers(ctx context.Context) {
	var behindSince time.Time
	for ctx.Err() == nil {
		s.waitForPeerPoll(ctx)
		end, asOf := s.stream.Copy.End()
		if confirmed := s.peers.ConfirmedAt(s.stream.Name, end); confirmed.After(asOf) {
			s.stream.Copy.Confirm(confirmed)
		}
		from, ok := s.peers.MostAdvancedPeer(s.stream.Name, end)
		if !ok {
			behindSince = time.Time{}
			continue
		}
		if behindSince.IsZero() {
			behindSince = s.now()
		}
		overdue := s.stream.MaxLag > 0 && s.now().Sub(behindSince) >= s.stream.MaxLag
		if s.hasRecords() && s.now().Sub(asOf) < s.stream.StaleAfter && s.shouldRead() && !overdue {
			continue
		}
		fetchCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		page, err := s.peers.Fetch(fetchCtx, from, s.stream.Name, end)
		cancel()
		if err != nil {
			s.log.Info().Err(err).Str("peer", from.String()).Msg("could not fetch records from a peer")
			continue
		}
		s.log.Debug().Str("peer", from.String()).Int("records", len(page.Records)).Int64("end", page.End.Offset).Int64("era", page.End.Era).
			Bool("whole", page.Snapshot).Dur("age", s.now().Sub(page.AsOf)).Msg("fetched records from a peer")
		s.stream.Copy.MergePage(page)
	}
}

// waitForPeerPoll waits until peers are to be asked again. Wake ends the wait if this
// VM has no records yet.
func (s *Syncer) waitForPeerPoll(ctx context.Context) {
	t := time.NewTimer(peerInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			return
		case <-s.wake:
			if !s.hasRecords() {
				return
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
