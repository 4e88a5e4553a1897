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
	// spread is the longest time until all VMs have a manifest, lag by how much
	// reports are late.
	spread = 8 * time.Second
	lag    = time.Second
)

// shown is what an engine serves from a time on.
type shown struct {
	at      time.Time
	version string
}

// engine is one engine of the world.
type engine struct {
	name    string
	pool    string
	fencing bool
	shown   []shown
	next    string
	ready   time.Time // of the load; zero while none
	seen    uint64    // the highest fence
	down    time.Time // until when
	holder  int
	fence   uint64
	from    time.Time // when the claim takes effect
}

// vm is one VM of the world.
type vm struct {
	orderer *orderer.Orderer
	version string
	frozen  time.Time     // until when
	freeze  time.Duration // for how long, once it has decided an order
	pending []orderer.Order
}

// world is a fleet without a network.
type world struct {
	t       *rapid.T
	now     time.Time
	engines []*engine
	vms     []*vm
	version int
	reach   map[int]time.Time // when a VM reads the manifest
	lose    int
	loads   int
	fences  uint64
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, version: 1, reach: make(map[int]time.Time)}
	w.loads = rapid.IntRange(1, 2).Draw(t, "loads")
	for i := range engines {
		w.fences++
		w.engines = append(w.engines, &engine{
			name: fmt.Sprintf("e%d", i), pool: []string{"m", "n"}[i/5], fencing: i%2 == 0,
			shown: []shown{{epoch, "1"}}, holder: i % vms, fence: w.fences,
		})
	}
	for range vms {
		c := config()
		c.MaxLoads = w.loads
		w.vms = append(w.vms, &vm{orderer: orderer.New(c), version: "1"})
	}
	return w
}

func (e *engine) at(t time.Time) string {
	v := e.shown[0].version
	for _, s := range e.shown {
		if !s.at.After(t) {
			v = s.version
		}
	}
	return v
}

func (e *engine) holds(v int, now time.Time) bool { return e.holder == v && !now.Before(e.from) }

// pass lets a step of time pass for engines and VMs, and checks the promises.
func (w *world) pass() {
	w.now = w.now.Add(step)
	for _, e := range w.engines {
		if !e.ready.IsZero() && !w.now.Before(e.ready) {
			e.shown, e.ready = append(e.shown, shown{w.now, e.next}), time.Time{}
		}
	}
	for i, v := range w.vms {
		if w.now.Before(v.frozen) {
			continue
		}
		if at, ok := w.reach[i]; ok && !w.now.Before(at) {
			v.version = fmt.Sprint(w.version)
		}
		// What a VM decided before it froze is what it sends when it wakes.
		if v.pending == nil {
			v.pending = v.orderer.Tick(w.now, w.facts(i, v))
		}
		if v.freeze > 0 && len(v.pending) > 0 {
			w.freeze(i)
			continue
		}
		w.send(i, v)
	}
	w.check()
}

func (w *world) facts(i int, v *vm) []orderer.Observation {
	var facts []orderer.Observation
	for _, e := range w.engines {
		f := orderer.Observation{
			Engine:        orderer.Engine{Name: e.name, Model: e.pool, Version: v.version, MaxLoadTime: load},
			ReportedModel: e.pool, ReportedVersion: e.at(w.now.Add(-lag)), Held: e.holds(i, w.now), Fence: e.fence,
		}
		if !w.now.Before(e.down) {
			f.ReadAt = w.now
		}
		facts = append(facts, f)
	}
	return facts
}

func (w *world) send(i int, v *vm) {
	for _, o := range v.pending {
		e := w.engines[o.Name[1]-'0']
		if !o.Valid(w.now, e.fence, e.holds(i, w.now)) {
			v.orderer.RecordOutcome(o, orderer.Refused)
			continue
		}
		assert.Assert(w.t, e.holds(i, w.now) && o.Fence == e.fence, "%s is ordered under a fence not in force", e.name)
		v.orderer.RecordOutcome(o, w.take(e, o))
	}
	v.pending = nil
}

// take is the engine's side of an order.
func (w *world) take(e *engine, o orderer.Order) orderer.Outcome {
	if w.now.Before(e.down) {
		return orderer.Lost
	}
	if e.fencing && o.Fence < e.seen {
		return orderer.Fenced
	}
	e.seen, e.next, e.ready = max(e.seen, o.Fence), o.Version, w.now.Add(load)
	if w.lose > 0 {
		w.lose--
		return orderer.Lost
	}
	return orderer.Accepted
}

func (w *world) check() {
	all, pools, sizes := 0, map[string]int{}, map[string]int{}
	for _, e := range w.engines {
		sizes[e.pool]++
		if !e.ready.IsZero() {
			all++
			pools[e.pool]++
		}
	}
	assert.Assert(w.t, all <= w.loads, "%d engines load at once", all)
	for pool, n := range pools {
		assert.Assert(w.t, n <= orderer.Out(sizes[pool]), "%d engines of %s load at once", n, pool)
	}
}

// settled says whether all engines serve what was published and nothing is
// under way that could change it.
func (w *world) settled() bool {
	for _, e := range w.engines {
		if e.at(w.now) != fmt.Sprint(w.version) || !e.ready.IsZero() {
			return false
		}
	}
	return true
}

func (w *world) publish() {
	// One publish follows another only once all VMs have read the first.
	for _, at := range w.reach {
		if w.now.Before(at) {
			return
		}
	}
	w.version++
	for i := range vms {
		w.reach[i] = w.now.Add(time.Duration(rapid.IntRange(0, int(spread/step)).Draw(w.t, "spread")) * step)
	}
}

func (w *world) kill(e *engine) {
	e.ready, e.seen = time.Time{}, 0
	e.down = w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(w.t, "down")) * step)
	e.shown = append(e.shown, shown{w.now, "1"})
}

// claim gives an engine to another VM, whose claim takes effect a lease and a
// loan's life later.
func (w *world) claim(e *engine) {
	w.fences++
	e.holder, e.fence, e.from = (e.holder+1)%vms, w.fences, w.now.Add(2*lease)
}

// freeze stops a VM that has decided orders and not sent them. The others
// replace its claims once its lease is over.
func (w *world) freeze(i int) {
	v := w.vms[i]
	v.frozen = w.now.Add(v.freeze)
	for _, e := range w.engines {
		if e.holder == i && v.freeze > lease {
			w.claim(e)
		}
	}
	v.freeze = 0
}

// Engines are killed and come back on their first version, holders change and
// freeze with orders in hand, answers are lost, and manifests follow one
// another. Were more engines to load at once than the bound, all loads would
// crawl at the weight store's rate and the pool would have no engines left;
// were one forgotten, its callers would get an old model's answers.
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
				w.vms[e.holder].freeze = time.Duration(rapid.IntRange(1, 60).Draw(t, "frozen")) * step
			case "lose":
				w.lose++
			}
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				w.pass()
			}
		}
		// After the last fault each engine has its turn within its wait.
		const enough = 20 * 60
		for i := 0; i < enough && !w.settled(); i++ {
			w.pass()
		}
		for _, e := range w.engines {
			assert.Equal(t, e.at(w.now), fmt.Sprint(w.version), "%s", e.name)
		}
	})
}
