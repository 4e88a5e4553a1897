package tracker

import "time"

const (
	// maxClockSkew bounds the difference between the clocks of VMs and of upstreams.
	maxClockSkew = 5 * time.Second
	// departureRetention is how long the departure of an upstream that is no longer
	// listed is remembered. An entry that was removed may come back for as long as the
	// process that it describes lives.
	departureRetention = 10 * time.Minute
)

// A Departure records that the process of an upstream announced in a response that it is
// leaving. Unlike the state of a listed upstream it outlives the upstream's entry: the
// list may show the upstream as ready long after the announcement, and entries that
// lapsed come back.
type Departure struct {
	Upstream string
	// StartedAt is the start time of the process in Unix milliseconds, as listed at the
	// announcement; 0 if it was not listed.
	StartedAt int64
	// AnnouncedAt is when a VM received the announcement.
	AnnouncedAt time.Time
}

// covers reports whether a list entry describes the process that is leaving and not a
// later one. The entry known at the announcement may have been of an earlier process, so
// any process that had started well before it is covered as well.
func (d Departure) covers(u *Upstream) bool {
	switch {
	case d.AnnouncedAt.IsZero():
		return false
	case u.StartedAt == d.StartedAt, u.StartedAt == 0:
		return true
	case d.StartedAt == 0:
		return u.StartedAt < d.AnnouncedAt.UnixMilli()
	}
	return u.StartedAt < d.AnnouncedAt.Add(-maxClockSkew).UnixMilli()
}

// ReportDeparture records that the process of an upstream, started at the given time in
// Unix milliseconds, announced to this VM that it is leaving. It reports whether that was
// not known. startedAt is 0 if it is unknown.
func (t *Tracker) ReportDeparture(now time.Time, id string, startedAt int64) (isNew bool) {
	d := Departure{Upstream: id, StartedAt: startedAt, AnnouncedAt: now}
	if isNew = t.MergeDeparture(now, d); isNew {
		t.notify(Event{Finding: FoundDeparture, Upstreams: []string{id}, Departure: d})
	}
	return isNew
}

// MergeDeparture records a departure that was announced to another VM. It reports whether
// it was not known.
func (t *Tracker) MergeDeparture(now time.Time, d Departure) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.StartedAt == 0 {
		if s, ok := t.upstreams[d.Upstream]; ok {
			d.StartedAt = s.StartedAt
		}
	}
	if t.departures[d.Upstream].covers(&Upstream{StartedAt: d.StartedAt}) {
		return false
	}
	for id, old := range t.departures {
		if _, listed := t.upstreams[id]; !listed && now.Sub(old.AnnouncedAt) > departureRetention {
			delete(t.departures, id)
		}
	}
	t.departures[d.Upstream] = d
	return true
}

// Departures returns the departures of a service's listed upstreams in the given zone or,
// if zone is empty, in all zones.
func (t *Tracker) Departures(service, zone string) (all []Departure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, d := range t.departures {
		if s, ok := t.upstreams[id]; ok && s.Service == service && (zone == "" || s.Zone == zone) && d.covers(&s.Upstream) {
			all = append(all, d)
		}
	}
	return all
}
