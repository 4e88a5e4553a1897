package router_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/heathervane/heathervane/entry/process/gauger"
	"github.com/heathervane/heathervane/entry/process/splitter"
	"github.com/heathervane/heathervane/entry/request/admitter"
	"github.com/heathervane/heathervane/entry/request/router"
)

// This file simulates a few engines and VMs in virtual time: engines read prompts
// one after another and decode all streams at one rate, reports are delayed, and
// each VM has a fixed part of the slots of each engine.

const (
	prefill      = 20_000.0 // prompt tokens per second of one engine
	decode       = 50.0     // answer tokens per second of one stream
	slots        = 64
	memory       = 1_500_000
	reportDelay  = 250 * time.Millisecond
	tick         = 50 * time.Millisecond
	networkDelay = time.Millisecond
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) } //nolint:forcetypeassert // only events are pushed
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// call is one request and its result.
type call struct {
	request       admitter.Request
	at            time.Duration
	first         time.Duration // first token; 0 if none came
	end           time.Duration // whole answer
	refused       *admitter.Refusal
	refusal       time.Duration
	engine        int
	sent          time.Duration
	placedBacklog float64
	placed        bool
	vm            *vm
	retryOf       uint64 // ID of the rejected call that this one retries
}

type vm struct {
	name     string
	adm      *admitter.Admitter
	pick     router.Picker
	gauge    *gauger.SpeedEstimator
	byEngine []engineCalls
	cands    []router.Candidate
}

// engineCalls is what a VM has in progress on one engine.
type engineCalls struct {
	calls  []*call
	unread int
	recent []*call // sent, and possibly not reported yet
}

type simulation struct {
	policy   string
	queue    string
	engines  int
	vms      int
	reserved int // reserved engines; -1: chosen by a Splitter
	span     time.Duration
	seed     uint64
	loads    []load
	change   map[time.Duration]func(*fleet)
	retry    bool // rejected calls are retried once
	conf     admitter.Config
}

// load is an open-loop arrival process.
type load struct {
	team                 string
	share                int
	rate                 float64 // requests per second
	minTokens, maxTokens int     // prompt tokens, log-uniform
	output               int     // upper limit; uniform from a quarter of it
	limit                time.Duration
	from, to             time.Duration // 0: the whole simulation
}

// tokens returns the mean prompt length.
func (l load) tokens() float64 {
	return float64(l.maxTokens-l.minTokens) / math.Log(float64(l.maxTokens)/float64(l.minTokens))
}

type fleet struct {
	simulation
	reserved    int // engines currently reserved for long prompts
	now         time.Duration
	seq         int
	events      events
	rand        *rand.Rand
	engs        []*engine
	vms         []*vm
	calls       []*call
	pending     map[uint64]*call
	names       []string          // of the VMs
	primaries   map[string]string // VMs by engine
	secondaries []string          // VMs by engine index, as of term
	term        int64
	split       *splitter.Splitter
	offered     [2]int // short and long prompt tokens since the last tick
	resplits    int    // changes of the number of reserved engines
}

func run(p simulation) *fleet {
	f := &fleet{simulation: p, rand: rand.New(rand.NewPCG(p.seed, 1)), pending: map[uint64]*call{}}
	var names []string
	for i := range p.engines {
		f.engs = append(f.engs, &engine{name: fmt.Sprintf("e%02d", i), slowdown: 1})
		names = append(names, f.engs[i].name)
	}
	for i := range p.vms {
		picker, err := router.New(p.policy, rand.New(rand.NewPCG(p.seed, uint64(i)+2)))
		if err != nil {
			panic(err)
		}
		conf := p.conf
		conf.Queue = p.queue
		v := &vm{name: fmt.Sprint("v", i), adm: admitter.New(conf), pick: picker, gauge: gauger.New()}
		v.byEngine = make([]engineCalls, len(names))
		f.vms = append(f.vms, v)
		f.names = append(f.names, v.name)
	}
	f.secondaries = make([]string, len(names))
	f.split = splitter.New(splitter.Config{})
	f.reserve(max(0, p.reserved))
	if p.reserved < 0 {
		f.warmUpSplitter()
	}
	for i, l := range p.loads {
		f.arrivals(l, rand.New(rand.NewPCG(p.seed, uint64(i)+100)))
	}
	for at, change := range p.change {
		f.at(at, func() { change(f) })
	}
	f.at(0, f.tick)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event) //nolint:forcetypeassert // only events are pushed
		f.now = e.at
		e.run()
	}
	return f
}

