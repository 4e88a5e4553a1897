// Package tracker keeps the state of upstreams as this VM knows it: which ones the
// platform lists, which are draining, in cold start or in a disabled zone, and which
// have failed recently. It handles upstreams that leave, crash, restart cold, or fail
// some of their requests while their health check passes. Without it a VM keeps
// sending requests to upstreams that are gone, and callers wait for responses that
// never come.
//
// The package reads no clock and opens no connections. A Tracker is safe for
// concurrent use.
package tracker

import (
	"sync"
	"time"
)

const (
	// unreachableBackoff is how long an upstream gets no requests after a connection
	// to it could not be made, or broke before a response. It doubles with each
	// consecutive failure, up to maxUnreachableBackoff. An upstream that restarts
	// does so within a few seconds.
	unreachableBackoff    = 300 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// leavingPeriod is how long an upstream is treated as leaving after ReportLeaving.
	// By then the list shows it as draining, unless the platform is unavailable.
	leavingPeriod = 4 * time.Second
	// maxDoublings bounds the doublings of unreachableBackoff.
	maxDoublings = 8
)

// An Upstream is an upstream as the platform lists it.
type Upstream struct {
	ID, Service, Address, Zone string
	Slots                      int
	// Draining reports that the upstream takes no new work and is going to stop.
	Draining bool
	// Cold is the remaining cold start time when the entry was read.
	Cold time.Duration
	// StartedAt is the start time of the upstream process in Unix milliseconds; 0 if
	// unknown.
	StartedAt int64
	// Sequence counts the entries that the process has written to the list.
	Sequence int64
}

// A State is an Upstream with what this VM has learned about it.
type State struct {
	Upstream
	// ColdUntil is when the cold start ends.
	ColdUntil time.Time
	// Outcomes counts the results of this VM's requests to the upstream, and of those
	// that other VMs have reported.
	Outcomes Outcomes
	// UnreachableUntil is the time before which the upstream gets no requests because
	// connections to it have failed.
	UnreachableUntil time.Time
	// LeavingUntil is the time before which the upstream is treated as leaving,
	// whatever the list says: it refused to help with a prompt, or its health check
	// failed in a probe that such a refusal triggered.
	LeavingUntil time.Time
	// Limit is the last rate limit that the upstream announced.
	Limit               Limit
	consecutiveFailures int
	lastActivity        time.Time
	// lapsedAt is when the upstream's entry disappeared from the list after an
	// interval without answers from the platform, although the upstream had not been
	// draining. It is zero if that has not happened.
	lapsedAt time.Time
}

// A Tracker stores the state of upstreams by ID.
type Tracker struct {
	mu            sync.Mutex
	upstreams     map[string]*State
	disabledZones map[string]bool
	// outdated reports that this VM's list is too far behind those of other VMs.
	outdated bool
	// removed holds the last entries of upstreams that were removed, so that older
	// entries which arrive later are ignored.
	removed map[string]Upstream
	// departures holds the announcements of upstreams that they are leaving, and backoffs
	// those that they want no requests from this VM for a while.
	departures map[string]announcement
	backoffs   map[string]backoff
	listener   func(Event)
}

// New returns a Tracker without upstreams. Its list counts as current until
// SetOutdated says otherwise.
func New() *Tracker {
	return &Tracker{
		upstreams: make(map[string]*State), disabledZones: make(map[string]bool), removed: make(map[string]Upstream),
		departures: make(map[string]announcement), backoffs: make(map[string]backoff),
	}
}

// Put stores an upstream's list entry. It reports whether anything has changed, apart
// from the sequence number and from how long a cold start still lasts.
func (t *Tracker) Put(now time.Time, u Upstream) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[u.ID]
	if (ok && s.NewerThan(u)) || t.removed[u.ID].NewerThan(u) || t.isRemovedEntry(u) {
		return false
	}
	if !ok || (u.StartedAt != s.StartedAt && u.StartedAt != 0) {
		// A restarted upstream keeps nothing of its previous state.
		s = &State{}
		t.upstreams[u.ID] = s
		changed = true
	}
	delete(t.removed, u.ID)
	old := s.Upstream
	old.Cold, old.Sequence = u.Cold, u.Sequence
	changed = changed || old != u || !s.lapsedAt.IsZero() || (u.Cold > 0) != now.Before(s.ColdUntil)
	s.Upstream = u
	s.lapsedAt = time.Time{}
	if u.Cold > 0 {
		s.ColdUntil = now.Add(u.Cold)
	} else {
		s.ColdUntil = time.Time{}
	}
	return changed
}

