package router

import (
	"math/rand/v2"
	"time"

	"github.com/heathervane/heathervane/entry/request/admitter"
)

const (
	// longPrompt is the prompt length in tokens from which a prompt counts as
	// long: one of this length already holds an engine for seconds.
	longPrompt = 64 << 10
	// holdHome is the most seconds of this VM's own work that a home engine
	// may have unread when it is sent more. It covers the way there, so that
	// the engine does not idle, and little else: what waits here can still go
	// elsewhere, and in the order of the queue.
	holdHome = 0.02
	// hold is the same by an engine's report, for a VM without a home engine.
	// It exceeds a report's usual lag, or the engines would run dry.
	hold = 0.5
	// patience is how long an ask waits for a home engine before it may go to
	// another VM's: a third of the time an engine takes to read a short
	// prompt, in which one of several home engines is mostly free. Sooner, it
	// would meet another VM's work there; later, an idle engine is missed.
	patience = 50 * time.Millisecond
	// away is the seconds by which an engine is disliked that is another VM's
	// home: the work that others may have sent there and that no report shows
	// yet, about a report's age.
	away = 0.2
	// far is the seconds there and back to another availability zone: 3 ms
	// by the brief's figures, counted twice for the connection's own delay.
	far = 0.006
	// cold is the seconds by which an engine in cold start is disliked.
	cold = 0.25
	// cachedPart is what is thought to be left to read of a prompt whose
	// prefix is cached.
	cachedPart = 0.3
	// detour is the most seconds that a cache hint may be worth. A hint can be
	// wrong, so that it never makes up for a queue.
	detour = 0.25
	// near is the difference in seconds below which estimates count as equal.
	// VMs that see the same reports spread over the near-equal instead of
	// herding onto one; a wider band was measured to cost more than it saves.
	near = 0.02
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
	// full is the seconds by which an upstream without token rates, such as a
	// plain service, is disliked when all its slots are taken.
	full = 0.1
)

// best estimates for each candidate the time to the first token.
//
// A VM knows without lag only what it sent itself. Each engine is therefore
// the home of one VM, which is nearly its only sender. An ask for which no
// home engine is free waits here for a moment, and then goes to an engine that
// its last report shows idle and of which this VM is the present guest, so
// that no two VMs take the same idle engine for theirs.
type best struct {
	rand *rand.Rand
	fits []fit
}

// A fit is a candidate that can take the ask, and its estimate in seconds.
type fit struct {
	index int
	cost  float64
}

// A need is an ask as one Pick sees it.
type need struct {
	ask *admitter.Request
	// left is the seconds to the deadline.
	left float64
	// long says that the prompt is long, split that some engines are set
	// apart for such.
	long, split bool
	// homes says that a home engine is among those that may take it, and
	// patient that it has waited for one for long enough.
	homes, patient bool
}

