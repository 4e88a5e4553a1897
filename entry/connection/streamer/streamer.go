// Package streamer opens token streams on engines and reads them in order. A stream
// that was interrupted is resumed at the token after the last one delivered.
// Duplicate tokens are dropped and tokens out of order are reordered, so that a
// caller receives each token once and in order. The package neither chooses engines
// nor cancels streams.
package streamer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/entry/connection/carrier"
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
	carrier *carrier.Carrier
}

// New returns a Streamer that sends through a carrier.
func New(c *carrier.Carrier) *Streamer {
	return &Streamer{carrier: c}
}

// Open sends a job to the engine at an address. If the error is not a *RefusedError,
// the engine may have accepted the job.
func (s *Streamer) Open(ctx context.Context, address string, job Job) (*Stream, error) {
	x, err := s.post(ctx, address, "/v1/generate", job)
	if err != nil {
		return nil, err
	}
	return newStream(s, address, job.ID, x), nil
}

// PrefillPart has an engine process one part of a prompt and keep the result. It
// returns the handle with which the group's next engine imports that result.
func (s *Streamer) PrefillPart(ctx context.Context, address string, job Job) (string, error) {
	x, err := s.post(ctx, address, "/v1/parts", job)
	if err != nil {
		return "", err
	}
	defer x.Close()
	var p struct {
		Handle string `json:"handle"`
	}
	if err := json.NewDecoder(io.LimitReader(x.Body, maxBodySize)).Decode(&p); err != nil {
		return "", Error.Wrap(err)
	}
	return p.Handle, nil
}

func (s *Streamer) post(ctx context.Context, address, path string, job Job) (*carrier.Exchange, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	x, failed := s.carrier.Send(ctx, address, carrier.Request{
		Method: http.MethodPost, Target: path, Host: address, Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
	})
	if failed != nil && !failed.Sent {
		return nil, &RefusedError{Code: "unreached", Message: failed.Error()}
	}
	if failed != nil {
		return nil, Error.Wrap(failed)
	}
	if x.Status != http.StatusOK {
		return nil, newRefusedError(x)
	}
	return x, nil
}

func newRefusedError(x *carrier.Exchange) error {
	defer x.Close()
	var envelope struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	data, err := io.ReadAll(io.LimitReader(x.Body, maxBodySize))
	if err == nil {
		err = json.Unmarshal(data, &envelope)
	}
	r := &RefusedError{Status: x.Status, Code: envelope.Error.Code, Message: envelope.Error.Message}
	if err != nil {
		r.Code, r.Message = "unclear", "the refusal could not be read"
	}
	r.MayHaveRun = x.Header.Get(ranHeader) != "no"
	r.Boot = parseBoot(x)
	return r
}

func parseBoot(x *carrier.Exchange) uint64 {
	n, err := strconv.ParseUint(x.Header.Get(bootHeader), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// resume reopens a stream after the last token delivered.
func (s *Streamer) resume(ctx context.Context, address, id string, from uint64) (*carrier.Exchange, error) {
	target := "/v1/streams/" + url.PathEscape(id) + "?from=" + strconv.FormatUint(from, 10)
	x, failed := s.carrier.Send(ctx, address, carrier.Request{Method: http.MethodGet, Target: target, Host: address})
	if failed != nil {
		return nil, Error.Wrap(failed)
	}
	if x.Status == http.StatusOK {
		return x, nil
	}
	err := newRefusedError(x)
	var r *RefusedError
	if errors.As(err, &r) && r.Status == http.StatusNotFound {
		return nil, ErrGone
	}
	return nil, err
}
