package viewer_test

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/version/viewer"
	"github.com/heathervane/heathervane/library/checker"
)

// sizes are the current number of upstreams and teams, that of the measured fleets,
// and the target.
var sizes = []struct{ upstreams, teams int }{{24, 10}, {750, 200}, {12_000, 2700}}

func manifest(upstreams, teams int) checker.Manifest {
	m := checker.Manifest{
		Models: map[string]checker.Model{}, Upstreams: map[string]checker.Upstream{}, Teams: map[string]checker.Team{},
	}
	for i := range 12 {
		m.Models[fmt.Sprint("m", i)] = checker.Model{}
	}
	for i := range upstreams {
		m.Upstreams[fmt.Sprintf("e%05d", i)] = checker.Upstream{
			Model: fmt.Sprint("m", i%12), Address: "10.0.0.1:8000", Zone: fmt.Sprint("z", i%16), Slots: 16, Cold: 2,
		}
	}
	for i := range teams {
		hash := sha256.Sum256(fmt.Append(nil, "token-", i))
		m.Teams[fmt.Sprint("t", i)] = checker.Team{Share: 1, Tokens: []string{fmt.Sprintf("sha256:%x", hash)}}
	}
	return m
}

func noneOutOfService(string, string) bool { return false }

// BenchmarkNew measures the cost per VM of indexing a changed configuration, and the
// memory of a View without its manifest.
func BenchmarkNew(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d/teams=%d", s.upstreams, s.teams), func(b *testing.B) {
			m := manifest(s.upstreams, s.teams)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			v := viewer.New(1, m, noneOutOfService)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				viewer.New(1, m, noneOutOfService)
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1e3, "heap-kB")
			runtime.KeepAlive(v)
		})
	}
}

// BenchmarkTeam measures the look-up of a bearer token.
func BenchmarkTeam(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("teams=%d", s.teams), func(b *testing.B) {
			v := viewer.New(1, manifest(1, s.teams), noneOutOfService)
			bearer := fmt.Sprint("token-", s.teams/2)
			_, ok := v.Team(bearer)
			assert.Assert(b, ok)
			for b.Loop() {
				v.Team(bearer)
			}
		})
	}
}
