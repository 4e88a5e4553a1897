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
	// silence is how long an upstream may be silent in a stream that can go on
	// elsewhere. A pass of a busy engine takes some hundred milliseconds.
	silence = 1600 * time.Millisecond
	// firstSpare is how much longer than estimated, and than its objective,
	// the first event may take before the request goes elsewhere.
	firstSpare = 1500 * time.Millisecond
	// again is the wait after memory could not be set aside, or a place turned
	// out to be gone.
	again = 30 * time.Millisecond
	// leastLeft is the least time that an upstream is given: with less, it
	// would work for nobody.
	leastLeft = 20 * time.Millisecond
)

// A try is one sending that brought the head of an answer.
type try struct {
	grant    *allocator.Placement
	holding  *reserver.Reservation
	exchange *carrier.Exchange
	verdict  ResponseInfo
	watch    *watch
	cancel   context.CancelFunc
	sent     time.Time
	// began says that the first event has come.
	began bool
}

// upstreams are all that work on a try.
func (t *try) upstreams() []string {
	ids := []string{t.grant.Upstream.ID}
	for _, h := range t.grant.Helpers {
		ids = append(ids, h.ID)
	}
	return ids
}

// close ends a try. Memory that was set aside is given back, and the place.
func (t *try) close() {
	if t.watch != nil {
		t.watch.stop()
	}
	if t.exchange != nil {
		t.exchange.Close()
	}
	if t.cancel != nil {
		t.cancel()
	}
	if t.holding != nil {
		t.holding.Release()
	}
	t.grant.Release()
}

// A step is how one sending ended.
type step int

const (
	// answered is a sending whose answer goes to the caller.
	answered step = iota
	// failed is one that may be sent again if the bounds allow it.
	failed
	// repeated is one for which a repeat was granted already.
	repeated
	// over is one after which the request must not be sent again.
	over
)

// begin sends the request until an upstream answers it, or gives the refusal
// with which it ends.
func (r *Relayer) begin(ctx context.Context, j *job) (*try, *refuser.Refusal) {
	ctx, release := r.deps.Quarantine.CancelWhenHeld(ctx, j.fingerprint)
	defer release()
	for {
		t, refusal := r.place(ctx, j)
		if refusal != nil {
			if after, held := r.deps.Quarantine.Held(j.fingerprint); held {
				refusal = quarantined(after)
			}
			return nil, j.truthful(refusal)
		}
		if t == nil {
			continue
		}
		s := r.send(ctx, j, t)
		if s == answered {
			return t, nil
		}
		t.close()
		if s == over || (s == failed && !r.mayRepeat(ctx, j)) {
			return nil, r.failed(ctx, j)
		}
	}
}

