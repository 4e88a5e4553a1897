package replicator

import "time"

const (
	// shortSilence is the time between two answers of the platform that is none
	// worth keeping: VMs tell of them every quarter of a second.
	shortSilence = 300 * time.Millisecond
	// mostSilences bounds how many are kept.
	mostSilences = 64
)

// silences are the times in which the platform answered nobody. A VM whose own
// news come late, over a full link or from a busy peer, must not take that for an
// outage of the platform: it would use upstreams on that have said that they
// leave, in the belief that their entries only lapsed.
type silences struct {
	last time.Time
	past []silence
}

type silence struct{ from, to time.Time }

// heard notes an answer of the platform.
func (s *silences) heard(at time.Time) {
	if !at.After(s.last) {
		return
	}
	if !s.last.IsZero() && at.Sub(s.last) > shortSilence && len(s.past) < mostSilences {
		s.past = append(s.past, silence{s.last, at})
	}
	s.last = at
}

// longest is the longest of them after a time.
func (s *silences) longest(since time.Time) time.Duration {
	longest := time.Duration(0)
	for _, p := range s.past {
		from := p.from
		if from.Before(since) {
			from = since
		}
		longest = max(longest, p.to.Sub(from))
	}
	return longest
}

// forget drops those that ended before a time.
func (s *silences) forget(until time.Time) {
	kept := s.past[:0]
	for _, p := range s.past {
		if p.to.After(until) {
			kept = append(kept, p)
		}
	}
	s.past = kept
}
