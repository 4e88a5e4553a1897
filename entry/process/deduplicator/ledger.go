package deduplicator

import (
	"slices"
	"time"

	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
)

// A Ledger is the state of each key as replayed from the stream of calls. It is a
// pure function of the records in the log's order: two VMs that have read the same
// records reach the same decision. It uses the local clock only to note when
// records may have been missed. It is not safe for concurrent use.
type Ledger struct {
	retention     time.Duration
	nextOffset    uint64    // offset to read next, 0 before the first read
	completeSince time.Time // no call was missed since then; zero if none ever was
	latestTime    time.Time // the log's time of the newest record
	entries       map[recorder.Hash]*entry
	expiryQueue   []queuedEntry // all entries by the time of their last change, and of earlier ones
	withBody      []*entry      // entries with a stored body, the oldest outcome first
	bodyBytes     int           // total size of stored bodies
}

// A queuedEntry is an entry as of a change of its claim.
type queuedEntry struct {
	*entry
	at time.Time
}

// maxTotalBodyBytes limits the stored bodies of all keys together, because a VM has
// little memory. Beyond it a repetition gets only the status and headers of the
// first call.
const maxTotalBodyBytes = 16 << 20

// An entry is the state of one key.
type entry struct {
	key         recorder.Hash
	changedAt   time.Time // the log's time of the last change of the claim
	claimed     bool
	winner      recorder.Attempt
	fingerprint recorder.Hash
	outcome     *recorder.Outcome
	// lost are attempts that were decided and do not hold the key: those whose
	// intent was not the first, and those that were abandoned. An append whose
	// response was lost may take effect late or twice, and an attempt must not win
	// long after its VM has reported to its caller that nothing ran.
	lost []recorder.Attempt
}

// NewLedger returns a Ledger that forgets a key once its claim is older than
// retention by the log's time.
func NewLedger(retention time.Duration) *Ledger {
	return &Ledger{retention: retention, entries: make(map[recorder.Hash]*entry)}
}

// NextOffset is the offset to read from.
func (l *Ledger) NextOffset() uint64 { return max(l.nextOffset, 1) }

// CompleteSince is the time since which no call was missed; zero means that none
// ever was.
func (l *Ledger) CompleteSince() time.Time { return l.completeSince }

// LatestTime is the log's time of the newest record.
func (l *Ledger) LatestTime() time.Time { return l.latestTime }

// SetRetention changes how long keys are remembered. Keys already forgotten don't
// come back, so a longer retention advances CompleteSince.
func (l *Ledger) SetRetention(retention time.Duration) {
	if retention > l.retention && !l.latestTime.IsZero() {
		l.markIncomplete(l.latestTime.Add(-l.retention))
	}
	l.retention = retention
}

// markIncomplete notes that records older than until may have been missed.
func (l *Ledger) markIncomplete(until time.Time) {
	if until.After(l.completeSince) {
		l.completeSince = until
	}
}

// ApplyRecords applies a batch that was read at time now. It returns the keys it
// touched and the number of records it skipped.
func (l *Ledger) ApplyRecords(b appender.Batch, now time.Time) (touched []recorder.Hash, skipped int) {
	l.detectGaps(b, now)
	for _, r := range b.Records {
		calls, err := recorder.UnwrapCalls(r.Data)
		if err != nil {
			skipped++
		}
		// A VM of a later version may claim keys in a format unknown here. A corrupt
		// record is not written by any version and claims none.
		if recorder.ErrVersion.Has(err) {
			l.markIncomplete(r.At)
		}
		touched = append(touched, l.ApplyRecord(r.At, calls)...)
		l.nextOffset = r.Offset + 1
	}
	return touched, skipped
}

// detectGaps notes records that were dropped before they were read, and a log that
// lost its end. A key whose first intent is among them would look new and run
// twice; because of CompleteSince it is refused instead.
func (l *Ledger) detectGaps(b appender.Batch, now time.Time) {
	l.nextOffset = l.NextOffset()
	switch {
	case b.End < l.nextOffset:
		l.nextOffset = b.Start
		l.markIncomplete(now)
	case b.Start > l.nextOffset && len(b.Records) > 0:
		l.nextOffset = b.Start
		l.markIncomplete(b.Records[0].At)
	case b.Start > l.nextOffset:
		l.nextOffset = b.Start
		l.markIncomplete(now)
	}
}

