package placer

import (
	"math"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// maxSinglePrefill is the longest prefill in milliseconds that one engine
	// does alone. Splitting a shorter one would make no noticeable difference
	// to the length of any pass.
	maxSinglePrefill = 100.0
	// MaxHelpers is how many engines may help with a prefill. The engines
	// themselves set this limit.
	MaxHelpers = 16
	// otherZoneCost is the cost in milliseconds of another availability zone:
	// one network round trip.
	otherZoneCost = 3.0
	// failureCost is the cost in milliseconds of a failed attempt at an engine.
	// It exceeds the longest wait for a working engine: an engine that fails at
	// once has no work and would otherwise attract every request of a burst.
	// plainFailureCost is the same for plain services, where some responses
	// are failures anyway.
	failureCost      = 10_000.0
	plainFailureCost = 300.0
	// priorAnswers is added to the number of answered requests of an upstream,
	// so that one failure after many answers counts for little.
	priorAnswers = 1.0
	// coldCost is the cost in milliseconds of a cold start.
	coldCost = 100.0
	// leavingCost is the cost in milliseconds of an upstream that seems to be
	// shutting down.
	leavingCost = 100.0
	// plainRequestCost is the estimated time in milliseconds that each request
	// in progress at a plain service adds to the next one.
	plainRequestCost = 20.0
	// usableMemoryShare is the fraction of an engine's memory that requests may
	// fill. An engine that runs out of memory preempts its newest stream and
	// prefills it again.
	usableMemoryShare = 0.92
	// minReservation is the fewest tokens worth reserving at another engine.
	minReservation = 8000
	// reservationPadding is added to each reservation, in tokens, because
	// engines allocate memory in blocks.
	reservationPadding = 64
)

// Candidate is an upstream that may get the request.
type Candidate struct {
	ID, Zone string
	Load     Load
	// UnreportedTokens is the memory that requests may hold there of which Load has none,
	// because other VMs place them without a report.
	UnreportedTokens int
	Slots            int
	// Quota is how many requests may be sent there now; it is small during a
	// cold start. Unreachable says that connections to it have just failed or
	// that the requesting VM cannot connect to it.
	Quota       int
	Cold        bool
	Unreachable bool
	// Leaving says that it seems to be shutting down: it no longer helps with
	// prefills, and a stream there may be cut off.
	Leaving bool
	// Failed and Answered count recent requests of all VMs that failed there or
	// were answered; older ones weigh less.
	Failed, Answered float64
	// Slowness is how many times longer than expected it takes; 0 is the same as 1.
	Slowness float64
	// SameZone says that it is in this VM's availability zone.
	SameZone bool
}

// slowness returns the factor by which estimated times there are longer.
func (c *Candidate) slowness() float64 { return max(1, c.Slowness) }

// Request is a request to be placed.
type Request struct {
	// Prompt and Output are its tokens; zero for plain services.
	Prompt, Output int
	// MaxPause is the longest pause between events in milliseconds that its
	// caller tolerates.
	MaxPause float64
	// Objective is the time by which the first event should arrive, Deadline
	// the time by which the request must have ended. CallerTimeout is when the
	// caller hangs up if it has no first event; zero if that is not known.
	Arrived, Objective, Deadline, CallerTimeout time.Time
	// Tried are the IDs of upstreams that have already failed this request.
	Tried []string
}

// Reservation is memory to be reserved at an upstream.
type Reservation struct {
	Candidate int
	Tokens    int
}

// Placement says where a request runs: at Main, with Helpers sharing the
// prefill and memory reserved as in Reservations. Main, Helpers and the
// reservations refer to candidates by index.
type Placement struct {
	Main         int
	Helpers      []int
	Reservations []Reservation
	// PrefillTime is the prefill time of each part in milliseconds.
	PrefillTime float64
	// TimeToFirstEvent is estimated, in milliseconds.
	TimeToFirstEvent float64
	// Reason says why no placement was found.
	Reason Reason
}

// Reason is why a request cannot be placed. A placement must meet several
// conditions in turn; Reason is the furthest one that failed.
type Reason int

const (
	// NoEngine means that no upstream may be used, or none has a free slot.
	NoEngine Reason = iota
	// NoReader means that the engines are busy with parts of other long
	// prompts.
	NoReader
	// NoMemory means that no engine, and no group of engines, has the memory.
	NoMemory
	// NoHeadroom means that too few slots would be left for later requests.
	NoHeadroom
	// TooLate means that the first event would be late.
	TooLate
	// TooMuchInterference means that too many other streams would be delayed.
	TooMuchInterference
	// NumReasons is the number of reasons.
	NumReasons
)

// String returns the reason as one word.
func (r Reason) String() string {
	words := [NumReasons]string{"engine", "reader", "memory", "headroom", "time", "interference"}
	if r < 0 || r >= NumReasons {
		return "unknown"
	}
	return words[r]
}

// ChoosePlain chooses the upstream of a plain service with the lowest estimated
// cost: few requests in progress, few recent failures, preferably in this zone.
// It returns false if all are full.
func ChoosePlain(r Request, cs []Candidate) (Placement, bool) {
	best, least := -1, math.Inf(1)
	for i := range cs {
		c := &cs[i]
		if c.Quota < 1 || c.Load.Streams >= max(1, c.Slots) {
			continue
		}
		// A slow upstream takes as much longer for the new request too.
		cost := plainRequestCost*(float64(c.Load.Streams+1)*c.slowness()-1) + plainFailureCost*c.failureRisk() + c.penalty(r)
		if cost < least {
			best, least = i, cost
		}
	}
	if best < 0 {
		return Placement{Reason: NoEngine}, false
	}
	return Placement{Main: best, TimeToFirstEvent: least}, true
}

// penalty is the cost of an upstream besides its load, in milliseconds. Upstreams
// that failed this request, or cannot be reached, come after all others.
func (c *Candidate) penalty(r Request) float64 {
	cost := 0.0
	if !c.SameZone {
		cost = otherZoneCost
	}
	if c.Cold {
		cost += coldCost
	}
	if c.Leaving {
		cost += leavingCost
	}
	if c.Unreachable {
		cost += 1e5
	}
	if slices.Contains(r.Tried, c.ID) {
		cost += 1e6
	}
	return cost
}

// failureRisk is the squared share of an upstream's recent requests that failed. It
// is squared because rare failures cost only an occasional retry, while an upstream
// that fails most requests fails the retries as well.
func (c *Candidate) failureRisk() float64 {
	p := c.Failed / (c.Failed + c.Answered + priorAnswers)
	return p * p
}

// IsShort reports whether one engine should prefill the prompt alone.
func IsShort(e *matcher.Engine, prompt int) bool {
	return PrefillTime(e, prompt, 1) <= maxSinglePrefill
}

// Urgency says how much a request may delay others.
type Urgency int

const (
	// OnTime requests can still meet their objective, and take only placements
	// that delay others little.
	OnTime Urgency = iota
	// Late requests can no longer meet their objective and give way to those
	// that can.
	Late
	// LastChance requests are late and must start soon to finish at all. They may
	// delay others by no more than the value that a late answer still has.
	LastChance
)

// ChooseEngines chooses the engines for a prompt. It returns false if the request
// should wait.
func ChooseEngines(e *matcher.Engine, r Request, cs []Candidate, now time.Time, u Urgency) (Placement, bool) {
	if IsShort(e, r.Prompt) {
		return chooseSingle(e, r, cs, now, u)
	}
	return chooseGroup(e, r, cs, now, u)
}
