// Package relayer passes requests of any kind on to upstreams, and their
// answers back, byte for byte. What may be repeated follows from the route and
// never from the method. "Not run" is said only where nothing was sent, or the
// upstream said so: a caller who is told so tries again, and a booking made
// twice charges a member twice.
//
// How callers and upstreams say things is a Dialect's matter, where a request
// goes the allocator's.
package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/prober"
	"github.com/heathervane/heathervane/entry/process/reserver"
	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/request/reader"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// defaultTimeout is how long a request may last where neither its caller nor
	// its route says.
	defaultTimeout = 30 * time.Second
	// retryAfter is when a request refused for a passing reason may come back.
	retryAfter = 300 * time.Millisecond
	// maxBufferedBytes is the longest answer in bytes that is held whole before its
	// caller gets a byte, so that a cut one is a truthful failure.
	maxBufferedBytes = 1 << 20
	// maxDeclines is how many upstreams may refuse a request, besides those
	// that it may run at.
	maxDeclines = 3
	// startupWait is for how long after its start a process has requests wait for the
	// configuration, and startShare which part of its time each may wait at most,
	// as one over this.
	startupWait        = time.Second
	startupWaitDivisor = 8
	// maxBodyReadTime bounds the arrival of a body in a request without a limit.
	maxBodyReadTime = 10 * time.Second
	// writeGrace is how long after a request's end its answer may still be on
	// its way to the caller, who may read slowly.
	writeGrace = time.Second
)

// A RequestInfo is what a caller says of its request.
type RequestInfo struct {
	// ID names the request; its upstream's answer bears it.
	ID string
	// Timeout is how long the caller waits; 0 where it does not say.
	Timeout time.Duration
	// APIKey proves the caller's team.
	APIKey string
	// PromptTokens and MaxOutputTokens are the tokens of the prompt and the most of the
	// answer.
	PromptTokens, MaxOutputTokens int
	// LastEventID is the last event that the caller has of this stream.
	LastEventID string
}

// A Helper is an upstream that reads a part of a prompt, and the name of the
// memory set aside there, if any is.
type Helper struct {
	Address, Reservation string
}

// A ForwardInfo is what an upstream is told beside the caller's own headers.
type ForwardInfo struct {
	TimeLeft    time.Duration
	Upstream    string
	Team        string
	LastEventID string
	Helpers     []Helper
	// HighPriority says that the request goes before others at the engine.
	HighPriority bool
}

// A ResponseInfo is what the head of an upstream's answer says.
type ResponseInfo struct {
	// ID is the request that is answered; empty where it does not say.
	ID string
	// Sealed says that the answer is the upstream's own and complete in
	// itself; others are broken.
	Sealed bool
	// NotRun says that the upstream did not run the request and will not.
	NotRun bool
	// Misdirected says that another upstream has that address now.
	Misdirected bool
	// FaultyAddress is the address of the upstream at fault where several worked.
	FaultyAddress string
	// ColdStart is how long the upstream stays in cold start.
	ColdStart time.Duration
	// RateLimited says that the upstream takes no more than Rate requests a second from
	// all VMs together, for as long as its answers say so.
	RateLimited bool
	RateLimit   float64
}

// A Protocol is how callers and upstreams say things.
type Protocol interface {
	ParseRequest(h http.Header) RequestInfo
	// ForwardHeader makes the headers for an upstream from the caller's.
	ForwardHeader(h http.Header, o ForwardInfo) http.Header
	ParseResponse(status int, h http.Header) ResponseInfo
	// EventID gives the id of an event of a stream; empty where it has none.
	EventID(event []byte) string
}

// A Meter counts.
type Meter interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// A RetryBudget bounds repeats in sum over all VMs.
type RetryBudget interface {
	RecordRequest(service string)
	TakeRetry(service string) bool
}

