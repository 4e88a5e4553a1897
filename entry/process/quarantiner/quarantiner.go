// Package quarantiner holds back requests that crash the upstreams that run them.
// Every VM tells the others which upstreams were lost while they ran which requests.
// The platform records the requests that are held in quarantine, so that a hold
// survives the end of the request and the loss of any VM, or of all VMs at once.
//
// A request is identified by its fingerprint. Other requests of the same caller and
// path are still served, and a request that is served once is not suspected any more.
//
// A part of a prompt that crashes upstreams is held as well, because the requests that share
// it may differ in everything else. All shared parts of a request are suspected if its
// upstream is lost before its answer went on, and cleared once any answer to a prompt with
// them goes on.
package quarantiner

import (
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/request/fingerprinter"
)

// ErrHeld is the cause with which a waiting request is cancelled when it turns out to
// be held.
var ErrHeld = errors.New("the request has crashed the upstreams that ran it")

const (
	// storeRetry is how soon a VM again asks the platform to record a hold that it
	// observed itself. storeForOthers is after how long it asks on behalf of another
	// VM, which may have crashed.
	storeRetry     = time.Second
	storeForOthers = 8 * time.Second
	// maxPending bounds the changes sent at once.
	maxPending = 3 * maxPortionEntries
)

// A Fingerprint identifies a request.
type Fingerprint = fingerprinter.Fingerprint

// A Meter counts events.
type Meter interface {
	Count(name string, n int64)
}

// Deps are the dependencies of a Quarantiner.
type Deps struct {
	Meter Meter
	Now   func() time.Time
	Log   zerolog.Logger
	// Broadcast is called when there are changes to send to other VMs at once.
	Broadcast func()
	// MayRunTrial reports whether this VM, and no other, may run a held request once
	// to find out whether it is at fault. It is called without holding a lock.
	MayRunTrial func(f Fingerprint) bool
	// MayRunEarlyTrial is like MayRunTrial, for a request that lacks another part that the
	// same losses may be blamed on. Its run tells the two apart, so that it need not wait
	// for trialDelay. Nil stands for never.
	MayRunEarlyTrial func(f Fingerprint) bool
	// MayStoreForOthers reports whether this VM asks the platform to store what other
	// VMs observed and have not stored in time. It is called without holding a lock;
	// nil stands for always.
	MayStoreForOthers func() bool
}

// A Quarantiner is one VM's view of the quarantine. It is safe for concurrent use.
type Quarantiner struct {
	deps Deps

	mu     sync.Mutex
	ledger *Ledger
	// waiting are the requests in progress on this VM that no upstream has answered
	// yet.
	waiting map[fingerprinter.Fingerprint]map[*waiter]bool
	// lastStoreAttempt is when the platform was last asked to record a hold.
	lastStoreAttempt map[fingerprinter.Fingerprint]time.Time
	// lost are the requests whose records the platform had and has lost.
	lost map[fingerprinter.Fingerprint]bool
	// proven are the parts that upstreams have answered for this VM.
	proven provenParts
}

type waiter struct{ cancel context.CancelCauseFunc }

// New returns a Quarantiner that holds nothing.
func New(d Deps) *Quarantiner {
	return &Quarantiner{
		deps: d, ledger: NewLedger(), waiting: make(map[fingerprinter.Fingerprint]map[*waiter]bool),
		lastStoreAttempt: make(map[fingerprinter.Fingerprint]time.Time), lost: make(map[fingerprinter.Fingerprint]bool),
	}
}

// Lost records that an upstream, in its run that began at born, was lost while it ran
// a request. It returns how many upstreams the request has lost. The parts are those of
// its prompt if its answer had not begun.
func (q *Quarantiner) Lost(f fingerprinter.Fingerprint, upstream string, born int64, parts ...Fingerprint) (losses int) {
	q.mu.Lock()
	now, run := q.deps.Now(), incarnation(upstream, born)
	losses, held := q.ledger.Lost(now, f, run)
	if held {
		q.onHeld(f, "this VM")
	}
	for _, part := range parts {
		n, held := q.ledger.LostPart(now, part, run, binary.BigEndian.Uint32(f[:]), q.proven.at(part))
		if held {
			q.onHeld(part, "this VM")
		}
		q.deps.Log.Info().Stringer("part", part).Stringer("fingerprint", f).Str("upstream", upstream).Int("losses", n).Msg("part of a prompt lost an upstream")
	}
	q.mu.Unlock()
	q.deps.Broadcast()
	return losses
}

