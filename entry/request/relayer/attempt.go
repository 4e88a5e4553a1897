package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"syscall"
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
	// maxSilence is how long an upstream may be silent in a stream that can go on
	// elsewhere. A pass of a busy engine takes some hundred milliseconds.
	maxSilence = 1600 * time.Millisecond
	// firstEventGrace is how much longer than estimated, and than its objective,
	// the first event may take before the request goes elsewhere.
	firstEventGrace = 1500 * time.Millisecond
	// retryDelay is the wait after memory could not be set aside, or a place turned
	// out to be gone.
	retryDelay = 30 * time.Millisecond
	// minTimeLeft is the least time that an upstream is given: with less, it
	// would work for nobody.
	minTimeLeft = 20 * time.Millisecond
)

// A attempt is one sending that brought the head of an answer.
type attempt struct {
	grant       *allocator.Placement
	reservation *reserver.Reservation
	exchange    *carrier.Exchange
	response    ResponseInfo
	watchdog    *watchdog
	cancel      context.CancelFunc
	sentAt      time.Time
	// firstEventSeen says that the first event has come.
	firstEventSeen bool
}

// upstreams are all that work on a try.
func (a *attempt) upstreams() []string {
	ids := []string{a.grant.Upstream.ID}
	for _, h := range a.grant.Helpers {
		ids = append(ids, h.ID)
	}
	return ids
}

// close ends a try. Memory that was set aside is given back, and the place.
func (a *attempt) close() {
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
	a.grant.Release()
}

// A outcome is how one sending ended.
type outcome int

const (
	// answered is a sending whose answer goes to the caller.
	answered outcome = iota
	// retryable is one that may be sent again if the bounds allow it.
	retryable
	// retryGranted is one for which a repeat was granted already.
	retryGranted
	// final is one after which the request must not be sent again.
	final
)

// sendUntilAnswered sends the request until an upstream answers it, or gives the refusal
// with which it ends.
func (r *Relayer) sendUntilAnswered(ctx context.Context, j *job) (*attempt, *refuser.Refusal) {
	ctx, release := r.deps.Quarantine.CancelWhenHeld(ctx, j.fingerprint)
	defer release()
	for {
		a, refusal := r.acquire(ctx, j)
		if refusal != nil {
			if after, held := r.deps.Quarantine.Held(j.fingerprint); held {
				refusal = quarantineRefusal(after)
			}
			return nil, j.correctRan(refusal)
		}
		if a == nil {
			continue
		}
		s := r.send(ctx, j, a)
		if s == answered {
			return a, nil
		}
		a.close()
		if s == final || (s == retryable && !r.allowRetry(ctx, j)) {
			return nil, r.failureRefusal(ctx, j)
		}
	}
}

// acquire gets a acquire, with memory set aside where the prompt needs it. It gives
// neither a acquire nor a refusal where the acquire is gone already.
func (r *Relayer) acquire(ctx context.Context, j *job) (*attempt, *refuser.Refusal) {
	waitStart := r.deps.Now()
	giveUpAt := time.Time{}
	if j.route.Patience > 0 && !j.headerSent {
		giveUpAt = j.arrivedAt.Add(j.route.Patience)
	}
	grant, refused := r.deps.Allocator.Acquire(ctx, scheduler.Request{
		Service: j.service, Priority: j.priority(), Team: j.teamName(),
		Requirements: placer.Request{
			Prompt: j.info.PromptTokens, Output: j.info.MaxOutputTokens, Tried: j.tried, MaxPause: float64(j.route.Gap.Milliseconds()),
			Arrived: j.arrivedAt, Objective: j.arrivedAt.Add(j.route.Objective), Deadline: j.deadline, CallerTimeout: giveUpAt,
		},
	})
	now := r.deps.Now()
	j.log.queueTime += now.Sub(waitStart)
	if refused != nil {
		j.log.waits = refused.WaitTimes
		return nil, refuser.New(http.StatusServiceUnavailable, refused.Code, "no upstream could answer it in time").WithRetryAfter(refused.RetryAfter)
	}
	j.log.waits = grant.Waits
	a := &attempt{grant: grant}
	if after, held := r.deps.Quarantine.Held(j.fingerprint); held {
		a.close()
		return nil, quarantineRefusal(after)
	}
	// The end of the caller's connection is noticed by another goroutine, which
	// on a busy VM may not have run since.
	runtime.Gosched()
	if ctx.Err() != nil {
		a.close()
		return nil, deadlineRefusal()
	}
	if !r.reserveMemory(ctx, j, a) {
		a.close()
		return nil, waitRetryDelay(ctx)
	}
	// The process may have stood still since it chose.
	if now = r.deps.Now(); !r.deps.Tracker.May(grant.Upstream.ID) || j.deadline.Sub(now) < minTimeLeft {
		a.close()
		if j.deadline.Sub(now) < minTimeLeft {
			return nil, deadlineRefusal()
		}
		// Whoever gave the place may not know yet what this VM knows, and would
		// give the same one again.
		j.tried = append(j.tried, grant.Upstream.ID)
		return nil, waitRetryDelay(ctx)
	}
	j.log.upstream, j.log.helpers = grant.Upstream.ID, nil
	for _, h := range grant.Helpers {
		j.log.helpers = append(j.log.helpers, h.ID)
	}
	j.log.estimate, j.log.load, j.log.leader = grant.Estimate, grant.Load, grant.Leader
	return a, nil
}