func (f *fleet) at(t time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{t, f.seq, run})
}

func (f *fleet) clock() time.Time { return epoch.Add(f.now) }

func (f *fleet) arrivals(l load, r *rand.Rand) {
	to := f.span
	if l.to > 0 {
		to = l.to
	}
	t := l.from
	for {
		t += time.Duration(r.ExpFloat64() / l.rate * float64(time.Second))
		if t >= to {
			return
		}
		c := &call{at: t}
		v := f.vms[r.IntN(len(f.vms))]
		c.request = admitter.Request{
			ID: uint64(len(f.calls) + 1), Team: l.team, Share: max(1, l.share),
			PromptTokens: int(float64(l.minTokens) * math.Pow(float64(l.maxTokens)/float64(l.minTokens), r.Float64())),
			MaxOutput:    l.output/4 + r.IntN(l.output*3/4+1),
			Arrived:      epoch.Add(t), Deadline: epoch.Add(t + l.limit),
		}
		f.calls = append(f.calls, c)
		f.at(t, func() { f.offer(v, c) })
	}
}

func (f *fleet) offer(v *vm, c *call) {
	if c.request.PromptTokens > 64<<10 {
		f.offered[1] += c.request.PromptTokens
	} else {
		f.offered[0] += c.request.PromptTokens
	}
	if r := v.adm.Offer(f.clock(), c.request, router.EstimateCapacity(f.candidates(v), c.request.PromptTokens)); r != nil {
		c.refused, c.refusal = r, f.now
		if f.retry && r.RetryAfter > 0 && c.retryOf == 0 {
			f.retryLater(v, c)
		}
		return
	}
	f.pending[c.request.ID] = c
	f.dispatch(v)
}

// retryLater offers a rejected call once more after its retry delay.
func (f *fleet) retryLater(v *vm, c *call) {
	again := &call{at: f.now + c.refused.RetryAfter, retryOf: c.request.ID, request: c.request}
	again.request.ID = uint64(len(f.calls) + 1)
	again.request.Arrived = c.request.Arrived.Add(c.refused.RetryAfter)
	again.request.Deadline = c.request.Deadline.Add(c.refused.RetryAfter)
	f.calls = append(f.calls, again)
	f.at(again.at, func() { f.offer(v, again) })
}

func (f *fleet) dispatch(v *vm) {
	cands := f.candidates(v)
	for _, a := range v.adm.Expire(f.clock(), router.EstimateCapacity(cands, 0)) {
		f.pending[a.ID].refused = &admitter.Refusal{Code: "expired"}
		f.pending[a.ID].refusal = f.now
	}
	for {
		index := 0
		a, ok := v.adm.Next(f.clock(), func(a admitter.Request) bool {
			var ok bool
			index, ok = v.pick.Pick(f.clock(), a, cands)
			return ok
		})
		if !ok {
			return
		}
		c := f.pending[a.ID]
		if c.placed {
			panic("request placed twice")
		}
		c.placed, c.engine, c.sent = true, index, f.now
		k := &cands[index]
		c.placedBacklog = max(0, float64(k.PrefillLeft)-prefill*k.ReportAge.Seconds()) + float64(k.UnreportedTokens+a.PromptTokens)
		k.FreeSlots--
		k.OwnStreams++
		k.UnreportedRequests++
		k.UnreportedTokens += a.PromptTokens
		k.OwnPrefillLeft += a.PromptTokens
		m := &v.byEngine[index]
		m.calls = append(m.calls, c)
		m.recent = append(m.recent, c)
		m.unread += a.PromptTokens
		c.vm = v
		f.at(f.now+networkDelay, func() { f.arrive(f.engs[index], c) })
	}
}

