package replicator

import "time"

const (
	// minSilence is the shortest interval between two answers of the platform that is
	// recorded. VMs report such answers every quarter of a second.
	minSilence = 300 * time.Millisecond
	// maxSilences bounds the number of recorded intervals.
	maxSilences = 64
)

// silences records the intervals during which the platform answered no VM. A VM whose
// own records arrive late, over a congested link or from a busy peer, must not
// mistake that delay for an outage of the platform: it would assume that the entries
// of upstreams which have left only expired, and would keep using those upstreams.
type silences struct {
	lastAnswer time.Time
	intervals  []silence
}

type silence struct{ from, to time.Time }

// recordAnswer records an answer of the platform.
func (s *silences) recordAnswer(at time.Time) {
	if !at.After(s.lastAnswer) {
		return
	}
	if !s.lastAnswer.IsZero() && at.Sub(s.lastAnswer) > minSilence && len(s.intervals) < maxSilences {
		s.intervals = append(s.intervals, silence{s.lastAnswer, at})
	}
	s.lastAnswer = at
}

// longest returns the length of the longest interval, counting only the part after a
// given time.
func (s *silences) longest(since time.Time) time.Duration {
	longest := time.Duration(0)
	for _, p := range s.intervals {
		from := p.from
		if from.Before(since) {
			from = since
		}
		longest = max(longest, p.to.Sub(from))
	}
	return longest
}

// discard removes the intervals that ended by a given time.
func (s *silences) discard(until time.Time) {
	kept := s.intervals[:0]
	for _, p := range s.intervals {
		if p.to.After(until) {
			kept = append(kept, p)
		}
	}
	s.intervals = kept
}
