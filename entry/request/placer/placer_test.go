package placer_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// engine has the figures of a current engine.
var engine = &matcher.Engine{
	Slots: 16, KVCapacity: 232_000, StepsPerPass: 43, PrefillChunk: 2048,
	StepTime: 1.02, StepTimePerStream: 0.00226, StepTimePerContext: 0.00431, PrefillRate: 206, AttentionTime: 0.138, HopTime: 0.075,
}

var now = time.Unix(1_000_000, 0)

func idle(n int) []placer.Candidate {
	var cs []placer.Candidate
	for i := range n {
		cs = append(cs, placer.Candidate{ID: "e" + strconv.Itoa(i), Slots: 16, Quota: 1 << 20, SameZone: true})
	}
	return cs
}

func short() placer.Request {
	return placer.Request{Prompt: 5000, Output: 3400, MaxPause: 250, Arrived: now, Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(10 * time.Second)}
}

func long(tokens int) placer.Request {
	return placer.Request{Prompt: tokens, Output: 1700, MaxPause: 1000, Arrived: now, Objective: now.Add(2500 * time.Millisecond), Deadline: now.Add(15 * time.Second)}
}

// pauseWeights returns the sum of the pause weights of n short requests.
func pauseWeights(n int) (sum placer.PauseWeights) {
	var l placer.Load
	for range n {
		l.Add(placer.Load{PauseWeights: short().PauseWeights()})
	}
	return l.PauseWeights
}

// place adds the load of a placement as the scheduler does.
func place(cs []placer.Candidate, r placer.Request, p placer.Placement) {
	part := placer.Load{PendingPrefill: p.PrefillTime, Parts: 1}
	main := placer.Load{Streams: 1, ContextTokens: r.Prompt + r.Output, PauseWeights: r.PauseWeights()}
	for _, t := range p.Reservations {
		main.ContextTokens -= t.Tokens
		cs[t.Candidate].Load.ContextTokens += t.Tokens
	}
	cs[p.Main].Load.Add(main)
	if placer.IsShort(engine, r.Prompt) {
		return
	}
	for _, i := range append([]int{p.Main}, p.Helpers...) {
		cs[i].Load.Add(part)
	}
}

// All decisions rest on the model of the engine: one engine needs 1.87 s to prefill
// 133,000 tokens, and each of 17 engines a seventeenth of that.
func TestPrefillTimeGrowsWithPairs(t *testing.T) {
	whole := placer.PrefillTime(engine, 133_000, 1)
	assert.Assert(t, whole > 1860 && whole < 1870, "%v", whole)
	assert.Equal(t, placer.PrefillTime(engine, 133_000, 17), whole/17)
	assert.Equal(t, placer.PrefillTime(engine, 0, 1), 0.0)
	pass := placer.DecodePassTime(engine, 16, 16*6000)
	assert.Assert(t, pass > 60 && pass < 65, "%v", pass)
	assert.Equal(t, placer.DecodePassTime(engine, 0, 0), 0.0)
}

// Short prompts of a burst arrive one after the other. Spread over all engines, they
// would leave none free for long prompts, and each would share passes with a part of
// a long prompt.
func TestBurstOfShortPromptsFillsFewEngines(t *testing.T) {
	cs := idle(20)
	for range 45 {
		p, ok := placer.ChooseEngines(engine, short(), cs, now, placer.OnTime)
		assert.Assert(t, ok)
		assert.Equal(t, len(p.Helpers), 0)
		place(cs, short(), p)
	}
	used := 0
	for i := range cs {
		if cs[i].Load.Streams > 0 {
			used++
		}
		assert.Assert(t, cs[i].Load.Streams <= 13, "fewer than 3 of 16 slots are free")
	}
	assert.Equal(t, used, 4)
}

// Short prompts that arrive at the same moment are prefilled in the same pass and
// get their first token when it ends. Sent to one engine, they would all be late.
func TestSimultaneousShortPromptsSpread(t *testing.T) {
	cs := idle(6)
	for range 18 {
		p, ok := placer.ChooseEngines(engine, short(), cs, now, placer.OnTime)
		assert.Assert(t, ok)
		cs[p.Main].Load.Add(placer.Load{Streams: 1, Starting: 1, PendingPrefill: p.PrefillTime, ContextTokens: 8400, PauseWeights: pauseWeights(1)})
	}
	for i := range cs {
		assert.Assert(t, cs[i].Load.PendingPrefill < 130, "%v", cs[i].Load)
	}
}

