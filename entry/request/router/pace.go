package router

import "github.com/heathervane/heathervane/entry/request/admitter"

// EstimateCapacity returns the capacity that a prompt of the given length can
// expect of the candidates. If some are reserved for long prompts, it counts only
// those that match the length; for a short prompt it also omits those that are
// reading a long one, because their rate is not available and their unread work
// does not delay a short prompt. When they were counted, a few documents made
// short requests look too late on a half-idle fleet, and on a fleet reading a
// document on every engine each VM that saw it rejected short requests.
func EstimateCapacity(cs []Candidate, tokens int) admitter.Capacity {
	pc := pickContext{long: IsLongPrompt(tokens), reserved: someReserved(cs)}
	var all, free admitter.Capacity
	for i := range cs {
		c := &cs[i]
		if !pc.matchesPromptLength(c) {
			continue
		}
		c.addTo(&all)
		if rate := c.effectivePrefillRate(); c.backlog(rate) <= maxBacklog*rate {
			c.addTo(&free)
		}
	}
	if pc.long {
		return all
	}
	if free.PrefillRate == 0 {
		if !pc.reserved {
			// Engines that are not reserved read short prompts before long ones.
			// Their unread work therefore counts only as far as it may be short
			// prompts, of which the router sends no more than this ahead.
			all.PrefillLeft = min(all.PrefillLeft, maxBacklog*all.PrefillRate)
		}
		return all
	}
	free.Slots, free.Running = all.Slots, all.Running
	return free
}

// addTo adds this VM's share of the candidate to the capacity. The share is at
// least one slot, because a VM that has used nothing yet has no lent slots.
func (c *Candidate) addTo(capacity *admitter.Capacity) {
	slots := max(1, c.FreeSlots+c.OwnStreams)
	share := min(1, float64(slots)/float64(max(1, c.Slots)))
	capacity.Slots += slots
	capacity.Running += c.OwnStreams
	capacity.PrefillRate += c.effectivePrefillRate() * share
	capacity.PrefillLeft += c.backlog(c.effectivePrefillRate()) * share
	capacity.UpstreamPrefillRate = max(capacity.UpstreamPrefillRate, c.effectivePrefillRate())
	capacity.DecodeRate = max(capacity.DecodeRate, c.DecodeRate*c.effectiveSpeed())
}

// effectivePrefillRate is the prompt tokens per second that the candidate really
// reads.
func (c *Candidate) effectivePrefillRate() float64 { return c.PrefillRate * c.effectiveSpeed() }

func (c *Candidate) effectiveSpeed() float64 {
	if c.SpeedRatio <= 0 {
		return 1
	}
	return c.SpeedRatio
}