// place gets a place, with memory set aside where the prompt needs it. It gives
// neither a place nor a refusal where the place is gone already.
func (r *Relayer) place(ctx context.Context, j *job) (*try, *refuser.Refusal) {
	from := r.deps.Now()
	leaves := time.Time{}
	if j.route.Patience > 0 && !j.begun {
		leaves = j.arrived.Add(j.route.Patience)
	}
	grant, refused := r.deps.Allocator.Acquire(ctx, scheduler.Request{
		Service: j.service, Priority: j.priority(), Team: j.teamName(),
		Requirements: placer.Request{
			Prompt: j.ask.PromptTokens, Output: j.ask.MaxOutputTokens, Tried: j.tried, MaxPause: float64(j.route.Gap.Milliseconds()),
			Arrived: j.arrived, Objective: j.arrived.Add(j.route.Objective), Deadline: j.end, CallerTimeout: leaves,
		},
	})
	now := r.deps.Now()
	j.trace.waited += now.Sub(from)
	if refused != nil {
		j.trace.waits = refused.WaitTimes
		return nil, refuser.New(http.StatusServiceUnavailable, refused.Code, "no upstream could answer it in time").WithRetryAfter(refused.RetryAfter)
	}
	j.trace.waits = grant.Waits
	t := &try{grant: grant}
	if after, held := r.deps.Quarantine.Held(j.fingerprint); held {
		t.close()
		return nil, quarantined(after)
	}
	// The end of the caller's connection is noticed by another goroutine, which
	// on a busy VM may not have run since.
	runtime.Gosched()
	if ctx.Err() != nil {
		t.close()
		return nil, late()
	}
	if !r.reserve(ctx, j, t) {
		t.close()
		return nil, pause(ctx)
	}
	// The process may have stood still since it chose.
	if now = r.deps.Now(); !r.deps.Tracker.IsUsable(grant.Upstream.ID) || j.end.Sub(now) < leastLeft {
		t.close()
		if j.end.Sub(now) < leastLeft {
			return nil, late()
		}
		// Whoever gave the place may not know yet what this VM knows, and would
		// give the same one again.
		j.tried = append(j.tried, grant.Upstream.ID)
		return nil, pause(ctx)
	}
	j.trace.upstream, j.trace.helpers = grant.Upstream.ID, nil
	for _, h := range grant.Helpers {
		j.trace.helpers = append(j.trace.helpers, h.ID)
	}
	j.trace.estimate, j.trace.load, j.trace.leader = grant.Estimate, grant.Load, grant.Leader
	return t, nil
}

func late() *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, scheduler.CodeLate, "no upstream could answer it in time").WithRetryAfter(comeBack)
}

// reserve sets memory aside where the grant asks for it.
func (r *Relayer) reserve(ctx context.Context, j *job, t *try) bool {
	var parts []reserver.EngineMemory
	for _, h := range t.grant.Helpers {
		if h.ReservedTokens > 0 {
			parts = append(parts, reserver.EngineMemory{Address: h.Address, Tokens: h.ReservedTokens})
		}
	}
	if len(parts) == 0 {
		return true
	}
	j.trace.memory = len(parts)
	holding, err := r.deps.Reserver.Reserve(ctx, j.ask.ID, parts)
	if err != nil {
		r.deps.Meter.Count("memory.refused", 1)
		return false
	}
	t.holding = holding
	return true
}

func pause(ctx context.Context) *refuser.Refusal {
	t := time.NewTimer(again)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return late()
	case <-t.C:
		return nil
	}
}

// send sends the request once. After answered the answer's head is in the try.
func (r *Relayer) send(ctx context.Context, j *job, t *try) step {
	if j.runs+j.refused == 0 {
		r.deps.RetryBudget.RecordRequest(j.service.Name)
	}
	id := t.grant.Upstream.ID
	inner, cancel := context.WithCancel(ctx)
	t.cancel, t.sent = cancel, r.deps.Now()
	estimate := max(j.route.Objective, time.Duration(t.grant.Estimate*float64(time.Millisecond)))
	t.watch = r.watch(j, estimate+firstSpare, cancel)
	x, failure := r.deps.Carrier.Send(inner, t.grant.Upstream.Address, r.request(j, t, r.deps.Now()))
	if failure != nil {
		return r.unanswered(ctx, j, t, failure)
	}
	t.exchange = x
	t.verdict = r.deps.Protocol.ParseResponse(x.Status, x.Header)
	if t.verdict.ColdStart > 0 {
		r.deps.Tracker.ReportCold(r.deps.Now(), id, t.verdict.ColdStart)
	}
	r.limit(j, t)
	if foreign(j, x, t.verdict) {
		// It may be the answer to an earlier request on this connection, and
		// nothing is known of ours.
		j.runs++
		r.note(j, id, "foreign answer")
		return j.unlessOnce()
	}
	if t.verdict.NotRun {
		return r.declined(ctx, j, t)
	}
	j.runs++
	if !bad(x.Status) {
		return answered
	}
	r.deps.Tracker.ReportFailure(r.deps.Now(), id, false)
	if j.route.Repeatable() && r.mayRepeat(ctx, j) {
		r.note(j, id, "upstream failed")
		return repeated
	}
	return answered
}

