package picker_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/picker"
)

var start = time.Unix(1000, 0)

func members(zones ...string) (ms []allocator.Member) {
	for i, zone := range zones {
		ms = append(ms, allocator.Member{VM: fmt.Sprintf("vm-%d", i), Zone: zone})
	}
	return ms
}

// When all VMs of a zone have lost their path to the upstreams, each of their requests must
// reach a VM of another zone within its tries.
func TestRequestsReachAnotherZoneWhileTheWholeZoneIsPartitioned(t *testing.T) {
	zones := make([]string, 60)
	for i := range zones {
		zones[i] = "a"
		if i >= 40 {
			zones[i] = "b"
		}
	}
	p, ms := picker.New(), members(zones...)
	tries := 0
	for i := range 200 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		served := false
		for _, m := range p.Candidates(now, "s", "a", ms) {
			tries++
			if served = m.Zone == "b"; served {
				p.Accepted("s", m.VM)
				break
			}
			p.Avoid(now, "s", m.VM)
		}
		assert.Assert(t, served)
	}
	assert.Assert(t, tries < 400, "%d tries of 200 requests", tries)
}

// Requests must be spread over all VMs that take them, and those that leave get none.
func TestRequestsAreSpreadOverVMs(t *testing.T) {
	p, ms := picker.New(), members("a", "a", "a", "a", "a", "a")
	ms[5].Leaving = true
	got := map[string]int{}
	for range 1000 {
		candidates := p.Candidates(start, "s", "a", ms)
		assert.Equal(t, len(candidates), 4)
		got[candidates[0].VM]++
	}
	assert.Equal(t, len(got), 5)
	for vm, n := range got {
		assert.Assert(t, n > 120 && n < 280, "%s got %d of 1000", vm, n)
	}
}

// A VM that declines must be tried again, ever less often, and for other services at once.
func TestVMsThatDeclineAreAvoidedForAWhile(t *testing.T) {
	p, ms := picker.New(), members("a")
	now := start
	for _, period := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		assert.Equal(t, len(p.Candidates(now, "s", "a", ms)), 1)
		p.Avoid(now, "s", "vm-0")
		p.Avoid(now, "s", "vm-0")
		assert.Equal(t, len(p.Candidates(now.Add(period-1), "s", "a", ms)), 0)
		assert.Equal(t, len(p.Candidates(now, "other", "a", ms)), 1)
		now = now.Add(period)
	}
	p.Accepted("s", "vm-0")
	p.Avoid(now, "s", "vm-0")
	assert.Equal(t, len(p.Candidates(now.Add(time.Second), "s", "a", ms)), 1)
}
