// Package dispatcher joins the decisions under load to the requests of one
// process: a request asks for a place at an upstream, waits its turn, and is
// given the place or a refusal, once and at once. The decisions themselves are
// the admitter's (what is let in, in which order), the router's (where) and the
// supplier's (how much of each upstream this VM may use).
package dispatcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathervane/heathervane/entry/process/indexer"
	"github.com/heathervane/heathervane/entry/process/splitter"
	"github.com/heathervane/heathervane/entry/request/admitter"
	"github.com/heathervane/heathervane/entry/request/ranker"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/router"
	"github.com/heathervane/heathervane/entry/version/viewer"
)

// An Outcome is how work at an upstream ended.
type Outcome int

// The outcomes of work.
const (
	// Completed is a whole answer: proof that the upstream bears its load.
	Completed Outcome = iota
	// Cut is an answer that broke off.
	Cut
	// Refused is work that the upstream did not take.
	Refused
	// Cancelled is work given up by the caller or at its limit.
	Cancelled
)

// A Supply is what this VM may use of an upstream, and what it last heard.
type Supply struct {
	// Free is how many slots can be taken now, Slots how many this VM has in
	// all, Mine how many it has in use.
	Free, Slots, Mine int
	// Cold says that the upstream bears only a little.
	Cold bool
	// Boot is the upstream's boot number, 0 where unknown.
	Boot uint64
	// Running, Waiting, Used, Memory and PrefillLeft are its last report,
	// and Age is how old that is.
	Running, Waiting int
	Used, Memory     int
	PrefillLeft      int
	Age              time.Duration
}

// A Slot is one place at an upstream, in use until Done.
type Slot interface {
	// Boot is the upstream's boot number that it was lent under.
	Boot() uint64
	// Live tells whether work may still be sent on it. Whoever sends asks just
	// before: a process that was frozen in between wakes with slots that the
	// others have long counted as unused.
	Live() bool
	Done(o Outcome)
}

// A Supplier lends places at upstreams.
type Supplier interface {
	Supply(upstream string) Supply
	Take(upstream string, tokens int) (Slot, bool)
	// Want tells how many more requests could go there, Need how much memory
	// one part of a group could use; both are said again while they are true.
	Want(upstream string, n int)
	Need(upstream string, tokens int)
	// VMs are the entry VMs that live, this one included, by name in order.
	VMs() []string
}

// Speeds tells how fast upstreams are: 1 as promised.
type Speeds interface {
	Speed(upstream string) float64
}

// Config are the choices of a Dispatcher.
type Config struct {
	// Zone is this VM's availability zone.
	Zone string
	// VM is this VM's id: upstreams are ordered by it where there are more
	// than one VM should know.
	VM string
	// Router and Queue name policies: the product's, or a baseline's.
	Router string
	Queue  string
	// Engines says how engines are shared out: Shared, Split or Homes.
	Engines string
}

// The ways to share out engines.
const (
	// Shared engines are open to every prompt.
	Shared = "shared"
	// Split sets some engines apart for long prompts.
	Split = "split"
	// Homes makes each engine the home of one VM, besides.
	Homes = "homes"
)

// A Dispatcher places requests at upstreams.
type Dispatcher struct {
	config   Config
	supplier Supplier
	speeds   Speeds
	now      func() time.Time
	ids      atomic.Uint64
	avoided  atomic.Pointer[[]string]

	mu    sync.Mutex
	pools map[string]*pool

	backoffMu sync.Mutex
	// backoffs holds until when upstreams want no requests from this VM.
	backoffs map[string]time.Time
}

// New returns a Dispatcher without pools; Configure brings them.
func New(c Config, s Supplier, v Speeds, now func() time.Time) *Dispatcher {
	return &Dispatcher{config: c, supplier: s, speeds: v, now: now, pools: make(map[string]*pool), backoffs: make(map[string]time.Time)}
}

// Avoid names the upstreams that get no new work from now on; what runs there
// goes on. Each call replaces the names of the one before.
func (d *Dispatcher) Avoid(names []string) {
	names = slices.Clone(names)
	d.avoided.Store(&names)
}

func (d *Dispatcher) avoids(now time.Time, name string) bool {
	if names := d.avoided.Load(); names != nil && slices.Contains(*names, name) {
		return true
	}
	d.backoffMu.Lock()
	defer d.backoffMu.Unlock()
	return now.Before(d.backoffs[name])
}

