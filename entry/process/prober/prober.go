// Package prober checks the health of a service's upstreams when one of them has
// declined to help with a prompt. It handles orders that remove many upstreams at
// once: those upstreams decline from then on, but the platform's list shows them as
// leaving only later, or not at all while the platform is down. Without a probe each
// attempt at a long prompt would hit another of them until the attempts are used up.
//
// A failed health check is no reason to stop all traffic to an upstream, because the
// result may be wrong either way. It only counts against the upstream as a reader of
// prompt parts, and for some seconds.
package prober

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// probeTimeout limits the wait for a probe response. A leaving upstream responds
	// within a few milliseconds; a busy one may queue the check until a slot is free.
	probeTimeout = 50 * time.Millisecond
	// maxResultAge is the maximum age of a round that another request may reuse.
	maxResultAge = 500 * time.Millisecond
	// maxProbes is the maximum number of upstreams probed in one round.
	maxProbes = 64
)

// A Carrier sends requests to upstreams.
type Carrier interface {
	Send(ctx context.Context, address string, q carrier.Request) (*carrier.Exchange, *carrier.SendError)
}

// A Meter increments named counters.
type Meter interface {
	Count(name string, n int64)
}

// Deps holds the dependencies of a Prober.
type Deps struct {
	Tracker *tracker.Tracker
	Carrier Carrier
	// Rejected reports whether an upstream rejected the health check because it is
	// full. Such a response says nothing about its health.
	Rejected func(status int, h http.Header) bool
	// Observe is called with each response of an upstream.
	Observe func(u tracker.Upstream, status int, h http.Header)
	Meter   Meter
	Now     func() time.Time
	Log     zerolog.Logger
}

// A Prober checks the health of upstreams, and reuses the result of a service's last
// round for up to maxResultAge.
type Prober struct {
	deps Deps

	mu sync.Mutex
	// rounds holds the latest round of each service.
	rounds map[string]*round
}

// A round is one concurrent probe of a service's upstreams.
type round struct {
	startedAt time.Time
	done      chan struct{}
}

// New returns a Prober that uses the given dependencies.
func New(d Deps) *Prober { return &Prober{deps: d, rounds: make(map[string]*round)} }

// Probe checks the upstreams of a service and marks those that report themselves
// unhealthy as leaving. It returns when the round is complete or ctx is done.
func (p *Prober) Probe(ctx context.Context, s *matcher.Service) {
	if s.HealthPath == "" {
		return
	}
	now := p.deps.Now()
	p.mu.Lock()
	r, ok := p.rounds[s.Name]
	isNew := !ok || now.Sub(r.startedAt) > maxResultAge
	if isNew {
		r = &round{startedAt: now, done: make(chan struct{})}
		p.rounds[s.Name] = r
	}
	p.mu.Unlock()
	if isNew {
		go p.runRound(s, r)
	}
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}

// runRound runs one round. It is not bound to the context of the request that started
// it, because other requests may wait for the same round.
func (p *Prober) runRound(s *matcher.Service, r *round) {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	states := slices.DeleteFunc(p.deps.Tracker.Usable(r.startedAt, s.Name), func(u tracker.State) bool {
		return r.startedAt.Before(u.ColdUntil) || r.startedAt.Before(u.LeavingUntil) || !p.deps.Tracker.BackoffUntil(r.startedAt, u.ID).IsZero()
	})
	states = states[:min(len(states), maxProbes)]
	leaving := make([]bool, len(states))
	var wg sync.WaitGroup
	for i := range states {
		wg.Go(func() { leaving[i] = p.reportsUnhealthy(ctx, states[i].Upstream, s.HealthPath) })
	}
	wg.Wait()
	var leavingIDs []string
	for i := range states {
		if leaving[i] {
			p.deps.Tracker.ReportLeaving(p.deps.Now(), states[i].ID)
			leavingIDs = append(leavingIDs, states[i].ID)
		}
	}
	p.deps.Meter.Count("probes", int64(len(states)))
	p.deps.Log.Info().Str("service", s.Name).Int("asked", len(states)).Strs("leaving", leavingIDs).
		Dur("took", p.deps.Now().Sub(r.startedAt)).Msg("probed the health of upstreams")
}

// reportsUnhealthy reports whether an upstream responded that it is unhealthy. An
// upstream that does not respond in time may only be busy and does not count.
func (p *Prober) reportsUnhealthy(ctx context.Context, u tracker.Upstream, path string) bool {
	exchange, failure := p.deps.Carrier.Send(ctx, u.Address, carrier.Request{Method: http.MethodGet, Target: path, Host: u.Address})
	if failure != nil {
		p.deps.Log.Debug().Str("address", u.Address).Err(failure).Msg("health probe failed")
		return false
	}
	defer exchange.Close()
	p.deps.Observe(u, exchange.Status, exchange.Header)
	return exchange.Status == http.StatusServiceUnavailable && !p.deps.Rejected(exchange.Status, exchange.Header)
}