// Begun records that an upstream goes on with its answer to a prompt with the given parts, so
// that they do not crash it.
func (q *Quarantiner) Begun(parts ...Fingerprint) {
	q.mu.Lock()
	now, changed := q.deps.Now(), false
	for _, part := range parts {
		q.proven.put(part, now)
		changed = q.served(now, part, "answered") || changed
	}
	q.mu.Unlock()
	if changed {
		q.deps.Broadcast()
	}
}

// served records that a request or a part was served, and reports whether that is news.
func (q *Quarantiner) served(now time.Time, f Fingerprint, source string) bool {
	suspected := q.ledger.IsSuspected(f)
	lifted := q.ledger.Served(now, f)
	if lifted {
		q.onLifted(f, source)
	}
	return lifted || suspected
}

// incarnation returns a hash that identifies one run of an upstream.
func incarnation(upstream string, born int64) uint32 {
	d := xxhash.New()
	d.WriteString(upstream) //nolint:errcheck // a Digest never returns an error
	for range 8 {
		d.Write([]byte{byte(born)}) //nolint:errcheck // a Digest never returns an error
		born >>= 8
	}
	return uint32(d.Sum64())
}

// Served records that a request was answered in full, which ends its hold.
func (q *Quarantiner) Served(f fingerprinter.Fingerprint) {
	q.mu.Lock()
	if q.ledger.Empty() {
		q.mu.Unlock()
		return
	}
	lifted := q.ledger.Served(q.deps.Now(), f)
	if lifted {
		q.onLifted(f, "served")
	}
	q.mu.Unlock()
	if lifted {
		q.deps.Broadcast()
	}
}

// Held reports whether a request must not be sent to an upstream, because itself or one of
// the parts of its prompt is held, and after how long without another arrival it may be.
func (q *Quarantiner) Held(f fingerprinter.Fingerprint, parts ...Fingerprint) (after time.Duration, held bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Now()
	after, held = q.ledger.Held(now, f)
	for _, part := range parts {
		if a, h := q.ledger.Held(now, part); h {
			after, held = max(after, a), true
		}
	}
	if !held {
		return 0, false
	}
	return after, true
}

// HeldPart returns the index of a held part; -1 if none is held.
func (q *Quarantiner) HeldPart(parts ...Fingerprint) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Now()
	return slices.IndexFunc(parts, func(part Fingerprint) bool {
		_, held := q.ledger.Held(now, part)
		return held
	})
}

// Arrived is like Held, for a request that has just arrived. If the trial of all that is
// held is due, and may run on this VM, it starts the trial and reports the request as not
// held.
func (q *Quarantiner) Arrived(f fingerprinter.Fingerprint, parts ...Fingerprint) (after time.Duration, held bool) {
	var subjects []Fingerprint
	due, early := true, true
	q.mu.Lock()
	now := q.deps.Now()
	for _, s := range append([]Fingerprint{f}, parts...) {
		a, h, d := q.ledger.Arrived(now, s)
		if !h {
			continue
		}
		subjects = append(subjects, s)
		due, early = due && d, early && q.ledger.hasRival(s, parts)
		after = max(after, a)
	}
	q.mu.Unlock()
	if len(subjects) == 0 {
		return 0, false
	}
	// One trial decides on all of them. All VMs choose the same one to tell whose turn it is.
	first := slices.MinFunc(subjects, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	mayRun, start := q.deps.MayRunTrial, q.ledger.StartTrial
	switch {
	case early && q.deps.MayRunEarlyTrial != nil:
		after, mayRun, start = min(after, earlyRetryAfter), q.deps.MayRunEarlyTrial, q.ledger.StartEarlyTrial
	case !due:
		return after, true
	}
	if !mayRun(first) {
		return after, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now = q.deps.Now()
	if !start(now, subjects...) {
		return after, true
	}
	for _, s := range subjects {
		q.deps.Log.Info().Stringer("fingerprint", s).Bool("part", s != f).Bool("early", early).
			Dur("held", q.ledger.HeldFor(now, s)).Msg("quarantine trial started")
	}
	return 0, false
}

// HeldFor returns how long a request has been held; 0 if it is not.
func (q *Quarantiner) HeldFor(f Fingerprint) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.HeldFor(q.deps.Now(), f)
}

// CancelWhenHeld returns a context that is cancelled with ErrHeld if the request, or a part of
// its prompt, turns out to be held before release is called. The caller must call release.
func (q *Quarantiner) CancelWhenHeld(ctx context.Context, f fingerprinter.Fingerprint, parts ...Fingerprint) (guarded context.Context, release func()) {
	guarded, cancel := context.WithCancelCause(ctx)
	w, subjects := &waiter{cancel}, append([]Fingerprint{f}, parts...)
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range subjects {
		if q.waiting[s] == nil {
			q.waiting[s] = make(map[*waiter]bool)
		}
		q.waiting[s][w] = true
	}
	return guarded, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		for _, s := range subjects {
			delete(q.waiting[s], w)
			if len(q.waiting[s]) == 0 {
				delete(q.waiting, s)
			}
		}
	}
}

