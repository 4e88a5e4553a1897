package router

import (
	"math/rand/v2"
	"time"

	"github.com/heathervane/heathervane/entry/request/admitter"
)

// The baseline policies consider only slots and memory, which every sender has to
// respect.

type randomPicker struct{ rand *rand.Rand }

// Pick chooses uniformly among the candidates with capacity.
func (p *randomPicker) Pick(_ time.Time, req admitter.Request, cs []Candidate) (int, bool) {
	return pickRandom(p.rand, &req, cs)
}

// pickRandom chooses a random candidate with capacity in one pass, without
// allocating.
func pickRandom(r *rand.Rand, req *admitter.Request, cs []Candidate) (int, bool) {
	index, seen := 0, 0
	for i := range cs {
		if !cs[i].hasCapacity(req) {
			continue
		}
		seen++
		if r.IntN(seen) == 0 {
			index = i
		}
	}
	return index, seen > 0
}

type leastRequestsPicker struct{ rand *rand.Rand }

// Pick chooses the candidate with the fewest requests in progress, breaking ties
// at random.
func (p *leastRequestsPicker) Pick(_ time.Time, req admitter.Request, cs []Candidate) (int, bool) {
	index, seen := -1, 0
	for i := range cs {
		if !cs[i].hasCapacity(&req) {
			continue
		}
		switch {
		case index < 0 || cs[i].inProgress() < cs[index].inProgress():
			index, seen = i, 1
		case cs[i].inProgress() == cs[index].inProgress():
			seen++
			if p.rand.IntN(seen) == 0 {
				index = i
			}
		}
	}
	return max(index, 0), index >= 0
}

type twoChoicesPicker struct{ rand *rand.Rand }

// Pick chooses, of two random candidates, the one with fewer requests in
// progress.
func (p *twoChoicesPicker) Pick(_ time.Time, req admitter.Request, cs []Candidate) (int, bool) {
	i, ok := pickRandom(p.rand, &req, cs)
	if !ok {
		return 0, false
	}
	j, _ := pickRandom(p.rand, &req, cs)
	if cs[j].inProgress() < cs[i].inProgress() {
		i = j
	}
	return i, true
}