// A long prompt takes the engines without streams, so that the streams of short
// requests are not delayed.
func TestLongPromptLeavesShortAnswersAlone(t *testing.T) {
	cs := idle(16)
	for i := range 6 {
		cs[i].Load = placer.Load{Streams: 12, ContextTokens: 100_000, PauseWeights: pauseWeights(12)}
	}
	p, ok := placer.ChooseEngines(engine, long(133_000), cs, now, placer.OnTime)
	assert.Assert(t, ok)
	for _, i := range append([]int{p.Main}, p.Helpers...) {
		assert.Assert(t, i >= 6, "engine %d answers short prompts", i)
	}
	assert.Assert(t, len(p.Helpers) >= 2)
	assert.Assert(t, p.TimeToFirstEvent < 2500)
}

// All engines answer short prompts, and a part of a long prompt would stall their
// streams. The long prompt waits while it has time, is placed when it must start,
// and is not placed once it is late, unless the interference is below the value that
// its answer still has.
func TestLongPromptWaitsThenAcceptsInterference(t *testing.T) {
	cs := idle(16)
	for i := range cs {
		cs[i].Load = placer.Load{Streams: 1, ContextTokens: 8000, PauseWeights: pauseWeights(1)}
	}
	r := long(260_000)
	_, ok := placer.ChooseEngines(engine, r, cs, now, placer.OnTime)
	assert.Assert(t, !ok)
	p, ok := placer.ChooseEngines(engine, r, cs, now.Add(1500*time.Millisecond), placer.OnTime)
	assert.Assert(t, ok)
	assert.Assert(t, p.TimeToFirstEvent < 1000)
	for i := range cs {
		cs[i].Load = placer.Load{Streams: 14, ContextTokens: 110_000, PauseWeights: pauseWeights(14)}
	}
	_, ok = placer.ChooseEngines(engine, r, cs, now.Add(1500*time.Millisecond), placer.OnTime)
	assert.Assert(t, !ok, "placed, though it delays 200 streams for one request")
	_, ok = placer.ChooseEngines(engine, r, cs, now.Add(9*time.Second), placer.LastChance)
	assert.Assert(t, !ok)
}

// A burst has put streams on every engine, and no engine becomes free. If a long
// prompt waited for a free one until its last moment, it would need all engines and
// be late. While there is time it takes a few engines and delays their streams, but
// not at once, as an engine may still become free.
func TestLongPromptAcceptsMoreInterferenceOverTime(t *testing.T) {
	cs := idle(16)
	for i := range cs {
		cs[i].Load = placer.Load{Streams: 3, ContextTokens: 24_000, PauseWeights: pauseWeights(3)}
	}
	r := long(133_000)
	_, ok := placer.ChooseEngines(engine, r, cs, now.Add(100*time.Millisecond), placer.OnTime)
	assert.Assert(t, !ok)
	p, ok := placer.ChooseEngines(engine, r, cs, now.Add(1300*time.Millisecond), placer.OnTime)
	assert.Assert(t, ok)
	assert.Assert(t, len(p.Helpers) == 1 && p.TimeToFirstEvent < 1200, "%+v", p)
	late := long(133_000)
	late.Objective = now.Add(600 * time.Millisecond)
	_, ok = placer.ChooseEngines(engine, late, cs, now.Add(550*time.Millisecond), placer.OnTime)
	assert.Assert(t, !ok, "placed with interference, though it would be late")
}

// Parts of two groups at the same engines are prefilled alternately, so that both
// prompts finish later than one after the other.
func TestPartsDoNotShareEnginesWhileThereIsTime(t *testing.T) {
	cs := idle(8)
	first, ok := placer.ChooseEngines(engine, long(133_000), cs, now, placer.OnTime)
	assert.Assert(t, ok)
	place(cs, long(133_000), first)
	second, ok := placer.ChooseEngines(engine, long(133_000), cs, now, placer.OnTime)
	if !ok {
		return
	}
	for _, i := range append([]int{second.Main}, second.Helpers...) {
		assert.Assert(t, i != first.Main && !slices.Contains(first.Helpers, i))
	}
}

