// Package canceller cancels streams at engines. A stream whose client has
// disconnected keeps running at its engine and keeps its memory there until it
// is cancelled, so a lost cancel would leak that memory for good. Each cancel
// is therefore repeated until the engine confirms it, and streams left behind
// by stopped processes are found by reading the engines' stream lists. Which
// processes have stopped is decided elsewhere.
package canceller

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"
)

const (
	// initialBackoff is the wait before the first retry. It doubles with each
	// retry up to maxBackoff: an engine that is down for an hour costs one
	// attempt every few seconds per stream, and one that comes back is reached
	// within seconds.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// attemptTimeout bounds one attempt. A hung engine accepts connections and
	// sends no response.
	attemptTimeout = 2 * time.Second
	// maxConcurrentAttempts bounds the attempts in progress, so that an engine
	// that died with thousands of streams does not take thousands of
	// connections.
	maxConcurrentAttempts = 64
	// retryCheckInterval is how often the pending cancels are checked for due
	// retries.
	retryCheckInterval = 50 * time.Millisecond
	// maxResponseBytes bounds what is read of an engine's response.
	maxResponseBytes = 4 << 20
)

// Error is the class of errors that Sweep returns.
var Error = errs.Class("cancel")

// A Ticker tells the time and calls subscribers at intervals.
type Ticker interface {
	Now() time.Time
	Subscribe(every time.Duration, call func(time.Time)) (stop func())
}

// A Canceller retries cancels until they are confirmed.
type Canceller struct {
	client *http.Client
	ticker Ticker

	sent, confirmed, swept metrics.Counter

	mu       sync.Mutex
	pending  map[target]*pendingCancel
	inFlight int
	drained  chan struct{}
}

type target struct {
	address, id string
}

type pendingCancel struct {
	done        []func()
	nextAttempt time.Time
	backoff     time.Duration
	inFlight    bool
}

// New returns a Canceller that sends through client, schedules retries by
// ticker and counts cancels in registry.
func New(client *http.Client, ticker Ticker, registry metrics.Registry) *Canceller {
	c := &Canceller{
		client: client, ticker: ticker, pending: make(map[target]*pendingCancel), drained: make(chan struct{}),
		sent:      metrics.GetOrRegisterCounter("cancels.sent", registry),
		confirmed: metrics.GetOrRegisterCounter("cancels.confirmed", registry),
		swept:     metrics.GetOrRegisterCounter("cancels.swept", registry),
	}
	ticker.Subscribe(retryCheckInterval, c.startDueAttempts)
	return c
}

// Cancel cancels a stream, or a part of one, at an engine. It returns at once;
// done, if not nil, is called when the engine has confirmed.
func (c *Canceller) Cancel(address, id string, done func()) {
	t := target{address, id}
	c.mu.Lock()
	p, ok := c.pending[t]
	if !ok {
		p = &pendingCancel{backoff: initialBackoff, nextAttempt: c.ticker.Now()}
		c.pending[t] = p
	}
	if done != nil {
		p.done = append(p.done, done)
	}
	c.mu.Unlock()
	c.startDueAttempts(c.ticker.Now())
}

// startDueAttempts starts the attempts that are due, up to
// maxConcurrentAttempts.
func (c *Canceller) startDueAttempts(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, p := range c.pending {
		if c.inFlight >= maxConcurrentAttempts {
			return
		}
		if p.inFlight || now.Before(p.nextAttempt) {
			continue
		}
		p.inFlight = true
		c.inFlight++
		go c.attempt(t, p)
	}
}

func (c *Canceller) attempt(t target, p *pendingCancel) {
	c.sent.Inc(1)
	confirmed := c.send(t)
	c.mu.Lock()
	c.inFlight--
	p.inFlight = false
	if !confirmed {
		p.nextAttempt = c.ticker.Now().Add(p.backoff)
		p.backoff = min(2*p.backoff, maxBackoff)
		c.mu.Unlock()
		return
	}
	delete(c.pending, t)
	if len(c.pending) == 0 {
		close(c.drained)
		c.drained = make(chan struct{})
	}
	c.mu.Unlock()
	c.confirmed.Inc(1)
	for _, done := range p.done {
		done()
	}
}

// send makes one attempt and reports whether the engine confirmed it. Both 200
// and 404 confirm: 404 is the response to a repeated cancel whose first
// response was lost.
func (c *Canceller) send(t target) bool {
	ctx, stop := context.WithTimeout(context.Background(), attemptTimeout)
	defer stop()
	u := "http://" + t.address + "/v1/streams/" + url.PathEscape(t.id)
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, u, http.NoBody)
	if err != nil {
		return false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes)); err != nil {
		return false
	}
	return response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNotFound
}

// Pending returns the number of unconfirmed cancels.
func (c *Canceller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Wait returns when every cancel is confirmed or the context ends.
func (c *Canceller) Wait(ctx context.Context) error {
	for {
		c.mu.Lock()
		n, drained := len(c.pending), c.drained
		c.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-drained:
		}
	}
}
