package passer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/dispatcher"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/retrier"
	"github.com/heathervane/heathervane/entry/request/trimmer"
)

// maxResponseBytes limits the size of a service's response. A response is
// buffered in full before any of it is written to the caller, so that an
// interrupted one is reported as a failure instead of being delivered as half a
// confirmation.
const maxResponseBytes = 8 << 20

// A callResult is the result of a call: a response or a refusal.
type callResult struct {
	response *serviceResponse
	refusal  *refuser.Refusal
}

// A serviceResponse is the complete response of a service.
type serviceResponse struct {
	status   int
	header   http.Header
	body     []byte
	ran      refuser.Ran
	upstream string
	attempts int
}

// run acquires a slot for a call and sends it. It retries only if the call is
// repeatable or cannot have run. Before each attempt it calls ready, if not
// nil, to check that the call may still be sent.
func (p *Proxy) run(ctx context.Context, c *call, ready func() *refuser.Refusal) callResult {
	mayHaveRun := false
	for {
		grant, refusal := p.deps.Acquirer.Acquire(ctx, dispatcher.Call{Pool: c.pool, Ask: c.admitterRequest(), Avoid: c.avoid})
		if refusal != nil {
			return callResult{refusal: withRanUnknownIf(refusal, mayHaveRun)}
		}
		if after, held := p.deps.Quarantine.Held(c.fingerprint); held {
			grant.Done(dispatcher.Cancelled)
			return callResult{refusal: withRanUnknownIf(quarantineRefusal(after), mayHaveRun)}
		}
		if ready != nil {
			if refusal := ready(); refusal != nil {
				grant.Done(dispatcher.Cancelled)
				return callResult{refusal: refusal}
			}
		}
		c.attempts++
		a, f := p.send(ctx, c, grant)
		if f == nil {
			p.deps.Retrier.Completed(1)
			if a.status < http.StatusInternalServerError {
				p.deps.Quarantine.Served(c.fingerprint)
			}
			return callResult{response: a}
		}
		if ctx.Err() == nil && f.connectionLost() {
			part := grant.Parts[0]
			p.deps.Quarantine.Lost(c.fingerprint, part.Upstream.Name, int64(part.Boot))
		}
		mayHaveRun = mayHaveRun || f.mayHaveRun
		if !p.retry(ctx, c, grant, f) {
			return callResult{refusal: withRanUnknownIf(f.refusal(ctx), mayHaveRun)}
		}
	}
}

func withRanUnknownIf(r *refuser.Refusal, mayHaveRun bool) *refuser.Refusal {
	if mayHaveRun {
		return r.WithRan(refuser.RanUnknown)
	}
	return r
}

func (p *Proxy) retry(ctx context.Context, c *call, g *dispatcher.Grant, f *failure) bool {
	c.avoid = append(c.avoid, g.Names()...)
	if len(c.avoid) >= len(c.pool.Upstreams) {
		c.avoid = nil
	}
	decision := p.deps.Retrier.Decide(p.deps.Now(), retrier.Attempt{
		Repeatable: c.repeatable, MayHaveRun: f.mayHaveRun, Attempts: c.attempts, Deadline: c.deadline,
	})
	if !decision.Retry {
		return false
	}
	t := time.NewTimer(decision.Delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		p.deps.Meter.Count("service.retries", 1)
		return true
	}
}

// A failure is an attempt without a complete response.
type failure struct {
	err error
	// mayHaveRun reports whether a byte of the call may have been sent.
	mayHaveRun bool
	// retryAfter is when a service that reported the call as not run may take it.
	retryAfter time.Duration
}

// connectionLost reports whether the service may have crashed while it ran the
// call.
func (f *failure) connectionLost() bool {
	if !f.mayHaveRun {
		return false
	}
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(f.err, target) {
			return true
		}
	}
	return false
}

