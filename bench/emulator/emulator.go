// Package emulator plays loads against the decisions that place requests, without
// a network or a process: several VMs, each with its own allocator, whose datagrams
// take time, before engines that follow the published model of their passes. A run
// takes a second, so that a change of a decision can be judged on many
// deployments. The same seed gives the same load; which of two equal engines is
// taken is left to chance, as in a VM.
//
// What it leaves out: callers who come back, upstreams that fail other than by
// dying, and the processors of VMs.
package emulator

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/switcher"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// way is that of a request, an answer or a datagram in milliseconds.
	way = 2.0
	// tick is the emulator's step, and wake how often a VM looks at what is due,
	// in milliseconds.
	tick = 1.0
	wake = 25
	// tail is how long a run goes on after the last request came, in ticks.
	tail = 16_000
	// noticed is how long it takes until a dead engine has left the list, in
	// milliseconds.
	noticed = 1500.0
)

// A Result is what became of a load.
type Result struct {
	Deployment string
	// Worth is what was earned of all that could be, Bound what a perfect engine
	// of the pool's reading power, less a fifth for writing, would begin in time.
	Worth, Bound float64
	Kinds        []Outcome
	// After are the requests of the first kind that come in the second after VMs have
	// started again, and how many of them are answered in time.
	After, AfterInTime int
	// Datagrams and Bytes are what VMs sent each other.
	Datagrams, Bytes int
}

// An Outcome is that of one kind of question.
type Outcome struct {
	Name                               string
	Asked, InTime, Late, Refused, Lost int
	// Bound is how many a perfect engine would begin in time.
	Bound int
	// Earned is what was earned of Owed.
	Earned, Owed float64
}

type play struct {
	now     float64
	engines []*engine
	byName  map[string]*engine
	vms     []*vm
	tracker *tracker.Tracker
	service *matcher.Service
	policy  switcher.Policy
	mail    []letter
	open    []*request
	faults  []Fault
	sent    int
	bytes   int
}

type letter struct {
	at       float64
	from, to int
	data     []byte
}

// A vm is one VM's decisions.
type vm struct {
	play      *play
	index     int
	name      string
	allocator *allocator.Allocator
	// dead and frozen are as of now; diedAt is when it died. losesReceived
	// and losesSent say that the way is cut in one direction.
	dead, frozen, losesReceived, losesSent bool
	diedAt                                 float64
	// late is what comes to it while it is frozen.
	late []letter
	// slow is how much later than others it answers, in milliseconds.
	slow float64
}

// epoch is the clock's beginning: far from zero, as zero times mean never.
var epoch = time.Unix(1_000_000, 0)

func (p *play) clock() time.Time {
	return epoch.Add(time.Duration(p.now * float64(time.Millisecond)))
}

func address(vm int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(vm >> 8), byte(vm)}), 1)
}

func index(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[2])<<8 | int(b[3])
}

// Send puts a datagram on its way.
func (v *vm) Send(to netip.AddrPort, data []byte) error {
	v.play.sent++
	v.play.bytes += len(data)
	if !v.losesSent {
		v.play.mail = append(v.play.mail, letter{v.play.now + way + v.slow, v.index, index(to), slices.Clone(data)})
	}
	return nil
}

// Count is the allocator's meter, which nobody reads here.
func (v *vm) Count(string, int64) {}

// Subscribe is never called back: the emulator calls Tick itself.
func (v *vm) Subscribe(time.Duration, func(time.Time)) (stop func()) { return func() {} }

// buried is after how long a VM that has died is known to be dead, in
// milliseconds.
const buried = 1500

// members are the VMs that can be heard, as the fleet's beats would tell.
func (v *vm) members() []allocator.Member {
	var all []allocator.Member
	for _, o := range v.play.vms {
		gone := (o.dead || o.frozen || o.losesSent || v.losesReceived) && v.play.now-o.diedAt > buried
		if o != v && !gone {
			all = append(all, allocator.Member{VM: o.name, Address: address(o.index), Zone: "z", Cores: 1})
		}
	}
	return all
}

// Run plays a deployment's load with a seed.
func Run(d Deployment, seed uint64) Result {
	draw := rand.New(rand.NewPCG(seed, 2))
	p := &play{tracker: tracker.New(), byName: make(map[string]*engine), service: &matcher.Service{Name: "s", Engine: &d.Figures}, faults: slices.Clone(d.Faults), policy: d.Policy}
	for i := range d.Kinds {
		p.service.Priorities = append(p.service.Priorities, d.Kinds[i].Priority)
	}
	slices.Sort(p.service.Priorities)
	p.service.Priorities = slices.Compact(p.service.Priorities)
	for i := range d.Engines {
		e := &engine{figures: &d.Figures, name: "e" + strconv.Itoa(i)}
		p.engines = append(p.engines, e)
		p.byName[e.name] = e
		p.tracker.Put(p.clock(), tracker.Upstream{ID: e.name, Service: "s", Address: e.name, Zone: "z", Slots: d.Figures.Slots})
	}
	for i := range d.VMs {
		p.vms = append(p.vms, &vm{play: p, index: i, name: "vm" + strconv.Itoa(i)})
	}
	for _, v := range p.vms {
		p.start(v)
	}
	all := d.arrivals(draw)
	slices.SortStableFunc(all, func(a, b *request) int { return compare(a.at, b.at) })
	p.run(d, all)
	r := result(d, all)
	r.Datagrams, r.Bytes = p.sent, p.bytes
	return r
}

