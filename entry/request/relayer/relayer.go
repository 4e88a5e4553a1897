// Package relayer is the reverse proxy of an entry VM. It forwards requests to
// upstreams, and their responses to callers, byte for byte.
//
// Whether a request may be retried depends on its route, never on its method. A
// request is reported as not run only if nothing was sent, or if the upstream
// said that it did not run it: callers retry after such a report, and a booking
// that ran twice would charge a member twice.
//
// A Protocol translates the headers of callers and upstreams, and the allocator
// chooses the upstreams.
package relayer

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/accountant"
	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/prober"
	"github.com/heathervane/heathervane/entry/process/reserver"
	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/request/reader"
	"github.com/heathervane/heathervane/entry/request/redialer"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// defaultTimeout limits a request if neither its caller nor its route does.
	defaultTimeout = 30 * time.Second
	// retryAfter is when a caller may retry after a refusal for a temporary
	// reason.
	retryAfter = 300 * time.Millisecond
	// leavingRetryAfter is when a caller may retry after a refusal by a VM that is about to
	// stop: another VM can serve it at once.
	leavingRetryAfter = 20 * time.Millisecond
	// answerMargin is the time in which a request that has reached its deadline is answered.
	answerMargin = 100 * time.Millisecond
	// maxBufferedBytes is the longest response body that is buffered completely
	// before anything is sent to the caller, so that a truncated response can
	// still be reported as an error. It also limits request bodies if the
	// configuration does not.
	maxBufferedBytes = 1 << 20
	// maxDeclines is the number of declines up to which a request is retried.
	// They do not count towards the attempts that its route allows.
	maxDeclines = 3
	// startupWait is how long after the start of the process requests wait for
	// the first configuration. A request waits for at most its caller's timeout
	// divided by startupWaitDivisor.
	startupWait        = time.Second
	startupWaitDivisor = 8
	// maxBodyReadTime limits the time for reading a request body if the timeout
	// of the request is longer.
	maxBodyReadTime = 10 * time.Second
	// writeGrace is how long after the deadline of a request its response may
	// still be written, as callers may read slowly.
	writeGrace = time.Second
)

// A RequestInfo is what the headers of a caller's request say.
type RequestInfo struct {
	// ID identifies the request. Upstreams repeat it in their responses.
	ID string
	// Timeout is how long the caller waits; 0 if unknown.
	Timeout time.Duration
	// APIKey authenticates the caller's team.
	APIKey string
	// PromptTokens is the length of the prompt, MaxOutputTokens the length limit
	// of the answer.
	PromptTokens, MaxOutputTokens int
	// PromptParts are the IDs of the parts of the prompt that other requests may have as
	// well, in order. The last part, which is the request's own, is not among them.
	PromptParts []string
	// LastEventID is the last event of the stream that the caller has received.
	LastEventID string
}

// A Helper is an upstream that processes a part of a prompt. Reservation names
// the memory reserved for it there; empty if there is none.
type Helper struct {
	Address, Reservation string
}

// A ForwardInfo is what is sent to an upstream in addition to the caller's headers.
type ForwardInfo struct {
	TimeLeft    time.Duration
	Upstream    string
	Team        string
	LastEventID string
	Helpers     []Helper
	// Rank is the place of the request's priority among the Ranks different ones that
	// requests of the service may have, from 0 for the most urgent. Ranks is 0 for
	// services without engines.
	Rank, Ranks int
	// Short requests have prompts that one engine reads in one pass.
	Short bool
}

// A ResponseInfo is what the status and headers of an upstream's response say.
type ResponseInfo struct {
	// ID identifies the request that the response belongs to; empty if unknown.
	ID string
	// Sealed is true if the response carries the seal that marks it as the
	// upstream's own and complete in itself. A successful response without a seal
	// is broken.
	Sealed bool
	// NotRun is true if the upstream did not run the request and will not.
	NotRun bool
	// Misdirected is true if another upstream uses the address now.
	Misdirected bool
	// FaultyAddress is the upstream that failed if several worked on the request.
	FaultyAddress string
	// ColdStart is the remaining time of the upstream's cold start.
	ColdStart time.Duration
	// RateLimited is true if the upstream accepts at most RateLimit requests per
	// second from all VMs together. It applies until a response does not say so.
	RateLimited bool
	RateLimit   float64
	// Upstream is the ID of the upstream that responded; empty if it does not say.
	Upstream string
	// Leaving is true if the upstream is about to stop and takes no new work.
	Leaving bool
	// Backoff is how long the upstream wants no more requests from this VM; 0 if it
	// does not say.
	Backoff time.Duration
}

