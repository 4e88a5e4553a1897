package allocator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// The bound on what an upstream gets that has named a limit, in any span that ends so
// long after it first did, from VMs that have been told for some time.
const (
	limitSpan  = 4 * time.Second
	limitShare = 1.5
	limitSlack = 5
	limitKnown = 3 * time.Second
	limitTold  = 500 * time.Millisecond
)

// A limited is a replay of requests for a service of which one upstream has named a
// limit.
type limited struct {
	n    *network
	rate float64
	// named says that the upstream still names it, and since when.
	named time.Time
	told  map[int]time.Time
	asked []asking
	sent  []sending
	// takes is how long an upstream takes to answer.
	takes time.Duration
}

type asking struct {
	vm    int
	asked *allocator.Pending
}

type sending struct {
	vm    int
	at    time.Time
	place *allocator.Placement
	main  bool
	ended bool
}

func newLimited(t testing.TB, vms int, rate float64) *limited {
	zones := []string{"x", "y", "z"}
	var all []string
	for i := range vms {
		all = append(all, zones[i%len(zones)])
	}
	l := &limited{n: newNetwork(t, all, 0), rate: rate, told: map[int]time.Time{}, takes: 20 * time.Millisecond}
	l.named = l.n.now
	for _, v := range l.n.vms {
		l.list(v)
	}
	return l
}

// roomy is an engine that bears all that comes.
var roomy = func() *matcher.Engine {
	e := *engine
	e.Slots = 64
	return &e
}()

// list lists the upstreams at a VM.
func (l *limited) list(v *vm) {
	v.service = &matcher.Service{Name: "s", Engine: roomy}
	for _, id := range []string{"u0", "u1"} {
		v.tracker.Put(l.n.now, tracker.Upstream{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: "x", Slots: roomy.Slots})
	}
}

// leaveOne leaves the upstream that names a limit as the only one, so that all that
// it takes is used.
func (l *limited) leaveOne() {
	for _, v := range l.n.vms {
		v.tracker.Remove(l.n.now, "u1", false)
	}
}

func (l *limited) call() scheduler.Request {
	c := l.n.call()
	c.Service = &matcher.Service{Name: "s", Engine: roomy}
	return c
}

// run lets time pass in which requests come so often at VMs that take callers.
func (l *limited) run(d time.Duration, perSecond float64, draw *rand.Rand) {
	const step = 5 * time.Millisecond
	for end := l.n.now.Add(d); l.n.now.Before(end); {
		if draw.Float64() < perSecond*step.Seconds() {
			if v := l.n.vms[draw.IntN(len(l.n.vms))]; !v.dead && !v.frozen {
				l.asked = append(l.asked, asking{v.index, v.Submit(l.call())})
			}
		}
		l.n.run(step)
		l.send()
		l.answer()
	}
}

func (l *limited) send() {
	var waits []asking
	for _, a := range l.asked {
		p, r := a.asked.Poll()
		switch {
		case p == nil && r == nil:
			waits = append(waits, a)
		case p != nil:
			l.sent = append(l.sent, sending{vm: a.vm, at: l.n.now, place: p, main: p.Upstream.ID == "u0"})
		}
	}
	l.asked = waits
}

func (l *limited) answer() {
	for i := range l.sent {
		s := &l.sent[i]
		v := l.n.vms[s.vm]
		if s.ended || v.dead || v.frozen || l.n.now.Sub(s.at) < l.takes {
			continue
		}
		s.ended = true
		if s.main {
			word := tracker.Limit{Limited: !l.named.IsZero(), Rate: l.rate, AsOf: l.n.now}
			if !word.Limited {
				word.AsOf = s.at
			} else if l.told[s.vm].IsZero() {
				l.told[s.vm] = l.n.now
			}
			v.tracker.ReportLimit("u0", word)
		}
		s.place.Release()
	}
}

