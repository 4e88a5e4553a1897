// Package tracker keeps what this VM knows of upstreams: which the platform
// lists, which are leaving, cold or in a zone taken out of service, and which
// have failed lately. It answers upstreams that leave, die, turn cold or fail
// part of their requests while their health check is good. Without it a VM goes
// on sending to what is gone, and callers wait for answers that never come.
//
// It reads no clock and opens no connection. It is safe for concurrent use.
package tracker

import (
	"sync"
	"time"
)

const (
	// unreachable is how long an upstream gets nothing after a connection to
	// it could not be made or broke without an answer; it doubles with each
	// further failure in a row up to mostUnreachable. An upstream that starts
	// again does so within some seconds.
	unreachable     = 300 * time.Millisecond
	mostUnreachable = 4 * time.Second
	// leaving is how long an upstream that declined to help is taken for leaving.
	// By then the list says so, unless the platform is away.
	leaving = 4 * time.Second
	// mostDoubled bounds the doublings of unreachable.
	mostDoubled = 8
)

// An Upstream is one that the platform lists.
type Upstream struct {
	ID, Service, Address, Zone string
	Slots                      int
	// Draining says that it takes no new work and will end.
	Draining bool
	// Cold is how much longer it was in cold start when this was read.
	Cold time.Duration
	// StartedAt is when it started, in Unix milliseconds; 0 where unknown.
	StartedAt int64
	// Sequence counts what it wrote to the list since then.
	Sequence int64
}

// A State is an Upstream with what else is known.
type State struct {
	Upstream
	// ColdUntil is when its cold start ends.
	ColdUntil time.Time
	// Outcomes are those of this VM's requests there, and of the others' as far
	// as they have told this one.
	Outcomes Outcomes
	// StepTimeRatio is its measured step time over the promised one: 1 as promised.
	StepTimeRatio float64
	// UnreachableUntil is until when it gets nothing, after broken connections.
	UnreachableUntil time.Time
	// LeavingUntil is until when it is taken for leaving, whatever the list says: it
	// has declined to help, or its health check has failed beside one that had.
	LeavingUntil time.Time
	// Limit is what it has said of how much it takes.
	Limit   Limit
	inRow   int
	heardAt time.Time
	// lapsedAt is when its entry went without its having said that it leaves,
	// after a time without news from the platform.
	lapsedAt time.Time
}

// A Tracker keeps upstreams by ID.
type Tracker struct {
	mu    sync.Mutex
	known map[string]*State
	zones map[string]bool
	// outdated says that others have read the list much further.
	outdated bool
	// removed are the last entries of upstreams that went.
	removed  map[string]Upstream
	listener func(Event)
}

// New returns a Tracker that knows none, and takes that for the truth until it is
// told that its list is outdated.
func New() *Tracker {
	return &Tracker{known: make(map[string]*State), zones: make(map[string]bool), removed: make(map[string]Upstream)}
}

// Put notes an upstream's entry, and says whether it changed anything that
// matters.
func (t *Tracker) Put(now time.Time, u Upstream) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.known[u.ID]
	if (ok && s.after(u)) || t.removed[u.ID].after(u) {
		return false
	}
	if !ok || (u.StartedAt != s.StartedAt && u.StartedAt != 0) {
		// One that started again has nothing left of before.
		s = &State{StepTimeRatio: 1}
		t.known[u.ID] = s
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

// after says that an entry was written after another one of the same upstream.
// A write that the platform carried out late would bring back as ready an
// upstream that has said since that it leaves, or is gone.
func (u Upstream) after(other Upstream) bool {
	if u.StartedAt != other.StartedAt {
		return u.StartedAt > other.StartedAt
	}
	return u.Sequence > other.Sequence
}

// Remove forgets an upstream whose entry is gone. After a time without news of
// the platform an entry may be gone only because it lapsed meanwhile: with
// lapsed, the upstream is used on until Expire, so that the fleet does not stop
// in the seconds that upstreams take to be listed again.
func (t *Tracker) Remove(now time.Time, id string, lapsed bool) (known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.known[id]
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

// mostRemoved bounds how many upstreams that went are remembered.
const mostRemoved = 4096

func (t *Tracker) forget(s *State) {
	delete(t.known, s.ID)
	if len(t.removed) >= mostRemoved {
		clear(t.removed)
	}
	t.removed[s.ID] = s.Upstream
}

// Expire forgets upstreams whose entries lapsed longer ago than so, and names
// them.
func (t *Tracker) Expire(now time.Time, after time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gone []string
	for id, s := range t.known {
		if !s.lapsedAt.IsZero() && now.Sub(s.lapsedAt) >= after {
			t.forget(s)
			gone = append(gone, id)
		}
	}
	return gone
}

// SetDisabledZones replaces the zones whose upstreams get no new work.
func (t *Tracker) SetDisabledZones(zones map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zones = zones
}

// Usable are the upstreams of a service that may get new work.
func (t *Tracker) Usable(now time.Time, service string) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var states []State
	for _, s := range t.known {
		if s.Service != service || !t.may(s) {
			continue
		}
		c := *s
		c.Outcomes.Decay(now)
		states = append(states, c)
	}
	return states
}

// CountUsableByZone are how many upstreams of a service each zone has that may get new work.
func (t *Tracker) CountUsableByZone(service string) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sizes := make(map[string]int)
	for _, s := range t.known {
		if s.Service == service && t.may(s) {
			sizes[s.Zone]++
		}
	}
	return sizes
}

