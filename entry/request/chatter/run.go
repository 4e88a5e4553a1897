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
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/retrier"
)

// Error is the class of errors within an attempt.
var Error = errs.Class("attempt")

var (
	errSlotExpired = Error.New("the slot expired before it was used")
	errEmptyGrant  = Error.New("empty grant")
)

// run serves a request. If an attempt fails before the first token, the request
// may be sent to another upstream. The response then carries the number of
// attempts, so that no request runs twice unnoticed.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, j *job) {
	for {
		call := dispatcher.Call{Pool: j.pool, Ask: j.admitterRequest(), Avoid: j.avoid}
		grant, refusal := h.acquirer.Acquire(ctx, call)
		if refusal != nil {
			h.refuse(w, j.withRan(refusal))
			return
		}
		if after, held := h.quarantine.Held(j.fingerprint, j.chat.Parts...); held {
			returnUnused(grant)
			h.refuse(w, j.withRan(h.quarantineRefusal(j, after)))
			return
		}
		j.attempts++
		a := h.newAttempt(j, call, grant)
		failure := a.serve(ctx, w)
		j.recordRan(a, failure)
		if failure == nil {
			h.retrier.Completed(1)
			h.quarantine.Served(j.fingerprint)
			h.quarantine.Begun(j.chat.Parts...)
			return
		}
		if ctx.Err() == nil && failure.engineLost() {
			last := grant.Parts[len(grant.Parts)-1]
			h.quarantine.Lost(j.fingerprint, last.Upstream.Name, int64(last.Boot), j.suspectParts()...)
		}
		if !h.retry(ctx, w, j, a, failure) {
			return
		}
	}
}

// suspectParts returns the messages that may have crashed an upstream: none once an answer
// went on.
func (j *job) suspectParts() []fingerprinter.Fingerprint {
	if j.begun {
		return nil
	}
	return j.chat.Parts
}

// returnUnused returns the slots of a grant that is not used.
func returnUnused(g *dispatcher.Grant) {
	for _, p := range g.Parts {
		p.Slot.Done(dispatcher.Cancelled)
	}
}

// recordRan updates what is known about the request after an attempt: "not run"
// holds only while no engine can have started it, "run" only once a token has
// arrived.
func (j *job) recordRan(a *attempt, f *failure) {
	if a.gotFirstToken {
		j.ran = refuser.RanYes
	} else if f != nil && f.mayHaveRun && j.ran == refuser.RanNo {
		j.ran = refuser.RanUnknown
	}
}

// releasePrompt frees the prompt once the first token has arrived, after which
// it is never sent again. A response may take minutes, and the prompts of all
// open streams on a VM would otherwise fill the memory that new requests need.
func (j *job) releasePrompt() {
	j.chat.Prompt = ""
	j.body.Release()
}

// withRan keeps a refusal from reporting "not run" after an earlier attempt
// that may have run.
func (j *job) withRan(r *refuser.Refusal) *refuser.Refusal {
	return r.WithRan(j.ran)
}

// retry decides whether a failed request is sent to another upstream. If it is
// not, it ends the request with the failure.
func (h *Handler) retry(ctx context.Context, w http.ResponseWriter, j *job, a *attempt, f *failure) bool {
	j.avoid = append(j.avoid, a.grant.Names()...)
	if len(j.avoid) >= len(j.pool.Upstreams) {
		j.avoid = nil
	}
	decision := h.retrier.Decide(h.now(), retrier.Attempt{
		Repeatable: true, MayHaveRun: f.mayHaveRun, ResponseStarted: a.gotFirstToken, Attempts: j.attempts, Deadline: j.deadline,
	})
	if decision.Retry && ctx.Err() == nil && sleep(ctx, decision.Delay) {
		h.meter.Count("chat.retries", 1)
		return true
	}
	h.meter.Count("chat.failed", 1)
	a.fail(w, f.refusal(ctx, j))
	return false
}

func sleep(ctx context.Context, d time.Duration) bool {
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

// A failure is an attempt without a complete response.
type failure struct {
	err error
	// mayHaveRun reports whether an engine may have started the request.
	mayHaveRun bool
}

// engineLost reports whether the engine may have crashed while it ran the
// request: its connection broke, or it no longer has the stream.
func (f *failure) engineLost() bool {
	if !f.mayHaveRun {
		return false
	}
	for _, target := range []error{streamer.ErrInterrupted, streamer.ErrGone, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(f.err, target) {
			return true
		}
	}
	return false
}

// refusal returns the refusal to send to the caller.
func (f *failure) refusal(ctx context.Context, j *job) *refuser.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuser.New(http.StatusGatewayTimeout, "timeout", "time limit exceeded").WithRan(j.ran)
	}
	if !f.mayHaveRun {
		return refuser.New(http.StatusServiceUnavailable, "upstream_refused", "%s", f.err).WithRan(j.ran).WithRetryAfter(time.Second)
	}
	return refuser.New(http.StatusBadGateway, "upstream_failed", "the engine failed: %s", f.err).WithRan(j.ran)
}

// An attempt is one attempt to run a job on the upstreams of a grant.
type attempt struct {
	handler *Handler
	job     *job
	call    dispatcher.Call
	grant   *dispatcher.Grant
	id      string
	// gotFirstToken reports whether the first token has arrived, responseStarted
	// whether the first byte of the response has been written to the caller.
	gotFirstToken, responseStarted bool
	encoder                        encoder
	// remote is what was sent to the parts of the grant, in their order.
	remote []remoteWork
}

// remoteWork is a stream or prompt part that an engine may hold.
type remoteWork struct {
	id string
	// absent reports whether the engine certainly does not hold it.
	absent bool
}

