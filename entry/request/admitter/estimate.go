package admitter

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// slowdown is the part by which the pace must have fallen before waiting asks
// are reckoned again; smaller changes are within the margin.
const slowdown = 0.9

// soonest is the shortest time after which coming back is worth a caller's
// while.
const soonest = 250 * time.Millisecond

// latest is the longest time to come back that is named: where nothing moves,
// the estimate says nothing, and the fleet may be up again in a minute.
const latest = time.Minute

// order gives the bands with asks, the one whose first ask ends earliest in
// virtual time first. Short asks so go before long ones until they have had
// their weight's worth of tokens.
func (a *Admitter) order() []*band {
	a.tries = a.tries[:0]
	for _, b := range a.bands {
		if len(b.heap) > 0 {
			b.tag = b.finish(b.heap[0].queue.first().cost)
			a.tries = append(a.tries, b)
		}
	}
	slices.SortStableFunc(a.tries, func(x, y *band) int { return cmp.Compare(x.tag, y.tag) })
	return a.tries
}

// start is the latest moment at which an ask can be placed and end in time.
func (a *Admitter) start(k Request, p Capacity) time.Time {
	if a.conf.Queue == First {
		return k.Deadline
	}
	limit := k.Deadline.Sub(k.Arrived)
	return k.Deadline.Add(-a.service(k, p) - time.Duration(a.conf.Margin*float64(limit)))
}

// service is how long an ask takes with nothing ahead of it.
func (a *Admitter) service(k Request, p Capacity) time.Duration {
	return seconds(float64(k.PromptTokens)/p.alone() + a.conf.Length*float64(k.MaxOutput)/p.decode())
}

// refuse says why an ask cannot be let in, or nil.
func (a *Admitter) refuse(now time.Time, it *item, p Capacity) *Refusal {
	if a.conf.Queue == First {
		if a.Len() >= a.conf.Requests || a.total.tokens+it.ask.PromptTokens > a.conf.Tokens {
			return &Refusal{Code: Saturated, RetryAfter: time.Second}
		}
		return nil
	}
	spare := time.Duration(a.conf.Wait * float64(it.start.Sub(now)))
	if spare <= 0 {
		return &Refusal{Code: Late}
	}
	all, own := it.band.ahead(it)
	total := all + a.others(it, all+it.cost)
	rate := a.rate(it, p)
	placed := a.placed(p)
	wait := placed + seconds(float64(total)/rate)
	code := a.full(it)
	if code == "" && wait <= spare {
		return nil
	}
	if code == "" {
		code = Saturated
		if 2*own > all {
			code = Share
		}
	}
	// The honest hour is when what is ahead has gone. Asks that are refused
	// together would come back together, so each has its own part of a
	// quarter more.
	spread := 1 + float64(it.ask.ID*0x9e3779b97f4a7c15>>56)/1024
	return &Refusal{Code: code, RetryAfter: time.Duration(float64(min(max(wait, soonest), latest)) * spread)}
}

// full says by which code an ask is refused for want of room. A team may hold
// no more than what is free, so that the queue of one team that sends most of
// the load leaves half of the room to the others.
func (a *Admitter) full(it *item) string {
	l := a.teams[it.ask.Team]
	asks := a.conf.Requests - a.total.asks
	tokens := a.conf.Tokens - a.total.tokens
	switch {
	case asks < 1 || tokens < it.ask.PromptTokens:
		return Saturated
	case l.asks > 0 && (l.asks >= asks || l.tokens+it.ask.PromptTokens > tokens):
		return Share
	}
	return ""
}

// others is what the other bands are served while this one is served cost. A
// band whose first ask would end later than this one goes after it, whatever it
// has saved up. One that finds no place keeps its claim to the next one, but what it has not
// been served so far is not work that goes before this ask: it waits for
// something else, such as memory, and others go past it meanwhile.
func (a *Admitter) others(it *item, cost int64) int64 {
	var sum int64
	until := max(it.band.spent, a.clock)
	if it.band.load.asks > 0 {
		until = it.band.spent
	}
	begin := until
	until += float64(cost) / it.band.weight
	for _, b := range a.bands {
		if b == it.band || len(b.heap) == 0 || b.finish(b.heap[0].queue.first().cost) > until {
			continue
		}
		from := b.spent
		if b.stuck {
			from = max(from, begin)
		}
		sum += min(b.load.cost, int64((until-from)*b.weight))
	}
	return sum
}

// placed is how long work that is already placed delays the next.
func (a *Admitter) placed(p Capacity) time.Duration {
	return seconds(p.PrefillLeft / p.prefill())
}

// rate is the cost served per second, given the mix that waits: the prompts
// are bound by prefill, the answers by slots, and the slower of the two counts.
func (a *Admitter) rate(it *item, p Capacity) float64 {
	l := it.band.load
	l.add(it.ask, it.cost, 1)
	read := float64(l.tokens) / p.prefill()
	held := (float64(l.tokens)/p.alone() + a.conf.Length*float64(l.output)/p.decode()) / float64(max(1, p.Slots))
	return float64(l.cost) / max(read, held, 1e-9)
}

// rebuild reckons again when each waiting ask must start, at a slower pace.
func (a *Admitter) rebuild(p Capacity) {
	a.pace = p
	for _, it := range a.latest {
		it.start = a.start(it.ask, p)
	}
	heap.Init(&a.latest)
}

func slower(p, than Capacity) bool {
	return p.alone() < slowdown*than.alone() || p.decode() < slowdown*than.decode()
}

// A pace of zero is that of a fleet that does nothing: all is late.
func (p Capacity) prefill() float64 { return max(p.PrefillRate, 1e-3) }

func (p Capacity) decode() float64 { return max(p.DecodeRate, 1e-3) }

func (p Capacity) alone() float64 {
	if p.UpstreamPrefillRate > 0 {
		return p.UpstreamPrefillRate
	}
	return p.prefill()
}

// longest bounds estimates, so that no sum of times overflows.
const longest = 1000 * time.Hour

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s*float64(time.Second), float64(longest)))
}