// limit notes what an upstream says of how much it takes.
func (r *Relayer) limit(j *job, t *try) {
	l := tracker.Limit{Limited: t.verdict.RateLimited, Rate: t.verdict.RateLimit, AsOf: r.deps.Now()}
	if !l.Limited {
		// The answer may have been on its way when another one named the limit.
		l.AsOf = t.sent
	}
	id := t.grant.Upstream.ID
	if old, changed := r.deps.Tracker.ReportLimit(id, l); changed {
		r.deps.Log.Info().Str("upstream", id).Str("id", j.ask.ID).Bool("limited", l.Limited).Float64("rate", l.Rate).
			Float64("before", old.Rate).Msg("limit of an upstream")
	}
}

// unlessOnce is the step after a sending that may have run.
func (j *job) unlessOnce() step {
	if j.route.Repeatable() {
		return failed
	}
	return over
}

func bad(status int) bool { return status >= http.StatusInternalServerError }

// foreign says that an answer is not, or may not be, that of this request.
func foreign(j *job, x *carrier.Exchange, v ResponseInfo) bool {
	if v.ID != "" {
		return v.ID != j.ask.ID
	}
	return x.Reused || x.Status < http.StatusMultipleChoices
}

func (r *Relayer) request(j *job, t *try, now time.Time) carrier.Request {
	o := ForwardInfo{
		TimeLeft: j.end.Sub(now), Upstream: t.grant.Upstream.ID, Team: j.teamName(), LastEventID: j.lastEvent,
		HighPriority: j.service.Engine != nil && placer.IsShort(j.service.Engine, j.ask.PromptTokens),
	}
	named := 0
	for _, h := range t.grant.Helpers {
		helper := Helper{Address: h.Address}
		if h.ReservedTokens > 0 {
			helper.Reservation = t.holding.Names[named]
			named++
		}
		o.Helpers = append(o.Helpers, helper)
	}
	q := carrier.Request{
		Method: j.request.Method, Target: j.request.RequestURI, Host: j.request.Host,
		Header: r.deps.Protocol.ForwardHeader(j.request.Header, o), Body: j.body.Data,
		// One that may run only once goes on no kept connection: where that
		// turns out to be closed, nobody can tell whether it ran.
		Fresh: !j.route.Repeatable(),
		Idle:  r.deps.MaxIdleConns(j.service.Connections, t.grant.Upstream.ID),
	}
	return q
}

// unanswered handles a sending without an answer.
func (r *Relayer) unanswered(ctx context.Context, j *job, t *try, f *carrier.Failure) step {
	id := t.grant.Upstream.ID
	if f.Sent {
		j.runs++
	} else {
		j.refused++
	}
	if ctx.Err() != nil {
		return over
	}
	if t.watch.granted.Load() {
		r.stalled(j, t)
		return repeated
	}
	r.lost(j, t, f)
	r.note(j, id, f.Error())
	// A kept connection that was closed says nothing of the upstream.
	r.deps.Tracker.ReportFailure(r.deps.Now(), id, !f.Reused)
	if !f.Sent {
		return failed
	}
	return j.unlessOnce()
}

// lost notes that an upstream may have crashed under the request. One that answers
// wrongly has not.
func (r *Relayer) lost(j *job, t *try, err error) {
	var f *carrier.Failure
	if (errors.As(err, &f) && !f.Sent) || !broken(err) {
		return
	}
	j.trace.losses = r.deps.Quarantine.Lost(j.fingerprint, t.grant.Upstream.ID, t.grant.Upstream.StartedAt)
}

