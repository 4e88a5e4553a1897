package sharer_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/sharer"
)

// next returns the class that is served next, as the queue orders them: those that are due
// before all others, and both by priority.
func next(s *sharer.Sharer, waiting map[sharer.Class]bool, cost map[sharer.Class]float64) sharer.Class {
	before := func(a, b sharer.Class) bool {
		dueA, dueB := s.Due(a, cost[a]), s.Due(b, cost[b])
		switch {
		case dueA != dueB:
			return dueA
		case a.Priority != b.Priority:
			return a.Priority < b.Priority
		}
		return a.Size < b.Size
	}
	var best *sharer.Class
	for c := range waiting {
		if best == nil || before(c, *best) {
			best = &c
		}
	}
	return *best
}

// A class that keeps waiting must get its share, whatever other classes wait from time to
// time and however urgent they are, but for the cost of one request of each class.
func TestWaitingClassGetsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost = 40.0
		weights := []float64{8, 3, 1}
		weight := func(priority int) float64 { return weights[priority] }
		cost := make(map[sharer.Class]float64)
		steady := sharer.Class{Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Size: rapid.IntRange(0, 2).Draw(t, "size")}
		for priority := range weights {
			for size := range weights {
				cost[sharer.Class{Priority: priority, Size: size}] = rapid.Float64Range(1, maxCost).Draw(t, "cost")
			}
		}
		s := sharer.New()
		owed, served := 0.0, 0.0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			waiting := map[sharer.Class]bool{steady: true}
			sizes := map[int]int{steady.Priority: 1}
			for i := range len(cost) {
				c := sharer.Class{Priority: i / len(weights), Size: i % len(weights)}
				if c != steady && rapid.IntRange(0, 3).Draw(t, "waits") > 0 {
					waiting[c] = true
					sizes[c.Priority]++
				}
			}
			s.SetWaiting(waiting)
			c := next(s, waiting, cost)
			s.Serve(c, cost[c], weight)
			total := 0.0
			for priority := range sizes {
				total += weight(priority)
			}
			owed += cost[c] * weight(steady.Priority) / total / float64(sizes[steady.Priority])
			if c == steady {
				served += cost[c]
			}
			if bound := maxCost * float64(len(cost)); owed-served > bound {
				t.Fatalf("%v got %.0f of %.0f, bound %.0f", steady, served, owed, bound)
			}
		}
	})
}

// A class that is alone may use everything, and owes nothing for it afterwards.
func TestUnusedSharesAreFree(t *testing.T) {
	s := sharer.New()
	even := func(int) float64 { return 1 }
	urgent, other := sharer.Class{}, sharer.Class{Priority: 1}
	s.SetWaiting(map[sharer.Class]bool{urgent: true})
	for range 100 {
		s.Serve(urgent, 10, even)
	}
	s.SetWaiting(map[sharer.Class]bool{urgent: true, other: true})
	assert.Assert(t, !s.Due(other, 1) && !s.Due(urgent, 1))
	s.Serve(urgent, 10, even)
	assert.Assert(t, s.Due(other, 5))
	// Nobody is owed for a time in which it did not wait.
	s.SetWaiting(map[sharer.Class]bool{urgent: true})
	s.SetWaiting(map[sharer.Class]bool{urgent: true, other: true})
	assert.Assert(t, !s.Due(other, 1))
}

func TestWeightsHalveWhereTheSettingsNameNone(t *testing.T) {
	for _, tt := range []struct {
		settings map[int]float64
		want     []float64
	}{
		{nil, []float64{1, 0.5, 0.25}},
		{map[int]float64{1: 6}, []float64{1, 6, 3}},
		{map[int]float64{0: 10, 2: 2}, []float64{10, 5, 2}},
	} {
		for i, priority := range []int{0, 4, 9} {
			assert.Equal(t, sharer.Weight(tt.settings, []int{0, 4, 9}, priority), tt.want[i])
		}
	}
}
