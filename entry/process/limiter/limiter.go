// Package limiter decides how many requests an upstream is lent out for. It
// answers upstreams that turn cold without warning and zones that come back.
// Without it a restarted upstream gets its full load while it can bear little,
// falls over, restarts, and falls over again.
//
// The limit falls at once on any evidence of coldness and rises only with
// completed work, never by time alone: an upstream that answers nothing has
// proved nothing, however long it has been up.
package limiter

// A Limiter belongs to the holder of one upstream. It is not safe for use by
// several goroutines.
type Limiter struct {
	slots, cold int
	limit       int
	// done counts completions since the limit last changed.
	done int
	boot uint64
	// reports says that the upstream reports whether it is cold, and warm
	// that it reported not to be, under its present boot number.
	reports, warm bool
}

// New returns a Limiter for an upstream that runs slots requests when warm and
// bears cold ones when cold. It starts cold: a new holder knows nothing yet.
func New(slots, cold int) *Limiter {
	slots = max(1, slots)
	cold = min(max(1, cold), slots)
	return &Limiter{slots: slots, cold: cold, limit: cold}
}

// Limit is how many requests the upstream may have in progress over all VMs.
func (l *Limiter) Limit() int { return l.limit }

// Cold says that the limit has not yet risen above what it bears when cold.
func (l *Limiter) Cold() bool { return l.limit == l.cold && l.cold < l.slots }

// Boot is the boot number that the limit is for; 0 when none is known.
func (l *Limiter) Boot() uint64 { return l.boot }

// Completed counts n requests that were begun and answered whole since the
// limit last fell. Each time that Limit of them have ended, the limit doubles:
// the upstream has then done all that it was thought to bear. An upstream that
// reports to be cold, or has reported nothing under its present boot number,
// stays at what it bears when cold, however much it completes.
func (l *Limiter) Completed(n int) {
	if l.reports && !l.warm {
		return
	}
	l.done += n
	for l.limit < l.slots && l.done >= l.limit {
		l.done -= l.limit
		l.limit = min(l.slots, 2*l.limit)
	}
	if l.limit == l.slots {
		l.done = 0
	}
}

// TurnedCold says that there is evidence of coldness: a new boot number, a refusal,
// a reset connection, or a slow first answer. The boot number is the newest
// known, or 0.
func (l *Limiter) TurnedCold(boot uint64) {
	if boot != 0 {
		l.boot = boot
	}
	l.warm = false
	l.limit, l.done = l.cold, 0
}

// Reported takes an upstream's own report. One under another boot number is
// evidence by itself; an older report, made before the upstream turned, comes
// late and under the old number, and must not count as warm.
func (l *Limiter) Reported(boot uint64, cold bool) {
	switch {
	case boot < l.boot:
		return
	case boot > l.boot && l.boot != 0:
		l.TurnedCold(boot)
	case cold && l.warm:
		l.TurnedCold(boot)
	}
	l.boot = boot
	l.reports = true
	l.warm = !cold
}

// ZoneRestored says that the upstream's availability zone is back in service. An
// upstream that is warm begins with half of its slots, and the other half
// comes back with completed work as after a cold start: the VMs of the zone
// return together, and their load with them.
func (l *Limiter) ZoneRestored() {
	l.limit = max(l.cold, min(l.limit, l.slots/2))
	l.done = 0
}
