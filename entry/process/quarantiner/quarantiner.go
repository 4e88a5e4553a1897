// Package quarantiner keeps requests from upstreams that crash whoever runs them.
// Every VM tells the others which upstreams were lost under which requests, and what
// is held is kept by the platform, so that neither the end of a request nor that of
// any VM, or of all at once, lets it loose again.
//
// A request is known by its fingerprint. Others of the same caller and path are
// served meanwhile, and one that is served once is suspected no more.
package quarantiner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/request/fingerprinter"
)

// ErrHeld is why a request ends that waits while it is found out.
var ErrHeld = errors.New("the request has crashed the upstreams that ran it")

const (
	// storeAgain is how soon a VM tries again to have the platform keep what it
	// found out itself, and storeOthers after how long it does so for another VM,
	// which may have ended.
	storeAgain  = time.Second
	storeOthers = 8 * time.Second
	// mostFresh bounds the changes told at a time.
	mostFresh = 3 * mostPart
)

// A Fingerprint stands for a request.
type Fingerprint = fingerprinter.Fingerprint

// A Meter counts.
type Meter interface {
	Count(name string, n int64)
}

// Deps are what a Quarantiner works with.
type Deps struct {
	Meter Meter
	Now   func() time.Time
	Log   zerolog.Logger
	// Broadcast is called when there is something to tell other VMs at once.
	Broadcast func()
	// MayRunTrial says that this VM, and no other, may run a held request once to see whether
	// it is at fault. It is called without a lock.
	MayRunTrial func(f Fingerprint) bool
}

// A Quarantiner is one VM's part. It is safe for concurrent use.
type Quarantiner struct {
	deps Deps

	mu     sync.Mutex
	ledger *Ledger
	// waiting are the requests in progress here that no upstream has answered yet.
	waiting map[fingerprinter.Fingerprint]map[*guard]bool
	// tried is when the platform was last asked to keep a held request.
	tried map[fingerprinter.Fingerprint]time.Time
}

type guard struct{ cancel context.CancelCauseFunc }

// New returns a Quarantiner that holds nothing.
func New(d Deps) *Quarantiner {
	return &Quarantiner{
		deps: d, ledger: NewLedger(), waiting: make(map[fingerprinter.Fingerprint]map[*guard]bool),
		tried: make(map[fingerprinter.Fingerprint]time.Time),
	}
}

// Lost notes that an upstream, in its run since born, was lost under a request, and
// says how many were.
func (q *Quarantiner) Lost(f fingerprinter.Fingerprint, upstream string, born int64) (losses int) {
	q.mu.Lock()
	losses, held := q.ledger.Lost(q.deps.Now(), f, incarnation(upstream, born))
	if held {
		q.held(f, "found here")
	}
	q.mu.Unlock()
	q.deps.Broadcast()
	return losses
}

func incarnation(upstream string, born int64) uint32 {
	d := xxhash.New()
	d.WriteString(upstream) //nolint:errcheck // a Digest does not fail
	for range 8 {
		d.Write([]byte{byte(born)}) //nolint:errcheck // a Digest does not fail
		born >>= 8
	}
	return uint32(d.Sum64())
}

// Served notes that a request was answered whole.
func (q *Quarantiner) Served(f fingerprinter.Fingerprint) {
	q.mu.Lock()
	if q.ledger.Empty() {
		q.mu.Unlock()
		return
	}
	lifted := q.ledger.Served(q.deps.Now(), f)
	if lifted {
		q.lifted(f, "served")
	}
	q.mu.Unlock()
	if lifted {
		q.deps.Broadcast()
	}
}

// Held says whether a request must not be sent on, and after how long without its
// coming again it may.
func (q *Quarantiner) Held(f fingerprinter.Fingerprint) (after time.Duration, held bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Held(q.deps.Now(), f)
}

// Arrived is Held for a request that has just come.
func (q *Quarantiner) Arrived(f fingerprinter.Fingerprint) (after time.Duration, held bool) {
	q.mu.Lock()
	after, held, due := q.ledger.Arrived(q.deps.Now(), f)
	q.mu.Unlock()
	if !due || !q.deps.MayRunTrial(f) {
		return after, held
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.ledger.Try(q.deps.Now(), f) {
		return after, held
	}
	q.deps.Log.Info().Stringer("fingerprint", f).Msg("quarantine on trial")
	return 0, false
}

// CancelWhenHeld gives a context that ends with ErrHeld when a request turns out to be one
// that is held, until it is released.
func (q *Quarantiner) CancelWhenHeld(ctx context.Context, f fingerprinter.Fingerprint) (guarded context.Context, release func()) {
	guarded, cancel := context.WithCancelCause(ctx)
	g := &guard{cancel}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[f] == nil {
		q.waiting[f] = make(map[*guard]bool)
	}
	q.waiting[f][g] = true
	return guarded, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.waiting[f], g)
		if len(q.waiting[f]) == 0 {
			delete(q.waiting, f)
		}
	}
}

