package quarantiner

import (
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/request/fingerprinter"
)

const (
	// leastLosses is under how many lost upstreams a request is held. Requests that
	// ran beside it lose theirs as well, but are served elsewhere afterwards.
	leastLosses = 3
	// mostLosses bounds those that are remembered: some more come from VMs that did
	// not know yet.
	mostLosses = 8
	// suspectFor is how long a loss counts that nothing has followed.
	suspectFor = 15 * time.Minute
	// trialAfter is how long after it was held one run of a request may show that it is
	// not at fault: upstreams that died of one other cause, as a rack does, lost many
	// requests at once. trialFor is how long that run may take before another one.
	trialAfter = 30 * time.Second
	trialFor   = 10 * time.Second
	// holdFor is how long a request is held after it last came, longestHold how
	// long at most: its upstreams may have been mended.
	holdFor     = 15 * time.Minute
	longestHold = 24 * time.Hour
	// soundFor is how long it is remembered that a request was served: losses from
	// before that may still be on their way.
	soundFor = 10 * time.Second
	// mostEntries bounds a ledger.
	mostEntries = 4096
	// askedStep is how much later than known before a held request must have come for
	// that to be told: it comes many times a second, and is held for minutes.
	askedStep = holdFor / 10
	// mostTold is how often a change is told, as datagrams get lost.
	mostTold = 3
)

// A Loss is an upstream that was lost while it ran a request.
type Loss struct {
	// Upstream stands for one run of an upstream: one that has started again is
	// another.
	Upstream uint32
	At       time.Time
}

// An Entry is what is known of a request. Entries of one request are merged in any
// order and any number of times with the same result.
type Entry struct {
	Fingerprint fingerprinter.Fingerprint
	// Losses are those since it was last served, in their order.
	Losses []Loss
	// Served is when it was last served, Held since when the platform keeps that it
	// is not sent on, Confirmed when a trial last crashed as well, and Asked when it
	// last came while it was held; zero where that has not happened.
	Served, Held, Confirmed, Asked time.Time
	// Stored is what of it the platform keeps.
	Stored Stored
	// trial is when this VM last let a run of it show whether it is at fault.
	trial time.Time
	// changed is when something new became known here, own whether this VM found that
	// out itself, and untold how often it is still to be told.
	changed time.Time
	own     bool
	untold  int
	// lifted says that it was held until it was served: a VM that has not heard of that
	// goes on telling that it is held.
	lifted bool
}

// HeldSince is since when the request is not sent on; zero where it is.
func (e *Entry) HeldSince() time.Time {
	switch {
	case e.Held.After(e.Served):
		return e.Held
	case len(e.Losses) >= leastLosses:
		return e.Losses[leastLosses-1].At
	}
	return time.Time{}
}

func (e *Entry) isHeld() bool { return !e.HeldSince().IsZero() }

// isConfirmed says that a held request has crashed a trial, too.
func (e *Entry) isConfirmed() bool {
	if e.Confirmed.After(e.Served) {
		return true
	}
	n := len(e.Losses)
	return n > 0 && e.isHeld() && e.Losses[n-1].At.Sub(e.HeldSince()) >= trialAfter
}

// Stored is what the platform keeps of a request.
type Stored int

// What the platform may keep.
const (
	StoredNothing Stored = iota
	StoredHeld
	StoredConfirmed
)

// wanted is what the platform should keep of it.
func (e *Entry) wanted() Stored {
	switch {
	case !e.isHeld():
		return StoredNothing
	case e.isConfirmed():
		return StoredConfirmed
	}
	return StoredHeld
}

// A Ledger keeps entries. It is pure: the time is an argument.
//
// It answers one request that crashes whoever runs it and that comes again and
// again, at any VM: without it each VM sends it to upstreams of its own, each
// time, until none is left.
type Ledger struct {
	entries map[fingerprinter.Fingerprint]*Entry
	turn    int
	// lifted are requests that are held no longer, of which the platform still keeps
	// that they are.
	lifted []fingerprinter.Fingerprint
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: make(map[fingerprinter.Fingerprint]*Entry)}
}

// Lost notes an upstream that was lost under a request, and says how many were, and
// whether it is held since then.
func (l *Ledger) Lost(now time.Time, f fingerprinter.Fingerprint, upstream uint32) (losses int, held bool) {
	e := l.entry(now, f)
	before := e.isHeld()
	if l.merge(now, e, Entry{Losses: []Loss{{Upstream: upstream, At: now}}}) {
		e.own = true
	}
	return len(e.Losses), e.isHeld() && !before
}