func (h *Handler) newAttempt(j *job, call dispatcher.Call, g *dispatcher.Grant) *attempt {
	a := &attempt{handler: h, job: j, call: call, grant: g, id: j.id}
	if j.attempts > 1 {
		a.id += "." + strconv.Itoa(j.attempts)
	}
	a.encoder = newEncoder(j, h.now())
	return a
}

// serve runs the attempt and relays the response.
func (a *attempt) serve(ctx context.Context, w http.ResponseWriter) *failure {
	header := w.Header()
	header.Set(refuser.UpstreamHeader, strings.Join(a.grant.Names(), ","))
	if a.job.attempts > 1 {
		header.Set(refuser.TriesHeader, strconv.Itoa(a.job.attempts))
	}
	last := a.grant.Parts[len(a.grant.Parts)-1]
	a.handler.observer.RequestSent(last.Upstream.Name, a.id, last.Tokens+last.Ahead, float64(last.Upstream.Prefill))
	defer a.handler.observer.RequestEnded(a.id)
	stream, f := a.open(ctx)
	if f != nil {
		a.release(dispatcher.Refused)
		return f
	}
	defer stream.Close()
	if err := a.relay(ctx, w, stream); err != nil {
		a.release(failureOutcome(ctx))
		return &failure{err: err, mayHaveRun: true}
	}
	a.release(dispatcher.Completed)
	return nil
}

func failureOutcome(ctx context.Context) dispatcher.Outcome {
	if ctx.Err() != nil {
		return dispatcher.Cancelled
	}
	return dispatcher.Cut
}

// open has each part of the prompt read and stored by its engine, in order, and
// opens the stream at the last engine. A single engine is a group of one.
func (a *attempt) open(ctx context.Context) (*streamer.Stream, *failure) {
	prompt := a.job.chat.Prompt
	var imports []streamer.Import
	mayHaveRun := false
	for i, part := range a.grant.Parts {
		last := i == len(a.grant.Parts)-1
		text := prompt
		if !last {
			text = prompt[:min(len(prompt), part.Tokens*a.job.bytesPerToken)]
			prompt = prompt[len(text):]
		}
		if !part.Slot.Live() {
			return nil, &failure{err: errSlotExpired, mayHaveRun: mayHaveRun}
		}
		job := a.streamerJob(i, part, text, imports)
		a.addRemote(job.ID)
		if last {
			stream, err := a.handler.streamer.Open(ctx, part.Upstream.Address, job)
			return stream, a.classifyError(part, err, mayHaveRun)
		}
		handle, err := a.handler.streamer.PrefillPart(ctx, part.Upstream.Address, job)
		if f := a.classifyError(part, err, mayHaveRun); f != nil {
			return nil, f
		}
		mayHaveRun = true
		imports = append(imports, streamer.Import{Address: part.Upstream.Address, Handle: handle})
	}
	return nil, &failure{err: errEmptyGrant}
}

func (a *attempt) streamerJob(i int, part dispatcher.Part, text string, imports []streamer.Import) streamer.Job {
	config := a.handler.config
	j := streamer.Job{
		ID: a.id, VM: config.VM, Boot: config.Boot, ExpectedBoot: part.Boot, Model: a.job.model,
		Prompt: text, MaxOutputTokens: a.job.maxTokens, Priority: a.enginePriority(), Imports: imports,
	}
	if i < len(a.grant.Parts)-1 {
		j.ID += "-p" + strconv.Itoa(i)
		j.MaxOutputTokens = 0
	}
	return j
}

// enginePriority returns the priority of the request at the engines: by class
// first, and within a class higher for teams that keep to their share.
func (a *attempt) enginePriority() int {
	p := 2 * a.job.priority
	if !a.grant.Over {
		p++
	}
	return p
}

func (a *attempt) addRemote(id string) {
	a.remote = append(a.remote, remoteWork{id: id})
	a.handler.inProgress.add(id)
}

// classifyError turns an engine's error into a failure, and reports evidence
// that the engine is in cold start.
func (a *attempt) classifyError(part dispatcher.Part, err error, mayHaveRun bool) *failure {
	if err == nil {
		return nil
	}
	var r *streamer.RefusedError
	if !errors.As(err, &r) {
		a.handler.observer.ReportCold(part.Upstream.Name, 0, "reset")
		return &failure{err: err, mayHaveRun: true}
	}
	a.remote[len(a.remote)-1].absent = !r.MayHaveRun
	switch r.Code {
	case "boot", "down", "unreached":
		a.handler.observer.ReportCold(part.Upstream.Name, r.Boot, r.Code)
	}
	return &failure{err: err, mayHaveRun: mayHaveRun || r.MayHaveRun}
}

// release returns the slots. If an engine may still hold work, its slot is
// returned only when the engine has confirmed that the work is gone: until then
// the work uses the engine's memory, and a new request in its slot could exceed
// it.
func (a *attempt) release(o dispatcher.Outcome) {
	for i, p := range a.grant.Parts {
		if i >= len(a.remote) {
			p.Slot.Done(dispatcher.Cancelled)
			continue
		}
		work := a.remote[i]
		if work.absent {
			a.handler.inProgress.remove(work.id)
			p.Slot.Done(dispatcher.Refused)
			continue
		}
		done := func() {
			a.handler.inProgress.remove(work.id)
			p.Slot.Done(o)
		}
		// An engine frees a stream itself when the response is complete, but
		// not the parts of a group.
		if o == dispatcher.Completed && i == len(a.grant.Parts)-1 {
			done()
			continue
		}
		a.handler.canceller.Cancel(p.Upstream.Address, work.id, done)
	}
}
