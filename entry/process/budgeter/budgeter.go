// Package budgeter enforces limits on the whole fleet without coordination
// between VMs: how many requests are retried, how many reach an upstream in cold
// start, and how many idle connections are kept. Without a shared retry budget
// each VM adds its own retries when a group of upstreams fails, and the group gets
// a multiple of its load while it can serve least. Without a shared cold-start
// limit every VM takes a cold engine for idle, and the engine crashes under as
// many first requests as there are VMs.
//
// Each VM gets a fixed quota of a limit, computed from the number of live VMs,
// and nothing of what other VMs may have used before it started. Where the quota
// would be below one, some VMs get one unit and the others none, chosen by a hash
// of the names of the upstream and the VM, so that different upstreams are
// available to different VMs. VMs do not borrow quota from each other, and no
// request waits for a message between VMs.
package budgeter

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Quota returns how many whole units of a limit on a resource one VM may use. All
// VMs must pass the VM names in the same order.
func Quota(limit float64, resource, vm string, vms []string) int {
	n := max(1, len(vms))
	quota := int(limit) / n
	// The remainder goes to the VMs that rank first for this resource.
	remainder := int(limit) - quota*n
	if remainder == 0 {
		return quota
	}
	ownHash := hash(resource, vm)
	before := 0
	for _, other := range vms {
		if other != vm && ranksBefore(hash(resource, other), other, ownHash, vm) {
			before++
		}
	}
	if before < remainder {
		return quota + 1
	}
	return quota
}

// hash ranks the VMs differently for each resource.
func hash(resource, vm string) uint64 {
	return xxhash.Sum64String(resource + "\x00" + vm)
}

func ranksBefore(a uint64, aName string, b uint64, bName string) bool {
	if a != b {
		return a < b
	}
	return aName < bName
}

// A Window counts the events within a sliding window of time.
type Window struct {
	span  time.Duration
	times []time.Time
}

// NewWindow returns an empty Window.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// Count drops expired events and returns the number of events in the window that
// ends now.
func (w *Window) Count(now time.Time) int {
	i := 0
	for i < len(w.times) && now.Sub(w.times[i]) >= w.span {
		i++
	}
	w.times = w.times[i:]
	return len(w.times)
}

// Add records an event at now.
func (w *Window) Add(now time.Time) {
	w.Count(now)
	w.times = append(w.times, now)
}

// A MemberHistory records which VMs were live within the last span.
type MemberHistory struct {
	span time.Duration
	// startedAt is when this VM started; zero if no VM was running before.
	startedAt   time.Time
	memberships []membership
}

// A membership is the list of live VMs from a point in time on.
type membership struct {
	since time.Time
	vms   []string
}

// rejoinDelay is how much longer than the span a VM that has started uses no
// quota: the other VMs learn of it a moment later.
const rejoinDelay = 2 * time.Second

// NewMemberHistory returns the history of a VM that started at startedAt, which is
// zero if no VM was running before.
func NewMemberHistory(span time.Duration, startedAt time.Time) *MemberHistory {
	return &MemberHistory{span: span, startedAt: startedAt}
}

// Record notes which VMs are live, in order. Call it whenever that may have
// changed.
func (h *MemberHistory) Record(now time.Time, vms []string) {
	if len(h.memberships) == 0 || !slices.Equal(h.memberships[len(h.memberships)-1].vms, vms) {
		h.memberships = append(h.memberships, membership{now, vms})
	}
	for len(h.memberships) > 1 && now.Sub(h.memberships[1].since) >= h.span {
		h.memberships = h.memberships[1:]
	}
}

// isStarting reports whether this VM has just started.
func (h *MemberHistory) isStarting(now time.Time) bool {
	return !h.startedAt.IsZero() && now.Sub(h.startedAt) < h.span+rejoinDelay
}

// Quota returns how many whole units of a limit over the span a VM may use: its
// smallest quota within that span. When the quota grows because other VMs have
// ended, the added units belonged to those VMs until then. A VM that has just
// started gets none: it does not know what it used before, and the units that the
// other VMs had in its absence may be used up.
func (h *MemberHistory) Quota(now time.Time, limit float64, resource, vm string) int {
	if len(h.memberships) == 0 || h.isStarting(now) {
		return 0
	}
	quota := math.MaxInt
	for i, m := range h.memberships {
		if i+1 < len(h.memberships) && now.Sub(h.memberships[i+1].since) >= h.span {
			continue
		}
		quota = min(quota, Quota(limit, resource, vm, m.vms))
	}
	return quota
}

// A RetryBudget limits the retries of the requests of one service.
type RetryBudget struct {
	// Ratio is how many retries each request adds. Slack is how many retries all VMs
	// together get in addition, per span.
	Ratio, Slack float64
	span         time.Duration
	requests     *Window
	retries      *Window
}

// arrivalJitter is how much longer than the span a retry counts. Upstreams count retries when
// they arrive: the first of two that were sent a span apart may have been delayed.
const arrivalJitter = 100 * time.Millisecond

// NewRetryBudget returns an empty budget over a sliding window of the given span.
func NewRetryBudget(ratio, slack float64, span time.Duration) *RetryBudget {
	return &RetryBudget{Ratio: ratio, Slack: slack, span: span, requests: NewWindow(span + span/2), retries: NewWindow(span + arrivalJitter)}
}

