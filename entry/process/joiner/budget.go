package joiner

import (
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/process/budgeter"
)

// A budget bounds the repeats of each service over all VMs.
type budget struct {
	process *Process
	mu      sync.Mutex
	repeats map[string]*budgeter.RetryBudget
	history *budgeter.MemberHistory
}

func newBudget(v *Process) *budget {
	s := v.settings.Load()
	began := time.Now()
	if s.FleetBootstrap {
		began = time.Time{}
	}
	return &budget{
		process: v, repeats: make(map[string]*budgeter.RetryBudget), history: budgeter.NewMemberHistory(s.Bounds.RetryWindow, began),
	}
}

func (b *budget) of(service string) *budgeter.RetryBudget {
	bounds := b.process.settings.Load().Bounds
	r, ok := b.repeats[service]
	if !ok {
		r = budgeter.NewRetryBudget(bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow)
		b.repeats[service] = r
	}
	r.Ratio, r.Slack = bounds.RetryRatio, bounds.RetrySlack
	return r
}

// RecordRequest counts a request's first sending.
func (b *budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Sent(time.Now())
}

// TakeRetry asks for a repeat.
func (b *budget) TakeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.history.Record(now, b.process.gossiper.LiveVMs())
	return b.of(service).TryRetry(now, b.process.settings.Load().VM, b.history)
}

// note has the budget know which VMs live, also while it is not asked for.
func (b *budget) note(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history.Record(now, b.process.gossiper.LiveVMs())
}
