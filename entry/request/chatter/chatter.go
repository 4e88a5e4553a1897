// Package chatter serves chat completion requests in the OpenAI format. It
// validates a request, acquires a slot for it, sends it to an engine and relays
// the response. Every request ends within its time limit, with a complete
// response or an accurate failure.
package chatter

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathervane/heathervane/entry/connection/streamer"
	"github.com/heathervane/heathervane/entry/process/dispatcher"
	"github.com/heathervane/heathervane/entry/request/admitter"
	"github.com/heathervane/heathervane/entry/request/authenticator"
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
	"github.com/heathervane/heathervane/entry/request/parser"
	"github.com/heathervane/heathervane/entry/request/reader"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/retrier"
	"github.com/heathervane/heathervane/entry/version/viewer"
)

// prefixBytes is the number of bytes at the start of a prompt whose hash
// identifies its prefix.
const prefixBytes = 4096

// An Acquirer acquires slots at upstreams.
type Acquirer interface {
	Acquire(ctx context.Context, c dispatcher.Call) (*dispatcher.Grant, *refuser.Refusal)
	// Begun is called when the first token of a grant's request has arrived.
	Begun(c dispatcher.Call, g *dispatcher.Grant)
}

// A Canceller cancels streams at engines. It retries until the engine confirms
// the cancellation, and then calls done.
type Canceller interface {
	Cancel(address, id string, done func())
}

// An Observer is notified of what happens to requests at upstreams.
type Observer interface {
	// ReportCold is called on evidence that an upstream is in cold start.
	ReportCold(upstream string, boot uint64, cause string)
	// RequestSent is called when a request is sent. Until the first token the
	// upstream has to read the given number of prompt tokens, and rate is the
	// number per second that it promised.
	RequestSent(upstream, id string, tokens int, rate float64)
	// FirstToken is called when the first token of a request arrives.
	FirstToken(id string)
	// RequestEnded is called when a request is over, with or without a first
	// token.
	RequestEnded(id string)
}

// A Retrier decides whether a failed request is retried.
type Retrier interface {
	Decide(now time.Time, a retrier.Attempt) retrier.Decision
	Completed(n int)
}

// A Meter records metrics.
type Meter interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// A Quarantine holds back requests that crash the upstreams that run them, on
// all VMs.
type Quarantine interface {
	Arrived(f fingerprinter.Fingerprint, parts ...fingerprinter.Fingerprint) (after time.Duration, held bool)
	Held(f fingerprinter.Fingerprint, parts ...fingerprinter.Fingerprint) (after time.Duration, held bool)
	HeldPart(parts ...fingerprinter.Fingerprint) int
	Lost(f fingerprinter.Fingerprint, upstream string, born int64, parts ...fingerprinter.Fingerprint) (losses int)
	Begun(parts ...fingerprinter.Fingerprint)
	Served(f fingerprinter.Fingerprint)
}

// Config identifies this process: its VM and its boot number.
type Config struct {
	VM   string
	Boot uint64
}

// A Handler serves chat completion requests.
type Handler struct {
	config     Config
	view       func() *viewer.View
	reader     *reader.Reader
	acquirer   Acquirer
	streamer   *streamer.Streamer
	canceller  Canceller
	observer   Observer
	retrier    Retrier
	quarantine Quarantine
	meter      Meter
	now        func() time.Time
	sequence   atomic.Uint64
	inProgress *idSet
}

// Deps are the dependencies of a Handler.
type Deps struct {
	View       func() *viewer.View
	Reader     *reader.Reader
	Acquirer   Acquirer
	Streamer   *streamer.Streamer
	Canceller  Canceller
	Observer   Observer
	Retrier    Retrier
	Quarantine Quarantine
	Meter      Meter
	Now        func() time.Time
}

// New returns a Handler.
func New(c Config, d Deps) *Handler {
	return &Handler{
		config: c, view: d.View, reader: d.Reader, acquirer: d.Acquirer, streamer: d.Streamer,
		canceller: d.Canceller, observer: d.Observer, retrier: d.Retrier, quarantine: d.Quarantine, meter: d.Meter, now: d.Now,
		inProgress: newIDSet(),
	}
}

// InProgress reports whether a stream or prompt part at an engine belongs to a
// request that this process is serving.
func (h *Handler) InProgress(id string) bool { return h.inProgress.contains(id) }

// A job is the state of one request in progress.
type job struct {
	id            string
	arrived       time.Time
	deadline      time.Time
	view          *viewer.View
	team          viewer.Team
	chat          *parser.ChatRequest
	pool          *viewer.Pool
	model         string
	promptTokens  int
	maxTokens     int
	bytesPerToken int
	priority      int
	body          *reader.Body
	attempts      int
	avoid         []string
	// fingerprint identifies the request in the quarantine.
	fingerprint fingerprinter.Fingerprint
	// ran is what is known so far about whether the request ran, and begun whether an answer
	// went on after its first token.
	ran   refuser.Ran
	begun bool
}

