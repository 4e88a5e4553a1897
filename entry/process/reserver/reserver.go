// Package reserver sets memory aside at engines for prompts that no single
// engine has room for: at all that are needed, or at none. It answers VMs that
// die, orders whose answers are lost and orders that are carried out late.
// Without leases that are short and renewed, memory of a VM that died would
// stay taken, and engines would seem full forever.
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
	// renewals is how often a lease is renewed in its own length, so that one
	// lost renewal does not end it.
	renewals = 3
	// answerTime bounds one order. Engines answer in a few milliseconds; the
	// caller's time runs on meanwhile.
	answerTime = 400 * time.Millisecond
	// releases is how often a release without an answer is tried. The lease
	// ends by itself after that.
	releases = 3
)

// Error is the class of this package's errors.
var Error = errs.Class("reserver")

// An EngineClient gives orders to engines.
type EngineClient interface {
	// Reserve sets memory aside under a name, or renews it.
	Reserve(ctx context.Context, address, name string, tokens int, hold time.Duration) error
	// Release gives it back.
	Release(ctx context.Context, address, name string) error
}

// An EngineMemory is memory at one engine.
type EngineMemory struct {
	Address string
	Tokens  int
}

// A Reserver sets memory aside.
type Reserver struct {
	prefix  string
	orderer EngineClient
	hold    func() time.Duration
	log     zerolog.Logger
	ids     atomic.Uint64
}

// New returns a Reserver. Its names begin with prefix, which no other process
// uses; hold is how long a lease lasts unless it is renewed.
func New(prefix string, o EngineClient, hold func() time.Duration, log zerolog.Logger) *Reserver {
	return &Reserver{prefix: prefix, orderer: o, hold: hold, log: log}
}

// A Reservation is memory set aside for one request.
type Reservation struct {
	// Names are those of the parts, in their order.
	Names    []string
	reserver *Reserver
	parts    []EngineMemory
	stop     context.CancelFunc
	once     sync.Once
}

// Reserve sets all parts aside, or none.
func (r *Reserver) Reserve(ctx context.Context, request string, parts []EngineMemory) (*Reservation, error) {
	h := &Reservation{reserver: r, parts: parts}
	for range parts {
		h.Names = append(h.Names, r.prefix+strconv.FormatUint(r.ids.Add(1), 36))
	}
	errors := make([]error, len(parts))
	var all sync.WaitGroup
	for i, p := range parts {
		all.Go(func() { errors[i] = r.reserve(ctx, p, h.Names[i]) })
	}
	all.Wait()
	if err := errs.Combine(errors...); err != nil {
		r.log.Info().Str("id", request).Int("parts", len(parts)).Err(err).Msg("no memory set aside")
		// One that brought no answer may have been carried out.
		go h.giveBack()
		return nil, Error.Wrap(err)
	}
	keep, stop := context.WithCancel(context.WithoutCancel(ctx))
	h.stop = stop
	go h.renew(keep)
	return h, nil
}

func (r *Reserver) reserve(ctx context.Context, p EngineMemory, name string) error {
	short, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	return r.orderer.Reserve(short, p.Address, name, p.Tokens, r.hold())
}

// renew keeps the leases until the holding is released.
func (h *Reservation) renew(ctx context.Context) {
	t := time.NewTicker(h.reserver.hold() / renewals)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for i, p := range h.parts {
			if err := h.reserver.reserve(ctx, p, h.Names[i]); err != nil && ctx.Err() == nil {
				h.reserver.log.Warn().Str("upstream", p.Address).Str("memory", h.Names[i]).Err(err).Msg("memory not renewed")
			}
		}
	}
}

// Release gives all parts back. It does not wait for the engines.
func (h *Reservation) Release() {
	h.once.Do(func() {
		h.stop()
		go h.giveBack()
	})
}

func (h *Reservation) giveBack() {
	for i, p := range h.parts {
		h.reserver.release(p, h.Names[i])
	}
}

func (r *Reserver) release(p EngineMemory, name string) {
	var err error
	for range releases {
		ctx, cancel := context.WithTimeout(context.Background(), answerTime)
		err = r.orderer.Release(ctx, p.Address, name)
		cancel()
		if err == nil {
			return
		}
	}
	r.log.Warn().Str("upstream", p.Address).Str("memory", name).Err(err).Msg("memory not released; its lease will end")
}
