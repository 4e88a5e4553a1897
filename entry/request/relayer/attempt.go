package relayer

import (
	"context"
	"encoding/binary"
	"net/http"
	"runtime"
	"time"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/reserver"
	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/request/refuser"
)

const (
	// maxSilence is how long a stream that can be resumed at another upstream may
	// pause. One pass of a busy engine takes some hundred milliseconds.
	maxSilence = 1600 * time.Millisecond
	// firstEventGrace is added to the larger of the estimate and the objective of
	// the time to the first event. After that the request goes to another upstream.
	firstEventGrace = 1500 * time.Millisecond
	// retryDelay is the wait after memory could not be reserved, or after a
	// placement became unusable before the request was sent.
	retryDelay = 30 * time.Millisecond
	// maxUnpacedBody is the size up to which a body fits into the buffers of a
	// connection. A longer one is written as fast as the upstream reads it, and an
	// upstream that reads slowly is not silent.
	maxUnpacedBody = 64 << 10
	// minTimeLeft is the least time until the deadline with which a request is
	// sent. With less, the response would come too late for the caller.
	minTimeLeft = 20 * time.Millisecond
)

// An attempt is one sending of a request to an upstream or, if peer is set, to another
// VM, which sends it to an upstream. Its exchange and response are set once the response
// headers were received.
type attempt struct {
	// peer is the name of the VM; grant is nil then.
	peer        string
	grant       *allocator.Placement
	reservation *reserver.Reservation
	exchange    *carrier.Exchange
	response    ResponseInfo
	watchdog    *watchdog
	cancel      context.CancelFunc
	sentAt      time.Time
	// firstEventSeen is true once the first event of a stream was received, and begun once
	// the answer went on after it: an upstream may crash while it begins one.
	firstEventSeen, begun bool
	// begunReportedAt is when the quarantine last learned that the answer goes on.
	begunReportedAt time.Time
	closed          bool
}

// upstreams returns the IDs of all upstreams that work on the attempt.
func (a *attempt) upstreams() []string {
	ids := []string{a.grant.Upstream.ID}
	for _, h := range a.grant.Helpers {
		ids = append(ids, h.ID)
	}
	return ids
}

// close ends the attempt and releases its reserved memory and its placement. It may be
// called more than once.
func (a *attempt) close() {
	if a.closed {
		return
	}
	a.closed = true
	if a.watchdog != nil {
		a.watchdog.stop()
	}
	if a.exchange != nil {
		a.exchange.Close()
	}
	if a.cancel != nil {
		a.cancel()
	}
	if a.reservation != nil {
		a.reservation.Release()
	}
	if a.grant != nil {
		a.grant.Release()
	}
}

// An outcome is the result of sending a request once.
type outcome int

const (
	// answered means that the response goes to the caller.
	answered outcome = iota
	// retryable means that the request may be sent again if allowRetry agrees.
	retryable
	// unsent means that no connection to the upstream came up, so that it got nothing of
	// the request, which may be sent elsewhere if allowReconnect agrees.
	unsent
	// retryGranted means that the retry was already taken from the budget, or that
	// nothing was sent to any upstream.
	retryGranted
	// notForwarded means that no other VM takes the request. Nothing was sent to any
	// upstream.
	notForwarded
	// final means that the request must not be sent again.
	final
)

// sendUntilAnswered sends the request until an upstream answers it. It returns a
// refusal if none does.
func (r *Relayer) sendUntilAnswered(ctx context.Context, j *job) (*attempt, *refuser.Refusal) {
	ctx, release := r.deps.Quarantine.CancelWhenHeld(ctx, j.fingerprint, j.parts...)
	defer release()
	for {
		if r.canForward(j) {
			a, s := r.forward(ctx, j)
			if s == answered {
				return a, nil
			}
			if s == final || (s == retryable && !r.allowRetry(ctx, j)) {
				return nil, r.failureRefusal(ctx, j)
			}
			if s != notForwarded {
				continue
			}
		}
		if r.mustDecline(j) {
			return nil, j.correctRan(unreachableRefusal())
		}
		a, refusal := r.acquire(ctx, j)
		if refusal != nil {
			if after, held := r.deps.Quarantine.Held(j.fingerprint, j.parts...); held {
				refusal = r.quarantineRefusal(j, after)
			}
			if r.running.Err() != nil {
				refusal = stoppingRefusal()
			}
			return nil, j.correctRan(refusal)
		}
		if a == nil {
			continue
		}
		if r.running.Err() != nil {
			// The interruption of other requests has freed the place.
			a.close()
			return nil, j.correctRan(stoppingRefusal())
		}
		if r.canForward(j) || r.mustDecline(j) {
			// The path has broken during the wait.
			a.close()
			continue
		}
		s := r.send(ctx, j, a)
		if s == answered {
			return a, nil
		}
		a.close()
		if s == final || (s == retryable && !r.allowRetry(ctx, j)) || (s == unsent && !r.allowReconnect(ctx, j)) {
			return nil, r.failureRefusal(ctx, j)
		}
	}
}

