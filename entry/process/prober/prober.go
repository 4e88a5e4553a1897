// Package prober asks upstreams for their health at the moment when one of them has
// declined to help with a prompt. It answers orders that take many upstreams away at
// once: these decline from then on, and the platform's list names them later, or
// not at all while it is down. Without it each try of a long prompt finds one more
// of them, until the tries are used up.
//
// An upstream's health is no reason to send it nothing: it may be false, either way.
// It only counts against it as a reader of parts, and for some seconds.
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
	// answerTime bounds an upstream's answer. Those that leave answer in a few
	// milliseconds; a busy one may have the check wait for a slot.
	answerTime = 50 * time.Millisecond
	// fresh is how old the answers may be that serve another request as well.
	fresh = 500 * time.Millisecond
	// most is how many upstreams are asked at a time.
	most = 64
)

// A Carrier sends requests to upstreams.
type Carrier interface {
	Send(ctx context.Context, address string, q carrier.Request) (*carrier.Exchange, *carrier.SendError)
}

// A Meter counts.
type Meter interface {
	Count(name string, n int64)
}

// Deps are what a Prober works with.
type Deps struct {
	Tracker *tracker.Tracker
	Carrier Carrier
	// Rejected says that an upstream did not take the check, as it is full: that says
	// nothing of its health.
	Rejected func(status int, h http.Header) bool
	Meter    Meter
	Now      func() time.Time
	Log      zerolog.Logger
}

// A Prober asks for health, for each service at most once in a while.
type Prober struct {
	deps Deps

	mu sync.Mutex
	// rounds are the last ones, by service.
	rounds map[string]*round
}

// A round is one time that a service's upstreams were asked.
type round struct {
	began time.Time
	done  chan struct{}
}

// New returns a Prober.
func New(d Deps) *Prober { return &Prober{deps: d, rounds: make(map[string]*round)} }

// Probe asks the upstreams of a service, and notes those that say that they are
// not healthy as leaving. It returns when they have answered, or had the time to.
func (p *Prober) Probe(ctx context.Context, s *matcher.Service) {
	if s.HealthPath == "" {
		return
	}
	now := p.deps.Now()
	p.mu.Lock()
	r, ok := p.rounds[s.Name]
	begins := !ok || now.Sub(r.began) > fresh
	if begins {
		r = &round{began: now, done: make(chan struct{})}
		p.rounds[s.Name] = r
	}
	p.mu.Unlock()
	if begins {
		go p.run(s, r)
	}
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}

// run makes one round. It does not end with the request that began it, as others may
// wait for it.
func (p *Prober) run(s *matcher.Service, r *round) {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	states := slices.DeleteFunc(p.deps.Tracker.Usable(r.began, s.Name), func(u tracker.State) bool {
		return r.began.Before(u.ColdUntil) || r.began.Before(u.LeavingUntil)
	})
	states = states[:min(len(states), most)]
	leaving := make([]bool, len(states))
	var all sync.WaitGroup
	for i := range states {
		all.Go(func() { leaving[i] = p.unhealthy(ctx, states[i].Address, s.HealthPath) })
	}
	all.Wait()
	var found []string
	for i := range states {
		if leaving[i] {
			p.deps.Tracker.ReportLeaving(p.deps.Now(), states[i].ID)
			found = append(found, states[i].ID)
		}
	}
	p.deps.Meter.Count("probes", int64(len(states)))
	p.deps.Log.Info().Str("service", s.Name).Int("asked", len(states)).Strs("leaving", found).
		Dur("took", p.deps.Now().Sub(r.began)).Msg("upstreams asked for their health")
}

// unhealthy says that an upstream answered that it is not healthy. One that does not
// answer in time may just be busy.
func (p *Prober) unhealthy(ctx context.Context, address, path string) bool {
	x, failure := p.deps.Carrier.Send(ctx, address, carrier.Request{Method: http.MethodGet, Target: path, Host: address})
	if failure != nil {
		p.deps.Log.Debug().Str("address", address).Err(failure).Msg("health not known")
		return false
	}
	defer x.Close()
	return x.Status == http.StatusServiceUnavailable && !p.deps.Rejected(x.Status, x.Header)
}
