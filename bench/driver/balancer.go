package driver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/heathervane/heathervane/bench/starter"
)

// A balancer stands in for the platform's: it spreads callers over the VMs
// that say they are ready. Like the real one it learns late that a VM is not.
type balancer struct {
	vms    []*starter.Process
	client *http.Client

	mu    sync.Mutex
	ready []string
}

func newBalancer(vms []*starter.Process) *balancer {
	const timeout = time.Second
	b := &balancer{vms: vms, client: &http.Client{Timeout: timeout}}
	for _, vm := range vms {
		b.ready = append(b.ready, vm.Line.Callers)
	}
	return b
}

// run checks the VMs until the context ends.
func (b *balancer) run(ctx context.Context) {
	const period = 250 * time.Millisecond
	ticks := time.NewTicker(period)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			b.check(ctx)
		}
	}
}

func (b *balancer) check(ctx context.Context) {
	answers := make([]bool, len(b.vms))
	var asking sync.WaitGroup
	for i, vm := range b.vms {
		asking.Go(func() { answers[i] = b.ask(ctx, vm.Line.Watch) })
	}
	asking.Wait()
	var ready []string
	for i, vm := range b.vms {
		if answers[i] {
			ready = append(ready, vm.Line.Callers)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	// Where no VM answers, a balancer that knows nothing better keeps all.
	if len(ready) > 0 {
		b.ready = ready
	}
}

func (b *balancer) ask(ctx context.Context, watch string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+watch+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	answer, err := b.client.Do(r)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// pick is the callers' address of a ready VM.
func (b *balancer) pick(n uint64) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[n%uint64(len(b.ready))]
}
