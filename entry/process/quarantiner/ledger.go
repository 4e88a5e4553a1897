package quarantiner

import (
	"maps"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/request/fingerprinter"
)

const (
	// holdThreshold is how many upstreams a request must lose to be held. Requests
	// that ran beside it lose their upstreams as well, but are served by other
	// upstreams afterwards.
	holdThreshold = 3
	// maxLosses bounds the losses kept per request. There are some more than
	// holdThreshold, from VMs that did not know of the hold yet.
	maxLosses = 8
	// lossTTL is how long a loss counts if no other follows.
	lossTTL = 15 * time.Minute
	// trialDelay is how long after the start of a hold one run of the request may
	// show that the request is not at fault: upstreams that crashed for one other
	// reason, such as the failure of a rack, lost many requests at once.
	// trialTimeout is how long that run may take before another one may start.
	trialDelay   = 30 * time.Second
	trialTimeout = 10 * time.Second
	// holdTTL is how long a request is held after it last arrived, and maxHold how
	// long at most: its upstreams may have been fixed meanwhile.
	holdTTL = 15 * time.Minute
	maxHold = 24 * time.Hour
	// servedTTL is how long an entry remembers that its request was served: losses
	// from before that may still be on their way from other VMs.
	servedTTL = 10 * time.Second
	// maxEntries bounds a ledger.
	maxEntries = 4096
	// arrivalStep is how much later than the last known arrival a held request must
	// arrive for other VMs to be informed: it arrives many times a second, and is
	// held for minutes.
	arrivalStep = holdTTL / 10
	// maxSends is how often a change is sent to other VMs, as datagrams get lost.
	maxSends = 3
	// maxDelay is how much later a loss may seem when other VMs tell of it: by the time that
	// their messages took.
	maxDelay = 5 * time.Second
)

// A Loss is the loss of an upstream while it ran a request.
type Loss struct {
	// Upstream identifies one run of an upstream: an upstream that has restarted
	// counts as another one.
	Upstream uint32
	At       time.Time
	// Request identifies the request, in the losses of a part of prompts.
	Request uint32
	// own reports whether this VM observed the loss, and stored whether the platform
	// stores it, as far as is known here.
	own, stored bool
}

// An Entry is what is known about a request, or about a part of prompts. Merging is
// commutative and idempotent: entries of one request may be merged in any order and any
// number of times with the same result. What is said of a request here is true of a part
// as well, which is served when an upstream has begun the answer to a prompt with it.
type Entry struct {
	Fingerprint fingerprinter.Fingerprint
	// Part reports whether the entry is that of a part of prompts.
	Part bool
	// Losses are the losses since the request was last served, in order of time.
	Losses []Loss
	// pastLosses are the latest of the losses before that. Other VMs that have not learned
	// of the service tell of them again, with later times.
	pastLosses []Loss
	// Served is when the request was last served, RecordedSince since when it is
	// held according to the platform's record, Confirmed when a trial last crashed
	// as well, and LastArrival when it last arrived while it was held. Each is zero
	// if that has not happened.
	Served, RecordedSince, Confirmed, LastArrival time.Time
	// Stored is what the platform stores about the request.
	Stored StoredState
	// lastTrial is when this VM last ran the request as a trial.
	lastTrial time.Time
	// changedAt is when something new became known here, local whether this VM
	// observed the last change itself, and sendsLeft how often it is still to be sent.
	changedAt time.Time
	local     bool
	sendsLeft int
	// cleared reports whether the request had losses until it was served, and lifted
	// whether it was held until then: a VM that has not learned of that keeps sending
	// what it knows.
	cleared, lifted bool
	// written reports whether this VM wrote a record of losses to the platform, and
	// isLost whether the platform may have lost it.
	written, isLost bool
	// explained reports whether another part was known to explain the losses of this one.
	explained bool
}

