package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/heathervane/heathervane/entry/process/accountant"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/trimmer"
)

// A response is an upstream's response with the part of its body that is buffered
// before anything is sent to the caller.
type response struct {
	attempt *attempt
	data    []byte
	// partial is true if data is not the complete body. The rest has at most maxRest bytes.
	partial bool
	maxRest int64
}

// serveBuffered forwards a request whose response is not a stream.
func (r *Relayer) serveBuffered(ctx context.Context, w http.ResponseWriter, j *job) {
	for {
		a, refusal := r.sendUntilAnswered(ctx, j)
		if refusal != nil {
			r.refuse(w, j, refusal)
			return
		}
		// The upstream has responded. A slow body does not count as silence.
		a.watchdog.stop()
		res, err := r.readResponse(j, a)
		if err == nil {
			r.deliver(ctx, w, j, res)
			return
		}
		a.close()
		if ctx.Err() == nil {
			r.recordInterruption(ctx, j, a, "response interrupted", err, errors.Is(err, errTooLong))
		}
		if !j.route.Repeatable() || !r.allowRetry(ctx, j) {
			r.refuse(w, j, j.failureRefusal(ctx))
			return
		}
	}
}

// maxResponseBytes limits the size of a response body, whatever length it states, and of a
// stream.
const maxResponseBytes = 64 << 20

// errTooLong is a response that exceeds the limit of its size. Faulty upstreams send bytes
// without end that are no response.
var errTooLong = errors.New("response exceeds the size limit")

// errUnsealed is a successful response that has no seal or a content encoding.
var errUnsealed = errors.New("response is unsealed or content-encoded")

