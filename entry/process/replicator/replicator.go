// Package replicator keeps a copy of keyed records that the platform keeps in
// order, each with its offset, from whoever brings them: the platform or
// another VM. It answers a platform that refuses some VMs while it serves the
// others: a VM that read only for itself would honour a key that was taken away
// and send to upstreams that have left.
//
// A record never replaces one with a higher offset, so that it does not matter
// in which order copies arrive, or how late.
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
	// Value is empty where the key was dropped.
	Value  []byte `cbor:"2,keyasint,omitempty"`
	Offset int64  `cbor:"3,keyasint"`
	// Deleted says that the key has no value any more.
	Deleted bool `cbor:"4,keyasint,omitempty"`
}

// A Copy is one VM's copy of the records of one stream.
type Copy struct {
	mu      sync.Mutex
	records map[string]Record
	// end is the offset below which no record is missing here.
	end int64
	// floor is the end of the last whole reading. What was dropped before it is
	// not among the records, so that nobody can go on from below it.
	floor int64
	// changes counts what has changed records or the floor.
	changes int64
	// asOf is when the platform last confirmed that end was its own, by this
	// VM's clock; a peer's confirmation counts from when it was made.
	asOf time.Time
	// readAt is the same for confirmations that the platform made to this VM.
	readAt time.Time
	// silences are the times in which nobody that this VM can hear was
	// answered by the platform.
	silences silences
	changed  func(rs []Record, gap time.Duration)
}

// New returns an empty Copy that tells changed of every record it takes, in
// order and one call at a time, and for how long the platform had answered nobody
// since the news before them.
func New(changed func(rs []Record, gap time.Duration)) *Copy {
	return &Copy{records: make(map[string]Record), changed: changed}
}

// Merge takes records in. With them all records below end are here, as it was
// at the time asOf; end is 0 where that is not known.
func (c *Copy) Merge(rs []Record, end int64, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var taken []Record
	for _, r := range rs {
		old, ok := c.records[r.Key]
		if ok && r.Offset <= old.Offset {
			continue
		}
		c.records[r.Key] = r
		taken = append(taken, r)
	}
	c.silences.heard(asOf)
	gap := c.silences.longest(c.asOf)
	c.end = max(c.end, end)
	if end >= c.end && asOf.After(c.asOf) {
		c.asOf = asOf
		c.silences.forget(asOf)
	}
	if len(taken) == 0 {
		return
	}
	c.changes++
	slices.SortFunc(taken, func(a, b Record) int { return int(a.Offset - b.Offset) })
	c.changed(taken, gap)
}

// RecordAnswer notes that the platform answered some VM at a time. What went from the
// list since then went while the platform was there, however late this copy
// learns of it.
func (c *Copy) RecordAnswer(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silences.heard(at)
}

// Lag is by how much this copy is older than the platform's last answer to
// anybody.
func (c *Copy) Lag() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asOf.IsZero() {
		return 0
	}
	return max(0, c.silences.last.Sub(c.asOf))
}

// MarkRead notes that the platform confirmed the copy's end to this VM itself.
func (c *Copy) MarkRead(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAt = at
}

// ReadAt is when the platform last confirmed the end to this VM itself; zero
// where it never did.
func (c *Copy) ReadAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAt
}

// Confirm notes that the platform went no further than this copy at a time.
func (c *Copy) Confirm(asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asOf.After(c.asOf) {
		c.asOf = asOf
	}
}

// MergeSnapshot drops every key that a whole reading of the stream did not bring:
// the platform may forget a dropped key's record before this VM saw it.
func (c *Copy) MergeSnapshot(rs []Record, end int64, asOf time.Time) {
	whole := slices.Clone(rs)
	have := make(map[string]bool, len(rs))
	for _, r := range rs {
		have[r.Key] = true
	}
	c.mu.Lock()
	for key, r := range c.records {
		// A record at or above end was written after the reading began.
		if !have[key] && !r.Deleted && r.Offset < end {
			whole = append(whole, Record{Key: key, Offset: end - 1, Deleted: true})
		}
	}
	c.floor = max(c.floor, end)
	c.changes++
	c.mu.Unlock()
	c.Merge(whole, end, asOf)
}

// End is the offset below which nothing is missing, and when that was so.
func (c *Copy) End() (end int64, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end, c.asOf
}

// A Page is what one copy gives another.
type Page struct {
	Records []Record
	// End is the offset below which nothing is missing, as it was at AsOf.
	End  int64
	AsOf time.Time
	// Snapshot says that these are all keys that have a value, and not only what
	// changed: whoever takes it must drop the others.
	Snapshot bool
}

// A State is what a copy holds from an offset on, without the records.
type State struct {
	// Changes grows whenever the records may be others.
	Changes int64
	// End, AsOf and Whole are those of a Page.
	End      int64
	AsOf     time.Time
	Snapshot bool
}

// State tells of the records from an offset on.
func (c *Copy) State(from int64) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Changes: c.changes, End: c.end, AsOf: c.asOf, Snapshot: from < c.floor}
}

// Since are the records from an offset on. A copy that was read whole after that
// has never seen what was dropped before, and gives all that it has: one that
// went on from there would keep an upstream that is long gone.
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

// MergePage takes another copy's page in.
func (c *Copy) MergePage(p Page) {
	if p.Snapshot {
		c.MergeSnapshot(p.Records, p.End, p.AsOf)
		return
	}
	c.Merge(p.Records, p.End, p.AsOf)
}
