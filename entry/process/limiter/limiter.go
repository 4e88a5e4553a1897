// Package limiter decides how many concurrent requests an upstream may be given.
// It handles upstreams that turn cold without warning and availability zones that
// return to service. Without it a restarted upstream gets its full load while its
// capacity is small, crashes, restarts, and crashes again.
//
// The limit drops at once on any sign that the upstream is cold, and rises only
// with completed requests, never with time alone: an upstream that answers nothing
// has shown nothing, however long it has been up.
package limiter

// A Limiter holds the limit of one upstream and belongs to the VM that holds that
// upstream. It is not safe for concurrent use.
type Limiter struct {
	slots, coldSlots int
	limit            int
	// completed counts the completed requests since the limit last changed.
	completed int
	boot      uint64
	// reportsState is set once the upstream has reported whether it is cold.
	// reportedWarm is set if it reported to be warm under its current boot number.
	reportsState, reportedWarm bool
}

// New returns a Limiter for an upstream that runs slots concurrent requests when
// warm and cold requests when cold. It starts cold, because a new holder knows
// nothing about the upstream yet.
func New(slots, cold int) *Limiter {
	slots = max(1, slots)
	cold = min(max(1, cold), slots)
	return &Limiter{slots: slots, coldSlots: cold, limit: cold}
}

// Limit returns how many requests of all VMs may be in progress at the upstream.
func (l *Limiter) Limit() int { return l.limit }

// Cold reports whether the limit is still at the cold capacity.
func (l *Limiter) Cold() bool { return l.limit == l.coldSlots && l.coldSlots < l.slots }

// Boot returns the boot number that the limit applies to, or 0 if none is known.
func (l *Limiter) Boot() uint64 { return l.boot }

// Completed counts n requests that were started after the limit last dropped and
// answered in full. The limit doubles each time that as many requests as the
// current limit have completed: the upstream has then handled all that it was
// assumed to handle. An upstream that reports to be cold, or that reports its state
// but has not yet done so under its current boot number, stays at its cold
// capacity, however many requests it completes.
func (l *Limiter) Completed(n int) {
	if l.reportsState && !l.reportedWarm {
		return
	}
	l.completed += n
	for l.limit < l.slots && l.completed >= l.limit {
		l.completed -= l.limit
		l.limit = min(l.slots, 2*l.limit)
	}
	if l.limit == l.slots {
		l.completed = 0
	}
}

// TurnedCold resets the limit to the cold capacity on a sign that the upstream is
// cold: a new boot number, a refusal, a reset connection, or a slow first answer.
// The boot number is the newest known, or 0.
func (l *Limiter) TurnedCold(boot uint64) {
	if boot != 0 {
		l.boot = boot
	}
	l.reportedWarm = false
	l.limit, l.completed = l.coldSlots, 0
}

// Reported processes a report of the upstream about itself. A new boot number is
// by itself a sign that the upstream is cold. A report under an older boot number
// was made before the upstream turned cold and arrives late; it must not count as
// warm.
func (l *Limiter) Reported(boot uint64, cold bool) {
	switch {
	case boot < l.boot:
		return
	case boot > l.boot && l.boot != 0:
		l.TurnedCold(boot)
	case cold && l.reportedWarm:
		l.TurnedCold(boot)
	}
	l.boot = boot
	l.reportsState = true
	l.reportedWarm = !cold
}

// ZoneRestored lowers the limit to half of the slots when the upstream's
// availability zone is back in service. A warm upstream regains the other half with
// completed requests, as after a cold start: the VMs of the zone return together,
// and their load with them.
func (l *Limiter) ZoneRestored() {
	l.limit = max(l.coldSlots, min(l.limit, l.slots/2))
	l.completed = 0
}
