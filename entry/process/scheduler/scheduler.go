// Package scheduler assigns requests to upstreams. It tracks the load at each
// upstream of a group, queues requests that are better served later, and refuses
// those that can no longer be answered in time. The placer decides which upstream
// a request goes to, the tracker knows which upstreams exist, and the allocator
// decides which VM schedules for which others.
//
// A queued request can still be reordered and placed elsewhere; one that was sent
// cannot. A long prompt is therefore queued while the engines prefill another one,
// for as long as that costs its caller nothing.
package scheduler

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/process/budgeter"
	"github.com/heathervane/heathervane/entry/process/calibrator"
	"github.com/heathervane/heathervane/entry/process/deferrer"
	"github.com/heathervane/heathervane/entry/process/inspector"
	"github.com/heathervane/heathervane/entry/process/projector"
	"github.com/heathervane/heathervane/entry/process/provisioner"
	"github.com/heathervane/heathervane/entry/process/sharer"
	"github.com/heathervane/heathervane/entry/process/switcher"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/request/ranker"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// retryInterval is the minimum time between two attempts to place the same
	// queued request. One attempt takes some tens of microseconds, and under load
	// hundreds of events per second could each change its result.
	retryInterval = 4 * time.Millisecond
	// tooLateRetryInterval replaces retryInterval for a request that no engine
	// could start in time. That changes only when engines finish a prefill.
	tooLateRetryInterval = 20 * time.Millisecond
)

// Deps are the dependencies of a Scheduler.
type Deps struct {
	Tracker *tracker.Tracker
	// ColdQuota returns how many requests per second this Scheduler may place at
	// an upstream in cold start that handles rate requests per second.
	ColdQuota func(upstream string, rate float64) int
	// RateQuota returns how many requests per second this Scheduler may place at
	// an upstream that has announced a rate limit for all VMs together.
	RateQuota func(limit float64) float64
	// Alone reports whether other VMs place requests at the same upstreams without a
	// report to this Scheduler. It may be nil.
	Alone func() bool
	// Policy returns the features that the settings select; nil leaves each to the
	// configuration.
	Policy func() switcher.Policy
	// OnDecision is told of decisions under load, with the Scheduler locked. It may be
	// nil.
	OnDecision func(Decision)
	// Meter counts decisions; nil for none.
	Meter Meter
	Now   func() time.Time
	Log   zerolog.Logger
}

// A Meter counts events by metric name.
type Meter interface {
	Count(name string, n int64)
}

// A Request asks for a slot at an upstream.
type Request struct {
	Service      *matcher.Service
	Requirements placer.Request
	// Priority orders the queue; 0 is the most urgent.
	Priority int
	// Team is the team that sent the request, and Fingerprint identifies the request when
	// it comes again; 0 if it cannot be recognised.
	Team        string
	Fingerprint uint64
	// Zone is the zone of the requesting VM, and Unreachable are the upstreams
	// that this VM cannot connect to.
	Zone        string
	Unreachable []string
	// Backoffs returns until when that VM may not send anything to some upstreams. It may
	// be nil, and so may its result.
	Backoffs func() map[string]time.Time
	// Preemptible reports that the request may be taken back from its upstreams and placed
	// again as long as no event of its response has come.
	Preemptible bool
	// Withdraw asks the VM that holds the placement to give it back for a more urgent
	// request. It is called once at most; nil if the request is not Preemptible.
	Withdraw func()
	// StopsAt is when that VM shuts down; zero if no shutdown is planned.
	StopsAt time.Time
}

// A Refusal reports that a request could not be placed in time. Nothing was sent.
type Refusal struct { //nolint:errname // callers know it by this name
	// Code is the reason in one word.
	Code string
	// RetryAfter is when a retry is likely to succeed.
	RetryAfter time.Duration
	// WaitTimes is how long the request was queued, by reason.
	WaitTimes WaitTimes
	// Claim is the claim that was kept for the request; nil if there is none.
	Claim *deferrer.Claim
}

// Error returns the refusal in one line.
func (r *Refusal) Error() string { return "request not placed: " + r.Code }

