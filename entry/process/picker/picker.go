// Package picker chooses the VMs to which this VM forwards requests of a service whose
// upstreams it cannot reach. It spreads them over the VMs that have not declined lately:
// during a network partition many VMs, or all of a zone, may reach no upstream either.
//
// The package reads no clock. A Picker is safe for concurrent use.
package picker

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/process/allocator"
)

const (
	// maxCandidates is the number of VMs that one request tries.
	maxCandidates = 4
	// avoidPeriod is how long a VM that declined gets no requests of the service. It
	// doubles each time, up to maxAvoidPeriod.
	avoidPeriod    = time.Second
	maxAvoidPeriod = 4 * time.Second
)

// A Picker holds the VMs to avoid.
type Picker struct {
	mu      sync.Mutex
	avoided map[target]avoidance
}

type target struct{ service, vm string }

type avoidance struct {
	until  time.Time
	period time.Duration
}

// New returns a Picker that avoids no VM.
func New() *Picker { return &Picker{avoided: make(map[target]avoidance)} }

// Candidates returns the VMs to try, in this order: VMs of this zone, because traffic
// between zones is expensive, then of others. At least one is of another zone if there is
// any, as the whole zone may be partitioned from the upstreams.
func (p *Picker) Candidates(now time.Time, service, zone string, members []allocator.Member) []allocator.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var local, remote []allocator.Member
	for _, m := range members {
		switch {
		case m.Leaving || now.Before(p.avoided[target{service, m.VM}].until):
		case m.Zone == zone:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	shuffle(local)
	shuffle(remote)
	n := maxCandidates
	if len(remote) > 0 {
		n--
	}
	candidates := local[:min(len(local), n)]
	return append(candidates, remote[:min(len(remote), maxCandidates-len(candidates))]...)
}

func shuffle(members []allocator.Member) {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// Avoid records that a VM declined a request of a service or could not be reached.
func (p *Picker) Avoid(now time.Time, service, vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := target{service, vm}
	a := p.avoided[t]
	if now.Before(a.until) {
		// Another request has tried it at the same time.
		return
	}
	a.period = min(maxAvoidPeriod, max(avoidPeriod, 2*a.period))
	a.until = now.Add(a.period)
	p.avoided[t] = a
}

// Accepted records that a VM accepted a request of a service.
func (p *Picker) Accepted(service, vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.avoided, target{service, vm})
}
