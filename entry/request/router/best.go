package router

import (
	"math/rand/v2"
	"time"

	"github.com/heathervane/heathervane/entry/request/admitter"
)

const (
	// longPrompt is the prompt length in tokens from which a prompt counts as
	// long: the brief's one in fifty is over a hundred thousand, and a prompt
	// of this length already holds an engine for seconds.
	longPrompt = 64 << 10
	// hold is the most work in seconds that an engine may have unread when it
	// is sent more. Work beyond that is better kept here, where it can still
	// go elsewhere; it must exceed a report's usual lag, or engines run dry.
	hold = 0.5
	// holdLong is the same for a long prompt, which gains less from waiting.
	holdLong = 2.0
	// far is the seconds there and back to another availability zone: 3 ms
	// by the brief's figures, counted twice for the connection's own delay.
	far = 0.006
	// cold is the seconds by which an engine in cold start is disliked.
	cold = 0.25
	// apart is the seconds by which a short prompt dislikes an engine that is
	// set apart for long ones.
	apart = 0.25
	// cachedPart is what is thought to be left to read of a prompt whose
	// prefix is cached.
	cachedPart = 0.3
	// detour is the most seconds that a cache hint may be worth. A hint can be
	// wrong, so that it never makes up for a queue.
	detour = 0.25
	// near is the difference in seconds below which estimates count as equal,
	// and nearPart the same as a part of the best. VMs that see the same
	// reports spread over the near-equal instead of herding onto one.
	near     = 0.02
	nearPart = 0.25
	// slow is the measured speed below which an engine is probed only.
	slow = 0.5
	// probe is one in how many picks of short prompts tries a slow engine
	// that runs nothing of this VM, to find out whether it has recovered.
	probe = 64
	// probeTokens bounds the prompts that probe.
	probeTokens = 4 << 10
	// early is how many answer tokens are counted beside the first, so that
	// an engine slow in decoding is disliked also where nothing waits.
	early = 32
)

// best estimates for each candidate the time to the first token.
type best struct {
	rand *rand.Rand
	fits []fit
}

// A fit is a candidate that can take the ask, and its estimate in seconds.
type fit struct {
	index int
	cost  float64
}

// Pick takes one of those with nearly the least estimated time.
func (p *best) Pick(_ time.Time, a admitter.Ask, cs []Candidate) (int, bool) {
	long := a.Tokens > longPrompt
	apart := long && anyLong(cs)
	p.fits = p.fits[:0]
	least := 0.0
	for i := range cs {
		c := &cs[i]
		if !c.takes(&a) || (apart && !c.Long) || (c.slow() && c.Mine+c.Sent > 0) {
			continue
		}
		cost, ok := c.cost(&a, long)
		if !ok {
			continue
		}
		if len(p.fits) == 0 || cost < least {
			least = cost
		}
		p.fits = append(p.fits, fit{i, cost})
	}
	if len(p.fits) == 0 {
		return 0, false
	}
	if i, ok := p.probe(&a, cs); ok {
		return i, true
	}
	return p.among(least + max(near, nearPart*least)), true
}

// among chooses at random among those up to a bound.
func (p *best) among(bound float64) int {
	index, seen := 0, 0
	for _, f := range p.fits {
		if f.cost > bound {
			continue
		}
		seen++
		if p.rand.IntN(seen) == 0 {
			index = f.index
		}
	}
	return index
}

// probe now and then chooses a slow engine. Without probes an engine once seen
// slow would get nothing and so never be seen to have recovered; with more
// than one at a time, a slow engine would spoil more answers than needed.
func (p *best) probe(a *admitter.Ask, cs []Candidate) (int, bool) {
	if a.Tokens > probeTokens || p.rand.IntN(probe) != 0 {
		return 0, false
	}
	index, seen := 0, 0
	for _, f := range p.fits {
		if !cs[f.index].slow() {
			continue
		}
		seen++
		if p.rand.IntN(seen) == 0 {
			index = f.index
		}
	}
	return index, seen > 0
}

func (c *Candidate) slow() bool { return c.Speed > 0 && c.Speed < slow }

// cost is the estimated seconds to the first token, or false where the engine
// has so much unread that the ask had better wait.
func (c *Candidate) cost(a *admitter.Ask, long bool) (float64, bool) {
	speed := c.Speed
	if speed <= 0 {
		speed = 1
	}
	rate := max(c.Prefill, 1) * speed
	backlog := c.backlog(rate) / rate
	bound := hold
	if long {
		bound = holdLong
	}
	if backlog > bound {
		return 0, false
	}
	read := float64(a.Tokens) / rate
	if c.Cached {
		read -= min(read*(1-cachedPart), detour)
	}
	cost := backlog + read
	decode := max(c.Decode, 1) * speed
	cost += float64(min(a.Output, early)) / decode
	if over := c.progress() + 1 - c.Slots; over > 0 && c.Slots > 0 {
		// Its slots are full by its own account: the ask waits there for one
		// of the streams to end.
		cost += float64(over) * float64(a.Output) / decode / float64(c.Slots)
	}
	if !c.Near {
		cost += far
	}
	if c.Cold {
		cost += cold
	}
	if c.Long && !long {
		cost += apart
	}
	return cost, true
}

// backlog is the prompt tokens that the engine has yet to read: what it
// reported, less what it will have read since, and what was sent since.
func (c *Candidate) backlog(rate float64) float64 {
	left := max(0, float64(c.PrefillLeft)-rate*c.Age.Seconds())
	return left + float64(c.SentTokens)
}

func anyLong(cs []Candidate) bool {
	for i := range cs {
		if cs[i].Long {
			return true
		}
	}
	return false
}
