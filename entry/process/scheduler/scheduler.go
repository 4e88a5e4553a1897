// Package scheduler gives requests their places at upstreams. It keeps the work
// under way at each upstream of a group, holds requests that had better wait, in
// order, and lets go of those that can no longer be answered in time. Where a
// request goes is the placer's decision, which upstreams there are is the
// tracker's knowledge, and which VM schedules for which others is the allocator's
// matter.
//
// What waits here can still be ordered and placed elsewhere; what was sent
// cannot. So a long prompt waits here while engines read another, for as long
// as that costs its caller nothing.
package scheduler

import (
	"slices"
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/process/budgeter"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/request/ranker"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// retryEvery is how often a place is looked for for one request that waits. A
	// decision takes some tens of microseconds, and under load hundreds of events
	// a second could each change it.
	retryEvery = 4 * time.Millisecond
	// timeEvery is the same for one that no engine could begin in time: that
	// changes only as engines end what they read.
	timeEvery = 20 * time.Millisecond
)

// Deps are what a Scheduler works with.
type Deps struct {
	Tracker *tracker.Tracker
	// ColdQuota is how many requests a second this Scheduler may place at an
	// upstream in cold start that bears so many.
	ColdQuota func(upstream string, rate float64) int
	// RateQuota is how many requests a second this Scheduler may place at an
	// upstream that has named a limit for all VMs together.
	RateQuota func(named float64) float64
	Now       func() time.Time
}

// A Request is a request for a place.
type Request struct {
	Service      *matcher.Service
	Requirements placer.Request
	// Priority is the request's rank, 0 being the first.
	Priority int
	// Team is whose it is.
	Team string
	// Zone is that of the VM that asks, and Avoid are upstreams that it cannot
	// reach.
	Zone        string
	Unreachable []string
	// StopsAt is when that VM stops; zero while it does not.
	StopsAt time.Time
}

// A Refusal says that no place could be given in time. Nothing was sent.
type Refusal struct { //nolint:errname // the word that callers meet
	// Code is a short word for why.
	Code string
	// RetryAfter is when coming back helps.
	RetryAfter time.Duration
	// WaitTimes is how long it waited for what.
	WaitTimes WaitTimes
}

// Error gives the refusal in one line.
func (r *Refusal) Error() string { return "no place: " + r.Code }

// CodeNoUpstream is the code of a request for a service of which no upstream may be used.
const CodeNoUpstream = "no_upstream"

// CodeLate is the code of a request that could not be done in time.
const CodeLate = "late"

// A Scheduler places the requests for one group of upstreams.
type Scheduler struct {
	zone string
	deps Deps

	mu      sync.Mutex
	work    map[string]*placer.Load
	cold    map[string]*budgeter.ColdLimiter
	limits  map[string]*budgeter.RateLimiter
	waiting []*waiter
	// rankers keep the teams' use of each service.
	rankers map[string]*ranker.Ranker
	// holds is until when nothing is placed.
	holds time.Time
	// freed says that a place may have become free since the last scan.
	freed bool
	// unknown is what others may have at each upstream that nobody has told.
	unknown placer.Load
	// replies are those that are to be told once the lock is free.
	replies []reply
}

type waiter struct {
	call  Request
	times times
	tell  func(*Grant, *Refusal)
	// next is when a place is to be looked for again, and holds that what it lacks
	// holds back others.
	next  time.Time
	holds bool
	// waits is why it waits, and since when for this reason.
	waits wait
	// late and over are 1 where it can no longer be in time, and where its team
	// uses more than its share, when it was last sorted.
	late, over int
}

type reply struct {
	waiter  *waiter
	grant   *Grant
	refusal *Refusal
}

// New returns a Scheduler for the upstreams of a zone, or of all zones where it
// is empty.
func New(zone string, d Deps) *Scheduler {
	return &Scheduler{
		zone: zone, deps: d,
		work: make(map[string]*placer.Load), cold: make(map[string]*budgeter.ColdLimiter), limits: make(map[string]*budgeter.RateLimiter), rankers: make(map[string]*ranker.Ranker),
	}
}

// An Pending is a request for a place that may still wait.
type Pending struct {
	scheduler *Scheduler
	waiter    *waiter
}

// Submit asks for a place. It has tell called with the place or the refusal, once,
// by whoever calls the Scheduler when that is known, this call included.
func (s *Scheduler) Submit(c Request, tell func(*Grant, *Refusal)) *Pending {
	w := &waiter{call: c, times: timesOf(c), tell: tell}
	w.waits.since = s.deps.Now()
	s.locked(func() {
		s.waiting = append(s.waiting, w)
		s.pump()
	})
	return &Pending{s, w}
}

// locked does something under the lock, and gives the replies that came of it
// once the lock is free: whoever gets one may call this package again.
func (s *Scheduler) locked(do func()) {
	s.mu.Lock()
	do()
	replies := s.replies
	s.replies = nil
	s.mu.Unlock()
	for _, r := range replies {
		r.waiter.tell(r.grant, r.refusal)
	}
}

// Cancel takes the request back: its caller has gone, or its time is over. It
// gives how long it waited for what. One that was told has nothing to take back.
func (a *Pending) Cancel() WaitTimes {
	s := a.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(o *waiter) bool { return o == a.waiter })
	return a.waiter.waits.end(s.deps.Now())
}

// SetStop notes that the VM that asked stops at a time: a request that cannot end
// before is refused, and still has time to go to another.
func (a *Pending) SetStop(at time.Time) {
	a.scheduler.locked(func() {
		a.waiter.call.StopsAt = at
		a.scheduler.pump()
	})
}

// AssumeLoad has others taken to have so much at each upstream besides what is known.
func (s *Scheduler) AssumeLoad(l placer.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unknown = l
}

// PauseUntil has nothing placed before a time, at which what is under way is known.
func (s *Scheduler) PauseUntil(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds = until
}

func (s *Scheduler) coldOf(id string) *budgeter.ColdLimiter {
	c, ok := s.cold[id]
	if !ok {
		c = budgeter.NewColdLimiter()
		s.cold[id] = c
	}
	return c
}

// add changes the work at an upstream.
func (s *Scheduler) add(id string, l placer.Load, sign int) {
	sum, ok := s.work[id]
	if !ok {
		sum = &placer.Load{}
		s.work[id] = sum
	}
	if sign > 0 {
		sum.Add(l)
	} else {
		sum.Sub(l)
	}
	if *sum == (placer.Load{}) {
		delete(s.work, id)
	}
}

// Loads is what is under way at each upstream.
func (s *Scheduler) Loads() map[string]placer.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]placer.Load, len(s.work))
	for id, l := range s.work {
		all[id] = *l
	}
	return all
}

// QueueLength is how many requests wait.
func (s *Scheduler) QueueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// Forget drops the count of a cold upstream that is gone.
func (s *Scheduler) Forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cold, id)
	delete(s.limits, id)
}

// QueuedPrefill is the reading time in milliseconds of the prompts that wait.
func (s *Scheduler) QueuedPrefill() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0.0
	for _, w := range s.waiting {
		if e := w.call.Service.Engine; e != nil {
			sum += placer.PrefillTime(e, w.call.Requirements.Prompt, 1)
		}
	}
	return sum
}
