// Package syncer keeps this VM's copies of the platform's records fresh: it
// reads the platform, and where that fails or falls behind, a peer that has
// read further. It answers a platform that is down, slow, silent, or turns away
// this VM only. Without the second way such a VM would go on with what it knew
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
	"github.com/heathervane/heathervane/entry/process/replicator"
)

// ErrNotRetained says that the platform no longer keeps the records asked for:
// the stream has to be read whole again.
var ErrNotRetained = errors.New("the records are no longer kept")

const (
	// tryAgain is the wait after a failed reading, and mostWait its bound as
	// it doubles.
	tryAgain = 200 * time.Millisecond
	mostWait = 800 * time.Millisecond
	// spare is how much longer than it was asked to wait a reading may take
	// before its connection counts as silent.
	spare = 900 * time.Millisecond
	// wholeTime bounds a reading of all keys.
	wholeTime = 4 * time.Second
	// peerEvery is how often peers are asked whether they have read further,
	// and peerTime bounds the reading from one.
	peerEvery = 150 * time.Millisecond
	peerTime  = time.Second
	// startEvery is how often a VM that knows nothing yet looks whether it has to
	// read, greeting how long it waits for the word of those that live, and
	// startWait how long for their records.
	startEvery = 5 * time.Millisecond
	greeting   = 15 * time.Millisecond
	startWait  = 250 * time.Millisecond
	// outage is after how long without a reading the platform counts as lost.
	outage = 1500 * time.Millisecond
	// failing is for how long a reading that failed counts.
	failing = 2500 * time.Millisecond
	// followSpare is how much older than stale the copy of a VM that follows may
	// be while the platform answers others: what they read does not come here.
	followSpare = 400 * time.Millisecond
)

// A Source is the platform.
type Source interface {
	// Newest gives the newest record of each key, and an offset below which
	// nothing is missing in them.
	Newest(ctx context.Context, stream string) (rs []replicator.Record, end int64, err error)
	// Read gives the records from an offset on, after at most wait where there
	// are none.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (rs []replicator.Record, end int64, err error)
}

// Peers are the other VMs.
type Peers interface {
	// ReadRole is whether this VM reads the platform for others, and ShouldReadAtStart whether it
	// does where it has just started and nobody that it hears will.
	ReadRole() gossiper.ReadRole
	ShouldReadAtStart() bool
	// PublishOffsets tells the other VMs at once how far this one has read.
	PublishOffsets()
	// LastConfirmed is when the platform last confirmed any offset of a stream to a
	// VM that can be heard.
	LastConfirmed(stream string) time.Time
	// ConfirmedAt is when a VM was last told that a stream went no further than
	// an offset; zero where none was.
	ConfirmedAt(stream string, offset int64) time.Time
	// MostAdvancedPeer names one that has read further.
	MostAdvancedPeer(stream string, than int64) (netip.AddrPort, bool)
	// Fetch gets its records from an offset on.
	Fetch(ctx context.Context, from netip.AddrPort, stream string, offset int64) (replicator.Page, error)
}

// A Stream says how one stream of records is read.
type Stream struct {
	Name string
	Copy *replicator.Copy
	// Wait is how long the platform holds a reading that has nothing new, and
	// Interval how long after a reading the next one begins.
	Wait, Interval time.Duration
	// StaleAfter is how old a copy may be before this VM looks for another way: one
	// that reads asks a peer, one for which another reads does so itself.
	StaleAfter time.Duration
	// MaxLag is how long a peer may be ahead before it is asked, also while the
	// copy is not stale: a long reading that the platform forgets to answer looks
	// like one that has nothing new. Zero where only age counts.
	MaxLag time.Duration
	// Shared says that one VM of a zone reads for the others, which take what
	// it has as soon as it says that there is more.
	Shared bool
}

// A Syncer keeps one stream.
type Syncer struct {
	stream Stream
	source Source
	peers  Peers
	now    func() time.Time
	log    zerolog.Logger
	lost   bool
	began  time.Time
	// ran is when Run began; only Run uses it.
	ran time.Time
	// woken says that a VM has read on.
	woken chan struct{}
	// failed is when a reading last failed, in Unix milliseconds; 0 since one
	// that did not.
	failed atomic.Int64
}

// New returns a Syncer of one stream.
func New(s Stream, source Source, p Peers, now func() time.Time, log zerolog.Logger) *Syncer {
	return &Syncer{
		stream: s, source: source, peers: p, now: now, began: now(), woken: make(chan struct{}, 1),
		log: log.With().Str("stream", s.Name).Logger(),
	}
}

// Run reads the platform until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	wait := tryAgain
	read := s.now()
	s.ran = read
	// whole is set where the platform has forgotten what this VM has not read.
	whole := false
	for ctx.Err() == nil {
		if !s.due() {
			read = s.now()
			pause(ctx, s.pollEvery())
			continue
		}
		first := !s.known()
		err := s.read(ctx, whole || !s.whole())
		now := s.now()
		s.failed.Store(0)
		if err != nil && !errors.Is(err, ErrNotRetained) {
			s.failed.Store(now.UnixMilli())
		}
		switch {
		case err == nil:
			if s.lost {
				s.lost = false
				s.log.Info().Dur("away", now.Sub(read)).Msg("platform answers again")
			}
			whole, wait, read = false, tryAgain, now
			if first && s.known() && s.stream.Shared {
				s.peers.PublishOffsets()
			}
			pause(ctx, s.stream.Interval)
			continue
		case errors.Is(err, ErrNotRetained):
			s.log.Info().Msg("records forgotten by the platform, reading all")
			whole = true
			continue
		}
		if !s.lost && ctx.Err() == nil && now.Sub(read) > outage {
			s.lost = true
			s.log.Warn().Err(err).Dur("since", now.Sub(read)).Msg("platform does not answer")
		}
		// VMs that failed together must not try again together.
		pause(ctx, wait*3/4+rand.N(wait/2))
		wait = min(mostWait, 2*wait)
	}
}