// broken says that a connection was ended by the other side before its time.
func broken(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, errEventCut, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// stalled notes a try that its watch has ended. An upstream that answers others
// is not blamed for it; where only the way from here is cut, kept connections
// are silent one after the other, and a new one shows it.
func (r *Relayer) stalled(j *job, t *try) {
	r.deps.Carrier.Drop(t.grant.Upstream.Address)
	blamed := r.deps.Tracker.ReportStall(r.deps.Now(), t.sent, t.upstreams())
	if slices.Contains(blamed, t.grant.Upstream.ID) {
		j.trace.losses = r.deps.Quarantine.Lost(j.fingerprint, t.grant.Upstream.ID, t.grant.Upstream.StartedAt)
	}
	r.note(j, t.grant.Upstream.ID, "silent; blamed: "+strings.Join(blamed, " "))
	j.tried = append(j.tried, blamed...)
}

// declined handles an upstream that says that it did not run the request.
func (r *Relayer) declined(ctx context.Context, j *job, t *try) step {
	at := t.grant.Upstream.ID
	for _, h := range t.grant.Helpers {
		if t.verdict.FaultyAddress != "" && h.Address == t.verdict.FaultyAddress {
			at = h.ID
		}
	}
	j.refused++
	r.note(j, at, "upstream declined")
	if t.verdict.Misdirected {
		r.deps.Tracker.ReportReplaced(at)
		return failed
	}
	// An engine that cannot help is leaving or gone; one that takes no request
	// itself may just be full.
	helper := at != t.grant.Upstream.ID
	r.deps.Tracker.ReportFailure(r.deps.Now(), at, helper)
	if helper {
		r.deps.Tracker.ReportLeaving(r.deps.Now(), at)
		r.deps.Prober.Probe(ctx, j.service)
	}
	return failed
}

// mayRepeat says whether the request may be sent once more, and takes the
// repeat from the budget if so.
func (r *Relayer) mayRepeat(ctx context.Context, j *job) bool {
	if ctx.Err() != nil || j.refused > mostRefused || j.runs >= max(1, j.route.Attempts) {
		return false
	}
	if _, held := r.deps.Quarantine.Held(j.fingerprint); held {
		j.trace.cause += ", quarantined"
		return false
	}
	if !r.deps.RetryBudget.TakeRetry(j.service.Name) {
		r.deps.Meter.Count("repeats.refused", 1)
		j.trace.cause += ", no budget for a repeat"
		return false
	}
	r.deps.Meter.Count("repeats", 1)
	return true
}

// note keeps what failed at an upstream, and that the request was there.
func (r *Relayer) note(j *job, upstream, cause string) {
	j.tried = append(j.tried, upstream)
	j.trace.cause = cause
	r.deps.Meter.Count("failures", 1)
	r.deps.Log.Info().Str("id", j.ask.ID).Stringer("fingerprint", j.fingerprint).Str("upstream", upstream).Str("cause", cause).
		Int("runs", j.runs).Int("refused", j.refused).Int("losses", j.trace.losses).Msg("attempt failed")
}

// failed is the refusal of a request that no upstream answered, or that may go to
// none any more.
func (r *Relayer) failed(ctx context.Context, j *job) *refuser.Refusal {
	if after, held := r.deps.Quarantine.Held(j.fingerprint); held && j.runs == 0 {
		return quarantined(after)
	}
	return j.failed(ctx)
}

func (j *job) failed(ctx context.Context) *refuser.Refusal {
	switch {
	case j.runs == 0:
		return refuser.New(http.StatusServiceUnavailable, "declined", "no upstream took the request").WithRetryAfter(comeBack)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refuser.New(http.StatusGatewayTimeout, "timeout", "the time limit is over").WithRan(refuser.RanUnknown)
	}
	return lost()
}

func lost() *refuser.Refusal {
	return refuser.New(http.StatusBadGateway, "lost", "an upstream took the request and its answer was lost").WithRan(refuser.RanUnknown)
}

// truthful makes of a refusal that says "not run" one that does not, where the
// request may have run.
func (j *job) truthful(f *refuser.Refusal) *refuser.Refusal {
	if j.runs == 0 || f.Status != http.StatusServiceUnavailable {
		return f
	}
	return lost()
}
