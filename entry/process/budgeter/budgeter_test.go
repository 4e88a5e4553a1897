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

// If each VM rounded its quota up, all VMs together would exceed the limit, and a
// cold engine would crash under first requests that each VM counted as its own.
func TestQuotasAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := names(rapid.IntRange(1, 400).Draw(t, "vms"))
		limit := rapid.Float64Range(0, 500).Draw(t, "limit")
		resource := rapid.String().Draw(t, "resource")
		sum := 0
		for _, vm := range vms {
			sum += budgeter.Quota(limit, resource, vm, vms)
		}
		if sum != int(limit) {
			t.Fatalf("quotas of %d VMs add up to %d, limit %v", len(vms), sum, limit)
		}
	})
}

// With more VMs than units of the limit, each cold upstream must be available to
// some VMs, and different upstreams to different VMs. Otherwise one VM gets all
// cold engines and the others none.
func TestSmallQuotasSpreadOverVMs(t *testing.T) {
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

// Whenever requests arrive, all VMs together must not send a cold upstream more
// than its limit within any second.
func TestColdUpstreamStaysWithinItsLimitInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := names(rapid.IntRange(1, 12).Draw(t, "vms"))
		limit := float64(rapid.IntRange(1, 60).Draw(t, "limit"))
		limiters := make([]*budgeter.ColdLimiter, len(vms))
		for i := range limiters {
			limiters[i] = budgeter.NewColdLimiter()
		}
		now := start
		var sent []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			if limiters[i].Available(now, budgeter.Quota(limit, "u", vms[i], vms)) > 0 {
				limiters[i].Sent(now)
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
			if n > int(limit) {
				t.Fatalf("%d requests within a second, limit %v", n, limit)
			}
		}
	})
}

// When a service fails every request, each VM retries what it sent. Without a
// budget the service gets twice its load while it can serve least.
func TestRetriesStayWithinTheBudgetInAnyWindow(t *testing.T) {
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
		var firsts, retried []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			budgets[i].Sent(now)
			firsts = append(firsts, now)
			if budgets[i].TryRetry(now, vms[i], live) {
				retried = append(retried, now)
			}
		}
		for _, to := range retried {
			retries, requests := within(retried, to), within(firsts, to)+within(firsts, to.Add(-span))
			if float64(retries) > 0.2*float64(requests)+slack {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

// span is the window of the retry budgets in these tests.
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

// A VM that restarts does not know what it has used, and one that joins adds its
// quota to what the others have used. A service that fails every request would get
// the slack twice.
func TestRetriesStayWithinTheBudgetWhenVMsRestartAndJoin(t *testing.T) {
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
		var firsts, retried []time.Time
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				begin(rapid.SampledFrom(vms).Draw(t, "restarted"), now)
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
					retried = append(retried, now)
				}
			}
		}
		for _, to := range retried {
			retries, requests := within(retried, to), within(firsts, to)+within(firsts, to.Add(-span))
			if float64(retries) > 0.2*float64(requests)+slack {
				t.Fatalf("%d retries for %d requests, slack %v", retries, requests, slack)
			}
		}
	})
}

// If each VM kept a few idle connections, they would take all connections that a
// small service accepts, and requests would be reset.
func TestIdleConnectionsLeaveRoomForRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := names(rapid.IntRange(1, 330).Draw(t, "vms"))
		connections := rapid.IntRange(1, 1400).Draw(t, "connections")
		sum := 0
		for _, vm := range vms {
			sum += budgeter.IdleConnections(connections, 4, "u", vm, vms)
		}
		if sum > (connections+1)/2 {
			t.Fatalf("%d VMs keep %d idle connections of %d", len(vms), sum, connections)
		}
	})
}
