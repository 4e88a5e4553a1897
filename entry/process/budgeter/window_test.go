package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/budgeter"
)

// countFrom returns how many times lie within the span that starts at from.
func countFrom(times []time.Time, from time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Sub(from) <= span {
			n++
		}
	}
	return n
}

// All upstreams reject requests while the load changes. The retries of any window are
// measured against the requests of that window, of the one before it or of the one half a
// window before it. A budget that counts the requests before each retry allows more where
// the load was highest between two of these.
func TestRetriesStayWithinTheBudgetWhileLoadChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := names(rapid.IntRange(1, 7).Draw(t, "vms"))
		slack := float64(rapid.IntRange(0, 40).Draw(t, "slack"))
		budgets := make([]*budgeter.RetryBudget, len(vms))
		for i := range budgets {
			budgets[i] = budgeter.NewRetryBudget(0.2, slack, span)
		}
		live := budgeter.NewMemberHistory(span, time.Time{})
		live.Record(start, vms)
		var requests, retries []time.Time
		now := start
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			pause := time.Duration(rapid.IntRange(10, 1000).Draw(t, "pause")) * time.Millisecond
			mayRetry := rapid.Bool().Draw(t, "rejected")
			for end := now.Add(time.Duration(rapid.IntRange(500, 6000).Draw(t, "phase")) * time.Millisecond); now.Before(end); now = now.Add(pause) {
				i := len(requests) % len(vms)
				budgets[i].Sent(now)
				requests = append(requests, now)
				for mayRetry && budgets[i].TryRetry(now, vms[i], live) {
					retries = append(retries, now)
				}
			}
		}
		for _, from := range retries {
			n := max(countFrom(requests, from), countFrom(requests, from.Add(-span)), countFrom(requests, from.Add(-span/2)))
			if r := countFrom(retries, from); float64(r) > 0.2*float64(n)+slack {
				t.Fatalf("%d retries for %d requests, slack %v", r, n, slack)
			}
		}
	})
}

// All VMs have started again, and upstreams fail. A budget that lags would let none of the
// requests be retried.
func TestVMThatStartsMayRetry(t *testing.T) {
	budget, live := budgeter.NewRetryBudget(0.2, 100, span), budgeter.NewMemberHistory(span, start)
	live.Record(start, names(7))
	retries := 0
	for i := range 20 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		budget.Sent(now)
		if budget.TryRetry(now, "vm-0", live) {
			retries++
		}
	}
	assert.Equal(t, retries, 4)
}