// A Quarantine keeps requests from upstreams that crash whoever runs them, at all
// VMs.
type Quarantine interface {
	// Arrived says whether a request that has come is held, and after how long without
	// its coming again it is not; Held is the same later on.
	Arrived(f fingerprinter.Fingerprint) (after time.Duration, held bool)
	Held(f fingerprinter.Fingerprint) (after time.Duration, held bool)
	// CancelWhenHeld gives a context that ends when the request turns out to be held, until
	// it is released.
	CancelWhenHeld(ctx context.Context, f fingerprinter.Fingerprint) (guarded context.Context, release func())
	// Lost notes an upstream that was lost while it ran a request, and says how many
	// were. Served notes a request that was answered whole.
	Lost(f fingerprinter.Fingerprint, upstream string, born int64) (losses int)
	Served(f fingerprinter.Fingerprint)
}

// Deps are what a Relayer works with.
type Deps struct {
	Table func() *matcher.Table
	// Configured is closed once there is a table.
	Configured <-chan struct{}
	Protocol   Protocol
	// Allocator gives places at upstreams.
	Allocator *allocator.Allocator
	Tracker   *tracker.Tracker
	Carrier   *carrier.Carrier
	Reserver  *reserver.Reserver
	// MaxIdleConns is how many idle connections this VM may keep to an upstream of a service
	// that accepts so many from all VMs, as in carrier.Request.
	MaxIdleConns func(connections int, upstream string) int
	// Prober finds out which upstreams leave where one has declined to help.
	Prober      *prober.Prober
	RetryBudget RetryBudget
	// Quarantine knows the requests that crash upstreams.
	Quarantine Quarantine
	BodyMemory reader.MemoryBudget
	Meter      Meter
	Now        func() time.Time
	Log        zerolog.Logger
	// ShuttingDown says that this VM is about to stop, and how long it has left.
	ShuttingDown func() (bool, time.Duration)
}

// A Relayer passes requests on.
type Relayer struct {
	deps      Deps
	startedAt time.Time
}

// New returns a Relayer.
func New(d Deps) *Relayer { return &Relayer{deps: d, startedAt: d.Now()} }

// A job is one request on its way.
type job struct {
	info          RequestInfo
	route         *matcher.Route
	service       *matcher.Service
	team          *matcher.Team
	configVersion int64
	request       *http.Request
	body          *reader.Body
	// fingerprint names what is asked for, once its body is read.
	fingerprint fingerprinter.Fingerprint
	arrivedAt   time.Time
	// deadline is when the final answer must be out.
	deadline time.Time
	// tried are the upstreams that failed it, runs those that may have run it,
	// refused those that said that they did not.
	tried        []string
	possibleRuns int
	declines     int
	// lastEventID is the last event that the caller has, and begun says that it
	// has the head of its answer.
	lastEventID string
	headerSent  bool
	log         requestLog
}

// A requestLog is what the request's log line tells.
type requestLog struct {
	queueTime time.Duration
	// waits is why, for the last place.
	waits       scheduler.WaitTimes
	timeToFirst time.Duration
	// maxPause is the longest time between two events.
	maxPause     time.Duration
	upstream     string
	helpers      []string
	reservations int
	estimate     float64
	load         placer.Load
	// leader is the VM that gave the place; empty where this one did.
	leader string
	cause  string
	// losses is how many upstreams were lost under the request, as far as this VM
	// knew after the last of them.
	losses int
}

// ServeHTTP passes one request on.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	arrived := r.deps.Now()
	r.deps.Meter.Count("requests", 1)
	if leaving, _ := r.deps.ShuttingDown(); leaving {
		w.Header().Set("Connection", "close")
	}
	j := &job{info: r.deps.Protocol.ParseRequest(q.Header), request: q, arrivedAt: arrived}
	if refusal := r.accept(w, j); refusal != nil {
		r.refuse(w, j, refusal)
		return
	}
	defer j.body.Release()
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(j.deadline.Add(writeGrace)); err != nil {
		r.deps.Log.Warn().Str("id", j.info.ID).Err(err).Msg("no bound on writing to the caller")
	}
	ctx, cancel := context.WithDeadline(q.Context(), j.deadline)
	defer cancel()
	if j.route.Kind == matcher.Stream {
		r.serveStream(ctx, w, j)
		return
	}
	r.serveBuffered(ctx, w, j)
}