// Served notes that a request was answered whole, and says whether that lifts what
// was held against it.
func (l *Ledger) Served(now time.Time, f fingerprinter.Fingerprint) (lifted bool) {
	e, ok := l.entries[f]
	if !ok || (len(e.Losses) == 0 && !e.isHeld()) {
		return false
	}
	lifted = e.isHeld()
	l.merge(now, e, Entry{Served: now})
	e.own = true
	return lifted
}

// Held says whether a request must not be sent on, and after how long without its
// coming again it may.
func (l *Ledger) Held(now time.Time, f fingerprinter.Fingerprint) (after time.Duration, held bool) {
	e, ok := l.entries[f]
	if !ok || !e.isHeld() {
		return 0, false
	}
	if e.isConfirmed() {
		left := e.HeldSince().Add(longestHold).Sub(now)
		return min(holdFor, left), left > 0
	}
	left := e.HeldSince().Add(trialAfter).Sub(now)
	return max(left, trialFor), left > 0 || now.Sub(e.trial) >= trialFor
}

// Arrived is Held for a request that has just come. It says whether its trial is due, which
// Try begins.
func (l *Ledger) Arrived(now time.Time, f fingerprinter.Fingerprint) (after time.Duration, held, due bool) {
	e, ok := l.entries[f]
	if !ok || !e.isHeld() {
		return 0, false, false
	}
	if now.Sub(e.lastAsked()) >= askedStep {
		e.changed, e.own, e.untold = now, true, mostTold
	}
	e.Asked = now
	after, held = l.Held(now, f)
	switch {
	case e.isConfirmed():
		return after, held, false
	case !held:
		// Its trial is under way.
		return trialFor, true, false
	}
	return after, true, now.Sub(e.HeldSince()) >= trialAfter
}

// Try lets a request that is held run once, where its trial is due.
func (l *Ledger) Try(now time.Time, f fingerprinter.Fingerprint) bool {
	_, _, due := l.Arrived(now, f)
	if due {
		l.entries[f].trial = now
	}
	return due
}

// Merge takes in what another VM or the platform knows. It says whether that was
// news, and whether a request is held now that was not, or the other way round.
func (l *Ledger) Merge(now time.Time, other Entry) (news, held, lifted bool) {
	if other.over(now) {
		return false, false, false
	}
	e := l.entry(now, other.Fingerprint)
	before := e.isHeld()
	news = l.merge(now, e, other)
	if news {
		e.own = false
	}
	return news, e.isHeld() && !before, before && !e.isHeld()
}

// merge takes in what another entry of a request says.
func (l *Ledger) merge(now time.Time, e *Entry, other Entry) (news bool) {
	stored := e.Stored
	news = e.merge(now, other)
	if stored != StoredNothing && !e.isHeld() {
		l.lifted = append(l.lifted, e.Fingerprint)
	}
	return news
}

// Stored notes what the platform keeps of a request.
func (l *Ledger) Stored(f fingerprinter.Fingerprint, s Stored) {
	if e, ok := l.entries[f]; ok {
		e.Stored = max(e.Stored, s)
	}
}

func (l *Ledger) entry(now time.Time, f fingerprinter.Fingerprint) *Entry {
	e, ok := l.entries[f]
	if !ok {
		if len(l.entries) >= mostEntries {
			l.evict(now)
		}
		e = &Entry{Fingerprint: f}
		l.entries[f] = e
	}
	return e
}

// evict makes room: first what is over, then what has the fewest losses and is
// oldest. What is held goes last.
func (l *Ledger) evict(now time.Time) {
	var worst *Entry
	for f, e := range l.entries {
		if e.over(now) {
			delete(l.entries, f)
			continue
		}
		if worst == nil || e.less(worst) {
			worst = e
		}
	}
	if len(l.entries) >= mostEntries && worst != nil {
		delete(l.entries, worst.Fingerprint)
	}
}

func (e *Entry) less(other *Entry) bool {
	if held := e.isHeld(); held != other.isHeld() {
		return !held
	}
	if len(e.Losses) != len(other.Losses) {
		return len(e.Losses) < len(other.Losses)
	}
	return e.changed.Before(other.changed)
}

// lastAsked is when a held request was last asked for, as far as is known.
func (e *Entry) lastAsked() time.Time { return latest(e.Asked, e.HeldSince()) }

