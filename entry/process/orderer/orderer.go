// Package orderer decides which engines are told to load the version of their
// model that the manifest names, and when. It answers a change of version over
// a whole fleet: without it all engines load at once, so that nothing is
// served meanwhile and the weight store, which is rate-limited, keeps all of
// them waiting; or an order of a holder that was replaced undoes a newer one.
//
// Engines have an order, that of their names, which is the same on every VM.
// One has its turn while fewer than the bound of those before it show another
// version than they should. Nobody counts loads, so no count can be lost: the
// bound rests on reports alone, and on an engine having been seen to be wrong
// for its settling time before it is ordered. In that time whatever was
// ordered under an older picture has ended. docs/DESIGN.md has the proof.
//
// The package has no network; the time and what was read are arguments.
package orderer

import (
	"time"
)

const (
	// margin is by how much the settling time exceeds the longest load: a
	// manifest reaches all VMs within 8 s, a report is at most 2 s old when
	// read and 2 s when used, and an order arrives within 2 s.
	margin = 14 * time.Second
	// fresh is how old a reading may be when something is decided by it. A VM
	// that was frozen wakes with readings that no longer say anything.
	fresh = 2 * time.Second
	// quiet is how long an engine must have shown no work before it is
	// ordered: its report lags, and work may be under way to it.
	quiet = 2 * time.Second
	// sending is how old an order may be when it is sent.
	sending = time.Second
	// poolPart is the part of a pool's engines that may be out at once: one in
	// four leaves three quarters of the places, which peaks below 75% of a
	// pool's load do not notice. A pool of fewer has one out at a time.
	poolPart = 4
	// mostDoublings bounds the wait between orders to one engine, at 16 times
	// its settling time.
	mostDoublings = 4
)

// A Config is what bounds orders.
type Config struct {
	// MaxLoads is how many engines may load at once over the whole fleet.
	MaxLoads int
	// Lease is how long a holder may go on without knowing of its successor.
	Lease time.Duration
	// DrainTimeout is how long work on an engine may last at most. After that the
	// engine is ordered whatever it reports.
	DrainTimeout time.Duration
}

// An Engine is what the manifest says of an engine.
type Engine struct {
	Name, Address string
	// Model and Version are what it should serve; engines of one model are a
	// pool.
	Model, Version string
	// MaxLoadTime is the longest time that loading takes.
	MaxLoadTime time.Duration
}

// settling is how long it takes until nothing loads any more that was ordered
// under an older picture, and all can see what came of it.
func (e Engine) settling() time.Duration { return e.MaxLoadTime + margin }

// An Observation is what is known of an engine at a tick.
type Observation struct {
	Engine
	// ReadAt is when the reading of its report began; zero where it gave none.
	ReadAt time.Time
	// ReportedModel and ReportedVersion are what it reports to serve, and Work how many
	// requests run or wait there.
	ReportedModel, ReportedVersion string
	Requests                       int
	// Held says that this process holds it, under Fence.
	Held  bool
	Fence uint64
}

func (f Observation) known(now time.Time) bool {
	return !f.ReadAt.IsZero() && now.Sub(f.ReadAt) <= fresh
}

func (f Observation) right() bool {
	return f.ReportedModel == f.Model && f.ReportedVersion == f.Version
}

// An Order tells an engine to load.
type Order struct {
	Engine
	Fence uint64
	// At is when it was decided.
	At time.Time
}

// Valid says whether an order may be sent, given the fence under which its
// engine is held now. A process frozen since it decided wakes with an order that
// others may have replaced: without this an engine that checks no fences would
// load an old version after the newer one.
func (o Order) Valid(now time.Time, fence uint64, held bool) bool {
	return held && fence == o.Fence && now.Sub(o.At) <= sending
}

// An Outcome is how an order ended.
type Outcome int

// The answers to orders.
const (
	// Accepted is an order that the engine took.
	Accepted Outcome = iota
	// Lost is one that may have been taken.
	Lost
	// Refused is one that the engine did not take.
	Refused
	// Fenced is one that the engine did not take because it has seen a higher
	// fence: another process holds it.
	Fenced
)

// An Orderer is one process's part. It is not safe for concurrent use.
type Orderer struct {
	config Config
	states map[string]*state
	turns  []string
}

// state is what an Orderer remembers of one engine.
type state struct {
	model, version string
	wrong          time.Time // since when it has been seen to be wrong
	idle           time.Time // since when it has shown no work
	turn           time.Time // since when it has had its turn
	held           time.Time // since when it is held under fence
	fence          uint64
	sent           time.Time // when the last order went out
	tries          int
	fenced         uint64 // the fence that the engine refused
}

// New returns an Orderer that has seen nothing.
func New(c Config) *Orderer { return &Orderer{config: c, states: make(map[string]*state)} }

