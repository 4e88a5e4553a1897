package splitter_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/splitter"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulate applies a load for the given time span in steps of half a second. It
// returns the final number of engines, how often the number changed, and the
// time at the end.
func simulate(s *splitter.Splitter, from time.Time, span time.Duration, load func(time.Time) splitter.Load) (n, changes int, now time.Time) {
	last := -1
	for now = from; now.Before(from.Add(span)); now = now.Add(time.Second / 2) {
		n = s.Update(now, load(now))
		if last >= 0 && n != last {
			changes++
		}
		last = n
	}
	return n, changes, now
}

func constantLoad(short, long float64, engines int) func(time.Time) splitter.Load {
	return func(time.Time) splitter.Load {
		return splitter.Load{ShortTokens: short, LongTokens: long, Engines: engines}
	}
}

func TestConstantLoad(t *testing.T) {
	tests := []struct {
		name        string
		short, long float64
		engines     int
		least, most int
	}{
		{"no load", 0, 0, 16, 0, 0},
		{"no long prompts", 1000, 0, 16, 0, 0},
		{"few long prompts", 1000, 50, 16, 1, 1},
		{"as many tokens of both", 1000, 1000, 16, 6, 6},
		{"only long prompts leave one", 0, 1000, 16, 15, 15},
		{"one engine", 1000, 1000, 1, 0, 0},
		{"two engines", 1000, 10, 2, 0, 0},
		{"typical mix", 96, 128, 24, 11, 12},
		{"a thousand engines", 96, 128, 1000, 470, 472},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, _, _ := simulate(splitter.New(splitter.Config{}), epoch, 2*time.Minute, constantLoad(tt.short, tt.long, tt.engines))
			assert.Assert(t, n >= tt.least && n <= tt.most, "%d", n)
		})
	}
}

// The load from long prompts rises and falls every few seconds, as single
// documents make it do. Without hysteresis, engines would change sides each
// time, and each change must wait for the requests running there.
func TestOscillatingLoadRarelyChangesCount(t *testing.T) {
	oscillating := func(now time.Time) splitter.Load {
		long := 1000 + 600*math.Sin(now.Sub(epoch).Seconds())
		return splitter.Load{ShortTokens: 1000, LongTokens: long, Engines: 16}
	}
	s := splitter.New(splitter.Config{})
	_, _, now := simulate(s, epoch, 2*time.Minute, oscillating)
	_, changes, _ := simulate(s, now, 10*time.Minute, oscillating)
	assert.Assert(t, changes <= 1, "%d changes", changes)
}

func TestFollowsTheLoad(t *testing.T) {
	s := splitter.New(splitter.Config{})
	n, _, now := simulate(s, epoch, 2*time.Minute, constantLoad(1000, 1000, 16))
	assert.Equal(t, n, 6)
	n, _, now = simulate(s, now, 3*time.Minute, constantLoad(400, 1200, 16))
	assert.Assert(t, n >= 10 && n <= 11, "raised to %d", n)
	n, _, now = simulate(s, now, 10*time.Second, constantLoad(1000, 0, 16))
	assert.Assert(t, n >= 10, "reduced at once to %d", n)
	n, _, _ = simulate(s, now, 15*time.Minute, constantLoad(1000, 0, 16))
	assert.Equal(t, n, 0)
}

// The number must stay below the number of engines, also while engines come and
// go.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := splitter.New(splitter.Config{})
		now := epoch
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
			l := splitter.Load{
				ShortTokens: float64(rapid.IntRange(0, 1000).Draw(t, "short")),
				LongTokens:  float64(rapid.IntRange(0, 1000).Draw(t, "long")),
				Engines:     rapid.IntRange(0, 20).Draw(t, "engines"),
			}
			if n := s.Update(now, l); n < 0 || n > max(0, l.Engines-1) {
				t.Fatalf("%d of %d", n, l.Engines)
			}
		}
	})
}

func TestSelectionIsStable(t *testing.T) {
	var names []string
	for i := range 50 {
		names = append(names, fmt.Sprint("e", i))
	}
	for n := range 50 {
		less, more := splitter.LongPromptEngines(names, n), splitter.LongPromptEngines(names, n+1)
		assert.Equal(t, len(less), n)
		for name := range less {
			assert.Assert(t, more[name], "%s was removed when an engine was added", name)
		}
	}
	all := splitter.LongPromptEngines(names, 20)
	without := splitter.LongPromptEngines(names[:49], 20)
	moved := 0
	for name := range without {
		if !all[name] {
			moved++
		}
	}
	assert.Assert(t, moved <= 1, "%d moved", moved)
	assert.Equal(t, len(splitter.LongPromptEngines(names, -1)), 0)
}
