// Package chatter answers requests for chat completions in the OpenAI format:
// it reads and checks a request, gets a place for it, has an engine run it, and
// passes the answer on as it comes. Every request ends with a whole answer or a
// truthful failure by its time limit.
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

// headSize is how much of a prompt's start names its prefix, in bytes.
const headSize = 4096

// An Acquirer gives places at upstreams.
type Acquirer interface {
	Acquire(ctx context.Context, c dispatcher.Call) (*dispatcher.Grant, *refuser.Refusal)
	// Begun hears that the first token has come.
	Begun(c dispatcher.Call, g *dispatcher.Grant)
}

// A Canceller cancels streams at engines until the engine confirms, and calls
// done then.
type Canceller interface {
	Cancel(address, id string, done func())
}

// A Observer hears what requests meet at upstreams.
type Observer interface {
	// ReportCold hears evidence that an upstream has turned cold.
	ReportCold(upstream string, boot uint64, cause string)
	// RequestSent hears that work was sent: until the first token the upstream has so
	// many prompt tokens to read, and promised that many a second.
	RequestSent(upstream, id string, tokens int, rate float64)
	// FirstToken hears that the first token came.
	FirstToken(id string)
	// RequestEnded hears that work is over, with or without a first token.
	RequestEnded(id string)
}

// A Retrier decides whether work is sent again.
type Retrier interface {
	Decide(now time.Time, a retrier.Attempt) retrier.Decision
	Completed(n int)
}

// A Meter counts.
type Meter interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// A Quarantine keeps requests from upstreams that crash whoever runs them, at all
// VMs.
type Quarantine interface {
	Arrived(f fingerprinter.Fingerprint) (after time.Duration, held bool)
	Held(f fingerprinter.Fingerprint) (after time.Duration, held bool)
	Lost(f fingerprinter.Fingerprint, upstream string, born int64) (losses int)
	Served(f fingerprinter.Fingerprint)
}

// Config is who this VM is.
type Config struct {
	VM   string
	Boot uint64
}

// A Handler answers requests for chat completions.
type Handler struct {
	config    Config
	views     func() *viewer.View
	reader    *reader.Reader
	acquirer  Acquirer
	streamer  *streamer.Streamer
	canceller Canceller
	watcher   Observer
	retrier   Retrier
	// quarantine knows the requests that crash upstreams.
	quarantine Quarantine
	meter      Meter
	now        func() time.Time
	sequence   atomic.Uint64
	running    *registry
}

// Deps are what a Chatter works with.
type Deps struct {
	View      func() *viewer.View
	Reader    *reader.Reader
	Acquirer  Acquirer
	Streamer  *streamer.Streamer
	Canceller Canceller
	Observer  Observer
	Retrier   Retrier
	// Quarantine knows the requests that crash upstreams.
	Quarantine Quarantine
	Meter      Meter
	Now        func() time.Time
}

// New returns a Chatter.
func New(c Config, d Deps) *Handler {
	return &Handler{
		config: c, views: d.View, reader: d.Reader, acquirer: d.Acquirer, streamer: d.Streamer,
		canceller: d.Canceller, watcher: d.Observer, retrier: d.Retrier, quarantine: d.Quarantine, meter: d.Meter, now: d.Now,
		running: newRegistry(),
	}
}

// InProgress tells whether a stream or part at an engine belongs to a request in
// progress here.
func (c *Handler) InProgress(id string) bool { return c.running.has(id) }

// A job is one request on its way.
type job struct {
	id       string
	arrived  time.Time
	deadline time.Time
	view     *viewer.View
	team     viewer.Team
	chat     *parser.ChatRequest
	pool     *viewer.Pool
	model    string
	tokens   int
	output   int
	bytes    int
	priority int
	body     *reader.Body
	tries    int
	avoid    []string
	// fingerprint names what is asked for.
	fingerprint fingerprinter.Fingerprint
	// ran is what can truthfully be said of the work so far.
	ran refuser.Ran
}

