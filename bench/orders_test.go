package main_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/starter"
	"github.com/heathervane/heathervane/library/checker"
)

// loadTime is how long the engines of the bench take to load a model.
const loadTime = 2 * time.Second

// A new version goes round in three steps whose times the orderer and its server
// state: engines are looked at every look while nothing is to do, an engine must be
// seen to be wrong for its loading time and 14 s more, and then each takes a turn,
// of 2 s without work, 2 s until a reading counts, a tick of a second and its load.
const (
	look     = 15 * time.Second
	settling = loadTime + 14*time.Second
	turn     = 5*time.Second + loadTime
)

// roundTime is twice what all engines take at most.
func (b *bench) roundTime() time.Duration {
	return 2 * (look + settling + time.Duration(len(b.Engines))*turn)
}

// A change is when an engine began to serve a new version: between the begin of
// the last look that showed the old one, less the report's lag, and the end of
// the first that showed the new one.
type change struct {
	name         string
	after, until time.Time
}

// changes looks at the engines until all serve a version.
func (b *bench) changes(version string) []change {
	b.t.Helper()
	old := make(map[string]time.Time)
	var list []change
	b.within(b.roundTime(), "all engines serve the new version", func() (bool, error) {
		for _, p := range b.Engines {
			if slices.ContainsFunc(list, func(c change) bool { return c.name == p.Name }) {
				continue
			}
			began := time.Now()
			load, err := starter.LoadOf(b.ctx, p)
			if err != nil {
				return false, err
			}
			if load.Version == version {
				list = append(list, change{p.Name, old[p.Name], time.Now()})
			} else {
				old[p.Name] = began.Add(-b.Size.Lag)
			}
		}
		return len(list) == len(b.Engines), nil
	})
	return list
}

// An operator publishes a new version of the model. If all engines loaded it at
// once, callers would have no engine and the weight store would be overrun; if
// an engine were forgotten, callers would get the old model's answers. So the
// engines change one after another, and every question is answered whole.
func TestNewVersionOfAModelIsLoadedOneByOneUnderQuestions(t *testing.T) {
	b := start(t, func(s *starter.Size) { s.Load, s.Cold = loadTime, s.Slots })
	b.publishLoaded("2")

	stop, asked := make(chan struct{}), make(chan int)
	go func() {
		n := 0
		defer func() { asked <- n }()
		for {
			select {
			case <-stop:
				return
			default:
			}
			for _, vm := range b.VMs {
				for _, q := range b.askAll(vm, 2, 50) {
					b.whole(q)
					n++
				}
			}
		}
	}()
	list := b.changes("2")
	close(stop)
	t.Logf("%d questions", <-asked)
	b.apart(list)
}

// While a new version goes round, the engines' answers to orders are lost and a
// VM dies that holds engines. An operator would find engines on the old version
// for ever, or, were orders repeated blindly, several loading at once.
func TestNewVersionGoesRoundThoughAnswersAreLostAndAVMDies(t *testing.T) {
	b := start(t, func(s *starter.Size) { s.Load = loadTime })
	b.publishLoaded("2")
	b.faults(starter.Faults{Lose: 1}, b.Engines...)
	vm := b.VMs[0]
	assert.NilError(t, vm.Kill())
	assert.NilError(t, b.Deregister(b.ctx, vm))
	b.apart(b.changes("2"))
}

// publishLoaded publishes a version of the model, to be loaded one at a time.
func (b *bench) publishLoaded(version string) {
	b.t.Helper()
	m := b.Manifest()
	model := m.Models[b.Size.Model]
	model.Version, model.Load = version, checker.Duration(loadTime)
	m.Models[b.Size.Model], m.Loads = model, 1
	path, err := b.WriteManifest("version.toml", m)
	assert.NilError(b.t, err)
	b.operate("publish", path)
}

// apart checks that no two engines loaded at once.
func (b *bench) apart(list []change) {
	b.t.Helper()
	slices.SortFunc(list, func(x, y change) int { return x.until.Compare(y.until) })
	for i, c := range list[1:] {
		most := c.until.Sub(list[i].after)
		b.t.Logf("%s at most %s after %s", c.name, most, list[i].name)
		assert.Check(b.t, most >= loadTime, "%s and %s loaded at once", list[i].name, c.name)
	}
}
