package planner_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/planner"
)

const whole = `
name = "mixed"
fleet = "small"
seed = 7
time = "100s"
skip = "1s"
policies = ["own", "two"]
reference = ["short"]

[[loads]]
name = "short"
rate = 50.0
least = 1000
most = 100000
tail = 0.02
top = 1000000
output = 16
keys = 20

[[loads]]
name = "swaps"
kind = "booking"
rate = 5.0
twice = 0.5
team = "reps"

[[events]]
at = "10s"
what = "kill"
on = "vm1"
`

func TestReadListsAllFindings(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"unknown key", `seed = 7`, `sede = 7`, "sede: unknown key"},
		{"unknown policy", `"two"`, `"tow"`, `policies[1]: is "tow"`},
		{"unknown action", `"kill"`, `"kil"`, `events[0].what: is "kil"`},
		{"unknown load in reference", `["short"]`, `["shrot"]`, `reference[0]: is "shrot"`},
		{"no rate", `rate = 5.0`, `rate = 0.0`, "loads[1].rate: must be more than 0"},
		{"tail without top", `top = 1000000`, `top = 10`, "loads[0].top: must be more than most"},
		{"skip past the end", `skip = "1s"`, `skip = "101s"`, "skip: must lie between"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := planner.Read(strings.Replace(whole, test.from, test.to, 1))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

func TestPlanFollowsFromItsSeed(t *testing.T) {
	e, err := planner.Read(whole)
	assert.NilError(t, err)
	shares := map[string]int{"stewards": 3, "reps": 1}
	first := planner.Plan(e, shares)
	assert.DeepEqual(t, first, planner.Plan(e, shares))

	alone := planner.Plan(e.Only([]string{"short"}), shares)
	var short []planner.Arrival
	for _, a := range first {
		if a.Load == "short" {
			short = append(short, a)
		}
	}
	assert.DeepEqual(t, short, alone)
}

func TestPlanKeepsRatesTailAndShares(t *testing.T) {
	e, err := planner.Read(whole)
	assert.NilError(t, err)
	count, tail, large := 0, 0, 0
	var last time.Duration
	for _, a := range planner.Plan(e, map[string]int{"stewards": 3, "reps": 1}) {
		assert.Assert(t, a.At >= last)
		last = a.At
		if a.Kind != planner.Question {
			assert.Equal(t, a.Team, "reps")
			continue
		}
		count++
		assert.Assert(t, a.Prompt >= 1000 && a.Prompt <= 1_000_000)
		if a.Prompt > 100_000 {
			tail++
		}
		if a.Team == "stewards" {
			large++
		}
	}
	// Five thousand arrivals: bounds at more than five standard deviations.
	assert.Assert(t, count > 4600 && count < 5400, "%d", count)
	assert.Assert(t, tail > 45 && tail < 160, "%d", tail)
	assert.Assert(t, large*4 > count*3-count/5 && large*4 < count*3+count/5, "%d of %d", large, count)
}
