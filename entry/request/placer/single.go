package placer

import (
	"math"
	"time"

	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// goodFirstEventShare is the fraction of the time to the objective that the
	// first event may take, by estimate, at an engine that counts as good. The
	// rest allows for network round trips and for requests that others send
	// there in the meantime.
	goodFirstEventShare = 0.55
	// goodPendingPrefill is the prefill time in milliseconds that may accumulate
	// at an engine that counts as good. All prompts prefilled in one pass get
	// their first token when it ends, so that each new prompt delays those sent
	// before it.
	goodPendingPrefill = 60.0
	// slotWaitCost is the cost in milliseconds of each request that waits ahead
	// for a slot: the time of a typical answer divided by the number of slots.
	slotWaitCost = 100.0
	// freeSlotsDivisor is the reciprocal of the share of an engine's slots that is
	// kept free when short prompts are packed. The next burst finds these slots; a
	// prompt that finds none waits until a stream ends.
	freeSlotsDivisor = 5
)

// chooseSingle chooses the engine of a short prompt. Of the engines with a good
// estimated response time it takes the one that already has the most streams, so
// that other engines stay free of them: a part of a long prompt delays nobody at an
// engine without short prompts. This matters when short and long prompts arrive
// together; with short prompts spread evenly over all engines, every fourth pass
// that served them also prefilled a part of a long prompt.
func chooseSingle(e *matcher.Engine, r Request, cs []Candidate, now time.Time, u Urgency) (Placement, bool) {
	prefill := PrefillTime(e, r.Prompt, 1)
	good := goodFirstEventShare * float64(r.Objective.Sub(r.Arrived).Milliseconds())
	bound := math.Inf(1)
	if u == OnTime {
		// A slot at another engine becomes free sooner than an engine finishes a
		// long prefill.
		bound = float64(r.Objective.Sub(now).Milliseconds())
	}
	best, least, mostStreams := -1, math.Inf(1), -1
	reason := NoEngine
	if u == Late && !hasHeadroom(cs) {
		return Placement{Reason: NoHeadroom}, false
	}
	for i := range cs {
		c := &cs[i]
		if c.Quota < 1 || !c.hasSlot(u) || !c.fits(e, r.Prompt+r.Output) {
			continue
		}
		cost := c.slowness()*TimeToFirstToken(e, c.Load, prefill) + c.penalty(r) + failureCost*c.failureRisk() + slotWaitCost*float64(max(0, c.Load.Streams+1-c.Slots))
		if cost > bound {
			reason = TooLate
			continue
		}
		streams := -1
		if cost <= good && c.Load.Parts == 0 && c.Load.PendingPrefill+prefill <= max(goodPendingPrefill, prefill) && c.Load.Streams < c.packingLimit() {
			streams = c.Load.Streams
		}
		if streams > mostStreams || (streams == mostStreams && cost < least) {
			best, least, mostStreams = i, cost, streams
		}
	}
	if best < 0 {
		return Placement{Reason: reason}, false
	}
	return Placement{Main: best, PrefillTime: prefill, TimeToFirstEvent: least}, true
}

// PackingLimit is the number of streams up to which an engine with so many slots is filled.
func PackingLimit(slots int) int { return slots - max(1, slots/freeSlotsDivisor) }

func (c *Candidate) packingLimit() int { return PackingLimit(c.Slots) }

// hasHeadroom reports whether a fifth of the engines' slots is free. Late prompts
// must leave that many. Otherwise, in a burst that exceeds the capacity, each slot
// that becomes free would go to a late request that waits, and a request that
// arrives then would find none and be late as well: for lack of a twentieth of the
// capacity, all requests were late by a second. With headroom most requests are in
// time, and late ones follow after the burst or are told to retry.
func hasHeadroom(cs []Candidate) bool {
	free, slots := 0, 0
	for i := range cs {
		c := &cs[i]
		if c.Quota < 1 || c.Unreachable {
			continue
		}
		free += max(0, c.Slots-c.Load.Streams)
		slots += c.Slots
	}
	return freeSlotsDivisor*free >= slots
}

// hasSlot reports whether the engine can take one more request now. With LastChance
// the request may also wait at the engine, behind at most as many requests as it
// has slots.
func (c *Candidate) hasSlot(u Urgency) bool {
	if u == OnTime || u == Late {
		return c.Load.Streams < c.Slots
	}
	return c.Load.Streams < 2*c.Slots
}

func (c *Candidate) fits(e *matcher.Engine, tokens int) bool {
	return tokens <= c.freeMemory(e)
}

func (c *Candidate) freeMemory(e *matcher.Engine) int {
	return usableMemory(e) - c.Load.ContextTokens - c.UnreportedTokens
}

func usableMemory(e *matcher.Engine) int { return int(usableMemoryShare * float64(e.KVCapacity)) }

// MemoryOfOthers is how many tokens a VM that decides alone leaves to the other VMs at an
// engine: half of what requests may fill. An engine whose requests exceed its memory fails
// all of them.
func MemoryOfOthers(e *matcher.Engine) int { return usableMemory(e) / 2 }
