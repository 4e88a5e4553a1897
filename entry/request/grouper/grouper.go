// Package grouper plans groups of engines for prompts that are larger than one
// engine's memory. It answers two such prompts at once, and fleets too small
// for one. Without it two groups could each hold half of what they need for
// ever, and a prompt that no fleet can hold would wait out its whole limit.
//
// A plan reserves nothing: the caller reserves the parts in the plan's order,
// which is by name and so the same for all groups, and gives all back where
// one fails.
package grouper

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/heathervane/heathervane/entry/request/router"
)

// A Part is one engine's part of a prompt.
type Part struct {
	// Name is the engine's.
	Name string
	// Tokens is how much of the prompt it reads, in the plan's order.
	Tokens int
}

// Codes of an Error.
const (
	// Never says that the engines could not hold the prompt even if they were
	// empty: the ask is refused at once, as not run.
	Never = "never"
	// Busy says that they could, but not with what they hold now.
	Busy = "busy"
)

// An Error says why there is no plan.
type Error struct {
	// Code is Never or Busy.
	Code string
	// Need is the memory needed, and Have what there is, in tokens.
	Need, Have int
	// Engines is how many were looked at.
	Engines int
}

// Error gives the reason with its figures.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: the prompt needs %d tokens of memory, %d engines have %d",
		e.Code, e.Need, e.Engines, e.Have)
}

// A room is what one engine could give.
type room struct {
	name, zone string
	free, most int
}

// Plan gives the parts of a prompt of that many tokens, in the order in which
// they must be reserved and read; the last engine also holds the answer's
// output. No more than engineShare of an engine's memory, from 0 to 1, is
// used, so that short work keeps the rest. All engines are of one availability
// zone where one has enough, because the cache moves between them. Engines in
// cold start are taken only where the others cannot hold it: a part is one
// request, which a cold engine bears, and in a fleet that has just started all
// of them count as cold. The error is an *Error.
func Plan(tokens, output int, cs []router.Candidate, engineShare float64) ([]Part, error) {
	if found, err := plan(tokens, output, cs, engineShare, false); err == nil {
		return found, nil
	}
	return plan(tokens, output, cs, engineShare, true)
}

func plan(tokens, output int, cs []router.Candidate, engineShare float64, cold bool) ([]Part, error) {
	need := tokens + output
	rooms, have, most := measure(cs, engineShare, cold)
	e := &Error{Code: Never, Need: need, Have: most, Engines: len(rooms)}
	if most < need || largest(rooms) <= output {
		return nil, e
	}
	if have >= need {
		if chosen := choose(rooms, need, output); chosen != nil {
			return parts(chosen, tokens, output), nil
		}
	}
	e.Code, e.Have = Busy, have
	return nil, e
}

func measure(cs []router.Candidate, engineShare float64, cold bool) (rooms []room, have, most int) {
	for i := range cs {
		c := &cs[i]
		total := int(engineShare * float64(c.Memory))
		r := room{name: c.Name, zone: c.Zone, most: total}
		if c.Free > 0 && (cold || !c.Cold) {
			r.free = max(0, min(total, c.Memory-c.Used-c.SentTokens))
		}
		have += r.free
		most += r.most
		rooms = append(rooms, r)
	}
	return rooms, have, most
}

func largest(rooms []room) int {
	most := 0
	for _, r := range rooms {
		most = max(most, r.most)
	}
	return most
}

// choose gives the fewest engines that hold it all, by name: of one zone if
// one has enough, else of all.
func choose(rooms []room, need, output int) []room {
	slices.SortFunc(rooms, func(a, b room) int {
		return cmp.Or(cmp.Compare(b.free, a.free), cmp.Compare(a.name, b.name))
	})
	zones := map[string][]room{}
	for _, r := range rooms {
		zones[r.zone] = append(zones[r.zone], r)
	}
	var found []room
	for _, z := range sorted(zones) {
		if g := fewest(zones[z], need, output); g != nil && (found == nil || len(g) < len(found)) {
			found = g
		}
	}
	if found == nil {
		found = fewest(rooms, need, output)
	}
	return found
}

func sorted(zones map[string][]room) []string {
	names := make([]string, 0, len(zones))
	for z := range zones {
		names = append(names, z)
	}
	slices.Sort(names)
	return names
}

// fewest gives the smallest group that fits, by name. Its last engine must
// hold the output as well, so that for each engine that could, the roomiest
// with names before it are taken. The rooms are sorted, the roomiest first.
func fewest(rooms []room, need, output int) []room {
	var found []room
	for _, last := range rooms {
		if last.free <= output {
			break
		}
		g := upTo(last, rooms, need)
		if g != nil && (found == nil || len(g) < len(found)) {
			found = g
		}
	}
	slices.SortFunc(found, func(a, b room) int { return cmp.Compare(a.name, b.name) })
	return found
}

// upTo gives a group whose last engine by name is given, or nil.
func upTo(last room, rooms []room, need int) []room {
	group, sum := []room{last}, last.free
	for _, r := range rooms {
		if sum >= need || r.free == 0 {
			break
		}
		if r.name < last.name {
			group, sum = append(group, r), sum+r.free
		}
	}
	if sum < need {
		return nil
	}
	return group
}

// parts cuts the prompt in proportion to what each engine has free. The last
// engine, which makes the answer, reads at least one token.
func parts(group []room, tokens, output int) []Part {
	last := &group[len(group)-1]
	last.free -= output + 1
	sum := 0
	for _, r := range group {
		sum += r.free
	}
	left := tokens - 1
	ps := make([]Part, 0, len(group))
	for _, r := range group[:len(group)-1] {
		n := 0
		if left > 0 {
			n = (left*r.free + sum - 1) / sum
		}
		left, sum = left-n, sum-r.free
		if n > 0 {
			ps = append(ps, Part{Name: r.name, Tokens: n})
		}
	}
	return append(ps, Part{Name: last.name, Tokens: left + 1})
}
