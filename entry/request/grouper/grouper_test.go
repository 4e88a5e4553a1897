package grouper_test

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/request/grouper"
	"github.com/heathervane/heathervane/entry/request/router"
)

func engine(name, zone string, total, used int) router.Candidate {
	return router.Candidate{Name: name, Zone: zone, FreeSlots: 1, KVCapacity: total, KVUsed: used}
}

func TestPlan(t *testing.T) {
	empty := []router.Candidate{
		engine("c", "z1", 400, 0), engine("a", "z1", 400, 0), engine("b", "z1", 400, 0), engine("d", "z2", 400, 0),
	}
	busy := slices.Clone(empty)
	busy[0].KVUsed, busy[1].KVUsed = 300, 300
	cold := slices.Clone(empty)
	cold[0].Cold, cold[1].FreeSlots = true, 0
	tests := []struct {
		name           string
		tokens, output int
		engines        []router.Candidate
		share          float64
		want           []grouper.Part
		err            string
	}{
		{name: "three engines of one zone", tokens: 900, output: 60, engines: empty, share: 1, want: []grouper.Part{{"a", 316}, {"b", 316}, {"c", 268}}},
		{name: "across zones", tokens: 1300, output: 60, engines: empty, share: 1, want: []grouper.Part{{"a", 338}, {"b", 338}, {"c", 338}, {"d", 286}}},
		{name: "never fits", tokens: 2000, engines: empty, share: 1, err: "never: the prompt needs 2000 tokens of memory, 4 engines have 1600"},
		{name: "never fits in the share", tokens: 900, engines: empty, share: 0.5, err: "never: the prompt needs 900 tokens of memory, 4 engines have 800"},
		{name: "answer fits no engine", tokens: 100, output: 500, engines: empty, share: 1, err: "never: the prompt needs 600 tokens of memory, 4 engines have 1600"},
		{name: "busy now", tokens: 1300, engines: busy, share: 1, err: "busy: the prompt needs 1300 tokens of memory, 4 engines have 1000"},
		{name: "cold engines are not used if the others suffice", tokens: 700, engines: cold, share: 1, want: []grouper.Part{{"b", 350}, {"d", 350}}},
		{name: "cold engines are used if the others do not suffice", tokens: 900, engines: cold, share: 1, want: []grouper.Part{{"b", 300}, {"c", 300}, {"d", 300}}},
		{name: "full engines are never used", tokens: 1300, engines: cold, share: 1, err: "busy: the prompt needs 1300 tokens of memory, 4 engines have 1200"},
		{name: "no engines", tokens: 1, share: 1, err: "never: the prompt needs 1 tokens of memory, 0 engines have 0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := grouper.Plan(tt.tokens, tt.output, tt.engines, tt.share)
			if tt.err != "" {
				assert.Error(t, err, tt.err)
				var e *grouper.Error
				assert.Assert(t, errors.As(err, &e))
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// A plan holds the whole prompt, uses no more of an engine than its free memory and
// is sorted by name. There is a plan whenever the total free memory suffices and the
// last engine by name can hold the output.
func TestPlanHoldsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cs []router.Candidate
		free, all, last := map[string]int{}, 0, 0
		for i := range rapid.IntRange(0, 8).Draw(t, "engines") {
			total := rapid.IntRange(1, 1000).Draw(t, "memory")
			c := engine(fmt.Sprint("e", i), fmt.Sprint(i%3), total, rapid.IntRange(0, total).Draw(t, "used"))
			cs = append(cs, c)
			last = c.KVCapacity - c.KVUsed
			free[c.Name] = last
			all += last
		}
		tokens, output := rapid.IntRange(1, 4000).Draw(t, "tokens"), rapid.IntRange(0, 50).Draw(t, "output")
		parts, err := grouper.Plan(tokens, output, cs, 1)
		if err != nil {
			if all >= tokens+output && last > output {
				t.Fatalf("no plan: %v", err)
			}
			return
		}
		sum := 0
		for i, p := range parts {
			sum += p.Tokens
			need := p.Tokens
			if i == len(parts)-1 {
				need += output
			}
			if need > free[p.Name] {
				t.Fatalf("%s must hold %d tokens and has %d free", p.Name, need, free[p.Name])
			}
		}
		if sum != tokens || !slices.IsSortedFunc(parts, byName) {
			t.Fatalf("parts %v do not add up to %d tokens, or are not sorted by name", parts, tokens)
		}
	})
}

func byName(a, b grouper.Part) int { return cmp.Compare(a.Name, b.Name) }
