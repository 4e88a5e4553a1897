// Package passer is a reverse proxy for plain services. A call that is not
// repeatable is sent at most once in all cases, because a booking made twice
// charges the customer twice. A call is reported as "not run" only if no byte
// of it can have been sent or the service itself says so: the caller may then
// safely retry it.
package passer

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/dispatcher"
	"github.com/heathervane/heathervane/entry/request/admitter"
	"github.com/heathervane/heathervane/entry/request/authenticator"
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
	"github.com/heathervane/heathervane/entry/request/reader"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/retrier"
	"github.com/heathervane/heathervane/entry/request/trimmer"
	"github.com/heathervane/heathervane/entry/version/viewer"
)

// PathPrefix is the URL path of calls to services; the name of the service
// follows it.
const PathPrefix = "/services/"

// Headers of calls and of the responses of services.
const (
	idempotencyKeyHeader = "Idempotency-Key"
	callIDHeader         = "Call"
	teamHeader           = "Heathervane-Team"
	ranHeader            = "Ran"
)

// An Acquirer acquires slots at upstreams.
type Acquirer interface {
	Acquire(ctx context.Context, c dispatcher.Call) (*dispatcher.Grant, *refuser.Refusal)
	// BackOff keeps new calls of this VM from an upstream for a duration.
	BackOff(upstream string, wait time.Duration)
}

// An Observer is notified of evidence that an upstream is in cold start.
type Observer interface {
	ReportCold(upstream string, boot uint64, cause string)
}

// A Retrier decides whether a failed call is retried.
type Retrier interface {
	Decide(now time.Time, a retrier.Attempt) retrier.Decision
	Completed(n int)
}

// A Quarantine holds back calls that crash the upstreams that run them, on all
// VMs.
type Quarantine interface {
	Arrived(f fingerprinter.Fingerprint, parts ...fingerprinter.Fingerprint) (after time.Duration, held bool)
	Held(f fingerprinter.Fingerprint, parts ...fingerprinter.Fingerprint) (after time.Duration, held bool)
	Lost(f fingerprinter.Fingerprint, upstream string, born int64, parts ...fingerprinter.Fingerprint) (losses int)
	Served(f fingerprinter.Fingerprint)
}

// A Meter records metrics.
type Meter interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// Deps are the dependencies of a Proxy.
type Deps struct {
	View         func() *viewer.View
	Reader       *reader.Reader
	Carrier      *carrier.Carrier
	Acquirer     Acquirer
	Observer     Observer
	Retrier      Retrier
	Deduplicator Deduplicator
	Quarantine   Quarantine
	Meter        Meter
	Now          func() time.Time
}

// A Proxy forwards calls to services.
type Proxy struct {
	vm       string
	boot     uint64
	deps     Deps
	sequence atomic.Uint64
}

// New returns a Proxy for the process with the given VM ID and boot number.
func New(vm string, boot uint64, d Deps) *Proxy {
	return &Proxy{vm: vm, boot: boot, deps: d}
}

// A call is the state of one call in progress.
type call struct {
	id       string
	method   string
	path     string
	service  string
	team     viewer.Team
	pool     *viewer.Pool
	view     *viewer.View
	header   http.Header
	body     *reader.Body
	arrived  time.Time
	deadline time.Time
	// repeatable reports whether the call may be sent more than once.
	repeatable bool
	attempts   int
	avoid      []string
	// fingerprint identifies the call in the quarantine.
	fingerprint fingerprinter.Fingerprint
}

// ServeHTTP forwards one call and writes the response.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	arrived := p.deps.Now()
	w.Header().Set(refuser.VMHeader, p.vm)
	p.deps.Meter.Count("service.calls", 1)
	c, refusal := p.accept(w, q, arrived)
	if refusal != nil {
		p.refuse(w, refusal)
		return
	}
	defer c.body.Release()
	ctx, cancel := context.WithDeadline(q.Context(), c.deadline)
	defer cancel()
	if key := q.Header.Get(idempotencyKeyHeader); key != "" && !c.repeatable {
		p.serveKeyed(ctx, w, c, key)
		return
	}
	// A call that is not repeatable and has a key does not get here, so that a
	// repeated key gets its first outcome even while the call is in quarantine.
	if after, held := p.deps.Quarantine.Arrived(c.fingerprint); held {
		p.refuse(w, quarantineRefusal(after))
		return
	}
	result := p.run(ctx, c, nil)
	p.writeResult(w, result)
}

func (p *Proxy) refuse(w http.ResponseWriter, r *refuser.Refusal) {
	p.deps.Meter.Count("service.refused."+r.Code, 1)
	r.Write(w)
}

func (p *Proxy) accept(w http.ResponseWriter, q *http.Request, arrived time.Time) (*call, *refuser.Refusal) {
	v := p.deps.View()
	if v == nil {
		return nil, authenticator.NotReady()
	}
	team, refusal := authenticator.Team(v, q)
	if refusal != nil {
		return nil, refusal
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(q.URL.EscapedPath(), PathPrefix), "/")
	pool, ok := v.Service(name)
	if !ok {
		return nil, refuser.New(http.StatusNotFound, "service_not_found", "there is no service %.60q", name)
	}
	if q.Header.Get("Upgrade") != "" {
		return nil, refuser.BadRequest("Upgrade", "unsupported", "calls cannot change their protocol")
	}
	s := v.Manifest.Services[name]
	limit, refusal := authenticator.Timeout(q, s.Limit, s.Least, s.Most)
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := p.deps.Reader.Read(w, q)
	if refusal != nil {
		return nil, refusal
	}
	c := &call{
		id: p.nextID(), method: q.Method, path: "/" + path, service: name, team: team, pool: pool, view: v,
		header: trimmer.EndToEndHeaders(q.Header), body: body, arrived: arrived, deadline: arrived.Add(limit),
		repeatable: v.Repeatable(name, q.Method, q.URL.Path[min(len(q.URL.Path), len(PathPrefix)+len(name)):]),
	}
	if q.URL.RawQuery != "" {
		c.path += "?" + q.URL.RawQuery
	}
	c.fingerprint = fingerprinter.Of(&fingerprinter.Request{Team: team.Name, Method: q.Method, Host: name, Target: c.path, Body: body.Data})
	return c, nil
}

func quarantineRefusal(after time.Duration) *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, "quarantined", "the call has crashed the upstreams that ran it").WithRetryAfter(after)
}

func (p *Proxy) nextID() string {
	n := p.sequence.Add(1)
	return p.vm + "-" + strconv.FormatUint(p.boot, 36) + "-c" + strconv.FormatUint(n, 36)
}

func (c *call) admitterRequest() admitter.Request {
	return admitter.Request{Team: c.team.Name, Share: c.team.Share, Arrived: c.arrived, Deadline: c.deadline}
}
