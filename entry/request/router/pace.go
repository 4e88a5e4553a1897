package router

import "github.com/heathervane/heathervane/entry/request/admitter"

// EstimateCapacity gives what a prompt of that many tokens may expect of the candidates. It
// counts only those of its kind where some are set apart, and for a short prompt
// only those that are not reading a long one: their rate is not to be had, and
// the work unread there does not delay it. Counted in, a few documents made
// short questions look too late on a fleet that was half idle, and on one that
// reads a document on every engine they made each VM refuse them that saw it so.
func EstimateCapacity(cs []Candidate, tokens int) admitter.Capacity {
	n := need{long: IsLongPrompt(tokens), split: split(cs)}
	var all, free admitter.Capacity
	for i := range cs {
		c := &cs[i]
		if !n.kind(c) {
			continue
		}
		c.add(&all)
		if rate := c.rate(); c.backlog(rate) <= hold*rate {
			c.add(&free)
		}
	}
	if n.long {
		return all
	}
	if free.PrefillRate == 0 {
		if !n.split {
			// Engines that take everything read short prompts before long ones.
			// What stands there counts as far as it may be short prompts, of
			// which the router sends no more than this ahead.
			all.PrefillLeft = min(all.PrefillLeft, hold*all.PrefillRate)
		}
		return all
	}
	free.Slots, free.Running = all.Slots, all.Running
	return free
}

// add counts the candidate in with this VM's share of it, which is at least
// one slot's: a VM that has used nothing yet has been lent nothing yet.
func (c *Candidate) add(p *admitter.Capacity) {
	slots := max(1, c.FreeSlots+c.OwnStreams)
	share := min(1, float64(slots)/float64(max(1, c.Slots)))
	p.Slots += slots
	p.Running += c.OwnStreams
	p.PrefillRate += c.rate() * share
	p.PrefillLeft += c.backlog(c.rate()) * share
	p.UpstreamPrefillRate = max(p.UpstreamPrefillRate, c.rate())
	p.DecodeRate = max(p.DecodeRate, c.DecodeRate*c.speed())
}

// rate is the prompt tokens per second that the candidate really reads.
func (c *Candidate) rate() float64 { return c.PrefillRate * c.speed() }

func (c *Candidate) speed() float64 {
	if c.SpeedRatio <= 0 {
		return 1
	}
	return c.SpeedRatio
}
