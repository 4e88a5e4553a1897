package planner

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// An Arrival is one request to be sent.
type Arrival struct {
	// At is the time from the start at which it is due.
	At time.Duration
	// Load names the load that it belongs to.
	Load string
	Kind string
	Team string
	// VM is drawn evenly; whoever sends takes it modulo the VMs that live, as
	// the platform's balancer spreads callers.
	VM uint64
	// Title begins the prompt and makes it this document's, Prompt and Output
	// are lengths in tokens.
	Title  string
	Prompt int
	Output int
	Limit  time.Duration
	// Key numbers a booking; two arrivals with one key are the same booking.
	Key int
}

// Plan lists an experiment's arrivals in the order of time. Each load has its
// own random source, so that leaving one out changes nothing in the others.
func Plan(e Experiment, shares map[string]int) []Arrival {
	var all []Arrival
	for _, l := range e.Loads {
		all = append(all, l.plan(e, shares)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// again is when a booking is sent the second time: a caller who got no answer
// in a while.
const again = 300 * time.Millisecond

func (l Load) plan(e Experiment, shares map[string]int) []Arrival {
	name := fnv.New64a()
	_, _ = name.Write([]byte(l.Name))
	r := rand.New(rand.NewPCG(e.Seed, name.Sum64())) //nolint:gosec // A load must be the same each time.
	teams := spread(shares, l.Except)
	till := e.Span()
	if l.Till > 0 {
		till = min(till, time.Duration(l.Till))
	}
	var list []Arrival
	at := time.Duration(l.From)
	for n := 0; ; n++ {
		at += time.Duration(r.ExpFloat64() / l.Rate * float64(time.Second))
		if at >= till {
			return list
		}
		a := Arrival{
			At: at, Load: l.Name, Kind: l.Kind, Team: l.Team, VM: r.Uint64(),
			Title: l.title(n, r), Output: l.Output, Limit: time.Duration(l.Limit), Key: n,
		}
		team := teams[r.IntN(len(teams))]
		if a.Team == "" {
			a.Team = team
		}
		if l.Kind == Question {
			a.Prompt = l.length(r)
		}
		list = append(list, a)
		if l.Kind == Booking && r.Float64() < l.Twice {
			a.At += again
			a.VM++
			list = append(list, a)
		}
	}
}

// spread lists each team as often as its share, so that an even choice from
// the list is one by shares; one team may be left out.
func spread(shares map[string]int, except string) []string {
	var list []string
	for _, team := range slices.Sorted(maps.Keys(shares)) {
		if team == except {
			continue
		}
		for range shares[team] {
			list = append(list, team)
		}
	}
	return list
}

// length draws a prompt's length in tokens. Lengths are even on a logarithmic
// scale: as many between one and two thousand as between two and four.
func (l Load) length(r *rand.Rand) int {
	least, most := l.Least, l.Most
	if l.Tail > 0 && r.Float64() < l.Tail {
		least, most = l.Most, l.Top
	}
	low, high := math.Log(float64(least)), math.Log(float64(most))
	return int(math.Round(math.Exp(low + r.Float64()*(high-low))))
}

// title draws the document that a prompt is about. Among a number of documents
// the first are asked about most (the nth about 1/n as often as the first).
func (l Load) title(n int, r *rand.Rand) string {
	if l.Keys == 0 {
		return fmt.Sprintf("%s question %d", l.Name, n)
	}
	k := int(math.Exp(r.Float64()*math.Log(float64(l.Keys)+1))) - 1
	return fmt.Sprintf("%s document %d", l.Name, k)
}
