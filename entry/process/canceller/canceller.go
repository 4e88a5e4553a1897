// Package canceller ends streams at engines. A stream whose reader has gone
// keeps running there, and keeps its memory, until it is cancelled: a cancel
// that was lost would lose the memory for good. So each is repeated until the
// engine confirms it, and what processes that are gone have left is found on
// the engines' lists. It does not decide who is gone.
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
	// firstPause is the wait before the first repeat. It doubles with each, up
	// to mostPause: an engine that is down for an hour costs one try a few
	// seconds for each stream, and one that comes back is soon told.
	firstPause = 100 * time.Millisecond
	mostPause  = 4 * time.Second
	// tryTime bounds one try. A frozen engine takes connections and answers
	// nothing.
	tryTime = 2 * time.Second
	// mostTries bounds the tries in progress at once, so that an engine that
	// died with thousands of streams does not take thousands of connections.
	mostTries = 64
	// lookEvery is how often due repeats are looked for.
	lookEvery = 50 * time.Millisecond
	// mostAnswer bounds what is read of an engine's answer, in bytes.
	mostAnswer = 4 << 20
)

// Error is the class of failed sweeps.
var Error = errs.Class("cancel")

// A Timer calls subscribers with the time.
type Timer interface {
	Now() time.Time
	Subscribe(every time.Duration, call func(time.Time)) (stop func())
}

// A Canceller keeps cancels until they are confirmed.
type Canceller struct {
	client *http.Client
	timer  Timer

	sent, confirmed, swept metrics.Counter

	mu      sync.Mutex
	pending map[target]*cancel
	trying  int
	empty   chan struct{}
}

type target struct {
	address, id string
}

type cancel struct {
	done  []func()
	next  time.Time
	pause time.Duration
	busy  bool
}

// New returns a Canceller that sends through a client, repeats by a timer and
// counts in a registry.
func New(client *http.Client, timer Timer, registry metrics.Registry) *Canceller {
	c := &Canceller{
		client: client, timer: timer, pending: make(map[target]*cancel), empty: make(chan struct{}),
		sent:      metrics.GetOrRegisterCounter("cancels.sent", registry),
		confirmed: metrics.GetOrRegisterCounter("cancels.confirmed", registry),
		swept:     metrics.GetOrRegisterCounter("cancels.swept", registry),
	}
	timer.Subscribe(lookEvery, c.look)
	return c
}

// Cancel has a stream or part ended at an engine. It returns at once; done, if
// not nil, is called when the engine has confirmed.
func (c *Canceller) Cancel(address, id string, done func()) {
	t := target{address, id}
	c.mu.Lock()
	p, ok := c.pending[t]
	if !ok {
		p = &cancel{pause: firstPause, next: c.timer.Now()}
		c.pending[t] = p
	}
	if done != nil {
		p.done = append(p.done, done)
	}
	c.mu.Unlock()
	c.look(c.timer.Now())
}

// look starts the tries that are due.
func (c *Canceller) look(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, p := range c.pending {
		if c.trying >= mostTries {
			return
		}
		if p.busy || now.Before(p.next) {
			continue
		}
		p.busy = true
		c.trying++
		go c.try(t, p)
	}
}

func (c *Canceller) try(t target, p *cancel) {
	c.sent.Inc(1)
	confirmed := c.send(t)
	c.mu.Lock()
	c.trying--
	p.busy = false
	if !confirmed {
		p.next = c.timer.Now().Add(p.pause)
		p.pause = min(2*p.pause, mostPause)
		c.mu.Unlock()
		return
	}
	delete(c.pending, t)
	if len(c.pending) == 0 {
		close(c.empty)
		c.empty = make(chan struct{})
	}
	c.mu.Unlock()
	c.confirmed.Inc(1)
	for _, done := range p.done {
		done()
	}
}

// send tells an engine once. Both "cancelled" and "no such stream" confirm: the
// second is the answer to a cancel whose first answer was lost.
func (c *Canceller) send(t target) bool {
	ctx, stop := context.WithTimeout(context.Background(), tryTime)
	defer stop()
	u := "http://" + t.address + "/v1/streams/" + url.PathEscape(t.id)
	q, err := http.NewRequestWithContext(ctx, http.MethodDelete, u, http.NoBody)
	if err != nil {
		return false
	}
	answer, err := c.client.Do(q)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, mostAnswer)); err != nil {
		return false
	}
	return answer.StatusCode == http.StatusOK || answer.StatusCode == http.StatusNotFound
}

// Pending is how many cancels are not confirmed.
func (c *Canceller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Wait returns when every cancel is confirmed, or when the context ends.
func (c *Canceller) Wait(ctx context.Context) error {
	for {
		c.mu.Lock()
		n, empty := len(c.pending), c.empty
		c.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-empty:
		}
	}
}