// most is how many requests counted in some span.
func (l *limited) most(excused map[int]bool) (most int, at time.Duration) {
	var times []time.Time
	for _, s := range l.sent {
		told := l.told[s.vm]
		if s.main && !excused[s.vm] && !told.IsZero() && s.at.Sub(told) >= limitTold {
			times = append(times, s.at)
		}
	}
	for i, end := range times {
		n := 0
		for _, at := range times[:i+1] {
			if end.Sub(at) < limitSpan {
				n++
			}
		}
		if end.Sub(l.named) >= limitKnown && n > most {
			most, at = n, end.Sub(l.named)
		}
	}
	return most, at
}

// keepsLimit checks the bound, for requests of VMs that are not excused.
func (l *limited) keepsLimit(t assert.TestingT, excused map[int]bool) {
	allowed := int(limitShare*l.rate*limitSpan.Seconds()) + limitSlack
	most, at := l.most(excused)
	assert.Assert(t, most <= allowed, "%d requests in %v that end %v after the limit was named, allowed %d", most, limitSpan, at, allowed)
}

// VMs that each kept to the limit alone would exceed it as many times as there are,
// and so would leaders that change, or of which two lead at once.
func TestUpstreamGetsNoMoreThanItsLimitFromAllVMs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := rapid.IntRange(1, 9).Draw(rt, "vms")
		rate := float64(rapid.IntRange(0, 40).Draw(rt, "limit")) / 4
		draw := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		l := newLimited(t, vms, rate)
		l.takes = time.Duration(rapid.IntRange(10, 400).Draw(rt, "answers after")) * time.Millisecond
		l.n.spoil = spoiled(draw, rapid.Float64Range(0, 0.2).Draw(rt, "lost datagrams"))
		perSecond := rapid.Float64Range(20, 80).Draw(rt, "requests a second")
		l.run(4*time.Second, perSecond, draw)
		excused := map[int]bool{}
		for range rapid.IntRange(0, 4).Draw(rt, "events") {
			i := rapid.IntRange(0, vms-1).Draw(rt, "vm")
			v := l.n.vms[i]
			excused[i] = true
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				v.frozen = true
				l.run(time.Duration(rapid.IntRange(200, 3000).Draw(rt, "frozen"))*time.Millisecond, perSecond, draw)
				l.n.thaw(v)
			case 1:
				l.kill(v)
				l.run(time.Duration(rapid.IntRange(200, 3000).Draw(rt, "down"))*time.Millisecond, perSecond, draw)
				l.restart(v)
			case 2:
				l.cut(v, true)
				l.run(time.Duration(rapid.IntRange(200, 3000).Draw(rt, "cut"))*time.Millisecond, perSecond, draw)
				l.cut(v, false)
			case 3:
				// Both sides go on sending, and neither is excused.
				delete(excused, i)
				side := rapid.IntRange(0, vms-1).Draw(rt, "side")
				l.part(side, true)
				l.run(time.Duration(rapid.IntRange(200, 9000).Draw(rt, "parted"))*time.Millisecond, perSecond, draw)
				l.part(side, false)
			case 4:
				// It is heard by others, and none answers it.
				delete(excused, i)
				l.block(v, true)
				l.run(time.Duration(rapid.IntRange(200, 5000).Draw(rt, "unanswered"))*time.Millisecond, perSecond, draw)
				l.block(v, false)
			default:
				delete(excused, i)
			}
			l.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause"))*time.Millisecond, perSecond, draw)
		}
		l.keepsLimit(rt, excused)
	})
}

func (l *limited) kill(v *vm) {
	v.dead = true
	for _, o := range l.n.vms {
		o.unheard[v.index] = true
	}
	var waits []asking
	for _, a := range l.asked {
		if a.vm != v.index {
			waits = append(waits, a)
		}
	}
	l.asked = waits
	for i := range l.sent {
		l.sent[i].ended = l.sent[i].ended || l.sent[i].vm == v.index
	}
}

// restart starts a VM's process again, which knows nothing of before.
func (l *limited) restart(v *vm) {
	v.dead = false
	v.tracker = tracker.New()
	l.list(v)
	delete(l.told, v.index)
	for _, o := range l.n.vms {
		delete(o.unheard, v.index)
	}
	l.n.start(v, l.n.now.UnixNano())
}

