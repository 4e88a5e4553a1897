// Package redialer limits the connections that a VM opens in place of connections that
// never came up. It answers the loss of many upstreams at once: each request sent to one
// of them needs another connection, to which no retry budget applies because no upstream
// got a byte, and without a limit the VMs would open several connections for each request
// at the upstreams that are left.
package redialer

import (
	"sync"
	"time"
)

const (
	// burst is how many connections a VM may open at once for a service in place of others,
	// and perSecond how many more it may open each second. Both are small, as the limit on
	// new connections that upstreams set is for all VMs together.
	burst     = 16
	perSecond = 4
	// perRequest is how many connections each request adds: on average, a request may need
	// one more than its first.
	perRequest = 1
)

// A Redialer holds a token bucket for each service. It is safe for concurrent use.
type Redialer struct {
	mu       sync.Mutex
	services map[string]*bucket
}

type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// New returns a Redialer with full buckets.
func New() *Redialer { return &Redialer{services: make(map[string]*bucket)} }

// RecordRequest counts the first attempt of a request of a service.
func (r *Redialer) RecordRequest(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refilled(now, service)
	b.tokens = min(burst, b.tokens+perRequest)
}

// Allow reports whether another connection may be opened in place of one that never came
// up, and counts it if so.
func (r *Redialer) Allow(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refilled(now, service)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (r *Redialer) refilled(now time.Time, service string) *bucket {
	b, ok := r.services[service]
	if !ok {
		b = &bucket{tokens: burst, updatedAt: now}
		r.services[service] = b
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens = min(burst, b.tokens+perSecond*elapsed.Seconds())
		b.updatedAt = now
	}
	return b
}
