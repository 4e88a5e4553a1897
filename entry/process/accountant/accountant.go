// Package accountant decides how much memory requests may use on a VM, by kind and team,
// and which responses are ended when memory is short. It answers callers and upstreams
// that read slowly: what is received for them and not yet sent stays on the VM, and a few
// hundred such callers would otherwise exceed the memory of a small one.
//
// A team may use a multiple of what is free, so that no team takes all of it whatever the
// number of teams. It does no I/O and has no clock of its own.
package accountant

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// A Kind is what memory is used for.
type Kind int

const (
	// Sockets are the buffers of a request's connections.
	Sockets Kind = iota
	// Bodies are request bodies.
	Bodies
	// Responses are buffered responses.
	Responses
	// Events are events of streams that are not yet written to their callers.
	Events
	// NumKinds is the number of kinds.
	NumKinds
)

// String returns the kind as one word.
func (k Kind) String() string {
	words := [NumKinds]string{"sockets", "bodies", "responses", "events"}
	if k < 0 || k >= NumKinds {
		return "unknown"
	}
	return words[k]
}

const (
	// newFactor and growFactor are the multiples of the free memory that a team may use,
	// for new requests and for those in progress. The difference keeps memory for
	// requests that are already running upstream.
	newFactor  = 4
	growFactor = 16
	// patience is how far behind a response must be to be ended for another request.
	patience = 3 * time.Second
	// releaseWindow is the time constant of the average rate at which memory is returned.
	releaseWindow = 2 * time.Second
	// minRetryAfter and maxRetryAfter limit RetryAfter. After patience responses that hold
	// up new requests are ended.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = patience
)

// Limits are the limits of an Accountant.
type Limits struct {
	// Total is the memory in bytes.
	Total int64
	// BodiesOnly limits request bodies alone, without regard to teams, and ends no
	// response.
	BodiesOnly bool
}

// An Accountant divides the memory of a VM among its requests.
type Accountant struct {
	mu      sync.Mutex
	limits  Limits
	used    int64
	byKind  [NumKinds]int64
	byTeam  map[string]int64
	holders map[*Holder]struct{}
	// released is the sum of the memory returned, where older returns weigh less, as of
	// releasedAt.
	released   float64
	releasedAt time.Time
}

// New returns an Accountant without requests.
func New(l Limits) *Accountant {
	return &Accountant{limits: l, byTeam: make(map[string]int64), holders: make(map[*Holder]struct{})}
}

// SetLimits changes the limits. Memory in use beyond them stays in use.
func (a *Accountant) SetLimits(l Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = l
}

// A Holder is a request that uses memory. Its methods may be called concurrently.
type Holder struct {
	accountant *Accountant
	team       string
	// end ends the response to the request.
	end  func(Ending)
	held [NumKinds]int64
	// ending is set once end was called, and closed by Close.
	ending, closed bool
	// behindSince is when the oldest data that the caller has not taken was ready, in
	// nanoseconds since 1970; 0 if there is none.
	behindSince atomic.Int64
}

// An Ending is why a response is ended.
type Ending struct {
	// Behind is for how long its caller has not taken what was ready, and Held the memory
	// of the request in bytes.
	Behind time.Duration
	Held   int64
	// Team is the team of the request that needs memory, and Lacking how much it lacked.
	Team    string
	Lacking int64
}

// Open returns a Holder without memory for a request. Its end is called at most once and
// never after Close, with the Accountant's lock held: it must not block or use the
// Accountant.
func (a *Accountant) Open(team string, end func(Ending)) *Holder {
	h := &Holder{accountant: a, team: team, end: end}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[h] = struct{}{}
	return h
}

// Admit takes memory for a new request. It takes nothing and returns false if too little
// is free; responses that are far behind may be ended then.
func (h *Holder) Admit(now time.Time, k Kind, n int64) bool {
	return h.take(now, k, n, newFactor)
}

// Grow is like Admit for a request in progress, for which more is left. Only responses
// that are further behind than its own may be ended.
func (h *Holder) Grow(now time.Time, k Kind, n int64) bool {
	return h.take(now, k, n, growFactor)
}

