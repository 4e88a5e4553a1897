package router

import (
	"math/rand/v2"
	"time"

	"github.com/heathervane/heathervane/entry/request/admitter"
)

const (
	// longPromptTokens is the length above which a prompt counts as long: a
	// prompt of this length already occupies an engine for seconds.
	longPromptTokens = 64 << 10
	// maxPrimaryBacklog is the unread work of this VM, in seconds, up to which
	// it sends more to an engine of which it is the primary. It covers the
	// network delay, so that the engine does not idle, and little more:
	// requests still queued on this VM can go elsewhere and keep the queue's
	// order.
	maxPrimaryBacklog = 0.02
	// maxBacklog is the same limit, in seconds, on an engine's reported work,
	// for a VM that is the primary of no engine. It exceeds the usual delay of
	// reports, because otherwise engines would run out of work.
	maxBacklog = 0.5
	// primaryWait is how long a request waits for an engine of which this VM is
	// the primary before it may go to another VM's engine. It is a third of the
	// time in which an engine reads a short prompt; within it, one of several
	// primary engines usually becomes free. A shorter wait would collide with
	// another VM's requests there, a longer one would leave idle engines unused.
	primaryWait = 50 * time.Millisecond
	// nonPrimaryPenalty is added, in seconds, for an engine of which another VM
	// is the primary. It accounts for work that other VMs may have sent there
	// and that no report shows yet: about the age of a report.
	nonPrimaryPenalty = 0.2
	// otherZonePenalty is the round trip to another availability zone in
	// seconds: 3 ms as specified, doubled for the delay of the connection
	// itself.
	otherZonePenalty = 0.006
	// coldPenalty is added, in seconds, for an engine in cold start.
	coldPenalty = 0.25
	// uncachedFraction is the assumed fraction of a prompt that is still to be
	// read if its prefix is cached.
	uncachedFraction = 0.3
	// maxCacheBonus limits the credit for a cached prefix, in seconds. Cache
	// hints can be wrong, so they must never outweigh a queue.
	maxCacheBonus = 0.25
	// tieMargin is the difference in seconds below which estimates count as
	// equal. VMs that see the same reports then spread over these engines
	// instead of all choosing one; a larger margin cost more than it saved when
	// measured.
	tieMargin = 0.02
	// slowSpeedRatio is the measured speed ratio below which an engine receives
	// only probes.
	slowSpeedRatio = 0.5
	// probeInterval: one in this many picks of short prompts goes to a slow
	// engine on which this VM has nothing in progress, to detect its recovery.
	probeInterval = 64
	// maxProbeTokens is the longest prompt that is used as a probe.
	maxProbeTokens = 4 << 10
	// scoredOutputTokens is the number of answer tokens counted in addition to
	// the first, so that an engine that decodes slowly is avoided even if
	// nothing waits there.
	scoredOutputTokens = 32
	// fullSlotsPenalty is added, in seconds, for an upstream without token
	// rates, such as a plain service, if all its slots are in use.
	fullSlotsPenalty = 0.1
)

// ttftPicker estimates the time to first token of each candidate.
//
// A VM has current knowledge only of what it sent itself. Each engine
// therefore has one primary VM, which is nearly its only sender. A request for
// which none of this VM's primary engines is free waits here for primaryWait, and
// may then go to an engine whose last report shows it idle and of which this VM
// is the secondary at that time, so that no two VMs choose the same idle
// engine.
type ttftPicker struct {
	rand     *rand.Rand
	feasible []estimate
}

// estimate is a candidate that can take the request, with its cost in seconds.
type estimate struct {
	index int
	cost  float64
}

// pickContext is a request with the state that one call of Pick derives.
type pickContext struct {
	request *admitter.Request
	// timeLeft is the time until the deadline in seconds.
	timeLeft float64
	// long is set for a long prompt, reserved if some engines are reserved for
	// long prompts.
	long, reserved bool
	// hasPrimary is set if this VM is the primary of an engine that may take the
	// request, and waitedLong if the request has waited for primaryWait.
	hasPrimary, waitedLong bool
}