// Failing says that the last reading of the platform failed, a moment ago. A VM
// that the platform turns away must not go on reading for its zone.
func (s *Syncer) Failing() bool {
	at := s.failed.Load()
	return at != 0 && s.now().Sub(time.UnixMilli(at)) < failing
}

// Stream is the name of the stream.
func (s *Syncer) Stream() string { return s.stream.Name }

// Wake has peers asked at once where this VM knows nothing yet. Until it knows the
// configuration and the list it serves nobody.
func (s *Syncer) Wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// pollEvery is how often it is looked at whether there is something to read.
func (s *Syncer) pollEvery() time.Duration {
	if s.known() {
		return peerEvery
	}
	return startEvery
}

// starts says whether a VM that knows nothing yet reads the platform. It first
// gives those that live the time to say that they have what it needs: each VM that
// starts would else make its own calls.
func (s *Syncer) starts() bool {
	old := s.now().Sub(s.ran)
	if _, ahead := s.peers.MostAdvancedPeer(s.stream.Name, 0); ahead && old < startWait {
		return false
	}
	return old >= startWait || (old >= greeting && s.peers.ShouldReadAtStart())
}

// due says that this VM has to read the platform. Each reading is paid for, and the
// platform bears only so many, so that one VM of a zone reads for the others. Where
// it has nothing fresh, few others try; the rest do only where the platform is
// known to answer others, whose news do not come here.
func (s *Syncer) due() bool {
	if !s.stream.Shared {
		return true
	}
	end, asOf := s.stream.Copy.End()
	if end == 0 && s.failed.Load() == 0 {
		return s.starts()
	}
	if asOf.IsZero() {
		asOf = s.began
	}
	old := s.now().Sub(asOf) - s.stream.StaleAfter
	switch s.peers.ReadRole() {
	case gossiper.Reader:
		return true
	case gossiper.Standby:
		return old >= 0
	case gossiper.Follower:
	}
	answered := s.now().Sub(s.peers.LastConfirmed(s.stream.Name)) < s.stream.StaleAfter
	return old >= followSpare && (answered || end == 0)
}

// known says that there is something here that others may have more of.
func (s *Syncer) known() bool {
	end, _ := s.stream.Copy.End()
	return end > 0
}

// whole says that the stream has been read whole, so that a reading may go on from
// its end. A platform that has no record yet is not asked for all of them again and
// again.
func (s *Syncer) whole() bool {
	_, asOf := s.stream.Copy.End()
	return !asOf.IsZero()
}

func (s *Syncer) read(ctx context.Context, whole bool) error {
	from, _ := s.stream.Copy.End()
	asOf := s.now()
	if whole {
		short, cancel := context.WithTimeout(ctx, wholeTime)
		defer cancel()
		rs, end, err := s.source.Newest(short, s.stream.Name)
		if err != nil {
			return err
		}
		s.stream.Copy.MergeSnapshot(rs, end, asOf)
		s.stream.Copy.MarkRead(asOf)
		return nil
	}
	short, cancel := context.WithTimeout(ctx, s.stream.Wait+spare)
	defer cancel()
	rs, end, err := s.source.Read(short, s.stream.Name, from, s.stream.Wait)
	if err != nil {
		return err
	}
	now := s.now()
	s.stream.Copy.Merge(rs, end, now)
	s.stream.Copy.MarkRead(now)
	return nil
}

// RunPeers reads from peers what the platform did not bring, until the context
// ends.
func (s *Syncer) RunPeers(ctx context.Context) {
	var behind time.Time
	for ctx.Err() == nil {
		s.pausePeers(ctx)
		end, asOf := s.stream.Copy.End()
		if confirmed := s.peers.ConfirmedAt(s.stream.Name, end); confirmed.After(asOf) {
			s.stream.Copy.Confirm(confirmed)
		}
		from, ok := s.peers.MostAdvancedPeer(s.stream.Name, end)
		if !ok {
			behind = time.Time{}
			continue
		}
		if behind.IsZero() {
			behind = s.now()
		}
		overdue := s.stream.MaxLag > 0 && s.now().Sub(behind) >= s.stream.MaxLag
		if end > 0 && s.now().Sub(asOf) < s.stream.StaleAfter && s.due() && !overdue {
			continue
		}
		short, cancel := context.WithTimeout(ctx, peerTime)
		p, err := s.peers.Fetch(short, from, s.stream.Name, end)
		cancel()
		if err != nil {
			s.log.Info().Err(err).Str("peer", from.String()).Msg("records not read from a peer")
			continue
		}
		s.log.Debug().Str("peer", from.String()).Int("records", len(p.Records)).Int64("end", p.End).
			Bool("whole", p.Snapshot).Dur("age", s.now().Sub(p.AsOf)).Msg("records read from a peer")
		s.stream.Copy.MergePage(p)
	}
}

// pausePeers waits until peers are asked again. A VM that knows nothing is woken.
func (s *Syncer) pausePeers(ctx context.Context) {
	t := time.NewTimer(peerEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			return
		case <-s.woken:
			if !s.known() {
				return
			}
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
