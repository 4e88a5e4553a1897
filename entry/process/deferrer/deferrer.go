// Package deferrer keeps claims: the places promised to requests that were refused and
// told when to come back. It answers load under which callers that return as told would
// otherwise queue behind those that have just arrived, be refused again, and give up.
//
// A request is recognised by its fingerprint. A fingerprint has at most one claim, whose
// due time the first refusal sets: whoever asks again before it is due neither uses nor
// moves it.
package deferrer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxClaims bounds the claims, and maxTeamClaims those of one team.
	maxClaims, maxTeamClaims = 1024, 256
	// lifetime is how long after its due time a claim can be used.
	lifetime = 3 * time.Second
	// maxDelay bounds how far ahead a claim may be due.
	maxDelay = 30 * time.Second
	// earliness is how long before its due time a claim can be used: callers round the
	// time that they were told.
	earliness = 20 * time.Millisecond
)

// A Claim is a place promised to a request.
type Claim struct {
	Fingerprint uint64
	Team        string
	Priority    int
	// Work is the work of the request, and Size its size as in projector.Lane.
	Work float64
	Size int
	Due  time.Time
}

// Expired reports whether the claim can no longer be used.
func (c *Claim) Expired(now time.Time) bool { return !now.Before(c.Due.Add(lifetime)) }

// A state says what has become of a claim.
type state int

const (
	open state = iota
	// taken means that the request waits for its place.
	taken
	// used means that it got its place. The claim stays until it expires, so that a copy
	// that arrives later does not bring it back.
	used
)

type entry struct {
	Claim
	state state
}

// A Deferrer holds the claims of one group. It is not safe for concurrent use.
type Deferrer struct {
	claims map[uint64]*entry
	teams  map[string]int
	// cleanedAt is when expired claims were last removed.
	cleanedAt time.Time
}

// New returns a Deferrer without claims.
func New() *Deferrer {
	return &Deferrer{claims: make(map[uint64]*entry), teams: make(map[string]int)}
}

// Add records a claim and returns the one in force for its fingerprint: an earlier one if
// there is one that has not expired. It reports false if none is in force, because it was
// used or cannot be kept.
func (d *Deferrer) Add(now time.Time, c Claim) (Claim, bool) {
	if c.Fingerprint == 0 || c.Expired(now) || c.Due.Sub(now) > maxDelay {
		return Claim{}, false
	}
	if old := d.find(now, c.Fingerprint); old != nil {
		return old.Claim, old.state != used
	}
	if d.full(c.Team) {
		d.cleanedAt = time.Time{}
		d.clean(now)
	}
	if d.full(c.Team) {
		return Claim{}, false
	}
	d.claims[c.Fingerprint] = &entry{Claim: c}
	d.teams[c.Team]++
	return c, true
}

// Merge is like Add for a claim that was made elsewhere. Of two claims for a fingerprint the
// earlier one stands, as the caller may have been told either.
func (d *Deferrer) Merge(now time.Time, c Claim) (Claim, bool) {
	if old := d.find(now, c.Fingerprint); old != nil && c.Due.Before(old.Due) && !c.Expired(now) {
		old.Due = c.Due
	}
	return d.Add(now, c)
}

func (d *Deferrer) full(team string) bool {
	return len(d.claims) >= maxClaims || d.teams[team] >= maxTeamClaims
}

func (d *Deferrer) find(now time.Time, fingerprint uint64) *entry {
	e, ok := d.claims[fingerprint]
	if ok && e.Expired(now) {
		d.remove(e)
		return nil
	}
	return e
}

// Find returns the claim of a fingerprint that was not used.
func (d *Deferrer) Find(now time.Time, fingerprint uint64) (Claim, bool) {
	e := d.find(now, fingerprint)
	if e == nil || e.state == used {
		return Claim{}, false
	}
	return e.Claim, true
}

// Take takes the claim of a request that has come back, and reports whether there is one
// that is due and was not taken.
func (d *Deferrer) Take(now time.Time, fingerprint uint64) bool {
	e := d.find(now, fingerprint)
	if e == nil || e.state != open || now.Before(e.Due.Add(-earliness)) {
		return false
	}
	e.state = taken
	return true
}

// Return gives back a claim that was taken, as the request left without its place.
func (d *Deferrer) Return(fingerprint uint64) {
	if e, ok := d.claims[fingerprint]; ok && e.state == taken {
		e.state = open
	}
}

// Use ends the claim of a request that got its place, and reports whether there was one.
func (d *Deferrer) Use(now time.Time, fingerprint uint64) bool {
	e := d.find(now, fingerprint)
	if e == nil || e.state == used {
		return false
	}
	e.state = used
	return true
}

// Used reports whether the claim of a fingerprint was used and has not expired since.
func (d *Deferrer) Used(now time.Time, fingerprint uint64) bool {
	e := d.find(now, fingerprint)
	return e != nil && e.state == used
}

func (d *Deferrer) remove(e *entry) {
	delete(d.claims, e.Fingerprint)
	if d.teams[e.Team]--; d.teams[e.Team] == 0 {
		delete(d.teams, e.Team)
	}
}

// Work returns the work of the claims of a priority and size that are due before a time
// and whose requests have not come back.
func (d *Deferrer) Work(now time.Time, priority, size int, before time.Time) float64 {
	d.clean(now)
	sum := 0.0
	for _, e := range d.claims {
		if e.state == open && e.Priority == priority && e.Size == size && e.Due.Before(before) {
			sum += e.Work
		}
	}
	return sum
}

// All returns the claims that were not used, in order of their due times.
func (d *Deferrer) All(now time.Time) []Claim {
	all := make([]Claim, 0, len(d.claims))
	for _, e := range d.claims {
		if e.state != used && !e.Expired(now) {
			all = append(all, e.Claim)
		}
	}
	slices.SortFunc(all, func(a, b Claim) int {
		return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return all
}

// clean removes expired claims, at most once per cleanInterval.
func (d *Deferrer) clean(now time.Time) {
	const cleanInterval = 100 * time.Millisecond
	if now.Sub(d.cleanedAt) < cleanInterval {
		return
	}
	d.cleanedAt = now
	for _, e := range d.claims {
		if e.Expired(now) {
			d.remove(e)
		}
	}
}