func (h *Holder) take(now time.Time, k Kind, n, factor int64) bool {
	a := h.accountant
	a.mu.Lock()
	defer a.mu.Unlock()
	if n < 0 || h.closed {
		return false
	}
	if a.limits.BodiesOnly {
		if k != Bodies {
			return true
		}
		if a.used+n > a.limits.Total {
			return false
		}
	} else if lacking := a.lacking(h.team, n, factor); lacking > 0 {
		a.endSlowest(now, lacking, h)
		return false
	}
	h.held[k] += n
	a.byKind[k] += n
	a.byTeam[h.team] += n
	a.used += n
	return true
}

// lacking returns how much must become free before a team may take n more.
func (a *Accountant) lacking(team string, n, factor int64) int64 {
	needed := (a.byTeam[team] + n + factor - 1) / factor
	return needed - (a.limits.Total - a.used - n)
}

// endSlowest ends the responses that are furthest behind, until lacking is covered by what
// they hold, for a request that needs memory. It spares teams that hold less than that of
// the request.
func (a *Accountant) endSlowest(now time.Time, lacking int64, needy *Holder) {
	for h := range a.holders {
		if h.ending {
			lacking -= h.total()
		}
	}
	latest := now.Add(-patience).UnixNano()
	if own := needy.behindSince.Load(); own != 0 {
		latest = min(latest, own-1)
	}
	for lacking > 0 {
		var slowest *Holder
		least := latest
		for h := range a.holders {
			since := h.behindSince.Load()
			if since != 0 && since <= least && !h.ending && a.byTeam[h.team] >= a.byTeam[needy.team] {
				slowest, least = h, since
			}
		}
		if slowest == nil {
			return
		}
		slowest.ending = true
		slowest.end(Ending{Behind: time.Duration(now.UnixNano() - least), Held: slowest.total(), Team: needy.team, Lacking: lacking})
		lacking -= slowest.total()
	}
}

func (h *Holder) total() (sum int64) {
	for _, n := range h.held {
		sum += n
	}
	return sum
}

// Release returns memory of a kind, at most what the request holds of it.
func (h *Holder) Release(now time.Time, k Kind, n int64) {
	h.accountant.mu.Lock()
	defer h.accountant.mu.Unlock()
	h.release(now, k, n)
}

func (h *Holder) release(now time.Time, k Kind, n int64) {
	a := h.accountant
	n = max(0, min(n, h.held[k]))
	if n == 0 {
		return
	}
	h.held[k] -= n
	a.byKind[k] -= n
	a.used -= n
	if a.byTeam[h.team] -= n; a.byTeam[h.team] == 0 {
		delete(a.byTeam, h.team)
	}
	a.released = a.decayedReleases(now) + float64(n)
	a.releasedAt = now
}

func (a *Accountant) decayedReleases(now time.Time) float64 {
	return a.released * math.Exp(-max(0, now.Sub(a.releasedAt).Seconds())/releaseWindow.Seconds())
}

// Close returns all memory of the request. It may be called more than once, and on nil.
func (h *Holder) Close(now time.Time) {
	if h == nil {
		return
	}
	h.accountant.mu.Lock()
	defer h.accountant.mu.Unlock()
	for k := range NumKinds {
		h.release(now, k, h.held[k])
	}
	h.closed = true
	delete(h.accountant.holders, h)
}

// Behind records since when data is ready that the caller has not taken. It is called
// before each write to the caller, CaughtUp after it.
func (h *Holder) Behind(since time.Time) { h.behindSince.Store(since.UnixNano()) }

// CaughtUp records that the caller has taken all data that was ready.
func (h *Holder) CaughtUp() { h.behindSince.Store(0) }

// RetryAfter returns after how long a new request of a team that needs n is likely to get
// it, by the rate at which memory was returned recently.
func (a *Accountant) RetryAfter(now time.Time, team string, n int64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	lacking := float64(a.lacking(team, n, newFactor))
	perSecond := a.decayedReleases(now) / releaseWindow.Seconds()
	if lacking >= perSecond*maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(minRetryAfter, time.Duration(lacking/perSecond*float64(time.Second)))
}

// A Usage is the memory in use, in bytes.
type Usage struct {
	Total, Used int64
	ByKind      [NumKinds]int64
	// Team is what the team in question uses.
	Team int64
}

// Usage returns the memory in use, and that of one team.
func (a *Accountant) Usage(team string) Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Total: a.limits.Total, Used: a.used, ByKind: a.byKind, Team: a.byTeam[team]}
}