// acquire waits for a placement and reserves memory for prompts that need it. It
// returns neither an attempt nor a refusal if the placement became unusable in the
// meantime and the caller is to try again.
func (r *Relayer) acquire(ctx context.Context, j *job) (*attempt, *refuser.Refusal) {
	waitStart := r.deps.Now()
	giveUpAt := time.Time{}
	if j.route.CallerTimeout > 0 && !j.headerSent && !j.resumed {
		giveUpAt = j.arrivedAt.Add(j.route.CallerTimeout)
	}
	grant, refused := r.deps.Allocator.Acquire(ctx, scheduler.Request{
		Service: j.service, Priority: j.priority(), Team: j.teamName(), Fingerprint: binary.BigEndian.Uint64(j.fingerprint[:]),
		Preemptible: j.mayGiveWay(),
		Requirements: placer.Request{
			Prompt: j.info.PromptTokens, Output: j.info.MaxOutputTokens, Tried: j.tried, MaxPause: float64(j.route.GapTarget.Milliseconds()),
			Arrived: j.arrivedAt, Objective: j.arrivedAt.Add(j.route.Objective), Deadline: j.deadline, CallerTimeout: giveUpAt,
		},
	})
	now := r.deps.Now()
	j.log.queueTime += now.Sub(waitStart)
	if refused != nil {
		j.log.waits = refused.WaitTimes
		return nil, refuser.New(http.StatusServiceUnavailable, refused.Code, "no upstream could answer it in time").WithRetryAfter(refused.RetryAfter)
	}
	j.log.waits = grant.WaitTimes
	a := &attempt{grant: grant}
	if after, held := r.deps.Quarantine.Held(j.fingerprint, j.parts...); held {
		a.close()
		return nil, r.quarantineRefusal(j, after)
	}
	// Another goroutine detects that the caller has disconnected. On a busy VM it
	// may not have run since.
	runtime.Gosched()
	if ctx.Err() != nil {
		a.close()
		return nil, deadlineRefusal()
	}
	if unusable := r.unusableUpstreams(grant); len(unusable) > 0 {
		return nil, r.returnPlacement(ctx, j, a, unusable)
	}
	if !r.reserveMemory(ctx, j, a) {
		a.close()
		return nil, waitRetryDelay(ctx)
	}
	if j.deadline.Sub(r.deps.Now()) < minTimeLeft {
		a.close()
		return nil, deadlineRefusal()
	}
	// The process may have been suspended since the upstream was chosen.
	if unusable := r.unusableUpstreams(grant); len(unusable) > 0 {
		return nil, r.returnPlacement(ctx, j, a, unusable)
	}
	j.log.upstream, j.log.helpers, j.log.peer = grant.Upstream.ID, nil, ""
	for _, h := range grant.Helpers {
		j.log.helpers = append(j.log.helpers, h.ID)
	}
	j.log.estimate, j.log.load, j.log.leader = grant.Estimate, grant.Load, grant.Leader
	return a, nil
}

// unusableUpstreams returns those upstreams of a placement to which this VM may send
// nothing now. An engine that helps with a prompt may be missing in this VM's list.
func (r *Relayer) unusableUpstreams(grant *allocator.Placement) (ids []string) {
	now := r.deps.Now()
	if id := grant.Upstream.ID; !r.deps.Tracker.IsUsable(id) || !r.deps.Tracker.BackoffUntil(now, id).IsZero() {
		ids = append(ids, id)
	}
	for _, h := range grant.Helpers {
		if r.deps.Tracker.TakesNoWork(h.ID) || !r.deps.Tracker.BackoffUntil(now, h.ID).IsZero() {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// returnPlacement releases a placement that this VM may not use, and waits before the
// next. The VM that granted it may not know yet what this VM knows, and would grant the
// same upstreams again.
func (r *Relayer) returnPlacement(ctx context.Context, j *job, a *attempt, unusable []string) *refuser.Refusal {
	a.close()
	r.deps.Meter.Count("placements.returned", 1)
	j.tried = append(j.tried, unusable...)
	return waitRetryDelay(ctx)
}

func deadlineRefusal() *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, scheduler.CodeLate, "no upstream could answer it in time").WithRetryAfter(retryAfter)
}

// reserveMemory reserves memory at the helpers for which the placement asks for it.
// It reports false if that failed.
func (r *Relayer) reserveMemory(ctx context.Context, j *job, a *attempt) bool {
	var parts []reserver.EngineMemory
	for _, h := range a.grant.Helpers {
		if h.ReservedTokens > 0 {
			parts = append(parts, reserver.EngineMemory{Address: h.Address, Tokens: h.ReservedTokens})
		}
	}
	if len(parts) == 0 {
		return true
	}
	j.log.reservations = len(parts)
	reservation, err := r.deps.Reserver.Reserve(ctx, j.info.ID, parts)
	if err != nil {
		r.deps.Meter.Count("memory.refused", 1)
		if isConnectionFailure(err) {
			r.deps.Reachability.ReportFailure(ctx, j.service.Name, a.grant.Helpers[0].ID)
		}
		return false
	}
	a.reservation = reservation
	return true
}

func waitRetryDelay(ctx context.Context) *refuser.Refusal {
	t := time.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return deadlineRefusal()
	case <-t.C:
		return nil
	}
}