// Sent counts the first attempt of a request.
func (r *RetryBudget) Sent(now time.Time) { r.requests.Add(now) }

// TryRetry reports whether one retry is within the budget, and counts it if so.
func (r *RetryBudget) TryRetry(now time.Time, vm string, h *MemberHistory) bool {
	requests := r.fewestRequests(now)
	if h.isStarting(now) {
		// It does not know the requests from before its start, and has no slack yet.
		// With the fewest it would retry nothing for half a span, when retries are
		// needed most: other VMs have started as well.
		requests = countWithin(r.requests.times, now, r.span)
	}
	limit := r.Ratio*float64(requests) + float64(h.Quota(now, r.Slack, "repeats", vm))
	if float64(r.retries.Count(now)+1) > limit {
		return false
	}
	r.retries.Add(now)
	return true
}

// fewestRequests returns the smallest number of requests within a span that has ended in the
// last half span. The retries of a span are measured against the requests of that span, of
// the span before it or of the one half a span before it. The end of one of the latter two
// is always among the ends considered here, whenever the measured span starts. If only the
// last span counted, retries would exceed the limit where the load was highest between two
// of those that are measured.
func (r *RetryBudget) fewestRequests(now time.Time) int {
	r.requests.Count(now)
	times := r.requests.times
	earliest := now.Add(-r.span / 2)
	fewest := countWithin(times, now, r.span)
	fewest = min(fewest, countWithin(times, earliest, r.span))
	for _, at := range times {
		// The number is lowest when a request has just expired.
		if end := at.Add(r.span); end.After(earliest) && end.Before(now) {
			fewest = min(fewest, countWithin(times, end, r.span))
		}
	}
	return fewest
}

// countWithin returns how many of the sorted times lie within the span that ends at end.
func countWithin(times []time.Time, end time.Time, span time.Duration) int {
	after := func(at time.Time) int {
		i, _ := slices.BinarySearchFunc(times, at, func(t, target time.Time) int {
			if t.After(target) {
				return 1
			}
			return -1
		})
		return i
	}
	return after(end) - after(end.Add(-span))
}

// coldWindow is the window over which requests to a cold upstream are counted.
// Operators state the capacity of a cold upstream per second. The window is a
// fifth longer, because requests sent within one window arrive within a shorter
// one when the first of them is delayed on its way.
const coldWindow = 1200 * time.Millisecond

// A ColdLimiter limits the requests sent to one upstream in cold start.
type ColdLimiter struct {
	sent *Window
}

// NewColdLimiter returns a ColdLimiter that has counted no requests.
func NewColdLimiter() *ColdLimiter { return &ColdLimiter{sent: NewWindow(coldWindow)} }

// Available returns how many requests may be sent now under a quota of requests per
// second.
func (c *ColdLimiter) Available(now time.Time, quota int) int { return max(0, quota-c.sent.Count(now)) }

// Sent counts a request. Call it for upstreams that are not known to be cold as
// well: one may turn out to have been cold already.
func (c *ColdLimiter) Sent(now time.Time) { c.sent.Add(now) }

// minRate is the lowest rate per second that EffectiveRate returns. Without an
// occasional request no VM would learn that the upstream accepts more again.
const minRate = 0.25

// burstWindow is how much unused time a RateLimiter accumulates tokens for. The
// bucket has room for at least one request.
const burstWindow = 250 * time.Millisecond

// A RateLimiter is a token bucket that spaces the requests to an upstream that has
// announced a rate limit. Unused capacity beyond the bucket is lost, because the
// upstream is overloaded.
type RateLimiter struct {
	tokens    float64
	updatedAt time.Time
}

// NewRateLimiter returns a RateLimiter with an empty bucket: another VM may have
// sent requests until now.
func NewRateLimiter(now time.Time) *RateLimiter { return &RateLimiter{updatedAt: now} }

// Available refills the bucket at a rate of perSecond and returns how many requests
// may be sent now.
func (r *RateLimiter) Available(now time.Time, perSecond float64) int {
	r.tokens += perSecond * now.Sub(r.updatedAt).Seconds()
	r.tokens = min(r.tokens, max(1, perSecond*burstWindow.Seconds()))
	r.updatedAt = now
	return max(0, int(r.tokens))
}

// Sent counts a request.
func (r *RateLimiter) Sent() { r.tokens-- }

// EffectiveRate returns the rate that all VMs together keep to for an upstream that
// has announced the given rate limit.
func EffectiveRate(rate float64) float64 { return max(rate, minRate) }

// maxIdleShare is the share of an upstream's connection limit that idle connections
// may take. The rest is for requests: the upstream resets connections above its
// limit.
const maxIdleShare = 0.5

// IdleConnections returns how many idle connections a VM may keep to an upstream
// that accepts the given number from all VMs, and at most usual.
func IdleConnections(connections, usual int, upstream, vm string, vms []string) int {
	limit := maxIdleShare * float64(connections)
	if limit >= float64(usual*len(vms)) {
		return usual
	}
	return min(usual, Quota(limit, "idle "+upstream, vm, vms))
}
