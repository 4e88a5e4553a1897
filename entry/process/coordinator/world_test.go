package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/coordinator"
	"github.com/heathervane/heathervane/entry/process/lender"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/lister"
	"github.com/heathervane/heathervane/library/recorder"
)

// A world is a small fleet on a clock driven by hand: entry VMs, a log, a list,
// links and upstreams that count what they run.
type world struct {
	now       time.Time
	rand      *rand.Rand
	timings   coordinator.Timings
	vms       []*vm
	listed    []lister.VM
	upstreams []*upstream
	records   []appender.Record
	forgotten uint64 // records up to this offset are no longer kept
	logDown   bool
	listDown  bool
	loss      float64 // of messages
	double    float64
	delay     time.Duration // longest of a message
	cut       map[[2]string]bool
	events    []event
	boots     uint64
	seats     int
	load      float64 // chance of a request per VM and step
	longest   time.Duration
	step      time.Duration
	failure   string
	sent      int // messages
	bytes     int
}

type event struct {
	at   time.Time
	call func()
}

type vm struct {
	id     string
	boot   uint64
	node   *coordinator.Node
	frozen time.Time
	dead   bool
	probe  time.Time
	list   time.Time
	inbox  []func()
	busy   bool
}

type upstream struct {
	coordinator.Upstream
	boot    uint64
	cold    bool
	done    int
	warm    int
	running map[*request]bool
	flying  map[*request]bool // taken and not yet arrived
	down    bool
}

type request struct {
	vm    *vm
	boot  uint64
	taken time.Time
	sent  bool
}

// step is how far the clock moves at once, unless a world says otherwise.
const step = 10 * time.Millisecond

func newWorld(seed uint64, keep time.Duration, vms, seats int, upstreams ...coordinator.Upstream) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)), timings: coordinator.Today(),
		cut: map[[2]string]bool{}, delay: 20 * time.Millisecond, seats: seats, load: 0.2, longest: time.Second, step: step,
	}
	w.timings.Longest = 5 * time.Second
	w.timings.Absent = 4 * time.Second
	w.timings.Keep = keep
	for _, u := range upstreams {
		w.boots++
		w.upstreams = append(w.upstreams, &upstream{
			Upstream: u, boot: w.boots, cold: true, warm: 10, running: map[*request]bool{}, flying: map[*request]bool{},
		})
	}
	for i := range vms {
		w.start(fmt.Sprintf("v%d", i+1))
	}
	return w
}

func (w *world) start(id string) {
	w.boots++
	v := &vm{id: id, boot: w.boots}
	v.node = coordinator.NewNode(coordinator.Config{
		VM: id, Zone: "a", Address: id + ":1", Boot: v.boot, Timings: w.timings,
	})
	var us []coordinator.Upstream
	for _, u := range w.upstreams {
		us = append(us, u.Upstream)
	}
	v.node.Configure(us, w.seats)
	w.vms = append(w.vms, v)
	if !slices.ContainsFunc(w.listed, func(l lister.VM) bool { return l.ID == id }) {
		w.listed = append(w.listed, lister.VM{ID: id, Zone: "a", Address: id + ":1", State: lister.Live})
	}
}

// kill stops a VM; the platform takes it off the list later.
func (w *world) kill(v *vm) {
	v.dead = true
	w.after(2*time.Second, func() {
		w.listed = slices.DeleteFunc(w.listed, func(l lister.VM) bool { return l.ID == v.id })
	})
}

func (w *world) freeze(v *vm, d time.Duration) { v.frozen = w.now.Add(d) }

func (w *world) after(d time.Duration, call func()) {
	w.events = append(w.events, event{at: w.now.Add(d), call: call})
}

func (w *world) short() time.Duration { return time.Duration(w.rand.Int64N(int64(w.delay) + 1)) }

