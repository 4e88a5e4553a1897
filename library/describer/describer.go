// Package describer holds what a VM tells operators of the load that it places: what
// waits and runs in each group of upstreams that it leads, by priority, team and kind of
// prompt, and who holds its memory. Reports are limited in size; it decides nothing.
package describer

import (
	"cmp"
	"slices"
)

// Path is where a VM serves its Load as JSON, at the address of its metrics.
const Path = "/load"

// MaxClasses limits the classes of a group in a report. The largest are kept.
const MaxClasses = 100

// A Load is what one VM knows.
type Load struct {
	VM string `json:"vm"`
	// Groups are those that the VM leads or has led of late.
	Groups []Group `json:"groups"`
	// Refusals are the requests that the VM has refused since it started, by reason.
	Refusals map[string]int64 `json:"refusals,omitempty"`
	// Memory is what the VM holds in bytes, by holder.
	Memory map[string]int64 `json:"memory,omitempty"`
}

// A Group is a set of upstreams that one VM allocates.
type Group struct {
	Service string `json:"service"`
	// Zone is empty for a group of all zones.
	Zone string `json:"zone,omitempty"`
	// Leads reports whether the VM considers itself the leader.
	Leads bool `json:"leads"`
	// Upstreams are those that may be used, and FreeSlots their free slots.
	Upstreams int `json:"upstreams"`
	FreeSlots int `json:"free"`
	// Waiting and Running are the group's requests.
	Waiting []Class `json:"waiting,omitempty"`
	Running []Class `json:"running,omitempty"`
	// Details are figures of optional features by name.
	Details map[string]float64 `json:"details,omitempty"`
}

// A Class is the requests of one priority, team and kind.
type Class struct {
	Priority int    `json:"priority"`
	Team     string `json:"team,omitempty"`
	// Kind is plain, short or long.
	Kind  string `json:"kind"`
	Count int    `json:"count"`
	// Oldest is how long the oldest has waited or run, in milliseconds.
	Oldest int64 `json:"oldest"`
}

// Kinds of requests.
const (
	// Plain requests are those of services without engines.
	Plain = "plain"
	// Short prompts are read by one engine, Long ones in parts by several.
	Short = "short"
	Long  = "long"
)

// Classes counts requests by class.
type Classes map[Class]Tally

// A Tally is the number of requests of a class, and the age of the oldest in
// milliseconds.
type Tally struct {
	Count  int
	Oldest int64
}

// Add counts a request of the given age in milliseconds.
func (c Classes) Add(class Class, age int64) {
	t := c[class]
	c[class] = Tally{t.Count + 1, max(t.Oldest, age)}
}

// List returns the classes by priority, at most MaxClasses, without the smallest.
func (c Classes) List() []Class {
	all := make([]Class, 0, len(c))
	for class, t := range c {
		class.Count, class.Oldest = t.Count, t.Oldest
		all = append(all, class)
	}
	if len(all) > MaxClasses {
		slices.SortFunc(all, func(a, b Class) int { return cmp.Compare(b.Count, a.Count) })
		all = all[:MaxClasses]
	}
	slices.SortFunc(all, func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Team, b.Team))
	})
	return all
}