// CodeNoUpstream refuses a request for a service without a usable upstream.
const CodeNoUpstream = "no_upstream"

// CodeBackoff refuses a request whose VM may send to none of the upstreams until it is too
// late, because they asked it to back off.
const CodeBackoff = "backoff"

// CodeLate refuses a request that could not be completed in time.
const CodeLate = "late"

// A Scheduler places the requests for one group of upstreams.
type Scheduler struct {
	zone string
	deps Deps

	mu           sync.Mutex
	loads        map[string]*placer.Load
	coldLimiters map[string]*budgeter.ColdLimiter
	rateLimiters map[string]*budgeter.RateLimiter
	queue        []*waiter
	// running are the grants that have not ended.
	running map[*Grant]struct{}
	// speeds is how fast upstreams are, and plainDurations how long requests of plain
	// services usually take.
	speeds           *calibrator.Calibrator
	plainDurations   map[string]time.Duration
	overdueCheckedAt time.Time
	// rankers track the usage of each service by team.
	rankers map[string]*ranker.Ranker
	// projector estimates when requests could begin, and deferrer holds the claims of
	// those that were told to come back.
	projector *projector.Projector
	deferrer  *deferrer.Deferrer
	// sharers hold the shares of each service's priorities and prompt lengths, and
	// provisioners what its more urgent requests will use.
	sharers      map[string]*sharer.Sharer
	provisioners map[string]*provisioner.Provisioner
	// streams is the number of streams at each upstream by priority, where a service has
	// several.
	streams map[string]map[int]int
	// keptLogged is what was last logged as kept free.
	keptLogged map[keptKey]keptRecord
	// pausedUntil is the time before which nothing is placed.
	pausedUntil time.Time
	// capacityFreed is set if a slot may have become free since the last dispatch.
	capacityFreed bool
	// assumedLoad is the load at each upstream that other VMs may have added
	// without reporting it.
	assumedLoad placer.Load
	loans       Loans
	// unreported is what upstreams do for requests of VMs that are gone.
	unreported map[string]inspector.Work
	// reading are the grants that may be taken back: no event has come from them yet.
	reading []*Grant
	// replies and withdrawals are delivered once the lock is released.
	replies     []reply
	withdrawals []func()
}

// A waiter is a queued request.
type waiter struct {
	request Request
	timing  timing
	notify  func(*Grant, *Refusal)
	// retryAt is when the next attempt to place the request is due. blocks is set
	// if the request holds back later ones of its class.
	retryAt time.Time
	blocks  bool
	// wait records for which reason the request waits, and since when.
	wait waitTimer
	// late is 1 if the request could no longer be in time, and overShare is 1 if
	// its team used more than its share, when the queue was last sorted.
	late, overShare int
	// claimed is 1 if the request was told to come back at about this time, and accepted
	// is set if it stays queued although it will be late.
	claimed  int
	accepted bool
	// outranks is set if a less urgent request of the same service is queued.
	outranks bool
	// due is set if the share of the request's class covers it, when the queue was last
	// sorted.
	due bool
}

// A reply is a grant or a refusal that has not been delivered yet.
type reply struct {
	waiter  *waiter
	grant   *Grant
	refusal *Refusal
}

// New returns a Scheduler for the upstreams of a zone, or of all zones if zone is
// empty.
func New(zone string, d Deps) *Scheduler {
	return &Scheduler{
		zone: zone, deps: d, running: make(map[*Grant]struct{}), projector: projector.New(), deferrer: deferrer.New(),
		speeds: calibrator.New(), plainDurations: make(map[string]time.Duration),
		loads: make(map[string]*placer.Load), coldLimiters: make(map[string]*budgeter.ColdLimiter), rateLimiters: make(map[string]*budgeter.RateLimiter), rankers: make(map[string]*ranker.Ranker),
		unreported: make(map[string]inspector.Work),
		sharers:    make(map[string]*sharer.Sharer), provisioners: make(map[string]*provisioner.Provisioner), streams: make(map[string]map[int]int), keptLogged: make(map[keptKey]keptRecord),
	}
}

func (s *Scheduler) policy() switcher.Policy {
	if s.deps.Policy == nil {
		return switcher.Policy{}
	}
	return s.deps.Policy()
}

