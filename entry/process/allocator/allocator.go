// Package allocator has the places at a group of upstreams given by one VM. It
// answers fleets of many VMs before many engines: where each VM decides alone by
// what the others have told it, two that see the same engine idle send their
// prompts there at the same moment, and what they tell each other grows with the
// square of their number.
//
// A VM that has a request sends the group's leader a small ask, without a byte of
// the prompt. The leader orders what waits, chooses the upstreams and grants
// places; the VM speaks to the upstreams itself and reports when the first event
// has come and when the place is free again.
//
// All of it is soft state. The leader is the first by a hash over the VMs that
// live, and nobody elects it: two at once or none for a moment cost worth and
// break no promise, as upstreams queue or refuse what exceeds them. A leader that
// does not answer is skipped; whoever is asked next first has all VMs tell what
// they have under way. A VM that cannot be heard by anybody decides alone.
//
// Promises do not rest on it: whoever sends looks right before whether its own
// list still names the upstream, and a grant is used only while it is waited for.
package allocator

import (
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// TickInterval is how often a VM does what is due while something waits, and
	// restEvery while nothing does: each one wakes the process.
	TickInterval = 25 * time.Millisecond
	restEvery    = 250 * time.Millisecond
	// paused is the time between two ticks above which the process counts as paused.
	paused = 2 * restEvery
)

// A Sender sends datagrams. It does not block.
type Sender interface {
	Send(to netip.AddrPort, data []byte) error
}

// A Timer calls back every so often, until it is told to stop.
type Timer interface {
	Subscribe(every time.Duration, call func(time.Time)) (stop func())
}

// A Meter counts.
type Meter interface {
	Count(name string, n int64)
}

// Deps are what an Allocator works with.
type Deps struct {
	Tracker *tracker.Tracker
	Sender  Sender
	Timer   Timer
	Meter   Meter
	// Members are the other VMs that live.
	Members func() []Member
	// FleetSize is how many VMs there may be, this one and those included that are not
	// heard at present.
	FleetSize func() int
	// Service finds a service in the configuration.
	Service func(name string) (*matcher.Service, bool)
	// ColdStartQuota is how many requests a second may be placed at an upstream in
	// cold start that bears so many: by whoever leads its group, or by this VM
	// alone.
	ColdStartQuota func(upstream string, rate float64, leads bool) int
	Now            func() time.Time
	Log            zerolog.Logger
}

// An Allocator is one VM's side: it asks for this VM's requests, and leads the
// groups for which it is asked.
type Allocator struct {
	me   Member
	boot int64
	deps Deps

	mu sync.Mutex
	// began is when this run of the process began.
	began   time.Time
	leaving bool
	// stop is when this VM stops; zero while it does not.
	stop     time.Time
	suspects map[netip.AddrPort]suspicion
	// suspected counts suspicions, and leaders are the last choices.
	suspected int
	leaders   map[Group]choice
	// split are the services whose upstreams are in groups by zone.
	split map[string]bool

	// asks and places are this VM's own, by the id that it gave them.
	last   uint64
	asks   map[uint64]*ask
	places map[uint64]*Placement
	// keptAt is when leaders were last told of all places, and reported how often
	// each of them will be told again where there is no place any more.
	keptAt   time.Time
	reported map[netip.AddrPort]int
	ticked   time.Time
	// rest ends the calls of Tick that come while something waits; nil where they
	// do not come.
	rest func()

	// led are the groups that this VM leads or has led, and holders the VMs that
	// have places from it.
	led     map[Group]*led
	holders map[netip.AddrPort]*holder
	// summaries are those of other groups' leaders.
	summaries map[Group]*summary
	summedAt  time.Time
	// deputies are VMs that lead groups in place of others, until when.
	deputies map[Group]map[netip.AddrPort]time.Time
	usual    usual

	out map[netip.AddrPort]*message
}

