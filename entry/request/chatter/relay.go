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
	// mostResumes bounds the resumes of one stream. A connection that breaks
	// more often than this carries no stream to its end.
	mostResumes = 8
	// resumePause is the first pause before a resume; it doubles.
	resumePause = 20 * time.Millisecond
	// writeMargin is how long after the time limit a caller that does not read
	// may still block a write.
	writeMargin = time.Second
)

// relay passes tokens on as they come, until the answer is whole.
func (a *attempt) relay(ctx context.Context, w http.ResponseWriter, s *streamer.Stream) error {
	control := http.NewResponseController(w)
	// A caller that stops reading would else keep its place at the engine for
	// ever: its window fills, the write blocks, and nothing ends it.
	if err := control.SetWriteDeadline(a.job.deadline.Add(writeMargin)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	resumes := 0
	for {
		t, err := s.Next()
		switch {
		case err == nil:
			if err := a.pass(w, control, s, t); err != nil {
				return err
			}
		case errors.Is(err, io.EOF):
			return a.finish(w, control, s)
		case ctx.Err() != nil:
			return ctx.Err()
		default:
			resumes++
			if resumes > mostResumes {
				return err
			}
			if err := a.resume(ctx, s, resumes); err != nil {
				return err
			}
		}
	}
}

func (a *attempt) resume(ctx context.Context, s *streamer.Stream, n int) error {
	a.chatter.meter.Count("chat.resumes", 1)
	last := a.grant.Parts[len(a.grant.Parts)-1].Upstream.Name
	for {
		err := s.Resume(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, streamer.ErrGone) {
			a.chatter.watcher.ReportCold(last, 0, "lost")
			return err
		}
		if n++; n > mostResumes || !wait(ctx, resumePause<<n) {
			a.chatter.watcher.ReportCold(last, 0, "reset")
			return err
		}
	}
}

func (a *attempt) pass(w http.ResponseWriter, control *http.ResponseController, s *streamer.Stream, t streamer.Token) error {
	if t.Number == 1 {
		c := a.chatter
		a.first = true
		a.job.forget()
		c.acquirer.Begun(a.call, a.grant)
		c.watcher.FirstToken(a.id)
		c.meter.Time("chat.first", c.now().Sub(a.job.arrived))
	}
	if err := a.writer.token(w, t); err != nil {
		return err
	}
	if !a.writer.streams() {
		return nil
	}
	a.started = true
	// Tokens that have come together go on together: a flush for each would
	// cost a system call for each.
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
	end := s.Summary()
	a.chatter.meter.Count("chat.tokens", int64(end.Tokens))
	a.chatter.meter.Count("chat.completed", 1)
	if err := a.writer.end(w, *end); err != nil {
		return err
	}
	return flush(control)
}

// fail ends a request without a whole answer: with a status where the caller
// has had nothing yet, else with an error event and without the [DONE] that
// would call the answer whole.
func (a *attempt) fail(w http.ResponseWriter, r *refuser.Refusal) {
	a.chatter.meter.Count("chat.refused."+r.Code, 1)
	if !a.started {
		r.Write(w)
		return
	}
	// A caller that has left hears nothing, and that is no error.
	w.Write([]byte("event: error\ndata: "))
	w.Write(r.Body())
	w.Write([]byte("\n\n"))
	if err := flush(http.NewResponseController(w)); err != nil {
		a.chatter.meter.Count("chat.unheard", 1)
	}
}
