// Package budgeter keeps bounds that hold in sum over all VMs although each VM
// decides alone: how many requests are sent once more, and how many reach an
// upstream in cold start. It answers a group of upstreams that fails under many
// VMs at once: without a common bound every VM adds its own repeats, and the
// group gets a multiple of its load when it can bear least; and a cold engine
// that each VM takes for idle gets as many first requests as there are VMs, and
// falls over.
//
// Each VM has a fixed part of the bound, by the number of VMs that live, and none of
// what others may have used before it began. Where
// a part would be under one, some VMs have one each and the others none, by a
// hash of the upstream's and the VM's names, so that different upstreams are
// open to different VMs. Nothing is lent and no message is on a request's path.
package budgeter

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Quota is how many of a bound's whole units one of the VMs may use. The VMs are
// named in the same order on each of them.
func Quota(bound float64, matter, vm string, vms []string) int {
	n := max(1, len(vms))
	each := int(bound) / n
	// What division leaves goes to the VMs that rank first for this matter.
	left := int(bound) - each*n
	if left == 0 {
		return each
	}
	mine := rank(matter, vm)
	before := 0
	for _, other := range vms {
		if other != vm && first(rank(matter, other), other, mine, vm) {
			before++
		}
	}
	if before < left {
		return each + 1
	}
	return each
}

func rank(matter, vm string) uint64 {
	return xxhash.Sum64String(matter + "\x00" + vm)
}

func first(a uint64, aName string, b uint64, bName string) bool {
	if a != b {
		return a < b
	}
	return aName < bName
}

// A Window counts events over a sliding span of time.
type Window struct {
	span  time.Duration
	times []time.Time
}

// NewWindow returns an empty Window.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// Count is how many events the window ending now holds.
func (w *Window) Count(now time.Time) int {
	i := 0
	for i < len(w.times) && now.Sub(w.times[i]) >= w.span {
		i++
	}
	w.times = w.times[i:]
	return len(w.times)
}

// Add puts an event into the window.
func (w *Window) Add(now time.Time) {
	w.Count(now)
	w.times = append(w.times, now)
}

// A MemberHistory keeps which VMs lived over a span.
type MemberHistory struct {
	span time.Duration
	// began is when this VM began; zero where no VM was there before.
	began time.Time
	lists []list
}

type list struct {
	since time.Time
	vms   []string
}

// rejoin is by how much longer than a span a VM that has begun leaves bounds to the
// others: these hear of it a moment later.
const rejoin = 2 * time.Second

// NewMemberHistory returns a History of a VM that has begun at a time, zero where no VM was
// there before.
func NewMemberHistory(span time.Duration, began time.Time) *MemberHistory {
	return &MemberHistory{span: span, began: began}
}

// Record notes which VMs live, in order. It is called whenever that may have changed.
func (h *MemberHistory) Record(now time.Time, vms []string) {
	if len(h.lists) == 0 || !slices.Equal(h.lists[len(h.lists)-1].vms, vms) {
		h.lists = append(h.lists, list{now, vms})
	}
	for len(h.lists) > 1 && now.Sub(h.lists[1].since) >= h.span {
		h.lists = h.lists[1:]
	}
}

// Quota is how many of a bound's whole units a VM may use, where these count over the
// span: the least of its parts in that time. A part that grows as others end was
// theirs until then, and a VM that has just begun has none: it does not know what it
// used before, and what the others had while it was away may be used up.
func (h *MemberHistory) Quota(now time.Time, bound float64, matter, vm string) int {
	if len(h.lists) == 0 || (!h.began.IsZero() && now.Sub(h.began) < h.span+rejoin) {
		return 0
	}
	least := math.MaxInt
	for i, l := range h.lists {
		if i+1 < len(h.lists) && now.Sub(h.lists[i+1].since) >= h.span {
			continue
		}
		least = min(least, Quota(bound, matter, vm, l.vms))
	}
	return least
}