// If a late prompt takes the last free engines when a burst begins, dozens of short
// prompts that arrive in the next second are late.
func TestLatePromptLeavesSlotsForShortPrompts(t *testing.T) {
	cs := idle(8)
	for i := range 6 {
		cs[i].Load = placer.Load{Streams: 15, ContextTokens: 120_000, PauseWeights: pauseWeights(15)}
	}
	r := long(133_000)
	r.Objective = now.Add(-time.Second)
	_, ok := placer.ChooseEngines(engine, r, cs, now, placer.Late)
	assert.Assert(t, !ok)
	_, ok = placer.ChooseEngines(engine, r, append(cs[5:], idle(4)...), now, placer.Late)
	assert.Assert(t, ok, "not placed, though few streams run")
}

// No engine has the memory for a prompt of 600,000 tokens. What the main engine
// lacks is reserved at others, all of it or nothing.
func TestPromptLargerThanOneEngineIsSpread(t *testing.T) {
	r := long(600_000)
	p, ok := placer.ChooseEngines(engine, r, idle(16), now, placer.LastChance)
	assert.Assert(t, ok)
	reserved := 0
	for _, reservation := range p.Reservations {
		reserved += reservation.Tokens
		assert.Assert(t, reservation.Tokens <= engine.KVCapacity)
		assert.Assert(t, slices.Contains(p.Helpers, reservation.Candidate))
	}
	assert.Assert(t, r.Prompt+r.Output-reserved <= engine.KVCapacity)
	for i, reservation := range p.Reservations {
		assert.Equal(t, p.Helpers[i], reservation.Candidate, "helpers with reservations must come first, in the same order")
	}
	_, ok = placer.ChooseEngines(engine, r, idle(2), now, placer.LastChance)
	assert.Assert(t, !ok)
}

// An upstream that has failed the request, cannot be reached, is full or has no
// quota left must not get the request while another may.
func TestUnusableUpstreamsAreLeftOut(t *testing.T) {
	cs := idle(5)
	cs[0].Quota = 0
	cs[1].Unreachable = true
	cs[2].Load = placer.Load{Streams: 16, ContextTokens: 1000, PauseWeights: pauseWeights(16)}
	r := short()
	r.Tried = []string{"e3"}
	p, ok := placer.ChooseEngines(engine, r, cs, now, placer.OnTime)
	assert.Assert(t, ok)
	assert.Equal(t, p.Main, 4)
	p, ok = placer.ChoosePlain(r, cs)
	assert.Assert(t, ok)
	assert.Equal(t, p.Main, 4)
	_, ok = placer.ChooseEngines(engine, r, cs[:1], now, placer.LastChance)
	assert.Assert(t, !ok)
	_, ok = placer.ChoosePlain(r, cs[2:3])
	assert.Assert(t, !ok)
}

// One engine fails two requests in five, but answers the others and its health
// check. Failed requests end early, so that it has fewer streams than the rest; if
// failures were ignored, it would get the most requests.
func TestFailingEngineGetsFewRequests(t *testing.T) {
	cs := idle(4)
	cs[0].Failed, cs[0].Answered = 4, 6
	for i := 1; i < 4; i++ {
		cs[i].Load = placer.Load{Streams: 4, ContextTokens: 30_000, PauseWeights: pauseWeights(4)}
		cs[i].Answered = 10
	}
	for range 24 {
		p, ok := placer.ChooseEngines(engine, short(), cs, now, placer.OnTime)
		assert.Assert(t, ok)
		assert.Assert(t, p.Main != 0)
		place(cs, short(), p)
	}
	// A few failures among many answers are normal for any service, and no
	// reason to prefer an upstream with more load.
	cs = idle(2)
	cs[0].Failed, cs[0].Answered = 0.5, 60
	cs[1].Load = placer.Load{Streams: 3, PauseWeights: pauseWeights(3)}
	p, ok := placer.ChoosePlain(short(), cs)
	assert.Assert(t, ok)
	assert.Equal(t, p.Main, 0)
}

