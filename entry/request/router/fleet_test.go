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

// This file plays the decisions against a few engines and VMs in simulated
// time: engines read prompts one after another and decode all streams at one
// rate, reports lag, and each VM has a fixed part of each engine's slots.

const (
	prefill = 20_000.0 // prompt tokens per second of one engine
	decode  = 50.0     // answer tokens per second of one stream
	slots   = 64
	memory  = 1_500_000
	lag     = 250 * time.Millisecond // of reports
	tick    = 50 * time.Millisecond
	hop     = time.Millisecond
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
func (h *events) Push(x any)   { *h = append(*h, x.(event)) } //nolint:forcetypeassert // only events
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// A call is one request and what became of it.
type call struct {
	ask     admitter.Request
	at      time.Duration
	first   time.Duration // first token; 0 if none came
	end     time.Duration // whole answer
	refused *admitter.Refusal
	refusal time.Duration
	engine  int
	sent    time.Duration
	backlog float64
	placed  bool
	vm      *vm
	again   uint64 // the call that was refused before
}

type vm struct {
	name  string
	adm   *admitter.Admitter
	pick  router.Picker
	gauge *gauger.SpeedEstimator
	mine  []mine // by engine
	cands []router.Candidate
}

// mine is what a VM has on one engine.
type mine struct {
	calls  []*call
	unread int
	recent []*call // sent, and perhaps not in a report yet
}

type play struct {
	policy  string
	queue   string
	engines int
	vms     int
	long    int // engines set apart; -1: as many as a Splitter says
	span    time.Duration
	seed    uint64
	loads   []load
	change  map[time.Duration]func(*fleet)
	back    bool // refused calls come back
	conf    admitter.Config
}

// A load is an open loop of arrivals.
type load struct {
	team        string
	share       int
	rate        float64 // requests per second
	least, most int     // prompt tokens, log-uniform
	output      int     // at most; uniform from a quarter of it
	limit       time.Duration
	from, to    time.Duration // 0: the whole play
}

// tokens is the mean length of its prompts.
func (l load) tokens() float64 {
	return float64(l.most-l.least) / math.Log(float64(l.most)/float64(l.least))
}

type fleet struct {
	play
	long    int // engines set apart now
	now     time.Duration
	seq     int
	events  events
	rand    *rand.Rand
	engs    []*engine
	vms     []*vm
	calls   []*call
	pending map[uint64]*call
	names   []string          // of the VMs
	homes   map[string]string // VMs by engine
	guests  []string          // by engine, as of turn
	turn    int64
	split   *splitter.Splitter
	offered [2]int // short and long tokens since the last tick
	moves   int    // changes of the engines set apart
}

func run(p play) *fleet {
	f := &fleet{play: p, rand: rand.New(rand.NewPCG(p.seed, 1)), pending: map[uint64]*call{}}
	var names []string
	for i := range p.engines {
		f.engs = append(f.engs, &engine{name: fmt.Sprintf("e%02d", i), slower: 1})
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
		v.mine = make([]mine, len(names))
		f.vms = append(f.vms, v)
		f.names = append(f.names, v.name)
	}
	f.guests = make([]string, len(names))
	f.split = splitter.New(splitter.Config{})
	f.apart(max(0, p.long))
	if p.long < 0 {
		f.settle()
	}
	for i, l := range p.loads {
		f.arrivals(l, rand.New(rand.NewPCG(p.seed, uint64(i)+100)))
	}
	for at, change := range p.change {
		f.at(at, func() { change(f) })
	}
	f.at(0, f.tick)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event) //nolint:forcetypeassert // only events
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
		c.ask = admitter.Request{
			ID: uint64(len(f.calls) + 1), Team: l.team, Share: max(1, l.share),
			PromptTokens: int(float64(l.least) * math.Pow(float64(l.most)/float64(l.least), r.Float64())),
			MaxOutput:    l.output/4 + r.IntN(l.output*3/4+1),
			Arrived:      epoch.Add(t), Deadline: epoch.Add(t + l.limit),
		}
		f.calls = append(f.calls, c)
		f.at(t, func() { f.offer(v, c) })
	}
}

func (f *fleet) offer(v *vm, c *call) {
	if c.ask.PromptTokens > 64<<10 {
		f.offered[1] += c.ask.PromptTokens
	} else {
		f.offered[0] += c.ask.PromptTokens
	}
	if r := v.adm.Offer(f.clock(), c.ask, router.EstimateCapacity(f.candidates(v), c.ask.PromptTokens)); r != nil {
		c.refused, c.refusal = r, f.now
		if f.back && r.RetryAfter > 0 && c.again == 0 {
			f.comeBack(v, c)
		}
		return
	}
	f.pending[c.ask.ID] = c
	f.dispatch(v)
}

