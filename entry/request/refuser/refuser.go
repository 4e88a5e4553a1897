// Package refuser says why a request gets no answer, in the error shape that
// callers of the OpenAI format know, and whether the work ran. It decides
// nothing: whoever gives a request up states both.
package refuser

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers of every answer.
const (
	// RanHeader carries a Ran.
	RanHeader = "Heathervane-Ran"
	// VMHeader names the entry VM that answered.
	VMHeader = "Heathervane-VM"
	// UpstreamHeader names the upstreams that the work went to.
	UpstreamHeader = "Heathervane-Upstream"
	// TriesHeader counts the upstreams that the work was sent to, where it is
	// more than one: a request is never repeated silently.
	TriesHeader = "Heathervane-Tries"
)

// Ran says whether the work of a request ran at an upstream.
type Ran string

// The values of Ran. RanNo may be said only where nothing can have been sent.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// A Refusal is a request given up.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Code is a short word for programs; Text a sentence for people.
	Code    string
	Message string
	// Param names the place in the request that was wrong, if any did.
	Param string
	// Ran says whether the work ran.
	Ran Ran
	// RetryAfter is when coming back helps; zero where it does not.
	RetryAfter time.Duration
}

// New returns a Refusal whose work did not run.
func New(status int, code, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Ran: RanNo}
}

// BadRequest returns a Refusal of bad input at a place of the request.
func BadRequest(param, code, format string, args ...any) *Refusal {
	r := New(http.StatusBadRequest, code, format, args...)
	r.Param = param
	return r
}

// WithRetryAfter sets when coming back helps.
func (r *Refusal) WithRetryAfter(after time.Duration) *Refusal {
	r.RetryAfter = after
	return r
}

// WithRan sets whether the work ran.
func (r *Refusal) WithRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

// String gives the refusal on one line.
func (r *Refusal) String() string {
	return r.Code + ": " + r.Message
}

type body struct {
	Error detail `json:"error"`
}

type detail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Ran     Ran     `json:"ran"`
}

// Body is the refusal in the error shape of the OpenAI format.
func (r *Refusal) Body() []byte {
	d := detail{Message: r.Message, Type: kind(r.Status), Code: r.Code, Ran: r.Ran}
	if r.Param != "" {
		d.Param = &r.Param
	}
	b, err := json.Marshal(body{Error: d})
	if err != nil {
		return []byte(`{"error":{"message":"no text","type":"server_error","param":null,"code":"internal"}}`)
	}
	return b
}

// Write answers a request that has had no byte of its answer yet.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(RanHeader, string(r.Ran))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	// The client libraries of the format retry on their own unless told not
	// to. Work that ran, or may have, must not be repeated by a library that
	// cannot know.
	if r.Ran != RanNo || r.RetryAfter == 0 {
		h.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(r.Status)
	w.Write(r.Body())
}

func kind(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}