func (s *Scheduler) count(name string) {
	if s.deps.Meter != nil {
		s.deps.Meter.Count(name, 1)
	}
}

// A Pending is a submitted request that may still be queued.
type Pending struct {
	scheduler *Scheduler
	waiter    *waiter
}

// Submit requests a slot. It calls notify once with the grant or the refusal, from
// whichever call into the Scheduler settles the request, which may be this one.
func (s *Scheduler) Submit(r Request, notify func(*Grant, *Refusal)) *Pending {
	w := &waiter{request: r, timing: newTiming(r), notify: notify}
	w.wait.since = s.deps.Now()
	s.withLock(func() {
		s.takeClaim(w)
		s.queue = append(s.queue, w)
		s.dispatch()
	})
	return &Pending{s, w}
}

// withLock calls f with the lock held and delivers the resulting replies after
// releasing it, because a notify function may call into this package again.
func (s *Scheduler) withLock(f func()) {
	s.mu.Lock()
	f()
	replies := s.replies
	withdrawals := s.withdrawals
	s.replies, s.withdrawals = nil, nil
	s.mu.Unlock()
	for _, r := range replies {
		r.waiter.notify(r.grant, r.refusal)
	}
	for _, withdraw := range withdrawals {
		withdraw()
	}
}

// Cancel removes the request from the queue, because its caller has disconnected or
// its time is over. It returns how long the request was queued, by reason. It does
// not undo a grant or a refusal that was already delivered.
func (p *Pending) Cancel() WaitTimes {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.DeleteFunc(s.queue, func(w *waiter) bool { return w == p.waiter })
	s.returnClaim(p.waiter)
	return p.waiter.wait.stop(s.deps.Now())
}

// SetStop records when the requesting VM shuts down. A request that cannot finish
// before then is refused at once, while it still has time to go to another VM.
func (p *Pending) SetStop(at time.Time) {
	p.scheduler.withLock(func() {
		p.waiter.request.StopsAt = at
		p.scheduler.dispatch()
	})
}

// AssumeLoad adds an assumed load of other VMs to the known load of each upstream.
func (s *Scheduler) AssumeLoad(l placer.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assumedLoad = l
}

// AssumeWork adds work that no VM reports to the known load of an upstream, until it is
// expected to be done.
func (s *Scheduler) AssumeWork(upstream string, w inspector.Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreported[upstream] = w
}

// PauseUntil stops placement until the given time, by which the current load is
// known.
func (s *Scheduler) PauseUntil(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = until
}

func (s *Scheduler) coldLimiter(id string) *budgeter.ColdLimiter {
	c, ok := s.coldLimiters[id]
	if !ok {
		c = budgeter.NewColdLimiter()
		s.coldLimiters[id] = c
	}
	return c
}

// addLoad adds a load to an upstream, or subtracts it if sign is negative.
func (s *Scheduler) addLoad(id string, l placer.Load, sign int) {
	sum, ok := s.loads[id]
	if !ok {
		sum = &placer.Load{}
		s.loads[id] = sum
	}
	if sign > 0 {
		sum.Add(l)
	} else {
		sum.Sub(l)
	}
	if *sum == (placer.Load{}) {
		delete(s.loads, id)
	}
}

// Loads returns the load at each upstream that has any.
func (s *Scheduler) Loads() map[string]placer.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]placer.Load, len(s.loads))
	for id, l := range s.loads {
		all[id] = *l
	}
	return all
}

// QueueLength returns the number of queued requests.
func (s *Scheduler) QueueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// Forget drops the limiters and the speed of an upstream that no longer exists.
func (s *Scheduler) Forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unreported, id)
	delete(s.coldLimiters, id)
	s.speeds.Forget(id)
	delete(s.rateLimiters, id)
}

// QueuedPrefill returns the total prefill time of the queued prompts in
// milliseconds.
func (s *Scheduler) QueuedPrefill() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0.0
	for _, w := range s.queue {
		if e := w.request.Service.Engine; e != nil {
			sum += placer.PrefillTime(e, w.request.Requirements.Prompt, 1)
		}
	}
	return sum
}