// onHeld cancels the waiting runs of a request that has just become held. It is
// called with q.mu held.
func (q *Quarantiner) onHeld(f fingerprinter.Fingerprint, source string) {
	// The platform may still be storing a loss. The hold must not wait for that.
	delete(q.lastStoreAttempt, f)
	for w := range q.waiting[f] {
		w.cancel(ErrHeld)
	}
	e := q.ledger.Get([]Fingerprint{f})[0]
	q.deps.Meter.Count("quarantined", 1)
	if e.Part {
		q.deps.Meter.Count("quarantined.parts", 1)
	}
	q.deps.Log.Warn().Stringer("fingerprint", f).Bool("part", e.Part).Int("losses", len(e.Losses)).Str("source", source).
		Int("waiting", len(q.waiting[f])).Msg("request quarantined")
	for _, o := range q.ledger.newlyExplained() {
		q.onLifted(o, "explained by "+f.String())
	}
}

func (q *Quarantiner) onLifted(f fingerprinter.Fingerprint, source string) {
	q.deps.Log.Warn().Stringer("fingerprint", f).Str("source", source).Msg("quarantine lifted")
}

// PendingChanges returns the encoded changes that are still to be sent to other VMs; with own,
// only those that this VM observed itself.
func (q *Quarantiner) PendingChanges(own bool) [][]byte {
	return q.encodeEntries(func(time.Time) []Entry { return q.ledger.Pending(own, maxPending) })
}

// NextPart returns some of the entries of requests that have lost upstreams or are held,
// or were until they were served, encoded; other ones on each call.
func (q *Quarantiner) NextPart() [][]byte {
	return q.encodeEntries(func(now time.Time) []Entry { return q.ledger.NextBatch(now, maxPortionEntries) })
}

// All returns those of held requests and the most important others, encoded. The number
// of the latter is limited because every VM sends them to a VM that starts, which reads the
// rest from the platform.
func (q *Quarantiner) All() [][]byte {
	return q.encodeEntries(func(now time.Time) []Entry { return q.ledger.MostImportant(now, maxPortionEntries) })
}

func (q *Quarantiner) encodeEntries(choose func(now time.Time) []Entry) [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Now()
	parts, err := encode(now, choose(now))
	if err != nil {
		q.deps.Log.Error().Err(err).Msg("encoding of quarantined requests failed")
	}
	return parts
}

// Encode returns the entries of the given records, encoded.
func (q *Quarantiner) Encode(rs []Record) [][]byte {
	return q.encodeEntries(func(time.Time) []Entry {
		var fs []fingerprinter.Fingerprint
		for _, r := range rs {
			fs = append(fs, r.Fingerprint)
		}
		return q.ledger.Get(fs)
	})
}

// Merge merges entries from another VM, and reports whether they changed anything.
func (q *Quarantiner) Merge(data []byte) (changed bool) { return q.MergeOlder(data, 0) }