// A Protocol translates the headers and events of callers and upstreams.
type Protocol interface {
	ParseRequest(h http.Header) RequestInfo
	// ForwardHeader returns the headers for an upstream, given the caller's.
	ForwardHeader(h http.Header, o ForwardInfo) http.Header
	ParseResponse(status int, h http.Header) ResponseInfo
	// EventID returns the ID of a stream's event; empty if it has none.
	EventID(event []byte) string
}

// A Meter records metrics.
type Meter interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// A RetryBudget limits the retries of all VMs together. RecordRequest counts the
// first attempt of a request; TakeRetry reports whether a retry is allowed, and
// counts it.
type RetryBudget interface {
	RecordRequest(service string)
	TakeRetry(service string) bool
}

// A Quarantine keeps requests that crash upstreams from being forwarded, on all
// VMs.
type Quarantine interface {
	// Arrived records the arrival of a request. It reports whether the request is
	// held, and after how long without a further arrival it no longer will be.
	// Held reports the same later, without recording anything.
	// A request is also held if one of the parts of its prompt is; HeldPart returns the
	// index of that part, or -1.
	Arrived(f fingerprinter.Fingerprint, parts ...fingerprinter.Fingerprint) (after time.Duration, held bool)
	Held(f fingerprinter.Fingerprint, parts ...fingerprinter.Fingerprint) (after time.Duration, held bool)
	HeldPart(parts ...fingerprinter.Fingerprint) int
	// CancelWhenHeld returns a context that is canceled as soon as the request is
	// held, until release is called.
	CancelWhenHeld(ctx context.Context, f fingerprinter.Fingerprint, parts ...fingerprinter.Fingerprint) (guarded context.Context, release func())
	// Lost records that an upstream was lost while it ran the request, and returns
	// the number of such losses; the parts are those that may have caused it. Begun
	// records that an upstream goes on with its answer to a prompt with the given parts,
	// and Served a complete response.
	Lost(f fingerprinter.Fingerprint, upstream string, born int64, parts ...fingerprinter.Fingerprint) (losses int)
	Begun(parts ...fingerprinter.Fingerprint)
	Served(f fingerprinter.Fingerprint)
}

// Deps are the dependencies of a Relayer.
type Deps struct {
	// VM is the name of this VM.
	VM    string
	Table func() *matcher.Table
	// Configured is closed once Table returns a table.
	Configured <-chan struct{}
	Protocol   Protocol
	// Allocator grants placements at upstreams.
	Allocator *allocator.Allocator
	Tracker   *tracker.Tracker
	Carrier   *carrier.Carrier
	Reserver  *reserver.Reserver
	// MaxIdleConns returns how many idle connections this VM may keep to an
	// upstream that accepts so many connections from all VMs together. The result
	// is used as carrier.Request.MaxIdle.
	MaxIdleConns func(connections int, upstream string) int
	// MaxOpenEnded returns the length limit of response bodies that do not state theirs.
	MaxOpenEnded func() int64
	// Prober checks the health of a service's upstreams after one of them has
	// declined to help, to find those that are leaving.
	Prober      *prober.Prober
	RetryBudget RetryBudget
	// Quarantine holds the requests that crash upstreams.
	Quarantine Quarantine
	// Memory accounts for what requests hold on this VM.
	Memory       *accountant.Accountant
	Meter        Meter
	Now          func() time.Time
	Log          zerolog.Logger
	Reachability Reachability
	// PeerCarrier sends requests to Peers if Reachability says that this VM reaches no
	// upstream.
	Peers       Peers
	PeerCarrier *carrier.Carrier
	// MaxForwarded is the number of requests in progress that this VM takes from other VMs.
	MaxForwarded int
	// ShuttingDown reports whether this VM is about to stop.
	ShuttingDown func() (Shutdown, bool)
}

// A Shutdown is the state of this VM's planned stop.
type Shutdown struct {
	// Left is the time until the requests in progress are interrupted.
	Left time.Duration
	// Strict is set once a request is accepted only if its deadline passes before that.
	// Until then it is enough that the request is likely to have ended.
	Strict bool
}