// start begins a run of a VM's process.
func (p *play) start(v *vm) {
	v.allocator = allocator.New(allocator.Member{VM: v.name, Zone: "z", Cores: 1}, p.clock().UnixNano(), allocator.Deps{
		Tracker: p.tracker, Sender: v, Timer: v, Meter: v, Members: v.members,
		Service:        func(string) (*matcher.Service, bool) { return p.service, true },
		ColdStartQuota: func(string, float64, bool) int { return 0 }, Policy: func() switcher.Policy { return p.policy }, Now: p.clock, Log: zerolog.Nop(),
	})
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (p *play) run(d Deployment, all []*request) {
	lost := float64(d.LostAt.Milliseconds())
	last := int(d.Lasts.Milliseconds()) + tail
	next := 0
	for step := 0; step < last && (next < len(all) || len(p.open) > 0); step++ {
		p.now += tick
		if d.Lost > 0 && p.now-tick < lost && p.now >= lost {
			p.lose(d.Lost)
		}
		if d.Lost > 0 && p.now-tick < lost+noticed && p.now >= lost+noticed {
			for _, e := range p.engines[:d.Lost] {
				p.tracker.Remove(p.clock(), e.name, false)
			}
		}
		p.strike()
		p.deliver()
		for _, e := range p.engines {
			e.step(p.now)
		}
		for ; next < len(all) && all[next].at <= p.now; next++ {
			p.ask(all[next])
		}
		p.follow()
		for _, v := range p.vms {
			if !v.dead && !v.frozen && (step+v.index)%wake == 0 {
				v.allocator.Tick(p.clock())
			}
		}
	}
}

// deliver gives VMs the datagrams that have arrived.
func (p *play) deliver() {
	mail := p.mail
	p.mail = nil
	for _, l := range mail {
		if l.at > p.now {
			p.mail = append(p.mail, l)
			continue
		}
		switch v := p.vms[l.to]; {
		case v.dead || v.losesReceived:
		case v.frozen:
			v.late = append(v.late, l)
		default:
			v.allocator.Receive(address(l.from), l.data)
		}
	}
}

func (p *play) lose(n int) {
	for _, e := range p.engines[:n] {
		e.lost = true
	}
	for _, r := range p.open {
		if r.grant == nil {
			continue
		}
		for _, name := range r.upstreams() {
			r.gone = r.gone || p.byName[name].lost
		}
	}
}

func (r *request) upstreams() []string {
	names := []string{r.grant.Upstream.ID}
	for _, h := range r.grant.Helpers {
		names = append(names, h.ID)
	}
	return names
}

func (p *play) ask(r *request) {
	at := func(ms float64) time.Time { return epoch.Add(time.Duration(ms * float64(time.Millisecond))) }
	k := r.kind
	if p.vms[r.vm].dead {
		// The balancer sends callers to another.
		r.vm = slices.IndexFunc(p.vms, func(v *vm) bool { return !v.dead })
	}
	if r.vm < 0 {
		// None can be reached.
		r.gone = true
		return
	}
	r.asked = p.vms[r.vm].allocator.Submit(scheduler.Request{Service: p.service, Priority: k.Priority, Requirements: placer.Request{
		Prompt: r.prompt, Output: k.Bound, MaxPause: float64(k.Pause.Milliseconds()), Arrived: at(r.at),
		Objective: at(r.at).Add(k.Objective), Deadline: at(r.at).Add(k.Limit), CallerTimeout: at(r.leaves()),
	}})
	p.open = append(p.open, r)
}

// follow takes what has happened to requests to their VMs.
func (p *play) follow() {
	still := p.open[:0]
	for _, r := range p.open {
		if p.goesOn(r) {
			still = append(still, r)
		}
	}
	p.open = still
}

// goesOn takes the news of one request to its VM, and says whether there may be
// more.
func (p *play) goesOn(r *request) bool {
	if r.grant == nil && !p.place(r) {
		return !r.refused
	}
	if r.first == 0 && p.now > r.leaves() {
		r.gone = true
	}
	if r.fresh && !r.gone {
		r.fresh = false
		r.grant.MarkStarted()
		e := p.byName[r.grant.Upstream.ID]
		r.context = r.prompt
		e.writing = append(e.writing, r)
	}
	if r.ended || r.gone {
		r.grant.Release()
		return false
	}
	return true
}

// place takes a place that was given. It says whether there is one.
func (p *play) place(r *request) bool {
	g, refusal := r.asked.Poll()
	if refusal == nil && g == nil && p.now > r.leaves() {
		r.refused = r.asked.Cancel() != nil
		return false
	}
	if g == nil {
		r.refused = refusal != nil
		return false
	}
	r.grant, r.sent = g, p.now
	names := r.upstreams()
	r.unread = len(names)
	r.part = placer.PrefillTime(p.service.Engine, r.prompt, len(names))
	for i, name := range names {
		e := p.byName[name]
		if e.lost {
			r.gone = true
			continue
		}
		if i == 0 {
			e.queue = append(e.queue, r)
			continue
		}
		e.parts = append(e.parts, &part{request: r, left: r.part})
	}
	return true
}
