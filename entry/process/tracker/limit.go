package tracker

import "time"

// A Limit is how many requests a second an upstream takes from all VMs together, for
// as long as it says so.
type Limit struct {
	Limited bool
	Rate    float64
	// AsOf is when the upstream said that, or that it has none; zero where it never
	// named one.
	AsOf time.Time
}

// ReportLimit notes what an upstream said of its limit. It gives what was known before,
// and says whether that was something else. Whoever listens is told each time that a
// limit is named: one word may be lost.
func (t *Tracker) ReportLimit(id string, l Limit) (old Limit, changed bool) {
	old, newer := t.limit(id, l)
	changed = newer && (old.Limited != l.Limited || old.Rate != l.Rate)
	if changed || (newer && l.Limited) {
		t.notify(Event{Finding: FoundLimit, Upstreams: []string{id}, Limit: l})
	}
	return old, changed
}

// MergeLimit notes what another VM was told of an upstream's limit.
func (t *Tracker) MergeLimit(id string, l Limit) (old Limit, changed bool) {
	old, newer := t.limit(id, l)
	return old, newer && (old.Limited != l.Limited || old.Rate != l.Rate)
}

// limit keeps the newest word of an upstream that has ever named a limit.
func (t *Tracker) limit(id string, l Limit) (old Limit, newer bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.known[id]
	if !ok || !l.AsOf.After(s.Limit.AsOf) || (!l.Limited && s.Limit.AsOf.IsZero()) {
		return Limit{}, false
	}
	old, s.Limit = s.Limit, l
	return old, true
}

// Limits are the newest words of the upstreams of a service that have named a limit,
// of a zone or, where that is empty, of all.
func (t *Tracker) Limits(service, zone string) map[string]Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found map[string]Limit
	for id, s := range t.known {
		if s.Limit.AsOf.IsZero() || s.Service != service || (zone != "" && s.Zone != zone) {
			continue
		}
		if found == nil {
			found = make(map[string]Limit)
		}
		found[id] = s.Limit
	}
	return found
}
