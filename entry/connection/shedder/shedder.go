// Package shedder decides when a VM that has too little processor time closes new connections
// of callers without reading from them. It reads no clock; how late a periodic timer fired
// is an argument.
//
// It answers load that comes to one VM while others are idle, such as a load balancer that
// sends most new connections there. Such a VM would read all requests, serve each of them too
// late, and hold them until their callers give up. A caller whose connection is closed
// unread may send any request again, and reaches another VM.
package shedder

import "time"

const (
	// ProbeInterval is the interval of the timer that is measured.
	ProbeInterval = 100 * time.Millisecond
	// lateLimit is how late the timer fires on a VM with too little processor time, and
	// recoveredLimit how late on one that has enough again. A processor quota alone makes
	// it less than 100 ms late.
	lateLimit      = 150 * time.Millisecond
	recoveredLimit = 50 * time.Millisecond
	// overloadDelay is for how long the timer must be late. A change of the configuration,
	// which all VMs apply at once, takes less.
	overloadDelay = 500 * time.Millisecond
	// maxLateness is more than a busy VM is late. A process that was suspended is not
	// overloaded.
	maxLateness = 2 * time.Second
	// startupDelay is how long after the start of a process no connection is closed. All
	// VMs may have started at once.
	startupDelay = 10 * time.Second
	// While the timer is late, the share of new connections that are accepted is halved with
	// each probe, down to minShare, so that the VM is not out of service. Then it grows by
	// shareStep with each probe.
	minShare  = 0.125
	shareStep = 0.05
)

// A Shedder is the state of one VM. Its zero value has seen no overload.
type Shedder struct {
	startedAt, lateSince time.Time
	// closedShare is the share of new connections that are closed, and credit the part of a
	// connection that may be accepted beyond those that were.
	closedShare, credit float64
}

// Probe records that the timer fired late by some time, and reports whether the VM begins to
// close new connections, or no longer does.
func (s *Shedder) Probe(now time.Time, late time.Duration) (changed bool) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	before := s.IsShedding()
	switch {
	case late > maxLateness || now.Sub(s.startedAt) < startupDelay:
		s.lateSince, s.closedShare = time.Time{}, 0
	case late >= lateLimit:
		if s.lateSince.IsZero() {
			s.lateSince = now.Add(-late)
		}
		if before || now.Sub(s.lateSince) >= overloadDelay {
			s.closedShare = min(1-minShare, (1+s.closedShare)/2)
		}
	case late < recoveredLimit:
		s.lateSince, s.closedShare = time.Time{}, max(0, s.closedShare-shareStep)
	case !before:
		s.lateSince = time.Time{}
	}
	return s.IsShedding() != before
}

// IsShedding reports whether the VM closes new connections.
func (s *Shedder) IsShedding() bool { return s.closedShare > 0 }

// Admit reports whether a new connection is accepted.
func (s *Shedder) Admit() bool {
	s.credit += 1 - s.closedShare
	if s.credit < 1 {
		return false
	}
	s.credit = min(1, s.credit-1)
	return true
}
