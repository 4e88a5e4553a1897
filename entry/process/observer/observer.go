// Package observer tracks how long upstreams take to respond and reports it to the
// gauger. It is separate from the gauger because the passing of time counts too: an
// engine that does not respond must count as slow before its first response arrives.
package observer

import (
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/process/gauger"
)

// pauseThreshold is the time between two ticks above which this process is considered
// to have been paused. It is several times the interval between the ticks of a busy
// VM. What upstreams did during a pause is unknown, and the pause says nothing about
// their speed.
const pauseThreshold = time.Second

// An Observer tracks the requests that wait for a first token. It is safe for
// concurrent use and serialises access to the gauger.
type Observer struct {
	now func() time.Time

	mu      sync.Mutex
	gauger  *gauger.SpeedEstimator
	waiting map[string]pendingRequest
	// lastRun is when this process was last known to be running.
	lastRun time.Time
	onCold  func(upstream string, boot uint64, cause string)
}

type pendingRequest struct {
	upstream string
	tokens   int
	rate     float64
	since    time.Time
}

// New returns an Observer for a gauger that is used by nothing else. It passes
// evidence that an upstream has restarted cold to onCold.
func New(g *gauger.SpeedEstimator, now func() time.Time, onCold func(upstream string, boot uint64, cause string)) *Observer {
	return &Observer{gauger: g, now: now, waiting: make(map[string]pendingRequest), lastRun: now(), onCold: onCold}
}

// Speed returns an upstream's speed as measured by the gauger.
func (o *Observer) Speed(upstream string) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gauger.Speed(o.now(), upstream)
}

// ReportCold passes on evidence that an upstream is in cold start.
func (o *Observer) ReportCold(upstream string, boot uint64, cause string) {
	o.onCold(upstream, boot, cause)
}

// RequestSent records that a request was sent to an upstream. Until the first token
// the upstream has to read the given number of prompt tokens, and rate is the number
// per second that it promised.
func (o *Observer) RequestSent(upstream, id string, tokens int, rate float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	o.skipPause(now)
	o.waiting[id] = pendingRequest{upstream: upstream, tokens: tokens, rate: rate, since: now}
}

// FirstToken records that the first token of a request has arrived.
func (o *Observer) FirstToken(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, ok := o.waiting[id]
	if !ok {
		return
	}
	delete(o.waiting, id)
	now := o.now()
	if now.Sub(o.lastRun) > pauseThreshold {
		return
	}
	o.gauger.Observe(now, w.upstream, w.tokens, now.Sub(w.since), w.rate)
}

// RequestEnded records that a request is over, with or without a first token.
func (o *Observer) RequestEnded(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, id)
}

// Tick reports every outstanding first token to the gauger.
func (o *Observer) Tick(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.skipPause(now)
	for _, w := range o.waiting {
		o.gauger.ObservePending(now, w.upstream, w.tokens, now.Sub(w.since), w.rate)
	}
	o.gauger.RemoveStale(now)
}

// skipPause records that this process is running, and excludes the time during which
// it was paused from all waits. After a pause, timers and responses fire in any
// order, so the first of them has to check. Without this a VM that was paused for ten
// seconds would take all the engines it was waiting for to be a hundred times slower
// than they are, and would refuse every request.
func (o *Observer) skipPause(now time.Time) {
	if missed := now.Sub(o.lastRun); missed > pauseThreshold {
		for id, w := range o.waiting {
			w.since = w.since.Add(missed)
			o.waiting[id] = w
		}
	}
	o.lastRun = now
}