// HeldSince returns since when the request is held; zero if it is not.
func (e *Entry) HeldSince() time.Time {
	switch {
	case e.RecordedSince.After(e.Served):
		return e.RecordedSince
	case e.Part:
		return e.partHeldSince()
	case len(e.Losses) >= holdThreshold:
		return e.Losses[holdThreshold-1].At
	}
	return time.Time{}
}

func (e *Entry) isHeld() bool { return !e.HeldSince().IsZero() }

// isSuspected reports whether the request has lost upstreams, but too few to be held.
func (e *Entry) isSuspected() bool { return len(e.Losses) > 0 && !e.isHeld() }

// isOwn reports whether this VM observed the last change or any of the losses. What it
// observed must be sent and stored even if a loss at another VM becomes known right after.
func (e *Entry) isOwn() bool {
	return e.local || slices.ContainsFunc(e.Losses, func(l Loss) bool { return l.own })
}

// hasUnstoredLoss reports whether the platform may lack a loss of the request; with
// ownOnly, one that this VM observed.
func (e *Entry) hasUnstoredLoss(ownOnly bool) bool {
	return slices.ContainsFunc(e.Losses, func(l Loss) bool { return !l.stored && (l.own || !ownOnly) })
}

// markLossesStored records that the platform stores the given losses.
func (e *Entry) markLossesStored(stored []Loss) {
	for i := range e.Losses {
		l := &e.Losses[i]
		l.stored = l.stored || slices.ContainsFunc(stored, func(s Loss) bool { return s.Upstream == l.Upstream })
	}
}

// isConfirmed reports whether a trial of the held request crashed as well.
func (e *Entry) isConfirmed() bool {
	if e.Confirmed.After(e.Served) {
		return true
	}
	n := len(e.Losses)
	return n > 0 && e.isHeld() && e.Losses[n-1].At.Sub(e.HeldSince()) >= trialDelay
}

// StoredState is what the platform stores about a request.
type StoredState int

// The states that the platform may store.
const (
	StoredNothing StoredState = iota
	StoredHeld
	StoredConfirmed
)

// wantStored returns what the platform should store about the request.
func (e *Entry) wantStored() StoredState {
	switch {
	case !e.isHeld():
		return StoredNothing
	case e.isConfirmed():
		return StoredConfirmed
	}
	return StoredHeld
}

// A Ledger holds the entries of all known requests. It reads no clock; the time is
// an argument.
//
// It protects against a request that crashes every upstream that runs it and that
// arrives again and again, at any VM. Without it each VM would send the request to
// other upstreams each time, until none is left.
type Ledger struct {
	entries map[fingerprinter.Fingerprint]*Entry
	// heldParts are the entries of parts that are held.
	heldParts map[fingerprinter.Fingerprint]*Entry
	// cursor is the position of the next batch in the replicated entries.
	cursor int
	// lifted are the requests that are no longer held, but that the platform still
	// records as held.
	lifted []fingerprinter.Fingerprint
	// obsolete are the requests of which the platform has a record of losses that this
	// VM wrote and nobody needs.
	obsolete map[fingerprinter.Fingerprint]bool
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: make(map[fingerprinter.Fingerprint]*Entry), heldParts: make(map[fingerprinter.Fingerprint]*Entry), obsolete: make(map[fingerprinter.Fingerprint]bool)}
}

// Lost records that an upstream was lost while it ran a request. It returns how many
// upstreams the request has lost, and whether it is held from now on.
func (l *Ledger) Lost(now time.Time, f fingerprinter.Fingerprint, upstream uint32) (losses int, held bool) {
	return l.lost(now, l.entry(now, f), Entry{Losses: []Loss{{Upstream: upstream, At: now, own: true}}})
}

func (l *Ledger) lost(now time.Time, e *Entry, loss Entry) (losses int, held bool) {
	before := l.isHeld(e)
	if l.merge(now, e, loss) {
		e.local = true
	}
	return len(e.Losses), l.isHeld(e) && !before
}

