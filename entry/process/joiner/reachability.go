package joiner

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/detector"
	"github.com/heathervane/heathervane/entry/process/picker"
	"github.com/heathervane/heathervane/entry/process/tracker"
)

const (
	// reachabilitySample is the number of upstreams to which a check connects.
	reachabilitySample = 8
	// reachabilityTimeout limits the time to connect. Upstreams are a few milliseconds
	// away.
	reachabilityTimeout = 300 * time.Millisecond
	// reachabilityInterval is how often due checks are looked up.
	reachabilityInterval = 100 * time.Millisecond
)

// A reachability tells whether this VM can reach the upstreams of each service. It
// implements relayer.Reachability.
type reachability struct {
	*detector.Detector
	process *Process

	mu sync.Mutex
	// running has for each service with a running check a channel that is closed when the
	// check ends.
	running map[string]chan struct{}
}

func newReachability(v *Process) *reachability {
	return &reachability{Detector: detector.New(), process: v, running: make(map[string]chan struct{})}
}

// ReportFailure records a failure, waits for a running check and reports whether the
// upstreams of the service are unreachable.
func (r *reachability) ReportFailure(ctx context.Context, service, upstream string) (unreachable bool) {
	return r.checkIf(ctx, service, func(now time.Time) bool { return r.RecordFailure(now, service, upstream) })
}

// Confirm reports whether the upstreams of a service are unreachable, after a check if the
// last one is too old.
func (r *reachability) Confirm(ctx context.Context, service string) (unreachable bool) {
	return r.checkIf(ctx, service, func(now time.Time) bool { return r.ConfirmReachable(now, service) })
}

// checkIf starts a check if isDue says so, and waits for a running one.
func (r *reachability) checkIf(ctx context.Context, service string, isDue func(time.Time) bool) (unreachable bool) {
	r.mu.Lock()
	if now := time.Now(); isDue(now) {
		r.startCheck(now, service)
	}
	done := r.running[service]
	r.mu.Unlock()
	if done != nil && !r.Unreachable(service) {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	return r.Unreachable(service)
}

func (r *reachability) startDueChecks(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range r.DueChecks(now) {
		r.startCheck(now, service)
	}
}

func (r *reachability) startCheck(now time.Time, service string) {
	done := make(chan struct{})
	r.running[service] = done
	go func() {
		r.check(now, service)
		r.mu.Lock()
		delete(r.running, service)
		r.mu.Unlock()
		close(done)
	}()
}

// check connects to some upstreams of a service.
func (r *reachability) check(now time.Time, service string) {
	upstreams := r.process.tracker.Usable(now, service)
	rand.Shuffle(len(upstreams), func(i, j int) { upstreams[i], upstreams[j] = upstreams[j], upstreams[i] })
	c := connectToAll(upstreams[:min(len(upstreams), reachabilitySample)])
	result := r.RecordCheck(service, c)
	r.process.meter.Count("reachability.checks", 1)
	line := r.process.log.Info()
	if result.Changed {
		line = r.process.log.Warn()
	}
	line.Str("service", service).Int("asked", c.Asked).Int("reached", c.Reached).Bool("unreachable", result.Unreachable).
		Bool("changed", result.Changed).Dur("took", time.Since(now))
	if !result.Since.IsZero() {
		line.Dur("age", time.Since(result.Since))
	}
	line.Msg("connected to upstreams to check this VM's path to them")
	if result.Changed && result.Unreachable {
		// Requests on idle connections would hang or be reset.
		for _, u := range r.process.tracker.Usable(now, service) {
			r.process.carrier.CloseIdle(u.Address)
		}
	}
}

// connectToAll connects to upstreams at the same time. It ends as soon as enough are
// reached: requests wait for it.
func connectToAll(upstreams []tracker.State) detector.Check {
	ctx, cancel := context.WithTimeout(context.Background(), reachabilityTimeout)
	defer cancel()
	reached := make(chan bool, len(upstreams))
	for i := range upstreams {
		go func() { reached <- connects(ctx, upstreams[i].Address) }()
	}
	c := detector.Check{Asked: len(upstreams)}
	for range upstreams {
		if <-reached {
			c.Reached++
		}
		if c.Reached > 0 && c.Good() {
			break
		}
	}
	return c
}

func connects(ctx context.Context, address string) bool {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// peers are the VMs to which requests are forwarded. They implement relayer.Peers.
type peers struct {
	*picker.Picker
	process *Process
}

// Candidates returns the VMs that a request of a service tries.
func (p peers) Candidates(service string) []allocator.Member {
	return p.Picker.Candidates(time.Now(), service, p.process.self.Zone, p.process.gossiper.ReachableMembers())
}

// Avoid records that a VM declined a request or could not be reached.
func (p peers) Avoid(service, vm string) { p.Picker.Avoid(time.Now(), service, vm) }

// IsLive reports whether a VM sends heartbeats.
func (p peers) IsLive(vm string) bool {
	return slices.ContainsFunc(p.process.gossiper.ReachableMembers(), func(m allocator.Member) bool { return m.VM == vm })
}