// Whatever the load, a placement names each engine at most once, only engines that
// may take the request, at most MaxHelpers helpers, and no more memory than there is.
func TestPlacementsAreAlwaysPossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := idle(rapid.IntRange(0, 24).Draw(t, "engines"))
		for i := range cs {
			streams := rapid.IntRange(0, 20).Draw(t, "streams")
			cs[i].Load = placer.Load{
				Streams: streams, ContextTokens: rapid.IntRange(0, 250_000).Draw(t, "context"),
				PendingPrefill: rapid.Float64Range(0, 2000).Draw(t, "pending prefill"), PauseWeights: pauseWeights(streams),
				Parts: rapid.IntRange(0, 2).Draw(t, "parts"),
			}
			cs[i].Quota = rapid.IntRange(0, 2).Draw(t, "quota")
		}
		r := long(rapid.IntRange(1, 700_000).Draw(t, "prompt"))
		at := now.Add(time.Duration(rapid.IntRange(0, 14_000).Draw(t, "waited")) * time.Millisecond)
		p, ok := placer.ChooseEngines(engine, r, cs, at, placer.Urgency(rapid.IntRange(0, 3).Draw(t, "urgency")))
		if !ok {
			return
		}
		seen := map[int]bool{}
		for _, i := range append([]int{p.Main}, p.Helpers...) {
			if seen[i] || cs[i].Quota < 1 {
				t.Fatalf("engine %d in %+v", i, p)
			}
			seen[i] = true
		}
		if len(p.Helpers) > placer.MaxHelpers {
			t.Fatalf("%d helpers", len(p.Helpers))
		}
		need := r.Prompt + r.Output
		for _, reservation := range p.Reservations {
			need -= reservation.Tokens
			if cs[reservation.Candidate].Load.ContextTokens+reservation.Tokens > engine.KVCapacity {
				t.Fatalf("%+v has too little memory for its reservation", cs[reservation.Candidate])
			}
		}
		if cs[p.Main].Load.ContextTokens+need > engine.KVCapacity {
			t.Fatalf("the main engine has no memory for %d tokens", need)
		}
	})
}

// Six engines are idle and the others answer short prompts. Eight engines would
// prefill a late prompt soonest, but delay other streams. It must take the six idle
// ones instead of waiting until it is too late.
func TestLatePromptTakesTheIdleEngines(t *testing.T) {
	cs := idle(16)
	for i := range 10 {
		cs[i].Load = placer.Load{Streams: 3, ContextTokens: 25_000, PauseWeights: pauseWeights(3)}
	}
	p, ok := placer.ChooseEngines(engine, long(374_000), cs, now.Add(4*time.Second), placer.Late)
	assert.Assert(t, ok)
	for _, i := range append([]int{p.Main}, p.Helpers...) {
		assert.Assert(t, i >= 10, "engine %d answers short prompts", i)
	}
}

// Callers tolerate different pauses, and their prompts differ in length. A part of a
// prompt delays those streams whose callers tolerate less than its pass, each by its
// weight, and no others; streams that have ended leave nothing behind.
func TestInterferenceDependsOnToleratedPauses(t *testing.T) {
	load := func(pause float64, prompt, n int) (l placer.Load) {
		for range n {
			l.Add(placer.Load{Streams: 1, ContextTokens: prompt, PauseWeights: placer.Request{Prompt: prompt, MaxPause: pause}.PauseWeights()})
		}
		return l
	}
	for _, tt := range []struct {
		name  string
		load  placer.Load
		place bool
	}{
		{"callers who tolerate 200 ms", load(200, 5000, 10), false},
		{"callers who tolerate 800 ms", load(800, 5000, 10), true},
		{"callers who tolerate less than any bucket", load(20, 5000, 10), false},
		{"one short request that tolerates 1,500 ms", load(1500, 1000, 1), true},
		{"one long request that tolerates 200 ms", load(200, 300_000, 1), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cs := idle(1)
			cs[0].Load = tt.load
			r := long(45_000)
			_, ok := placer.ChooseEngines(engine, r, cs, now, placer.OnTime)
			assert.Equal(t, ok, tt.place)
			cs[0].Load.Sub(tt.load)
			assert.Equal(t, cs[0].Load, placer.Load{})
		})
	}
}

// Two engines are free, but a late prompt's caller would hang up before they have
// prefilled it. If it were placed all the same, the engines would be blocked for
// prompts whose callers still wait.
func TestPromptIsNotPlacedAfterCallerTimeout(t *testing.T) {
	r := long(300_000)
	r.CallerTimeout = now.Add(12 * time.Second)
	_, ok := placer.ChooseEngines(engine, r, idle(2), now.Add(9*time.Second), placer.LastChance)
	assert.Assert(t, !ok)
	_, ok = placer.ChooseEngines(engine, r, idle(2), now.Add(6*time.Second), placer.LastChance)
	assert.Assert(t, ok, "not placed, though a prefill of four seconds ends before the caller timeout")
	_, ok = placer.ChooseEngines(engine, r, idle(12), now.Add(9*time.Second), placer.LastChance)
	assert.Assert(t, ok, "not placed, though more engines need only a second")
}
