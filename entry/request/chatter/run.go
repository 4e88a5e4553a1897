package chatter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/entry/connection/streamer"
	"github.com/heathervane/heathervane/entry/process/dispatcher"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/retrier"
)

// Error is the class of what goes wrong within an attempt.
var Error = errs.Class("attempt")

var (
	errLapsed  = Error.New("its place lapsed before it was used")
	errNoParts = Error.New("a grant without parts")
)

// run has the work done, at another upstream where one has failed before the
// first token and nothing can run twice unseen.
func (c *Handler) run(ctx context.Context, w http.ResponseWriter, j *job) {
	for {
		call := dispatcher.Call{Pool: j.pool, Ask: j.ask(), Avoid: j.avoid}
		grant, refusal := c.acquirer.Acquire(ctx, call)
		if refusal != nil {
			c.refuse(w, j.truthful(refusal))
			return
		}
		if after, held := c.quarantine.Held(j.fingerprint); held {
			cancelled(grant)
			c.refuse(w, j.truthful(quarantined(after)))
			return
		}
		j.tries++
		a := c.attempt(j, call, grant)
		failure := a.serve(ctx, w)
		j.note(a, failure)
		if failure == nil {
			c.retrier.Completed(1)
			c.quarantine.Served(j.fingerprint)
			return
		}
		if ctx.Err() == nil && failure.lost() {
			last := grant.Parts[len(grant.Parts)-1]
			c.quarantine.Lost(j.fingerprint, last.Upstream.Name, int64(last.Boot))
		}
		if !c.again(ctx, w, j, a, failure) {
			return
		}
	}
}

// cancelled gives back a grant that is not used.
func cancelled(g *dispatcher.Grant) {
	for _, p := range g.Parts {
		p.Slot.Done(dispatcher.Cancelled)
	}
}

// note keeps what can be said of the work: "not run" only while no attempt can
// have been begun by an engine, "run" only when a token has come.
func (j *job) note(a *attempt, f *failure) {
	if a.first {
		j.ran = refuser.RanYes
	} else if f != nil && f.sent && j.ran == refuser.RanNo {
		j.ran = refuser.RanUnknown
	}
}

// forget drops the prompt once its first token has come: from then on it is
// never sent again. An answer may take minutes, and the prompts of a VM's open
// streams would else fill the memory that new ones need.
func (j *job) forget() {
	j.chat.Prompt = ""
	j.body.Release()
}

// truthful keeps a refusal from saying "not run" after an earlier attempt that
// may have run.
func (j *job) truthful(r *refuser.Refusal) *refuser.Refusal {
	return r.WithRan(j.ran)
}

// again decides whether the work is sent to another upstream; where it is not,
// it ends the request with the failure.
func (c *Handler) again(ctx context.Context, w http.ResponseWriter, j *job, a *attempt, f *failure) bool {
	j.avoid = append(j.avoid, a.grant.Names()...)
	if len(j.avoid) >= len(j.pool.Upstreams) {
		j.avoid = nil
	}
	decision := c.retrier.Decide(c.now(), retrier.Attempt{
		Repeatable: true, MayHaveRun: f.sent, ResponseStarted: a.first, Attempts: j.tries, Deadline: j.deadline,
	})
	if decision.Retry && ctx.Err() == nil && wait(ctx, decision.Delay) {
		c.meter.Count("chat.retries", 1)
		return true
	}
	c.meter.Count("chat.failed", 1)
	a.fail(w, f.refusal(ctx, j))
	return false
}

func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// A failure is an attempt that brought no whole answer.
type failure struct {
	err error
	// sent says that an engine may have begun the work.
	sent bool
}

// lost says that the engine may have died under the work: its connection broke off, or
// it has forgotten the stream.
func (f *failure) lost() bool {
	if !f.sent {
		return false
	}
	for _, end := range []error{streamer.ErrInterrupted, streamer.ErrGone, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(f.err, end) {
			return true
		}
	}
	return false
}

// refusal is what the caller is told.
func (f *failure) refusal(ctx context.Context, j *job) *refuser.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuser.New(http.StatusGatewayTimeout, "timeout", "the time limit is over").WithRan(j.ran)
	}
	if !f.sent {
		return refuser.New(http.StatusServiceUnavailable, "upstream_refused", "%s", f.err).WithRan(j.ran).WithRetryAfter(time.Second)
	}
	return refuser.New(http.StatusBadGateway, "upstream_failed", "the engine failed: %s", f.err).WithRan(j.ran)
}

// An attempt is one sending of a job to the upstreams of a grant.
type attempt struct {
	chatter *Handler
	job     *job
	call    dispatcher.Call
	grant   *dispatcher.Grant
	id      string
	// first says that the first token has come, started that the caller has
	// had the first byte of its answer.
	first, started bool
	writer         answerer
	// held are what was sent to the grant's parts, in their order.
	held []holding
}

// A holding is what may stand at an engine under an id.
type holding struct {
	id string
	// clear says that the engine has told that it has nothing.
	clear bool
}

