package relayer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

var (
	errTruncatedEvent = errors.New("stream ended in the middle of an event")
	errEventTooLong   = errors.New("event exceeds the size limit")
)

// A callerWriteError is a failure to write to the caller. Another upstream would not
// help.
type callerWriteError struct{ err error }

func (e *callerWriteError) Error() string { return "write to the caller: " + e.err.Error() }

func (e *callerWriteError) Unwrap() error { return e.err }

// serveStream forwards a request whose response is a stream of events. Only complete
// events are forwarded. If the route allows it, a broken stream is resumed at another
// upstream after the last event that the caller has.
func (r *Relayer) serveStream(ctx context.Context, w http.ResponseWriter, j *job) {
	for {
		a, refusal := r.sendUntilAnswered(ctx, j)
		if refusal != nil {
			if j.headerSent {
				r.abort(ctx, j, errors.New(refusal.Code))
			}
			r.refuse(w, j, refusal)
			return
		}
		if a.exchange.Status >= http.StatusMultipleChoices {
			r.serveErrorResponse(ctx, w, j, a)
			return
		}
		err := r.relayEvents(w, j, a)
		a.close()
		if err == nil {
			r.deps.Quarantine.Served(j.fingerprint)
			r.logRequest(j, http.StatusOK)
			return
		}
		var writeErr *callerWriteError
		if errors.As(err, &writeErr) {
			r.abort(ctx, j, err)
		}
		if ctx.Err() == nil && a.watchdog.gaveWay.Load() {
			r.handleWithdrawal(j, a)
			continue
		}
		if ctx.Err() == nil && a.watchdog.retryGranted.Load() {
			r.handleStall(j, a)
			continue
		}
		if ctx.Err() == nil {
			r.recordInterruption(ctx, j, a, "stream interrupted", err, true)
		}
		if j.route.Repeatable() && r.allowRetry(ctx, j) {
			continue
		}
		if j.headerSent {
			r.abort(ctx, j, err)
		}
		r.refuse(w, j, j.failureRefusal(ctx))
		return
	}
}

// serveErrorResponse forwards the response of an upstream that sent no stream. A
// caller that already has a part of the stream cannot get it; its connection is
// closed instead.
func (r *Relayer) serveErrorResponse(ctx context.Context, w http.ResponseWriter, j *job, a *attempt) {
	res, err := readResponse(a)
	if err != nil || j.headerSent {
		a.close()
		if j.headerSent {
			r.abort(ctx, j, errors.New("upstream failed to resume the stream"))
		}
		r.refuse(w, j, j.failureRefusal(ctx))
		return
	}
	r.deliver(ctx, w, j, res)
}

// relayEvents forwards the events of one upstream until its stream ends.
func (r *Relayer) relayEvents(w http.ResponseWriter, j *job, a *attempt) error {
	x := a.exchange
	if !a.response.Sealed || x.Header.Get("Content-Encoding") != "" {
		return errUnsealed
	}
	events := bufio.NewReaderSize(x.Body, 1<<10)
	control := http.NewResponseController(w)
	var last time.Time
	for {
		event, err := readEvent(events)
		now := r.deps.Now()
		if !last.IsZero() {
			j.log.maxPause = max(j.log.maxPause, now.Sub(last))
		}
		last = now
		a.watchdog.reset(max(maxSilence, 2*j.route.GapTarget))
		if errors.Is(err, io.EOF) {
			if !j.headerSent {
				r.sendHeader(w, j, a)
			}
			return nil
		}
		if err != nil {
			return err
		}
		r.recordEvent(now, a)
		if !j.headerSent {
			r.sendHeader(w, j, a)
		}
		if _, err := w.Write(event); err != nil {
			return &callerWriteError{err}
		}
		if err := control.Flush(); err != nil {
			return &callerWriteError{err}
		}
		if id := r.deps.Protocol.EventID(event); id != "" {
			j.lastEventID = id
		}
	}
}

// recordEvent tells the tracker that an upstream has sent an event. The first one
// also marks the placement as started.
func (r *Relayer) recordEvent(now time.Time, a *attempt) {
	if a.peer != "" {
		return
	}
	if a.firstEventSeen {
		r.deps.Tracker.ReportActivity(now, a.grant.Upstream.ID)
		return
	}
	a.firstEventSeen = true
	r.deps.Tracker.ReportAnswer(now, a.grant.Upstream.ID)
	a.grant.MarkStarted()
}

// sendHeader sends the status and headers of the stream. An upstream that resumes
// the stream later does not change them.
func (r *Relayer) sendHeader(w http.ResponseWriter, j *job, a *attempt) {
	r.copyHeader(w, j, a.exchange.Header)
	w.Header().Del("Content-Length")
	w.WriteHeader(a.exchange.Status)
	r.deps.Meter.Time("first", j.log.timeToFirst)
}

// readEvent reads one event, including the blank line that ends it.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > maxEventBytes {
				return nil, errEventTooLong
			}
			continue
		case errors.Is(err, io.EOF) && len(event) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, errTruncatedEvent
		case err != nil:
			return nil, err
		case len(event) > maxEventBytes:
			return nil, errEventTooLong
		}
		if bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) {
			return event, nil
		}
	}
}
