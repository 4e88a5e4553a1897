// Package orderer decides which engines are ordered to load the model version that
// the manifest names, and when. It handles a version change across the whole fleet.
// Without it all engines would load at once, so that none would serve requests and
// the rate-limited weight store would slow every load down; or a late order from a
// replaced holder would undo a newer one.
//
// Engines are considered in the order of their names, which is the same on every
// VM. An engine may load while fewer engines before it than the bounds allow report
// another version than the manifest's, or report nothing. Loads are not counted, so
// no count can be lost: the bounds rest on reports alone, and on an engine having
// been seen outdated for its settle time before it is ordered. Within that time any
// load that was ordered under an older view of the fleet has ended.
// docs/DESIGN.md has the proof.
//
// The package does no network I/O and reads no clock; the time and the observations
// are arguments.
package orderer

import (
	"time"
)

const (
	// settleMargin is by how much the settle time exceeds the longest load: a
	// manifest reaches all VMs within 8 s, a report is at most 2 s old when read
	// and 2 s when used, and an order arrives within 2 s.
	settleMargin = 14 * time.Second
	// maxReportAge is how old a report may be for a decision that is based on it. A
	// VM that was frozen resumes with reports that no longer hold.
	maxReportAge = 2 * time.Second
	// minIdle is how long an engine must have reported no requests before it is
	// ordered: its reports lag, and a request may be on its way to it.
	minIdle = 2 * time.Second
	// maxOrderAge is how old an order may be when it is sent.
	maxOrderAge = time.Second
	// unavailableDivisor sets the share of a pool's engines that may be unavailable
	// at once. One in four leaves three quarters of the capacity, which is enough
	// for peaks below 75% of the pool's full load. In a pool of fewer engines, one
	// may be unavailable at a time.
	unavailableDivisor = 4
	// maxBackoffDoublings bounds the wait between orders to one engine, at 16 times
	// its settle time.
	maxBackoffDoublings = 4
)

// A Config holds the limits on orders.
type Config struct {
	// MaxLoads is how many engines may load at once over the whole fleet.
	MaxLoads int
	// Lease is how long a replaced holder may continue before it learns of its
	// successor.
	Lease time.Duration
	// DrainTimeout is the longest time that requests on an engine may take. After
	// that the engine is ordered whatever it reports.
	DrainTimeout time.Duration
}

// An Engine describes an engine according to the manifest.
type Engine struct {
	Name, Address string
	// Model and Version are what it should serve. The engines of one model form a
	// pool.
	Model, Version string
	// MaxLoadTime is the longest time that a load takes.
	MaxLoadTime time.Duration
}

// settleTime is how long it takes until no load that was ordered under an older
// view of the fleet is running any more and all VMs can see its result.
func (e Engine) settleTime() time.Duration { return e.MaxLoadTime + settleMargin }

// An Observation is what is known about an engine at a tick.
type Observation struct {
	Engine
	// ReadAt is when reading its report began; zero if it gave no report.
	ReadAt time.Time
	// ReportedModel and ReportedVersion are what it reports to serve, and Requests
	// is how many requests run or wait there.
	ReportedModel, ReportedVersion string
	Requests                       int
	// Held reports whether this process holds it, under the fencing token Fence.
	Held  bool
	Fence uint64
}

func (o Observation) isRecent(now time.Time) bool {
	return !o.ReadAt.IsZero() && now.Sub(o.ReadAt) <= maxReportAge
}

func (o Observation) isUpToDate() bool {
	return o.ReportedModel == o.Model && o.ReportedVersion == o.Version
}

// An Order instructs an engine to load its model version.
type Order struct {
	Engine
	Fence uint64
	// DecidedAt is when the order was decided.
	DecidedAt time.Time
}

// Valid reports whether an order may be sent, given the fence under which its engine
// is held now. A process that was frozen after deciding resumes with an order that
// another VM may have superseded. Without this check an engine that ignores fences
// would load the old version after the newer one.
func (o Order) Valid(now time.Time, fence uint64, held bool) bool {
	return held && fence == o.Fence && now.Sub(o.DecidedAt) <= maxOrderAge
}

// An Outcome is the result of sending an order.
type Outcome int

// The outcomes of orders.
const (
	// Accepted means that the engine accepted the order.
	Accepted Outcome = iota
	// Lost means that the engine may have accepted the order.
	Lost
	// Refused means that the engine did not accept the order.
	Refused
	// Fenced means that the engine did not accept the order because it has seen a
	// higher fence: another process holds it.
	Fenced
)

// An Orderer makes the decisions of one process. It is not safe for concurrent use.
type Orderer struct {
	config   Config
	states   map[string]*engineState
	draining []string
}

// engineState is what an Orderer remembers about one engine.
type engineState struct {
	model, version string
	outdatedSince  time.Time // since when it has reported another model or version
	idleSince      time.Time // since when it has reported no requests
	selectedSince  time.Time // since when it has been selected to load
	heldSince      time.Time // since when it has been held under fence
	fence          uint64
	lastSent       time.Time // when the last order was sent
	attempts       int
	refusedFence   uint64 // the highest fence that the engine refused
}

// New returns an Orderer that has observed nothing.
func New(c Config) *Orderer { return &Orderer{config: c, states: make(map[string]*engineState)} }

