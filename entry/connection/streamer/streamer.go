// Package streamer opens token streams on engines and reads them in order. A stream
// that was interrupted is resumed at the token after the last one delivered.
// Duplicate tokens are dropped and tokens out of order are reordered, so that a
// caller receives each token once and in order. The package neither chooses engines
// nor cancels streams.
package streamer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// Headers of engines' responses.
const (
	bootHeader = "Upstream-Boot"
	ranHeader  = "Ran"
)

// maxBodySize is the maximum number of bytes read from the body of a response that is
// not a stream.
const maxBodySize = 16 << 10

// Error is the class of errors between an entry VM and an engine.
var Error = errs.Class("stream")

// ErrGone reports a stream that the engine no longer has.
var ErrGone = Error.New("the engine no longer has the stream")

// A Job is a request to an engine: to generate a response, or to process one part of
// a prompt.
type Job struct {
	ID              string   `json:"id"`
	VM              string   `json:"vm"`
	Boot            uint64   `json:"boot"`
	ExpectedBoot    uint64   `json:"expect"`
	Model           string   `json:"model"`
	Prompt          string   `json:"prompt"`
	MaxOutputTokens int      `json:"output,omitempty"`
	Priority        int      `json:"priority,omitempty"`
	Imports         []Import `json:"imports,omitempty"`
}

// An Import refers to a part of a prompt that another engine of the group has
// processed and keeps.
type Import struct {
	Address string `json:"address"`
	Handle  string `json:"handle"`
}

// A RefusedError reports that an engine refused a job or could not be reached.
type RefusedError struct {
	Status  int
	Code    string
	Message string
	// MayHaveRun is false only if the engine itself states that nothing ran, or if
	// no byte of the job can have reached it.
	MayHaveRun bool
	// Boot is the engine's boot number, or 0 if it is not known.
	Boot uint64
}

// Error returns the refusal on one line.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("the engine refused with %d %s: %s", r.Status, r.Code, r.Message)
}

// A Streamer sends jobs to engines and opens their streams.
type Streamer struct {
	client *http.Client
}

// New returns a Streamer that uses an HTTP client. The client must not follow
// redirects, and must not have a timeout: a stream lasts as long as its job.
func New(client *http.Client) *Streamer {
	return &Streamer{client: client}
}

// Open sends a job to the engine at an address. If the error is not a *RefusedError,
// the engine may have accepted the job.
func (s *Streamer) Open(ctx context.Context, address string, job Job) (*Stream, error) {
	resp, err := s.post(ctx, address, "/v1/generate", job) //nolint:bodyclose // closed by Stream.Close
	if err != nil {
		return nil, err
	}
	return newStream(s, address, job.ID, resp), nil
}

// PrefillPart has an engine process one part of a prompt and keep the result. It
// returns the handle with which the group's next engine imports that result.
func (s *Streamer) PrefillPart(ctx context.Context, address string, job Job) (string, error) {
	resp, err := s.post(ctx, address, "/v1/parts", job)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var p struct {
		Handle string `json:"handle"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodySize)).Decode(&p); err != nil {
		return "", Error.Wrap(err)
	}
	return p.Handle, nil
}

func (s *Streamer) post(ctx context.Context, address, path string, job Job) (*http.Response, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// A job may be reported as "not run" only if no connection was obtained for it.
	// Once there is one, a byte may have been sent, whatever error follows.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	u := "http://" + address + path
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil && !connected.Load() {
		return nil, &RefusedError{Code: "unreached", Message: err.Error()}
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, newRefusedError(resp)
	}
	return resp, nil
}

func newRefusedError(resp *http.Response) error {
	defer resp.Body.Close()
	var envelope struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize))
	if err == nil {
		err = json.Unmarshal(data, &envelope)
	}
	r := &RefusedError{Status: resp.StatusCode, Code: envelope.Error.Code, Message: envelope.Error.Message}
	if err != nil {
		r.Code, r.Message = "unclear", "the refusal could not be read"
	}
	r.MayHaveRun = resp.Header.Get(ranHeader) != "no"
	r.Boot = parseBoot(resp)
	return r
}

func parseBoot(resp *http.Response) uint64 {
	n, err := strconv.ParseUint(resp.Header.Get(bootHeader), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// resume reopens a stream after the last token delivered.
func (s *Streamer) resume(ctx context.Context, address, id string, from uint64) (*http.Response, error) {
	u := "http://" + address + "/v1/streams/" + url.PathEscape(id) + "?from=" + strconv.FormatUint(from, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	err = newRefusedError(resp)
	var r *RefusedError
	if errors.As(err, &r) && r.Status == http.StatusNotFound {
		return nil, ErrGone
	}
	return nil, err
}