// CountListed is how many upstreams of a service the platform lists, whatever they may
// get.
func (t *Tracker) CountListed(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.known {
		if s.Service == service {
			n++
		}
	}
	return n
}

// IsUsable says whether an upstream may get work at this moment. Whoever sends asks
// right before, since a process may have stood still since it chose.
func (t *Tracker) IsUsable(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.known[id]
	return ok && t.may(s)
}

func (t *Tracker) may(s *State) bool { return !t.outdated && !s.Draining && !t.zones[s.Zone] }

// Get is what is known of an upstream.
func (t *Tracker) Get(id string) (State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.known[id]
	if !ok {
		return State{}, false
	}
	return *s, true
}

// Outdated says that the list is too old to tell which upstreams there are.
func (t *Tracker) Outdated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outdated
}

// SetOutdated says whether this VM's list is so old that upstreams may have left for
// longer than they may get work, and says whether that is new. While it is, none
// may get any, also none that was chosen before: requests wait for the list, or
// are refused as not run.
func (t *Tracker) SetOutdated(outdated bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.outdated != outdated
	t.outdated = outdated
	return changed
}

// ReportFailure notes a request that failed there. Broken says that the connection
// failed, and not the request.
func (t *Tracker) ReportFailure(now time.Time, id string, broken bool) {
	t.fail(now, id, broken)
	found := FoundFailure
	if broken {
		found = FoundConnectionFailure
	}
	t.notify(Event{Finding: found, Upstreams: []string{id}})
}

func (t *Tracker) fail(now time.Time, id string, broken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.known[id]
	if !ok {
		return
	}
	s.Outcomes.Add(now, 1, 0)
	if broken {
		wait := min(mostUnreachable, unreachable<<min(s.inRow, mostDoubled))
		s.UnreachableUntil = now.Add(wait)
		s.inRow++
	}
}

// ReportAnswer notes a request that the upstream has begun to answer.
func (t *Tracker) ReportAnswer(now time.Time, id string) {
	t.answer(now, id)
	t.notify(Event{Finding: FoundAnswer, Upstreams: []string{id}})
}

func (t *Tracker) answer(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.known[id]; ok {
		s.inRow = 0
		s.UnreachableUntil = time.Time{}
		s.heardAt = now
		s.Outcomes.Add(now, 0, 1)
	}
}

// ReportActivity notes a sign of life.
func (t *Tracker) ReportActivity(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.known[id]; ok {
		s.heardAt = now
	}
}

// ReportStall notes that work has not gone on since a time which needs several
// upstreams. One of them may have died, and none says which: it is one that has
// given no sign of life since then. Without this it would stall each prompt that
// it is asked to help with, while the one that was asked gets the blame.
//
// Another VM may have had answers from one that is quiet here, so that those who
// listen are told of the stall and judge for themselves.
func (t *Tracker) ReportStall(now, since time.Time, ids []string) (blamed []string) {
	for _, id := range ids {
		if t.quiet(id, since) {
			t.fail(now, id, true)
			blamed = append(blamed, id)
		}
	}
	t.notify(Event{Finding: FoundStall, Upstreams: ids, For: now.Sub(since)})
	return blamed
}

// quiet says that an upstream has given no sign of life since a time.
func (t *Tracker) quiet(id string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.known[id]
	return ok && s.heardAt.Before(since)
}

// Unreachable are the upstreams that cannot be reached now.
func (t *Tracker) Unreachable(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, s := range t.known {
		if now.Before(s.UnreachableUntil) {
			ids = append(ids, id)
		}
	}
	return ids
}

// ReportCold notes that an upstream said it is in cold start.
func (t *Tracker) ReportCold(now time.Time, id string, left time.Duration) {
	t.turnCold(now, id, left)
	t.notify(Event{Finding: FoundCold, Upstreams: []string{id}, For: left})
}

func (t *Tracker) turnCold(now time.Time, id string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.known[id]; ok && left > 0 {
		s.ColdUntil = now.Add(left)
	}
}

// ReportLeaving notes that an upstream seems to leave.
func (t *Tracker) ReportLeaving(now time.Time, id string) {
	t.leave(now, id)
	t.notify(Event{Finding: FoundLeaving, Upstreams: []string{id}})
}

func (t *Tracker) leave(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.known[id]; ok {
		s.LeavingUntil = now.Add(leaving)
	}
}

// ReportReplaced notes that another process answers at an upstream's address: it is
// gone, whatever the list says.
func (t *Tracker) ReportReplaced(id string) {
	t.notify(Event{Finding: FoundReplaced, Upstreams: []string{id}})
	t.drop(id)
}

func (t *Tracker) drop(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.known, id)
}

// Len is how many upstreams are known.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.known)
}
