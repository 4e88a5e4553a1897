package replicator

import "time"

// A Restore is a platform's return from a backup, as the first snapshot of the new era
// shows it.
type Restore struct {
	// Before is the end of this copy before, and After that of the snapshot.
	Before, After Position
	// Present holds the keys of the snapshot. Lost are the records of this copy whose
	// keys are missing there.
	Present map[string]bool
	Lost    []Record
}

// restore tracks the records that a restored platform has lost.
type restore struct {
	// seen is set once this copy has followed the platform from one known era to the
	// next.
	seen bool
	// at is when the platform gave the first snapshot of the copy's era; pending is set
	// while records of an earlier era may remain.
	at      time.Time
	pending bool
	// outdated holds the platform's records that were ignored because this copy has
	// newer values of their keys.
	outdated map[string]Record
	policy   RestorePolicy
}

// A RestorePolicy says what a copy does when the platform was restored from a backup.
type RestorePolicy struct {
	// Retention is how long values that the platform has lost are kept, in case they are
	// written again; 0 means for good. Without that time, a zone that operators have
	// taken out of service would be used until they repeat the order.
	Retention time.Duration
	// IsOlder reports whether the value of a is older than that of b, which is of the same
	// key and of an earlier era. The backup's value of a key may be older than the one
	// that it lost, and VMs that start must not get that one from their peers. It may be
	// nil.
	IsOlder func(a, b Record) bool
	// OnRestore is called with the copy locked.
	OnRestore func(Restore)
}

// SetRestorePolicy must be called before the Copy is used.
func (c *Copy) SetRestorePolicy(p RestorePolicy) { c.restore.policy = p }

// ignores reports whether a record of a new era is ignored because the one that this copy
// has, of an earlier era, is newer. The caller holds the lock.
func (c *Copy) ignores(r, old Record) bool {
	if old.Era == r.Era || old.Deleted || r.Deleted || c.restore.policy.IsOlder == nil || !c.restore.policy.IsOlder(r, old) {
		return false
	}
	if r.Era < c.end.Era {
		// It is a peer's that the platform has lost as well.
		return true
	}
	if c.restore.outdated == nil {
		c.restore.outdated = make(map[string]Record)
	}
	c.restore.outdated[r.Key] = r
	return true
}

// beginEra merges the first snapshot of a new era. The caller holds the lock.
func (c *Copy) beginEra(rs []Record, present map[string]bool, end Position, asOf time.Time) (accepted int) {
	r := Restore{Before: c.end, After: end, Present: present}
	for key, old := range c.records {
		if !present[key] && !old.Deleted {
			r.Lost = append(r.Lost, old)
		}
	}
	known := c.end.Era != 0
	c.restore.seen = c.restore.seen || known
	c.restore.at, c.restore.pending, c.restore.outdated = asOf, true, nil
	c.end, c.floor = end, end
	c.changes++
	accepted = c.merge(rs, end, asOf)
	if known && c.restore.policy.OnRestore != nil {
		c.restore.policy.OnRestore(r)
	}
	return accepted
}

// ExpireLost drops the values that a restored platform lost and that were not written
// again within the retention: in favour of the platform's older ones, if it has any. While
// the platform confirms nothing to this VM they are kept, as they may have been written
// again.
func (c *Copy) ExpireLost() (expired int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.restore
	if !r.pending || r.policy.Retention == 0 || c.asOf.Sub(r.at) < r.policy.Retention {
		return 0
	}
	r.pending = false
	var changed []Record
	for key, old := range c.records {
		if old.Era == c.end.Era || old.Deleted {
			continue
		}
		current, ok := r.outdated[key]
		if !ok {
			// The position is before all records of the era.
			current = Record{Key: key, Era: c.end.Era, Offset: -1, Deleted: true}
		}
		c.records[key] = current
		changed = append(changed, current)
	}
	r.outdated = nil
	if len(changed) > 0 {
		c.changes++
		c.onChange(changed, 0)
	}
	return len(changed)
}
