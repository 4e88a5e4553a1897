// Package replicator maintains a copy of keyed records that the platform stores in
// order, each with a position. Records may come from the platform or from another VM.
// This covers a platform that rejects some VMs while it serves others: a VM that
// could only read for itself would keep accepting a key that was revoked and keep
// sending requests to upstreams that have left.
//
// A record never replaces one at a higher position, so copies may arrive in any order
// and at any delay.
package replicator

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// A Record is the newest value of a key.
type Record struct {
	Key string `cbor:"1,keyasint"`
	// Value is empty if the key was deleted.
	Value  []byte `cbor:"2,keyasint,omitempty"`
	Offset int64  `cbor:"3,keyasint"`
	// Deleted reports that the key no longer has a value.
	Deleted bool `cbor:"4,keyasint,omitempty"`
	// Era is the era of the stream in which the record had Offset; 0 if unknown.
	Era int64 `cbor:"5,keyasint,omitempty"`
}

// Position returns the record's position.
func (r *Record) Position() Position { return Position{Era: r.Era, Offset: r.Offset} }

// A Copy is one VM's copy of the records of one stream.
type Copy struct {
	mu      sync.Mutex
	records map[string]Record
	// end is the position below which no record is missing from this copy. Its era is
	// the newest that this copy knows of.
	end Position
	// floor is the end of the last snapshot. Records of keys that were deleted before
	// it are missing here, so an incremental read from below it would be incomplete.
	floor Position
	// changes counts the changes to the records and to floor.
	changes int64
	// asOf is when the platform last confirmed that end was its own end, by this VM's
	// clock. For a confirmation that came through a peer it is the time at which the
	// platform gave it to that peer.
	asOf time.Time
	// readAt is like asOf, but only for confirmations that the platform gave to this
	// VM.
	readAt time.Time
	// silences records the intervals during which the platform answered none of the
	// VMs that this VM hears from.
	silences silences
	onChange func(rs []Record, gap time.Duration)
	// restore tracks the records that a restored platform has lost.
	restore restore
}

// New returns an empty Copy that calls onChange with the records it accepts, in order
// of position and one call at a time. The argument gap is the longest time for which
// the platform answered no VM since this copy was last confirmed.
func New(onChange func(rs []Record, gap time.Duration)) *Copy {
	return &Copy{records: make(map[string]Record), onChange: onChange}
}

// Merge adds records to the copy. With them the copy contains all records below end
// as of the time asOf; the end is the zero Position if that is unknown. It returns the
// number of records that changed the copy. Records of another era than the copy's are
// ignored: only a snapshot begins an era.
func (c *Copy) Merge(rs []Record, end Position, asOf time.Time) (accepted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end.Era == 0 && c.restore.seen {
		// The sender does not know of eras, and its offsets may be of an earlier one.
		return 0
	}
	switch {
	case end.Era == 0:
		end.Era = c.end.Era
	case c.end.Era == 0:
		c.setEra(end.Era)
	case end.Era != c.end.Era:
		return 0
	}
	return c.merge(rs, end, asOf)
}

// setEra assigns an era to a copy whose era was unknown. The caller holds the lock.
func (c *Copy) setEra(era int64) {
	for key, r := range c.records {
		r.Era = era
		c.records[key] = r
	}
	c.end.Era, c.floor.Era = era, era
	c.changes++
}

// merge adds records of the copy's era. The caller holds the lock.
func (c *Copy) merge(rs []Record, end Position, asOf time.Time) (accepted int) {
	var changed []Record
	for _, r := range rs {
		if r.Era == 0 {
			r.Era = c.end.Era
		}
		old, ok := c.records[r.Key]
		if ok && (!old.Position().Before(r.Position()) || c.ignores(r, old)) {
			continue
		}
		c.records[r.Key] = r
		delete(c.restore.outdated, r.Key)
		accepted++
		if ok && old.Era != r.Era && old.Deleted == r.Deleted && bytes.Equal(old.Value, r.Value) {
			// A restored platform still has it: only its position has changed.
			continue
		}
		changed = append(changed, r)
	}
	c.silences.recordAnswer(asOf)
	gap := c.silences.longest(c.asOf)
	if c.end.Before(end) {
		c.end = end
	}
	if end == c.end && asOf.After(c.asOf) {
		c.asOf = asOf
		c.silences.discard(asOf)
	}
	if accepted == 0 {
		return 0
	}
	c.changes++
	if len(changed) > 0 {
		slices.SortFunc(changed, func(a, b Record) int { return a.Position().Compare(b.Position()) })
		c.onChange(changed, gap)
	}
	return accepted
}

// RecordAnswer records that the platform answered some VM at a given time. A record
// that was deleted after that time was deleted while the platform was available,
// however late this copy learns of it.
func (c *Copy) RecordAnswer(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silences.recordAnswer(at)
}

