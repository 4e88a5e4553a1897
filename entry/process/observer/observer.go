// Package observer watches how long upstreams take, and feeds the gauger. It
// exists apart from it because time goes by while nothing happens: an engine
// that answers nothing must count as slow before its first answer comes.
package observer

import (
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/process/gauger"
)

// stoodStill is the time between two ticks above which this process did not run:
// several times that between ticks of a busy VM. What upstreams did meanwhile is
// not known, and a pause of a VM says nothing of their speed.
const stoodStill = time.Second

// An Observer follows the requests that wait for a first token. It is safe for
// concurrent use, and so is the gauger through it.
type Observer struct {
	now func() time.Time

	mu      sync.Mutex
	gauger  *gauger.Gauger
	waiting map[string]wait
	// ticked is when this process last was known to run.
	ticked time.Time
	turned func(upstream string, boot uint64, cause string)
}

type wait struct {
	upstream string
	tokens   int
	rate     float64
	since    time.Time
}

// New returns an Observer over a gauger that nobody else uses. Evidence that an
// upstream has turned cold goes to turned.
func New(g *gauger.Gauger, now func() time.Time, turned func(upstream string, boot uint64, cause string)) *Observer {
	return &Observer{gauger: g, now: now, waiting: make(map[string]wait), ticked: now(), turned: turned}
}

// Speed is an upstream's measured speed, as the gauger has it.
func (o *Observer) Speed(upstream string) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gauger.Speed(o.now(), upstream)
}

// Turned hears evidence that an upstream has turned cold.
func (o *Observer) Turned(upstream string, boot uint64, cause string) {
	o.turned(upstream, boot, cause)
}

// Begun hears that an upstream was sent work under an id. Until its first token
// it has so many prompt tokens to read, and promised that many a second.
func (o *Observer) Begun(upstream, id string, tokens int, rate float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	o.run(now)
	o.waiting[id] = wait{upstream: upstream, tokens: tokens, rate: rate, since: now}
}

// First hears that the first token came.
func (o *Observer) First(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, ok := o.waiting[id]
	if !ok {
		return
	}
	delete(o.waiting, id)
	now := o.now()
	if now.Sub(o.ticked) > stoodStill {
		return
	}
	o.gauger.Observe(now, w.upstream, w.tokens, now.Sub(w.since), w.rate)
}

// Ended hears that work is over, with or without a first token.
func (o *Observer) Ended(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, id)
}

// Tick tells the gauger of every first token that has not come.
func (o *Observer) Tick(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.run(now)
	for _, w := range o.waiting {
		o.gauger.Waiting(now, w.upstream, w.tokens, now.Sub(w.since), w.rate)
	}
	o.gauger.Sweep(now)
}

// run notes that this process runs, and counts no wait for a time in which it
// did not. Its timers and its callers' answers come in any order after a pause,
// so that whichever comes first has to look. Without it a VM that was paused for
// ten seconds takes all engines that it waited for to be a hundred times slower
// than they are, and refuses every question.
func (o *Observer) run(now time.Time) {
	if missed := now.Sub(o.ticked); missed > stoodStill {
		for id, w := range o.waiting {
			w.since = w.since.Add(missed)
			o.waiting[id] = w
		}
	}
	o.ticked = now
}