// New returns the Allocator of a VM, in one run of its process.
func New(me Member, boot int64, d Deps) *Allocator {
	a := &Allocator{
		me: me, boot: boot, deps: d, began: d.Now(), ticked: d.Now(),
		suspects: make(map[netip.AddrPort]suspicion), leaders: make(map[Group]choice), split: make(map[string]bool),
		asks: make(map[uint64]*ask), places: make(map[uint64]*Placement), reported: make(map[netip.AddrPort]int),
		led: make(map[Group]*led), holders: make(map[netip.AddrPort]*holder), summaries: make(map[Group]*summary),
		out: make(map[netip.AddrPort]*message), deputies: make(map[Group]map[netip.AddrPort]time.Time),
	}
	d.Tracker.SetListener(a.found)
	d.Timer.Subscribe(restEvery, a.Tick)
	return a
}

// do does something under the lock and sends what came of it.
func (a *Allocator) do(f func(now time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Now()
	f(now)
	a.flush()
	a.wake(now)
}

// wake has Tick called more often while something waits.
func (a *Allocator) wake(now time.Time) {
	busy := len(a.asks) > 0
	for _, l := range a.led {
		busy = busy || l.scheduler.QueueLength() > 0
	}
	switch {
	case busy && a.rest == nil:
		a.ticked = now
		a.rest = a.deps.Timer.Subscribe(TickInterval, a.Tick)
	case !busy && a.rest != nil:
		a.rest()
		a.rest = nil
	}
}

// to is the datagram that goes to a VM next.
func (a *Allocator) to(at netip.AddrPort) *message {
	m, ok := a.out[at]
	if !ok {
		m = &message{VM: a.me.VM, Boot: a.boot}
		a.out[at] = m
	}
	return m
}

// mostPlaces is how many places, or limits, one datagram describes: it should not be split on
// its way.
const mostPlaces = 12

func (a *Allocator) flush() {
	for at, m := range a.out {
		for len(m.Places) > mostPlaces {
			a.post(at, &message{VM: m.VM, Boot: m.Boot, Places: m.Places[:mostPlaces]})
			m.Places = m.Places[mostPlaces:]
		}
		for len(m.Limits) > mostPlaces {
			a.post(at, &message{VM: m.VM, Boot: m.Boot, Limits: m.Limits[:mostPlaces]})
			m.Limits = m.Limits[mostPlaces:]
		}
		a.post(at, m)
	}
	clear(a.out)
}

func (a *Allocator) post(at netip.AddrPort, m *message) {
	data, err := cbor.Marshal(m)
	if err != nil {
		a.deps.Log.Error().Err(err).Msg("a message to a VM was not encoded")
		return
	}
	a.deps.Meter.Count("exchange.sent", 1)
	a.deps.Meter.Count("exchange.bytes", int64(len(data)+1))
	if err := a.deps.Sender.Send(at, append([]byte{DatagramType}, data...)); err != nil {
		a.deps.Log.Debug().Str("peer", at.String()).Err(err).Msg("datagram not sent")
	}
}

func (a *Allocator) count(name string) { a.deps.Meter.Count(name, 1) }

// Receive takes a datagram in. What does not come from the VM that lives at its
// address changes nothing.
func (a *Allocator) Receive(from netip.AddrPort, data []byte) {
	if len(data) < 1 || data[0] != DatagramType {
		return
	}
	var m message
	if err := cbor.Unmarshal(data[1:], &m); err != nil {
		a.deps.Log.Debug().Str("peer", from.String()).Err(err).Msg("datagram not understood")
		return
	}
	if !a.member(from, m.VM) {
		a.deps.Log.Debug().Str("peer", from.String()).Str("name", m.VM).Msg("datagram of no member ignored")
		return
	}
	a.deps.Meter.Count("exchange.received", 1)
	a.do(func(now time.Time) {
		a.clear(now, from)
		a.heed(now, from, &m)
		a.answered(now, from, &m)
	})
}

func (a *Allocator) member(from netip.AddrPort, vm string) bool {
	members := a.deps.Members()
	for i := range members {
		if members[i].Address == from {
			return members[i].VM == vm
		}
	}
	return false
}

// Tick does what is due.
func (a *Allocator) Tick(time.Time) {
	a.do(func(now time.Time) {
		late := now.Sub(a.ticked) > mostTick
		if now.Sub(a.ticked) > paused {
			// What it knows as a leader is as old as that.
			for _, l := range a.led {
				l.usedAt, l.askedAt = time.Time{}, time.Time{}
			}
		}
		a.ticked = now
		a.pump()
		a.chase(now, late)
		a.keep(now)
		a.forget(now)
		a.summarise(now)
	})
}

// Dispatch has this VM look for places for what waits for it as a leader. It is
// called when what is known of upstreams has changed.
func (a *Allocator) Dispatch() { a.do(func(time.Time) { a.pump() }) }

func (a *Allocator) pump() {
	for _, l := range a.led {
		l.scheduler.Dispatch()
	}
}

// found tells leaders what this VM's requests have found out about an upstream.
func (a *Allocator) found(e tracker.Event) {
	if len(e.Upstreams) == 0 || e.Finding == tracker.FoundAnswer {
		// That a place has begun says as much.
		return
	}
	u, ok := a.deps.Tracker.Get(e.Upstreams[0])
	if !ok {
		return
	}
	a.do(func(now time.Time) {
		if m, self := a.leader(now, a.groupOf(u.Service, u.Zone)); !self {
			out := a.to(m.Address)
			if e.Finding == tracker.FoundLimit {
				out.Limits = append(out.Limits, limitOf(now, u.ID, e.Limit))
				return
			}
			out.Events = append(out.Events, wireOf(e))
		}
	})
}

// Drain says that this VM stops at a time. It leads nobody any more, and its own
// requests that cannot end before are refused while they can go elsewhere.
func (a *Allocator) Drain(stop time.Time) {
	a.do(func(now time.Time) {
		a.leaving, a.stop = true, stop
		a.hand(now)
		for _, o := range a.asks {
			o.call.StopsAt = stop
			if o.local != nil {
				o.local.SetStop(stop)
				continue
			}
			a.send(now, o)
		}
	})
}

// Waiting is how many of this VM's requests wait for a place.
func (a *Allocator) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.asks)
}

