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
	repeats map[string]*budgeter.Repeats
}

func newBudget(v *Process) *budget {
	return &budget{process: v, repeats: make(map[string]*budgeter.Repeats)}
}

func (b *budget) of(service string) *budgeter.Repeats {
	bounds := b.process.settings.Load().Bounds
	r, ok := b.repeats[service]
	if !ok {
		r = budgeter.NewRepeats(bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow)
		b.repeats[service] = r
	}
	r.Ratio, r.Slack = bounds.RetryRatio, bounds.RetrySlack
	return r
}

// Sent counts a request's first sending.
func (b *budget) Sent(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Sent(time.Now())
}

// Take asks for a repeat.
func (b *budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Take(time.Now(), b.process.settings.Load().VM, b.process.gossiper.VMs())
}