// readResponse reads the body until it exceeds maxBufferedBytes or no memory is free for
// more of it. A body that does not state its length is read to its end: while nothing of it
// was sent to the caller, one that never ends can be replaced by another upstream's.
func (r *Relayer) readResponse(j *job, a *attempt) (response, error) {
	x, memory := a.exchange, j.memory
	if x.Status < http.StatusMultipleChoices && (!a.response.Sealed || x.Header.Get("Content-Encoding") != "") {
		return response{}, errUnsealed
	}
	limit, buffered := int64(maxResponseBytes), int64(maxBufferedBytes)
	if x.Length() < 0 {
		limit = r.deps.MaxOpenEnded()
		buffered = limit
	}
	if x.Length() > limit && mayHaveBody(j.request.Method, x.Status) {
		return response{}, errTooLong
	}
	data := make([]byte, 0, initialResponse)
	for int64(len(data)) <= buffered {
		if len(data) == cap(data) {
			grown := min(2*int64(cap(data)), buffered+1)
			if cap(data) >= responseReserve && !memory.Grow(r.deps.Now(), accountant.Responses, grown-int64(cap(data))) {
				return response{attempt: a, data: data, partial: true, maxRest: limit - int64(len(data))}, nil
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := x.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return response{attempt: a, data: data}, nil
		}
		if err != nil {
			return response{}, err
		}
	}
	if int64(len(data)) > limit {
		return response{}, errTooLong
	}
	return response{attempt: a, data: data, partial: true, maxRest: limit - int64(len(data))}, nil
}

// A boundedReader returns errTooLong once more than left bytes have been read.
type boundedReader struct {
	io.Reader
	left int64
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if r.left -= int64(n); r.left < 0 {
		return 0, errTooLong
	}
	return n, err
}

// deliver sends a response to the caller.
func (r *Relayer) deliver(ctx context.Context, w http.ResponseWriter, j *job, res response) {
	defer res.attempt.close()
	x := res.attempt.exchange
	if impliesNotRun(x.Status) && res.attempt.peer == "" {
		// Callers take this status for "not run", which the upstream did not say.
		r.refuse(w, j, lostRefusal())
		return
	}
	if grant := res.attempt.grant; grant != nil {
		grant.MarkStarted()
		r.deps.Tracker.ReportAnswer(r.deps.Now(), grant.Upstream.ID)
	}
	r.copyHeader(w, j, x.Header)
	if !res.partial && (len(res.data) > 0 || x.Header.Get("Content-Length") == "") && mayHaveBody(j.request.Method, x.Status) {
		w.Header().Set("Content-Length", strconv.Itoa(len(res.data)))
	}
	w.WriteHeader(x.Status)
	if !res.partial {
		// A caller that reads slowly must not keep the upstream and the body.
		res.attempt.close()
		j.body.Release()
	}
	caller := callerWriter{w, j.memory, r.deps.Now}
	_, err := caller.Write(res.data)
	if err == nil && res.partial {
		_, err = io.Copy(caller, &boundedReader{x.Body, res.maxRest})
	}
	if err != nil {
		r.abort(ctx, j, err)
	}
	if !isServerError(x.Status) {
		r.deps.Quarantine.Served(j.fingerprint)
		if res.attempt.peer == "" {
			r.deps.Quarantine.Begun(j.parts...)
		}
	}
	r.logRequest(j, x.Status)
}

// impliesNotRun reports whether callers conclude from a status that the request did
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayHaveBody reports whether a response may have a body, as in RFC 9110, section
// 6.4.1.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyHeader copies the end-to-end headers of an upstream's response and marks the
// headers as sent.
func (r *Relayer) copyHeader(w http.ResponseWriter, j *job, from http.Header) {
	h := w.Header()
	kept := trimmer.EndToEndHeaders(from)
	if j.forwarded {
		// An upstream must not speak for this VM.
		kept.Del(declinedHeader)
		kept.Del(versionHeader)
		kept.Del(refuser.VMHeader)
	}
	for name, values := range kept {
		h[name] = values
	}
	if h.Get("Date") == "" {
		// A nil value keeps net/http from adding what the upstream did not send.
		h["Date"] = nil
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
	j.headerSent = true
	j.log.timeToFirst = r.deps.Now().Sub(j.arrivedAt)
}

// abort closes the caller's connection if the response cannot be completed. If it
// were ended properly, a truncated response would look complete.
func (r *Relayer) abort(ctx context.Context, j *job, err error) {
	if e := j.ended.Load(); e != nil {
		err = errEnded
		r.logEnding(j, e)
	} else if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	j.log.cause = "response aborted: " + err.Error()
	r.deps.Meter.Count("aborted", 1)
	r.logRequest(j, 0)
	panic(http.ErrAbortHandler)
}

// refuse sends a refusal to the caller, with the delay after which a retry may
// succeed, if any. If the caller has disconnected, it aborts instead.
func (r *Relayer) refuse(w http.ResponseWriter, j *job, f *refuser.Refusal) {
	if j.request.Context().Err() != nil {
		j.log.cause = "caller disconnected"
		r.logRequest(j, 0)
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(refuser.RanHeader, string(f.Ran))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', -1, 64))
	}
	if j.log.cause == "" {
		j.log.cause = f.Code
	} else {
		j.log.cause = f.Code + " after " + j.log.cause
	}
	if j.service != nil && (r.mustDecline(j) || (j.forwarded && f.Code == codeLeaving)) {
		h.Set(declinedHeader, f.Code)
	}
	r.deps.Meter.Count("refused."+f.Code, 1)
	w.WriteHeader(f.Status)
	w.Write(f.Body())
	r.logRequest(j, f.Status)
}

// minLoggedWait is the shortest wait whose reason is logged. A single attempt to find
// a placement takes less.
const minLoggedWait = 5 * time.Millisecond

// logRequest writes the log line of a request.
func (r *Relayer) logRequest(j *job, status int) {
	took := r.deps.Now().Sub(j.arrivedAt)
	l := &j.log
	line := r.deps.Log.Info().Str("id", j.info.ID).Int("status", status).Int64("version", j.configVersion)
	if j.route != nil {
		line.Str("route", j.route.Name).Str("team", j.teamName()).Dur("limit", j.deadline.Sub(j.arrivedAt))
		r.deps.Meter.Time("request", took)
	}
	if j.body != nil {
		line.Stringer("fingerprint", j.fingerprint)
	}
	if j.service != nil {
		line.Str("service", j.service.Name).Int("prompt", j.info.PromptTokens).Int("output", j.info.MaxOutputTokens)
	}
	if len(j.info.PromptParts) > 0 {
		line.Strs("parts", j.info.PromptParts)
	}
	if l.heldPart != "" {
		line.Str("held", l.heldPart)
	}
	if l.upstream != "" {
		line.Str("upstream", l.upstream).Strs("helpers", l.helpers).Int("memory", l.reservations).
			Float64("estimate", l.estimate).Int("streams", l.load.Streams).Float64("unread", l.load.PendingPrefill).
			Int("runs", j.possibleRuns).Int("declined", j.declines)
	}
	if l.leaving {
		line.Dur("left", l.timeLeft).Dur("needed", l.needed)
	}
	if l.leader != "" {
		line.Str("leader", l.leader)
	}
	if l.from != "" {
		line.Str("from", l.from)
	}
	if l.peer != "" {
		line.Str("peer", l.peer)
	}
	if l.cause != "" {
		line.Str("cause", l.cause)
	}
	if why, long := l.waits.Longest(); long >= minLoggedWait {
		line.Str("wait", why).Dur("longest", long)
	}
	line.Dur("waited", l.queueTime).Dur("first", l.timeToFirst).Dur("pause", l.maxPause).Dur("took", took).Msg("request")
}
