package chatter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/heathervane/heathervane/entry/connection/streamer"
	"github.com/heathervane/heathervane/entry/request/refuser"
)

const (
	// maxResumes limits how often one stream is resumed. A connection that
	// breaks more often than this does not get a stream to its end.
	maxResumes = 8
	// resumeDelay is the pause after the first failed attempt to resume a stream. It
	// doubles with each further one.
	resumeDelay = 20 * time.Millisecond
	// writeGrace is how long after the time limit a write may still block on a
	// caller that does not read.
	writeGrace = time.Second
)

// relay forwards tokens to the caller as they arrive, until the response is
// complete.
func (a *attempt) relay(ctx context.Context, w http.ResponseWriter, s *streamer.Stream) error {
	control := http.NewResponseController(w)
	// Without a deadline, a caller that stops reading would keep its slot at
	// the engine forever: its TCP window fills up and the write blocks.
	if err := control.SetWriteDeadline(a.job.deadline.Add(writeGrace)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	resumes := 0
	for {
		t, err := s.Next()
		switch {
		case err == nil:
			if err := a.forward(w, control, s, t); err != nil {
				return err
			}
		case errors.Is(err, io.EOF):
			return a.finish(w, control, s)
		case ctx.Err() != nil:
			return ctx.Err()
		default:
			resumes++
			if resumes > maxResumes {
				return err
			}
			if err := a.resume(ctx, s, resumes); err != nil {
				return err
			}
		}
	}
}

func (a *attempt) resume(ctx context.Context, s *streamer.Stream, n int) error {
	a.handler.meter.Count("chat.resumes", 1)
	upstream := a.grant.Parts[len(a.grant.Parts)-1].Upstream.Name
	for delay := resumeDelay; ; delay *= 2 {
		err := s.Resume(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, streamer.ErrGone) {
			a.handler.observer.ReportCold(upstream, 0, "lost")
			return err
		}
		if n++; n > maxResumes || !sleep(ctx, delay) {
			a.handler.observer.ReportCold(upstream, 0, "reset")
			return err
		}
	}
}

func (a *attempt) forward(w http.ResponseWriter, control *http.ResponseController, s *streamer.Stream, t streamer.Token) error {
	if t.Number == 1 {
		h := a.handler
		a.gotFirstToken = true
		a.job.releasePrompt()
		h.acquirer.Begun(a.call, a.grant)
		h.observer.FirstToken(a.id)
		h.meter.Time("chat.first", h.now().Sub(a.job.arrived))
	}
	if t.Number == 2 {
		a.job.begun = true
		a.handler.quarantine.Begun(a.job.chat.Parts...)
	}
	if err := a.encoder.writeToken(w, t); err != nil {
		return err
	}
	if !a.encoder.streaming() {
		return nil
	}
	a.responseStarted = true
	// Tokens that arrived together are flushed together, as every flush costs a
	// system call.
	if s.Buffered() {
		return nil
	}
	return flush(control)
}

func flush(control *http.ResponseController) error {
	err := control.Flush()
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

func (a *attempt) finish(w http.ResponseWriter, control *http.ResponseController, s *streamer.Stream) error {
	summary := s.Summary()
	a.handler.meter.Count("chat.tokens", int64(summary.Tokens))
	a.handler.meter.Count("chat.completed", 1)
	if err := a.encoder.writeEnd(w, *summary); err != nil {
		return err
	}
	return flush(control)
}

// fail ends a request without a complete response. If nothing has been written
// to the caller yet, it sends an error status; otherwise it sends an error
// event, without the [DONE] that would mark the response as complete.
func (a *attempt) fail(w http.ResponseWriter, r *refuser.Refusal) {
	a.handler.meter.Count("chat.refused."+r.Code, 1)
	if !a.responseStarted {
		r.Write(w)
		return
	}
	// Write errors are ignored: it is no error if the caller has disconnected.
	w.Write([]byte("event: error\ndata: "))
	w.Write(r.Body())
	w.Write([]byte("\n\n"))
	if err := flush(http.NewResponseController(w)); err != nil {
		a.handler.meter.Count("chat.unheard", 1)
	}
}