// ServeHTTP serves one chat completion request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	arrived := h.now()
	w.Header().Set(refuser.VMHeader, h.config.VM)
	h.meter.Count("chat.requests", 1)
	j, refusal := h.accept(w, q, arrived)
	if refusal != nil {
		h.refuse(w, refusal)
		return
	}
	defer j.body.Release()
	ctx, cancel := context.WithDeadline(q.Context(), j.deadline)
	defer cancel()
	h.run(ctx, w, j)
}

func (h *Handler) refuse(w http.ResponseWriter, r *refuser.Refusal) {
	h.meter.Count("chat.refused."+r.Code, 1)
	r.Write(w)
}

// accept authenticates, reads and validates a request.
func (h *Handler) accept(w http.ResponseWriter, q *http.Request, arrived time.Time) (*job, *refuser.Refusal) {
	v := h.view()
	if v == nil {
		return nil, authenticator.NotReady()
	}
	team, refusal := authenticator.Team(v, q)
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := h.reader.Read(w, q)
	if refusal != nil {
		return nil, refusal
	}
	fingerprint := fingerprinter.Of(&fingerprinter.Request{Team: team.Name, Method: q.Method, Target: q.URL.Path, Body: body.Data})
	chat, refusal := parser.Parse(body.Data)
	if refusal != nil {
		body.Release()
		return nil, refusal
	}
	// The prompt has been extracted from the body, whose memory can be freed
	// while the request waits.
	body.Data = nil
	j := &job{id: h.nextID(), arrived: arrived, view: v, team: team, chat: chat, body: body, ran: refuser.RanNo, fingerprint: fingerprint}
	if refusal := j.resolve(v, q); refusal != nil {
		body.Release()
		return nil, refusal
	}
	if after, held := h.quarantine.Arrived(fingerprint, chat.Parts...); held {
		body.Release()
		return nil, h.quarantineRefusal(j, after)
	}
	return j, nil
}

// quarantineRefusal returns the refusal of a request in quarantine, which names the message
// that is held, if one is.
func (h *Handler) quarantineRefusal(j *job, after time.Duration) *refuser.Refusal {
	refusal := refuser.New(http.StatusServiceUnavailable, "quarantined", "the request has crashed the upstreams that ran it")
	if i := h.quarantine.HeldPart(j.chat.Parts...); i >= 0 {
		refusal = refuser.New(http.StatusServiceUnavailable, "quarantined", "messages[%d] has crashed the upstreams that began to answer it", i)
	}
	return refusal.WithRetryAfter(after)
}

func (h *Handler) nextID() string {
	n := h.sequence.Add(1)
	return h.config.VM + "-" + strconv.FormatUint(h.config.Boot, 36) + "-" + strconv.FormatUint(n, 36)
}

// resolve determines the model, token counts, class and time limit of a
// request.
func (j *job) resolve(v *viewer.View, q *http.Request) *refuser.Refusal {
	pool, ok := v.Model(j.chat.Model)
	if !ok {
		r := refuser.BadRequest("model", "model_not_found", "there is no model %.60q", j.chat.Model)
		r.Status = http.StatusNotFound
		return r
	}
	m := v.Manifest.Models[j.chat.Model]
	j.pool, j.model, j.bytesPerToken = pool, j.chat.Model, m.Bytes
	j.promptTokens = max(1, (len(j.chat.Prompt)+m.Bytes-1)/m.Bytes)
	j.maxTokens = m.Output
	if j.chat.MaxTokens > 0 {
		j.maxTokens = min(j.chat.MaxTokens, m.Output)
	}
	if j.promptTokens+j.maxTokens > m.Context {
		return refuser.BadRequest("messages", "context_length_exceeded",
			"the prompt's %d tokens and %d of answer are over the model's %d", j.promptTokens, j.maxTokens, m.Context)
	}
	class, ok := v.Class(j.promptTokens)
	if !ok {
		return refuser.BadRequest("messages", "context_length_exceeded", "no class of work takes a prompt of %d tokens", j.promptTokens)
	}
	limit, refusal := authenticator.Timeout(q, class.Limit, class.Least, class.Most)
	if refusal != nil {
		return refusal
	}
	j.deadline = j.arrived.Add(limit)
	j.priority = v.Priority(class)
	return nil
}

func (j *job) admitterRequest() admitter.Request {
	head := j.chat.Prompt[:min(prefixBytes, len(j.chat.Prompt))]
	return admitter.Request{
		Team: j.team.Name, Share: j.team.Share, PromptTokens: j.promptTokens, MaxOutput: j.maxTokens,
		Arrived: j.arrived, Deadline: j.deadline, PrefixHash: xxhash.Sum64String(head),
	}
}
