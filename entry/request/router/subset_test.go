package router_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/request/admitter"
	"github.com/heathervane/heathervane/entry/request/router"
)

func numbered(prefix string, n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint(prefix, i)
	}
	return names
}

func TestSubsetIsStableAndEven(t *testing.T) {
	up := numbered("e", 1200)
	used := map[string]int{}
	for _, vm := range numbered("v", 100) {
		s := router.Subset(vm, up, 120)
		assert.Equal(t, len(s), 120)
		for _, u := range s {
			used[u]++
		}
		// Without one upstream that it used, a VM uses one other instead.
		rest := slices.DeleteFunc(slices.Clone(up), func(u string) bool { return u == s[0] })
		next := router.Subset(vm, rest, 120)
		kept := 0
		for _, u := range next {
			if slices.Contains(s, u) {
				kept++
			}
		}
		assert.Equal(t, kept, 119)
	}
	for _, u := range up {
		// 10 are expected, with a standard deviation of 3.
		assert.Assert(t, used[u] >= 1 && used[u] <= 25, "%s is used by %d", u, used[u])
	}
	assert.DeepEqual(t, router.Subset("v", []string{"b", "a"}, 5), []string{"a", "b"})
}

func TestHomesAreEven(t *testing.T) {
	for _, tt := range []struct{ vms, up int }{{4, 16}, {8, 24}, {7, 15}, {9, 3}, {1, 5}, {330, 1200}} {
		homes := router.Homes(numbered("v", tt.vms), numbered("e", tt.up))
		assert.Equal(t, len(homes), tt.up)
		count := map[string]int{}
		for _, v := range homes {
			count[v]++
		}
		for _, v := range numbered("v", tt.vms) {
			n := count[v]
			assert.Assert(t, n >= tt.up/tt.vms && n <= (tt.up+tt.vms-1)/tt.vms, "%d of %d on %d", n, tt.up, tt.vms)
		}
	}
	assert.Equal(t, len(router.Homes(nil, []string{"e"})), 0)
}

func TestGuestsTakeTurns(t *testing.T) {
	vms := numbered("v", 8)
	seen := map[string]int{}
	for i := range 700 {
		g := router.Guest(epoch.Add(time.Duration(i)*router.Turn), vms, "e1", "v3")
		assert.Assert(t, g != "v3")
		seen[g]++
	}
	assert.Equal(t, len(seen), 7)
	for v, n := range seen {
		assert.Assert(t, n > 50, "%s has %d turns of 700", v, n)
	}
	assert.Equal(t, router.Guest(epoch, []string{"v3"}, "e1", "v3"), "")
}

// BenchmarkPick chooses among the upstreams that a VM uses: all of today's, or
// its part of 12,000.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{24, 750, 12_000} {
		const most = 36
		used := router.Subset("v1", numbered("e", n), most)
		for _, policy := range []string{router.Best, router.Least, router.Two, router.Random} {
			b.Run(fmt.Sprintf("upstreams=%d/%s", n, policy), func(b *testing.B) {
				p, err := router.New(policy, rand.New(rand.NewPCG(1, 2)))
				assert.NilError(b, err)
				var cs []router.Candidate
				for i, u := range used {
					c := idle(u)
					c.Home = i%8 == 0
					cs = append(cs, c)
				}
				a := admitter.Ask{Tokens: 3000, Output: 100, Arrived: epoch, Deadline: epoch.Add(time.Minute)}
				b.ReportAllocs()
				for b.Loop() {
					p.Pick(epoch, a, cs)
				}
			})
		}
	}
}

// BenchmarkSubset is the cost of a change of the upstreams, not of a request.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{24, 750, 12_000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			up := numbered("e", n)
			b.ReportAllocs()
			for b.Loop() {
				router.Subset("v1", up, 36)
			}
		})
	}
}

// BenchmarkHomes is the cost of a change of the VMs.
func BenchmarkHomes(b *testing.B) {
	for _, s := range []struct{ vms, up int }{{8, 24}, {330, 750}, {330, 12_000}} {
		b.Run(fmt.Sprintf("vms=%d/upstreams=%d", s.vms, s.up), func(b *testing.B) {
			vms, up := numbered("v", s.vms), numbered("e", s.up)
			b.ReportAllocs()
			for b.Loop() {
				router.Homes(vms, up)
			}
		})
	}
}
