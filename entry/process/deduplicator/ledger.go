package deduplicator

import (
	"slices"
	"time"

	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
)

// A Ledger is what the stream of calls says about each key. It is a pure
// function of the records in the log's order: two VMs that have read the same
// records reach the same verdict. It takes no time from this machine but to
// note when records may have been missed, and it is not safe for concurrent
// use.
type Ledger struct {
	keep    time.Duration
	next    uint64    // offset to be read next, 0 before the first read
	since   time.Time // no call from then on was missed; zero where none ever was
	latest  time.Time // the log's time of the newest record
	entries map[recorder.Hash]*entry
	queue   []*entry // all, to be looked at for forgetting
	bodied  []*entry // those with a kept body, the oldest outcome first
	bodies  int      // bytes of kept bodies
}

// maxBodies bounds the bytes of bodies that are kept over all keys, as a VM is
// small. Past it a repetition learns of the first call's status only.
const maxBodies = 16 << 20

// An entry is what is known of one key.
type entry struct {
	key     recorder.Hash
	at      time.Time // the log's time of what last changed its claim
	claimed bool
	winner  recorder.Attempt
	print   recorder.Hash
	outcome *recorder.Outcome
	// dead are attempts that were decided and do not hold the key: those that
	// came second, and those that gave up. An append whose answer was lost may
	// land late or twice, and an attempt must not win long after its VM has
	// told its caller that nothing ran.
	dead []recorder.Attempt
}

// NewLedger returns a Ledger that forgets a key when it was claimed longer than
// keep ago by the log's time.
func NewLedger(keep time.Duration) *Ledger {
	return &Ledger{keep: keep, entries: make(map[recorder.Hash]*entry)}
}

// Next is the offset to read from.
func (l *Ledger) Next() uint64 { return max(l.next, 1) }

// Since is the time from which on no call was missed; zero means ever.
func (l *Ledger) Since() time.Time { return l.since }

// Latest is the log's time of the newest record.
func (l *Ledger) Latest() time.Time { return l.latest }

// Keep changes how long keys are known. Keys that were forgotten already don't
// come back, so a longer time moves Since.
func (l *Ledger) Keep(keep time.Duration) {
	if keep > l.keep && !l.latest.IsZero() {
		l.missed(l.latest.Add(-l.keep))
	}
	l.keep = keep
}

// missed notes that records from before a time may have been missed.
func (l *Ledger) missed(until time.Time) {
	if until.After(l.since) {
		l.since = until
	}
}

// Read applies what was read at a time, and returns the keys that it touched
// and how many records it skipped.
func (l *Ledger) Read(b appender.Batch, now time.Time) (touched []recorder.Hash, skipped int) {
	l.gaps(b, now)
	for _, r := range b.Records {
		calls, err := recorder.UnwrapCalls(r.Data)
		if err != nil {
			skipped++
		}
		// A VM of a later version may claim keys in a form not known here. A
		// broken record is written by no version and claims none.
		if recorder.ErrVersion.Has(err) {
			l.missed(r.At)
		}
		touched = append(touched, l.Apply(r.At, calls)...)
		l.next = r.Offset + 1
	}
	return touched, skipped
}

// gaps notes records that were dropped before they were read, and a log that
// lost its end. A key whose first intent is among them would look new and run
// twice; Since has it refused instead.
func (l *Ledger) gaps(b appender.Batch, now time.Time) {
	l.next = l.Next()
	switch {
	case b.End < l.next:
		l.next = b.Start
		l.missed(now)
	case b.Start > l.next && len(b.Records) > 0:
		l.next = b.Start
		l.missed(b.Records[0].At)
	case b.Start > l.next:
		l.next = b.Start
		l.missed(now)
	}
}

// Apply applies one record with the log's time, and returns the keys that it
// touched.
func (l *Ledger) Apply(at time.Time, b recorder.CallBatch) (touched []recorder.Hash) {
	// A log whose clock steps back must not make keys young again.
	if at.After(l.latest) {
		l.latest = at
	}
	l.expire()
	for _, c := range b.Calls {
		e := l.entry(c.Key)
		switch {
		case c.Intent != nil:
			l.intent(e, c)
		case c.Outcome != nil:
			l.outcome(e, c.Attempt, *c.Outcome)
		case c.Abandon:
			l.abandon(e, c.Attempt)
		}
		touched = append(touched, c.Key)
	}
	return touched
}

// find returns what is known of a key, nil where nothing is. A key is forgotten
// by its own time alone, so that VMs that began to read at different places
// forget it at the same record.
func (l *Ledger) find(key recorder.Hash) *entry {
	e := l.entries[key]
	if e == nil || l.old(e) {
		return nil
	}
	return e
}

func (l *Ledger) old(e *entry) bool { return e.at.Before(l.latest.Add(-l.keep)) }

// entry returns what is known of a key, made where nothing is.
func (l *Ledger) entry(key recorder.Hash) *entry {
	if e := l.find(key); e != nil {
		return e
	}
	e := &entry{key: key, at: l.latest}
	l.entries[key] = e
	l.queue = append(l.queue, e)
	return e
}

// intent lets the first intent win. One that comes second is dead at once: it
// does not move up when the first is abandoned, because its VM may have told
// its caller otherwise by then.
func (l *Ledger) intent(e *entry, c recorder.CallEntry) {
	switch {
	case slices.Contains(e.dead, c.Attempt) || (e.claimed && e.winner == c.Attempt):
	case e.claimed:
		e.dead = append(e.dead, c.Attempt)
	default:
		e.claimed, e.winner, e.print, e.at = true, c.Attempt, c.Intent.Print, l.latest
	}
}

// outcome notes what became of the call; the first word stands. An outcome
// whose intent the log has dropped still claims the key.
func (l *Ledger) outcome(e *entry, by recorder.Attempt, o recorder.Outcome) {
	if slices.Contains(e.dead, by) || e.outcome != nil || (e.claimed && e.winner != by) {
		return
	}
	e.claimed, e.winner = true, by
	e.outcome = &o
	if o.Kept {
		l.bodied = append(l.bodied, e)
		l.bodies += len(o.Body)
	}
	l.trim()
}

// abandon frees a key whose winner has sent nothing, and keeps an attempt whose
// intent lands later from ever winning.
func (l *Ledger) abandon(e *entry, by recorder.Attempt) {
	if slices.Contains(e.dead, by) || (e.claimed && e.winner == by && e.outcome != nil) {
		return
	}
	e.dead = append(e.dead, by)
	e.at = l.latest
	if e.claimed && e.winner == by {
		e.claimed, e.winner, e.print = false, recorder.Attempt{}, recorder.Hash{}
	}
}

// expire drops keys that are forgotten. One whose claim changed since it was
// queued is queued again.
func (l *Ledger) expire() {
	for range len(l.queue) {
		e := l.queue[0]
		if !l.old(e) {
			return
		}
		l.queue = l.queue[1:]
		if l.entries[e.key] == e {
			delete(l.entries, e.key)
		}
	}
}

// trim drops the oldest bodies while there are too many bytes of them, and
// those of forgotten keys.
func (l *Ledger) trim() {
	for len(l.bodied) > 0 && (l.bodies > maxBodies || l.old(l.bodied[0])) {
		e := l.bodied[0]
		l.bodied = l.bodied[1:]
		l.bodies -= len(e.outcome.Body)
		e.outcome = &recorder.Outcome{Status: e.outcome.Status, Header: e.outcome.Header}
	}
}
