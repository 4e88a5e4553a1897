package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/trimmer"
)

// An answer is an upstream's whole answer, or so much of it as is held before
// the caller gets a byte.
type answer struct {
	try  *try
	data []byte
	// more says that the rest is still to come.
	more bool
}

// whole passes a request on whose answer is one piece.
func (r *Relayer) whole(ctx context.Context, w http.ResponseWriter, j *job) {
	for {
		t, refusal := r.begin(ctx, j)
		if refusal != nil {
			r.refuse(w, j, refusal)
			return
		}
		// It has answered: how long its answer takes to come is no silence.
		t.watch.stop()
		a, err := read(t)
		if err == nil {
			r.deliver(ctx, w, j, a)
			return
		}
		t.close()
		if ctx.Err() == nil {
			r.lost(j, t, err)
			r.note(j, t.grant.Upstream.ID, "answer cut: "+err.Error())
			r.deps.Tracker.ReportFailure(r.deps.Now(), t.grant.Upstream.ID, false)
		}
		if !j.route.Repeatable() || !r.mayRepeat(ctx, j) {
			r.refuse(w, j, j.failed(ctx))
			return
		}
	}
}

// errUnsealed is an answer that is not an upstream's own.
var errUnsealed = errors.New("the answer is not the upstream's own")

// read reads an answer up to a bound.
func read(t *try) (answer, error) {
	x := t.exchange
	if x.Status < http.StatusMultipleChoices && (!t.verdict.Sealed || x.Header.Get("Content-Encoding") != "") {
		return answer{}, errUnsealed
	}
	data, err := io.ReadAll(io.LimitReader(x.Body, mostWhole+1))
	if err != nil {
		return answer{}, err
	}
	return answer{try: t, data: data, more: len(data) > mostWhole}, nil
}

// deliver gives the caller an answer.
func (r *Relayer) deliver(ctx context.Context, w http.ResponseWriter, j *job, a answer) {
	defer a.try.close()
	x := a.try.exchange
	if promises(x.Status) {
		// Callers take these for "not run", and this upstream did not say so.
		r.refuse(w, j, lost())
		return
	}
	a.try.grant.MarkStarted()
	r.deps.Tracker.ReportAnswer(r.deps.Now(), a.try.grant.Upstream.ID)
	r.head(w, j, x.Header)
	if !a.more && (len(a.data) > 0 || x.Header.Get("Content-Length") == "") && bodied(j.request.Method, x.Status) {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.data)))
	}
	w.WriteHeader(x.Status)
	_, err := w.Write(a.data)
	if err == nil && a.more {
		_, err = io.Copy(w, x.Body)
	}
	if err != nil {
		r.abort(ctx, j, err)
	}
	if !bad(x.Status) {
		r.deps.Quarantine.Served(j.fingerprint)
	}
	r.done(j, x.Status)
}

// promises says that callers read a status as "not run".
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// bodied says that an answer has a body, by RFC 9110, section 6.4.1.
func bodied(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// head sets the headers of an answer.
func (r *Relayer) head(w http.ResponseWriter, j *job, from http.Header) {
	h := w.Header()
	for name, values := range trimmer.EndToEndHeaders(from) {
		h[name] = values
	}
	if h.Get("Date") == "" {
		// What the upstream did not say is not added.
		h["Date"] = nil
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
	j.begun = true
	j.trace.first = r.deps.Now().Sub(j.arrived)
}

// abort ends a connection whose answer cannot be whole. An end in good order
// would make half an answer look like a whole one.
func (r *Relayer) abort(ctx context.Context, j *job, err error) {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	j.trace.cause = "answer broken off: " + err.Error()
	r.deps.Meter.Count("aborted", 1)
	r.done(j, 0)
	panic(http.ErrAbortHandler)
}

// refuse gives a request up: at once, with the time to come back where that
// helps.
func (r *Relayer) refuse(w http.ResponseWriter, j *job, f *refuser.Refusal) {
	if j.request.Context().Err() != nil {
		// Its caller has gone.
		j.trace.cause = "caller gone"
		r.done(j, 0)
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(refuser.RanHeader, string(f.Ran))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', -1, 64))
	}
	if j.trace.cause == "" {
		j.trace.cause = f.Code
	} else {
		j.trace.cause = f.Code + " after " + j.trace.cause
	}
	r.deps.Meter.Count("refused."+f.Code, 1)
	w.WriteHeader(f.Status)
	w.Write(f.Body())
	r.done(j, f.Status)
}

// worthTelling is the wait from which the log says its reason: shorter ones are
// those of one look for a place.
const worthTelling = 5 * time.Millisecond

// done writes the request's log line.
func (r *Relayer) done(j *job, status int) {
	took := r.deps.Now().Sub(j.arrived)
	t := &j.trace
	line := r.deps.Log.Info().Str("id", j.ask.ID).Int("status", status).Int64("version", j.version)
	if j.route != nil {
		line.Str("route", j.route.Name).Str("team", j.teamName()).Dur("limit", j.end.Sub(j.arrived))
		r.deps.Meter.Time("request", took)
	}
	if j.body != nil {
		line.Stringer("fingerprint", j.fingerprint)
	}
	if j.service != nil {
		line.Str("service", j.service.Name).Int("prompt", j.ask.PromptTokens).Int("output", j.ask.MaxOutputTokens)
	}
	if t.upstream != "" {
		line.Str("upstream", t.upstream).Strs("helpers", t.helpers).Int("memory", t.memory).
			Float64("estimate", t.estimate).Int("streams", t.load.Streams).Float64("unread", t.load.PendingPrefill).
			Int("runs", j.runs).Int("declined", j.refused)
	}
	if t.leader != "" {
		line.Str("leader", t.leader)
	}
	if t.cause != "" {
		line.Str("cause", t.cause)
	}
	if why, long := t.waits.Longest(); long >= worthTelling {
		line.Str("wait", why).Dur("longest", long)
	}
	line.Dur("waited", t.waited).Dur("first", t.first).Dur("pause", t.pause).Dur("took", took).Msg("request")
}