func deadlineRefusal() *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, scheduler.CodeLate, "no upstream could answer it in time").WithRetryAfter(retryAfter)
}

// reserveMemory sets memory aside where the grant asks for it.
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
	holding, err := r.deps.Reserver.Reserve(ctx, j.info.ID, parts)
	if err != nil {
		r.deps.Meter.Count("memory.refused", 1)
		return false
	}
	a.reservation = holding
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

// send sends the request once. After answered the answer's head is in the try.
func (r *Relayer) send(ctx context.Context, j *job, a *attempt) outcome {
	if j.possibleRuns+j.declines == 0 {
		r.deps.RetryBudget.RecordRequest(j.service.Name)
	}
	id := a.grant.Upstream.ID
	attemptCtx, cancel := context.WithCancel(ctx)
	a.cancel, a.sentAt = cancel, r.deps.Now()
	estimate := max(j.route.Objective, time.Duration(a.grant.Estimate*float64(time.Millisecond)))
	a.watchdog = r.startWatchdog(j, estimate+firstEventGrace, cancel)
	x, failure := r.deps.Carrier.Send(attemptCtx, a.grant.Upstream.Address, r.newUpstreamRequest(j, a, r.deps.Now()))
	if failure != nil {
		return r.handleSendFailure(ctx, j, a, failure)
	}
	a.exchange = x
	a.response = r.deps.Protocol.ParseResponse(x.Status, x.Header)
	if a.response.ColdStart > 0 {
		r.deps.Tracker.TurnedCold(r.deps.Now(), id, a.response.ColdStart)
	}
	r.recordRateLimit(j, a)
	if isForeign(j, x, a.response) {
		// It may be the answer to an earlier request on this connection, and
		// nothing is known of ours.
		j.possibleRuns++
		r.recordFailure(j, id, "foreign answer")
		return j.afterPossibleRun()
	}
	if a.response.NotRun {
		return r.handleDecline(ctx, j, a)
	}
	j.possibleRuns++
	if !isServerError(x.Status) {
		return answered
	}
	r.deps.Tracker.Failed(r.deps.Now(), id, false)
	if j.route.Repeatable() && r.allowRetry(ctx, j) {
		r.recordFailure(j, id, "upstream failed")
		return retryGranted
	}
	return answered
}

// recordRateLimit notes what an upstream says of how much it takes.
func (r *Relayer) recordRateLimit(j *job, a *attempt) {
	l := tracker.Limit{Limited: a.response.RateLimited, Rate: a.response.RateLimit, AsOf: r.deps.Now()}
	if !l.Limited {
		// The answer may have been on its way when another one named the limit.
		l.AsOf = a.sentAt
	}
	id := a.grant.Upstream.ID
	if old, changed := r.deps.Tracker.Limit(id, l); changed {
		r.deps.Log.Info().Str("upstream", id).Str("id", j.info.ID).Bool("limited", l.Limited).Float64("rate", l.Rate).
			Float64("before", old.Rate).Msg("limit of an upstream")
	}
}

// afterPossibleRun is the step after a sending that may have run.
func (j *job) afterPossibleRun() outcome {
	if j.route.Repeatable() {
		return retryable
	}
	return final
}

func isServerError(status int) bool { return status >= http.StatusInternalServerError }

// isForeign says that an answer is not, or may not be, that of this request.
func isForeign(j *job, x *carrier.Exchange, v ResponseInfo) bool {
	if v.ID != "" {
		return v.ID != j.info.ID
	}
	return x.Reused || x.Status < http.StatusMultipleChoices
}

func (r *Relayer) newUpstreamRequest(j *job, a *attempt, now time.Time) carrier.Request {
	o := ForwardInfo{
		TimeLeft: j.deadline.Sub(now), Upstream: a.grant.Upstream.ID, Team: j.teamName(), LastEventID: j.lastEventID,
		HighPriority: j.service.Engine != nil && placer.IsShort(j.service.Engine, j.info.PromptTokens),
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
		// One that may run only once goes on no kept connection: where that
		// turns out to be closed, nobody can tell whether it ran.
		Fresh: !j.route.Repeatable(),
		Idle:  r.deps.MaxIdleConns(j.service.Connections, a.grant.Upstream.ID),
	}
	return q
}

// handleSendFailure handles a sending without an answer.
func (r *Relayer) handleSendFailure(ctx context.Context, j *job, a *attempt, f *carrier.Failure) outcome {
	id := a.grant.Upstream.ID
	if f.Sent {
		j.possibleRuns++
	} else {
		j.declines++
	}
	if ctx.Err() != nil {
		return final
	}
	if a.watchdog.retryGranted.Load() {
		r.handleStall(j, a)
		return retryGranted
	}
	r.recordLoss(j, a, f)
	r.recordFailure(j, id, f.Error())
	// A kept connection that was closed says nothing of the upstream.
	r.deps.Tracker.Failed(r.deps.Now(), id, !f.Reused)
	if !f.Sent {
		return retryable
	}
	return j.afterPossibleRun()
}