// isRemovedEntry reports whether u is the last entry of an upstream that was removed. A
// platform that was restored from a backup may list it again.
func (t *Tracker) isRemovedEntry(u Upstream) bool {
	last, ok := t.removed[u.ID]
	return ok && u.Sequence > 0 && last.Sequence == u.Sequence && last.StartedAt == u.StartedAt
}

// NewerThan reports whether u was written after another entry of the same upstream.
// The platform may carry out a write late: an entry that says "ready" must not bring
// back an upstream that has since started draining or stopped.
func (u Upstream) NewerThan(other Upstream) bool {
	if u.StartedAt != other.StartedAt {
		return u.StartedAt > other.StartedAt
	}
	return u.Sequence > other.Sequence
}

// Remove removes an upstream whose entry has disappeared, and reports whether it was
// known. After an interval without answers from the platform an entry may have
// disappeared only because it expired. If lapsed is set, an upstream that was not
// draining therefore stays in use until Expire removes it; otherwise the fleet would
// stop for the seconds that upstreams take to register again.
func (t *Tracker) Remove(now time.Time, id string, lapsed bool) (known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[id]
	if !ok {
		return false
	}
	if lapsed && !s.Draining {
		if s.lapsedAt.IsZero() {
			s.lapsedAt = now
		}
		return true
	}
	t.forget(s)
	return true
}

// maxRemoved bounds how many removed upstreams are remembered.
const maxRemoved = 4096

func (t *Tracker) forget(s *State) {
	delete(t.upstreams, s.ID)
	if len(t.removed) >= maxRemoved {
		clear(t.removed)
	}
	t.removed[s.ID] = s.Upstream
}

// Expire removes the upstreams whose entries lapsed at least the given time ago, and
// returns their IDs.
func (t *Tracker) Expire(now time.Time, after time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []string
	for id, s := range t.upstreams {
		if !s.lapsedAt.IsZero() && now.Sub(s.lapsedAt) >= after {
			t.forget(s)
			expired = append(expired, id)
		}
	}
	return expired
}

// SetDisabledZones replaces the set of zones whose upstreams get no new work.
func (t *Tracker) SetDisabledZones(zones map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disabledZones = zones
}

// Usable returns the upstreams of a service that may get new work.
func (t *Tracker) Usable(now time.Time, service string) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var states []State
	for _, s := range t.upstreams {
		if s.Service != service || !t.usable(s) {
			continue
		}
		copied := *s
		copied.Outcomes.Decay(now)
		states = append(states, copied)
	}
	return states
}

// CountUsableByZone returns the number of upstreams of a service that may get new
// work, by zone.
func (t *Tracker) CountUsableByZone(service string) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sizes := make(map[string]int)
	for _, s := range t.upstreams {
		if s.Service == service && t.usable(s) {
			sizes[s.Zone]++
		}
	}
	return sizes
}

// CountListed returns the number of upstreams of a service that the platform lists,
// whether or not they may get work.
func (t *Tracker) CountListed(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.upstreams {
		if s.Service == service {
			n++
		}
	}
	return n
}

// IsUsable reports whether an upstream may get work at this moment. Callers check it
// right before they send, because the process may have been paused since the upstream
// was selected.
func (t *Tracker) IsUsable(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[id]
	return ok && t.usable(s)
}

// TakesNoWork reports whether an upstream is known to take no work at this moment. It is
// false for one that is not listed.
func (t *Tracker) TakesNoWork(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[id]
	return ok && !t.usable(s)
}

func (t *Tracker) usable(s *State) bool {
	return !t.outdated && !s.Draining && !t.disabledZones[s.Zone] && !t.departures[s.ID].covers(&s.Upstream)
}

// Get returns the state of an upstream.
func (t *Tracker) Get(id string) (State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[id]
	if !ok {
		return State{}, false
	}
	return *s, true
}

// Outdated reports whether the list is too old to tell which upstreams exist.
func (t *Tracker) Outdated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outdated
}

