package router_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/request/admitter"
	"github.com/heathervane/heathervane/entry/request/router"
)

// idleEngine returns an engine in the same zone with this VM as its primary and
// everything free.
func idleEngine(name string) router.Candidate {
	return router.Candidate{
		Name: name, SameZone: true, Primary: true, FreeSlots: 8, Slots: 8, KVCapacity: memory,
		PrefillRate: prefill, DecodeRate: decode, SpeedRatio: 1,
	}
}

// engineWith returns an idle engine with a change.
func engineWith(name string, change func(*router.Candidate)) router.Candidate {
	c := idleEngine(name)
	change(&c)
	return c
}

func TestNewRejectsUnknownPolicy(t *testing.T) {
	_, err := router.New("beast", rand.New(rand.NewPCG(1, 1)))
	assert.ErrorContains(t, err, `unknown policy "beast"`)
}

// TestBest offers two engines, of which one must always be chosen, or none.
func TestBest(t *testing.T) {
	type change = func(*router.Candidate)
	none := func(*router.Candidate) {}
	tests := []struct {
		name   string
		tokens int
		waited time.Duration
		a, b   change
		want   string // the engine, or "" for none
		either bool   // both are chosen at times
	}{
		{name: "equal engines are both used", a: none, b: none, either: true},
		{name: "other zone within the tie margin", a: func(c *router.Candidate) { c.SameZone = false }, b: none, either: true},
		{name: "no free slot", a: func(c *router.Candidate) { c.FreeSlots = 0 }, b: none, want: "b"},
		{name: "no memory", a: func(c *router.Candidate) { c.KVUsed = memory - 500 }, b: none, want: "b"},
		{name: "unreported tokens count as memory", a: func(c *router.Candidate) { c.UnreportedTokens = memory - 500 }, b: none, want: "b"},
		{name: "no free slot on either", a: func(c *router.Candidate) { c.FreeSlots = 0 }, b: func(c *router.Candidate) { c.FreeSlots = 0 }},
		{name: "own unread prompts on a", a: func(c *router.Candidate) { c.OwnPrefillLeft = 2000 }, b: none, want: "b"},
		{name: "waits if both have unread prompts", a: func(c *router.Candidate) { c.OwnPrefillLeft = 2000 }, b: func(c *router.Candidate) { c.OwnPrefillLeft = 2000 }},
		{name: "other zone with unread prompts", a: func(c *router.Candidate) { c.SameZone = false; c.PrefillLeft = 1000 }, b: none, want: "b"},
		{name: "cold start", a: func(c *router.Candidate) { c.Cold = true }, b: none, want: "b"},
		{name: "all slots in use as reported", a: func(c *router.Candidate) { c.Running = 8 }, b: none, want: "b"},
		{name: "cached prefix", tokens: 8000, a: none, b: func(c *router.Candidate) { c.PrefixCached = true }, want: "b"},
		{name: "cached prefix does not outweigh a backlog", tokens: 8000, a: none, b: func(c *router.Candidate) { c.PrefixCached = true; c.PrefillLeft = 8000 }, want: "a"},
		{name: "short prompt avoids the reserved engine", a: none, b: func(c *router.Candidate) { c.LongOnly = true }, want: "a"},
		{name: "long prompt goes to the reserved engine", tokens: 200_000, a: none, b: func(c *router.Candidate) { c.LongOnly = true }, want: "b"},
		{name: "long prompt waits for the reserved engine", tokens: 200_000, a: none, b: func(c *router.Candidate) { c.LongOnly = true; c.OwnPrefillLeft = 100_000 }},
		{name: "long prompt leaves an engine to short ones", tokens: 200_000, a: func(c *router.Candidate) { c.PrefillLeft = 200_000 }, b: none},
		{name: "all engines are reserved", a: func(c *router.Candidate) { c.LongOnly = true; c.OwnPrefillLeft = 2000 }, b: func(c *router.Candidate) { c.LongOnly = true }, want: "b"},
		{name: "secondary not used immediately", a: func(c *router.Candidate) { c.OwnPrefillLeft = 2000 }, b: func(c *router.Candidate) { c.Primary = false; c.Secondary = true }},
		{name: "secondary used after a wait", waited: time.Second, a: func(c *router.Candidate) { c.OwnPrefillLeft = 2000 }, b: func(c *router.Candidate) { c.Primary = false; c.Secondary = true }, want: "b"},
		{name: "secondary not used with reported work", waited: time.Second, a: func(c *router.Candidate) { c.OwnPrefillLeft = 2000 }, b: func(c *router.Candidate) { c.Primary = false; c.Secondary = true; c.PrefillLeft = 1 }},
		{name: "neither primary nor secondary", waited: time.Second, a: func(c *router.Candidate) { c.OwnPrefillLeft = 2000 }, b: func(c *router.Candidate) { c.Primary = false }},
		{name: "primary of no engine", a: func(c *router.Candidate) { c.Primary = false; c.PrefillLeft = 5000 }, b: func(c *router.Candidate) { c.Primary = false }, want: "b"},
		{name: "primary engine is slow and in use", a: func(c *router.Candidate) { c.SpeedRatio = 0.1; c.OwnStreams = 1 }, b: func(c *router.Candidate) { c.Primary = false }, want: "b"},
		{name: "reported prompts read since the report", a: func(c *router.Candidate) { c.Primary = false; c.PrefillLeft = 5000; c.ReportAge = time.Second }, b: func(c *router.Candidate) { c.Primary = false; c.PrefillLeft = 5000 }, want: "a"},
		{name: "slow engine with a request in progress", a: func(c *router.Candidate) { c.SpeedRatio = 0.1; c.OwnStreams = 1 }, b: func(c *router.Candidate) { c.FreeSlots = 0 }},
		{name: "too slow to finish in time", tokens: 40_000, a: func(c *router.Candidate) { c.SpeedRatio = 0.1 }, b: none, want: "b"},
		{name: "plain services by slots in use", a: func(c *router.Candidate) { c.PrefillRate = 0; c.Running = 4 }, b: func(c *router.Candidate) { c.PrefillRate = 0 }, want: "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := router.New(router.Best, rand.New(rand.NewPCG(1, 2)))
			assert.NilError(t, err)
			a := admitter.Request{PromptTokens: max(tt.tokens, 1000), MaxOutput: 100, Arrived: epoch.Add(-tt.waited), Deadline: epoch.Add(20 * time.Second)}
			got := map[string]int{}
			for range 100 {
				cs := []router.Candidate{engineWith("a", tt.a), engineWith("b", tt.b)}
				if i, ok := p.Pick(epoch, a, cs); ok {
					got[cs[i].Name]++
				} else {
					got[""]++
				}
			}
			if tt.either {
				assert.Assert(t, got["a"] > 20 && got["b"] > 20, "%v", got)
				return
			}
			assert.DeepEqual(t, got, map[string]int{tt.want: 100})
		})
	}
}

// A slow engine must still receive an occasional request, or its recovery would
// never be noticed.
func TestProbe(t *testing.T) {
	p, err := router.New(router.Best, rand.New(rand.NewPCG(1, 2)))
	assert.NilError(t, err)
	cs := []router.Candidate{idleEngine("a"), engineWith("b", func(c *router.Candidate) { c.SpeedRatio = 0.1 })}
	a := admitter.Request{PromptTokens: 1000, MaxOutput: 100, Arrived: epoch, Deadline: epoch.Add(time.Minute)}
	probes := 0
	for range 6400 {
		i, ok := p.Pick(epoch, a, cs)
		assert.Assert(t, ok)
		probes += i
	}
	assert.Assert(t, probes > 50 && probes < 200, "%d probes in 6400", probes)
}
