package tracker

import "time"

// A Limit is the number of requests per second that an upstream accepts from all VMs
// together. It applies until the upstream announces another one.
type Limit struct {
	Limited bool
	Rate    float64
	// AsOf is when the upstream announced this limit or that it has none; zero if it
	// has never announced a limit.
	AsOf time.Time
}

// ReportLimit records a limit that an upstream announced to this VM. It returns the
// previous limit and reports whether the new one differs. The listener is notified
// each time a limit is announced, even an unchanged one, because a notification may
// be lost.
func (t *Tracker) ReportLimit(id string, l Limit) (old Limit, changed bool) {
	old, newer := t.updateLimit(id, l)
	changed = newer && (old.Limited != l.Limited || old.Rate != l.Rate)
	if changed || (newer && l.Limited) {
		t.notify(Event{Finding: FoundLimit, Upstreams: []string{id}, Limit: l})
	}
	return old, changed
}

// MergeLimit records a limit that an upstream announced to another VM.
func (t *Tracker) MergeLimit(id string, l Limit) (old Limit, changed bool) {
	old, newer := t.updateLimit(id, l)
	return old, newer && (old.Limited != l.Limited || old.Rate != l.Rate)
}

// updateLimit stores a newer limit of an upstream. An announcement that there is no
// limit is ignored if the upstream has never announced one.
func (t *Tracker) updateLimit(id string, l Limit) (old Limit, newer bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[id]
	if !ok || !l.AsOf.After(s.Limit.AsOf) || (!l.Limited && s.Limit.AsOf.IsZero()) {
		return Limit{}, false
	}
	old, s.Limit = s.Limit, l
	return old, true
}

// Limits returns the last limits of a service's upstreams that have announced one, in
// the given zone or, if zone is empty, in all zones.
func (t *Tracker) Limits(service, zone string) map[string]Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var limits map[string]Limit
	for id, s := range t.upstreams {
		if s.Limit.AsOf.IsZero() || s.Service != service || (zone != "" && s.Zone != zone) {
			continue
		}
		if limits == nil {
			limits = make(map[string]Limit)
		}
		limits[id] = s.Limit
	}
	return limits
}
