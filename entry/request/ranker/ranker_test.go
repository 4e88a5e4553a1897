package ranker_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/request/ranker"
)

// One team sends four fifths of the load. Only that team is over its share, so that
// engines rank its prompts behind those of the other teams.
func TestOverShare(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name   string
		shares map[string]int
		tokens map[string]int
		later  time.Duration
		over   string
	}{
		{"alone", map[string]int{"a": 1}, map[string]int{"a": 9000}, 0, ""},
		{"equal use", map[string]int{"a": 1, "b": 1}, map[string]int{"a": 1000, "b": 1200}, 0, ""},
		{"one busy team", map[string]int{"a": 1, "b": 1, "c": 1}, map[string]int{"a": 8000, "b": 1000, "c": 1000}, 0, "a"},
		{"within its larger share", map[string]int{"a": 8, "b": 1, "c": 1}, map[string]int{"a": 8000, "b": 1000, "c": 1000}, 0, ""},
		{"not decayed yet", map[string]int{"a": 1, "b": 1, "c": 1}, map[string]int{"a": 8000, "b": 1000, "c": 1000}, 5 * time.Second, "a"},
		{"decayed", map[string]int{"a": 1, "b": 1, "c": 1}, map[string]int{"a": 8000, "b": 1000, "c": 1000}, 5 * time.Minute, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := ranker.New()
			for team, tokens := range test.tokens {
				r.Record(now, team, test.shares[team], tokens)
			}
			for team := range test.tokens {
				assert.Equal(t, r.OverShare(now.Add(test.later), team), team == test.over, team)
			}
			assert.Assert(t, !r.OverShare(now, "nobody"))
		})
	}
}

func BenchmarkRank(b *testing.B) {
	for _, teams := range []int{10, 2700} {
		b.Run(fmt.Sprint(teams, " teams"), func(b *testing.B) {
			r := ranker.New()
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprint("team", i)
			}
			now := time.Unix(1000, 0)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				// At the fleet's target size, 28,000 requests a second over 330 VMs, one VM
				// gets 85 a second.
				now = now.Add(time.Second / 85)
				i++
				r.Record(now, names[i%teams], 1, 1000)
				r.OverShare(now, names[i%teams])
			}
		})
	}
}
