package budgeter_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/budgeter"
)

var start = time.Unix(1_000_000, 0)

func names(n int) []string {
	var vms []string
	for i := range n {
		vms = append(vms, "vm-"+strconv.Itoa(i))
	}
	return vms
}

// VMs that each take a rounded-up part of a bound send more than it in sum, and
// a cold engine falls over under first requests that each VM took for its own.
func TestPartsNeverExceedTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := names(rapid.IntRange(1, 400).Draw(t, "vms"))
		bound := rapid.Float64Range(0, 500).Draw(t, "bound")
		matter := rapid.String().Draw(t, "matter")
		sum := 0
		for _, vm := range vms {
			sum += budgeter.Quota(bound, matter, vm, vms)
		}
		if sum != int(bound) {
			t.Fatalf("%d VMs have %d of %v", len(vms), sum, bound)
		}
	})
}

// With more VMs than the bound allows, an upstream in cold start must be open to
// some VMs, and different ones to different VMs: else one VM gets all of the
// cold engines and the others none.
func TestSmallPartsSpreadOverVMs(t *testing.T) {
	vms := names(90)
	open := 0
	for _, vm := range vms {
		for i := range 30 {
			if budgeter.Quota(59, "cold u"+strconv.Itoa(i), vm, vms) > 0 {
				open++
				break
			}
		}
	}
	assert.Equal(t, open, len(vms))
}

// Requests that come at any times must never be sent on to a cold upstream
// beyond its bound within any second, over all VMs together.
func TestColdUpstreamGetsNoMoreThanItsBoundInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := names(rapid.IntRange(1, 12).Draw(t, "vms"))
		bound := float64(rapid.IntRange(1, 60).Draw(t, "bound"))
		colds := make([]*budgeter.ColdLimiter, len(vms))
		for i := range colds {
			colds[i] = budgeter.NewColdLimiter()
		}
		now := start
		var sent []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			if colds[i].Available(now, budgeter.Quota(bound, "u", vms[i], vms)) > 0 {
				colds[i].Sent(now)
				sent = append(sent, now)
			}
		}
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					n++
				}
			}
			if n > int(bound) {
				t.Fatalf("%d within a second, bound %v", n, bound)
			}
		}
	})
}

// A service that fails everything makes each VM repeat what it sent: without a
// bound it gets twice its load when it can bear least.
func TestRepeatsStayWithinTheBudgetInAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := names(rapid.IntRange(1, 9).Draw(t, "vms"))
		slack := float64(rapid.IntRange(0, 40).Draw(t, "slack"))
		budgets := make([]*budgeter.RetryBudget, len(vms))
		for i := range budgets {
			budgets[i] = budgeter.NewRetryBudget(0.2, slack, span)
		}
		now := start
		live := budgeter.NewMemberHistory(span, time.Time{})
		live.Record(now, vms)
		var firsts, again []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			budgets[i].Sent(now)
			firsts = append(firsts, now)
			if budgets[i].TryRetry(now, vms[i], live) {
				again = append(again, now)
			}
		}
		for _, to := range again {
			repeats, requests := within(again, to), within(firsts, to)+within(firsts, to.Add(-span))
			if float64(repeats) > 0.2*float64(requests)+slack {
				t.Fatalf("%d repeats for %d requests", repeats, requests)
			}
		}
	})
}

// span is that of the budget of repeats.
const span = 10 * time.Second

func within(times []time.Time, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.After(to) && to.Sub(at) < span {
			n++
		}
	}
	return n
}

// A VM that starts again does not know what it has used, and one that joins adds its
// part to what the others have used: a service that fails everything would get the
// slack twice.
func TestRepeatsStayWithinTheBudgetWhereVMsStartAgainAndJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slack := float64(rapid.IntRange(0, 60).Draw(t, "slack"))
		vms := names(rapid.IntRange(1, 9).Draw(t, "vms"))
		now := start
		budgets, live := map[string]*budgeter.RetryBudget{}, map[string]*budgeter.MemberHistory{}
		begin := func(vm string, began time.Time) {
			budgets[vm], live[vm] = budgeter.NewRetryBudget(0.2, slack, span), budgeter.NewMemberHistory(span, began)
		}
		for _, vm := range vms {
			begin(vm, time.Time{})
		}
		var firsts, again []time.Time
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				begin(rapid.SampledFrom(vms).Draw(t, "starts again"), now)
			case 1:
				vms = names(len(vms) + 1)
				begin(vms[len(vms)-1], now)
			default:
				if len(vms) > 1 {
					vms = vms[:len(vms)-1]
				}
			}
			for range rapid.IntRange(0, 60).Draw(t, "requests") {
				now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "pause")) * time.Millisecond)
				for _, vm := range vms {
					live[vm].Record(now, vms)
				}
				vm := rapid.SampledFrom(vms).Draw(t, "vm")
				budgets[vm].Sent(now)
				firsts = append(firsts, now)
				for budgets[vm].TryRetry(now, vm, live[vm]) {
					again = append(again, now)
				}
			}
		}
		for _, to := range again {
			repeats, requests := within(again, to), within(firsts, to)+within(firsts, to.Add(-span))
			if float64(repeats) > 0.2*float64(requests)+slack {
				t.Fatalf("%d repeats for %d requests and a slack of %v", repeats, requests, slack)
			}
		}
	})
}

// VMs that each keep a few idle connections would take all that a small service
// accepts, and its requests are reset.
func TestIdleConnectionsOfAllVMsLeaveRoomForRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := names(rapid.IntRange(1, 330).Draw(t, "vms"))
		connections := rapid.IntRange(1, 1400).Draw(t, "connections")
		sum := 0
		for _, vm := range vms {
			sum += budgeter.IdleConnections(connections, 4, "u", vm, vms)
		}
		if sum > (connections+1)/2 {
			t.Fatalf("%d VMs keep %d of %d", len(vms), sum, connections)
		}
	})
}
