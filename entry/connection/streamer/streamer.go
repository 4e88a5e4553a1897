// Package streamer opens token streams at engines and reads them in order. A
// stream that was cut is resumed at the token after the last one delivered, and
// tokens that come doubled or out of order are put right: a caller sees each
// token once and in its place. It does not choose engines and does not cancel.
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

// Headers of engines' answers.
const (
	bootHeader = "Upstream-Boot"
	ranHeader  = "Ran"
)

// mostRefusal bounds how much of a refusal's body is read, in bytes.
const mostRefusal = 16 << 10

// Error is the class of what goes wrong between an entry VM and an engine.
var Error = errs.Class("stream")

// ErrGone is a stream that the engine no longer has.
var ErrGone = Error.New("the engine no longer has it")

// A Job is what an engine is asked to do.
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

// An Import names a part of a prompt that another engine of a group holds.
type Import struct {
	Address string `json:"address"`
	Handle  string `json:"handle"`
}

// A RefusedError is an engine's answer that it did not take a job.
type RefusedError struct {
	Status int
	Code   string
	Text   string
	// MayHaveRun is false only where the engine itself says that nothing ran, or
	// where no byte of the job can have reached it.
	MayHaveRun bool
	// Boot is the engine's boot number, 0 where unknown.
	Boot uint64
}

// Error gives the refusal on one line.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("the engine refused with %d %s: %s", r.Status, r.Code, r.Text)
}

// A Streamer opens streams.
type Streamer struct {
	client *http.Client
}

// New returns a Streamer over an HTTP client that must not follow redirects
// and must not have a timeout of its own: streams last as long as the work.
func New(client *http.Client) *Streamer {
	return &Streamer{client: client}
}

// Open sends a job to the engine at an address. An error is a *Refused, or
// tells that the job may have been taken.
func (s *Streamer) Open(ctx context.Context, address string, j Job) (*Stream, error) {
	answer, err := s.post(ctx, address, "/v1/generate", j) //nolint:bodyclose // the stream closes it
	if err != nil {
		return nil, err
	}
	return newStream(s, address, j.ID, answer), nil
}

// PrefillPart has an engine read one part of a prompt and keep it. It returns the
// handle under which the group's next engine imports it.
func (s *Streamer) PrefillPart(ctx context.Context, address string, j Job) (string, error) {
	answer, err := s.post(ctx, address, "/v1/parts", j)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	var p struct {
		Handle string `json:"handle"`
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, mostRefusal)).Decode(&p); err != nil {
		return "", Error.Wrap(err)
	}
	return p.Handle, nil
}

func (s *Streamer) post(ctx context.Context, address, path string, j Job) (*http.Response, error) {
	body, err := json.Marshal(j)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// A job may be called "not run" only while no connection was there to
	// carry it: after that a byte may have left, whatever error follows.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	u := "http://" + address + path
	q, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	q.Header.Set("Content-Type", "application/json")
	answer, err := s.client.Do(q)
	if err != nil && !connected.Load() {
		return nil, &RefusedError{Code: "unreached", Text: err.Error()}
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, refused(answer)
	}
	return answer, nil
}

func refused(answer *http.Response) error {
	defer answer.Body.Close()
	var b struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, mostRefusal))
	if err == nil {
		err = json.Unmarshal(data, &b)
	}
	r := &RefusedError{Status: answer.StatusCode, Code: b.Error.Code, Text: b.Error.Message}
	if err != nil {
		r.Code, r.Text = "unclear", "the refusal could not be read"
	}
	r.MayHaveRun = answer.Header.Get(ranHeader) != "no"
	r.Boot = boot(answer)
	return r
}

func boot(answer *http.Response) uint64 {
	n, err := strconv.ParseUint(answer.Header.Get(bootHeader), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// resume opens a stream again after the last token delivered.
func (s *Streamer) resume(ctx context.Context, address, id string, from uint64) (*http.Response, error) {
	u := "http://" + address + "/v1/streams/" + url.PathEscape(id) + "?from=" + strconv.FormatUint(from, 10)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	answer, err := s.client.Do(q)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if answer.StatusCode == http.StatusOK {
		return answer, nil
	}
	err = refused(answer)
	var r *RefusedError
	if errors.As(err, &r) && r.Status == http.StatusNotFound {
		return nil, ErrGone
	}
	return nil, err
}