// MergeOlder is like Merge, for entries that were sent some time ago.
func (q *Quarantiner) MergeOlder(data []byte, age time.Duration) (changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Now()
	all, err := decode(now.Add(-age), data)
	if err != nil {
		q.deps.Log.Debug().Err(err).Msg("decoding of quarantined requests failed")
		return false
	}
	for _, e := range all {
		changed = q.merge(now, e, "another VM") || changed
	}
	return changed
}

func (q *Quarantiner) merge(now time.Time, e Entry, source string) bool {
	// This VM may know of an answer that is newer than the losses of a part.
	isNewer := false
	if at := q.proven.at(e.Fingerprint); e.Part && at.After(e.Served) {
		e.Served, isNewer = at, true
	}
	changed, held, lifted := q.ledger.Merge(now, e)
	if changed && isNewer {
		q.ledger.MarkOwn(e.Fingerprint)
	}
	if held {
		q.onHeld(e.Fingerprint, source)
	}
	if lifted {
		q.onLifted(e.Fingerprint, source)
	}
	if changed && !held && !lifted {
		known := q.ledger.Get([]fingerprinter.Fingerprint{e.Fingerprint})[0]
		q.deps.Log.Info().Stringer("fingerprint", e.Fingerprint).Bool("part", known.Part).Str("source", source).Int("losses", len(known.Losses)).
			Dur("age", now.Sub(known.lastChange())).Msg("losses of a request changed")
	}
	return changed
}

// A Record is what the platform stores about a request.
type Record struct {
	Fingerprint fingerprinter.Fingerprint
	// Part reports whether it is a part of prompts.
	Part bool
	// Since is since when the request is held, and Confirmed whether a trial crashed
	// as well. Since is zero if the request is not held.
	Since     time.Time
	Confirmed bool
	// Losses are the losses of a request that is not held.
	Losses []Loss
}

// IsHeld reports whether the request of the record is held.
func (r Record) IsHeld() bool { return !r.Since.IsZero() }

// ExpiresAt returns when the losses of the record no longer count.
func (r Record) ExpiresAt() time.Time {
	var last time.Time
	for _, l := range r.Losses {
		last = latest(last, l.At)
	}
	return last.Add(lossTTL)
}

// state returns the state of a held request that the record stands for.
func (r Record) state() StoredState {
	if r.Confirmed {
		return StoredConfirmed
	}
	return StoredHeld
}

// entry returns the entry that the record stands for. Clocks differ: what happened in
// the future happened now.
func (r Record) entry(now time.Time) Entry {
	e := Entry{Fingerprint: r.Fingerprint, Part: r.Part}
	for _, loss := range r.Losses {
		e.Losses = append(e.Losses, Loss{Upstream: loss.Upstream, Request: loss.Request, At: earliest(loss.At, now), stored: true})
	}
	if !r.IsHeld() {
		return e
	}
	e.RecordedSince, e.LastArrival, e.Stored = earliest(r.Since, now), now, r.state()
	if r.Confirmed {
		e.Confirmed = e.RecordedSince
	}
	return e
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Restore merges a record from the platform. It reports whether the record has
// expired, so that the platform may drop it. What is news to this VM is sent to the
// others, which it may reach while the VM that stored the record does not.
func (q *Quarantiner) Restore(r Record) (expired bool) {
	q.mu.Lock()
	now := q.deps.Now()
	if r.IsHeld() {
		delete(q.lost, r.Fingerprint)
	}
	e := r.entry(now)
	changed := q.merge(now, e, "the platform")
	q.mu.Unlock()
	if changed {
		q.deps.Broadcast()
	}
	return e.expired(now)
}

// RestoreOwn is like Restore, for a record that an earlier run of this VM stored.
func (q *Quarantiner) RestoreOwn(r Record) (expired bool) {
	expired = q.Restore(r)
	if !r.IsHeld() {
		q.MarkStored(r)
	}
	return expired
}

// Lift ends the hold of a request whose record the platform has dropped.
func (q *Quarantiner) Lift(f fingerprinter.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ledger.Served(q.deps.Now(), f) {
		q.onLifted(f, "the platform")
	}
}

// MarkStored records that the platform has stored a record.
func (q *Quarantiner) MarkStored(r Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.lastStoreAttempt, r.Fingerprint)
	if !r.IsHeld() {
		q.ledger.MarkLossesStored(r.Fingerprint, r.Losses, true)
		return
	}
	q.ledger.MarkStored(r.Fingerprint, r.state())
	delete(q.lost, r.Fingerprint)
}