// Served records that a request was answered in full, and reports whether that ends
// its hold.
func (l *Ledger) Served(now time.Time, f fingerprinter.Fingerprint) (lifted bool) {
	e, ok := l.entries[f]
	if !ok || (len(e.Losses) == 0 && !e.isHeld()) {
		return false
	}
	lifted = l.isHeld(e)
	l.merge(now, e, Entry{Served: now})
	e.local = true
	return lifted
}

// Held reports whether a request must not be sent to an upstream, and after how long
// without another arrival it may be.
func (l *Ledger) Held(now time.Time, f fingerprinter.Fingerprint) (after time.Duration, held bool) {
	e, ok := l.entries[f]
	if !ok || !l.isHeld(e) {
		return 0, false
	}
	if e.isTrialRunning(now) {
		return trialTimeout, false
	}
	if e.isConfirmed() {
		left := e.HeldSince().Add(maxHold).Sub(now)
		return min(holdTTL, left), left > 0
	}
	return max(e.HeldSince().Add(trialDelay).Sub(now), trialTimeout), now.Sub(e.lastTrial) >= trialTimeout
}

// HeldFor returns how long a request has been held; 0 if it is not.
func (l *Ledger) HeldFor(now time.Time, f fingerprinter.Fingerprint) time.Duration {
	e, ok := l.entries[f]
	if !ok || !l.isHeld(e) {
		return 0
	}
	return now.Sub(e.HeldSince())
}

// Arrived is like Held, for a request that has just arrived. It also reports whether
// the trial of the request is due, which StartTrial starts.
func (l *Ledger) Arrived(now time.Time, f fingerprinter.Fingerprint) (after time.Duration, held, due bool) {
	e, ok := l.entries[f]
	if !ok || !l.isHeld(e) {
		return 0, false, false
	}
	if now.Sub(e.lastArrival()) >= arrivalStep {
		e.changedAt, e.local, e.sendsLeft = now, true, maxSends
	}
	e.LastArrival = now
	after, held = l.Held(now, f)
	switch {
	case e.isTrialRunning(now):
		return trialTimeout, true, false
	case e.isConfirmed():
		return after, held, false
	case !held:
		// A trial is running.
		return trialTimeout, true, false
	}
	return after, true, now.Sub(e.HeldSince()) >= trialDelay
}

// StartTrial lets a request run once that is held for the given subjects, itself or parts of
// its prompt, if the trial of each is due. It reports whether it is.
func (l *Ledger) StartTrial(now time.Time, subjects ...fingerprinter.Fingerprint) bool {
	for _, f := range subjects {
		if _, _, due := l.Arrived(now, f); !due {
			return false
		}
	}
	l.setTrial(now, subjects)
	return true
}

func (l *Ledger) setTrial(now time.Time, subjects []fingerprinter.Fingerprint) {
	for _, f := range subjects {
		l.entries[f].lastTrial = now
	}
}

// Merge merges an entry from another VM or from the platform. It reports whether
// that changed anything, and whether it started or ended a hold.
func (l *Ledger) Merge(now time.Time, other Entry) (changed, held, lifted bool) {
	if other.expired(now) {
		return false, false, false
	}
	e := l.entry(now, other.Fingerprint)
	before := l.isHeld(e)
	changed = l.merge(now, e, other)
	if changed {
		e.local = false
	}
	return changed, l.isHeld(e) && !before, before && !l.isHeld(e)
}

// merge merges another entry of the same request into e.
func (l *Ledger) merge(now time.Time, e *Entry, other Entry) (changed bool) {
	stored := e.Stored
	changed = e.merge(now, other)
	if e.Part && e.isHeld() {
		l.heldParts[e.Fingerprint] = e
	} else {
		delete(l.heldParts, e.Fingerprint)
	}
	if stored != StoredNothing && !e.isHeld() {
		l.lifted = append(l.lifted, e.Fingerprint)
	}
	if e.written && len(e.Losses) == 0 {
		l.markObsolete(e)
	}
	return changed
}

// markObsolete records that nobody needs what this VM wrote about the losses of a
// request.
func (l *Ledger) markObsolete(e *Entry) {
	if e.written {
		l.obsolete[e.Fingerprint] = true
	}
	e.written, e.isLost = false, false
}

