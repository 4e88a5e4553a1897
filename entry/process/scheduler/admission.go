package scheduler

import (
	"time"

	"github.com/heathervane/heathervane/entry/process/deferrer"
	"github.com/heathervane/heathervane/entry/process/projector"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// CodeBacklog refuses a request because of what is ahead of it: it could not begin while
// its answer is still useful.
const CodeBacklog = "backlog"

const (
	// honouredShare is the fraction of the time left to its deadline for which a caller
	// waits before it retries; a longer Retry-After would lose the request.
	honouredShare = 0.3
	// retrySpread is the largest fraction by which Retry-After is extended, so that
	// callers refused together do not return together.
	retrySpread = 0.25
	// spreadSteps is the number of different extensions.
	spreadSteps = 1024
	// lastChanceShare is the part of the time between its latest start in time and its
	// latest useful start, at the end of which an accepted late request takes any slot.
	lastChanceShare = 4
	// shortWork is the work of a request that takes one slot; that of a long prompt is
	// its prefill time in milliseconds.
	shortWork = 1.0
	// engineWork is the prefill time in milliseconds that an engine works off per second.
	engineWork = 1000.0
)

// A Decision is a decision about a request under load, and its inputs.
type Decision struct {
	// Outcome is one of the constants below.
	Outcome     string
	Fingerprint uint64
	Service     string
	Team        string
	Priority    int
	Prompt      int
	// Waited is the time since the request arrived, and Left the time for which it is
	// useful to begin it.
	Waited, Left time.Duration
	Demand       projector.Demand
	Projection   projector.Projection
	// RetryAfter is what a refused caller is told, and Claimed whether a claim was kept.
	RetryAfter time.Duration
	Claimed    bool
}

// Outcomes of a Decision.
const (
	OutcomeRefused      = "refused"
	OutcomeAcceptedLate = "accepted late"
	OutcomeClaimUsed    = "claim used"
)

func (s *Scheduler) admits(r *Request) bool {
	return s.policy().Admission.Enabled(r.Service.HasPriorities())
}

func (s *Scheduler) claims(r *Request) bool {
	return r.Fingerprint != 0 && s.policy().Claims.Enabled(r.Service.HasPriorities())
}

// lane returns the lane in which the request competes now.
func (w *waiter) lane(now time.Time) projector.Lane {
	return projector.Lane{
		Service: w.request.Service.Name, Priority: w.request.Priority, Size: w.size(),
		Late: !w.timing.long && w.timing.late(now),
	}
}

// size is the request's size in a Lane: prompts whose prefill differs by up to a factor of
// four share one, so that enough is observed of each.
func (w *waiter) size() int {
	if w.timing.long {
		return (w.timing.sizeClass + 1) / 2 //nolint:mnd // two classes, each a factor of two
	}
	return 0
}

func (w *waiter) work() float64 {
	if w.timing.long {
		return placer.PrefillTime(w.request.Service.Engine, w.request.Requirements.Prompt, 1)
	}
	return shortWork
}

// urgency returns how much the request may cost others now. One that was accepted late,
// or told to come back, has been promised a place, and does not wait for it behind less
// urgent ones.
func (w *waiter) urgency(now time.Time) placer.Urgency {
	if !w.accepted && w.claimed == 0 {
		return w.timing.urgency(now)
	}
	// Many short requests that each take a slot as soon as they are late make those late
	// that come next.
	if w.accepted && w.outranks && w.timing.long {
		return placer.LastChance
	}
	limit := w.timing.limit(w.request.StopsAt)
	window := min(urgentWindow, limit.Sub(w.timing.latestStart)/lastChanceShare)
	if limit.Sub(now) < window || (w.claimed != 0 && w.timing.late(now)) {
		return placer.LastChance
	}
	return w.timing.urgency(now)
}

// mustBegin reports whether the request was promised a place and has to begin now, whatever
// waits before it.
func (w *waiter) mustBegin(now time.Time) bool {
	return (w.accepted || w.claimed != 0) && w.urgency(now) == placer.LastChance
}

// limit returns until when it is useful to begin the request.
func (t timing) limit(stopsAt time.Time) time.Time {
	limit := t.giveUpAt
	if !t.latestUsefulStart.IsZero() && t.latestUsefulStart.Before(limit) {
		limit = t.latestUsefulStart
	}
	if end := stopsAt.Add(-t.duration); !stopsAt.IsZero() && end.Before(limit) {
		limit = end
	}
	return limit
}

// settleAt returns when a request is refused or accepted for good: when it can no longer be
// in time, or halfway to its limit if that is sooner. One whose caller has little time left,
// as when it comes back, is settled at once: if it were held, there would be none left.
func (w *waiter) settleAt(limit time.Time) time.Time {
	arrived := w.request.Requirements.Arrived
	if limit.Before(w.timing.latestStart) {
		return arrived
	}
	if half := arrived.Add(limit.Sub(arrived) / 2); half.Before(w.timing.latestStart) { //nolint:mnd // a half
		return half
	}
	return w.timing.latestStart
}

// judge refuses a request that was not placed in this pass if too much is ahead of it. It
// does not judge requests that an upstream may have seen, nor those that were promised a
// place. The first request of a lane waits whatever the projection, because a lane in which
// nothing waits has no backlog, and so does a short one that could still begin while less
// urgent ones wait: these are refused first. A long one needs engines that more urgent
// requests use, whatever waits behind it.
func (s *Scheduler) judge(now time.Time, w *waiter, p dispatchPass) (reply, bool) {
	lane, work := w.lane(now), w.work()
	ahead := p.ahead[lane]
	p.ahead[lane] += work
	if !s.admits(&w.request) || w.accepted || w.claimed != 0 || len(w.request.Requirements.Tried) > 0 || now.Before(s.pausedUntil) {
		return reply{}, false
	}
	limit := w.timing.limit(w.request.StopsAt)
	demand := projector.Demand{
		Ahead: ahead, Own: work, Capacity: s.capacity(now, w, p),
		Expected: s.deferrer.Work(now, lane.Priority, lane.Size, limit),
	}
	if demand.Capacity <= 0 {
		return reply{}, false
	}
	projection := s.projector.Project(now, lane, demand)
	settle := !now.Before(w.settleAt(limit))
	verdict := projector.Decide(now, projection, settle, limit)
	if verdict == projector.Refuse && (ahead == 0 || (w.outranks && !w.timing.long && !now.Add(projection.Earliest).After(limit))) {
		verdict = projector.Wait
		if settle {
			verdict = projector.Accept
		}
	}
	d := Decision{Waited: now.Sub(w.request.Requirements.Arrived), Left: limit.Sub(now), Demand: demand, Projection: projection}
	switch verdict {
	case projector.Accept:
		w.accepted, w.retryAt = true, now
		d.Outcome = OutcomeAcceptedLate
		s.report(w, d)
	case projector.Refuse:
		p.ahead[lane] -= work
		return reply{refusal: s.refuse(now, w, p, CodeBacklog, d)}, true
	case projector.Wait:
	}
	return reply{}, false
}

// capacity returns the work of the request's lane that the upstreams could begin per
// second if they served nothing else.
func (s *Scheduler) capacity(now time.Time, w *waiter, p dispatchPass) float64 {
	states := p.usableUpstreams(s, now, w.request.Service.Name)
	if w.timing.long {
		return engineWork * float64(len(states))
	}
	slots := 0
	for i := range states {
		slots += max(1, states[i].Slots)
	}
	return shortWork * float64(slots) / max(w.timing.duration, time.Millisecond).Seconds()
}

// refuse refuses a request because there is too little capacity. It says when to come
// back, and keeps a claim for the request then.
func (s *Scheduler) refuse(now time.Time, w *waiter, p dispatchPass, code string, d Decision) *Refusal {
	r := &Refusal{Code: code, RetryAfter: defaultRetryAfter, WaitTimes: w.wait.stop(now)}
	claims := s.claims(&w.request)
	if !claims && !s.admits(&w.request) {
		return r
	}
	s.returnClaim(w)
	after, promised := s.retryAfter(now, w, p)
	r.RetryAfter = after
	if claims && (promised || s.hasClaim(now, w)) {
		c, ok := s.deferrer.Add(now, deferrer.Claim{
			Fingerprint: w.request.Fingerprint, Team: w.request.Team, Priority: w.request.Priority,
			Work: w.work(), Size: w.size(), Due: now.Add(r.RetryAfter),
		})
		if ok {
			r.Claim, d.Claimed = &c, true
			// A request that came before its time is told the same time again.
			r.RetryAfter = max(minRetryAfter, c.Due.Sub(now))
		}
	}
	d.Outcome, d.RetryAfter = OutcomeRefused, r.RetryAfter
	s.report(w, d)
	return r
}

// minRetryAfter is the shortest Retry-After.
const minRetryAfter = 100 * time.Millisecond

// retryAfter returns when the request is likely to get a place that is not needed by
// those that wait or have claims. It reports false if callers do not wait that long: to
// keep a claim would promise a place that is not there. Such a caller is told to try as
// late as it can. So is one whose request was late already: coming back sooner, it would
// make others late that still can be in time.
func (s *Scheduler) retryAfter(now time.Time, w *waiter, p dispatchPass) (wait time.Duration, promised bool) {
	lane := w.lane(now)
	deadline := w.request.Requirements.Deadline
	demand := projector.Demand{
		Ahead: p.ahead[lane], Own: w.work(), Capacity: s.capacity(now, w, p),
		Expected: s.deferrer.Work(now, lane.Priority, lane.Size, deadline),
	}
	behindLate := time.Duration(0)
	if lane.Late {
		behindLate = s.projector.Project(now, lane, demand).Expected
		lane.Late = false
		demand.Ahead += p.ahead[lane]
	}
	expected := max(defaultRetryAfter, s.projector.Project(now, lane, demand).Expected)
	spread := 1 + retrySpread*float64(w.request.Fingerprint%spreadSteps)/spreadSteps
	latest := max(defaultRetryAfter, time.Duration(honouredShare*float64(deadline.Sub(now))/spread))
	wait = time.Duration(float64(max(expected, behindLate)) * spread)
	return min(wait, latest), time.Duration(float64(expected)*spread) <= latest
}

func (s *Scheduler) hasClaim(now time.Time, w *waiter) bool {
	_, ok := s.deferrer.Find(now, w.request.Fingerprint)
	return ok
}

func (s *Scheduler) report(w *waiter, d Decision) {
	if s.deps.OnDecision == nil {
		return
	}
	r := &w.request
	d.Fingerprint, d.Service, d.Team, d.Priority, d.Prompt = r.Fingerprint, r.Service.Name, r.Team, r.Priority, r.Requirements.Prompt
	s.deps.OnDecision(d)
}

// rankQueue records which queued requests are more urgent than others of their service.
func (s *Scheduler) rankQueue() {
	least := make(map[string]int, 1)
	for _, w := range s.queue {
		least[w.request.Service.Name] = max(least[w.request.Service.Name], w.request.Priority)
	}
	for _, w := range s.queue {
		w.outranks = w.request.Priority < least[w.request.Service.Name]
	}
}

// observeLanes records in which lanes requests wait after a pass.
func (s *Scheduler) observeLanes(now time.Time) {
	waiting := make(map[projector.Lane]bool, 4) //nolint:mnd // a few lanes
	for _, w := range s.queue {
		if !s.admits(&w.request) {
			continue
		}
		l := w.lane(now)
		waiting[l] = true
		// Late requests cannot begin before those that are not.
		l.Late = !w.timing.long
		waiting[l] = true
	}
	s.projector.Observe(now, waiting)
}

// takeClaim gives a request its claim, if one was due when the request arrived.
func (s *Scheduler) takeClaim(w *waiter) {
	if s.claims(&w.request) && s.deferrer.Take(w.request.Requirements.Arrived, w.request.Fingerprint) {
		w.claimed = 1
	}
}

// returnClaim keeps the claim of a request that leaves the queue unserved.
func (s *Scheduler) returnClaim(w *waiter) {
	if w.claimed != 0 {
		w.claimed = 0
		s.deferrer.Return(w.request.Fingerprint)
	}
}

// useClaim ends the claim of a request that was placed.
func (s *Scheduler) useClaim(now time.Time, w *waiter, g *Grant) {
	if w.request.Fingerprint == 0 || !s.deferrer.Use(now, w.request.Fingerprint) {
		return
	}
	g.UsedClaim = w.request.Fingerprint
	if w.claimed != 0 {
		w.claimed = 0
		s.report(w, Decision{Outcome: OutcomeClaimUsed, Waited: now.Sub(w.request.Requirements.Arrived)})
	}
}

// AddClaim records a claim that another Scheduler has promised, also for a request that has
// come back already. It reports false if the claim was used here.
func (s *Scheduler) AddClaim(c deferrer.Claim) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Now()
	if _, ok := s.deferrer.Merge(now, c); ok {
		for _, w := range s.queue {
			if w.request.Fingerprint == c.Fingerprint && w.claimed == 0 {
				s.takeClaim(w)
			}
		}
	}
	return !s.deferrer.Used(now, c.Fingerprint)
}

// EndClaim ends a claim that was used at another Scheduler.
func (s *Scheduler) EndClaim(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deferrer.Use(s.deps.Now(), fingerprint)
}

// Claim returns the claim of a fingerprint.
func (s *Scheduler) Claim(fingerprint uint64) (deferrer.Claim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deferrer.Find(s.deps.Now(), fingerprint)
}

// Claims returns the claims in order of their due times.
func (s *Scheduler) Claims() []deferrer.Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deferrer.All(s.deps.Now())
}
