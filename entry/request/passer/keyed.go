package passer

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/deduplicator"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/library/recorder"
)

// ReplayHeader marks a response as that of an earlier call with the same key.
const ReplayHeader = "Idempotent-Replayed"

// lateTicketRetryAfter is when a caller may retry a call whose ticket came too
// late. With the same key, the retry gets a new decision.
const lateTicketRetryAfter = time.Second

// A Deduplicator decides whether a call with an idempotency key may be sent.
type Deduplicator interface {
	Begin(ctx context.Context, c deduplicator.Call) deduplicator.Decision
}

// serveKeyed serves a call with an idempotency key: with the outcome of the
// first call with that key, or by sending it if it is the first.
func (p *Proxy) serveKeyed(ctx context.Context, w http.ResponseWriter, c *call, key string) {
	decision := p.deps.Deduplicator.Begin(ctx, deduplicator.Call{
		Team: c.team.Name, Service: c.service, Key: key, Method: c.method, Path: c.path, Body: c.body.Data,
		Timestamped: c.view.Manifest.Services[c.service].Keys != "any",
	})
	switch {
	case decision.Refusal != nil:
		p.refuse(w, decision.Refusal)
	case decision.Outcome != nil:
		p.replay(w, decision.Outcome)
	default:
		p.serveFirst(ctx, w, c, decision.Ticket)
	}
}

// serveFirst sends the first call with its key. It continues if the caller
// disconnects: the caller will retry with the same key, and should then get the
// outcome instead of "unknown".
func (p *Proxy) serveFirst(ctx context.Context, w http.ResponseWriter, c *call, t *deduplicator.Ticket) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	result := p.run(ctx, c, func() *refuser.Refusal {
		if err := t.Check(); err != nil {
			return refuser.New(http.StatusServiceUnavailable, "key_late", "%s", err).WithRetryAfter(lateTicketRetryAfter)
		}
		return nil
	})
	switch {
	case result.response != nil && result.response.ran == refuser.RanYes:
		t.Complete(result.response.recordedOutcome())
	case result.response == nil && result.refusal.Ran == refuser.RanNo:
		t.Abandon()
	default:
		t.Complete(recorder.Outcome{Unknown: true})
	}
	p.writeResult(w, result)
}

// recordedOutcome returns the outcome that repeated calls with the same key
// get.
func (a *serviceResponse) recordedOutcome() recorder.Outcome {
	o := recorder.Outcome{Status: a.status, Header: make(map[string]string), Body: a.body, Kept: true}
	for _, name := range slices.Sorted(maps.Keys(a.header)) {
		if len(o.Header) < recorder.MaxHeaders && !notReplayed[name] {
			o.Header[name] = a.header.Get(name)
		}
	}
	return o
}

// notReplayed lists the headers that apply only to the response they were sent
// with.
var notReplayed = map[string]bool{"Content-Length": true, "Date": true, "Set-Cookie": true}

// replay writes the outcome of an earlier call.
func (p *Proxy) replay(w http.ResponseWriter, o *recorder.Outcome) {
	p.deps.Meter.Count("service.replayed", 1)
	h := w.Header()
	for name, value := range o.Header {
		h.Set(name, value)
	}
	h.Set(ReplayHeader, "true")
	if !o.Kept {
		h.Set(ReplayHeader, "true; body=dropped")
	}
	h.Set(refuser.RanHeader, string(refuser.RanYes))
	w.WriteHeader(o.Status)
	w.Write(o.Body)
}