// Configure changes the bounds.
func (r *Orderer) Configure(c Config) { r.config = c }

// Tick takes in what is known of all engines, by name in order, and returns the
// orders to be sent at once. Facts may end early, after as many engines that
// are wrong or unknown as may load at once.
func (r *Orderer) Tick(now time.Time, facts []Observation) []Order {
	r.forget(facts)
	sizes := make(map[string]int)
	for _, f := range facts {
		sizes[f.Model]++
	}
	behind, pools := 0, make(map[string]int)
	var orders []Order
	r.turns = r.turns[:0]
	for _, f := range facts {
		s := r.states[f.Name]
		if s == nil {
			s = &state{}
			r.states[f.Name] = s
		}
		s.see(now, f)
		if f.known(now) && f.right() {
			continue
		}
		turn := behind < r.config.MaxLoads && pools[f.Model] < Out(sizes[f.Model])
		behind++
		pools[f.Model]++
		if !s.settled(now, f, turn) {
			continue
		}
		if sizes[f.Model] > 1 && now.Sub(s.turn) < r.config.DrainTimeout+2*f.settling() {
			r.turns = append(r.turns, f.Name)
		}
		if r.due(now, f, s) {
			s.sent = now
			s.tries++
			orders = append(orders, Order{Engine: f.Engine, Fence: f.Fence, At: now})
		}
	}
	return orders
}

// Out is how many of a pool's engines may be out at once.
func Out(engines int) int { return max(1, engines/poolPart) }

// Draining are the engines that get no new work, because they are to load or load
// now. Every VM finds the same ones, so that an engine's work ends. The only
// engine of a pool is not among them: it serves until it loads. Nor is one that
// still shows its old version after its work must have ended and it was ordered: it
// takes no orders, and would serve nothing for ever.
func (r *Orderer) Draining() []string { return r.turns }

// RecordOutcome takes in how an order ended. An engine that refused a fence has seen
// another holder's, so that nothing more is sent under it.
func (r *Orderer) RecordOutcome(o Order, a Outcome) {
	s := r.states[o.Name]
	if s != nil && a == Fenced {
		s.fenced = max(s.fenced, o.Fence)
	}
}

func (r *Orderer) forget(facts []Observation) {
	names := make(map[string]bool, len(facts))
	for _, f := range facts {
		names[f.Name] = true
	}
	for name := range r.states {
		if !names[name] {
			delete(r.states, name)
		}
	}
}

// see takes in one engine's fact.
func (s *state) see(now time.Time, f Observation) {
	if s.model != f.Model || s.version != f.Version {
		*s = state{model: f.Model, version: f.Version, held: s.held, fence: s.fence, fenced: s.fenced}
	}
	switch {
	case !f.Held:
		s.held = time.Time{}
	case s.held.IsZero() || s.fence != f.Fence:
		s.held, s.fence = now, f.Fence
	}
	if !f.known(now) || f.right() {
		s.wrong, s.idle, s.turn = time.Time{}, time.Time{}, time.Time{}
		if f.known(now) {
			s.sent, s.tries = time.Time{}, 0
		}
		return
	}
	if s.wrong.IsZero() {
		s.wrong = now
	}
	if f.Requests > 0 {
		s.idle = time.Time{}
	} else if s.idle.IsZero() {
		s.idle = now
	}
}

// settled says whether an engine that is wrong has its turn, and has been wrong
// for long enough that whatever began to load before the others saw it has
// loaded.
func (s *state) settled(now time.Time, f Observation, turn bool) bool {
	if !turn || s.wrong.IsZero() || now.Sub(s.wrong) < f.settling() {
		s.turn = time.Time{}
		return false
	}
	if s.turn.IsZero() {
		s.turn = now
	}
	return true
}

// due says whether an engine that has its turn is to be ordered now.
func (r *Orderer) due(now time.Time, f Observation, s *state) bool {
	if !f.Held || f.Fence <= s.fenced {
		return false
	}
	// The holder before may have ordered just before its lease was over, and an
	// engine that checks no fences would take its order after ours, too. An
	// engine that has just loaded, and does not report it yet, would be ordered
	// again, while the others see it as right and the next one has its turn.
	if now.Sub(s.held) < max(f.settling(), r.config.Lease) {
		return false
	}
	// An order whose answer was lost may have landed, and a second one begins
	// the load anew: it goes only once the first would have ended, and a report
	// read since then shows that it has not.
	if !s.sent.IsZero() && f.ReadAt.Sub(s.sent) < f.settling()<<min(s.tries-1, mostDoublings) {
		return false
	}
	drained := !s.idle.IsZero() && now.Sub(s.idle) >= quiet
	return drained || now.Sub(s.turn) >= r.config.DrainTimeout
}
