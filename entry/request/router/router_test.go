package router_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/request/admitter"
	"github.com/heathervane/heathervane/entry/request/router"
)

// idle is a near engine at home with everything free.
func idle(name string) router.Candidate {
	return router.Candidate{
		Name: name, SameZone: true, Primary: true, FreeSlots: 8, Slots: 8, KVCapacity: memory,
		PrefillRate: prefill, DecodeRate: decode, SpeedRatio: 1,
	}
}

// but is an idle engine with a change.
func but(name string, change func(*router.Candidate)) router.Candidate {
	c := idle(name)
	change(&c)
	return c
}

func TestNewRefusesUnknownPolicy(t *testing.T) {
	_, err := router.New("beast", rand.New(rand.NewPCG(1, 1)))
	assert.ErrorContains(t, err, `no policy "beast"`)
}

// TestBest offers two engines, of which one must always be taken, or none.
func TestBest(t *testing.T) {
	type change = func(*router.Candidate)
	none := func(*router.Candidate) {}
	tests := []struct {
		name    string
		tokens  int
		waited  time.Duration
		a, b    change
		want    string // the engine, or "" for none
		dispute bool   // both are taken now and then
	}{
		{name: "near-equals share", a: none, b: none, dispute: true},
		{name: "a zone away is near-equal", a: func(c *router.Candidate) { c.SameZone = false }, b: none, dispute: true},
		{name: "no slot", a: func(c *router.Candidate) { c.FreeSlots = 0 }, b: none, want: "b"},
		{name: "no memory", a: func(c *router.Candidate) { c.KVUsed = memory - 500 }, b: none, want: "b"},
		{name: "memory of what was sent counts", a: func(c *router.Candidate) { c.UnreportedTokens = memory - 500 }, b: none, want: "b"},
		{name: "no place at all", a: func(c *router.Candidate) { c.FreeSlots = 0 }, b: func(c *router.Candidate) { c.FreeSlots = 0 }},
		{name: "own unread prompts", a: func(c *router.Candidate) { c.OwnPrefillLeft = 2000 }, b: none, want: "b"},
		{name: "waits rather than queue", a: func(c *router.Candidate) { c.OwnPrefillLeft = 2000 }, b: func(c *router.Candidate) { c.OwnPrefillLeft = 2000 }},
		{name: "other zone", a: func(c *router.Candidate) { c.SameZone = false; c.PrefillLeft = 1000 }, b: none, want: "b"},
		{name: "cold", a: func(c *router.Candidate) { c.Cold = true }, b: none, want: "b"},
		{name: "full by its own account", a: func(c *router.Candidate) { c.Running = 8 }, b: none, want: "b"},
		{name: "cached prefix", tokens: 8000, a: none, b: func(c *router.Candidate) { c.PrefixCached = true }, want: "b"},
		{name: "cached prefix is not worth a queue", tokens: 8000, a: none, b: func(c *router.Candidate) { c.PrefixCached = true; c.PrefillLeft = 8000 }, want: "a"},
		{name: "short keeps off the long ones' engine", a: none, b: func(c *router.Candidate) { c.LongOnly = true }, want: "a"},
		{name: "long goes to its engine", tokens: 200_000, a: none, b: func(c *router.Candidate) { c.LongOnly = true }, want: "b"},
		{name: "long waits for its engine", tokens: 200_000, a: none, b: func(c *router.Candidate) { c.LongOnly = true; c.OwnPrefillLeft = 100_000 }},
		{name: "long leaves an engine to short ones", tokens: 200_000, a: func(c *router.Candidate) { c.PrefillLeft = 200_000 }, b: none},
		{name: "all are set apart", a: func(c *router.Candidate) { c.LongOnly = true; c.OwnPrefillLeft = 2000 }, b: func(c *router.Candidate) { c.LongOnly = true }, want: "b"},
		{name: "guest waits at first", a: func(c *router.Candidate) { c.OwnPrefillLeft = 2000 }, b: func(c *router.Candidate) { c.Primary = false; c.Secondary = true }},
		{name: "guest after a while", waited: time.Second, a: func(c *router.Candidate) { c.OwnPrefillLeft = 2000 }, b: func(c *router.Candidate) { c.Primary = false; c.Secondary = true }, want: "b"},
		{name: "guest where work is reported", waited: time.Second, a: func(c *router.Candidate) { c.OwnPrefillLeft = 2000 }, b: func(c *router.Candidate) { c.Primary = false; c.Secondary = true; c.PrefillLeft = 1 }},
		{name: "not the guest", waited: time.Second, a: func(c *router.Candidate) { c.OwnPrefillLeft = 2000 }, b: func(c *router.Candidate) { c.Primary = false }},
		{name: "no home at all", a: func(c *router.Candidate) { c.Primary = false; c.PrefillLeft = 5000 }, b: func(c *router.Candidate) { c.Primary = false }, want: "b"},
		{name: "home is slow and taken", a: func(c *router.Candidate) { c.SpeedRatio = 0.1; c.OwnStreams = 1 }, b: func(c *router.Candidate) { c.Primary = false }, want: "b"},
		{name: "report's work has been read since", a: func(c *router.Candidate) { c.Primary = false; c.PrefillLeft = 5000; c.ReportAge = time.Second }, b: func(c *router.Candidate) { c.Primary = false; c.PrefillLeft = 5000 }, want: "a"},
		{name: "slow with one in progress", a: func(c *router.Candidate) { c.SpeedRatio = 0.1; c.OwnStreams = 1 }, b: func(c *router.Candidate) { c.FreeSlots = 0 }},
		{name: "too slow to end in time", tokens: 40_000, a: func(c *router.Candidate) { c.SpeedRatio = 0.1 }, b: none, want: "b"},
		{name: "plain services by slots taken", a: func(c *router.Candidate) { c.PrefillRate = 0; c.Running = 4 }, b: func(c *router.Candidate) { c.PrefillRate = 0 }, want: "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := router.New(router.Best, rand.New(rand.NewPCG(1, 2)))
			assert.NilError(t, err)
			a := admitter.Request{PromptTokens: max(tt.tokens, 1000), MaxOutput: 100, Arrived: epoch.Add(-tt.waited), Deadline: epoch.Add(20 * time.Second)}
			got := map[string]int{}
			for range 100 {
				cs := []router.Candidate{but("a", tt.a), but("b", tt.b)}
				if i, ok := p.Pick(epoch, a, cs); ok {
					got[cs[i].Name]++
				} else {
					got[""]++
				}
			}
			if tt.dispute {
				assert.Assert(t, got["a"] > 20 && got["b"] > 20, "%v", got)
				return
			}
			assert.DeepEqual(t, got, map[string]int{tt.want: 100})
		})
	}
}

// A slow engine gets a request now and then, or nobody would ever see that it
// has recovered.
func TestProbe(t *testing.T) {
	p, err := router.New(router.Best, rand.New(rand.NewPCG(1, 2)))
	assert.NilError(t, err)
	cs := []router.Candidate{idle("a"), but("b", func(c *router.Candidate) { c.SpeedRatio = 0.1 })}
	a := admitter.Request{PromptTokens: 1000, MaxOutput: 100, Arrived: epoch, Deadline: epoch.Add(time.Minute)}
	probes := 0
	for range 6400 {
		i, ok := p.Pick(epoch, a, cs)
		assert.Assert(t, ok)
		probes += i
	}
	assert.Assert(t, probes > 50 && probes < 200, "%d probes in 6400", probes)
}