// A Relayer forwards requests to upstreams.
type Relayer struct {
	deps      Deps
	redialer  *redialer.Redialer
	startedAt time.Time
	// running is done once Interrupt has been called.
	running   context.Context //nolint:containedctx // it ends the contexts of all requests
	interrupt context.CancelFunc
	// activeForwarded is the number of requests in progress that other VMs have forwarded,
	// and peerVersion the newest version of the configuration by which another VM has
	// served a request of this one.
	activeForwarded, peerVersion atomic.Int64
}

// New returns a Relayer.
func New(d Deps) *Relayer {
	r := &Relayer{deps: d, redialer: redialer.New(), startedAt: d.Now()}
	r.running, r.interrupt = context.WithCancel(context.Background())
	return r
}

// A job is the state of one request that is being forwarded.
type job struct {
	info          RequestInfo
	route         *matcher.Route
	service       *matcher.Service
	team          *matcher.Team
	configVersion int64
	request       *http.Request
	body          *reader.Body
	// fingerprint identifies the content of the request. It is set once the body
	// is read.
	fingerprint fingerprinter.Fingerprint
	// parts identify the parts of the prompt that other requests may have as well, in the
	// order of info.PromptParts.
	parts     []fingerprinter.Fingerprint
	arrivedAt time.Time
	// deadline is when the complete response must have been sent.
	deadline time.Time
	// forwarded is set if another VM has forwarded the request to this one. minVersion is
	// the version of the configuration by which it was accepted there or, at the first VM,
	// by which another VM has served an earlier request.
	forwarded  bool
	minVersion int64
	// resumed is set if the caller already has a part of the stream from there, and
	// earlierRuns is how often the request may have run before it came.
	resumed     bool
	earlierRuns int
	// recorded is set once the request counts in the retry budget.
	recorded bool
	// tried lists the upstreams that failed. possibleRuns counts the attempts that
	// may have run the request. declines counts those that did not: nothing was
	// sent, or the upstream said so.
	tried []string
	// gaveWay is set once the request has given way to a more urgent one.
	gaveWay      bool
	possibleRuns int
	declines     int
	// begun is set once the answer of an attempt went on after its first event.
	begun bool
	// lastEventID is the last event sent to the caller. headerSent is true once
	// the status and headers were sent.
	lastEventID string
	headerSent  bool
	// memory is what the request holds on this VM, and ended is not nil once its response
	// was ended because memory was short.
	memory *accountant.Holder
	ended  atomic.Pointer[accountant.Ending]
	log    requestLog
}

// A requestLog collects fields of the request's log line.
type requestLog struct {
	queueTime time.Duration
	// waits breaks down the wait for the last placement by reason.
	waits       scheduler.WaitTimes
	timeToFirst time.Duration
	// maxPause is the longest time between two events of a stream.
	maxPause     time.Duration
	upstream     string
	helpers      []string
	reservations int
	estimate     float64
	load         placer.Load
	// leader is the VM that granted the placement; empty if it is this one.
	leader string
	cause  string
	// from is the VM that forwarded the request to this one, and peer the one to which
	// this VM forwarded it.
	from, peer string
	// losses is the number of upstreams lost while running the request, as far as
	// this VM knew after the last of them.
	losses int
	// leaving is set if the VM was about to stop when the request came. timeLeft is the time
	// that was left until then, and needed the time for which the request was judged.
	leaving          bool
	timeLeft, needed time.Duration
	// heldPart is the ID of the part of the prompt because of which the request is held.
	heldPart string
}

// ServeHTTP forwards one request.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.deps.Meter.Count("requests", 1)
	r.serve(w, &job{info: r.deps.Protocol.ParseRequest(q.Header), request: q, arrivedAt: r.deps.Now(), minVersion: r.peerVersion.Load()})
}

