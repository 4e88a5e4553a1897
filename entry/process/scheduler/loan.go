package scheduler

import (
	"time"

	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// Loans are the upstreams that change hands between the group of a Scheduler and others.
type Loans struct {
	// Borrowed holds until when upstreams of other zones may be used, Lent until when
	// upstreams of the Scheduler's zone may not.
	Borrowed, Lent map[string]time.Time
	// Loads is what other groups have in progress at upstreams that this one uses.
	Loads map[string]placer.Load
}

// SetLoans replaces the loans. The maps must not be changed afterwards.
func (s *Scheduler) SetLoans(l Loans) {
	s.withLock(func() {
		s.loans = l
		s.dispatch()
	})
}

// Uses reports whether the Scheduler may place requests at an upstream, as far as groups
// and loans decide it. The times of the loans are compared at each use: after a pause of
// the process, loans have ended without any event.
func (s *Scheduler) Uses(now time.Time, u *tracker.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.uses(now, u)
}

func (s *Scheduler) uses(now time.Time, u *tracker.State) bool {
	switch {
	case s.zone == "":
		return true
	case u.Zone == s.zone:
		return !now.Before(s.loans.Lent[u.ID])
	}
	// The quotas of cold and limited upstreams are counted by the group of their zone.
	return now.Before(s.loans.Borrowed[u.ID]) && !now.Before(u.ColdUntil) && !u.Limit.Limited
}
