package relayer

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/heathervane/heathervane/entry/process/accountant"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxIdleEvents limits the events of a stream beyond one for each token of the longest
	// answer, such as comments that keep the connection open.
	maxIdleEvents = 1000
)

var (
	errTruncatedEvent = errors.New("stream ended in the middle of an event")
	errNoEvents       = errors.New("connection ended before the first event")
	errEventTooLong   = errors.New("event exceeds the size limit")
	errEventOrder     = errors.New("event does not follow the one before it")
	errNoMemory       = errors.New("no memory is free for the response")
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
			if a.peer == "" {
				r.deps.Quarantine.Begun(j.parts...)
			}
			r.logRequest(j, http.StatusOK)
			return
		}
		var writeErr *callerWriteError
		if errors.As(err, &writeErr) || errors.Is(err, errNoMemory) {
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
	res, err := r.readResponse(j, a)
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

// relayEvents forwards the events of one upstream until its stream ends. They are read by
// another goroutine than this one, which writes them: while the caller reads nothing, the
// upstream is still read, and its silence can be told from the caller's.
func (r *Relayer) relayEvents(w http.ResponseWriter, j *job, a *attempt) error {
	if !a.response.Sealed || a.exchange.Header.Get("Content-Encoding") != "" {
		return errUnsealed
	}
	q := newEventQueue(j.memory, r.deps.Now)
	go r.readEvents(j, a, q, j.lastEventID)
	err := r.writeEvents(w, j, a, q)
	if err != nil {
		q.abandon()
		a.cancel()
	}
	<-q.readerDone
	j.log.maxPause = max(j.log.maxPause, q.maxPause)
	return err
}

// readEvents reads the events of one upstream into a queue until its stream ends. Then it
// closes the attempt, so that the upstream does not stay taken while the caller reads the
// rest. The first event must follow the one with the ID lastID.
func (r *Relayer) readEvents(j *job, a *attempt, q *eventQueue, lastID string) {
	defer close(q.readerDone)
	defer a.close()
	events := bufio.NewReaderSize(a.exchange.Body, 1<<10)
	silence := max(maxSilence, 2*j.route.GapTarget)
	var last time.Time
	size, count := 0, 0
	for {
		event, reserved, err := readEvent(events, q.growEvent)
		size += len(event)
		count++
		if err == nil && (size > maxResponseBytes || (j.info.MaxOutputTokens > 0 && count > j.info.MaxOutputTokens+maxIdleEvents)) {
			err = errTooLong
		}
		id := r.deps.Protocol.EventID(event)
		if err == nil && !follows(id, lastID) {
			err = errEventOrder
		}
		lastID = cmp.Or(id, lastID)
		now := r.deps.Now()
		if !last.IsZero() {
			q.maxPause = max(q.maxPause, now.Sub(last))
		}
		last = now
		a.watchdog.received()
		if errors.Is(err, io.EOF) && !a.firstEventSeen && a.exchange.IsUnframed() {
			// An upstream that crashes before it begins its answer ends the connection too.
			err = errNoEvents
		}
		if err != nil {
			q.memory.Release(now, accountant.Events, reserved)
			if errors.Is(err, io.EOF) {
				// The request is not sent again.
				j.body.Release()
			}
			q.finish(err)
			return
		}
		r.recordEvent(now, j, a)
		held, ok := q.put(queuedEvent{event, id, now, reserved})
		if !ok {
			return
		}
		last = last.Add(held)
		a.watchdog.reset(silence)
	}
}

// writeEvents writes the events in a queue to the caller, each as soon as it can.
func (r *Relayer) writeEvents(w http.ResponseWriter, j *job, a *attempt, q *eventQueue) error {
	control := http.NewResponseController(w)
	for {
		event, err := q.first()
		if err == nil || errors.Is(err, io.EOF) {
			if !j.headerSent {
				r.sendHeader(w, j, a)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		j.memory.Behind(event.arrived)
		if _, err := w.Write(event.data); err != nil {
			return &callerWriteError{err}
		}
		if err := control.Flush(); err != nil {
			return &callerWriteError{err}
		}
		j.memory.CaughtUp()
		j.lastEventID = cmp.Or(event.id, j.lastEventID)
		q.removeFirst()
	}
}

// follows reports whether the event with an ID may come after the one with the ID last. IDs increase;
// what is no number is not compared.
func follows(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	previous, previousErr := strconv.ParseUint(last, 10, 64)
	return err != nil || previousErr != nil || n > previous
}

// begunReportInterval is how often the quarantine learns that an answer goes on. A part of
// prompts may be blamed meanwhile for a crash at another upstream.
const begunReportInterval = 250 * time.Millisecond

// recordEvent tells the tracker that an upstream has sent an event, and the quarantine that
// its answer goes on. The first event also marks the placement as started.
func (r *Relayer) recordEvent(now time.Time, j *job, a *attempt) {
	if a.peer != "" {
		return
	}
	if a.firstEventSeen {
		a.begun, j.begun = true, true
		if len(j.parts) > 0 && now.Sub(a.begunReportedAt) >= begunReportInterval {
			a.begunReportedAt = now
			r.deps.Quarantine.Begun(j.parts...)
		}
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

// readEvent reads one event, including the blank line that ends it. It calls grow for the
// memory of what exceeds eventReserve, and returns how much of it that has taken.
func readEvent(r *bufio.Reader, grow func(n int64) bool) (event []byte, reserved int64, err error) {
	for {
		line, err := r.ReadSlice('\n')
		if int64(len(event)+len(line)) > reserved+eventReserve {
			if !grow(eventReserve) {
				return nil, reserved, errNoMemory
			}
			reserved += eventReserve
		}
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > maxEventBytes {
				return nil, reserved, errEventTooLong
			}
			continue
		case errors.Is(err, io.EOF) && len(event) == 0:
			return nil, reserved, io.EOF
		case errors.Is(err, io.EOF):
			return nil, reserved, errTruncatedEvent
		case err != nil:
			return nil, reserved, err
		case len(event) > maxEventBytes:
			return nil, reserved, errEventTooLong
		}
		if bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) {
			return event, reserved, nil
		}
	}
}