// comeBack offers a refused call once more, when it was told to come back.
func (f *fleet) comeBack(v *vm, c *call) {
	again := &call{at: f.now + c.refused.RetryAfter, again: c.ask.ID, ask: c.ask}
	again.ask.ID = uint64(len(f.calls) + 1)
	again.ask.Arrived = c.ask.Arrived.Add(c.refused.RetryAfter)
	again.ask.Deadline = c.ask.Deadline.Add(c.refused.RetryAfter)
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
			panic("an ask was given twice")
		}
		c.placed, c.engine, c.sent = true, index, f.now
		k := &cands[index]
		c.backlog = max(0, float64(k.PrefillLeft)-prefill*k.ReportAge.Seconds()) + float64(k.UnreportedTokens+a.PromptTokens)
		k.FreeSlots--
		k.OwnStreams++
		k.UnreportedRequests++
		k.UnreportedTokens += a.PromptTokens
		k.OwnPrefillLeft += a.PromptTokens
		m := &v.mine[index]
		m.calls = append(m.calls, c)
		m.recent = append(m.recent, c)
		m.unread += a.PromptTokens
		c.vm = v
		f.at(f.now+hop, func() { f.arrive(f.engs[index], c) })
	}
}

func (f *fleet) candidates(v *vm) []router.Candidate {
	v.cands = v.cands[:0]
	for i, e := range f.engs {
		r := e.seen(f.now)
		m := &v.mine[i]
		k := router.Candidate{
			Name: e.name, SameZone: true, FreeSlots: slots/f.play.vms - len(m.calls), Slots: slots, OwnStreams: len(m.calls), OwnPrefillLeft: m.unread,
			Running: r.running, Waiting: r.waiting, KVUsed: r.used, KVCapacity: memory, PrefillLeft: int(r.left),
			ReportAge: f.now - r.at, PrefillRate: prefill, DecodeRate: decode, SpeedRatio: v.gauge.Speed(f.clock(), e.name), LongOnly: i < f.long,
		}
		k.Primary = f.homes[e.name] == v.name
		k.Secondary = f.guest(i) == v.name
		for len(m.recent) > 0 && m.recent[0].sent < r.at-hop {
			m.recent = m.recent[1:]
		}
		for _, c := range m.recent {
			k.UnreportedRequests++
			k.UnreportedTokens += c.ask.PromptTokens
		}
		v.cands = append(v.cands, k)
	}
	return v.cands
}

// apart sets engines apart for long prompts.
func (f *fleet) apart(n int) {
	var names []string
	for _, e := range f.engs {
		names = append(names, e.name)
	}
	f.long, f.turn = n, -1
	f.homes = router.AssignPrimaries(f.names, names[:n])
	maps.Copy(f.homes, router.AssignPrimaries(f.names, names[n:]))
}

// settle lets the splitter see ten minutes of the mean load, as in a fleet that
// has been up for a while.
func (f *fleet) settle() {
	l := splitter.Load{Engines: len(f.engs)}
	for _, o := range f.loads {
		if o.least >= 100_000 {
			l.LongTokens += o.rate * o.tokens()
		} else {
			l.ShortTokens += o.rate * o.tokens()
		}
	}
	for t := -10 * time.Minute; t < 0; t += time.Second {
		f.apart(f.split.Update(epoch.Add(t), l))
	}
}

// resplit follows the load with the number of engines set apart.
func (f *fleet) resplit() {
	n := f.split.Update(f.clock(), splitter.Load{
		ShortTokens: float64(f.offered[0]) / tick.Seconds(),
		LongTokens:  float64(f.offered[1]) / tick.Seconds(),
		Engines:     len(f.engs),
	})
	f.offered = [2]int{}
	if n != f.long {
		f.apart(n)
		f.moves++
	}
}

// guest gives the engine's guest VM, reckoned once a turn.
func (f *fleet) guest(i int) string {
	if turn := int64(f.now / router.SecondaryTerm); turn != f.turn {
		f.turn = turn
		for i, e := range f.engs {
			f.guests[i] = router.SecondaryAt(f.clock(), f.names, e.name, f.homes[e.name])
		}
	}
	return f.guests[i]
}

// tick makes reports, gauges and dispatches.
func (f *fleet) tick() {
	if f.play.long < 0 {
		f.resplit()
	}
	for _, e := range f.engs {
		e.advance(f.now)
		r := report{at: f.now, running: e.running, waiting: len(e.queue), used: e.used, left: e.left}
		for _, c := range e.unread[min(1, len(e.unread)):] {
			r.left += float64(c.ask.PromptTokens)
		}
		e.reports = append(e.reports, r)
	}
	for _, v := range f.vms {
		f.measure(v)
		f.dispatch(v)
	}
	if f.now < f.span+10*time.Minute && (f.now < f.span || len(f.events) > 0) {
		f.at(f.now+tick, f.tick)
	}
}

func (f *fleet) measure(v *vm) {
	for i, e := range f.engs {
		for _, c := range v.mine[i].calls {
			if c.first == 0 || c.first > f.now {
				v.gauge.ObservePending(f.clock(), e.name, int(c.backlog), f.now-c.sent, prefill)
			} else if f.now-c.first >= tick {
				got := tick.Seconds() * decode / e.slower
				v.gauge.Observe(f.clock(), e.name, 1, time.Duration(float64(tick)/got), decode)
			}
		}
	}
}
