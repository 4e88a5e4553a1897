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

// engine has the figures of today's engines.
var engine = &matcher.Engine{
	Slots: 16, Memory: 232_000, Stride: 43, Chunk: 2048,
	Step: 1.02, PerStream: 0.00226, PerContext: 0.00431, ReadRate: 206, Pairs: 0.138, Hop: 0.075,
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

// stakes are those of so many short answers.
func stakes(n int) (sum placer.PauseWeights) {
	var l placer.Load
	for range n {
		l.Add(placer.Load{PauseWeights: short().PauseWeights()})
	}
	return l.PauseWeights
}

// place books a choice as the scheduler does.
func place(cs []placer.Candidate, a placer.Request, c placer.Placement) {
	part := placer.Load{PendingPrefill: c.PrefillTime, Parts: 1}
	main := placer.Load{Streams: 1, ContextTokens: a.Prompt + a.Output, PauseWeights: a.PauseWeights()}
	for _, t := range c.Reservations {
		main.ContextTokens -= t.Tokens
		cs[t.Candidate].Load.ContextTokens += t.Tokens
	}
	cs[c.Main].Load.Add(main)
	if placer.IsShort(engine, a.Prompt) {
		return
	}
	for _, i := range append([]int{c.Main}, c.Helpers...) {
		cs[i].Load.Add(part)
	}
}

// The model is what decisions rest on: a prompt of 133,000 tokens takes an
// engine 1.87 s, and 17 engines a seventeenth of that each.
func TestReadingTimeGrowsWithPairs(t *testing.T) {
	whole := placer.PrefillTime(engine, 133_000, 1)
	assert.Assert(t, whole > 1860 && whole < 1870, "%v", whole)
	assert.Equal(t, placer.PrefillTime(engine, 133_000, 17), whole/17)
	assert.Equal(t, placer.PrefillTime(engine, 0, 1), 0.0)
	pass := placer.DecodePassTime(engine, 16, 16*6000)
	assert.Assert(t, pass > 60 && pass < 65, "%v", pass)
	assert.Equal(t, placer.DecodePassTime(engine, 0, 0), 0.0)
}

// A burst of short prompts comes one after the other. Spread over all engines
// they would be everywhere in the way of long ones, and each would meet a part
// of a long prompt in its passes.
func TestBurstOfShortPromptsFillsFewEngines(t *testing.T) {
	cs := idle(20)
	for range 45 {
		c, ok := placer.ChooseEngines(engine, short(), cs, now, placer.OnTime)
		assert.Assert(t, ok)
		assert.Equal(t, len(c.Helpers), 0)
		place(cs, short(), c)
	}
	used := 0
	for i := range cs {
		if cs[i].Load.Streams > 0 {
			used++
		}
		assert.Assert(t, cs[i].Load.Streams <= 13, "a fifth of the slots is left")
	}
	assert.Equal(t, used, 4)
}

// Short prompts that come in the same moment are read in the same pass, and all
// get their first token at its end. Sent to one engine they would all be late.
func TestShortPromptsOfOneMomentSpread(t *testing.T) {
	cs := idle(6)
	for range 18 {
		c, ok := placer.ChooseEngines(engine, short(), cs, now, placer.OnTime)
		assert.Assert(t, ok)
		cs[c.Main].Load.Add(placer.Load{Streams: 1, Starting: 1, PendingPrefill: c.PrefillTime, ContextTokens: 8400, PauseWeights: stakes(1)})
	}
	for i := range cs {
		assert.Assert(t, cs[i].Load.PendingPrefill < 130, "%v", cs[i].Load)
	}
}

// A long prompt that comes beside short answers takes the engines where none
// runs; their streams keep their pace.
func TestLongPromptLeavesShortAnswersAlone(t *testing.T) {
	cs := idle(16)
	for i := range 6 {
		cs[i].Load = placer.Load{Streams: 12, ContextTokens: 100_000, PauseWeights: stakes(12)}
	}
	c, ok := placer.ChooseEngines(engine, long(133_000), cs, now, placer.OnTime)
	assert.Assert(t, ok)
	for _, i := range append([]int{c.Main}, c.Helpers...) {
		assert.Assert(t, i >= 6, "engine %d answers short prompts", i)
	}
	assert.Assert(t, len(c.Helpers) >= 2)
	assert.Assert(t, c.TimeToFirstEvent < 2500)
}

// All engines answer short prompts and a part would stop their streams: a long
// prompt waits while it has time, goes where it must begin now, and waits again
// when it is late already, unless the interference is below what is left of its use.
func TestLongPromptWaitsForEnginesAndThenPresses(t *testing.T) {
	cs := idle(16)
	for i := range cs {
		cs[i].Load = placer.Load{Streams: 1, ContextTokens: 8000, PauseWeights: stakes(1)}
	}
	a := long(260_000)
	_, ok := placer.ChooseEngines(engine, a, cs, now, placer.OnTime)
	assert.Assert(t, !ok)
	c, ok := placer.ChooseEngines(engine, a, cs, now.Add(1500*time.Millisecond), placer.OnTime)
	assert.Assert(t, ok)
	assert.Assert(t, c.TimeToFirstEvent < 1000)
	for i := range cs {
		cs[i].Load = placer.Load{Streams: 14, ContextTokens: 110_000, PauseWeights: stakes(14)}
	}
	_, ok = placer.ChooseEngines(engine, a, cs, now.Add(1500*time.Millisecond), placer.OnTime)
	assert.Assert(t, !ok, "it would make 200 answers late for one")
	_, ok = placer.ChooseEngines(engine, a, cs, now.Add(9*time.Second), placer.LastChance)
	assert.Assert(t, !ok)
}

// A burst has put an answer on every engine, and none comes free. A long prompt
// that waited for a free one until its last moment would need all engines then,
// and be late. It takes a few whose streams it disturbs while there is time, and not
// at once, as an engine may still come free.
func TestLongPromptBearsMoreHarmAsItsTimePasses(t *testing.T) {
	cs := idle(16)
	for i := range cs {
		cs[i].Load = placer.Load{Streams: 3, ContextTokens: 24_000, PauseWeights: stakes(3)}
	}
	a := long(133_000)
	_, ok := placer.ChooseEngines(engine, a, cs, now.Add(100*time.Millisecond), placer.OnTime)
	assert.Assert(t, !ok)
	c, ok := placer.ChooseEngines(engine, a, cs, now.Add(1300*time.Millisecond), placer.OnTime)
	assert.Assert(t, ok)
	assert.Assert(t, len(c.Helpers) == 1 && c.TimeToFirstEvent < 1200, "%+v", c)
	late := long(133_000)
	late.Objective = now.Add(600 * time.Millisecond)
	_, ok = placer.ChooseEngines(engine, late, cs, now.Add(550*time.Millisecond), placer.OnTime)
	assert.Assert(t, !ok, "interference that does not bring it in time is for nothing")
}

// A second group on the same engines is read by turns with the first: both are
// read later than one after the other.
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

// A late prompt that takes the last free engines at the beginning of a burst
// makes dozens of short answers late that come in the next second.
func TestLatePromptLeavesRoomForShortOnes(t *testing.T) {
	cs := idle(8)
	for i := range 6 {
		cs[i].Load = placer.Load{Streams: 15, ContextTokens: 120_000, PauseWeights: stakes(15)}
	}
	a := long(133_000)
	a.Objective = now.Add(-time.Second)
	_, ok := placer.ChooseEngines(engine, a, cs, now, placer.Late)
	assert.Assert(t, !ok)
	_, ok = placer.ChooseEngines(engine, a, append(cs[5:], idle(4)...), now, placer.Late)
	assert.Assert(t, ok, "with few short answers there is room")
}

// No engine has the memory of a prompt of 600,000 tokens. What the first has no
// room for is set aside at others, all of it or nothing.
func TestPromptAboveOneMemoryIsSpread(t *testing.T) {
	a := long(600_000)
	c, ok := placer.ChooseEngines(engine, a, idle(16), now, placer.LastChance)
	assert.Assert(t, ok)
	aside := 0
	for _, ticket := range c.Reservations {
		aside += ticket.Tokens
		assert.Assert(t, ticket.Tokens <= engine.Memory)
		assert.Assert(t, slices.Contains(c.Helpers, ticket.Candidate))
	}
	assert.Assert(t, a.Prompt+a.Output-aside <= engine.Memory)
	for i, ticket := range c.Reservations {
		assert.Equal(t, c.Helpers[i], ticket.Candidate, "those with memory come first, in order")
	}
	_, ok = placer.ChooseEngines(engine, a, idle(2), now, placer.LastChance)
	assert.Assert(t, !ok)
}

// An engine that has just failed the request, cannot be reached, is full or may
// get nothing more this second must not get it while another may.
func TestUpstreamsThatMayNotAreLeftOut(t *testing.T) {
	cs := idle(5)
	cs[0].Quota = 0
	cs[1].Unreachable = true
	cs[2].Load = placer.Load{Streams: 16, ContextTokens: 1000, PauseWeights: stakes(16)}
	a := short()
	a.Tried = []string{"e3"}
	c, ok := placer.ChooseEngines(engine, a, cs, now, placer.OnTime)
	assert.Assert(t, ok)
	assert.Equal(t, c.Main, 4)
	c, ok = placer.ChoosePlain(a, cs)
	assert.Assert(t, ok)
	assert.Equal(t, c.Main, 4)
	_, ok = placer.ChooseEngines(engine, a, cs[:1], now, placer.LastChance)
	assert.Assert(t, !ok)
	_, ok = placer.ChoosePlain(a, cs[2:3])
	assert.Assert(t, !ok)
}

// One engine fails two requests in five while it answers the others and its
// health check. It has fewer streams than the rest, since what fails ends soon,
// and without a look at the failures it is the emptiest and gets the most.
func TestEngineThatFailsAPartGetsLittle(t *testing.T) {
	cs := idle(4)
	cs[0].Failed, cs[0].Answered = 4, 6
	for i := 1; i < 4; i++ {
		cs[i].Load = placer.Load{Streams: 4, ContextTokens: 30_000, PauseWeights: stakes(4)}
		cs[i].Answered = 10
	}
	for range 24 {
		c, ok := placer.ChooseEngines(engine, short(), cs, now, placer.OnTime)
		assert.Assert(t, ok)
		assert.Assert(t, c.Main != 0)
		place(cs, short(), c)
	}
	// Failures among many answers, as any service has them, are no reason to
	// leave an upstream to the others' cost.
	cs = idle(2)
	cs[0].Failed, cs[0].Answered = 0.5, 60
	cs[1].Load = placer.Load{Streams: 3, PauseWeights: stakes(3)}
	c, ok := placer.ChoosePlain(short(), cs)
	assert.Assert(t, ok)
	assert.Equal(t, c.Main, 0)
}

// Whatever the load, a choice names engines that may take it, each once, no more
// helpers than engines allow, and never more memory than there is.
func TestChoicesAreAlwaysPossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := idle(rapid.IntRange(0, 24).Draw(t, "engines"))
		for i := range cs {
			tight := rapid.IntRange(0, 20).Draw(t, "tight")
			cs[i].Load = placer.Load{
				Streams: tight, ContextTokens: rapid.IntRange(0, 250_000).Draw(t, "context"),
				PendingPrefill: rapid.Float64Range(0, 2000).Draw(t, "unread"), PauseWeights: stakes(tight),
				Parts: rapid.IntRange(0, 2).Draw(t, "parts"),
			}
			cs[i].Quota = rapid.IntRange(0, 2).Draw(t, "room")
		}
		a := long(rapid.IntRange(1, 700_000).Draw(t, "prompt"))
		at := now.Add(time.Duration(rapid.IntRange(0, 14_000).Draw(t, "waited")) * time.Millisecond)
		c, ok := placer.ChooseEngines(engine, a, cs, at, placer.Urgency(rapid.IntRange(0, 3).Draw(t, "urgency")))
		if !ok {
			return
		}
		seen := map[int]bool{}
		for _, i := range append([]int{c.Main}, c.Helpers...) {
			if seen[i] || cs[i].Quota < 1 {
				t.Fatalf("engine %d in %+v", i, c)
			}
			seen[i] = true
		}
		if len(c.Helpers) > placer.MaxHelpers {
			t.Fatalf("%d helpers", len(c.Helpers))
		}
		need := a.Prompt + a.Output
		for _, ticket := range c.Reservations {
			need -= ticket.Tokens
			if cs[ticket.Candidate].Load.ContextTokens+ticket.Tokens > engine.Memory {
				t.Fatalf("%+v has no such memory", cs[ticket.Candidate])
			}
		}
		if cs[c.Main].Load.ContextTokens+need > engine.Memory {
			t.Fatalf("the first engine has no room for %d", need)
		}
	})
}