// Pick chooses among the candidates with nearly the lowest estimate.
func (p *ttftPicker) Pick(now time.Time, req admitter.Request, cs []Candidate) (int, bool) {
	pc := pickContext{
		request:    &req,
		timeLeft:   req.Deadline.Sub(now).Seconds(),
		long:       IsLongPrompt(req.PromptTokens),
		reserved:   someReserved(cs),
		waitedLong: now.Sub(req.Arrived) >= primaryWait,
	}
	pc.hasPrimary = pc.anyPrimary(cs)
	p.feasible = p.feasible[:0]
	if pc.long && !pc.reserved && mostEnginesReading(cs) {
		return 0, false
	}
	least := 0.0
	for i := range cs {
		c := &cs[i]
		if !c.eligible(&pc) {
			continue
		}
		cost, ok := c.ttft(&pc)
		if !ok {
			continue
		}
		if len(p.feasible) == 0 || cost < least {
			least = cost
		}
		p.feasible = append(p.feasible, estimate{i, cost})
	}
	if len(p.feasible) == 0 {
		return 0, false
	}
	if i, ok := p.probe(&req, cs); ok {
		return i, true
	}
	return p.pickBelow(least + tieMargin), true
}

// pickBelow chooses at random among the estimates up to a bound.
func (p *ttftPicker) pickBelow(bound float64) int {
	index, seen := 0, 0
	for _, e := range p.feasible {
		if e.cost > bound {
			continue
		}
		seen++
		if p.rand.IntN(seen) == 0 {
			index = e.index
		}
	}
	return index
}

// probe occasionally chooses a slow engine. Without probes an engine that was
// once found slow would receive nothing, and its recovery would go unnoticed; with
// more than one probe at a time, a slow engine would delay more answers than
// necessary.
func (p *ttftPicker) probe(req *admitter.Request, cs []Candidate) (int, bool) {
	if req.PromptTokens > maxProbeTokens || p.rand.IntN(probeInterval) != 0 {
		return 0, false
	}
	index, seen := 0, 0
	for _, e := range p.feasible {
		if !cs[e.index].slow() {
			continue
		}
		seen++
		if p.rand.IntN(seen) == 0 {
			index = e.index
		}
	}
	return index, seen > 0
}

// someReserved reports whether some engines are reserved for long prompts and
// some are not. If all engines are of one kind, they take all requests.
func someReserved(cs []Candidate) bool {
	for i := range cs {
		if cs[i].LongOnly != cs[0].LongOnly {
			return true
		}
	}
	return false
}

// mostEnginesReading reports whether half of the engines, or all but one, already
// read so much that another long prompt should wait. If no engines are reserved,
// this keeps some of them available for short prompts.
func mostEnginesReading(cs []Candidate) bool {
	reading := 0
	for i := range cs {
		if rate := cs[i].effectivePrefillRate(); cs[i].backlog(rate) > maxBacklog*rate {
			reading++
		}
	}
	return reading > 0 && 2*(reading+1) > len(cs)
}

// anyPrimary reports whether an engine of which this VM is the primary may take
// the request. Slow engines do not count, because a VM whose primary engines are
// all slow would keep waiting for them.
func (pc *pickContext) anyPrimary(cs []Candidate) bool {
	for i := range cs {
		if cs[i].Primary && pc.matchesPromptLength(&cs[i]) && !cs[i].slow() {
			return true
		}
	}
	return false
}

// matchesPromptLength keeps short prompts off the engines reserved for long ones
// and vice versa. A short prompt sent to such an engine while it looks idle could
// still wait for a minute behind a long prompt that another VM has just sent.
func (pc *pickContext) matchesPromptLength(c *Candidate) bool {
	return !pc.reserved || c.LongOnly == pc.long
}

// eligible reports whether the candidate may take the request at all.
func (c *Candidate) eligible(pc *pickContext) bool {
	if !c.hasCapacity(pc.request) || !pc.matchesPromptLength(c) || (c.slow() && c.OwnStreams+c.UnreportedRequests > 0) {
		return false
	}
	return c.Primary || !pc.hasPrimary || (c.Secondary && pc.waitedLong)
}