// Obsolete returns the requests whose losses this VM wrote to the platform and nobody
// needs.
func (l *Ledger) Obsolete() []fingerprinter.Fingerprint {
	return slices.Collect(maps.Keys(l.obsolete))
}

// MarkDeleted records that the platform has dropped what this VM wrote about the losses
// of requests.
func (l *Ledger) MarkDeleted(fs []fingerprinter.Fingerprint) {
	for _, f := range fs {
		delete(l.obsolete, f)
	}
}

// MarkLossesStored records that the platform stores losses of a request, and whether
// this VM wrote them.
func (l *Ledger) MarkLossesStored(f fingerprinter.Fingerprint, losses []Loss, written bool) {
	e, ok := l.entries[f]
	if !ok {
		return
	}
	e.markLossesStored(losses)
	if written {
		e.written, e.isLost = true, false
		delete(l.obsolete, f)
	}
	if len(e.Losses) == 0 {
		// It was served while the platform stored the record.
		l.markObsolete(e)
	}
}

// MarkStored records what the platform stores about a request.
func (l *Ledger) MarkStored(f fingerprinter.Fingerprint, s StoredState) {
	if e, ok := l.entries[f]; ok {
		e.Stored = max(e.Stored, s)
	}
}

// MarkLossesLost records that the platform may have lost all records of losses.
func (l *Ledger) MarkLossesLost() {
	for _, e := range l.entries {
		for i := range e.Losses {
			e.Losses[i].stored = false
		}
		e.isLost = e.written && len(e.Losses) > 0
	}
}

func (l *Ledger) entry(now time.Time, f fingerprinter.Fingerprint) *Entry {
	e, ok := l.entries[f]
	if !ok {
		if len(l.entries) >= maxEntries {
			l.evict(now)
		}
		e = &Entry{Fingerprint: f}
		l.entries[f] = e
	}
	return e
}

// evict makes room for an entry. It drops all expired entries, or else the one with
// the fewest losses, and of these the least recently changed. Entries of held
// requests go last.
func (l *Ledger) evict(now time.Time) {
	var least *Entry
	for _, e := range l.entries {
		if e.expired(now) {
			l.remove(e)
			continue
		}
		if least == nil || e.less(least) {
			least = e
		}
	}
	if len(l.entries) >= maxEntries && least != nil {
		l.remove(least)
	}
}

// remove drops an entry.
func (l *Ledger) remove(e *Entry) {
	l.markObsolete(e)
	delete(l.entries, e.Fingerprint)
	delete(l.heldParts, e.Fingerprint)
}

// less reports whether e is less important than another entry.
func (e *Entry) less(other *Entry) bool {
	if held := e.isHeld(); held != other.isHeld() {
		return !held
	}
	if len(e.Losses) != len(other.Losses) {
		return len(e.Losses) < len(other.Losses)
	}
	return e.changedAt.Before(other.changedAt)
}

// lastArrival returns when a held request last arrived, as far as is known here.
func (e *Entry) lastArrival() time.Time { return latest(e.LastArrival, e.HeldSince()) }

// Expire drops expired entries. It returns the requests that are no longer held, but
// that the platform still records as held.
func (l *Ledger) Expire(now time.Time) (stored []fingerprinter.Fingerprint) {
	stored, l.lifted = l.lifted, nil
	for f, e := range l.entries {
		if !e.expired(now) {
			continue
		}
		l.remove(e)
		if e.Stored != StoredNothing {
			stored = append(stored, f)
		}
	}
	return stored
}

// expired reports whether the entry is no longer needed.
func (e *Entry) expired(now time.Time) bool {
	switch {
	case e.isHeld():
		return now.Sub(e.lastArrival()) >= holdTTL || now.Sub(e.HeldSince()) >= maxHold
	case len(e.Losses) > 0:
		return now.Sub(e.Losses[len(e.Losses)-1].At) >= lossTTL
	}
	if e.cleared || e.lifted {
		return now.Sub(e.Served) >= max(holdTTL, lossTTL)
	}
	return now.Sub(e.Served) >= servedTTL
}

