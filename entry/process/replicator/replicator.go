// Package replicator maintains a copy of keyed records that the platform stores in
// order, each with an offset. Records may come from the platform or from another VM.
// This covers a platform that rejects some VMs while it serves others: a VM that
// could only read for itself would keep accepting a key that was revoked and keep
// sending requests to upstreams that have left.
//
// A record never replaces one with a higher offset, so copies may arrive in any order
// and at any delay.
package replicator

import (
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
}

// A Copy is one VM's copy of the records of one stream.
type Copy struct {
	mu      sync.Mutex
	records map[string]Record
	// end is the offset below which no record is missing from this copy.
	end int64
	// floor is the end of the last snapshot. Records of keys that were deleted before
	// it are missing here, so an incremental read from below it would be incomplete.
	floor int64
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
}

// New returns an empty Copy that calls onChange with the records it accepts, in order
// of offset and one call at a time. The argument gap is the longest time for which
// the platform answered no VM since this copy was last confirmed.
func New(onChange func(rs []Record, gap time.Duration)) *Copy {
	return &Copy{records: make(map[string]Record), onChange: onChange}
}

// Merge adds records to the copy. With them the copy contains all records below end
// as of the time asOf; end is 0 if that is unknown. It returns the number of records that
// changed the copy.
func (c *Copy) Merge(rs []Record, end int64, asOf time.Time) (accepted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changed []Record
	for _, r := range rs {
		old, ok := c.records[r.Key]
		if ok && r.Offset <= old.Offset {
			continue
		}
		c.records[r.Key] = r
		changed = append(changed, r)
	}
	c.silences.recordAnswer(asOf)
	gap := c.silences.longest(c.asOf)
	c.end = max(c.end, end)
	if end >= c.end && asOf.After(c.asOf) {
		c.asOf = asOf
		c.silences.discard(asOf)
	}
	if len(changed) == 0 {
		return 0
	}
	c.changes++
	slices.SortFunc(changed, func(a, b Record) int { return int(a.Offset - b.Offset) })
	c.onChange(changed, gap)
	return len(changed)
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
func (c *Copy) MergeSnapshot(rs []Record, end int64, asOf time.Time) (accepted int) {
	merged := slices.Clone(rs)
	present := make(map[string]bool, len(rs))
	for _, r := range rs {
		present[r.Key] = true
	}
	c.mu.Lock()
	for key, r := range c.records {
		// A record at or above end was written after the read began.
		if !present[key] && !r.Deleted && r.Offset < end {
			merged = append(merged, Record{Key: key, Offset: end - 1, Deleted: true})
		}
	}
	c.floor = max(c.floor, end)
	c.changes++
	c.mu.Unlock()
	return c.Merge(merged, end, asOf)
}

// End returns the offset below which no record is missing, and the time as of which
// that held.
func (c *Copy) End() (end int64, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end, c.asOf
}

// A Page is a set of records that one copy passes to another.
type Page struct {
	Records []Record
	// End is the offset below which no record is missing, as of AsOf.
	End  int64
	AsOf time.Time
	// Snapshot reports that Records holds every key that has a value, and not only
	// the changes. The receiver must then delete all other keys.
	Snapshot bool
}

// A State describes the records of a copy from an offset on, without the records.
type State struct {
	// Changes increases whenever the records may have changed.
	Changes int64
	// End, AsOf and Snapshot have the same meaning as in Page.
	End      int64
	AsOf     time.Time
	Snapshot bool
}

// State returns the state of the records from an offset on.
func (c *Copy) State(from int64) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Changes: c.changes, End: c.end, AsOf: c.asOf, Snapshot: from < c.floor}
}

// Since returns the records from an offset on. If the copy was filled from a snapshot
// taken after that offset, it has never seen the deletions before the snapshot, so it
// returns all its records as a snapshot. A receiver that treated them as incremental
// would keep an upstream that is long gone.
func (c *Copy) Since(from int64) Page {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := Page{End: c.end, AsOf: c.asOf, Snapshot: from < c.floor}
	for _, r := range c.records {
		if r.Offset >= from || (p.Snapshot && !r.Deleted) {
			p.Records = append(p.Records, r)
		}
	}
	slices.SortFunc(p.Records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
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