// block loses all that a VM and the others send each other, or ends that.
func (l *limited) block(v *vm, is bool) {
	for _, o := range l.n.vms {
		if o != v {
			l.n.blocked[[2]int{v.index, o.index}], l.n.blocked[[2]int{o.index, v.index}] = is, is
		}
	}
}

// cut cuts a VM from all others, or ends that.
func (l *limited) cut(v *vm, is bool) {
	for _, o := range l.n.vms {
		if o == v {
			continue
		}
		l.n.blocked[[2]int{v.index, o.index}], l.n.blocked[[2]int{o.index, v.index}] = is, is
		v.unheard[o.index], o.unheard[v.index] = is, is
	}
}

// Two halves that do not hear each other have a leader each, and both would let the
// upstream have all that it takes.
func TestBothSidesOfACutKeepToTheLimitTogether(t *testing.T) {
	const rate = 10
	draw := rand.New(rand.NewPCG(1, 1))
	l := newLimited(t, 6, rate)
	l.run(4*time.Second, 80, draw)
	whole := l.count()
	l.part(3, true)
	l.run(8*time.Second, 80, draw)
	l.part(3, false)
	l.run(4*time.Second, 80, draw)
	l.keepsLimit(t, nil)
	assert.Assert(t, whole >= 3*rate, "%d requests in 4 s, where a leader may have %d", whole, 4*rate)
}

// Where no leader answers anybody, each VM decides for itself.
func TestVMsThatDecideAloneKeepToTheLimitTogether(t *testing.T) {
	const rate = 4
	draw := rand.New(rand.NewPCG(1, 1))
	l := newLimited(t, 9, rate)
	l.leaveOne()
	l.run(4*time.Second, 80, draw)
	for _, v := range l.n.vms {
		l.block(v, true)
	}
	l.run(10*time.Second, 400, draw)
	l.keepsLimit(t, nil)
}

// The leader answers some VMs only, and another one leads the rest in its place.
func TestVMThatLeadsForSomeKeepsToTheLimitBesideTheLeader(t *testing.T) {
	const rate = 10
	draw := rand.New(rand.NewPCG(1, 1))
	l := newLimited(t, 6, rate)
	l.leaveOne()
	l.run(4*time.Second, 80, draw)
	for _, v := range l.n.vms[2:] {
		l.n.blocked[[2]int{v.index, 0}], l.n.blocked[[2]int{0, v.index}] = true, true
	}
	l.run(8*time.Second, 200, draw)
	l.keepsLimit(t, nil)
}

// A leader that starts again has heard of no limit, and upstreams take a while to
// answer.
func TestLeaderThatStartsAgainKnowsLimits(t *testing.T) {
	const rate = 1
	draw := rand.New(rand.NewPCG(1, 1))
	l := newLimited(t, 4, rate)
	l.takes = 400 * time.Millisecond
	l.run(6*time.Second, 60, draw)
	l.kill(l.n.vms[0])
	l.run(2*time.Second, 60, draw)
	l.restart(l.n.vms[0])
	l.run(4*time.Second, 60, draw)
	l.keepsLimit(t, map[int]bool{0: true})
}

// count is how many requests the upstream got.
func (l *limited) count() int {
	n := 0
	for _, s := range l.sent {
		if s.main {
			n++
		}
	}
	return n
}

// part cuts the first VMs from the others, or ends that.
func (l *limited) part(first int, is bool) {
	for _, v := range l.n.vms[:first] {
		for _, o := range l.n.vms[first:] {
			l.n.blocked[[2]int{v.index, o.index}], l.n.blocked[[2]int{o.index, v.index}] = is, is
			v.unheard[o.index], o.unheard[v.index] = is, is
		}
	}
}

// An upstream that no longer names a limit must get its share again, at whichever VM
// that was seen.
func TestLimitEndsWhereTheUpstreamNamesNoneAnyMore(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	l := newLimited(t, 5, 2)
	l.run(5*time.Second, 60, draw)
	l.named = time.Time{}
	l.run(3*time.Second, 60, draw)
	before, all := l.count(), len(l.sent)
	l.run(2*time.Second, 60, draw)
	n := l.count() - before
	assert.Assert(t, n >= 20, "%d of %d requests went there in 2 s", n, len(l.sent)-all)
}
