package router

import (
	"math/rand/v2"
	"time"

	"github.com/heathervane/heathervane/entry/request/admitter"
)

// The baselines know slots and memory, as any sender must, and nothing else.

type random struct{ rand *rand.Rand }

// Pick takes any candidate that has room, each with the same chance.
func (p *random) Pick(_ time.Time, a admitter.Request, cs []Candidate) (int, bool) {
	return anyOf(p.rand, &a, cs)
}

// anyOf chooses one of those with room, in one pass and without memory.
func anyOf(r *rand.Rand, a *admitter.Request, cs []Candidate) (int, bool) {
	index, seen := 0, 0
	for i := range cs {
		if !cs[i].takes(a) {
			continue
		}
		seen++
		if r.IntN(seen) == 0 {
			index = i
		}
	}
	return index, seen > 0
}

type least struct{ rand *rand.Rand }

// Pick takes the candidate with the fewest requests in progress, ties at
// random.
func (p *least) Pick(_ time.Time, a admitter.Request, cs []Candidate) (int, bool) {
	index, seen := -1, 0
	for i := range cs {
		if !cs[i].takes(&a) {
			continue
		}
		switch {
		case index < 0 || cs[i].progress() < cs[index].progress():
			index, seen = i, 1
		case cs[i].progress() == cs[index].progress():
			seen++
			if p.rand.IntN(seen) == 0 {
				index = i
			}
		}
	}
	return max(index, 0), index >= 0
}

type two struct{ rand *rand.Rand }

// Pick takes of two candidates the one with fewer requests in progress.
func (p *two) Pick(_ time.Time, a admitter.Request, cs []Candidate) (int, bool) {
	i, ok := anyOf(p.rand, &a, cs)
	if !ok {
		return 0, false
	}
	j, _ := anyOf(p.rand, &a, cs)
	if cs[j].progress() < cs[i].progress() {
		i = j
	}
	return i, true
}
