package router_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/request/admitter"
	"github.com/heathervane/heathervane/entry/request/router"
)

func TestEstimateCapacity(t *testing.T) {
	type change = func(*router.Candidate)
	quarter := func(c *router.Candidate) { c.FreeSlots, c.OwnStreams = 1, 1 }
	tests := []struct {
		name   string
		tokens int
		change []change
		want   admitter.Capacity
	}{
		{"none", 1000, nil, admitter.Capacity{}},
		{"share of each upstream", 1000, []change{quarter, quarter}, admitter.Capacity{Slots: 4, PrefillRate: 10_000, UpstreamPrefillRate: 20_000, DecodeRate: 50, Running: 2}},
		{"no lent slots count as one slot", 1000, []change{func(c *router.Candidate) { c.FreeSlots = 0 }}, admitter.Capacity{Slots: 1, PrefillRate: 2500, UpstreamPrefillRate: 20_000, DecodeRate: 50}},
		{"unread prompts", 1000, []change{func(c *router.Candidate) { c.PrefillLeft = 8000; c.ReportAge = 100 * time.Millisecond }}, admitter.Capacity{Slots: 8, PrefillRate: 20_000, UpstreamPrefillRate: 20_000, DecodeRate: 50, PrefillLeft: 6000}},
		{"slow upstream", 1000, []change{func(c *router.Candidate) { c.SpeedRatio = 0.5 }}, admitter.Capacity{Slots: 8, PrefillRate: 10_000, UpstreamPrefillRate: 10_000, DecodeRate: 25}},
		{"short prompt, one engine reads a document", 1000, []change{quarter, func(c *router.Candidate) { quarter(c); c.PrefillLeft = 500_000 }}, admitter.Capacity{Slots: 4, PrefillRate: 5000, UpstreamPrefillRate: 20_000, DecodeRate: 50, Running: 2}},
		{"long prompt, one engine reads a document", 200_000, []change{quarter, func(c *router.Candidate) { quarter(c); c.PrefillLeft = 500_000 }}, admitter.Capacity{Slots: 4, PrefillRate: 10_000, UpstreamPrefillRate: 20_000, DecodeRate: 50, Running: 2, PrefillLeft: 125_000}},
		{"all engines read documents", 1000, []change{func(c *router.Candidate) { c.PrefillLeft = 500_000 }}, admitter.Capacity{Slots: 8, PrefillRate: 20_000, UpstreamPrefillRate: 20_000, DecodeRate: 50, PrefillLeft: 10_000}},
		{"document on the only engine for short prompts", 1000, []change{func(c *router.Candidate) { c.PrefillLeft = 500_000 }, func(c *router.Candidate) { c.LongOnly = true }}, admitter.Capacity{Slots: 8, PrefillRate: 20_000, UpstreamPrefillRate: 20_000, DecodeRate: 50, PrefillLeft: 500_000}},
		{"short prompt, one engine reserved", 1000, []change{quarter, func(c *router.Candidate) { c.LongOnly = true }}, admitter.Capacity{Slots: 2, PrefillRate: 5000, UpstreamPrefillRate: 20_000, DecodeRate: 50, Running: 1}},
		{"long prompt, one engine reserved", 200_000, []change{quarter, func(c *router.Candidate) { c.LongOnly = true }}, admitter.Capacity{Slots: 8, PrefillRate: 20_000, UpstreamPrefillRate: 20_000, DecodeRate: 50}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var cs []router.Candidate
			for _, c := range tt.change {
				cs = append(cs, engineWith("e", c))
			}
			assert.DeepEqual(t, router.EstimateCapacity(cs, tt.tokens), tt.want)
		})
	}
}