// held has a request that turned out to be one wait no longer here.
func (q *Quarantiner) held(f fingerprinter.Fingerprint, source string) {
	for g := range q.waiting[f] {
		g.cancel(ErrHeld)
	}
	q.deps.Meter.Count("quarantined", 1)
	q.deps.Log.Warn().Stringer("fingerprint", f).Str("source", source).
		Int("waiting", len(q.waiting[f])).Msg("request quarantined")
}

func (q *Quarantiner) lifted(f fingerprinter.Fingerprint, source string) {
	q.deps.Log.Warn().Stringer("fingerprint", f).Str("source", source).Msg("quarantine lifted")
}

// Fresh is what changed and is still to be told to other VMs; with own only what was
// found out here.
func (q *Quarantiner) Fresh(own bool) [][]byte {
	return q.tell(func() []Entry { return q.ledger.Fresh(own, mostFresh) })
}

// InTurn is a part of what is held or was until it was served, another each time.
func (q *Quarantiner) InTurn() [][]byte {
	return q.tell(func() []Entry { return q.ledger.InTurn(mostPart) })
}

// All is all of that.
func (q *Quarantiner) All() [][]byte {
	return q.tell(func() []Entry { return q.ledger.Standing() })
}

func (q *Quarantiner) tell(choose func() []Entry) [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Now()
	parts, err := encode(now, choose())
	if err != nil {
		q.deps.Log.Error().Err(err).Msg("quarantined requests were not encoded")
	}
	return parts
}

// Take takes in what another VM told, and says whether it was news.
func (q *Quarantiner) Take(data []byte) (news bool) { return q.TakeOlder(data, 0) }

// TakeOlder takes in what another VM told some time ago.
func (q *Quarantiner) TakeOlder(data []byte, age time.Duration) (news bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Now()
	all, err := decode(now.Add(-age), data)
	if err != nil {
		q.deps.Log.Debug().Err(err).Msg("quarantined requests not understood")
		return false
	}
	for _, e := range all {
		news = q.merge(now, e, "a VM") || news
	}
	return news
}

func (q *Quarantiner) merge(now time.Time, e Entry, source string) bool {
	news, held, lifted := q.ledger.Merge(now, e)
	if held {
		q.held(e.Fingerprint, source)
	}
	if lifted {
		q.lifted(e.Fingerprint, source)
	}
	return news
}

// A Record is what the platform keeps of a held request.
type Record struct {
	Fingerprint fingerprinter.Fingerprint
	// Since is since when, and Confirmed says that a trial crashed as well.
	Since     time.Time
	Confirmed bool
}

// stored is what the platform keeps by it.
func (r Record) stored() Stored {
	if r.Confirmed {
		return StoredConfirmed
	}
	return StoredHeld
}

// Restore takes in a record of the platform. It says whether that is over, so that
// the platform need not keep it any longer.
func (q *Quarantiner) Restore(r Record) (over bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Now()
	// Clocks differ: what is held from a moment on that has not come yet is held now.
	since := r.Since
	if since.After(now) {
		since = now
	}
	e := Entry{Fingerprint: r.Fingerprint, Held: since, Asked: now, Stored: r.stored()}
	if r.Confirmed {
		e.Confirmed = since
	}
	q.merge(now, e, "the platform")
	return e.over(now)
}

// Lift ends what is held against a request, as its record is gone.
func (q *Quarantiner) Lift(f fingerprinter.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ledger.Served(q.deps.Now(), f) {
		q.lifted(f, "the platform")
	}
}

// MarkStored notes that the platform keeps a record.
func (q *Quarantiner) MarkStored(r Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Stored(r.Fingerprint, r.stored())
	delete(q.tried, r.Fingerprint)
}

// Reconcile drops what is over, and gives the held requests that the platform should be
// asked to keep now, and those that it need not keep any longer.
func (q *Quarantiner) Reconcile() (keep []Record, drop []fingerprinter.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Now()
	drop = q.ledger.Expire(now)
	for _, e := range q.ledger.AllHeld() {
		wait := storeAgain
		if !e.own {
			wait = storeOthers
		}
		first, ok := q.tried[e.Fingerprint]
		if !ok && !e.own {
			first = e.changed
		}
		if e.Stored >= e.wanted() || now.Sub(first) < wait {
			continue
		}
		q.tried[e.Fingerprint] = now
		keep = append(keep, Record{Fingerprint: e.Fingerprint, Since: e.HeldSince(), Confirmed: e.isConfirmed()})
	}
	for f := range q.tried {
		if !q.ledger.Known(f) {
			delete(q.tried, f)
		}
	}
	return keep, drop
}

// Len is how many requests are held.
func (q *Quarantiner) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, held := q.ledger.Len()
	return held
}
