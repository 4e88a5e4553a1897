// Package detector detects that this VM cannot reach the upstreams of a service. It
// answers a network partition between one VM and the upstreams: each connection fails
// there as if its upstream had crashed, while other VMs reach all of them. A few failed
// connections may as well mean that their upstreams have crashed, so they only cause a
// check, which connects to a sample of the service's upstreams.
//
// The package reads no clock and opens no connections. A Detector is safe for concurrent
// use.
package detector

import (
	"maps"
	"sync"
	"time"
)

const (
	// checkThreshold is the number of upstreams with failures within failureWindow that
	// cause a check.
	checkThreshold = 2
	failureWindow  = 2 * time.Second
	// checkInterval is the least time between two checks of a service, and the interval of
	// checks while its upstreams are unreachable.
	checkInterval = 500 * time.Millisecond
	// confirmedPeriod is how long the result of a check is good enough to take requests from
	// VMs that reach no upstream.
	confirmedPeriod = time.Second
	// recoveryChecks is the number of consecutive good checks after which upstreams count
	// as reachable again: a lossy path lets single connections through.
	recoveryChecks = 2
	// reachedDivisor is the inverse of the share of the sample that must be reached. It is
	// small, because upstreams of a whole zone may have crashed.
	reachedDivisor = 3
)

// A Detector holds the state of each service.
type Detector struct {
	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	// failures are the times of recent failures by upstream.
	failures    map[string]time.Time
	checkedAt   time.Time
	checking    bool
	unreachable bool
	// since is when the first of the failures occurred that led to unreachable, or the
	// current ones.
	since      time.Time
	goodChecks int
}

// A Result is what a check has shown.
type Result struct {
	// Unreachable reports whether the upstreams are unreachable, and Changed whether they
	// were not, or were, before.
	Unreachable, Changed bool
	// Since is when the first failure occurred; zero if there was none.
	Since time.Time
}

// A Check is the result of connecting to a sample of a service's upstreams.
type Check struct {
	// Asked is the size of the sample, and Reached the number of successful connections.
	Asked, Reached int
}

// Good reports whether enough upstreams were reached.
func (c Check) Good() bool { return c.Reached*reachedDivisor >= c.Asked }

// New returns a Detector for which all upstreams are reachable.
func New() *Detector { return &Detector{services: make(map[string]*service)} }

// RecordFailure records that a connection to an upstream of a service failed, or that a
// request on it made no progress. It reports whether to check the service now; if so,
// RecordCheck must follow.
func (d *Detector) RecordFailure(now time.Time, name, upstream string) (check bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(name)
	maps.DeleteFunc(s.failures, func(_ string, at time.Time) bool { return now.Sub(at) > failureWindow })
	if len(s.failures) == 0 && !s.unreachable {
		s.since = now
	}
	s.failures[upstream] = now
	return len(s.failures) >= checkThreshold && s.beginCheck(now)
}

// ConfirmReachable reports whether to check a service now because it was not checked for
// confirmedPeriod. RecordCheck must follow then.
func (d *Detector) ConfirmReachable(now time.Time, name string) (check bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(name)
	return now.Sub(s.checkedAt) >= confirmedPeriod && s.beginCheck(now)
}

func (d *Detector) service(name string) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{failures: make(map[string]time.Time)}
		d.services[name] = s
	}
	return s
}

// beginCheck reports whether a check is due, and begins it.
func (s *service) beginCheck(now time.Time) bool {
	if s.checking || (!s.checkedAt.IsZero() && now.Sub(s.checkedAt) < checkInterval) {
		return false
	}
	s.checking, s.checkedAt = true, now
	return true
}

// DueChecks returns the services whose upstreams are unreachable and that are to be
// checked now. RecordCheck must follow for each.
func (d *Detector) DueChecks(now time.Time) (names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, s := range d.services {
		if s.unreachable && s.beginCheck(now) {
			names = append(names, name)
		}
	}
	return names
}

// RecordCheck records the result of a check.
func (d *Detector) RecordCheck(name string, c Check) Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(name)
	s.checking = false
	clear(s.failures)
	before := s.unreachable
	switch {
	case !c.Good():
		s.unreachable, s.goodChecks = true, 0
	case s.unreachable:
		s.goodChecks++
		s.unreachable = s.goodChecks < recoveryChecks
	}
	return Result{Unreachable: s.unreachable, Changed: s.unreachable != before, Since: s.since}
}

// Unreachable reports whether this VM cannot reach the upstreams of a service.
func (d *Detector) Unreachable(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.services[name]
	return ok && s.unreachable
}

// CountUnreachable returns the number of services whose upstreams are unreachable.
func (d *Detector) CountUnreachable() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, s := range d.services {
		if s.unreachable {
			n++
		}
	}
	return n
}
