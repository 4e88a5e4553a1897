// Package generator is a stand-in for a model engine: it batches prompts and
// answers by rates in tokens a second, holds memory in tokens, honours
// priorities, caches prompt prefixes and keeps streams for resuming. Its answer
// text follows from the prompt by a formula, so that a test can check that a
// whole answer belongs to its own prompt. It runs no model.
//
// All state changes under one lock, and time passes only in Step, so that a
// test drives it by hand. One goroutine (Run) steps a whole engine: two dozen
// engines with hundreds of streams each share one machine.
package generator

import (
	"net/http"
	"sync"
	"time"

	"github.com/heathervane/heathervane/standin/delayer"
	"github.com/heathervane/heathervane/standin/faulter"
	"github.com/heathervane/heathervane/standin/warmer"
)

// A Config sets up an engine. Rates are in tokens a second.
type Config struct {
	// Bytes is how many bytes of prompt count as one token.
	Bytes int
	// Slots is how many streams and parts run at once; Queue is how many more
	// may wait.
	Slots, Queue int
	// Memory is the size of the KV cache in tokens.
	Memory int
	// Prefill is the rate at which all prompts together are read, Decode that
	// at which each stream's answer is made. Scale multiplies both.
	Prefill, Decode, Scale float64
	// Cold, Warm, Fall and Started are as in warmer.Config.
	Cold, Warm int
	Fall       time.Duration
	Started    bool
	// Lag is how late load reports and cache events are.
	Lag time.Duration
	// Load is how long an order to load a model takes.
	Load time.Duration
	// Model, Version and Role are what it starts with.
	Model, Version, Role string
	// Fencing has it refuse orders with an old fencing number.
	Fencing bool
	// Stop has an answer end by itself after 1 + digest mod Stop tokens; 0 has
	// all answers run to the length asked for.
	Stop int
	// Gap loses every Gap-th cache event; 0 loses none.
	Gap int
	// Now reads the time.
	Now func() time.Time
	// Client asks other engines about parts.
	Client *http.Client
}

// maxStep bounds the time that one step makes up for: a process that was
// stopped and woken must not do the work of the pause in one burst.
const maxStep = 100 * time.Millisecond

// A Generator is one engine. It is safe for concurrent use.
type Generator struct {
	config Config
	faults *faulter.Faulter

	mu      sync.Mutex
	warm    *warmer.Warmer
	streams map[string]*stream
	running []*stream
	waiting []*stream
	kept    []*stream // finished or cancelled, until forgotten
	used    int       // memory in tokens of streams and parts
	cache   *cache
	events  events
	reports *delayer.Delayer[report]
	model   model
	last    time.Time // of the latest step
	forgot  time.Time // when old ids were last looked for
	arrived uint64    // arrivals so far, for first come first served
	wake    chan struct{}
}

// model is what the engine serves and what it was ordered to load.
type model struct {
	name, version, role string
	fence               uint64
	next                *order
	ready               time.Time
}

// New returns an engine that starts now. Where Run is not called, time passes
// only by Step.
func New(c Config) *Generator {
	now := c.Now()
	g := &Generator{
		config:  c,
		streams: make(map[string]*stream),
		cache:   newCache(c.Bytes),
		model:   model{name: c.Model, version: c.Version, role: c.Role},
		last:    now,
		wake:    make(chan struct{}, 1),
		warm: warmer.New(warmer.Config{
			Cold: c.Cold, Warm: c.Warm, Fall: c.Fall, Started: c.Started,
		}, now),
	}
	g.faults = faulter.New(g.faultsSet)
	g.reports = delayer.New(c.Lag, now, g.report())
	return g
}

// faultsSet carries out what a change of faults does at once.
func (g *Generator) faultsSet(f faulter.Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.Cold {
		g.warm.Turn(g.config.Now())
		g.clear()
	}
	if f.Down {
		g.hangUp()
	}
}

// hangUp cuts all readers; what they read goes on.
func (g *Generator) hangUp() {
	for _, s := range g.streams {
		s.epoch++
		s.notify()
	}
}

// clear drops everything that was in the engine, as a new start does.
func (g *Generator) clear() {
	for _, s := range g.streams {
		s.state = cut
		s.notify()
	}
	g.streams = make(map[string]*stream)
	g.running, g.waiting, g.kept = nil, nil, nil
	g.used = 0
	for _, head := range g.cache.clear() {
		g.event(drop, head)
	}
}

// atOnce is how many requests are in the engine: what a cold one counts.
func (g *Generator) atOnce() int { return len(g.running) + len(g.waiting) }