// recordLoss notes that an upstream may have crashed under the request. One that answers
// wrongly has not.
func (r *Relayer) recordLoss(j *job, a *attempt, err error) {
	var f *carrier.Failure
	if (errors.As(err, &f) && !f.Sent) || !isConnectionLoss(err) {
		return
	}
	j.log.losses = r.deps.Quarantine.Lost(j.fingerprint, a.grant.Upstream.ID, a.grant.Upstream.Born)
}

// isConnectionLoss says that a connection was ended by the other side before its time.
func isConnectionLoss(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, errTruncatedEvent, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// handleStall notes a try that its watch has ended. An upstream that answers others
// is not blamed for it; where only the way from here is cut, kept connections
// are silent one after the other, and a new one shows it.
func (r *Relayer) handleStall(j *job, a *attempt) {
	r.deps.Carrier.Drop(a.grant.Upstream.Address)
	blamed := r.deps.Tracker.Stalled(r.deps.Now(), a.sentAt, a.upstreams())
	if slices.Contains(blamed, a.grant.Upstream.ID) {
		j.log.losses = r.deps.Quarantine.Lost(j.fingerprint, a.grant.Upstream.ID, a.grant.Upstream.Born)
	}
	r.recordFailure(j, a.grant.Upstream.ID, "silent; blamed: "+strings.Join(blamed, " "))
	j.tried = append(j.tried, blamed...)
}

// handleDecline handles an upstream that says that it did not run the request.
func (r *Relayer) handleDecline(ctx context.Context, j *job, a *attempt) outcome {
	id := a.grant.Upstream.ID
	for _, h := range a.grant.Helpers {
		if a.response.FaultyAddress != "" && h.Address == a.response.FaultyAddress {
			id = h.ID
		}
	}
	j.declines++
	r.recordFailure(j, id, "upstream declined")
	if a.response.Misdirected {
		r.deps.Tracker.Misplaced(id)
		return retryable
	}
	// An engine that cannot help is leaving or gone; one that takes no request
	// itself may just be full.
	byHelper := id != a.grant.Upstream.ID
	r.deps.Tracker.Failed(r.deps.Now(), id, byHelper)
	if byHelper {
		r.deps.Tracker.Leaves(r.deps.Now(), id)
		r.deps.Prober.Probe(ctx, j.service)
	}
	return retryable
}

// allowRetry says whether the request may be sent once more, and takes the
// repeat from the budget if so.
func (r *Relayer) allowRetry(ctx context.Context, j *job) bool {
	if ctx.Err() != nil || j.declines > maxDeclines || j.possibleRuns >= max(1, j.route.Attempts) {
		return false
	}
	if _, held := r.deps.Quarantine.Held(j.fingerprint); held {
		j.log.cause += ", quarantined"
		return false
	}
	if !r.deps.RetryBudget.TakeRetry(j.service.Name) {
		r.deps.Meter.Count("repeats.refused", 1)
		j.log.cause += ", no budget for a repeat"
		return false
	}
	r.deps.Meter.Count("repeats", 1)
	return true
}

// recordFailure keeps what failed at an upstream, and that the request was there.
func (r *Relayer) recordFailure(j *job, upstream, cause string) {
	j.tried = append(j.tried, upstream)
	j.log.cause = cause
	r.deps.Meter.Count("failures", 1)
	r.deps.Log.Info().Str("id", j.info.ID).Stringer("fingerprint", j.fingerprint).Str("upstream", upstream).Str("cause", cause).
		Int("runs", j.possibleRuns).Int("refused", j.declines).Int("losses", j.log.losses).Msg("attempt failed")
}

// failureRefusal is the refusal of a request that no upstream answered, or that may go to
// none any more.
func (r *Relayer) failureRefusal(ctx context.Context, j *job) *refuser.Refusal {
	if after, held := r.deps.Quarantine.Held(j.fingerprint); held && j.possibleRuns == 0 {
		return quarantineRefusal(after)
	}
	return j.failureRefusal(ctx)
}

func (j *job) failureRefusal(ctx context.Context) *refuser.Refusal {
	switch {
	case j.possibleRuns == 0:
		return refuser.New(http.StatusServiceUnavailable, "declined", "no upstream took the request").WithRetryAfter(retryAfter)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refuser.New(http.StatusGatewayTimeout, "timeout", "the time limit is over").WithRan(refuser.RanUnknown)
	}
	return lostRefusal()
}

func lostRefusal() *refuser.Refusal {
	return refuser.New(http.StatusBadGateway, "lost", "an upstream took the request and its answer was lost").WithRan(refuser.RanUnknown)
}

// correctRan makes of a refusal that says "not run" one that does not, where the
// request may have run.
func (j *job) correctRan(f *refuser.Refusal) *refuser.Refusal {
	if j.possibleRuns == 0 || f.Status != http.StatusServiceUnavailable {
		return f
	}
	return lostRefusal()
}
