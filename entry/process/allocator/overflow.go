package allocator

import (
	"time"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/request/placer"
)

const (
	// summaryInterval is how often a leader sends the load of its group to the
	// leaders of the service's other groups, and maxSummaryAge the age above
	// which a summary is ignored.
	summaryInterval = idleTickInterval
	maxSummaryAge   = time.Second
	// freeSlotsDivisor sets the fraction of a group's slots,
	// 1/freeSlotsDivisor, that must be free before short prompts of another
	// group are sent there.
	freeSlotsDivisor = 4
	// minPrefillGain is the difference in prefill time per engine, in
	// milliseconds, from which a long prompt is sent to another group.
	minPrefillGain = 150.0
)

// A summary is the load of a group.
type summary struct {
	engines int
	// freeSlots is the number of free slots. prefillTime is the time in
	// milliseconds that each engine needs on average to prefill the prompts of
	// the group, including those that wait.
	freeSlots   int
	prefillTime float64
	at          time.Time
}

// sendSummaries sends the load of each group that this VM leads to the leaders
// of the service's other groups, including groups that get no requests. Without
// the summaries, a zone that receives all callers at once would refuse requests
// while engines in another zone are idle.
func (a *Allocator) sendSummaries(now time.Time) {
	if now.Sub(a.summariesSentAt) < summaryInterval {
		return
	}
	a.summariesSentAt = now
	for service := range a.splitByZone {
		zones := a.deps.Tracker.CountUsableByZone(service)
		for zone := range zones {
			if g := (Group{service, zone}); a.isLeader(now, g) {
				a.sendSummary(now, a.ledGroupOf(g), zones)
			}
		}
	}
	a.rebalance(now)
}

// sendSummary sends the load of one group to the leaders of the service's other
// groups.
func (a *Allocator) sendSummary(now time.Time, l *ledGroup, zones map[string]int) {
	sum := a.summaryOf(now, l)
	g := l.group
	a.summaries[g] = &sum
	offer, offers := a.offer(now, l)
	for zone := range zones {
		m, self := a.leader(now, Group{g.Service, zone})
		if zone == g.Zone || self {
			continue
		}
		out := a.outgoingTo(m.Address)
		if offers {
			out.Offers = append(out.Offers, offer)
		}
		out.Summaries = append(out.Summaries, wireSummary{Group: g.wire(), Engines: sum.engines, FreeSlots: sum.freeSlots, PrefillTime: float32(sum.prefillTime)})
	}
}

func (a *Allocator) summaryOf(now time.Time, l *ledGroup) summary {
	sum := summary{at: now}
	work := l.scheduler.Loads()
	states := a.deps.Tracker.Usable(now, l.group.Service)
	for i := range states {
		u := &states[i]
		if !l.scheduler.Uses(now, u) || now.Before(u.UnreachableUntil) {
			continue
		}
		sum.engines++
		sum.freeSlots += max(0, u.Slots-work[u.ID].Streams)
		sum.prefillTime += work[u.ID].PendingPrefill
	}
	sum.prefillTime += l.scheduler.QueuedPrefill()
	if sum.engines > 0 {
		sum.prefillTime /= float64(sum.engines)
	}
	return sum
}

// noneUsable reports whether a request was refused because its VM may use no upstream of
// the group.
func noneUsable(r *scheduler.Refusal) bool {
	return r.Code == scheduler.CodeNoUpstream || r.Code == scheduler.CodeBackoff
}

// betterZone returns a zone whose group has capacity for a request that has to wait in
// this group or, if mustMove is set, that this group cannot serve at all. The summary is
// updated at once for each request that is sent there, so that not all waiting requests
// follow the same summary.
func (a *Allocator) betterZone(now time.Time, l *ledGroup, c scheduler.Request, hops int, mustMove bool) (zone string, ok bool) {
	g := l.group
	if g.Zone == "" || hops >= maxHops {
		return "", false
	}
	here := a.summaryOf(now, l)
	if mustMove {
		here.engines = 0
	}
	e := c.Service.Engine
	long := e != nil && !placer.IsShort(e, c.Requirements.Prompt)
	var best *summary
	for other, s := range a.summaries {
		if other.Service != g.Service || other.Zone == g.Zone || now.Sub(s.at) > maxSummaryAge || s.engines == 0 {
			continue
		}
		if !here.shouldYieldTo(s, long, slotsOf(c)) {
			continue
		}
		if best == nil || (long && s.prefillTime < best.prefillTime) || (!long && s.freeSlots > best.freeSlots) {
			best, zone = s, other.Zone
		}
	}
	if best == nil {
		return "", false
	}
	best.freeSlots--
	if e != nil {
		best.prefillTime += placer.PrefillTime(e, c.Requirements.Prompt, 1) / float64(best.engines)
	}
	a.count("asks.elsewhere")
	return zone, true
}

// rebalance moves waiting requests to groups that now have capacity.
func (a *Allocator) rebalance(now time.Time) {
	for at, h := range a.clients {
		for id, o := range h.requests {
			if zone, ok := a.betterZone(now, o.group, o.spec, o.hops, false); ok {
				a.cancelRequest(h, id, o)
				out := a.outgoingTo(at)
				out.OtherZones = append(out.OtherZones, wireOtherZone{ID: id, Zone: zone})
			}
		}
	}
	for _, id := range a.requestIDs() {
		o, ok := a.requests[id]
		if !ok || o.local == nil {
			continue
		}
		if l, leads := a.ledGroups[o.group]; leads {
			if zone, ok := a.betterZone(now, l, o.spec, o.hops, false); ok {
				a.moveToZone(now, o, zone)
			}
		}
	}
}

// shouldYieldTo reports whether a request should move from the group of s to
// that of o.
func (s *summary) shouldYieldTo(o *summary, long bool, slots int) bool {
	switch {
	case s.engines == 0:
		return true
	case long:
		return o.prefillTime+minPrefillGain <= s.prefillTime
	}
	return o.freeSlots*freeSlotsDivisor >= o.engines*slots && o.freeSlots >= 2*s.freeSlots
}

// slotsOf returns the number of slots of an upstream of the requested service;
// 1 if the configuration does not specify it.
func slotsOf(c scheduler.Request) int {
	if c.Service.Engine != nil {
		return max(1, c.Service.Engine.Slots)
	}
	return 1
}
