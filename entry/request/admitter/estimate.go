package admitter

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// slowdownThreshold is the ratio to the previous rates below which the latest
// starts of waiting requests are recomputed; smaller changes are covered by
// Config.MarginFraction.
const slowdownThreshold = 0.9

// minRetryAfter is the shortest retry delay that is worthwhile for a caller.
const minRetryAfter = 250 * time.Millisecond

// maxRetryAfter limits the retry delay: when nothing makes progress the
// estimate is meaningless, and the fleet may be up again within a minute.
const maxRetryAfter = time.Minute

// bandsByFinishTime returns the non-empty bands, ordered by the virtual time at
// which the first request of each would finish. Short requests therefore go
// before long ones until the short bands have used their weight in tokens.
func (a *Admitter) bandsByFinishTime() []*band {
	a.bandOrder = a.bandOrder[:0]
	for _, b := range a.bands {
		if len(b.heap) > 0 {
			b.finishTag = b.finishTime(b.heap[0].queue.first().cost)
			a.bandOrder = append(a.bandOrder, b)
		}
	}
	slices.SortStableFunc(a.bandOrder, func(x, y *band) int { return cmp.Compare(x.finishTag, y.finishTag) })
	return a.bandOrder
}

// latestStart returns the latest time at which a request can be placed and
// still finish in time.
func (a *Admitter) latestStart(req Request, c Capacity) time.Time {
	if a.config.Queue == FIFO {
		return req.Deadline
	}
	limit := req.Deadline.Sub(req.Arrived)
	return req.Deadline.Add(-a.serviceTime(req, c) - time.Duration(a.config.MarginFraction*float64(limit)))
}

// serviceTime returns how long a request takes with nothing ahead of it.
func (a *Admitter) serviceTime(req Request, c Capacity) time.Duration {
	return duration(float64(req.PromptTokens)/c.upstreamPrefillRate() + a.config.OutputFraction*float64(req.MaxOutput)/c.decodeRate())
}

// checkAdmission returns why a request cannot be admitted, or nil if it can.
func (a *Admitter) checkAdmission(now time.Time, it *item, c Capacity) *Refusal {
	if a.config.Queue == FIFO {
		if a.Len() >= a.config.MaxRequests || a.total.promptTokens+it.request.PromptTokens > a.config.MaxTokens {
			return &Refusal{Code: Saturated, RetryAfter: time.Second}
		}
		return nil
	}
	spare := time.Duration(a.config.WaitFraction * float64(it.latestStart.Sub(now)))
	if spare <= 0 {
		return &Refusal{Code: Late}
	}
	all, own := it.band.costAhead(it)
	total := all + a.costOfOtherBands(it, all+it.cost)
	rate := a.serviceRate(it, c)
	placed := a.placedDelay(c)
	wait := placed + duration(float64(total)/rate)
	code := a.checkLimits(it)
	if code == "" && wait <= spare {
		return nil
	}
	if code == "" {
		code = Saturated
		if 2*own > all {
			code = Share
		}
	}
	// A retry helps once the work ahead is done. Requests rejected at the same
	// time would also retry at the same time, so each delay is extended by up to
	// a quarter, depending on the ID.
	spread := 1 + float64(it.request.ID*0x9e3779b97f4a7c15>>56)/1024
	return &Refusal{Code: code, RetryAfter: time.Duration(float64(min(max(wait, minRetryAfter), maxRetryAfter)) * spread)}
}

// checkLimits returns the refusal code if the request exceeds the limits of the
// queue, or "". A team may hold no more than what is still free, so that a team
// that sends most of the load leaves half of the queue to the others.
func (a *Admitter) checkLimits(it *item) string {
	l := a.teamLoads[it.request.Team]
	requests := a.config.MaxRequests - a.total.requests
	tokens := a.config.MaxTokens - a.total.promptTokens
	switch {
	case requests < 1 || tokens < it.request.PromptTokens:
		return Saturated
	case l.requests > 0 && (l.requests >= requests || l.promptTokens+it.request.PromptTokens > tokens):
		return Share
	}
	return ""
}

// costOfOtherBands returns the cost that the other bands are served while the
// request's band is served the given cost. A band whose first request would
// finish later than that goes after this request, however far it is behind in
// virtual time. A blocked band keeps its claim to the next free slot, but the
// service it has missed so far does not count as work ahead of this request: it
// waits for something else, such as memory, and other requests pass it in the
// meantime.
func (a *Admitter) costOfOtherBands(it *item, cost int64) int64 {
	var sum int64
	until := max(it.band.virtualTime, a.virtualTime)
	if it.band.load.requests > 0 {
		until = it.band.virtualTime
	}
	begin := until
	until += float64(cost) / it.band.weight
	for _, b := range a.bands {
		if b == it.band || len(b.heap) == 0 || b.finishTime(b.heap[0].queue.first().cost) > until {
			continue
		}
		from := b.virtualTime
		if b.blocked {
			from = max(from, begin)
		}
		sum += min(b.load.cost, int64((until-from)*b.weight))
	}
	return sum
}

// placedDelay returns how long requests already placed delay the next one.
func (a *Admitter) placedDelay(c Capacity) time.Duration {
	return duration(c.PrefillLeft / c.prefillRate())
}

// serviceRate returns the cost served per second for the mix of waiting
// requests: prompts are limited by the prefill rate and answers by the slots,
// and the slower of the two determines the rate.
func (a *Admitter) serviceRate(it *item, c Capacity) float64 {
	l := it.band.load
	l.add(it.request, it.cost, 1)
	read := float64(l.promptTokens) / c.prefillRate()
	held := (float64(l.promptTokens)/c.upstreamPrefillRate() + a.config.OutputFraction*float64(l.maxOutput)/c.decodeRate()) / float64(max(1, c.Slots))
	return float64(l.cost) / max(read, held, 1e-9)
}

// recomputeLatestStarts updates the latest start of every waiting request for a
// lower capacity.
func (a *Admitter) recomputeLatestStarts(c Capacity) {
	a.capacity = c
	for _, it := range a.byLatestStart {
		it.latestStart = a.latestStart(it.request, c)
	}
	heap.Init(&a.byLatestStart)
}

func isSlower(c, than Capacity) bool {
	return c.upstreamPrefillRate() < slowdownThreshold*than.upstreamPrefillRate() || c.decodeRate() < slowdownThreshold*than.decodeRate()
}

// prefillRate is never zero, so that with no capacity at all every request
// counts as late.
func (c Capacity) prefillRate() float64 { return max(c.PrefillRate, 1e-3) }

func (c Capacity) decodeRate() float64 { return max(c.DecodeRate, 1e-3) }

func (c Capacity) upstreamPrefillRate() float64 {
	if c.UpstreamPrefillRate > 0 {
		return c.UpstreamPrefillRate
	}
	return c.prefillRate()
}

// maxEstimate limits estimated durations, so that sums cannot overflow.
const maxEstimate = 1000 * time.Hour

func duration(s float64) time.Duration {
	return time.Duration(math.Min(s*float64(time.Second), float64(maxEstimate)))
}
