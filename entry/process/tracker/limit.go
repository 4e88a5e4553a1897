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

// Limit notes what an upstream said of its limit. It gives what was known before,
// and says whether that was something else.
func (t *Tracker) Limit(id string, l Limit) (old Limit, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.known[id]
	if !ok || !l.AsOf.After(s.Limit.AsOf) || (!l.Limited && s.Limit.AsOf.IsZero()) {
		return Limit{}, false
	}
	old, s.Limit = s.Limit, l
	return old, old.Limited != l.Limited || old.Rate != l.Rate
}