// Configure replaces the limits.
func (r *Orderer) Configure(c Config) { r.config = c }

// Tick records observations of all engines, sorted by name, and returns the orders
// to be sent at once. The observations may end early, after as many outdated or
// unknown engines as may load at once.
func (r *Orderer) Tick(now time.Time, observations []Observation) []Order {
	r.forget(observations)
	poolSizes := make(map[string]int)
	for _, o := range observations {
		poolSizes[o.Model]++
	}
	pending, pendingInPool := 0, make(map[string]int)
	var orders []Order
	r.draining = r.draining[:0]
	for _, o := range observations {
		s := r.states[o.Name]
		if s == nil {
			s = &engineState{}
			r.states[o.Name] = s
		}
		s.observe(now, o)
		if o.isRecent(now) && o.isUpToDate() {
			continue
		}
		eligible := pending < r.config.MaxLoads && pendingInPool[o.Model] < MaxUnavailable(poolSizes[o.Model])
		pending++
		pendingInPool[o.Model]++
		if !s.selectToLoad(now, o, eligible) {
			continue
		}
		if poolSizes[o.Model] > 1 && now.Sub(s.selectedSince) < r.config.DrainTimeout+2*o.settleTime() {
			r.draining = append(r.draining, o.Name)
		}
		if r.due(now, o, s) {
			s.lastSent = now
			s.attempts++
			orders = append(orders, Order{Engine: o.Engine, Fence: o.Fence, DecidedAt: now})
		}
	}
	return orders
}

// MaxUnavailable returns how many engines of a pool may be unavailable at once.
func MaxUnavailable(engines int) int { return max(1, engines/unavailableDivisor) }

// Draining returns the engines that get no new requests because they are about to
// load or are loading. All VMs find the same engines, so that an engine's requests
// run out. The only engine of a pool is not among them: it serves until it loads.
// Neither is an engine that still reports its old version after its requests must
// have ended and it was ordered: it accepts no orders, and would never serve again.
func (r *Orderer) Draining() []string { return r.draining }

// RecordOutcome records the outcome of an order. An engine that refused a fence has
// seen that of another holder, so no more orders are sent under it.
func (r *Orderer) RecordOutcome(o Order, outcome Outcome) {
	s := r.states[o.Name]
	if s != nil && outcome == Fenced {
		s.refusedFence = max(s.refusedFence, o.Fence)
	}
}

// forget drops the state of engines that are not observed any more.
func (r *Orderer) forget(observations []Observation) {
	names := make(map[string]bool, len(observations))
	for _, o := range observations {
		names[o.Name] = true
	}
	for name := range r.states {
		if !names[name] {
			delete(r.states, name)
		}
	}
}

// observe updates the state with an observation of its engine.
func (s *engineState) observe(now time.Time, o Observation) {
	if s.model != o.Model || s.version != o.Version {
		*s = engineState{model: o.Model, version: o.Version, heldSince: s.heldSince, fence: s.fence, refusedFence: s.refusedFence}
	}
	switch {
	case !o.Held:
		s.heldSince = time.Time{}
	case s.heldSince.IsZero() || s.fence != o.Fence:
		s.heldSince, s.fence = now, o.Fence
	}
	if !o.isRecent(now) || o.isUpToDate() {
		s.outdatedSince, s.idleSince, s.selectedSince = time.Time{}, time.Time{}, time.Time{}
		if o.isRecent(now) {
			s.lastSent, s.attempts = time.Time{}, 0
		}
		return
	}
	if s.outdatedSince.IsZero() {
		s.outdatedSince = now
	}
	if o.Requests > 0 {
		s.idleSince = time.Time{}
	} else if s.idleSince.IsZero() {
		s.idleSince = now
	}
}

// selectToLoad reports whether an engine is selected to load, and records since
// when. It is if it is eligible and has been outdated for its settle time, so that
// any load that began before other VMs saw it outdated has ended.
func (s *engineState) selectToLoad(now time.Time, o Observation, eligible bool) bool {
	if !eligible || s.outdatedSince.IsZero() || now.Sub(s.outdatedSince) < o.settleTime() {
		s.selectedSince = time.Time{}
		return false
	}
	if s.selectedSince.IsZero() {
		s.selectedSince = now
	}
	return true
}

// due reports whether an engine that is selected to load is to be ordered now.
func (r *Orderer) due(now time.Time, o Observation, s *engineState) bool {
	if !o.Held || o.Fence <= s.refusedFence {
		return false
	}
	// The previous holder may have sent an order just before its lease expired, and
	// an engine that ignores fences would also carry it out after ours. An engine
	// that has just loaded, and does not report it yet, would be ordered again,
	// while other VMs see it as up to date and the next one is selected.
	if now.Sub(s.heldSince) < max(o.settleTime(), r.config.Lease) {
		return false
	}
	// An order whose reply was lost may have been accepted, and a second one
	// restarts the load. It is sent only once the first load would have ended and
	// a report read since then shows that it has not taken effect.
	if !s.lastSent.IsZero() && o.ReadAt.Sub(s.lastSent) < o.settleTime()<<min(s.attempts-1, maxBackoffDoublings) {
		return false
	}
	drained := !s.idleSince.IsZero() && now.Sub(s.idleSince) >= minIdle
	return drained || now.Sub(s.selectedSince) >= r.config.DrainTimeout
}
