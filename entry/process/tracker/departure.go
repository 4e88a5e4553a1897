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

// An announcement is something that the process of an upstream said about itself in a
// response. It outlives the upstream's list entry: entries are late while the platform
// is unavailable, lapse and come back.
type announcement struct {
	// startedAt is the start time of the process in Unix milliseconds, as listed at the
	// announcement; 0 if it was not listed.
	startedAt int64
	at        time.Time
}

// newAnnouncement looks up the start time of the process if it is unknown. The caller
// holds the lock.
func (t *Tracker) newAnnouncement(at time.Time, id string, startedAt int64) announcement {
	if s, ok := t.upstreams[id]; ok && startedAt == 0 {
		startedAt = s.StartedAt
	}
	return announcement{startedAt, at}
}

// covers reports whether a list entry describes the process that made the announcement
// and not a later one. The entry known at the announcement may have been of an earlier
// process, so any process that had started well before it is covered as well.
func (a announcement) covers(u *Upstream) bool {
	switch {
	case a.at.IsZero():
		return false
	case u.StartedAt == a.startedAt, u.StartedAt == 0:
		return true
	case a.startedAt == 0:
		return u.StartedAt < a.at.UnixMilli()
	}
	return u.StartedAt < a.at.Add(-maxClockSkew).UnixMilli()
}

// A Departure is the announcement of an upstream's process that it is leaving.
type Departure struct {
	Upstream string
	// StartedAt is the start time of the process in Unix milliseconds; 0 if unknown.
	StartedAt int64
	// AnnouncedAt is when a VM received the announcement.
	AnnouncedAt time.Time
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
	a := t.newAnnouncement(d.AnnouncedAt, d.Upstream, d.StartedAt)
	if t.departures[d.Upstream].covers(&Upstream{StartedAt: a.startedAt}) {
		return false
	}
	for id, old := range t.departures {
		if _, listed := t.upstreams[id]; !listed && now.Sub(old.at) > departureRetention {
			delete(t.departures, id)
		}
	}
	t.departures[d.Upstream] = a
	return true
}

// Departures returns the departures of a service's listed upstreams in the given zone or,
// if zone is empty, in all zones.
func (t *Tracker) Departures(service, zone string) (all []Departure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, a := range t.departures {
		if s, ok := t.upstreams[id]; ok && s.Service == service && (zone == "" || s.Zone == zone) && a.covers(&s.Upstream) {
			all = append(all, Departure{id, a.startedAt, a.at})
		}
	}
	return all
}