// Lag returns how much older this copy is than the platform's last answer to any VM.
// It is 0 for a copy that has never been confirmed.
func (c *Copy) Lag() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asOf.IsZero() {
		return 0
	}
	return max(0, c.silences.lastAnswer.Sub(c.asOf))
}

// MarkRead records that the platform confirmed the copy's end to this VM.
func (c *Copy) MarkRead(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAt = at
}

// ReadAt returns when the platform last confirmed the end to this VM, or the zero
// time if it never has.
func (c *Copy) ReadAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAt
}

// Confirm records that the platform had no records beyond this copy's end at a given
// time.
func (c *Copy) Confirm(asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asOf.After(c.asOf) {
		c.asOf = asOf
	}
}

// MergeSnapshot merges a full read of the stream and deletes every key that it does
// not contain: the platform may discard the record of a deletion before this VM has
// seen it. It returns the number of records that changed the copy.
//
// The first snapshot of an era deletes nothing, as the platform may have lost keys that
// will be written again. See RestorePolicy.
func (c *Copy) MergeSnapshot(rs []Record, end Position, asOf time.Time) (accepted int) {
	present := make(map[string]bool, len(rs))
	for i := range rs {
		// A peer's snapshot also has records of an earlier era that it keeps in case
		// they are written again.
		if rs[i].Era == 0 || rs[i].Era == end.Era {
			present[rs[i].Key] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case end.Era == 0 && c.restore.seen, end.Era != 0 && end.Era < c.end.Era:
		return 0
	case end.Era == 0:
		end.Era = c.end.Era
	case end.Era > c.end.Era:
		return c.beginEra(rs, present, end, asOf)
	}
	merged := slices.Clone(rs)
	for key, r := range c.records {
		// A record at or above end was written after the read began, and one of an
		// earlier era may be written again.
		if !present[key] && !r.Deleted && r.Era == end.Era && r.Offset < end.Offset {
			merged = append(merged, Record{Key: key, Era: end.Era, Offset: end.Offset - 1, Deleted: true})
		}
	}
	for key, r := range c.restore.outdated {
		if !present[key] && r.Position().Before(end) {
			delete(c.restore.outdated, key)
		}
	}
	if c.floor.Before(end) {
		c.floor = end
	}
	c.changes++
	return c.merge(merged, end, asOf)
}

// End returns the position below which no record is missing, and the time as of which
// that held.
func (c *Copy) End() (end Position, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end, c.asOf
}

// IsEmpty reports whether the copy holds no records and has not read beyond any.
func (c *Copy) IsEmpty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end.Offset == 0 && len(c.records) == 0
}

// A Page is a set of records that one copy passes to another.
type Page struct {
	Records []Record
	// End is the position below which no record is missing, as of AsOf.
	End  Position
	AsOf time.Time
	// Snapshot reports that Records holds every key that has a value, and not only
	// the changes. The receiver must then delete all other keys.
	Snapshot bool
}

// A State describes the records of a copy from a position on, without the records.
type State struct {
	// Changes increases whenever the records may have changed.
	Changes int64
	// End, AsOf and Snapshot have the same meaning as in Page.
	End      Position
	AsOf     time.Time
	Snapshot bool
}

// State returns the state of the records from a position on.
func (c *Copy) State(from Position) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Changes: c.changes, End: c.end, AsOf: c.asOf, Snapshot: c.resolve(from).Before(c.floor)}
}

// resolve returns a position with the copy's era if its own is unknown.
func (c *Copy) resolve(p Position) Position {
	if p.Era == 0 {
		p.Era = c.end.Era
	}
	return p
}

// Since returns the records from a position on. If the copy was filled from a snapshot
// taken after it, it has never seen the deletions before the snapshot, so it
// returns all its records as a snapshot. A receiver that treated them as incremental
// would keep an upstream that is long gone. A key has two records, in order of position,
// if the platform has an older value than this copy.
func (c *Copy) Since(from Position) Page {
	c.mu.Lock()
	defer c.mu.Unlock()
	from = c.resolve(from)
	p := Page{End: c.end, AsOf: c.asOf, Snapshot: from.Before(c.floor)}
	for _, records := range []map[string]Record{c.records, c.restore.outdated} {
		for _, r := range records {
			if !r.Position().Before(from) || (p.Snapshot && !r.Deleted) {
				p.Records = append(p.Records, r)
			}
		}
	}
	slices.SortFunc(p.Records, func(a, b Record) int {
		return cmp.Or(strings.Compare(a.Key, b.Key), a.Position().Compare(b.Position()))
	})
	return p
}

// MergePage merges a page from another copy.
func (c *Copy) MergePage(p Page) {
	if p.Snapshot {
		c.MergeSnapshot(p.Records, p.End, p.AsOf)
		return
	}
	c.Merge(p.Records, p.End, p.AsOf)
}