// ApplyRecord applies one record with the log's time, and returns the keys that it
// touched.
func (l *Ledger) ApplyRecord(at time.Time, b recorder.CallBatch) (touched []recorder.Hash) {
	// If the log's clock steps back, expired keys must not become valid again.
	if at.After(l.latestTime) {
		l.latestTime = at
	}
	l.removeExpired()
	for _, c := range b.Calls {
		e := l.findOrCreate(c.Key)
		switch {
		case c.Intent != nil:
			l.applyIntent(e, c)
		case c.Outcome != nil:
			l.applyOutcome(e, c.Attempt, *c.Outcome)
		case c.Abandon:
			l.applyAbandon(e, c.Attempt)
		}
		touched = append(touched, c.Key)
	}
	return touched
}

// find returns the entry of a key, or nil if there is none. Expiry depends on the
// entry's own time only, so that VMs that started to read at different offsets
// forget a key at the same record.
func (l *Ledger) find(key recorder.Hash) *entry {
	e := l.entries[key]
	if e == nil || l.expired(e) {
		return nil
	}
	return e
}

func (l *Ledger) expired(e *entry) bool { return e.changedAt.Before(l.latestTime.Add(-l.retention)) }

// findOrCreate returns the entry of a key, and creates it if there is none.
func (l *Ledger) findOrCreate(key recorder.Hash) *entry {
	if e := l.find(key); e != nil {
		return e
	}
	e := &entry{key: key, changedAt: l.latestTime}
	l.entries[key] = e
	l.expiryQueue = append(l.expiryQueue, queuedEntry{e, e.changedAt})
	return e
}

// markChanged records a change of an entry's claim, from which on it is kept for the
// retention.
func (l *Ledger) markChanged(e *entry) {
	if e.changedAt.Equal(l.latestTime) {
		return
	}
	e.changedAt = l.latestTime
	l.expiryQueue = append(l.expiryQueue, queuedEntry{e, e.changedAt})
}

// Len returns the number of keys that are kept, expired ones included.
func (l *Ledger) Len() int { return len(l.entries) }

// applyIntent lets the first intent win. A later one is lost at once: it does not
// win when the first is abandoned, because its VM may have reported to its caller
// by then that nothing ran.
func (l *Ledger) applyIntent(e *entry, c recorder.CallEntry) {
	switch {
	case slices.Contains(e.lost, c.Attempt) || (e.claimed && e.winner == c.Attempt):
	case e.claimed:
		e.lost = append(e.lost, c.Attempt)
	default:
		e.claimed, e.winner, e.fingerprint = true, c.Attempt, c.Intent.Print
		l.markChanged(e)
	}
}

// applyOutcome records the outcome of a call; only the first one counts. An outcome
// whose intent the log has dropped still claims the key.
func (l *Ledger) applyOutcome(e *entry, by recorder.Attempt, o recorder.Outcome) {
	if slices.Contains(e.lost, by) || e.outcome != nil || (e.claimed && e.winner != by) {
		return
	}
	e.claimed, e.winner = true, by
	e.outcome = &o
	if o.Kept {
		l.withBody = append(l.withBody, e)
		l.bodyBytes += len(o.Body)
	}
	l.evictBodies()
}

// applyAbandon frees a key whose winner has sent nothing. An attempt whose intent
// is appended after its abandonment can never win.
func (l *Ledger) applyAbandon(e *entry, by recorder.Attempt) {
	if slices.Contains(e.lost, by) || (e.claimed && e.winner == by && e.outcome != nil) {
		return
	}
	e.lost = append(e.lost, by)
	l.markChanged(e)
	if e.claimed && e.winner == by {
		e.claimed, e.winner, e.fingerprint = false, recorder.Attempt{}, recorder.Hash{}
	}
}

// removeExpired removes expired entries from the front of the queue. An entry whose
// claim has changed since it was queued has another place further back.
func (l *Ledger) removeExpired() {
	cutoff := l.latestTime.Add(-l.retention)
	for len(l.expiryQueue) > 0 && l.expiryQueue[0].at.Before(cutoff) {
		e := l.expiryQueue[0].entry
		l.expiryQueue = l.expiryQueue[1:]
		if l.expired(e) && l.entries[e.key] == e {
			delete(l.entries, e.key)
		}
	}
}

// evictBodies drops the oldest bodies while their total size exceeds the limit, and
// those of expired keys.
func (l *Ledger) evictBodies() {
	for len(l.withBody) > 0 && (l.bodyBytes > maxTotalBodyBytes || l.expired(l.withBody[0])) {
		e := l.withBody[0]
		l.withBody = l.withBody[1:]
		l.bodyBytes -= len(e.outcome.Body)
		e.outcome = &recorder.Outcome{Status: e.outcome.Status, Header: e.outcome.Header}
	}
}