// BackOff keeps new work of this VM from an upstream that asked for it, for a duration. A
// shorter one does not end a longer one.
func (d *Dispatcher) BackOff(upstream string, wait time.Duration) {
	d.backoffMu.Lock()
	defer d.backoffMu.Unlock()
	now := d.now()
	for name, until := range d.backoffs {
		if !now.Before(until) {
			delete(d.backoffs, name)
		}
	}
	if until := now.Add(wait); until.After(d.backoffs[upstream]) {
		d.backoffs[upstream] = until
	}
}

// Configure puts a version of the configuration in force. Requests that wait
// for a pool that is no more are refused.
func (d *Dispatcher) Configure(v *viewer.View) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := make(map[string]*pool)
	for _, vp := range v.Pools() {
		key := poolKey(vp)
		p, ok := d.pools[key]
		if !ok {
			var err error
			if p, err = d.newPool(); err != nil {
				return err
			}
		}
		p.configure(vp)
		kept[key] = p
	}
	for key, p := range d.pools {
		if _, ok := kept[key]; !ok {
			p.close()
		}
	}
	d.pools = kept
	return nil
}

func (d *Dispatcher) newPool() (*pool, error) {
	seed := rand.Uint64()
	picker, err := router.New(d.config.Router, rand.New(rand.NewPCG(seed, d.ids.Add(1))))
	if err != nil {
		return nil, err
	}
	p := &pool{
		dispatcher: d,
		admitter:   admitter.New(admitter.Config{Queue: d.config.Queue}),
		picker:     picker,
		waiting:    make(map[uint64]*waiter),
		sent:       make(map[string][]sending),
		unread:     make(map[string]*atomic.Int64),
		indexer:    indexer.New(mostHints),
		affinity:   affinity{way: d.config.Engines, splitter: splitter.New(splitter.Config{})},
		ranker:     ranker.New(),
	}
	return p, nil
}

func poolKey(p *viewer.Pool) string {
	if p.Service {
		return "service " + p.Name
	}
	return "model " + p.Name
}

// A Call is a request for a place.
type Call struct {
	Pool *viewer.Pool
	// Ask is what the admitter and the router decide on. Its ID is given
	// here; the rest is the caller's.
	Ask admitter.Request
	// Avoid names upstreams that have refused this request already.
	Avoid []string
}

// A Grant is a place at one upstream, or at each of a group.
type Grant struct {
	Parts []Part
	// Over says that its team uses more than its share now, so that at the
	// engines its work yields to other teams' of its kind.
	Over bool
}

// A Part is a place at one upstream.
type Part struct {
	Upstream viewer.Upstream
	// Boot is the boot number that the place was lent under, 0 if unknown.
	Boot uint64
	// Tokens is how much of the prompt this part is, and Ahead how many tokens
	// of other prompts the upstream had left to read before it.
	Tokens, Ahead int
	Slot          Slot
}

// Done gives all places back.
func (g *Grant) Done(o Outcome) {
	for _, p := range g.Parts {
		p.Slot.Done(o)
	}
}

// Names are the names of the upstreams, in the order of the parts.
func (g *Grant) Names() []string {
	names := make([]string, 0, len(g.Parts))
	for _, p := range g.Parts {
		names = append(names, p.Upstream.Name)
	}
	return names
}

// Acquire waits for a place. It returns at once with a refusal where the work
// cannot be done in time, and as soon as that becomes so while it waits.
func (d *Dispatcher) Acquire(ctx context.Context, c Call) (*Grant, *refuser.Refusal) {
	p, ok := d.pool(c.Pool)
	if !ok {
		return nil, refuser.New(404, "gone", "%s is no longer served", c.Pool.Name)
	}
	c.Ask.ID = d.ids.Add(1)
	return p.acquire(ctx, c)
}

// Pump places what can be placed, and gives up what can no longer be done. The
// timer and the supplier's changes call it.
func (d *Dispatcher) Pump() {
	d.mu.Lock()
	pools := make([]*pool, 0, len(d.pools))
	for _, p := range d.pools {
		pools = append(pools, p)
	}
	d.mu.Unlock()
	for _, p := range pools {
		p.pump()
	}
}

func (d *Dispatcher) pool(p *viewer.Pool) (*pool, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found, ok := d.pools[poolKey(p)]
	return found, ok
}

// Waiting is how many requests wait in all pools.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, p := range d.pools {
		n += p.size()
	}
	return n
}
