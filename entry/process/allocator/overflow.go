package allocator

import (
	"time"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/request/placer"
)

const (
	// summaryEvery is how often leaders tell those of the service's other groups
	// how much is under way, and freshSummary how old such news may be.
	summaryEvery = restEvery
	freshSummary = time.Second
	// spareSlots is the part of a group's slots that must be free, as one over
	// this, where short prompts of another group are sent there.
	spareSlots = 4
	// lessReading is the difference in reading time for each engine, in
	// milliseconds, from which a long prompt is sent to another group.
	lessReading = 150.0
)

// A summary is how much is under way in a group.
type summary struct {
	engines int
	// free are its slots that are, reading the reading time in milliseconds that
	// is before each engine, of what waits too.
	free    int
	reading float64
	at      time.Time
}

// summarise tells the leaders of a service's other groups of those that this VM
// leads, also where nobody asks it. Without it a zone whose callers all come at once would refuse them
// beside idle engines of another.
func (a *Allocator) summarise(now time.Time) {
	if now.Sub(a.summedAt) < summaryEvery {
		return
	}
	a.summedAt = now
	for service := range a.split {
		zones := a.deps.Tracker.CountUsableByZone(service)
		for zone := range zones {
			if g := (Group{service, zone}); a.leads(now, g) {
				a.share(now, a.schedulerOf(g), zones)
			}
		}
	}
	a.relieve(now)
}

// share tells the leaders of a service's other zones of one group.
func (a *Allocator) share(now time.Time, l *led, zones map[string]int) {
	sum := a.summary(now, l)
	g := l.group
	a.summaries[g] = &sum
	for zone := range zones {
		m, self := a.leader(now, Group{g.Service, zone})
		if zone == g.Zone || self {
			continue
		}
		out := a.to(m.Address)
		out.Summaries = append(out.Summaries, wireSummary{Group: g.wire(), Engines: sum.engines, Free: sum.free, Reading: float32(sum.reading)})
	}
}

func (a *Allocator) summary(now time.Time, l *led) summary {
	sum := summary{at: now}
	work := l.scheduler.Loads()
	for _, u := range a.deps.Tracker.Usable(now, l.group.Service) {
		if u.Zone != l.group.Zone || now.Before(u.UnreachableUntil) {
			continue
		}
		sum.engines++
		sum.free += max(0, u.Slots-work[u.ID].Streams)
		sum.reading += work[u.ID].PendingPrefill
	}
	sum.reading += l.scheduler.QueuedPrefill()
	if sum.engines > 0 {
		sum.reading /= float64(sum.engines)
	}
	return sum
}

// better is the zone of a group with room for a request that has none in this
// one. What is sent there counts at once, so that not all that wait follow one
// summary.
func (a *Allocator) better(now time.Time, l *led, c scheduler.Request, hops int) (zone string, ok bool) {
	g := l.group
	if g.Zone == "" || hops >= mostHops {
		return "", false
	}
	here := a.summary(now, l)
	e := c.Service.Engine
	long := e != nil && !placer.IsShort(e, c.Requirements.Prompt)
	var best *summary
	for other, s := range a.summaries {
		if other.Service != g.Service || other.Zone == g.Zone || now.Sub(s.at) > freshSummary || s.engines == 0 {
			continue
		}
		if !here.yields(s, long, slotsOf(c)) {
			continue
		}
		if best == nil || (long && s.reading < best.reading) || (!long && s.free > best.free) {
			best, zone = s, other.Zone
		}
	}
	if best == nil {
		return "", false
	}
	best.free--
	if e != nil {
		best.reading += placer.PrefillTime(e, c.Requirements.Prompt, 1) / float64(best.engines)
	}
	a.count("asks.elsewhere")
	return zone, true
}

// relieve sends those that wait in a group to others that have room by now.
func (a *Allocator) relieve(now time.Time) {
	for at, h := range a.holders {
		for id, o := range h.asks {
			if zone, ok := a.better(now, o.led, o.call, o.hops); ok {
				a.drop(h, id, o)
				out := a.to(at)
				out.Elsewhere = append(out.Elsewhere, wireElsewhere{ID: id, Zone: zone})
			}
		}
	}
	for _, id := range a.open() {
		o, ok := a.asks[id]
		if !ok || o.local == nil {
			continue
		}
		if l, leads := a.led[o.group]; leads {
			if zone, ok := a.better(now, l, o.call, o.hops); ok {
				a.divert(now, o, zone)
			}
		}
	}
}

// yields says that a request had better be asked for in another group.
func (s *summary) yields(o *summary, long bool, slots int) bool {
	switch {
	case s.engines == 0:
		return true
	case long:
		return o.reading+lessReading <= s.reading
	}
	return o.free*spareSlots >= o.engines*slots && o.free >= 2*s.free
}

// slotsOf is how many slots an upstream of a request's service has; one where the
// configuration does not say.
func slotsOf(c scheduler.Request) int {
	if c.Service.Engine != nil {
		return max(1, c.Service.Engine.Slots)
	}
	return 1
}
