// Package refuser builds error responses in the format of the OpenAI API. Each
// response carries a reason and whether the request ran; the code that rejects
// the request supplies both.
package refuser

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Response headers.
const (
	// RanHeader carries a Ran value.
	RanHeader = "Heathervane-Ran"
	// VMHeader names the entry VM that sent the response.
	VMHeader = "Heathervane-VM"
	// UpstreamHeader names the upstreams that the request was sent to.
	UpstreamHeader = "Heathervane-Upstream"
	// TriesHeader counts the upstreams that the request was sent to. It is set
	// if there was more than one, so that every retry is visible to the caller.
	TriesHeader = "Heathervane-Tries"
)

// Ran reports whether a request ran at an upstream.
type Ran string

// Values of Ran. RanNo is allowed only if nothing was sent, or if the upstream
// reported that it did not run the request.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// A Refusal is the error response to a request that was rejected or failed.
type Refusal struct {
	// Status is the HTTP status code.
	Status int
	// Code is machine-readable, Message is for people.
	Code    string
	Message string
	// Param names the invalid part of the request; empty if there is none.
	Param string
	// Ran reports whether the request ran.
	Ran Ran
	// RetryAfter is the delay after which a retry may succeed; zero if a retry
	// does not help.
	RetryAfter time.Duration
}

// New returns a Refusal of a request that did not run.
func New(status int, code, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Ran: RanNo}
}

// BadRequest returns a Refusal with status 400 that names the invalid parameter.
func BadRequest(param, code, format string, args ...any) *Refusal {
	r := New(http.StatusBadRequest, code, format, args...)
	r.Param = param
	return r
}

// WithRetryAfter sets the delay after which a retry may succeed.
func (r *Refusal) WithRetryAfter(after time.Duration) *Refusal {
	r.RetryAfter = after
	return r
}

// WithRan sets whether the request ran.
func (r *Refusal) WithRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

// String returns the code and the message on one line.
func (r *Refusal) String() string {
	return r.Code + ": " + r.Message
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Ran     Ran     `json:"ran"`
}

// Body returns the refusal as JSON in the error format of the OpenAI API.
func (r *Refusal) Body() []byte {
	d := errorDetail{Message: r.Message, Type: errorType(r.Status), Code: r.Code, Ran: r.Ran}
	if r.Param != "" {
		d.Param = &r.Param
	}
	b, err := json.Marshal(errorBody{Error: d})
	if err != nil {
		return []byte(`{"error":{"message":"no text","type":"server_error","param":null,"code":"internal"}}`)
	}
	return b
}

// Write sends the refusal. No part of the response may have been sent before.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(RanHeader, string(r.Ran))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	// OpenAI client libraries retry by default. A request that ran, or may have
	// run, must not be retried by a library that cannot know that.
	if r.Ran != RanNo || r.RetryAfter == 0 {
		h.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(r.Status)
	w.Write(r.Body())
}

func errorType(status int) string {
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
