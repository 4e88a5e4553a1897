package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// usablePauseShare is the fraction of a tolerated pause that a pass may take;
	// the rest is for delivering the event to the caller.
	usablePauseShare = 0.85
	// costPerSecond is the cost of each second until the first event, on the scale
	// of interference, and costPerPart that of each engine used: with more engines
	// the first event comes sooner, but each of them has one pass that takes longer.
	costPerSecond = 0.5
	costPerPart   = 0.02
	// maxFreePart is the longest part in milliseconds that has no extra cost, and
	// longPartCost the cost for each further maxFreePart. An engine with a long
	// prefill is unavailable for as long to short prompts that arrive meanwhile.
	maxFreePart  = 600.0
	longPartCost = 4.0
	// costPerEngineSecond is the cost of a second of an engine's time.
	costPerEngineSecond = 1.0
	// TypicalOutputShare is the fraction of the maximum output tokens that answers
	// have: a mean of 32 events of 43 tokens with a maximum of 3,400.
	TypicalOutputShare = 0.4
	// freeSlotsPerStream is how many slots must remain free for short prompts, for
	// each running stream, when a late long prompt is placed.
	freeSlotsPerStream = 0.7
	// toleratedInterference is the interference that any request may cause; an
	// OnTime request may cause more, see allowsInterference.
	toleratedInterference = 0.3
	// lateLossShare is the fraction of its value that a late answer has lost.
	lateLossShare = 0.75
)

const (
	// referencePrompt is the prompt length in tokens with a weight of one, that of
	// a typical question. weightExponent is how the weight of a request grows with
	// its prompt length: a late answer to a prompt of thirty times the length
	// wastes more work, but not thirty times as much.
	referencePrompt = 5000.0
	weightExponent  = 0.75
)

// groupSizes are the numbers of parts to evaluate. Larger numbers are sparse,
// because adjacent ones differ little and each takes as long to evaluate.
var groupSizes = [...]int{1, 2, 3, 4, 5, 6, 8, 11, MaxHelpers + 1}

// chooseGroup chooses the engines that prefill a long prompt in parts. It allows
// for many running streams: each part makes one pass of its engine longer. For each
// number of parts it takes the engines with the least interference, and among the
// numbers that the request's urgency permits the one with the lowest cost.
func chooseGroup(e *matcher.Engine, r Request, cs []Candidate, now time.Time, u Urgency) (Placement, bool) {
	fullPrefill := PrefillTime(e, r.Prompt, 1)
	left := float64(r.Objective.Sub(now).Milliseconds())
	best, least := Placement{}, math.Inf(1)
	reason := NoEngine
	for _, n := range groupSizes {
		part := fullPrefill / float64(n)
		order, prefilling := eligibleEngines(e, r, cs, part, u)
		if len(order) < n {
			if prefilling {
				reason = max(reason, NoReader)
			}
			break
		}
		placement, ok := assignMemory(e, r, cs, order, n, part)
		if !ok {
			reason = max(reason, NoMemory)
			continue
		}
		if u >= Late && !leavesHeadroom(cs, placement) {
			reason = max(reason, NoHeadroom)
			continue
		}
		interference, first := evaluate(e, cs, placement, part)
		if first > r.maxUsefulDelay(now) {
			reason = max(reason, TooLate)
			continue
		}
		if !r.allowsInterference(now, u, interference, first <= left) {
			if interference <= toleratedInterference {
				reason = max(reason, TooLate)
			} else {
				reason = max(reason, TooMuchInterference)
			}
			continue
		}
		cost := interference + costPerSecond*first/1000 + costPerPart*float64(n) + longPartCost*max(0, part/maxFreePart-1)
		if cost < least {
			best, least = placement, cost
			best.PrefillTime, best.TimeToFirstEvent = part, first
		}
	}
	if math.IsInf(least, 1) {
		return Placement{Reason: reason}, false
	}
	return best, true
}

// allowsInterference reports whether a request may interfere with others that much,
// given whether its first event would be in time.
//
// An OnTime request may interfere more the longer it has waited: by its loss if it
// were late, times the elapsed fraction of the time to its objective. In a burst,
// engines without streams are rare and stay so. A prompt that waited for them until
// its last moment then needed every engine at once, found the interference too
// great, and was late. With the full bound from the start, short answers would lose
// more than long ones could gain.
func (r Request) allowsInterference(now time.Time, u Urgency, interference float64, inTime bool) bool {
	switch {
	case interference <= toleratedInterference:
		return inTime || u != OnTime
	case u == OnTime:
		passed := float64(now.Sub(r.Arrived)) / float64(max(1, r.Objective.Sub(r.Arrived)))
		return inTime && interference <= passed*lateLossShare*r.weight()
	case u == LastChance:
		return interference <= (1-lateLossShare)*r.weight()
	}
	return false
}

// leavesHeadroom reports whether a placement leaves enough free slots for short
// prompts at engines that prefill no parts. In a burst the number of short prompts
// doubles within a second or two, and an engine that a late prompt has occupied in
// the meantime makes many of them late.
func leavesHeadroom(cs []Candidate, placement Placement) bool {
	running, free := 0, 0
	for i := range cs {
		c := &cs[i]
		running += c.Load.Streams
		if c.Load.Parts > 0 || c.Unreachable || i == placement.Main || slices.Contains(placement.Helpers, i) {
			continue
		}
		free += max(0, c.packingLimit()-c.Load.Streams)
	}
	return float64(free) >= freeSlotsPerStream*float64(running)
}

