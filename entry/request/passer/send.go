package passer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/heathervane/heathervane/entry/process/dispatcher"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/retrier"
	"github.com/heathervane/heathervane/entry/request/trimmer"
)

// mostAnswer is the longest answer of a service, in bytes. Answers are held
// whole before the caller gets a byte, so that a cut one is a truthful failure
// and not half a confirmation.
const mostAnswer = 8 << 20

// An outcome is how a call ended: an answer, or a refusal.
type outcome struct {
	answer  *answer
	refusal *refuser.Refusal
}

// An answer is a service's whole answer.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	ran      refuser.Ran
	upstream string
	tries    int
}

// run gets a place for a call and sends it, again only where nothing can run
// twice. Before each sending it asks ready, if there is one, whether the call
// may still be sent.
func (p *Proxy) run(ctx context.Context, c *call, ready func() *refuser.Refusal) outcome {
	sent := false
	for {
		grant, refusal := p.deps.Acquirer.Acquire(ctx, dispatcher.Call{Pool: c.pool, Ask: c.ask(), Avoid: c.avoid})
		if refusal != nil {
			return outcome{refusal: truthful(refusal, sent)}
		}
		if after, held := p.deps.Quarantine.Held(c.fingerprint); held {
			grant.Done(dispatcher.Cancelled)
			return outcome{refusal: truthful(quarantined(after), sent)}
		}
		if ready != nil {
			if refusal := ready(); refusal != nil {
				grant.Done(dispatcher.Cancelled)
				return outcome{refusal: refusal}
			}
		}
		c.tries++
		a, f := p.send(ctx, c, grant)
		if f == nil {
			p.deps.Retrier.Completed(1)
			if a.status < http.StatusInternalServerError {
				p.deps.Quarantine.Served(c.fingerprint)
			}
			return outcome{answer: a}
		}
		if ctx.Err() == nil && f.broken() {
			part := grant.Parts[0]
			p.deps.Quarantine.Lost(c.fingerprint, part.Upstream.Name, int64(part.Boot))
		}
		sent = sent || f.sent
		if !p.repeat(ctx, c, grant, f) {
			return outcome{refusal: truthful(f.refusal(ctx), sent)}
		}
	}
}

func truthful(r *refuser.Refusal, sent bool) *refuser.Refusal {
	if sent {
		return r.WithRan(refuser.RanUnknown)
	}
	return r
}

func (p *Proxy) repeat(ctx context.Context, c *call, g *dispatcher.Grant, f *failure) bool {
	c.avoid = append(c.avoid, g.Names()...)
	if len(c.avoid) >= len(c.pool.Upstreams) {
		c.avoid = nil
	}
	decision := p.deps.Retrier.Decide(p.deps.Now(), retrier.Attempt{
		Repeatable: c.repeatable, MayHaveRun: f.sent, Attempts: c.tries, Deadline: c.deadline,
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

// A failure is a sending that brought no answer.
type failure struct {
	err error
	// sent says that a byte of the call may have left.
	sent bool
	// status is what the service refused with as not run, 0 where it did not
	// answer.
	status int
	after  time.Duration
}

// broken says that the service may have died under the call.
func (f *failure) broken() bool {
	if !f.sent {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(f.err, end) {
			return true
		}
	}
	return false
}

func (f *failure) refusal(ctx context.Context) *refuser.Refusal {
	ran := refuser.RanNo
	if f.sent {
		ran = refuser.RanUnknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuser.New(http.StatusGatewayTimeout, "timeout", "the time limit is over").WithRan(ran)
	}
	if !f.sent {
		return refuser.New(http.StatusServiceUnavailable, "upstream_refused", "the service did not take the call").WithRetryAfter(max(f.after, time.Second))
	}
	return refuser.New(http.StatusBadGateway, "upstream_failed", "the service took the call and its answer was lost").WithRan(ran)
}

// send sends a call once.
func (p *Proxy) send(ctx context.Context, c *call, g *dispatcher.Grant) (*answer, *failure) {
	part := g.Parts[0]
	if !part.Slot.Live() {
		g.Done(dispatcher.Cancelled)
		return nil, &failure{}
	}
	// From the moment a connection is there, a byte may have left, whatever
	// error follows: a write that fails here may have arrived there.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	q, err := c.request(httptrace.WithClientTrace(ctx, trace), part.Upstream.Address)
	if err != nil {
		g.Done(dispatcher.Cancelled)
		return nil, &failure{err: err}
	}
	client := p.once
	if c.repeatable {
		client = p.again
	}
	response, err := client.Do(q)
	if err != nil {
		g.Done(dispatcher.Cut)
		if ctx.Err() == nil {
			p.deps.Observer.ReportCold(part.Upstream.Name, 0, "reset")
		}
		return nil, &failure{err: err, sent: connected.Load()}
	}
	defer response.Body.Close()
	return p.receive(c, g, response)
}

func (c *call) request(ctx context.Context, address string) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, bytes.NewReader(c.body.Data))
	if err != nil {
		return nil, err
	}
	q.Header = c.header.Clone()
	q.Header.Set(teamHeader, c.team.Name)
	q.Header.Set(callHeader, c.id)
	if !c.repeatable {
		q.GetBody = nil
	}
	return q, nil
}

func (p *Proxy) receive(c *call, g *dispatcher.Grant, response *http.Response) (*answer, *failure) {
	part := g.Parts[0]
	if response.Header.Get(ranHeader) == string(refuser.RanNo) {
		g.Done(dispatcher.Refused)
		if response.StatusCode == http.StatusServiceUnavailable {
			p.deps.Observer.ReportCold(part.Upstream.Name, 0, "down")
		}
		seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
		if err != nil {
			seconds = 1
		}
		return nil, &failure{status: response.StatusCode, after: time.Duration(seconds) * time.Second}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, mostAnswer+1))
	if err != nil || len(body) > mostAnswer {
		g.Done(dispatcher.Cut)
		return nil, &failure{err: err, sent: true}
	}
	g.Done(dispatcher.Completed)
	a := &answer{status: response.StatusCode, header: trimmer.EndToEndHeaders(response.Header), body: body, upstream: part.Upstream.Name, tries: c.tries}
	a.ran = ran(response.StatusCode)
	return a, nil
}

// ran tells whether an answered call ran. A gateway's words for "I do not know"
// may stand in front of the service, and are passed on as that.
func ran(status int) refuser.Ran {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return refuser.RanUnknown
	}
	return refuser.RanYes
}

func (p *Proxy) answer(w http.ResponseWriter, o outcome) {
	if o.refusal != nil {
		p.refuse(w, o.refusal)
		return
	}
	a := o.answer
	p.deps.Meter.Count("service.completed", 1)
	h := w.Header()
	for name, values := range a.header {
		if !strings.HasPrefix(name, "Heathervane-") {
			h[name] = values
		}
	}
	if len(a.body) > 0 || h.Get("Content-Length") == "" {
		// An answer to HEAD keeps the length of the body that it stands for.
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	h.Set(refuser.RanHeader, string(a.ran))
	h.Set(refuser.UpstreamHeader, a.upstream)
	if a.tries > 1 {
		h.Set(refuser.TriesHeader, strconv.Itoa(a.tries))
	}
	w.WriteHeader(a.status)
	w.Write(a.body)
}
