// Package reserver reserves memory at engines for prompts that do not fit on a
// single engine: at every engine that the request needs, or at none. It copes
// with VMs that crash, calls whose reply is lost and calls that take effect late.
// Memory is held under short leases that are renewed. Without them the memory of a
// crashed VM would stay reserved, and its engines would appear full forever.
package reserver

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

const (
	// renewalsPerLease is how often a lease is renewed within its duration, so that
	// a single lost renewal does not let it expire.
	renewalsPerLease = 3
	// callTimeout bounds one call to an engine. Engines reply within a few
	// milliseconds; the caller's deadline keeps running meanwhile.
	callTimeout = 400 * time.Millisecond
	// releaseAttempts is how often a release that fails is attempted. After that
	// the lease expires by itself.
	releaseAttempts = 3
)

// Error is the class of this package's errors.
var Error = errs.Class("reserver")

// An EngineClient reserves and releases memory at engines.
type EngineClient interface {
	// Reserve reserves memory under a name, or renews the lease of that name.
	Reserve(ctx context.Context, address, name string, tokens int, lease time.Duration) error
	// Release frees the memory reserved under a name.
	Release(ctx context.Context, address, name string) error
}

// An EngineMemory is an amount of memory at one engine, in tokens.
type EngineMemory struct {
	Address string
	Tokens  int
}

// A Reserver reserves memory at several engines at once.
type Reserver struct {
	prefix  string
	engines EngineClient
	lease   func() time.Duration
	log     zerolog.Logger
	nextID  atomic.Uint64
}

// New returns a Reserver. The names of its leases begin with prefix, which must be
// unique to this process; lease returns how long a lease lasts unless it is renewed.
func New(prefix string, engines EngineClient, lease func() time.Duration, log zerolog.Logger) *Reserver {
	return &Reserver{prefix: prefix, engines: engines, lease: lease, log: log}
}

// A Reservation is the memory reserved for one request.
type Reservation struct {
	// Names are the names of the leases, in the order of the parts.
	Names       []string
	reserver    *Reserver
	parts       []EngineMemory
	stopRenewal context.CancelFunc
	once        sync.Once
}

// Reserve reserves all parts, or none.
func (r *Reserver) Reserve(ctx context.Context, request string, parts []EngineMemory) (*Reservation, error) {
	res := &Reservation{reserver: r, parts: parts}
	for range parts {
		res.Names = append(res.Names, r.prefix+strconv.FormatUint(r.nextID.Add(1), 36))
	}
	errors := make([]error, len(parts))
	var calls sync.WaitGroup
	for i, p := range parts {
		calls.Go(func() { errors[i] = r.reserve(ctx, p, res.Names[i]) })
	}
	calls.Wait()
	if err := errs.Combine(errors...); err != nil {
		r.log.Info().Str("id", request).Int("parts", len(parts)).Err(err).Msg("memory reservation failed")
		// A call that got no reply may have taken effect at the engine.
		go res.releaseAll()
		return nil, Error.Wrap(err)
	}
	renewal, stop := context.WithCancel(context.WithoutCancel(ctx))
	res.stopRenewal = stop
	go res.renew(renewal)
	return res, nil
}

func (r *Reserver) reserve(ctx context.Context, p EngineMemory, name string) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.engines.Reserve(limited, p.Address, name, p.Tokens, r.lease())
}

// renew renews the leases until ctx is cancelled.
func (res *Reservation) renew(ctx context.Context) {
	t := time.NewTicker(res.reserver.lease() / renewalsPerLease)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		res.forEach(func(p EngineMemory, name string) {
			if err := res.reserver.reserve(ctx, p, name); err != nil && ctx.Err() == nil {
				res.reserver.log.Warn().Str("upstream", p.Address).Str("memory", name).Err(err).Msg("memory lease renewal failed")
			}
		})
	}
}

// Release stops the renewal and releases all parts in the background. It may be
// called more than once.
func (res *Reservation) Release() {
	res.once.Do(func() {
		res.stopRenewal()
		go res.releaseAll()
	})
}

func (res *Reservation) releaseAll() {
	res.forEach(res.reserver.release)
}

// forEach calls f for all parts at once, and waits. One after the other, engines that do
// not answer would delay the calls to those that do.
func (res *Reservation) forEach(f func(p EngineMemory, name string)) {
	var calls sync.WaitGroup
	for i, p := range res.parts {
		calls.Go(func() { f(p, res.Names[i]) })
	}
	calls.Wait()
}

func (r *Reserver) release(p EngineMemory, name string) {
	var err error
	for range releaseAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err = r.engines.Release(ctx, p.Address, name)
		cancel()
		if err == nil {
			return
		}
	}
	r.log.Warn().Str("upstream", p.Address).Str("memory", name).Err(err).Msg("memory release failed; the lease will expire")
}