// SetOutdated records whether this VM's list is so old that upstreams may have been
// draining for longer than they may be sent work, and reports whether that has
// changed. While the list is outdated no upstream may get work, not even one that was
// selected before: requests wait for the list or are refused as not run.
func (t *Tracker) SetOutdated(outdated bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.outdated != outdated
	t.outdated = outdated
	return changed
}

// ReportFailure records a failed request to an upstream. If broken is set, the
// connection failed and not the request.
func (t *Tracker) ReportFailure(now time.Time, id string, broken bool) {
	t.addFailure(now, id, broken)
	finding := FoundFailure
	if broken {
		finding = FoundConnectionFailure
	}
	t.notify(Event{Finding: finding, Upstreams: []string{id}})
}

func (t *Tracker) addFailure(now time.Time, id string, broken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[id]
	if !ok {
		return
	}
	s.Outcomes.Add(now, 1, 0)
	if broken {
		backoff := min(maxUnreachableBackoff, unreachableBackoff<<min(s.consecutiveFailures, maxDoublings))
		s.UnreachableUntil = now.Add(backoff)
		s.consecutiveFailures++
	}
}

// ReportAnswer records that an upstream has begun to respond to a request.
func (t *Tracker) ReportAnswer(now time.Time, id string) {
	t.addAnswer(now, id)
	t.notify(Event{Finding: FoundAnswer, Upstreams: []string{id}})
}

func (t *Tracker) addAnswer(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.upstreams[id]; ok {
		s.consecutiveFailures = 0
		s.UnreachableUntil = time.Time{}
		s.lastActivity = now
		s.Outcomes.Add(now, 0, 1)
	}
}

// ReportActivity records that an upstream is alive.
func (t *Tracker) ReportActivity(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.upstreams[id]; ok {
		s.lastActivity = now
	}
}

// ReportStall records that work which needs several upstreams has made no progress
// since a given time. One of them may have crashed, and none says which. The
// upstreams that have shown no activity since then count as failed and are returned.
// Without this a crashed upstream would stall each prompt that it is asked to help
// with, while the upstream that took the request gets the blame.
//
// Another VM may have had responses from an upstream that shows no activity here. The
// listener is therefore notified of all the upstreams, and each VM that it informs
// decides for itself.
func (t *Tracker) ReportStall(now, since time.Time, ids []string) (blamed []string) {
	for _, id := range ids {
		if t.inactiveSince(id, since) {
			t.addFailure(now, id, true)
			blamed = append(blamed, id)
		}
	}
	t.notify(Event{Finding: FoundStall, Upstreams: ids, For: now.Sub(since)})
	return blamed
}

// inactiveSince reports whether a known upstream has shown no activity since a given
// time.
func (t *Tracker) inactiveSince(id string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[id]
	return ok && s.lastActivity.Before(since)
}

// Unreachable returns the IDs of the upstreams that are in backoff after connection
// failures.
func (t *Tracker) Unreachable(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, s := range t.upstreams {
		if now.Before(s.UnreachableUntil) {
			ids = append(ids, id)
		}
	}
	return ids
}

// ReportCold records that an upstream said it is in cold start for the time left.
func (t *Tracker) ReportCold(now time.Time, id string, left time.Duration) {
	t.setCold(now, id, left)
	t.notify(Event{Finding: FoundCold, Upstreams: []string{id}, For: left})
}

func (t *Tracker) setCold(now time.Time, id string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.upstreams[id]; ok && left > 0 {
		s.ColdUntil = now.Add(left)
	}
}

// ReportLeaving records that an upstream appears to be leaving.
func (t *Tracker) ReportLeaving(now time.Time, id string) {
	t.setLeaving(now, id)
	t.notify(Event{Finding: FoundLeaving, Upstreams: []string{id}})
}

func (t *Tracker) setLeaving(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.upstreams[id]; ok {
		s.LeavingUntil = now.Add(leavingPeriod)
	}
}

// ReportReplaced records that another process answers at an upstream's address: the
// upstream is gone, whatever the list says.
func (t *Tracker) ReportReplaced(id string) {
	t.notify(Event{Finding: FoundReplaced, Upstreams: []string{id}})
	t.drop(id)
}

func (t *Tracker) drop(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.upstreams, id)
}

// Len returns the number of known upstreams.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.upstreams)
}
