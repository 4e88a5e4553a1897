package orderer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/orderer"
)

const (
	vms     = 3
	engines = 8
	// maxManifestDelay is the longest time until all VMs have read a manifest.
	maxManifestDelay = 8 * time.Second
	// reportLag is by how much reports are late.
	reportLag = time.Second
)

// servedVersion is the version that an engine serves from a time on.
type servedVersion struct {
	from    time.Time
	version string
}

// engine simulates an engine.
type engine struct {
	name         string
	pool         string
	fencing      bool // it refuses orders with a lower fence than it has seen
	served       []servedVersion
	loading      string    // the version that it loads
	loadedAt     time.Time // when the load ends; zero while there is none
	highestFence uint64    // the highest fence that it has seen
	downUntil    time.Time
	holder       int
	fence        uint64
	heldFrom     time.Time // when the holder's claim takes effect
}

// vm simulates a VM.
type vm struct {
	orderer     *orderer.Orderer
	version     string
	frozenUntil time.Time
	freezeFor   time.Duration // for how long it freezes once it has decided an order
	pending     []orderer.Order
}

// world simulates a fleet without a network.
type world struct {
	t           *rapid.T
	now         time.Time
	engines     []*engine
	vms         []*vm
	version     int
	manifestAt  map[int]time.Time // when each VM reads the manifest
	lostReplies int               // how many of the next replies are lost
	maxLoads    int
	lastFence   uint64
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, version: 1, manifestAt: make(map[int]time.Time)}
	w.maxLoads = rapid.IntRange(1, 2).Draw(t, "loads")
	for i := range engines {
		w.lastFence++
		w.engines = append(w.engines, &engine{
			name: fmt.Sprintf("e%d", i), pool: []string{"m", "n"}[i/5], fencing: i%2 == 0,
			served: []servedVersion{{epoch, "1"}}, holder: i % vms, fence: w.lastFence,
		})
	}
	for range vms {
		c := config()
		c.MaxLoads = w.maxLoads
		w.vms = append(w.vms, &vm{orderer: orderer.New(c), version: "1"})
	}
	return w
}

func (e *engine) versionAt(t time.Time) string {
	v := e.served[0].version
	for _, s := range e.served {
		if !s.from.After(t) {
			v = s.version
		}
	}
	return v
}

func (e *engine) holds(v int, now time.Time) bool { return e.holder == v && !now.Before(e.heldFrom) }

// advance advances the engines and VMs by one step and checks the invariants.
func (w *world) advance() {
	w.now = w.now.Add(step)
	for _, e := range w.engines {
		if !e.loadedAt.IsZero() && !w.now.Before(e.loadedAt) {
			e.served, e.loadedAt = append(e.served, servedVersion{w.now, e.loading}), time.Time{}
		}
	}
	for i, v := range w.vms {
		if w.now.Before(v.frozenUntil) {
			continue
		}
		if at, ok := w.manifestAt[i]; ok && !w.now.Before(at) {
			v.version = fmt.Sprint(w.version)
		}
		// A VM that was frozen sends the orders that it decided before.
		if v.pending == nil {
			v.pending = v.orderer.Tick(w.now, w.observe(i, v))
		}
		if v.freezeFor > 0 && len(v.pending) > 0 {
			w.freeze(i)
			continue
		}
		w.send(i, v)
	}
	w.checkBounds()
}

func (w *world) observe(i int, v *vm) []orderer.Observation {
	var observations []orderer.Observation
	for _, e := range w.engines {
		o := orderer.Observation{
			Engine:        orderer.Engine{Name: e.name, Model: e.pool, Version: v.version, MaxLoadTime: load},
			ReportedModel: e.pool, ReportedVersion: e.versionAt(w.now.Add(-reportLag)), Held: e.holds(i, w.now), Fence: e.fence,
		}
		if !w.now.Before(e.downUntil) {
			o.ReadAt = w.now
		}
		observations = append(observations, o)
	}
	return observations
}

func (w *world) send(i int, v *vm) {
	for _, o := range v.pending {
		e := w.engines[o.Name[1]-'0']
		if !o.Valid(w.now, e.fence, e.holds(i, w.now)) {
			v.orderer.RecordOutcome(o, orderer.Refused)
			continue
		}
		assert.Assert(w.t, e.holds(i, w.now) && o.Fence == e.fence, "%s is ordered under a fence that is not in force", e.name)
		v.orderer.RecordOutcome(o, w.deliver(e, o))
	}
	v.pending = nil
}

