package claimer

import (
	"time"

	"github.com/heathervane/heathervane/library/recorder"
)

// A Claim is the claim in force for one upstream or seat.
type Claim struct {
	// Offset is the record's place in the log, and the fence.
	Offset uint64
	// At is the log's time of the record.
	At time.Time
	// VM and Boot name the process that holds it. VM is empty where a seat was
	// given back.
	VM   string
	Boot uint64
	// Handed says that the holder before stopped before the record was written.
	Handed bool
	// First reports whether the log holds no earlier claim and has dropped no records.
	First bool
	// Since is the offset of the first claim in this process's unbroken series.
	Since uint64

	replaces uint64
}

// is says whether the claim names a process.
func (c Claim) is(vm string, boot uint64) bool { return c.VM == vm && c.Boot == boot }

// A table is the verdict over all claims read so far. Every VM that has read
// the same records reaches the same verdict.
type table[K comparable] struct {
	lapse time.Duration
	// start is the first offset that this VM ever read; below it claims were
	// forgotten.
	start   uint64
	entries map[K]Claim
}

func newTable[K comparable](lapse time.Duration) table[K] {
	return table[K]{lapse: lapse, entries: map[K]Claim{}}
}

// apply takes one claim in and says whether it counts.
func (t *table[K]) apply(k K, c Claim) bool {
	old, known := t.entries[k]
	switch {
	case !known:
		c.First = t.start <= 1 && c.replaces == 0
	case c.replaces == old.Offset:
	case c.At.Sub(old.At) > t.lapse:
		// Its holder did not write it again in time and has stopped by itself.
	case t.truncated(old, c):
	default:
		return false
	}
	c.Since = c.Offset
	if known && c.is(old.VM, old.Boot) {
		c.Since = old.Since
	}
	t.entries[k] = c
	return true
}

// truncated decides between two claims that both replace one which the log had
// forgotten before this VM started to read. Claimants name only claims that
// were in force, and a loser of a race names an older one than the winner's
// later renewal does: so the higher number is right. Without this, a VM that
// starts late could take the loser of an old race for the holder.
func (t *table[K]) truncated(old, c Claim) bool {
	return old.replaces < t.start && c.replaces < t.start && c.replaces > old.replaces
}

// claims splits a record into one claim for each upstream and seat.
func claims(offset uint64, at time.Time, r recorder.Claim) (map[string]Claim, map[int]Claim) {
	one := Claim{Offset: offset, At: at, VM: r.VM, Boot: r.Boot, Handed: r.Handed}
	upstreams := make(map[string]Claim, len(r.Upstreams))
	for _, u := range r.Upstreams {
		c := one
		c.replaces = u.Replaces
		upstreams[u.Name] = c
	}
	seats := make(map[int]Claim, len(r.Seats))
	for _, s := range r.Seats {
		c := one
		c.replaces = s.Replaces
		if r.Given {
			c.VM, c.Boot = "", 0
		}
		seats[s.Seat] = c
	}
	return upstreams, seats
}