func (f *fleet) candidates(v *vm) []router.Candidate {
	v.cands = v.cands[:0]
	for i, e := range f.engs {
		r := e.lastReport(f.now)
		m := &v.byEngine[i]
		k := router.Candidate{
			Name: e.name, SameZone: true, FreeSlots: slots/f.simulation.vms - len(m.calls), Slots: slots, OwnStreams: len(m.calls), OwnPrefillLeft: m.unread,
			Running: r.running, Waiting: r.waiting, KVUsed: r.used, KVCapacity: memory, PrefillLeft: int(r.left),
			ReportAge: f.now - r.at, PrefillRate: prefill, DecodeRate: decode, SpeedRatio: v.gauge.Speed(f.clock(), e.name), LongOnly: i < f.reserved,
		}
		k.Primary = f.primaries[e.name] == v.name
		k.Secondary = f.secondary(i) == v.name
		for len(m.recent) > 0 && m.recent[0].sent < r.at-networkDelay {
			m.recent = m.recent[1:]
		}
		for _, c := range m.recent {
			k.UnreportedRequests++
			k.UnreportedTokens += c.request.PromptTokens
		}
		v.cands = append(v.cands, k)
	}
	return v.cands
}

// reserve reserves n engines for long prompts.
func (f *fleet) reserve(n int) {
	var names []string
	for _, e := range f.engs {
		names = append(names, e.name)
	}
	f.reserved, f.term = n, -1
	f.primaries = router.AssignPrimaries(f.names, names[:n])
	maps.Copy(f.primaries, router.AssignPrimaries(f.names, names[n:]))
}

// warmUpSplitter feeds the splitter ten minutes of the mean load, as in a fleet
// that has been up for a while.
func (f *fleet) warmUpSplitter() {
	l := splitter.Load{Engines: len(f.engs)}
	for _, o := range f.loads {
		if o.minTokens >= 100_000 {
			l.LongTokens += o.rate * o.tokens()
		} else {
			l.ShortTokens += o.rate * o.tokens()
		}
	}
	for t := -10 * time.Minute; t < 0; t += time.Second {
		f.reserve(f.split.Update(epoch.Add(t), l))
	}
}

// resplit adapts the number of reserved engines to the load.
func (f *fleet) resplit() {
	n := f.split.Update(f.clock(), splitter.Load{
		ShortTokens: float64(f.offered[0]) / tick.Seconds(),
		LongTokens:  float64(f.offered[1]) / tick.Seconds(),
		Engines:     len(f.engs),
	})
	f.offered = [2]int{}
	if n != f.reserved {
		f.reserve(n)
		f.resplits++
	}
}

// secondary returns the engine's secondary VM, computed once per term.
func (f *fleet) secondary(i int) string {
	if term := int64(f.now / router.SecondaryTerm); term != f.term {
		f.term = term
		for i, e := range f.engs {
			f.secondaries[i] = router.SecondaryAt(f.clock(), f.names, e.name, f.primaries[e.name])
		}
	}
	return f.secondaries[i]
}

// tick produces reports, updates gauges and dispatches requests.
func (f *fleet) tick() {
	if f.simulation.reserved < 0 {
		f.resplit()
	}
	for _, e := range f.engs {
		e.advance(f.now)
		r := report{at: f.now, running: e.running, waiting: len(e.queue), used: e.used, left: e.left}
		for _, c := range e.unread[min(1, len(e.unread)):] {
			r.left += float64(c.request.PromptTokens)
		}
		e.reports = append(e.reports, r)
	}
	for _, v := range f.vms {
		f.updateGauges(v)
		f.dispatch(v)
	}
	if f.now < f.span+10*time.Minute && (f.now < f.span || len(f.events) > 0) {
		f.at(f.now+tick, f.tick)
	}
}

func (f *fleet) updateGauges(v *vm) {
	for i, e := range f.engs {
		for _, c := range v.byEngine[i].calls {
			if c.first == 0 || c.first > f.now {
				v.gauge.ObservePending(f.clock(), e.name, int(c.placedBacklog), f.now-c.sent, prefill)
			} else if f.now-c.first >= tick {
				got := tick.Seconds() * decode / e.slowdown
				v.gauge.Observe(f.clock(), e.name, 1, time.Duration(float64(tick)/got), decode)
			}
		}
	}
}
