// Package coordinator joins the parts that lend and borrow what upstreams can
// bear: it alone has goroutines and speaks to the log, the list, other VMs and
// upstreams. What it decides is decided in Node, which is pure, and in the
// packages that Node joins. It does not send requests to upstreams and does not
// choose between them.
package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/entry/process/borrower"
	"github.com/heathervane/heathervane/entry/process/lender"
	"github.com/heathervane/heathervane/entry/process/member"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/checker"
	"github.com/heathervane/heathervane/library/lister"
	"github.com/heathervane/heathervane/library/ticker"
)

// ErrLeave is the class of leaves that could not hand over all in time.
var ErrLeave = errs.Class("leave")

// A Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, most int, wait time.Duration) (appender.Batch, error)
}

// A List is the platform's list of VMs.
type List interface {
	VMs(ctx context.Context) ([]lister.VM, error)
}

// A Prober asks upstreams for their load and their streams.
type Prober interface {
	Load(ctx context.Context, address string) (lender.Load, error)
	Streams(ctx context.Context, address string) (boot uint64, counts map[lender.Who]int, err error)
}

// Timings are the constants of lending. All VMs of a fleet must agree on Lease,
// Life, Drift and Keep.
type Timings struct {
	// Lease is how long a holder lends after the begin of its last read of the
	// log's end, and Life how long a loan lives.
	Lease, Life time.Duration
	// Drift bounds the difference in rate of two VMs' clocks, as a fraction.
	Drift float64
	// Keep is how long the log keeps records; 0 means for ever.
	Keep time.Duration
	// Fresh is how long a share is used without word that its upstream is warm.
	Fresh time.Duration
	// Settle bounds the time from a slot to the request's arrival.
	Settle time.Duration
	// Longest bounds a request's time where an upstream does not say.
	Longest time.Duration
	// Gap is the least time between two asks for one upstream.
	Gap time.Duration
	// Beat is the time between heartbeats; Suspect and Dead are times without.
	Beat, Suspect, Dead time.Duration
	// Absent is how long a VM is off the list before its seat is free; longer
	// than the list's lag.
	Absent time.Duration
	// Stall is the time without a tick after which the process counts as woken.
	Stall time.Duration
	// Poll, Listing and Step are how often upstreams and the list are asked and
	// what is due is looked at.
	Poll, Listing, Step time.Duration
}

// Today gives the timings for a fleet of today's size. Keep is the least that
// the checker lets a manifest say of the log.
func Today() Timings {
	return Timings{
		Lease: 2 * time.Second, Life: 2 * time.Second, Drift: 0.01, Keep: checker.MinKeep,
		Fresh: 3 * time.Second, Settle: 500 * time.Millisecond, Longest: 10 * time.Minute,
		Gap: 10 * time.Millisecond, Beat: 500 * time.Millisecond, Suspect: 1500 * time.Millisecond,
		Dead: 2500 * time.Millisecond, Absent: 15 * time.Second, Stall: time.Second,
		Poll: 250 * time.Millisecond, Listing: time.Second, Step: 50 * time.Millisecond,
	}
}

// A Config says who this process is and how it is timed.
type Config struct {
	// VM and Zone name this VM; Address is its host:port for other VMs.
	VM, Zone, Address string
	// Boot is this process's number. A later process of the same VM must have a
	// higher one: the time of its start serves.
	Boot    uint64
	Timings Timings
	// Version gives the configuration version in force for heartbeats, and
	// Heard is called with those of others, from the link's goroutine; either
	// may be nil.
	Version func() uint64
	Heard   func(vm string, version uint64)
}

// Deps are what a Coordinator works with.
type Deps struct {
	Log      Log
	List     List
	Links    Links
	Prober   Prober
	Ticker   *ticker.Ticker
	Registry metrics.Registry
	Logger   zerolog.Logger
}

// A Coordinator is one VM's part in lending. It is safe for concurrent use.
type Coordinator struct {
	c       Config
	d       Deps
	node    *Node
	nudge   chan struct{}
	changed chan struct{}
	wait    sync.WaitGroup
	probes  sync.Map // names of upstreams being asked
	count   counters
}

// A View is what a router needs to know of an upstream.
type View = borrower.View

// An Outcome says how work on a slot ended.
type Outcome = borrower.Outcome

// Outcomes of work on a slot.
const (
	Completed = borrower.Completed
	Cut       = borrower.Cut
	Refused   = borrower.Refused
	Cancelled = borrower.Cancelled
)

// A Member is one VM as known here.
type Member = member.Member

// New returns a Coordinator that does nothing until Run.
func New(c Config, d Deps) *Coordinator {
	o := &Coordinator{
		c: c, d: d, node: NewNode(c),
		nudge: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		count: newCounters(d.Registry),
	}
	d.Links.Receive(o.receive)
	return o
}

// Configure sets the upstreams and the number of seats. What stays the same
// keeps its loans.
func (o *Coordinator) Configure(upstreams []Upstream, seats int) {
	o.node.Configure(upstreams, seats)
	o.urge()
}