// at has a VM see something, now or when it wakes.
func (w *world) at(v *vm, call func()) {
	switch {
	case v.dead:
	case w.now.Before(v.frozen):
		v.inbox = append(v.inbox, call)
	default:
		call()
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.failure == ""; {
		w.now = w.now.Add(w.step)
		w.forget()
		w.due()
		for _, v := range w.vms {
			if !v.dead && !w.now.Before(v.frozen) {
				w.turn(v)
			}
		}
		w.check()
	}
}

// forget drops what the log no longer keeps.
func (w *world) forget() {
	keep := w.timings.Keep
	for keep > 0 && w.forgotten < uint64(len(w.records)) && w.now.Sub(w.records[w.forgotten].At) > keep {
		w.forgotten++
	}
}

func (w *world) due() {
	events := w.events
	w.events = nil
	for _, e := range events {
		if e.at.After(w.now) {
			w.events = append(w.events, e)
			continue
		}
		e.call()
	}
}

func (w *world) turn(v *vm) {
	for _, call := range v.inbox {
		call()
	}
	v.inbox = nil
	if !v.busy {
		w.readClaims(v)
	}
	if !w.now.Before(v.list) && !w.listDown {
		v.list = w.now.Add(w.timings.Listing)
		v.node.List(w.now, slices.Clone(w.listed))
	}
	if !w.now.Before(v.probe) {
		v.probe = w.now.Add(w.timings.Poll)
		w.probeAll(v)
	}
	if w.rand.Float64() < w.load {
		w.request(v, w.upstreams[w.rand.IntN(len(w.upstreams))])
	}
	w.send(v, v.node.Tick(w.now))
}

func (w *world) readClaims(v *vm) {
	v.busy = true
	began := w.now
	w.after(w.short(), func() {
		if w.logDown {
			w.at(v, func() { v.busy = false })
			return
		}
		from := max(v.node.From(), w.forgotten+1)
		b := appender.Batch{Start: w.forgotten + 1, End: uint64(len(w.records)) + 1}
		if from <= uint64(len(w.records)) {
			b.Records = slices.Clone(w.records[from-1:])
		}
		w.after(w.short(), func() {
			w.at(v, func() {
				v.busy = false
				v.node.Read(began, w.now, b)
			})
		})
	})
}

func (w *world) probeAll(v *vm) {
	for _, k := range v.node.Looks(w.now) {
		u := w.upstream(k.Name)
		asked := w.now
		w.after(w.short(), func() {
			if u.down {
				return
			}
			load := lender.Load{Boot: u.boot, Running: len(u.running), Cold: u.cold, Taken: asked}
			boot, counts := u.boot, map[lender.Who]int{}
			for r := range u.running {
				counts[lender.Who{VM: r.vm.id, Boot: r.vm.boot}]++
			}
			w.after(w.short(), func() {
				w.at(v, func() {
					v.node.Loaded(asked, w.now, k.Name, load)
					if k.Streams {
						v.node.Streams(asked, w.now, k.Name, boot, counts)
					}
				})
			})
		})
	}
}

func (w *world) upstream(name string) *upstream {
	return w.upstreams[slices.IndexFunc(w.upstreams, func(u *upstream) bool { return u.Name == name })]
}

func (w *world) send(v *vm, s coordinator.Step) {
	for _, c := range s.Claims {
		data, err := recorder.Wrap(recorder.KindClaim, c)
		if err != nil {
			panic(err)
		}
		w.after(w.short(), func() {
			if !w.logDown {
				w.records = append(w.records, appender.Record{
					Offset: uint64(len(w.records)) + 1, At: w.now, Data: data,
				})
			}
		})
	}
	for _, m := range s.Sends {
		w.post(v, m)
		if w.rand.Float64() < w.double {
			w.post(v, m)
		}
	}
}

func (w *world) post(v *vm, m coordinator.Send) {
	if w.cut[[2]string{v.id, m.To}] || w.rand.Float64() < w.loss {
		return
	}
	// What a VM sends is encoded on a link, so that nothing is shared.
	data, err := recorder.Encode(m.Message)
	if err != nil {
		panic(err)
	}
	w.sent++
	w.bytes += len(data)
	from := lender.Who{VM: v.id, Boot: v.boot}
	w.after(w.short(), func() {
		for _, to := range w.vms {
			if to.id == m.To && !to.dead {
				w.at(to, func() {
					message, err := recorder.Decode[coordinator.Message](data)
					if err != nil {
						panic(err)
					}
					to.node.Handle(w.now, from, message)
				})
			}
		}
	})
}