func (f *failure) refusal(ctx context.Context) *refuser.Refusal {
	ran := refuser.RanNo
	if f.mayHaveRun {
		ran = refuser.RanUnknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuser.New(http.StatusGatewayTimeout, "timeout", "time limit exceeded").WithRan(ran)
	}
	if !f.mayHaveRun {
		return refuser.New(http.StatusServiceUnavailable, "upstream_refused", "the service did not accept the call").WithRetryAfter(max(f.retryAfter, time.Second))
	}
	return refuser.New(http.StatusBadGateway, "upstream_failed", "the service accepted the call, but its response was lost").WithRan(ran)
}

// send makes one attempt at a call.
func (p *Proxy) send(ctx context.Context, c *call, g *dispatcher.Grant) (*serviceResponse, *failure) {
	part := g.Parts[0]
	if !part.Slot.Live() {
		g.Done(dispatcher.Cancelled)
		return nil, &failure{}
	}
	x, failed := p.deps.Carrier.Send(ctx, part.Upstream.Address, c.request(part.Upstream.Address))
	if failed != nil {
		g.Done(dispatcher.Cut)
		if ctx.Err() == nil {
			p.deps.Observer.ReportCold(part.Upstream.Name, 0, "reset")
		}
		return nil, &failure{err: failed, mayHaveRun: failed.Sent}
	}
	defer x.Close()
	return p.receive(c, g, x)
}

// request returns the call as it is sent to the service at an address. A call that is not
// repeatable gets a connection of its own: if a reused one turned out to be closed, it would be
// unknown whether the call ran.
func (c *call) request(address string) carrier.Request {
	h := c.header.Clone()
	h.Del("Content-Length")
	h.Del("Expect")
	h.Set(teamHeader, c.team.Name)
	h.Set(callIDHeader, c.id)
	return carrier.Request{Method: c.method, Target: c.path, Host: address, Header: h, Body: c.body.Data, NewConnection: !c.repeatable}
}

func (p *Proxy) receive(c *call, g *dispatcher.Grant, x *carrier.Exchange) (*serviceResponse, *failure) {
	part := g.Parts[0]
	if x.Header.Get(ranHeader) == string(refuser.RanNo) {
		g.Done(dispatcher.Refused)
		if x.Status == http.StatusServiceUnavailable {
			p.deps.Observer.ReportCold(part.Upstream.Name, 0, "down")
		}
		f := &failure{retryAfter: time.Second}
		if seconds, err := strconv.Atoi(x.Header.Get("Retry-After")); err == nil {
			f.retryAfter = time.Duration(seconds) * time.Second
			p.deps.Acquirer.BackOff(part.Upstream.Name, f.retryAfter)
			p.deps.Meter.Count("service.backoffs", 1)
		}
		return nil, f
	}
	body, err := io.ReadAll(io.LimitReader(x.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes {
		g.Done(dispatcher.Cut)
		return nil, &failure{err: err, mayHaveRun: true}
	}
	g.Done(dispatcher.Completed)
	a := &serviceResponse{status: x.Status, header: trimmer.EndToEndHeaders(x.Header), body: body, upstream: part.Upstream.Name, attempts: c.attempts}
	a.ran = ranByStatus(x.Status)
	return a, nil
}

// ranByStatus derives from the HTTP status of a response whether the call ran.
// A 502, 503 or 504 may come from a gateway in front of the service, which does
// not know.
func ranByStatus(status int) refuser.Ran {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return refuser.RanUnknown
	}
	return refuser.RanYes
}

func (p *Proxy) writeResult(w http.ResponseWriter, result callResult) {
	if result.refusal != nil {
		p.refuse(w, result.refusal)
		return
	}
	a := result.response
	p.deps.Meter.Count("service.completed", 1)
	h := w.Header()
	for name, values := range a.header {
		if !strings.HasPrefix(name, "Heathervane-") {
			h[name] = values
		}
	}
	if len(a.body) > 0 || h.Get("Content-Length") == "" {
		// A response to HEAD keeps the length of the body that it omits.
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	h.Set(refuser.RanHeader, string(a.ran))
	h.Set(refuser.UpstreamHeader, a.upstream)
	if a.attempts > 1 {
		h.Set(refuser.TriesHeader, strconv.Itoa(a.attempts))
	}
	w.WriteHeader(a.status)
	w.Write(a.body)
}