// View gives an upstream as it is known now; the zero View where there is none
// of the name.
func (o *Coordinator) View(upstream string) View {
	u := o.node.get(upstream)
	if u == nil {
		return View{}
	}
	return u.borrower.View(o.d.Ticker.Now())
}

// A Slot is the right to have one request in progress at an upstream.
type Slot struct {
	// Upstream and Boot name what it is for: a request must expect this boot
	// number, so that it can't run on an upstream that has turned cold.
	Upstream string
	Boot     uint64

	o      *Coordinator
	unit   *unit
	tokens int
	taken  time.Time
	done   atomic.Bool
}

// Live says whether the request may still be sent. A process that is frozen
// between Take and the sending wakes with a slot that others count on being
// unused; it must ask just before the send. A slot that waits, as one part of a
// group does for the parts before it, stays live while its VM's loans
// follow one another without a gap: the holder hears of it with each renewal,
// and counts it. Half of the settling time is left for the way to the upstream.
func (s *Slot) Live() bool {
	now := s.o.d.Ticker.Now()
	return now.Sub(s.taken) < s.o.c.Timings.Settle/2 || s.unit.borrower.Lent(now, s.taken)
}

// Done gives the slot back. Only its first call counts.
func (s *Slot) Done(out Outcome) {
	if s.done.Swap(true) {
		return
	}
	s.unit.borrower.Done(s.Boot, s.tokens, out)
	s.o.signal()
}

// Take takes a slot at an upstream, with tokens of its memory reserved where
// tokens is above 0. It does not wait; where it fails, the holder is asked for
// more, and Changed tells when to try again.
func (o *Coordinator) Take(upstream string, tokens int) (*Slot, bool) {
	u := o.node.get(upstream)
	if u == nil {
		return nil, false
	}
	now := o.d.Ticker.Now()
	boot, ok := u.borrower.Take(now, tokens)
	if !ok {
		o.count.empty.Inc(1)
		o.urge()
		return nil, false
	}
	o.count.taken.Inc(1)
	return &Slot{Upstream: upstream, Boot: boot, o: o, unit: u, tokens: tokens, taken: now}, true
}

// Want says how many requests wait here that could go to an upstream.
func (o *Coordinator) Want(upstream string, n int) {
	if u := o.node.get(upstream); u != nil {
		u.borrower.Want(n)
		o.urge()
	}
}

// Need asks for tokens of an upstream's memory, as for one part of a group whose
// other parts are not there yet. It must be said again while it is true.
func (o *Coordinator) Need(upstream string, tokens int) {
	if u := o.node.get(upstream); u != nil {
		u.borrower.Need(o.d.Ticker.Now(), tokens)
		o.urge()
	}
}

// Turned says that an upstream has been seen to be cold under a boot number (0:
// the one in force), and why.
func (o *Coordinator) Turned(upstream string, boot uint64, cause string) {
	u := o.node.get(upstream)
	if u == nil || !u.borrower.Turned(boot) {
		return
	}
	o.count.turned.Inc(1)
	o.d.Logger.Info().Str("upstream", upstream).Uint64("boot", boot).Str("cause", cause).Msg("upstream turned cold")
	o.urge()
}

// Cleared says that nothing of a stopped process runs at an upstream any more.
func (o *Coordinator) Cleared(upstream, vm string, boot uint64) {
	o.node.Cleared(upstream, vm, boot)
	o.urge()
}

// Changed has a value after more may be started than before. It is for one
// reader.
func (o *Coordinator) Changed() <-chan struct{} { return o.changed }

// Gone says that a process has certainly been stopped, so that what it left at
// upstreams may be cancelled.
func (o *Coordinator) Gone(vm string, boot uint64) bool {
	return o.node.Gone(o.d.Ticker.Now(), vm, boot)
}

// Holder names the VM whose claim to an upstream is in force; empty where there
// is none.
func (o *Coordinator) Holder(upstream string) string { return o.node.Holder(upstream) }

// Fence is the fence under which this process holds an upstream now, to be given
// with orders to it.
func (o *Coordinator) Fence(upstream string) (fence uint64, ok bool) {
	return o.node.Fence(o.d.Ticker.Now(), upstream)
}

// Holds says whether this process may lend an upstream's slots now.
func (o *Coordinator) Holds(upstream string) bool {
	return o.node.Holds(o.d.Ticker.Now(), upstream)
}

// Seat is the number of this process's seat, if it has one.
func (o *Coordinator) Seat() (int, bool) { return o.node.Seat(o.d.Ticker.Now()) }

// Members are the VMs known here, this one included.
func (o *Coordinator) Members() []Member { return o.node.Members(o.d.Ticker.Now()) }

// Ready says whether requests can be served, and if not, why.
func (o *Coordinator) Ready() (ok bool, reason string) {
	return o.node.Ready(o.d.Ticker.Now())
}

func (o *Coordinator) urge() {
	select {
	case o.nudge <- struct{}{}:
	default:
	}
}

func (o *Coordinator) signal() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}
