package router_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
	count := map[string]int{}
	for _, vm := range numbered("v", 100) {
		s := router.Subset(vm, up, 120)
		assert.Equal(t, len(s), 120)
		for _, u := range s {
			count[u]++
		}
		// With one of its upstreams removed, a VM uses exactly one other instead.
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
		// The expected count is 10, with a standard deviation of 3.
		assert.Assert(t, count[u] >= 1 && count[u] <= 25, "%s is used by %d", u, count[u])
	}
	assert.DeepEqual(t, router.Subset("v", []string{"b", "a"}, 5), []string{"a", "b"})
}

func TestPrimariesAreEven(t *testing.T) {
	for _, tt := range []struct{ vms, up int }{{4, 16}, {8, 24}, {7, 15}, {9, 3}, {1, 5}, {330, 1200}} {
		primaries := router.AssignPrimaries(numbered("v", tt.vms), numbered("e", tt.up))
		assert.Equal(t, len(primaries), tt.up)
		count := map[string]int{}
		for _, v := range primaries {
			count[v]++
		}
		for _, v := range numbered("v", tt.vms) {
			n := count[v]
			assert.Assert(t, n >= tt.up/tt.vms && n <= (tt.up+tt.vms-1)/tt.vms, "%d of %d on %d", n, tt.up, tt.vms)
		}
	}
	assert.Equal(t, len(router.AssignPrimaries(nil, []string{"e"})), 0)
}

func TestSecondariesRotate(t *testing.T) {
	vms := numbered("v", 8)
	seen := map[string]int{}
	for i := range 700 {
		g := router.SecondaryAt(epoch.Add(time.Duration(i)*router.SecondaryTerm), vms, "e1", "v3")
		assert.Assert(t, g != "v3")
		seen[g]++
	}
	assert.Equal(t, len(seen), 7)
	for v, n := range seen {
		assert.Assert(t, n > 50, "%s has %d terms of 700", v, n)
	}
	assert.Equal(t, router.SecondaryAt(epoch, []string{"v3"}, "e1", "v3"), "")
}