// Pick takes one of those with nearly the least estimated time.
func (p *best) Pick(now time.Time, a admitter.Request, cs []Candidate) (int, bool) {
	n := need{
		ask:     &a,
		left:    a.Deadline.Sub(now).Seconds(),
		long:    IsLongPrompt(a.PromptTokens),
		split:   split(cs),
		patient: now.Sub(a.Arrived) >= patience,
	}
	n.homes = n.anyHome(cs)
	p.fits = p.fits[:0]
	if n.long && !n.split && crowded(cs) {
		return 0, false
	}
	least := 0.0
	for i := range cs {
		c := &cs[i]
		if !c.may(&n) {
			continue
		}
		cost, ok := c.cost(&n)
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
	return p.among(least + near), true
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
func (p *best) probe(a *admitter.Request, cs []Candidate) (int, bool) {
	if a.PromptTokens > probeTokens || p.rand.IntN(probe) != 0 {
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

// split says that some engines are set apart and some are not. Where all are of
// one kind, that kind takes everything.
func split(cs []Candidate) bool {
	for i := range cs {
		if cs[i].LongOnly != cs[0].LongOnly {
			return true
		}
	}
	return false
}

// crowded says that half of the engines, or all but one, read so much already
// that another long prompt had better wait. Where none is set apart it keeps
// some engines for short prompts.
func crowded(cs []Candidate) bool {
	reading := 0
	for i := range cs {
		if rate := cs[i].rate(); cs[i].backlog(rate) > hold*rate {
			reading++
		}
	}
	return reading > 0 && 2*(reading+1) > len(cs)
}

// anyHome says whether a home engine may take the ask. Slow ones do not count,
// or a VM whose home engines are slow would wait for them.
func (n *need) anyHome(cs []Candidate) bool {
	for i := range cs {
		if cs[i].Primary && n.kind(&cs[i]) && !cs[i].slow() {
			return true
		}
	}
	return false
}

// kind keeps short prompts from the engines of the long ones and the reverse.
// A short prompt that finds such an engine idle could still meet there a long
// one that another VM sent a moment ago, and wait for it for a minute.
func (n *need) kind(c *Candidate) bool {
	return !n.split || c.LongOnly == n.long
}

// may says whether the candidate may take the ask at all.
func (c *Candidate) may(n *need) bool {
	if !c.takes(n.ask) || !n.kind(c) || (c.slow() && c.OwnStreams+c.UnreportedRequests > 0) {
		return false
	}
	return c.Primary || !n.homes || (c.Secondary && n.patient)
}

// IsLongPrompt says that a prompt of so many tokens is one of those that engines are
// set apart for.
func IsLongPrompt(tokens int) bool { return tokens > longPrompt }

func (c *Candidate) slow() bool { return c.SpeedRatio > 0 && c.SpeedRatio < slow }

// cost is the estimated seconds to the first token, or false where the ask had
// better wait: the engine has work unread, or could not end it in time.
func (c *Candidate) cost(n *need) (float64, bool) {
	if c.PrefillRate <= 0 {
		return c.plain(), true
	}
	rate := c.rate()
	decode := max(c.DecodeRate, 1) * c.speed()
	if !c.idle(n, rate) {
		return 0, false
	}
	read := float64(n.ask.PromptTokens) / rate
	if c.PrefixCached {
		read -= min(read*(1-cachedPart), detour)
	}
	cost := c.backlog(rate)/rate + read
	if cost+float64(n.ask.MaxOutput)/decode > n.left {
		return 0, false
	}
	cost += float64(min(n.ask.MaxOutput, early)) / decode
	if over := c.progress() + 1 - c.Slots; over > 0 && c.Slots > 0 {
		// Its slots are full by its own account: the ask waits there for one
		// of the streams to end.
		cost += float64(over) * float64(n.ask.MaxOutput) / decode / float64(c.Slots)
	}
	return cost + c.dislike(n), true
}

// idle says that the engine has so little unread that more may be sent. What a
// guest goes by is the report as it was made: all that others have sent since
// is hidden, so that no time is taken off for what must have been read.
func (c *Candidate) idle(n *need, rate float64) bool {
	switch {
	case !n.homes:
		return c.backlog(rate) <= hold*rate
	case c.Primary:
		return float64(c.OwnPrefillLeft) <= holdHome*rate && c.foreign(rate) <= hold*rate
	default:
		return c.PrefillLeft+c.UnreportedTokens == 0
	}
}

// foreign is the prompt tokens that other VMs have unread there by its report.
// At a home engine there is little of it, but where the engine has just become
// this VM's home, or was set apart for long prompts until now.
func (c *Candidate) foreign(rate float64) float64 {
	return float64(c.PrefillLeft) - rate*c.ReportAge.Seconds() - float64(c.OwnPrefillLeft)
}

// dislike is what counts against the engine beside its work, in seconds.
func (c *Candidate) dislike(n *need) float64 {
	cost := 0.0
	if n.homes && !c.Primary {
		cost += away
	}
	if !c.SameZone {
		cost += far
	}
	if c.Cold {
		cost += cold
	}
	return cost
}

// plain is the cost of an upstream without token rates: its part of slots
// taken.
func (c *Candidate) plain() float64 {
	cost := full * float64(c.progress()+1) / float64(max(1, c.Slots))
	if !c.SameZone {
		cost += far
	}
	if c.Cold {
		cost += cold
	}
	return cost
}

// backlog is the prompt tokens that the engine has yet to read: what it
// reported, less what it will have read since, and what was sent since; and
// never less than what this VM knows to be unread.
func (c *Candidate) backlog(rate float64) float64 {
	left := max(0, float64(c.PrefillLeft)-rate*c.ReportAge.Seconds())
	return max(left+float64(c.UnreportedTokens), float64(c.OwnPrefillLeft))
}