// IsLongPrompt reports whether a prompt of this length belongs on the engines
// reserved for long prompts.
func IsLongPrompt(tokens int) bool { return tokens > longPromptTokens }

func (c *Candidate) slow() bool { return c.SpeedRatio > 0 && c.SpeedRatio < slowSpeedRatio }

// ttft returns the estimated seconds to the first token with all penalties, or
// false if the request should wait because the engine has unread work or could
// not finish the request in time.
func (c *Candidate) ttft(pc *pickContext) (float64, bool) {
	if c.PrefillRate <= 0 {
		return c.slotCost(), true
	}
	rate := c.effectivePrefillRate()
	decode := max(c.DecodeRate, 1) * c.effectiveSpeed()
	if !c.acceptsMore(pc, rate) {
		return 0, false
	}
	read := float64(pc.request.PromptTokens) / rate
	if c.PrefixCached {
		read -= min(read*(1-uncachedFraction), maxCacheBonus)
	}
	cost := c.backlog(rate)/rate + read
	if cost+float64(pc.request.MaxOutput)/decode > pc.timeLeft {
		return 0, false
	}
	cost += float64(min(pc.request.MaxOutput, scoredOutputTokens)) / decode
	if over := c.inProgress() + 1 - c.Slots; over > 0 && c.Slots > 0 {
		// All slots are in use according to its own report: the request would
		// wait there for one of the streams to end.
		cost += float64(over) * float64(pc.request.MaxOutput) / decode / float64(c.Slots)
	}
	return cost + c.penalty(pc), true
}

// acceptsMore reports whether the engine has so little unread work that more may
// be sent. A secondary VM uses the report as it was made: what other VMs have
// sent since is unknown, so the estimate does not subtract what the engine must
// have read since.
func (c *Candidate) acceptsMore(pc *pickContext, rate float64) bool {
	switch {
	case !pc.hasPrimary:
		return c.backlog(rate) <= maxBacklog*rate
	case c.Primary:
		return float64(c.OwnPrefillLeft) <= maxPrimaryBacklog*rate && c.otherVMsBacklog(rate) <= maxBacklog*rate
	default:
		return c.PrefillLeft+c.UnreportedTokens == 0
	}
}

// otherVMsBacklog returns the reported prompt tokens of other VMs that are still
// unread. On an engine of which this VM is the primary there are few, unless the
// engine has only just been assigned to this VM or was reserved for long prompts
// until now.
func (c *Candidate) otherVMsBacklog(rate float64) float64 {
	return float64(c.PrefillLeft) - rate*c.ReportAge.Seconds() - float64(c.OwnPrefillLeft)
}

// penalty returns the seconds added for reasons other than the work of the engine.
func (c *Candidate) penalty(pc *pickContext) float64 {
	cost := 0.0
	if pc.hasPrimary && !c.Primary {
		cost += nonPrimaryPenalty
	}
	if !c.SameZone {
		cost += otherZonePenalty
	}
	if c.Cold {
		cost += coldPenalty
	}
	return cost
}

// slotCost is the cost of an upstream without token rates, based on the fraction
// of its slots in use.
func (c *Candidate) slotCost() float64 {
	cost := fullSlotsPenalty * float64(c.inProgress()+1) / float64(max(1, c.Slots))
	if !c.SameZone {
		cost += otherZonePenalty
	}
	if c.Cold {
		cost += coldPenalty
	}
	return cost
}

// backlog returns the prompt tokens that the engine has yet to read: the reported
// ones, less what it should have read since the report, plus what this VM has
// sent since; but at least what this VM knows to be unread.
func (c *Candidate) backlog(rate float64) float64 {
	left := max(0, float64(c.PrefillLeft)-rate*c.ReportAge.Seconds())
	return max(left+float64(c.UnreportedTokens), float64(c.OwnPrefillLeft))
}
