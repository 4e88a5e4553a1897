// Package drainer stands before all handlers of callers. It counts the requests
// in progress, and once a VM is leaving or out of service it refuses new ones
// while the others end in their own time: a planned stop cuts no request. It
// decides nothing about when to leave.
package drainer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/request/refuser"
)

// retry is when a caller refused here may come back: the balancer sends the
// next try to another VM.
const retry = time.Second

// A Drainer is a gate that can be shut.
type Drainer struct {
	next http.Handler
	most int

	mu      sync.Mutex
	shut    string
	running int
	empty   chan struct{}
}

// New returns an open Drainer before a handler, for at most so many requests in
// progress at once.
func New(next http.Handler, most int) *Drainer {
	return &Drainer{next: next, most: most, empty: make(chan struct{})}
}

// ServeHTTP passes a request on, or refuses it.
func (d *Drainer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if refusal := d.enter(); refusal != nil {
		// The connection must not bring this VM further requests.
		w.Header().Set("Connection", "close")
		refusal.Write(w)
		return
	}
	defer d.leave()
	d.next.ServeHTTP(w, q)
}

func (d *Drainer) enter() *refuser.Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shut != "" {
		return refuser.New(http.StatusServiceUnavailable, "leaving", "this VM takes no new work: %s", d.shut).WithRetryAfter(retry)
	}
	if d.running >= d.most {
		return refuser.New(http.StatusServiceUnavailable, "crowded", "this VM has %d requests in progress", d.running).WithRetryAfter(retry)
	}
	d.running++
	return nil
}

func (d *Drainer) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if d.running == 0 {
		close(d.empty)
		d.empty = make(chan struct{})
	}
}

// StopAccepting refuses new requests from now on, with a reason.
func (d *Drainer) StopAccepting(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = reason
}

// Resume takes new requests again.
func (d *Drainer) Resume() { d.StopAccepting("") }

// Running is how many requests are in progress.
func (d *Drainer) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

// Wait returns when no request is in progress, or when the context ends.
func (d *Drainer) Wait(ctx context.Context) error {
	for {
		d.mu.Lock()
		running, empty := d.running, d.empty
		d.mu.Unlock()
		if running == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-empty:
		}
	}
}
