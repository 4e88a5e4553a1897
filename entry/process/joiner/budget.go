package joiner

import (
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/process/budgeter"
)

// A retryBudget limits the retries of each service across all VMs.
type retryBudget struct {
	process   *Process
	mu        sync.Mutex
	byService map[string]*budgeter.RetryBudget
	history   *budgeter.MemberHistory
}

func newRetryBudget(v *Process) *retryBudget {
	s := v.settings.Load()
	startedAt := time.Now()
	if s.FleetBootstrap {
		startedAt = time.Time{}
	}
	return &retryBudget{
		process: v, byService: make(map[string]*budgeter.RetryBudget), history: budgeter.NewMemberHistory(s.Bounds.RetryWindow, startedAt),
	}
}

func (b *retryBudget) forService(service string) *budgeter.RetryBudget {
	bounds := b.process.settings.Load().Bounds
	r, ok := b.byService[service]
	if !ok {
		r = budgeter.NewRetryBudget(bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow)
		b.byService[service] = r
	}
	r.Ratio, r.Slack = bounds.RetryRatio, bounds.RetrySlack
	return r
}

// RecordRequest counts the first attempt of a request.
func (b *retryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forService(service).Sent(time.Now())
}

// TakeRetry takes a retry from the budget and reports whether there was one.
func (b *retryBudget) TakeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.history.Record(now, b.process.gossiper.LiveVMs())
	return b.forService(service).TryRetry(now, b.process.settings.Load().VM, b.history)
}

// recordMembers records which VMs are live, also while no retries are requested.
func (b *retryBudget) recordMembers(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history.Record(now, b.process.gossiper.LiveVMs())
}
