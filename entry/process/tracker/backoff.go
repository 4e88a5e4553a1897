package tracker

import "time"

// A backoff is the time for which the process of an upstream wants no requests from this
// VM. Other VMs may send to it.
type backoff struct {
	announcement
	until time.Time
}

// ReportBackoff records that the process of an upstream, started at the given time in
// Unix milliseconds, wants no requests from this VM for a duration. startedAt is 0 if it
// is unknown. A shorter backoff does not end a longer one.
func (t *Tracker) ReportBackoff(now time.Time, id string, startedAt int64, d time.Duration) {
	t.mu.Lock()
	b := backoff{announcement: t.newAnnouncement(now, id, startedAt), until: now.Add(d)}
	if old := t.backoffs[id]; old.covers(&Upstream{StartedAt: b.startedAt}) && old.until.After(b.until) {
		b = old
	}
	for other, old := range t.backoffs {
		if !now.Before(old.until) {
			delete(t.backoffs, other)
		}
	}
	t.backoffs[id] = b
	t.mu.Unlock()
	t.notify(Event{Finding: FoundBackoff, Upstreams: []string{id}, For: b.until.Sub(now)})
}

// BackoffUntil returns until when this VM may not send anything to an upstream, or the
// zero time if it may.
func (t *Tracker) BackoffUntil(now time.Time, id string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.backoffs[id]
	if !ok || !t.applies(now, id, b) {
		return time.Time{}
	}
	return b.until
}

// Backoffs returns until when this VM may not send anything to upstreams, for those to
// which that applies.
func (t *Tracker) Backoffs(now time.Time) (until map[string]time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, b := range t.backoffs {
		if !t.applies(now, id, b) {
			continue
		}
		if until == nil {
			until = make(map[string]time.Time)
		}
		until[id] = b.until
	}
	return until
}

// applies reports whether a backoff has not ended and was not requested by an earlier
// process of the upstream than the listed one. The caller holds the lock.
func (t *Tracker) applies(now time.Time, id string, b backoff) bool {
	s, listed := t.upstreams[id]
	return now.Before(b.until) && (!listed || b.covers(&s.Upstream))
}
