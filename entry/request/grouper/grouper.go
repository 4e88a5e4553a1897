// Package grouper plans groups of engines for prompts that are larger than the
// memory of one engine. It handles two such prompts at the same time, and fleets too
// small for one: without it, two groups could deadlock, each holding half of the
// memory that it needs, and a prompt that no fleet can hold would wait until its
// time limit.
//
// A plan reserves nothing. The caller reserves the parts in the order of the plan,
// which is by engine name and so the same for all groups, and releases all of them
// if one cannot be reserved.
package grouper

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/heathervane/heathervane/entry/request/router"
)

// Part is the part of a prompt that one engine holds.
type Part struct {
	// Name is the name of the engine.
	Name string
	// Tokens is how many tokens of the prompt it prefills, in the order of the
	// plan.
	Tokens int
}

// Values of Error.Code.
const (
	// CodeTooLarge means that the engines could not hold the prompt even if they
	// were empty. The request is refused at once, as not run.
	CodeTooLarge = "never"
	// CodeBusy means that they could, but not with their current load.
	CodeBusy = "busy"
)

// Error says why there is no plan.
type Error struct {
	// Code is CodeTooLarge or CodeBusy.
	Code string
	// Need is the memory needed in tokens. Have is the memory that there is, in
	// total with CodeTooLarge and free with CodeBusy.
	Need, Have int
	// Engines is the number of engines considered.
	Engines int
}

// Error returns the code with the figures.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: the prompt needs %d tokens of memory, %d engines have %d",
		e.Code, e.Need, e.Engines, e.Have)
}

// engineCapacity is the memory of one engine, in tokens, that a plan may use: free
// now, and in total.
type engineCapacity struct {
	name, zone  string
	free, total int
}

// Plan returns the parts of a prompt of the given number of tokens, in the order in
// which they must be reserved and prefilled; the last engine also holds the output.
// At most engineShare, from 0 to 1, of an engine's memory is used, so that the rest
// remains for short requests. All engines are in one availability zone if one zone
// has enough memory, because the KV cache moves between them. Engines in cold start
// are used only if the others cannot hold the prompt: a part is one request, which a
// cold engine can take, and in a fleet that has just started all engines are cold.
// The error is an *Error.
func Plan(tokens, output int, cs []router.Candidate, engineShare float64) ([]Part, error) {
	if best, err := plan(tokens, output, cs, engineShare, false); err == nil {
		return best, nil
	}
	return plan(tokens, output, cs, engineShare, true)
}

func plan(tokens, output int, cs []router.Candidate, engineShare float64, cold bool) ([]Part, error) {
	need := tokens + output
	engines, free, capacity := capacities(cs, engineShare, cold)
	e := &Error{Code: CodeTooLarge, Need: need, Have: capacity, Engines: len(engines)}
	if capacity < need || largestTotal(engines) <= output {
		return nil, e
	}
	if free >= need {
		if chosen := chooseEngines(engines, need, output); chosen != nil {
			return splitPrompt(chosen, tokens, output), nil
		}
	}
	e.Code, e.Have = CodeBusy, free
	return nil, e
}

func capacities(cs []router.Candidate, engineShare float64, cold bool) (engines []engineCapacity, free, capacity int) {
	for i := range cs {
		c := &cs[i]
		total := int(engineShare * float64(c.KVCapacity))
		e := engineCapacity{name: c.Name, zone: c.Zone, total: total}
		if c.FreeSlots > 0 && (cold || !c.Cold) {
			e.free = max(0, min(total, c.KVCapacity-c.KVUsed-c.UnreportedTokens))
		}
		free += e.free
		capacity += e.total
		engines = append(engines, e)
	}
	return engines, free, capacity
}

func largestTotal(engines []engineCapacity) int {
	largest := 0
	for _, e := range engines {
		largest = max(largest, e.total)
	}
	return largest
}

// chooseEngines returns the smallest group that holds the prompt, sorted by name:
// within one zone if a zone has enough memory, otherwise across all zones.
func chooseEngines(engines []engineCapacity, need, output int) []engineCapacity {
	slices.SortFunc(engines, func(a, b engineCapacity) int {
		return cmp.Or(cmp.Compare(b.free, a.free), cmp.Compare(a.name, b.name))
	})
	zones := map[string][]engineCapacity{}
	for _, e := range engines {
		zones[e.zone] = append(zones[e.zone], e)
	}
	var best []engineCapacity
	for _, zone := range sortedNames(zones) {
		if group := smallestGroup(zones[zone], need, output); group != nil && (best == nil || len(group) < len(best)) {
			best = group
		}
	}
	if best == nil {
		best = smallestGroup(engines, need, output)
	}
	return best
}

func sortedNames(zones map[string][]engineCapacity) []string {
	names := make([]string, 0, len(zones))
	for name := range zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// smallestGroup returns the smallest group that fits, sorted by name. As the last
// engine must hold the output as well, each engine that can is tried as the last one,
// together with those of the smaller names that have the most free memory. The
// engines must be sorted by free memory, largest first.
func smallestGroup(engines []engineCapacity, need, output int) []engineCapacity {
	var best []engineCapacity
	for _, last := range engines {
		if last.free <= output {
			break
		}
		group := groupEndingWith(last, engines, need)
		if group != nil && (best == nil || len(group) < len(best)) {
			best = group
		}
	}
	slices.SortFunc(best, func(a, b engineCapacity) int { return cmp.Compare(a.name, b.name) })
	return best
}

// groupEndingWith returns a group whose last engine by name is the given one, or nil.
func groupEndingWith(last engineCapacity, engines []engineCapacity, need int) []engineCapacity {
	group, sum := []engineCapacity{last}, last.free
	for _, e := range engines {
		if sum >= need || e.free == 0 {
			break
		}
		if e.name < last.name {
			group, sum = append(group, e), sum+e.free
		}
	}
	if sum < need {
		return nil
	}
	return group
}

// splitPrompt splits the prompt in proportion to the engines' free memory. The last
// engine, which generates the answer, prefills at least one token.
func splitPrompt(group []engineCapacity, tokens, output int) []Part {
	last := &group[len(group)-1]
	last.free -= output + 1
	sum := 0
	for _, e := range group {
		sum += e.free
	}
	left := tokens - 1
	parts := make([]Part, 0, len(group))
	for _, e := range group[:len(group)-1] {
		n := 0
		if left > 0 {
			n = (left*e.free + sum - 1) / sum
		}
		left, sum = left-n, sum-e.free
		if n > 0 {
			parts = append(parts, Part{Name: e.name, Tokens: n})
		}
	}
	return append(parts, Part{Name: last.name, Tokens: left + 1})
}