// ServeHTTP answers one request.
func (c *Handler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	arrived := c.now()
	w.Header().Set(refuser.VMHeader, c.config.VM)
	c.meter.Count("chat.requests", 1)
	j, refusal := c.accept(w, q, arrived)
	if refusal != nil {
		c.refuse(w, refusal)
		return
	}
	defer j.body.Release()
	ctx, cancel := context.WithDeadline(q.Context(), j.deadline)
	defer cancel()
	c.run(ctx, w, j)
}

func (c *Handler) refuse(w http.ResponseWriter, r *refuser.Refusal) {
	c.meter.Count("chat.refused."+r.Code, 1)
	r.Write(w)
}

// accept reads and checks a request.
func (c *Handler) accept(w http.ResponseWriter, q *http.Request, arrived time.Time) (*job, *refuser.Refusal) {
	v := c.views()
	if v == nil {
		return nil, authenticator.NotReady()
	}
	team, refusal := authenticator.Team(v, q)
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := c.reader.Read(w, q)
	if refusal != nil {
		return nil, refusal
	}
	fingerprint := fingerprinter.Of(&fingerprinter.Request{Team: team.Name, Method: q.Method, Target: q.URL.Path, Body: body.Data})
	if after, held := c.quarantine.Arrived(fingerprint); held {
		body.Release()
		return nil, quarantined(after)
	}
	chat, refusal := parser.Parse(body.Data)
	if refusal != nil {
		body.Release()
		return nil, refusal
	}
	// The prompt has been taken out of it: the memory of the body as read can
	// go while the request waits.
	body.Data = nil
	j := &job{id: c.id(), arrived: arrived, view: v, team: team, chat: chat, body: body, ran: refuser.RanNo, fingerprint: fingerprint}
	if refusal := j.measure(v, q); refusal != nil {
		body.Release()
		return nil, refusal
	}
	return j, nil
}

func quarantined(after time.Duration) *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, "quarantined", "the request has crashed the upstreams that ran it").WithRetryAfter(after)
}

func (c *Handler) id() string {
	n := c.sequence.Add(1)
	return c.config.VM + "-" + strconv.FormatUint(c.config.Boot, 36) + "-" + strconv.FormatUint(n, 36)
}

// measure finds a request's model, length, class and time limit.
func (j *job) measure(v *viewer.View, q *http.Request) *refuser.Refusal {
	pool, ok := v.Model(j.chat.Model)
	if !ok {
		r := refuser.BadRequest("model", "model_not_found", "there is no model %.60q", j.chat.Model)
		r.Status = http.StatusNotFound
		return r
	}
	m := v.Manifest.Models[j.chat.Model]
	j.pool, j.model, j.bytes = pool, j.chat.Model, m.Bytes
	j.tokens = max(1, (len(j.chat.Prompt)+m.Bytes-1)/m.Bytes)
	j.output = m.Output
	if j.chat.MaxTokens > 0 {
		j.output = min(j.chat.MaxTokens, m.Output)
	}
	if j.tokens+j.output > m.Context {
		return refuser.BadRequest("messages", "context_length_exceeded",
			"the prompt's %d tokens and %d of answer are over the model's %d", j.tokens, j.output, m.Context)
	}
	class, ok := v.Class(j.tokens)
	if !ok {
		return refuser.BadRequest("messages", "context_length_exceeded", "no class of work takes a prompt of %d tokens", j.tokens)
	}
	limit, refusal := authenticator.Timeout(q, class.Limit, class.Least, class.Most)
	if refusal != nil {
		return refusal
	}
	j.deadline = j.arrived.Add(limit)
	j.priority = v.Priority(class)
	return nil
}

func (j *job) ask() admitter.Request {
	head := j.chat.Prompt[:min(headSize, len(j.chat.Prompt))]
	return admitter.Request{
		Team: j.team.Name, Share: j.team.Share, PromptTokens: j.tokens, MaxOutput: j.output,
		Arrived: j.arrived, Deadline: j.deadline, PrefixHash: xxhash.Sum64String(head),
	}
}
