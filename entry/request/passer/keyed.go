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

// ReplayHeader says that an answer is an earlier call's with the same key.
const ReplayHeader = "Idempotent-Replayed"

// checkRetry is when a call may come back whose ticket came too late: with the
// same key it is judged anew.
const checkRetry = time.Second

// A Deduplicator judges calls with a key.
type Deduplicator interface {
	Begin(ctx context.Context, c deduplicator.Call) deduplicator.Decision
}

// keyed answers a call that carries a key: with the outcome of the first call
// of its key, or by being that first call.
func (p *Proxy) keyed(ctx context.Context, w http.ResponseWriter, c *call, key string) {
	a := p.deps.Deduplicator.Begin(ctx, deduplicator.Call{
		Team: c.team.Name, Service: c.service, Key: key, Method: c.method, Path: c.path, Body: c.body.Data,
		Timestamped: c.view.Manifest.Services[c.service].Keys != "any",
	})
	switch {
	case a.Refusal != nil:
		p.refuse(w, a.Refusal)
	case a.Outcome != nil:
		p.replay(w, a.Outcome)
	default:
		p.first(ctx, w, c, a.Ticket)
	}
}

// first sends a call that is the first of its key. It goes on when its caller
// goes away: that one will ask again with its key, and should get the outcome
// instead of "unknown".
func (p *Proxy) first(ctx context.Context, w http.ResponseWriter, c *call, t *deduplicator.Ticket) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	o := p.run(ctx, c, func() *refuser.Refusal {
		if err := t.Check(); err != nil {
			return refuser.New(http.StatusServiceUnavailable, "key_late", "%s", err).WithRetryAfter(checkRetry)
		}
		return nil
	})
	switch {
	case o.answer != nil && o.answer.ran == refuser.RanYes:
		t.Complete(o.answer.outcome())
	case o.answer == nil && o.refusal.Ran == refuser.RanNo:
		t.Abandon()
	default:
		t.Complete(recorder.Outcome{Unknown: true})
	}
	p.answer(w, o)
}

// outcome is what a repetition gets.
func (a *answer) outcome() recorder.Outcome {
	o := recorder.Outcome{Status: a.status, Header: make(map[string]string), Body: a.body, Kept: true}
	for _, name := range slices.Sorted(maps.Keys(a.header)) {
		if len(o.Header) < recorder.MaxHeaders && !volatile[name] {
			o.Header[name] = a.header.Get(name)
		}
	}
	return o
}

// volatile are headers that belong to one answer only.
var volatile = map[string]bool{"Content-Length": true, "Date": true, "Set-Cookie": true}

// replay answers with an earlier call's outcome.
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