// maxUsefulDelay is for how many milliseconds from now a first event is still
// useful. Without this limit a late prompt was sent to one engine for a prefill of
// five seconds, two seconds before its caller hung up: nobody got the answer, and
// the engine was unavailable to all others.
func (r Request) maxUsefulDelay(now time.Time) float64 {
	end := r.Deadline
	if !r.CallerTimeout.IsZero() && r.CallerTimeout.Before(end) {
		end = r.CallerTimeout
	}
	return float64(end.Sub(now).Milliseconds())
}

// weight is the request's loss when it is late, relative to that of a typical
// question.
func (r Request) weight() float64 {
	return math.Pow(float64(r.Prompt)/referencePrompt, weightExponent)
}

// evaluate returns the total interference of a placement with other streams, and its
// estimated time to the first event.
func evaluate(e *matcher.Engine, cs []Candidate, placement Placement, part float64) (interference, first float64) {
	for _, i := range append([]int{placement.Main}, placement.Helpers...) {
		interference += cs[i].interference(e, part)
		first = math.Max(first, cs[i].slowness()*TimeToFirstToken(e, cs[i].Load, part))
	}
	return interference, first
}

// interference is the loss of an engine's streams if a part is prefilled there.
func (c *Candidate) interference(e *matcher.Engine, part float64) float64 {
	pass := DecodePassTime(e, c.Load.Streams, c.Load.ContextTokens) + c.Load.PendingPrefill + part
	return lateLossShare * c.Load.PauseWeights.delayedBy(c.slowness()*pass)
}

// eligibleEngines returns the engines that may prefill a part of the given duration
// in milliseconds, ordered by interference, pending work and risk. It also reports
// whether some were excluded because they already prefill a part.
func eligibleEngines(e *matcher.Engine, r Request, cs []Candidate, part float64, u Urgency) (order []int, prefilling bool) {
	costs := make([]float64, len(cs))
	for i := range cs {
		c := &cs[i]
		if c.Quota < 1 || c.Unreachable || c.Cold || c.Leaving || !c.hasSlot(u) {
			continue
		}
		// Two parts at one engine are prefilled alternately: each group waits for
		// the other's part, and neither finishes sooner.
		if (u == OnTime || u == Late) && c.Load.Parts > 0 {
			prefilling = true
			continue
		}
		if slices.Contains(r.Tried, c.ID) {
			continue
		}
		costs[i] = c.interference(e, part) + costPerSecond*(c.slowness()*TimeToFirstToken(e, c.Load, part)+c.penalty(r)+failureCost*c.failureRisk())/1000
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(costs[i], costs[j]) })
	return order, prefilling
}

// assignMemory chooses the engine that generates, and the memory to reserve at
// other engines if none has room for the whole prompt.
func assignMemory(e *matcher.Engine, r Request, cs []Candidate, order []int, n int, part float64) (Placement, bool) {
	need := r.Prompt + r.Output
	main, least, mostFree := -1, math.Inf(1), -1
	for _, i := range order {
		c := &cs[i]
		if c.Load.Streams >= c.Slots || slices.Contains(r.Tried, c.ID) {
			continue
		}
		if mostFree < 0 || c.freeMemory(e) > cs[mostFree].freeMemory(e) {
			mostFree = i
		}
		if !c.fits(e, need) {
			continue
		}
		if cost := c.mainCost(e, r, part); cost < least {
			main, least = i, cost
		}
	}
	switch {
	case main >= 0:
		return Placement{Main: main, Helpers: pickHelpers(order, main, n-1)}, true
	case mostFree >= 0:
		return spreadMemory(e, r, cs, order, n, mostFree)
	}
	return Placement{}, false
}

// mainCost is the cost of having the engine generate. A decode step takes almost as
// long for one stream as for many, so that a stream at an engine that has none takes
// engine time from prompts that could be prefilled there.
func (c *Candidate) mainCost(e *matcher.Engine, r Request, part float64) float64 {
	cost := c.interference(e, part) + costPerSecond*(c.slowness()*TimeToFirstToken(e, c.Load, part)+c.penalty(r)+failureCost*c.failureRisk())/1000
	if c.Load.Streams == 0 {
		cost += costPerEngineSecond * TypicalOutputShare * float64(r.Output) * e.StepTime / 1000
	}
	return cost
}

func pickHelpers(order []int, main, n int) []int {
	var picked []int
	for _, i := range order {
		if i != main && len(picked) < n {
			picked = append(picked, i)
		}
	}
	return picked
}

// spreadMemory reserves the memory that main lacks at as few other engines as can
// hold it, those with the most free memory first. It reserves all of it or fails.
func spreadMemory(e *matcher.Engine, r Request, cs []Candidate, order []int, n, main int) (Placement, bool) {
	left := r.Prompt + r.Output - cs[main].freeMemory(e)
	byFreeMemory := slices.DeleteFunc(slices.Clone(order), func(i int) bool { return i == main })
	slices.SortStableFunc(byFreeMemory, func(i, j int) int { return cs[j].freeMemory(e) - cs[i].freeMemory(e) })
	placement := Placement{Main: main}
	for _, i := range byFreeMemory {
		if left <= 0 || len(placement.Reservations) == MaxHelpers {
			break
		}
		take := min(max(left, minReservation), cs[i].freeMemory(e)-reservationPadding)
		if take < minReservation {
			break
		}
		placement.Reservations = append(placement.Reservations, Reservation{Candidate: i, Tokens: take + reservationPadding})
		placement.Helpers = append(placement.Helpers, i)
		left -= take
	}
	if left > 0 {
		return Placement{}, false
	}
	for _, i := range order {
		if len(placement.Helpers) >= n-1 {
			break
		}
		if i != main && !slices.Contains(placement.Helpers, i) {
			placement.Helpers = append(placement.Helpers, i)
		}
	}
	return placement, true
}