// Obsolete returns the requests whose losses this VM stored and the platform may drop.
func (q *Quarantiner) Obsolete() []Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Obsolete()
}

// MarkDeleted records that the platform has dropped what this VM stored about the losses
// of requests. It must not be called while such a record is being stored.
func (q *Quarantiner) MarkDeleted(fs []Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.MarkDeleted(fs)
}

// MarkLost records that the platform has lost all records but those of the given
// requests. The records of requests that are held are to be stored again: at once if
// urgent is set, otherwise unless another VM does so first.
func (q *Quarantiner) MarkLost(kept map[fingerprinter.Fingerprint]bool, urgent bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.ledger.AllHeld() {
		f := e.Fingerprint
		if kept[f] {
			continue
		}
		q.lost[f] = true
		delete(q.lastStoreAttempt, f)
		if !urgent {
			q.lastStoreAttempt[f] = q.deps.Now()
		}
	}
}

// MarkLossesLost records that the platform may have lost all records of losses. Those that
// this VM wrote are to be stored again.
func (q *Quarantiner) MarkLossesLost() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.MarkLossesLost()
}

// Reconcile drops expired entries. It returns the records that the platform should be
// asked to store now, and the requests whose hold it may drop.
func (q *Quarantiner) Reconcile() (store []Record, drop []fingerprinter.Fingerprint) {
	forOthers := q.deps.MayStoreForOthers == nil || q.deps.MayStoreForOthers()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Now()
	drop = q.ledger.Expire(now)
	for _, e := range q.ledger.AllHeld() {
		if q.mustStoreHold(now, &e, forOthers) {
			store = append(store, Record{Fingerprint: e.Fingerprint, Part: e.Part, Since: e.HeldSince(), Confirmed: e.isConfirmed()})
		}
	}
	for _, e := range q.ledger.AllSuspected() {
		if q.mustStoreLosses(now, &e, forOthers) {
			store = append(store, Record{Fingerprint: e.Fingerprint, Part: e.Part, Losses: slices.Clone(e.Losses)})
		}
	}
	for _, r := range store {
		q.lastStoreAttempt[r.Fingerprint] = now
	}
	for f := range q.lastStoreAttempt {
		if !q.ledger.Known(f) {
			delete(q.lastStoreAttempt, f)
		}
	}
	for f := range q.lost {
		if !q.ledger.Known(f) {
			delete(q.lost, f)
		}
	}
	return store, drop
}

// mustStoreHold reports whether the platform should be asked now to store a hold.
func (q *Quarantiner) mustStoreHold(now time.Time, e *Entry, forOthers bool) bool {
	wait, own := storeRetry, e.isOwn()
	if !own {
		wait = storeForOthers
	}
	since, ok := q.lastStoreAttempt[e.Fingerprint]
	lost := q.lost[e.Fingerprint]
	if !ok && !own && !lost {
		since = e.changedAt
	}
	return (e.Stored < e.wantStored() || lost) && (own || lost || forOthers) && now.Sub(since) >= wait
}

// mustStoreLosses reports whether the platform should be asked now to store the losses
// of a request that is not held: a restart of all VMs that know of them would otherwise
// let the request crash as many upstreams again.
func (q *Quarantiner) mustStoreLosses(now time.Time, e *Entry, forOthers bool) bool {
	if now.Sub(q.lastStoreAttempt[e.Fingerprint]) < storeRetry {
		return false
	}
	if e.hasUnstoredLoss(true) || e.isLost {
		return true
	}
	return forOthers && e.hasUnstoredLoss(false) && now.Sub(e.changedAt) >= storeForOthers
}

// Len returns how many requests are held.
func (q *Quarantiner) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, held := q.ledger.Len()
	return held
}
