// Package caller sends requests as callers do and records what each one got:
// the answer, the way it took and when its tokens came. It repeats nothing and
// chooses no VM; the platform's balancer would, and in the bench its user does.
package caller

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// Headers of the entry API.
const (
	headerVM       = "Heathervane-VM"
	headerUpstream = "Heathervane-Upstream"
	headerRan      = "Heathervane-Ran"
	headerLimit    = "Request-Timeout"
	headerKey      = "Idempotency-Key"
)

// A Caller sends requests. It is safe for concurrent use.
type Caller struct {
	client *http.Client
}

// New returns a Caller with connections of its own.
func New() *Caller {
	const idle = 1024
	return &Caller{client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
		MaxIdleConns:        idle,
		MaxIdleConnsPerHost: idle,
		DisableCompression:  true,
	}}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Way is what a response's headers say about how it came about.
type Way struct {
	// VM and Upstream are their names; empty where the answer came without.
	VM, Upstream string
	// Ran is "no", "unknown" or "yes".
	Ran string
	// Status is the HTTP status, 0 where no answer came.
	Status int
	// Code is the error's code, empty on success.
	Code string
	// Text is the error's message.
	Text string
	// Retry is when the caller may come back, 0 where the answer does not say.
	Retry time.Duration
}

func wayOf(answer *http.Response) Way {
	w := Way{
		VM:       answer.Header.Get(headerVM),
		Upstream: answer.Header.Get(headerUpstream),
		Ran:      answer.Header.Get(headerRan),
		Status:   answer.StatusCode,
	}
	if n, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil {
		w.Retry = time.Duration(n) * time.Second
	}
	return w
}

// limit writes a time limit as the header has it: in seconds, with fractions.
func limit(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}

// failure is the error body of the OpenAI format.
type failure struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}
