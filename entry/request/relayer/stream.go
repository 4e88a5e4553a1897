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

// mostEvent is the longest event of a stream in bytes.
const mostEvent = 1 << 20

var (
	errEventCut  = errors.New("the stream ended inside an event")
	errEventLong = errors.New("an event is too long")
)

// A callerError is a failure to write to the caller, for which another upstream
// is no help.
type callerError struct{ err error }

func (e *callerError) Error() string { return "the caller does not read: " + e.err.Error() }

func (e *callerError) Unwrap() error { return e.err }

// stream passes a request on whose answer is a stream of events. Only whole
// events go on. Where the route allows, a stream that breaks goes on at another
// upstream after the last event that the caller has.
func (r *Relayer) stream(ctx context.Context, w http.ResponseWriter, j *job) {
	for {
		t, refusal := r.begin(ctx, j)
		if refusal != nil {
			if j.begun {
				r.abort(ctx, j, errors.New(refusal.Code))
			}
			r.refuse(w, j, refusal)
			return
		}
		if t.exchange.Status >= http.StatusMultipleChoices {
			r.plainAnswer(ctx, w, j, t)
			return
		}
		err := r.follow(w, j, t)
		t.close()
		if err == nil {
			r.deps.Quarantine.Served(j.fingerprint)
			r.done(j, http.StatusOK)
			return
		}
		var unread *callerError
		if errors.As(err, &unread) {
			r.abort(ctx, j, err)
		}
		if ctx.Err() == nil && t.watch.granted.Load() {
			r.stalled(j, t)
			continue
		}
		if ctx.Err() == nil {
			r.lost(j, t, err)
			r.note(j, t.grant.Upstream.ID, "stream cut: "+err.Error())
			r.deps.Tracker.ReportFailure(r.deps.Now(), t.grant.Upstream.ID, true)
		}
		if j.route.Repeatable() && r.mayRepeat(ctx, j) {
			continue
		}
		if j.begun {
			r.abort(ctx, j, err)
		}
		r.refuse(w, j, j.failed(ctx))
		return
	}
}

// plainAnswer passes on an upstream's failure.
func (r *Relayer) plainAnswer(ctx context.Context, w http.ResponseWriter, j *job, t *try) {
	a, err := read(t)
	if err != nil || j.begun {
		t.close()
		if j.begun {
			r.abort(ctx, j, errors.New("the upstream that was to go on failed"))
		}
		r.refuse(w, j, j.failed(ctx))
		return
	}
	r.deliver(ctx, w, j, a)
}

// follow passes on one upstream's events until the stream's end.
func (r *Relayer) follow(w http.ResponseWriter, j *job, t *try) error {
	x := t.exchange
	if !t.verdict.Sealed || x.Header.Get("Content-Encoding") != "" {
		return errUnsealed
	}
	events := bufio.NewReaderSize(x.Body, 1<<10)
	control := http.NewResponseController(w)
	var last time.Time
	for {
		event, err := next(events)
		now := r.deps.Now()
		if !last.IsZero() {
			j.trace.pause = max(j.trace.pause, now.Sub(last))
		}
		last = now
		t.watch.heard(max(silence, 2*j.route.Gap))
		if errors.Is(err, io.EOF) {
			if !j.begun {
				r.begun(w, j, t)
			}
			return nil
		}
		if err != nil {
			return err
		}
		r.heard(now, t)
		if !j.begun {
			r.begun(w, j, t)
		}
		if _, err := w.Write(event); err != nil {
			return &callerError{err}
		}
		if err := control.Flush(); err != nil {
			return &callerError{err}
		}
		if id := r.deps.Protocol.EventID(event); id != "" {
			j.lastEvent = id
		}
	}
}

// heard notes an event of an upstream.
func (r *Relayer) heard(now time.Time, t *try) {
	if t.began {
		r.deps.Tracker.ReportActivity(now, t.grant.Upstream.ID)
		return
	}
	t.began = true
	r.deps.Tracker.ReportAnswer(now, t.grant.Upstream.ID)
	t.grant.MarkStarted()
}

// begun sends the head of the answer. A later upstream that goes on with the
// stream does not change it.
func (r *Relayer) begun(w http.ResponseWriter, j *job, t *try) {
	r.head(w, j, t.exchange.Header)
	w.Header().Del("Content-Length")
	w.WriteHeader(t.exchange.Status)
	r.deps.Meter.Time("first", j.trace.first)
}

// next reads one event with the blank line that ends it.
func next(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > mostEvent {
				return nil, errEventLong
			}
			continue
		case errors.Is(err, io.EOF) && len(event) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, errEventCut
		case err != nil:
			return nil, err
		case len(event) > mostEvent:
			return nil, errEventLong
		}
		if bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) {
			return event, nil
		}
	}
}
