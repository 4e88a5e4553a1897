package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/request/admitter"
	"github.com/heathervane/heathervane/entry/request/router"
)

// maxUpstreams is the most upstreams that one VM uses.
const maxUpstreams = 36

// candidates returns the upstreams that a VM uses out of n: all of them if n is
// small, or its subset.
func candidates(n int) []router.Candidate {
	var cs []router.Candidate
	for i, u := range router.Subset("v1", numbered("e", n), maxUpstreams) {
		c := idleEngine(u)
		c.Primary = i%8 == 0
		cs = append(cs, c)
	}
	return cs
}

// BenchmarkDecision measures the path of one request from arrival to placement:
// admission, selection from the queue and choice of an upstream, with 3,000 other
// requests waiting.
func BenchmarkDecision(b *testing.B) {
	for _, upstreams := range []int{24, 750, 12_000} {
		for _, teams := range []int{10, 2700} {
			b.Run(fmt.Sprintf("upstreams=%d/teams=%d", upstreams, teams), func(b *testing.B) {
				benchmarkDecision(b, candidates(upstreams), numbered("t", teams))
			})
		}
	}
}

func benchmarkDecision(b *testing.B, cs []router.Candidate, teams []string) {
	b.Helper()
	p, err := router.New(router.Best, rand.New(rand.NewPCG(1, 2)))
	assert.NilError(b, err)
	adm := admitter.New(admitter.Config{MaxRequests: 1 << 30, MaxTokens: 1 << 40})
	capacity := admitter.Capacity{Slots: 1000, PrefillRate: 1e6, UpstreamPrefillRate: prefill, DecodeRate: decode}
	id := uint64(0)
	offer := func() {
		id++
		a := admitter.Request{
			ID: id, Team: teams[id%uint64(len(teams))], Share: 1, PromptTokens: int(1000 + id*7919%7000), MaxOutput: 100,
			Arrived: epoch, Deadline: epoch.Add(10_000*time.Hour + time.Duration(id)*time.Millisecond),
		}
		if r := adm.Offer(epoch, a, capacity); r != nil {
			b.Fatal(r)
		}
	}
	for range 3000 {
		offer()
	}
	place := func(a admitter.Request) bool {
		_, ok := p.Pick(epoch, a, cs)
		return ok
	}
	b.ReportAllocs()
	for b.Loop() {
		offer()
		if _, ok := adm.Next(epoch, place); !ok {
			b.Fatal("no request placed")
		}
	}
}

// BenchmarkPick measures only the choice of the upstream.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{24, 750, 12_000} {
		cs := candidates(n)
		for _, policy := range []string{router.Best, router.LeastRequests, router.TwoChoices, router.Random} {
			b.Run(fmt.Sprintf("upstreams=%d/%s", n, policy), func(b *testing.B) {
				p, err := router.New(policy, rand.New(rand.NewPCG(1, 2)))
				assert.NilError(b, err)
				a := admitter.Request{PromptTokens: 3000, MaxOutput: 100, Arrived: epoch, Deadline: epoch.Add(time.Minute)}
				b.ReportAllocs()
				for b.Loop() {
					p.Pick(epoch, a, cs)
				}
			})
		}
	}
}

// BenchmarkSubset measures the cost of a change of the upstreams, which is not
// incurred per request.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{24, 750, 12_000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			up := numbered("e", n)
			b.ReportAllocs()
			for b.Loop() {
				router.Subset("v1", up, maxUpstreams)
			}
		})
	}
}

// BenchmarkAssignPrimaries measures the cost of a change of the VMs.
func BenchmarkAssignPrimaries(b *testing.B) {
	for _, s := range []struct{ vms, up int }{{8, 24}, {330, 750}, {330, 12_000}} {
		b.Run(fmt.Sprintf("vms=%d/upstreams=%d", s.vms, s.up), func(b *testing.B) {
			vms, up := numbered("v", s.vms), numbered("e", s.up)
			b.ReportAllocs()
			for b.Loop() {
				router.AssignPrimaries(vms, up)
			}
		})
	}
}