func (c *Handler) attempt(j *job, call dispatcher.Call, g *dispatcher.Grant) *attempt {
	a := &attempt{chatter: c, job: j, call: call, grant: g, id: j.id}
	if j.tries > 1 {
		a.id += "." + strconv.Itoa(j.tries)
	}
	a.writer = newAnswerer(j, c.now())
	return a
}

// serve runs the attempt and passes its answer on.
func (a *attempt) serve(ctx context.Context, w http.ResponseWriter) *failure {
	header := w.Header()
	header.Set(refuser.UpstreamHeader, strings.Join(a.grant.Names(), ","))
	if a.job.tries > 1 {
		header.Set(refuser.TriesHeader, strconv.Itoa(a.job.tries))
	}
	last := a.grant.Parts[len(a.grant.Parts)-1]
	a.chatter.watcher.RequestSent(last.Upstream.Name, a.id, last.Tokens+last.Ahead, float64(last.Upstream.Prefill))
	defer a.chatter.watcher.RequestEnded(a.id)
	stream, f := a.open(ctx)
	if f != nil {
		a.release(dispatcher.Refused)
		return f
	}
	defer stream.Close()
	if err := a.relay(ctx, w, stream); err != nil {
		a.release(outcome(ctx))
		return &failure{err: err, sent: true}
	}
	a.release(dispatcher.Completed)
	return nil
}

func outcome(ctx context.Context) dispatcher.Outcome {
	if ctx.Err() != nil {
		return dispatcher.Cancelled
	}
	return dispatcher.Cut
}

// open reads the parts of a group in their order, each on the engine that will
// keep it, and opens the stream on the last. A single engine is a group of one.
func (a *attempt) open(ctx context.Context) (*streamer.Stream, *failure) {
	prompt := a.job.chat.Prompt
	var imports []streamer.Import
	sent := false
	for i, part := range a.grant.Parts {
		last := i == len(a.grant.Parts)-1
		text := prompt
		if !last {
			text = prompt[:min(len(prompt), part.Tokens*a.job.bytes)]
			prompt = prompt[len(text):]
		}
		if !part.Slot.Live() {
			return nil, &failure{err: errLapsed, sent: sent}
		}
		job := a.wire(i, part, text, imports)
		a.hold(job.ID)
		if last {
			stream, err := a.chatter.streamer.Open(ctx, part.Upstream.Address, job)
			return stream, a.failed(part, err, sent)
		}
		handle, err := a.chatter.streamer.PrefillPart(ctx, part.Upstream.Address, job)
		if f := a.failed(part, err, sent); f != nil {
			return nil, f
		}
		sent = true
		imports = append(imports, streamer.Import{Address: part.Upstream.Address, Handle: handle})
	}
	return nil, &failure{err: errNoParts}
}

func (a *attempt) wire(i int, part dispatcher.Part, text string, imports []streamer.Import) streamer.Job {
	c := a.chatter.config
	j := streamer.Job{
		ID: a.id, VM: c.VM, Boot: c.Boot, ExpectedBoot: part.Boot, Model: a.job.model,
		Prompt: text, MaxOutputTokens: a.job.output, Priority: a.priority(), Imports: imports,
	}
	if i < len(a.grant.Parts)-1 {
		j.ID += "-p" + strconv.Itoa(i)
		j.MaxOutputTokens = 0
	}
	return j
}

// priority is the engines' priority: first the class, then within a class the
// teams that keep to their share.
func (a *attempt) priority() int {
	p := 2 * a.job.priority
	if !a.grant.Over {
		p++
	}
	return p
}

func (a *attempt) hold(id string) {
	a.held = append(a.held, holding{id: id})
	a.chatter.running.add(id)
}

// failed sorts an engine's error, and tells of evidence that it turned cold.
func (a *attempt) failed(part dispatcher.Part, err error, sent bool) *failure {
	if err == nil {
		return nil
	}
	var r *streamer.RefusedError
	if !errors.As(err, &r) {
		a.chatter.watcher.ReportCold(part.Upstream.Name, 0, "reset")
		return &failure{err: err, sent: true}
	}
	a.held[len(a.held)-1].clear = !r.MayHaveRun
	switch r.Code {
	case "boot", "down", "unreached":
		a.chatter.watcher.ReportCold(part.Upstream.Name, r.Boot, r.Code)
	}
	return &failure{err: err, sent: sent || r.MayHaveRun}
}

// release gives the places back. Where something still stands at an engine, its
// place goes back only when the engine has confirmed that it is gone: until
// then the engine's memory is in use, and lending it again would overfill it.
func (a *attempt) release(o dispatcher.Outcome) {
	for i, p := range a.grant.Parts {
		if i >= len(a.held) {
			p.Slot.Done(dispatcher.Cancelled)
			continue
		}
		h := a.held[i]
		if h.clear {
			a.chatter.running.remove(h.id)
			p.Slot.Done(dispatcher.Refused)
			continue
		}
		done := func() {
			a.chatter.running.remove(h.id)
			p.Slot.Done(o)
		}
		// A whole answer frees its stream by itself; a group's parts do not.
		if o == dispatcher.Completed && i == len(a.grant.Parts)-1 {
			done()
			continue
		}
		a.chatter.canceller.Cancel(p.Upstream.Address, h.id, done)
	}
}
