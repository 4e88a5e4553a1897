package redialer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/request/redialer"
)

// Whatever fails, connections opened in place of others stay below what requests and the
// time add, for each service by itself.
func TestConnectionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst, perSecond = 16, 4
		r := redialer.New()
		start := time.Unix(0, 0)
		now := start
		requests, opened := map[string]int{}, map[string]int{}
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				r.RecordRequest(now, service)
				requests[service]++
			} else if r.Allow(now, service) {
				opened[service]++
			}
			bound := burst + float64(requests[service]) + perSecond*now.Sub(start).Seconds()
			assert.Assert(t, float64(opened[service]) <= bound, "%d opened, bound %v", opened[service], bound)
		}
	})
}

// A third of a service's upstreams is lost. A request that meets one of them needs no luck to
// be sent to another.
func TestLossOfAThirdIsWithinTheLimit(t *testing.T) {
	r := redialer.New()
	now := time.Unix(0, 0)
	for i := range 1000 {
		now = now.Add(5 * time.Millisecond)
		r.RecordRequest(now, "s")
		for lost := i % 3; lost == 0; lost++ {
			assert.Assert(t, r.Allow(now, "s"), "request %d", i)
		}
	}
}
