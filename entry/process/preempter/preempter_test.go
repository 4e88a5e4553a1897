package preempter_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/preempter"
)

func TestOnlyAClearGainIsWorthIt(t *testing.T) {
	waiter := preempter.Waiter{Left: 100, Alike: 1}
	fresh := preempter.Holder{Priority: 2, Read: 20, Remaining: 900, Upstreams: 1, Slots: 10}
	change := func(f func(*preempter.Holder)) preempter.Holder {
		h := fresh
		f(&h)
		return h
	}
	for name, tt := range map[string]struct {
		waiter  preempter.Waiter
		holders []preempter.Holder
		want    int
	}{
		"just begun":                 {waiter, []preempter.Holder{fresh}, 0},
		"read for long":              {waiter, []preempter.Holder{change(func(h *preempter.Holder) { h.Read = 400 })}, -1},
		"read for long, many wait":   {preempter.Waiter{Left: 100, Alike: 8}, []preempter.Holder{change(func(h *preempter.Holder) { h.Read = 400 })}, 0},
		"many wait for few slots":    {preempter.Waiter{Left: 100, Alike: 8}, []preempter.Holder{change(func(h *preempter.Holder) { h.Read, h.Slots = 400, 1 })}, -1},
		"read by many":               {waiter, []preempter.Holder{change(func(h *preempter.Holder) { h.Upstreams = 16 })}, -1},
		"ends in time":               {waiter, []preempter.Holder{change(func(h *preempter.Holder) { h.Remaining = 90 })}, -1},
		"not less urgent":            {preempter.Waiter{Priority: 2, Left: 100, Alike: 1}, []preempter.Holder{fresh}, -1},
		"too late to gain":           {preempter.Waiter{Left: 5, Alike: 1}, []preempter.Holder{fresh}, -1},
		"the least urgent gives way": {waiter, []preempter.Holder{change(func(h *preempter.Holder) { h.Priority, h.Read = 1, 0 }), fresh}, 1},
		"the one with least to lose": {waiter, []preempter.Holder{fresh, change(func(h *preempter.Holder) { h.Read = 3 })}, 1},
		"nobody holds anything":      {waiter, nil, -1},
	} {
		chosen, ok := preempter.Choose(tt.waiter, tt.holders)
		assert.Equal(t, ok, tt.want >= 0, name)
		assert.Assert(t, !ok || chosen == tt.want, name)
	}
}

// Whoever gives way is less urgent, would make the waiter late, and loses less engine time
// than the waiters together would wait.
func TestWhatIsLostIsLessThanWhatIsGained(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := preempter.Waiter{
			Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Left: rapid.Float64Range(-100, 500).Draw(t, "left"),
			Alike: rapid.IntRange(1, 20).Draw(t, "alike"),
		}
		var holders []preempter.Holder
		for range rapid.IntRange(0, 8).Draw(t, "holders") {
			holders = append(holders, preempter.Holder{
				Priority: rapid.IntRange(0, 3).Draw(t, "holder"), Read: rapid.Float64Range(0, 1000).Draw(t, "read"),
				Remaining: rapid.Float64Range(0, 3000).Draw(t, "remaining"), Upstreams: rapid.IntRange(1, 17).Draw(t, "upstreams"),
				Slots: rapid.IntRange(0, 12).Draw(t, "slots"),
			})
		}
		i, ok := preempter.Choose(w, holders)
		if !ok {
			return
		}
		h := holders[i]
		if h.Priority <= w.Priority || h.Remaining <= w.Left || h.Read*float64(h.Upstreams) >= float64(w.Alike)*h.Remaining {
			t.Fatalf("%+v gives way to %+v", h, w)
		}
	})
}
