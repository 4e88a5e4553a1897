package placer

import (
	"math"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// shortRead is the reading time in milliseconds up to which a prompt is
	// read by one engine: below a pass of some streams, a part more or less
	// changes no pass that anybody notices.
	shortRead = 100.0
	// MaxHelpers is the most engines that help to read, the engines' own bound.
	MaxHelpers = 16
	// far is what another availability zone costs in milliseconds: the way
	// there and back.
	far = 3.0
	// failure is what a failed try at an engine counts for in milliseconds. It
	// is above the longest wait for an engine that answers: one that fails at
	// once has no work, and is the nearest place in a burst. plainFailure is the
	// same at a plain service, of whose answers some are failures by themselves.
	failure      = 10_000.0
	plainFailure = 300.0
	// priorAnswers is how many answered requests an upstream is given besides those
	// that are known, so that one failure after many answers counts for little.
	priorAnswers = 1.0
	// cold is what a cold start counts for in milliseconds.
	cold = 100.0
	// leaving is what counts against an upstream that seems to leave, in
	// milliseconds.
	leaving = 100.0
	// plainSlot is the estimated time in milliseconds that each request under
	// way at a plain service adds for the next.
	plainSlot = 20.0
	// memorySpare is the part of an engine's memory that prompts may fill. An
	// engine whose memory runs out stops its newest stream in the middle and
	// reads it again.
	memorySpare = 0.92
	// smallTicket is the fewest tokens worth setting aside at another engine.
	smallTicket = 8000
	// ticketRound is added to what is set aside, as engines keep memory in
	// blocks.
	ticketRound = 64
)

// A Candidate is an upstream that may get the request.
type Candidate struct {
	ID, Zone string
	Load     Load
	Slots    int
	// Quota is how many requests may be sent there now; cold upstreams bear
	// few. Silent says that connections to it have just failed.
	Quota       int
	Cold        bool
	Unreachable bool
	// Leaving says that it seems to leave: it helps nobody any more, and a stream
	// there may be cut.
	Leaving bool
	// Failed and Answered are recent requests of all VMs that failed there or
	// were answered, older ones counting less.
	Failed, Answered float64
	// SameZone says that it is in this VM's zone.
	SameZone bool
}

// An Request is a request for a place.
type Request struct {
	// Prompt and Output are its tokens; zero for plain services.
	Prompt, Output int
	// MaxPause is the longest pause between events in milliseconds that its
	// caller bears.
	MaxPause float64
	// Objective is when a first event is in time, Deadline when all is over.
	// CallerTimeout is when the caller leaves without a first event; zero where that
	// is not known.
	Arrived, Objective, Deadline, CallerTimeout time.Time
	// Tried are upstreams that have failed this request.
	Tried []string
}

// A Reservation is memory to be set aside at an upstream.
type Reservation struct {
	Candidate int
	Tokens    int
}

// A Placement says where a request runs: at Main, read with the help of Helpers,
// with memory set aside at those in Tickets.
type Placement struct {
	Main         int
	Helpers      []int
	Reservations []Reservation
	// PrefillTime is each part's reading time in milliseconds.
	PrefillTime float64
	// TimeToFirstEvent is the estimated time to the first event in milliseconds.
	TimeToFirstEvent float64
	// Reason says why there is no place, where there is none.
	Reason Reason
}

// A Reason is why there is no place for a request: of the conditions that a place
// must meet, the furthest one at which it fell short.
type Reason int

const (
	// NoEngine is that no upstream may be used, or none has a slot.
	NoEngine Reason = iota
	// NoReader is that those read parts of other long prompts.
	NoReader
	// NoMemory is that none, and no group, has the memory.
	NoMemory
	// NoHeadroom is that too little would be left for what comes next.
	NoHeadroom
	// TooLate is that the first event would be late.
	TooLate
	// TooMuchInterference is that too many streams of others would become late.
	TooMuchInterference
	// NumReasons is how many there are.
	NumReasons
)

// String gives the reason in one word.
func (l Reason) String() string {
	words := [NumReasons]string{"engine", "reader", "memory", "headroom", "time", "interference"}
	if l < 0 || l >= NumReasons {
		return "unknown"
	}
	return words[l]
}

// ChoosePlain chooses among the upstreams of a plain service: the one with the fewest
// requests for its slots, this zone's first. It says false where all are full.
func ChoosePlain(a Request, cs []Candidate) (Placement, bool) {
	best, least := -1, math.Inf(1)
	for i := range cs {
		c := &cs[i]
		if c.Quota < 1 || c.Load.Streams >= max(1, c.Slots) {
			continue
		}
		cost := plainSlot*float64(c.Load.Streams) + plainFailure*c.failing() + c.dislike(a)
		if cost < least {
			best, least = i, cost
		}
	}
	if best < 0 {
		return Placement{Reason: NoEngine}, false
	}
	return Placement{Main: best, TimeToFirstEvent: least}, true
}

// dislike is what counts against an upstream beside its work, in milliseconds.
// Those that failed this request, or cannot be reached, come after all others.
func (c *Candidate) dislike(a Request) float64 {
	cost := 0.0
	if !c.SameZone {
		cost = far
	}
	if c.Cold {
		cost += cold
	}
	if c.Leaving {
		cost += leaving
	}
	if c.Unreachable {
		cost += 1e5
	}
	if slices.Contains(a.Tried, c.ID) {
		cost += 1e6
	}
	return cost
}

// failing is the part of its requests that an upstream seems to fail, squared:
// one that fails few costs a second try now and then, and one that fails most
// fails that as well.
func (c *Candidate) failing() float64 {
	p := c.Failed / (c.Failed + c.Answered + priorAnswers)
	return p * p
}

// IsShort says that a prompt is read by one engine.
func IsShort(e *matcher.Engine, prompt int) bool { return PrefillTime(e, prompt, 1) <= shortRead }

// Urgency says what a request may cost others.
type Urgency int

const (
	// OnTime requests take only places that are good for all.
	OnTime Urgency = iota
	// Late requests can no longer be in time, and stand behind those that can.
	Late
	// LastChance requests are late and must begin soon to end at all, and may cost
	// others no more than a late answer is still worth.
	LastChance
)

// ChooseEngines chooses engines for a prompt, or says false where it had better wait.
func ChooseEngines(e *matcher.Engine, a Request, cs []Candidate, now time.Time, m Urgency) (Placement, bool) {
	if IsShort(e, a.Prompt) {
		return single(e, a, cs, now, m)
	}
	return group(e, a, cs, now, m)
}