func (r *Relayer) serve(w http.ResponseWriter, j *job) {
	if _, leaving := r.deps.ShuttingDown(); leaving {
		w.Header().Set("Connection", "close")
	}
	defer func() {
		j.body.Release()
		j.memory.Close(r.deps.Now())
	}()
	if refusal := r.accept(w, j); refusal != nil {
		if refusal.Code == reader.CodeMemory {
			r.logMemory(j, refusal)
		}
		if j.forwarded && refusal.Code != codeQuarantined {
			w.Header().Set(declinedHeader, refusal.Code)
		}
		r.refuse(w, j, refusal)
		return
	}
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(j.deadline.Add(writeGrace)); err != nil {
		r.deps.Log.Warn().Str("id", j.info.ID).Err(err).Msg("could not set the write deadline of the caller's connection")
	}
	ctx, cancel := r.requestContext(j)
	defer cancel()
	if j.route.Kind == matcher.Stream {
		r.serveStream(ctx, w, j)
		return
	}
	r.serveBuffered(ctx, w, j)
}

// errStopping is the cause of the end of requests that are in progress when this VM stops.
var errStopping = errors.New("this VM stops")

// requestContext returns the context of a request, which ends at its deadline, when its caller
// disconnects, or when Interrupt is called.
func (r *Relayer) requestContext(j *job) (context.Context, context.CancelFunc) {
	interruptible, interrupt := context.WithCancelCause(j.request.Context())
	unregister := context.AfterFunc(r.running, func() { interrupt(errStopping) })
	ctx, cancel := context.WithDeadline(interruptible, j.deadline)
	return ctx, func() {
		cancel()
		unregister()
		interrupt(nil)
	}
}

// Interrupt ends all requests in progress, because this VM stops. Those whose response has not
// begun are answered: otherwise their callers would not learn whether they may have run.
func (r *Relayer) Interrupt() { r.interrupt() }

