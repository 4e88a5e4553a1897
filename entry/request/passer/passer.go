// Package passer passes calls through to plain services. A call that may not be
// repeated is sent at most once, whatever happens, and "not run" is said only
// where no byte of it can have left: the caller who is told so may safely try
// again, and a booking made twice charges a member twice.
package passer

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

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

// PathPrefix is where calls of services stand.
const PathPrefix = "/services/"

// Headers that a call carries to its service.
const (
	keyHeader  = "Idempotency-Key"
	callHeader = "Call"
	teamHeader = "Heathervane-Team"
	ranHeader  = "Ran"
)

// An Acquirer gives places at upstreams.
type Acquirer interface {
	Acquire(ctx context.Context, c dispatcher.Call) (*dispatcher.Grant, *refuser.Refusal)
}

// A Observer hears evidence that an upstream has turned cold.
type Observer interface {
	ReportCold(upstream string, boot uint64, cause string)
}

// A Retrier decides whether a call is sent again.
type Retrier interface {
	Decide(now time.Time, a retrier.Attempt) retrier.Decision
	Completed(n int)
}

// A Quarantine keeps requests from upstreams that crash whoever runs them, at all
// VMs.
type Quarantine interface {
	Arrived(f fingerprinter.Fingerprint) (after time.Duration, held bool)
	Held(f fingerprinter.Fingerprint) (after time.Duration, held bool)
	Lost(f fingerprinter.Fingerprint, upstream string, born int64) (losses int)
	Served(f fingerprinter.Fingerprint)
}

// A Meter counts.
type Meter interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// Deps are what a Passer works with.
type Deps struct {
	View         func() *viewer.View
	Reader       *reader.Reader
	Acquirer     Acquirer
	Observer     Observer
	Retrier      Retrier
	Deduplicator Deduplicator
	// Quarantine knows the requests that crash upstreams.
	Quarantine Quarantine
	Meter      Meter
	Now        func() time.Time
}

// A Proxy passes calls through.
type Proxy struct {
	vm       string
	boot     uint64
	deps     Deps
	again    *http.Client
	once     *http.Client
	sequence atomic.Uint64
}

// New returns a Passer for a VM's process.
func New(vm string, boot uint64, d Deps) *Proxy {
	return &Proxy{vm: vm, boot: boot, deps: d, again: newClient(true), once: newClient(false)}
}

// newClient returns a client of services. One for calls that may not be
// repeated never uses a connection twice: net/http sends a request again on its
// own when a kept connection turns out to be dead and the request has an empty
// body and an Idempotency-Key, or may be replayed otherwise. Nobody would see
// that but the member who is charged twice.
func newClient(reuse bool) *http.Client {
	t := &http.Transport{
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
		DisableKeepAlives:   !reuse,
		DisableCompression:  true,
	}
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: t, CheckRedirect: stay}
}

// A call is one call on its way.
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
	// repeatable says that it may be sent more than once.
	repeatable bool
	tries      int
	avoid      []string
	// fingerprint names what is asked for.
	fingerprint fingerprinter.Fingerprint
}

// ServeHTTP answers one call.
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
	if key := q.Header.Get(keyHeader); key != "" && !c.repeatable {
		p.keyed(ctx, w, c, key)
		return
	}
	// A repeated key gets its first outcome, also while the call is held.
	if after, held := p.deps.Quarantine.Arrived(c.fingerprint); held {
		p.refuse(w, quarantined(after))
		return
	}
	outcome := p.run(ctx, c, nil)
	p.answer(w, outcome)
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
		id: p.id(), method: q.Method, path: "/" + path, service: name, team: team, pool: pool, view: v,
		header: trimmer.EndToEndHeaders(q.Header), body: body, arrived: arrived, deadline: arrived.Add(limit),
		repeatable: v.Repeatable(name, q.Method, q.URL.Path[min(len(q.URL.Path), len(PathPrefix)+len(name)):]),
	}
	if q.URL.RawQuery != "" {
		c.path += "?" + q.URL.RawQuery
	}
	c.fingerprint = fingerprinter.Of(&fingerprinter.Request{Team: team.Name, Method: q.Method, Host: name, Target: c.path, Body: body.Data})
	return c, nil
}

func quarantined(after time.Duration) *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, "quarantined", "the call has crashed the upstreams that ran it").WithRetryAfter(after)
}

func (p *Proxy) id() string {
	n := p.sequence.Add(1)
	return p.vm + "-" + strconv.FormatUint(p.boot, 36) + "-c" + strconv.FormatUint(n, 36)
}

func (c *call) ask() admitter.Request {
	return admitter.Request{Team: c.team.Name, Share: c.team.Share, Arrived: c.arrived, Deadline: c.deadline}
}