// Expire drops what is over, and gives the requests that are held no longer, of which
// the platform still keeps that they are.
func (l *Ledger) Expire(now time.Time) (kept []fingerprinter.Fingerprint) {
	kept, l.lifted = l.lifted, nil
	for f, e := range l.entries {
		if !e.over(now) {
			continue
		}
		delete(l.entries, f)
		if e.Stored != StoredNothing {
			kept = append(kept, f)
		}
	}
	return kept
}

// over says that an entry tells nothing any more.
func (e *Entry) over(now time.Time) bool {
	switch {
	case e.isHeld():
		return now.Sub(e.lastAsked()) >= holdFor || now.Sub(e.HeldSince()) >= longestHold
	case len(e.Losses) > 0:
		return now.Sub(e.Losses[len(e.Losses)-1].At) >= suspectFor
	}
	if e.lifted {
		return now.Sub(e.Served) >= holdFor
	}
	return now.Sub(e.Served) >= soundFor
}

// merge takes in what another entry of the same request says.
func (e *Entry) merge(now time.Time, other Entry) (news bool) {
	before, confirmed := e.isHeld(), e.isConfirmed()
	if other.Served.After(e.Served) {
		// Served at one moment is heard of from several VMs, some milliseconds apart.
		news = len(e.Losses) > 0 || before
		e.Served = other.Served
		e.Losses = slices.DeleteFunc(e.Losses, func(l Loss) bool { return !l.At.After(e.Served) })
	}
	e.Held = latest(e.Held, other.Held)
	e.Confirmed = latest(e.Confirmed, other.Confirmed)
	for _, loss := range other.Losses {
		news = e.lost(loss) || news
	}
	news = news || e.isHeld() != before || e.isConfirmed() != confirmed
	if !e.isHeld() {
		e.Asked, e.Stored, e.trial = time.Time{}, StoredNothing, time.Time{}
		e.lifted = e.lifted || before
	} else {
		e.lifted = false
		news = news || other.Asked.Sub(e.lastAsked()) >= askedStep
		e.Asked = latest(e.Asked, other.Asked)
		e.Stored = max(e.Stored, other.Stored)
	}
	if news {
		e.changed, e.untold = now, mostTold
	}
	return news
}

// lost adds a loss, and says whether it is new.
func (e *Entry) lost(loss Loss) bool {
	same := func(l Loss) bool { return l.Upstream == loss.Upstream }
	if !loss.At.After(e.Served) || slices.ContainsFunc(e.Losses, same) {
		return false
	}
	if n := len(e.Losses); n >= mostLosses {
		// The first ones tell since when it is held, and the last one whether a trial
		// crashed.
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

// Fresh are the entries that have changed and are still to be told, those with most
// losses first; with own only what this VM has found out itself. What is given counts
// as told once more: in a wave of crashes, in which most losses are those of requests
// that only ran beside another, telling all of them again with each would flood the VMs.
func (l *Ledger) Fresh(own bool, most int) []Entry {
	var found []*Entry
	for _, e := range l.entries {
		if e.untold > 0 && (e.own || !own) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *Entry) int {
		if a.less(b) {
			return 1
		}
		return -1
	})
	var told []Entry
	for _, e := range found[:min(most, len(found))] {
		e.untold--
		told = append(told, *e)
	}
	return told
}

// AllHeld are the entries of held requests.
func (l *Ledger) AllHeld() []Entry {
	var found []Entry
	for _, e := range l.entries {
		if e.isHeld() {
			found = append(found, *e)
		}
	}
	return found
}

// Standing are the entries that all VMs must agree on, in the order of their fingerprints:
// those of requests that are held, or were until they were served.
func (l *Ledger) Standing() []Entry {
	found := l.AllHeld()
	for _, e := range l.entries {
		if e.lifted {
			found = append(found, *e)
		}
	}
	slices.SortFunc(found, func(a, b Entry) int {
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return found
}

// InTurn are some of those, others each time.
func (l *Ledger) InTurn(most int) []Entry {
	all := l.Standing()
	if len(all) <= most {
		return all
	}
	var found []Entry
	for i := range most {
		found = append(found, all[(l.turn+i)%len(all)])
	}
	l.turn = (l.turn + most) % len(all)
	return found
}

// Empty says that no request is known.
func (l *Ledger) Empty() bool { return len(l.entries) == 0 }

// Known says that a request is known.
func (l *Ledger) Known(f fingerprinter.Fingerprint) bool { return l.entries[f] != nil }

// Len is how many requests are known, and held how many of them are.
func (l *Ledger) Len() (known, held int) {
	for _, e := range l.entries {
		if e.isHeld() {
			held++
		}
	}
	return len(l.entries), held
}