// merge merges another entry of the same request, and reports whether that changed
// anything worth telling other VMs.
func (e *Entry) merge(now time.Time, other Entry) (changed bool) {
	e.Part = e.Part || other.Part
	before, confirmed, suspected := e.isHeld(), e.isConfirmed(), len(e.Losses) > 0
	if other.Served.After(e.Served) {
		// A later time alone is not a change: several VMs report the same service,
		// with times that differ by some milliseconds.
		changed = len(e.Losses) > 0 || before || (e.Part && e.Served.IsZero())
		e.Served = other.Served
		e.clearLosses()
	}
	e.RecordedSince = latest(e.RecordedSince, other.RecordedSince)
	e.Confirmed = latest(e.Confirmed, other.Confirmed)
	for _, loss := range other.Losses {
		changed = e.addLoss(loss) || changed
	}
	if confirmed && e.isHeld() && !e.isConfirmed() {
		// The hold began later according to the platform's record, as clocks differ. The
		// trial crashed all the same and must not be repeated.
		e.Confirmed = e.HeldSince()
	}
	changed = changed || e.isHeld() != before || e.isConfirmed() != confirmed
	if !e.isHeld() {
		e.LastArrival, e.Stored, e.lastTrial = time.Time{}, StoredNothing, time.Time{}
		e.cleared = len(e.Losses) == 0 && (e.cleared || before || suspected)
		e.lifted = e.lifted || before
	} else {
		e.cleared, e.lifted = false, false
		changed = changed || other.LastArrival.Sub(e.lastArrival()) >= arrivalStep
		e.LastArrival = latest(e.LastArrival, other.LastArrival)
		e.Stored = max(e.Stored, other.Stored)
	}
	if changed {
		e.changedAt, e.sendsLeft = now, maxSends
	}
	return changed
}

// lastChange returns when the request last lost an upstream, or was served since.
func (e *Entry) lastChange() time.Time {
	if n := len(e.Losses); n > 0 {
		return e.Losses[n-1].At
	}
	return e.Served
}

// clearLosses moves the losses from before the request was last served to the past ones.
func (e *Entry) clearLosses() {
	n := 0
	for n < len(e.Losses) && !e.Losses[n].At.After(e.Served) {
		n++
	}
	e.pastLosses = append(e.pastLosses, e.Losses[:n]...)
	if excess := len(e.pastLosses) - e.maxLosses(); excess > 0 {
		e.pastLosses = slices.Delete(e.pastLosses, 0, excess)
	}
	e.Losses = slices.Delete(e.Losses, 0, n)
}

// isPast reports whether a loss is one from before the request was last served.
func (e *Entry) isPast(loss Loss) bool {
	return !loss.At.After(e.Served) || slices.ContainsFunc(e.pastLosses, func(l Loss) bool {
		return l.Upstream == loss.Upstream && loss.At.Sub(l.At) <= maxDelay
	})
}

// addLoss adds a loss, and reports whether it is new.
func (e *Entry) addLoss(loss Loss) bool {
	if i := slices.IndexFunc(e.Losses, func(l Loss) bool { return l.Upstream == loss.Upstream }); i >= 0 {
		e.Losses[i].own = e.Losses[i].own || loss.own
		e.Losses[i].stored = e.Losses[i].stored || loss.stored
		return false
	}
	if e.isPast(loss) {
		return false
	}
	if n := len(e.Losses); n >= e.maxLosses() {
		// Replace the last loss only: the first ones tell since when the request
		// is held, and the last one whether a trial crashed.
		if !loss.At.After(e.Losses[n-1].At) {
			return false
		}
		e.Losses = e.Losses[:n-1]
	}
	at, _ := slices.BinarySearchFunc(e.Losses, loss, func(a, b Loss) int { return a.At.Compare(b.At) })
	e.Losses = slices.Insert(e.Losses, at, loss)
	return true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Pending returns up to limit changed entries that are still to be sent to other
// VMs, those with the most losses first; with localOnly, only those that this VM
// observed itself. Each call counts as one send of the entries that it returns. The
// number of sends is limited because in a wave of crashes most losses are those of
// requests that only ran beside the one at fault: sending all of them again with each
// change would flood the VMs.
func (l *Ledger) Pending(localOnly bool, limit int) []Entry {
	var found []*Entry
	for _, e := range l.entries {
		if e.sendsLeft > 0 && (e.isOwn() || !localOnly) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *Entry) int {
		if a.less(b) {
			return 1
		}
		return -1
	})
	var pending []Entry
	for _, e := range found[:min(limit, len(found))] {
		e.sendsLeft--
		pending = append(pending, *e)
	}
	return pending
}