// send sends the request once. If the outcome is answered, the attempt has the
// status and headers of the response.
func (r *Relayer) send(ctx context.Context, j *job, a *attempt) outcome {
	if !j.recorded {
		j.recorded = true
		r.deps.RetryBudget.RecordRequest(j.service.Name)
		r.redialer.RecordRequest(r.deps.Now(), j.service.Name)
	}
	id := a.grant.Upstream.ID
	attemptCtx, cancel := context.WithCancel(ctx)
	a.cancel, a.sentAt = cancel, r.deps.Now()
	estimate := max(j.route.Objective, time.Duration(a.grant.Estimate*float64(time.Millisecond)))
	a.watchdog = r.startWatchdog(j, estimate+firstEventGrace, cancel)
	r.watchWithdrawal(j, a)
	q := r.newUpstreamRequest(j, a, r.deps.Now())
	if len(q.Body) > maxUnpacedBody {
		a.watchdog.pause()
		q.Written = func() { a.watchdog.reset(estimate + firstEventGrace) }
	}
	x, failure := r.deps.Carrier.Send(attemptCtx, a.grant.Upstream.Address, q)
	if failure != nil {
		return r.handleSendFailure(ctx, j, a, failure)
	}
	a.exchange = x
	a.response = r.deps.Protocol.ParseResponse(x.Status, x.Header)
	if a.response.ColdStart > 0 {
		r.deps.Tracker.ReportCold(r.deps.Now(), id, a.response.ColdStart)
	}
	r.recordRateLimit(j, a)
	if !a.response.Misdirected {
		r.RecordAnnouncements(a.grant.Upstream, a.response)
	}
	if isForeign(j, x, a.response) {
		// It may be the response to an earlier request on this connection. Whether
		// this request ran is unknown.
		j.possibleRuns++
		r.recordFailure(j, a, id, "response to another request")
		return j.afterPossibleRun()
	}
	if a.response.NotRun {
		return r.handleDecline(ctx, j, a)
	}
	j.possibleRuns++
	if !isServerError(x.Status) {
		return answered
	}
	r.deps.Tracker.ReportFailure(r.deps.Now(), id, false)
	if j.route.Repeatable() && r.allowRetry(ctx, j) {
		r.recordFailure(j, a, id, "upstream returned a server error")
		return retryGranted
	}
	return answered
}

// recordRateLimit passes the rate limit in an upstream's response, or its absence,
// to the tracker.
func (r *Relayer) recordRateLimit(j *job, a *attempt) {
	l := tracker.Limit{Limited: a.response.RateLimited, Rate: a.response.RateLimit, AsOf: r.deps.Now()}
	if !l.Limited {
		// This response may have been sent before another one that had a limit.
		l.AsOf = a.sentAt
	}
	id := a.grant.Upstream.ID
	if old, changed := r.deps.Tracker.ReportLimit(id, l); changed {
		r.deps.Log.Info().Str("upstream", id).Str("id", j.info.ID).Bool("limited", l.Limited).Float64("rate", l.Rate).
			Float64("before", old.Rate).Msg("rate limit of an upstream changed")
	}
}

