// Package drainer provides the outermost HTTP handler for callers' requests. It
// counts the requests in progress and, once the VM is leaving or out of
// service, refuses new ones while running ones finish, so that a planned stop
// aborts no request. When to stop is decided elsewhere.
package drainer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/request/refuser"
)

// retryAfter is sent to refused callers: the load balancer routes the next
// attempt to another VM.
const retryAfter = time.Second

// A Drainer limits the requests in progress and can stop accepting new ones.
type Drainer struct {
	next       http.Handler
	maxRunning int

	mu            sync.Mutex
	refusalReason string
	running       int
	idle          chan struct{}
}

// New returns a Drainer that accepts up to maxRunning concurrent requests for
// next.
func New(next http.Handler, maxRunning int) *Drainer {
	return &Drainer{next: next, maxRunning: maxRunning, idle: make(chan struct{})}
}

// ServeHTTP forwards a request to the next handler, or refuses it.
func (d *Drainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if refusal := d.begin(); refusal != nil {
		// Stops the client from sending further requests on this connection.
		w.Header().Set("Connection", "close")
		refusal.Write(w)
		return
	}
	defer d.end()
	d.next.ServeHTTP(w, r)
}

func (d *Drainer) begin() *refuser.Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusalReason != "" {
		return refuser.New(http.StatusServiceUnavailable, "leaving", "this VM takes no new work: %s", d.refusalReason).WithRetryAfter(retryAfter)
	}
	if d.running >= d.maxRunning {
		return refuser.New(http.StatusServiceUnavailable, "crowded", "this VM has %d requests in progress", d.running).WithRetryAfter(retryAfter)
	}
	d.running++
	return nil
}

func (d *Drainer) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if d.running == 0 {
		close(d.idle)
		d.idle = make(chan struct{})
	}
}

// StopAccepting refuses new requests from now on, for the given reason.
func (d *Drainer) StopAccepting(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusalReason = reason
}

// Resume accepts new requests again.
func (d *Drainer) Resume() { d.StopAccepting("") }

// Running returns the number of requests in progress.
func (d *Drainer) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

// Wait returns when no request is in progress or the context ends.
func (d *Drainer) Wait(ctx context.Context) error {
	for {
		d.mu.Lock()
		running, idle := d.running, d.idle
		d.mu.Unlock()
		if running == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle:
		}
	}
}