// AllHeld returns the entries of held requests.
func (l *Ledger) AllHeld() []Entry { return l.filter(l.isHeld) }

// AllSuspected returns the entries of requests that have lost upstreams and are not
// held.
func (l *Ledger) AllSuspected() []Entry { return l.filter((*Entry).isSuspected) }

// Get returns the entries of the given requests that are known.
func (l *Ledger) Get(fs []fingerprinter.Fingerprint) []Entry {
	var found []Entry
	for _, f := range fs {
		if e, ok := l.entries[f]; ok {
			found = append(found, *e)
		}
	}
	return found
}

func (l *Ledger) filter(matches func(*Entry) bool) []Entry {
	var found []Entry
	for _, e := range l.entries {
		if matches(e) {
			found = append(found, *e)
		}
	}
	return found
}

// MostImportant returns all replicated entries of held requests and, up to limit, others,
// those with the most losses first.
func (l *Ledger) MostImportant(now time.Time, limit int) []Entry {
	found := l.Replicated(now)
	_, held := l.Len()
	limit = max(limit, held)
	slices.SortStableFunc(found, func(a, b Entry) int {
		switch {
		case b.less(&a):
			return -1
		case a.less(&b):
			return 1
		}
		return 0
	})
	return found[:min(limit, len(found))]
}

// Replicated returns the entries that all VMs must agree on, sorted by fingerprint:
// those of requests that have lost upstreams or are held, or were until they were
// served. That a request which was not held was served is repeated for servedTTL only:
// most requests that lose an upstream are served by another one soon.
func (l *Ledger) Replicated(now time.Time) []Entry {
	found := l.filter(func(e *Entry) bool {
		return len(e.Losses) > 0 || e.isHeld() || e.lifted || (e.cleared && now.Sub(e.Served) < servedTTL)
	})
	slices.SortFunc(found, func(a, b Entry) int {
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return found
}

// NextBatch returns up to limit replicated entries, other ones on each call.
func (l *Ledger) NextBatch(now time.Time, limit int) []Entry {
	all := l.Replicated(now)
	if len(all) <= limit {
		return all
	}
	var found []Entry
	for i := range limit {
		found = append(found, all[(l.cursor+i)%len(all)])
	}
	l.cursor = (l.cursor + limit) % len(all)
	return found
}

// Empty reports whether no request is known.
func (l *Ledger) Empty() bool { return len(l.entries) == 0 }

// MarkOwn records that this VM observed the last change of an entry.
func (l *Ledger) MarkOwn(f fingerprinter.Fingerprint) { l.entries[f].local = true }

// IsSuspected reports whether a request has lost upstreams and is not held.
func (l *Ledger) IsSuspected(f fingerprinter.Fingerprint) bool {
	e, ok := l.entries[f]
	return ok && e.isSuspected()
}

// Known reports whether a request is known.
func (l *Ledger) Known(f fingerprinter.Fingerprint) bool { return l.entries[f] != nil }

// Len returns how many requests are known, and how many of them are held.
func (l *Ledger) Len() (known, held int) {
	for _, e := range l.entries {
		if l.isHeld(e) {
			held++
		}
	}
	return len(l.entries), held
}