// accept finds out what a request is, or why it is not served.
func (r *Relayer) accept(w http.ResponseWriter, j *job) *refuser.Refusal {
	table := r.awaitTable(j)
	if table == nil {
		return refuser.New(http.StatusServiceUnavailable, "not_ready", "this VM has no configuration yet").WithRetryAfter(retryAfter)
	}
	j.configVersion = table.Version
	if refusal := r.resolve(table, j); refusal != nil {
		return refusal
	}
	limit := j.route.Timeout
	if j.info.Timeout > 0 && (limit == 0 || j.info.Timeout < limit) {
		limit = j.info.Timeout
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	j.deadline = j.arrivedAt.Add(limit)
	if leaving, left := r.deps.ShuttingDown(); leaving && left < r.expectedDuration(j) {
		return refuser.New(http.StatusServiceUnavailable, "leaving", "this VM is about to stop").WithRetryAfter(retryAfter)
	}
	bodies := reader.Reader{MaxBytes: table.Limits.Body, Budget: r.deps.BodyMemory, Timeout: min(limit, maxBodyReadTime)}
	if bodies.MaxBytes <= 0 {
		bodies.MaxBytes = maxBufferedBytes
	}
	body, refusal := bodies.Read(w, j.request)
	if refusal != nil {
		return refusal
	}
	j.body = body
	j.fingerprint = fingerprinter.Of(&fingerprinter.Request{
		Team: j.teamName(), Method: j.request.Method, Host: j.request.Host, Target: j.request.RequestURI, Body: body.Data,
	})
	if after, held := r.deps.Quarantine.Arrived(j.fingerprint); held {
		return quarantineRefusal(after)
	}
	return nil
}

func quarantineRefusal(after time.Duration) *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, "quarantined", "the request has crashed the upstreams that ran it").WithRetryAfter(after)
}

// awaitTable gives the configuration. A process that has just started has it within some
// tens of milliseconds, and a request that is refused meanwhile is often lost: many
// callers come back once at most, and all VMs may have started together.
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
	if table.Guarded() && !route.Anonymous {
		if j.team, ok = table.Team(j.info.APIKey); !ok {
			return refuser.New(http.StatusUnauthorized, "no_key", "the key is not known")
		}
	}
	name, ok := route.Pick()
	if ok {
		j.service, ok = table.Service(name)
	}
	if !ok {
		return refuser.New(http.StatusServiceUnavailable, "no_service", "the route leads to no service").WithRetryAfter(retryAfter)
	}
	j.lastEventID = j.info.LastEventID
	return nil
}

// expectedDuration is how long a request is expected to take at most, where a VM that
// leaves must know whether it still can end it.
func (r *Relayer) expectedDuration(j *job) time.Duration {
	if j.route.Kind != matcher.Stream || j.service.Engine == nil {
		return min(j.route.Timeout, typicalCallDuration)
	}
	e := j.service.Engine
	pass := placer.DecodePassTime(e, e.Slots, e.Memory/typicalMemoryDivisor)
	answer := pass * float64(j.info.MaxOutputTokens) / float64(max(1, e.Stride))
	return j.route.Objective + time.Duration(answer*float64(time.Millisecond))
}

// typicalMemoryDivisor is what part of an engine's memory the streams have that run there
// together, as one over this.
const typicalMemoryDivisor = 4

// typicalCallDuration is how long a call of a plain service lasts at most, but for a few.
const typicalCallDuration = 1500 * time.Millisecond

// priority is the request's rank: its team's, then its route's.
func (j *job) priority() int {
	if j.team != nil && j.team.Ranked {
		return j.team.Priority
	}
	return j.route.Priority
}

func (j *job) teamName() string {
	if j.team == nil {
		return ""
	}
	return j.team.Name
}