// deliver simulates how an engine handles an order.
func (w *world) deliver(e *engine, o orderer.Order) orderer.Outcome {
	if w.now.Before(e.downUntil) {
		return orderer.Lost
	}
	if e.fencing && o.Fence < e.highestFence {
		return orderer.Fenced
	}
	e.highestFence, e.loading, e.loadedAt = max(e.highestFence, o.Fence), o.Version, w.now.Add(load)
	if w.lostReplies > 0 {
		w.lostReplies--
		return orderer.Lost
	}
	return orderer.Accepted
}

func (w *world) checkBounds() {
	all, loadsInPool, poolSizes := 0, map[string]int{}, map[string]int{}
	for _, e := range w.engines {
		poolSizes[e.pool]++
		if !e.loadedAt.IsZero() {
			all++
			loadsInPool[e.pool]++
		}
	}
	assert.Assert(w.t, all <= w.maxLoads, "%d engines load at once", all)
	for pool, n := range loadsInPool {
		assert.Assert(w.t, n <= orderer.MaxUnavailable(poolSizes[pool]), "%d engines of %s load at once", n, pool)
	}
}

// converged reports whether all engines serve the published version and none is
// loading.
func (w *world) converged() bool {
	for _, e := range w.engines {
		if e.versionAt(w.now) != fmt.Sprint(w.version) || !e.loadedAt.IsZero() {
			return false
		}
	}
	return true
}

func (w *world) publish() {
	// A manifest is published only once all VMs have read the one before.
	for _, at := range w.manifestAt {
		if w.now.Before(at) {
			return
		}
	}
	w.version++
	for i := range vms {
		w.manifestAt[i] = w.now.Add(time.Duration(rapid.IntRange(0, int(maxManifestDelay/step)).Draw(w.t, "spread")) * step)
	}
}

func (w *world) kill(e *engine) {
	e.loadedAt, e.highestFence = time.Time{}, 0
	e.downUntil = w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(w.t, "down")) * step)
	e.served = append(e.served, servedVersion{w.now, "1"})
}

// claim gives an engine to another VM. The claim takes effect after a lease and the
// lifetime of a loan.
func (w *world) claim(e *engine) {
	w.lastFence++
	e.holder, e.fence, e.heldFrom = (e.holder+1)%vms, w.lastFence, w.now.Add(2*lease)
}

// freeze stops a VM that has decided orders and not sent them. Other VMs take over
// its engines if it is frozen for longer than its lease.
func (w *world) freeze(i int) {
	v := w.vms[i]
	v.frozenUntil = w.now.Add(v.freezeFor)
	for _, e := range w.engines {
		if e.holder == i && v.freezeFor > lease {
			w.claim(e)
		}
	}
	v.freezeFor = 0
}

// Engines are killed and restart on their first version, holders change or freeze
// with unsent orders, replies are lost, and manifests follow one another. If more
// engines loaded at once than the bounds allow, the rate limit of the weight store
// would slow all loads down and the pool would have no engines left. If an engine
// were missed, its callers would get answers from an old model.
func TestFleetKeepsItsBoundsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(5, 40).Draw(t, "faults") {
			e := w.engines[rapid.IntRange(0, engines-1).Draw(t, "engine")]
			switch rapid.SampledFrom([]string{"publish", "kill", "claim", "freeze", "lose"}).Draw(t, "fault") {
			case "publish":
				w.publish()
			case "kill":
				w.kill(e)
			case "claim":
				w.claim(e)
			case "freeze":
				w.vms[e.holder].freezeFor = time.Duration(rapid.IntRange(1, 60).Draw(t, "frozen")) * step
			case "lose":
				w.lostReplies++
			}
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				w.advance()
			}
		}
		// After the last fault each engine is ordered within its wait.
		const maxSteps = 20 * 60
		for i := 0; i < maxSteps && !w.converged(); i++ {
			w.advance()
		}
		for _, e := range w.engines {
			assert.Equal(t, e.versionAt(w.now), fmt.Sprint(w.version), "%s", e.name)
		}
	})
}