// RetryBudget bounds the requests of one service that are sent once more.
type RetryBudget struct {
	// Ratio is how many repeats each request adds, Slack how many all VMs
	// together have besides, in each span.
	Ratio, Slack float64
	firsts       *Window
	again        *Window
}

// NewRetryBudget returns a bound over sliding spans.
func NewRetryBudget(ratio, slack float64, span time.Duration) *RetryBudget {
	return &RetryBudget{Ratio: ratio, Slack: slack, firsts: NewWindow(span), again: NewWindow(span)}
}

// Sent counts a request's first sending.
func (r *RetryBudget) Sent(now time.Time) { r.firsts.Add(now) }

// TryRetry asks for one repeat, and counts it where it is granted.
func (r *RetryBudget) TryRetry(now time.Time, vm string, h *MemberHistory) bool {
	bound := r.Ratio*float64(r.firsts.Count(now)) + float64(h.Quota(now, r.Slack, "repeats", vm))
	if float64(r.again.Count(now)+1) > bound {
		return false
	}
	r.again.Add(now)
	return true
}

// coldSpan is the span over which requests to a cold upstream are counted. It
// is a second, by which operators state what such an upstream bears, and a
// fifth more, because requests sent within one span arrive within a shorter one
// when the first of them is delayed on its way.
const coldSpan = 1200 * time.Millisecond

// ColdLimiter bounds the requests sent to one upstream in cold start.
type ColdLimiter struct {
	sent *Window
}

// NewColdLimiter returns a bound for one upstream.
func NewColdLimiter() *ColdLimiter { return &ColdLimiter{sent: NewWindow(coldSpan)} }

// Available is how many requests may be sent now of so many a second.
func (c *ColdLimiter) Available(now time.Time, part int) int { return max(0, part-c.sent.Count(now)) }

// Sent counts a request. It is counted for upstreams that are not cold as well,
// because one may turn out to have been cold already.
func (c *ColdLimiter) Sent(now time.Time) { c.sent.Add(now) }

// leastRate is the rate a second to which a limit is raised: without a request now
// and then nobody would hear that an upstream takes more again.
const leastRate = 0.25

// burst is for how long a Rate saves up what was not sent, and holds one request at
// least.
const burst = 250 * time.Millisecond

// A RateLimiter spreads the requests to an upstream that has named a limit. What is left of
// an earlier time is not made up for: the upstream is in need.
type RateLimiter struct {
	tokens float64
	at     time.Time
}

// NewRateLimiter returns a Rate that has saved up nothing: another VM may have sent until
// now.
func NewRateLimiter(now time.Time) *RateLimiter { return &RateLimiter{at: now} }

// Available is how many requests may be sent now, of so many a second.
func (r *RateLimiter) Available(now time.Time, perSecond float64) int {
	r.tokens += perSecond * now.Sub(r.at).Seconds()
	r.tokens = min(r.tokens, max(1, perSecond*burst.Seconds()))
	r.at = now
	return max(0, int(r.tokens))
}

// Sent counts a request.
func (r *RateLimiter) Sent() { r.tokens-- }

// EffectiveRate is the rate to which the requests of all VMs to an upstream are held that has
// named one.
func EffectiveRate(named float64) float64 { return max(named, leastRate) }

// idleShare is the part of the connections that an upstream accepts from all VMs that
// may be idle. The others are for requests: what exceeds them is reset.
const idleShare = 0.5

// IdleConnections is how many idle connections a VM may keep to an upstream that accepts so many
// from all, where it keeps no more than the usual number anyway.
func IdleConnections(connections, usual int, upstream, vm string, vms []string) int {
	bound := idleShare * float64(connections)
	if bound >= float64(usual*len(vms)) {
		return usual
	}
	return min(usual, Quota(bound, "idle "+upstream, vm, vms))
}

// AssumedVMs are names for VMs that are assumed to live while a process has not
// yet heard of the others: n in all, this one included.
func AssumedVMs(vm string, n int) []string {
	vms := []string{vm}
	for i := 1; i < n; i++ {
		vms = append(vms, "unknown-"+strconv.Itoa(i))
	}
	return vms
}