// Six engines are idle and the others answer short prompts. A late prompt would
// be read soonest by eight engines, at the cost of others' answers; it must take
// the six, rather than wait on beside idle engines until it is too late.
func TestLatePromptTakesTheIdleEngines(t *testing.T) {
	cs := idle(16)
	for i := range 10 {
		cs[i].Load = placer.Load{Streams: 3, ContextTokens: 25_000, PauseWeights: stakes(3)}
	}
	c, ok := placer.ChooseEngines(engine, long(374_000), cs, now.Add(4*time.Second), placer.Late)
	assert.Assert(t, ok)
	for _, i := range append([]int{c.Main}, c.Helpers...) {
		assert.Assert(t, i >= 10, "engine %d answers short prompts", i)
	}
}

// Two deployments' callers bear other pauses, and a third's prompts are longer.
// A part of a prompt disturbs those streams whose callers bear less than its pass,
// by what each counts for, and no others; what has ended leaves nothing.
func TestStakesFollowFromWhatCallersBear(t *testing.T) {
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
		{"callers who bear 200 ms", load(200, 5000, 10), false},
		{"callers who bear 800 ms", load(800, 5000, 10), true},
		{"callers who bear less than any step", load(20, 5000, 10), false},
		{"one short answer that bears 1,500 ms", load(1500, 1000, 1), true},
		{"one long answer that bears 200 ms", load(200, 300_000, 1), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cs := idle(1)
			cs[0].Load = tt.load
			a := long(45_000)
			_, ok := placer.ChooseEngines(engine, a, cs, now, placer.OnTime)
			assert.Equal(t, ok, tt.place)
			cs[0].Load.Sub(tt.load)
			assert.Equal(t, cs[0].Load, placer.Load{})
		})
	}
}

// Two engines are free, and a late prompt's caller leaves before they can have
// read it. Sent all the same, it would keep both from prompts whose callers wait.
func TestPromptIsNotSentForACallerWhoWillHaveLeft(t *testing.T) {
	a := long(300_000)
	a.CallerTimeout = now.Add(12 * time.Second)
	_, ok := placer.ChooseEngines(engine, a, idle(2), now.Add(9*time.Second), placer.LastChance)
	assert.Assert(t, !ok)
	_, ok = placer.ChooseEngines(engine, a, idle(2), now.Add(6*time.Second), placer.LastChance)
	assert.Assert(t, ok, "four seconds of reading end before it leaves")
	_, ok = placer.ChooseEngines(engine, a, idle(12), now.Add(9*time.Second), placer.LastChance)
	assert.Assert(t, ok, "so does a second's by more engines")
}
