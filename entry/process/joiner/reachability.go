package joiner

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathervane/heathervane/entry/process/detector"
)

const (
	// reachabilitySample is the number of upstreams to which a check connects.
	reachabilitySample = 6
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
}

// ReportFailure records that a connection to an upstream failed, or that a request on it
// made no progress.
func (r *reachability) ReportFailure(service string) {
	if now := time.Now(); r.RecordFailure(now, service) {
		go r.check(now, service)
	}
}

func (r *reachability) runDueChecks(now time.Time) {
	for _, service := range r.DueChecks(now) {
		go r.check(now, service)
	}
}

// check connects to some upstreams of a service.
func (r *reachability) check(now time.Time, service string) {
	upstreams := r.process.tracker.Usable(now, service)
	rand.Shuffle(len(upstreams), func(i, j int) { upstreams[i], upstreams[j] = upstreams[j], upstreams[i] })
	upstreams = upstreams[:min(len(upstreams), reachabilitySample)]
	var reached atomic.Int32
	var wg sync.WaitGroup
	for i := range upstreams {
		wg.Go(func() {
			if connects(upstreams[i].Address) {
				reached.Add(1)
			}
		})
	}
	wg.Wait()
	c := detector.Check{Asked: len(upstreams), Reached: int(reached.Load())}
	unreachable, changed := r.RecordCheck(service, c)
	r.process.meter.Count("reachability.checks", 1)
	line := r.process.log.Info()
	if changed {
		line = r.process.log.Warn()
	}
	line.Str("service", service).Int("asked", c.Asked).Int("reached", c.Reached).Bool("unreachable", unreachable).
		Bool("changed", changed).Dur("took", time.Since(now)).Msg("connected to upstreams to check this VM's path to them")
}

func connects(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reachabilityTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}