// accept resolves and reads a request. It returns a refusal if the request is not
// to be forwarded.
func (r *Relayer) accept(w http.ResponseWriter, j *job) *refuser.Refusal {
	table := r.awaitVersion(j, r.awaitTable(j))
	if table == nil || (j.forwarded && table.Version < j.minVersion) {
		return refuser.New(http.StatusServiceUnavailable, "not_ready", "this VM has no configuration yet, or an older one").WithRetryAfter(retryAfter)
	}
	j.configVersion = table.Version
	if j.forwarded {
		w.Header().Set(versionHeader, strconv.FormatInt(table.Version, 10))
	}
	if refusal := r.resolve(table, j); refusal != nil {
		return refusal
	}
	timeout := j.route.Timeout
	if j.info.Timeout > 0 && (timeout == 0 || j.info.Timeout < timeout) {
		timeout = j.info.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	j.deadline = j.arrivedAt.Add(timeout)
	if j.forwarded && r.deps.Reachability.Confirm(j.request.Context(), j.service.Name) {
		return unreachableRefusal()
	}
	if refusal := r.leavingRefusal(j); refusal != nil {
		return refusal
	}
	if refusal := r.openMemory(w, j); refusal != nil {
		return refusal
	}
	bodies := reader.Reader{
		MaxBytes: table.Limits.MaxBodyBytes, Budget: bodyBudget{j.memory, r.deps.Now}, Timeout: min(timeout, maxBodyReadTime),
		RetryAfter: func(n int64) time.Duration { return r.deps.Memory.RetryAfter(r.deps.Now(), j.teamName(), n) },
	}
	if bodies.MaxBytes <= 0 {
		bodies.MaxBytes = maxBufferedBytes
	}
	body, refusal := bodies.Read(w, j.request)
	if refusal != nil {
		return refusal
	}
	j.body = body
	// The body may have come slowly, and nothing has been sent yet.
	if refusal := r.leavingRefusal(j); refusal != nil {
		return refusal
	}
	j.fingerprint = fingerprinter.Of(&fingerprinter.Request{
		Team: j.teamName(), Method: j.request.Method, Host: j.request.Host, Target: j.request.RequestURI, Body: body.Data,
	})
	for _, id := range j.info.PromptParts {
		j.parts = append(j.parts, fingerprinter.OfPart(j.service.Name, id))
	}
	if after, held := r.deps.Quarantine.Arrived(j.fingerprint, j.parts...); held {
		return r.quarantineRefusal(j, after)
	}
	return nil
}

// codeQuarantined is the code of refusals of requests in quarantine.
const codeQuarantined = "quarantined"

// quarantineRefusal returns the refusal of a request in quarantine. The caller and the log
// learn which part of the prompt is held.
func (r *Relayer) quarantineRefusal(j *job, after time.Duration) *refuser.Refusal {
	refusal := refuser.New(http.StatusServiceUnavailable, codeQuarantined, "the request has crashed the upstreams that ran it")
	if i := r.deps.Quarantine.HeldPart(j.parts...); i >= 0 {
		j.log.heldPart = j.info.PromptParts[i]
		refusal = refuser.New(http.StatusServiceUnavailable, codeQuarantined, "part %s of the prompt has crashed the upstreams that began to answer it", j.log.heldPart)
	}
	return refusal.WithRetryAfter(after)
}

// awaitTable returns the configuration, or nil if it does not arrive in time. A
// process that has just started receives it within some tens of milliseconds.
// Requests wait for it, as a refusal often loses them: many callers retry at most
// once, and all VMs may have started together.
func (r *Relayer) awaitTable(j *job) *matcher.Table {
	if table := r.deps.Table(); table != nil {
		return table
	}
	left := r.startedAt.Add(startupWait).Sub(r.deps.Now())
	if j.info.Timeout > 0 {
		left = min(left, j.info.Timeout/startupWaitDivisor)
	}
	t := time.NewTimer(max(0, left))
	defer t.Stop()
	select {
	case <-r.deps.Configured:
	case <-t.C:
	case <-j.request.Context().Done():
	}
	return r.deps.Table()
}

func (r *Relayer) resolve(table *matcher.Table, j *job) *refuser.Refusal {
	q := j.request
	route, ok := table.Route(q.Host, q.RequestURI)
	if !ok {
		return refuser.New(http.StatusNotFound, "no_route", "no route serves this host and path")
	}
	j.route = route
	if table.RequiresKey() && !route.Anonymous {
		if j.team, ok = table.Team(j.info.APIKey); !ok {
			return refuser.New(http.StatusUnauthorized, "no_key", "the key is not known")
		}
	}
	name, ok := route.PickService()
	if ok {
		j.service, ok = table.Service(name)
	}
	if !ok {
		return refuser.New(http.StatusServiceUnavailable, "no_service", "no service is configured for the route").WithRetryAfter(retryAfter)
	}
	j.lastEventID = j.info.LastEventID
	return nil
}

// leavingRefusal refuses a request that this VM may be unable to finish before it stops.
// Once the load balancer sends the VM no more callers, an estimate does not suffice: what a
// request waits for, and the silence of an engine, are bounded by its deadline only.
func (r *Relayer) leavingRefusal(j *job) *refuser.Refusal {
	s, leaving := r.deps.ShuttingDown()
	if !leaving {
		return nil
	}
	needed := r.expectedDuration(j)
	if s.Strict {
		needed = j.deadline.Sub(r.deps.Now()) + answerMargin
	}
	j.log.leaving, j.log.timeLeft, j.log.needed = true, s.Left, needed
	if !j.forwarded && needed <= s.Left {
		return nil
	}
	return stoppingRefusal()
}

// codeLeaving is the code of refusals by a VM that is about to stop.
const codeLeaving = "leaving"

func stoppingRefusal() *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, codeLeaving, "this VM is about to stop").WithRetryAfter(leavingRetryAfter)
}

// expectedDuration estimates the longest duration of a request, for a VM that is
// about to stop to decide whether it can still finish it.
func (r *Relayer) expectedDuration(j *job) time.Duration {
	if j.route.Kind != matcher.Stream || j.service.Engine == nil {
		return min(j.route.Timeout, typicalCallDuration)
	}
	e := j.service.Engine
	pass := placer.DecodePassTime(e, e.Slots, e.KVCapacity/typicalMemoryDivisor)
	decodeTime := pass * float64(j.info.MaxOutputTokens) / float64(max(1, e.StepsPerPass))
	return j.route.Objective + time.Duration(decodeTime*float64(time.Millisecond))
}

// typicalMemoryDivisor is the inverse of the share of an engine's memory that its
// running streams use together.
const typicalMemoryDivisor = 4

// typicalCallDuration is longer than all but a few calls of services without
// engines take.
const typicalCallDuration = 1500 * time.Millisecond

func (j *job) priority() int { return j.service.Priority(j.route, j.team) }

func (j *job) teamName() string {
	if j.team == nil {
		return ""
	}
	return j.team.Name
}