// LedGroups is how many groups this VM leads.
func (a *Allocator) LedGroups() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for g := range a.led {
		if a.leads(a.deps.Now(), g) {
			n++
		}
	}
	return n
}

// Forget drops what is counted of a cold upstream that is gone.
func (a *Allocator) Forget(upstream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.led {
		l.scheduler.Forget(upstream)
	}
}

// Loads is what is under way at each upstream, as far as this VM knows as a leader.
func (a *Allocator) Loads() map[string]placer.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make(map[string]placer.Load)
	for _, l := range a.led {
		for id, w := range l.scheduler.Loads() {
			sum := all[id]
			sum.Add(w)
			all[id] = sum
		}
	}
	return all
}

// mostGroup is how many upstreams one group has at most where a service has them
// in several zones: a leader's decision looks at each of them. Those that may get
// nothing now count as well, and a service of which a third of the upstreams left
// is not joined again, so that VMs agree: with groups of either kind two leaders
// would give places at the same upstreams.
const (
	mostGroup  = 60
	leastSplit = 40
)

// groupOf is the group of a service's upstreams in a zone.
func (a *Allocator) groupOf(service, zone string) Group {
	if a.split[service] {
		return Group{service, zone}
	}
	return Group{service, ""}
}

// sizes decides whether a service's upstreams are in groups by zone, and gives
// how many each zone has.
func (a *Allocator) sizes(service string) map[string]int {
	switch listed := a.deps.Tracker.CountListed(service); {
	case listed > mostGroup:
		a.split[service] = true
	case listed < leastSplit && listed > 0:
		delete(a.split, service)
	}
	return a.deps.Tracker.CountUsableByZone(service)
}

// leads says that this VM leads a group by its own view.
func (a *Allocator) leads(now time.Time, g Group) bool {
	_, self := a.leader(now, g)
	return self
}

func (a *Allocator) schedulerOf(g Group) *led {
	l, ok := a.led[g]
	if !ok {
		l = &led{group: g}
		l.scheduler = scheduler.New(g.Zone, scheduler.Deps{
			Tracker: a.deps.Tracker, Now: a.deps.Now,
			ColdQuota: func(upstream string, rate float64) int {
				if a.deps.Now().Before(l.coldFrom) {
					return 0
				}
				return a.deps.ColdStartQuota(upstream, rate, !l.alone)
			},
			RateQuota: func(rate float64) float64 { return a.limitPart(l, rate) },
		})
		a.led[g] = l
	}
	return l
}
