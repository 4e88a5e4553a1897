package replicator

import "cmp"

// A Position is a place in a stream. If the platform is restored from a backup, it loses
// the newest records and gives their offsets out again; the era then increases, so that
// positions of the new records come after those of the lost ones.
type Position struct {
	// Era is 0 if it is unknown, for example because another VM does not send it.
	Era, Offset int64
}

// Compare returns -1 if p comes before o, 1 if it comes after o, and 0 otherwise.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Offset, o.Offset))
}

// Before reports whether p comes before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// IsAheadOf reports whether p comes after o. If the era of either is unknown, it compares
// the offsets.
func (p Position) IsAheadOf(o Position) bool {
	if p.Era == 0 || o.Era == 0 {
		return p.Offset > o.Offset
	}
	return o.Before(p)
}