// RecordAnnouncements records what an upstream said in a response about itself: that it
// is leaving, or that it wants no requests from this VM for a while. It ignores the
// response of another upstream that has taken over the address.
func (r *Relayer) RecordAnnouncements(u tracker.Upstream, info ResponseInfo) {
	if info.Upstream != "" && info.Upstream != u.ID {
		return
	}
	if info.Leaving && r.deps.Tracker.ReportDeparture(r.deps.Now(), u.ID, u.StartedAt) {
		r.deps.Meter.Count("departures", 1)
		r.deps.Log.Info().Str("upstream", u.ID).Str("id", info.ID).Int64("born", u.StartedAt).Msg("upstream announced that it is leaving")
	}
	if info.Backoff > 0 {
		r.deps.Tracker.ReportBackoff(r.deps.Now(), u.ID, u.StartedAt, info.Backoff)
		r.deps.Meter.Count("backoffs", 1)
		r.deps.Log.Info().Str("upstream", u.ID).Str("id", info.ID).Dur("for", info.Backoff).Msg("upstream requested a backoff")
	}
}

// afterPossibleRun returns the outcome of an attempt that may have run the request.
func (j *job) afterPossibleRun() outcome {
	if j.route.Repeatable() {
		return retryable
	}
	return final
}

func isServerError(status int) bool { return status >= http.StatusInternalServerError }

// isForeign reports whether a response belongs, or may belong, to another request.
func isForeign(j *job, x *carrier.Exchange, info ResponseInfo) bool {
	if info.ID != "" {
		return info.ID != j.info.ID
	}
	return x.Reused || x.Status < http.StatusMultipleChoices
}

func (r *Relayer) newUpstreamRequest(j *job, a *attempt, now time.Time) carrier.Request {
	o := ForwardInfo{
		TimeLeft: j.deadline.Sub(now), Upstream: a.grant.Upstream.ID, Team: j.teamName(), LastEventID: j.lastEventID,
	}
	if e := j.service.Engine; e != nil {
		if j.service.HasPriorities() {
			o.Rank, o.Ranks = j.service.Rank(j.priority())
		}
		o.Short = placer.IsShort(e, j.info.PromptTokens)
	}
	reserved := 0
	for _, h := range a.grant.Helpers {
		helper := Helper{Address: h.Address}
		if h.ReservedTokens > 0 {
			helper.Reservation = a.reservation.Names[reserved]
			reserved++
		}
		o.Helpers = append(o.Helpers, helper)
	}
	q := carrier.Request{
		Method: j.request.Method, Target: j.request.RequestURI, Host: j.request.Host,
		Header: r.deps.Protocol.ForwardHeader(j.request.Header, o), Body: j.body.Data,
		// A request that may run only once is sent on a new connection. If a reused
		// one turned out to be closed, it would be unknown whether the request ran.
		NewConnection: !j.route.Repeatable(),
		MaxIdle:       r.deps.MaxIdleConns(j.service.MaxConnections, a.grant.Upstream.ID),
		MaySend:       func() bool { return r.running.Err() == nil && len(r.unusableUpstreams(a.grant)) == 0 },
	}
	return q
}

// allowRetry reports whether the request may be sent once more. If so, the retry is
// taken from the budget.
func (r *Relayer) allowRetry(ctx context.Context, j *job) bool {
	return r.mayRepeat(ctx, j) && r.takeBudgetedRetry(j)
}

// allowReconnect reports whether a request of which the upstream got nothing may be sent to
// another. The retry budget bounds what reaches upstreams and is used only beyond the limit
// on such connections.
func (r *Relayer) allowReconnect(ctx context.Context, j *job) bool {
	if !r.mayRepeat(ctx, j) {
		return false
	}
	if !r.redialer.Allow(r.deps.Now(), j.service.Name) {
		return r.takeBudgetedRetry(j)
	}
	r.deps.Meter.Count("reconnects", 1)
	r.deps.Log.Info().Str("id", j.info.ID).Str("service", j.service.Name).Str("upstream", j.log.upstream).Int("refused", j.declines).
		Msg("no connection came up, sending the request to another upstream")
	return true
}

// mayRepeat reports whether a request that failed may be sent once more, apart from limits
// that it shares with others.
func (r *Relayer) mayRepeat(ctx context.Context, j *job) bool {
	if ctx.Err() != nil || j.declines > maxDeclines || j.possibleRuns >= max(1, j.route.MaxAttempts) {
		return false
	}
	if _, held := r.deps.Quarantine.Held(j.fingerprint, j.parts...); held {
		j.log.cause += ", quarantined"
		return false
	}
	return true
}

// takeBudgetedRetry takes a retry from the budget, and records it if there is none.
func (r *Relayer) takeBudgetedRetry(j *job) bool {
	if !r.takeRetry(j) {
		r.deps.Meter.Count("repeats.refused", 1)
		j.log.cause += ", retry budget exhausted"
		return false
	}
	return true
}
