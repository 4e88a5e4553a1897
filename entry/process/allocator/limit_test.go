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

// In any limitWindow that ends at least limitSettleTime after an upstream first
// named a limit, VMs that have known of the limit for at least limitSpreadTime
// may send it at most limitFactor times the limit, plus limitSlack requests.
const (
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	limitSettleTime = 3 * time.Second
	limitSpreadTime = 500 * time.Millisecond
)

// A limitTest sends requests for a service with two upstreams, of which u0
// names a rate limit.
type limitTest struct {
	n    *network
	rate float64
	// limitSince is when the upstream started naming the limit; zero once it no
	// longer does.
	limitSince time.Time
	informedAt map[int]time.Time
	waiting    []waitingRequest
	sent       []sentRequest
	// responseTime is how long an upstream takes to respond.
	responseTime time.Duration
}

type waitingRequest struct {
	vm      int
	pending *allocator.Pending
}

type sentRequest struct {
	vm        int
	at        time.Time
	placement *allocator.Placement
	toLimited bool
	finished  bool
}

func newLimitTest(t testing.TB, vms int, rate float64) *limitTest {
	zones := []string{"x", "y", "z"}
	var all []string
	for i := range vms {
		all = append(all, zones[i%len(zones)])
	}
	l := &limitTest{n: newNetwork(t, all, 0), rate: rate, informedAt: map[int]time.Time{}, responseTime: 20 * time.Millisecond}
	l.limitSince = l.n.now
	for _, v := range l.n.vms {
		l.addUpstreams(v)
	}
	return l
}

// largeEngine is an engine with enough slots for all requests of these tests.
var largeEngine = func() *matcher.Engine {
	e := *engine
	e.Slots = 64
	return &e
}()

// addUpstreams adds both upstreams to a VM's list.
func (l *limitTest) addUpstreams(v *vm) {
	v.service = &matcher.Service{Name: "s", Engine: largeEngine}
	for _, id := range []string{"u0", "u1"} {
		v.tracker.Put(l.n.now, tracker.Upstream{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: "x", Slots: largeEngine.Slots})
	}
}

// keepLimitedUpstreamOnly removes the other upstream, so that the limited one
// gets as many requests as allowed.
func (l *limitTest) keepLimitedUpstreamOnly() {
	for _, v := range l.n.vms {
		v.tracker.Remove(l.n.now, "u1", false)
	}
}

func (l *limitTest) call() scheduler.Request {
	c := l.n.call()
	c.Service = &matcher.Service{Name: "s", Engine: largeEngine}
	return c
}

// run advances the clock while requests arrive at the given rate at VMs that
// are neither dead nor frozen.
func (l *limitTest) run(d time.Duration, perSecond float64, rng *rand.Rand) {
	const step = 5 * time.Millisecond
	for end := l.n.now.Add(d); l.n.now.Before(end); {
		if rng.Float64() < perSecond*step.Seconds() {
			if v := l.n.vms[rng.IntN(len(l.n.vms))]; !v.dead && !v.frozen {
				l.waiting = append(l.waiting, waitingRequest{v.index, v.Submit(l.call())})
			}
		}
		l.n.run(step)
		l.send()
		l.respond()
	}
}

func (l *limitTest) send() {
	var remaining []waitingRequest
	for _, a := range l.waiting {
		p, r := a.pending.Poll()
		switch {
		case p == nil && r == nil:
			remaining = append(remaining, a)
		case p != nil:
			l.sent = append(l.sent, sentRequest{vm: a.vm, at: l.n.now, placement: p, toLimited: p.Upstream.ID == "u0"})
		}
	}
	l.waiting = remaining
}

func (l *limitTest) respond() {
	for i := range l.sent {
		s := &l.sent[i]
		v := l.n.vms[s.vm]
		if s.finished || v.dead || v.frozen || l.n.now.Sub(s.at) < l.responseTime {
			continue
		}
		s.finished = true
		if s.toLimited {
			limit := tracker.Limit{Limited: !l.limitSince.IsZero(), Rate: l.rate, AsOf: l.n.now}
			if !limit.Limited {
				limit.AsOf = s.at
			} else if l.informedAt[s.vm].IsZero() {
				l.informedAt[s.vm] = l.n.now
			}
			v.tracker.ReportLimit("u0", limit)
		}
		s.placement.Release()
	}
}

// maxInWindow returns the largest number of counted requests in a limitWindow,
// and when that window ended.
func (l *limitTest) maxInWindow(excused map[int]bool) (most int, at time.Duration) {
	var times []time.Time
	for _, s := range l.sent {
		informed := l.informedAt[s.vm]
		if s.toLimited && !excused[s.vm] && !informed.IsZero() && s.at.Sub(informed) >= limitSpreadTime {
			times = append(times, s.at)
		}
	}
	for i, end := range times {
		n := 0
		for _, at := range times[:i+1] {
			if end.Sub(at) < limitWindow {
				n++
			}
		}
		if end.Sub(l.limitSince) >= limitSettleTime && n > most {
			most, at = n, end.Sub(l.limitSince)
		}
	}
	return most, at
}

// checkLimit checks the bound for requests of VMs that are not excused.
func (l *limitTest) checkLimit(t assert.TestingT, excused map[int]bool) {
	allowed := int(limitFactor*l.rate*limitWindow.Seconds()) + limitSlack
	most, at := l.maxInWindow(excused)
	assert.Assert(t, most <= allowed, "%d requests in %v that end %v after the limit was named, allowed %d", most, limitWindow, at, allowed)
}

// If each VM kept to the limit on its own, the upstream would get a multiple of
// it, one for each VM. The same would happen with changing leaders, or with two
// leaders at the same time.
func TestUpstreamGetsNoMoreThanItsLimitFromAllVMs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := rapid.IntRange(1, 9).Draw(rt, "vms")
		rate := float64(rapid.IntRange(0, 40).Draw(rt, "limit")) / 4
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		l := newLimitTest(t, vms, rate)
		l.responseTime = time.Duration(rapid.IntRange(10, 400).Draw(rt, "answers after")) * time.Millisecond
		l.n.tamper = lossy(rng, rapid.Float64Range(0, 0.2).Draw(rt, "lost datagrams"))
		perSecond := rapid.Float64Range(20, 80).Draw(rt, "requests a second")
		l.run(4*time.Second, perSecond, rng)
		excused := map[int]bool{}
		for range rapid.IntRange(0, 4).Draw(rt, "events") {
			i := rapid.IntRange(0, vms-1).Draw(rt, "vm")
			v := l.n.vms[i]
			excused[i] = true
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				v.frozen = true
				l.run(time.Duration(rapid.IntRange(200, 3000).Draw(rt, "frozen"))*time.Millisecond, perSecond, rng)
				l.n.unfreeze(v)
			case 1:
				l.kill(v)
				l.run(time.Duration(rapid.IntRange(200, 3000).Draw(rt, "down"))*time.Millisecond, perSecond, rng)
				l.restart(v)
			case 2:
				l.setIsolated(v, true)
				l.run(time.Duration(rapid.IntRange(200, 3000).Draw(rt, "cut"))*time.Millisecond, perSecond, rng)
				l.setIsolated(v, false)
			case 3:
				// Both sides keep sending, so neither is excused.
				delete(excused, i)
				side := rapid.IntRange(0, vms-1).Draw(rt, "side")
				l.setPartitioned(side, true)
				l.run(time.Duration(rapid.IntRange(200, 9000).Draw(rt, "parted"))*time.Millisecond, perSecond, rng)
				l.setPartitioned(side, false)
			case 4:
				// The other VMs consider it live, but no datagram passes in
				// either direction.
				delete(excused, i)
				l.setBlocked(v, true)
				l.run(time.Duration(rapid.IntRange(200, 5000).Draw(rt, "unanswered"))*time.Millisecond, perSecond, rng)
				l.setBlocked(v, false)
			default:
				delete(excused, i)
			}
			l.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause"))*time.Millisecond, perSecond, rng)
		}
		l.checkLimit(rt, excused)
	})
}

func (l *limitTest) kill(v *vm) {
	v.dead = true
	for _, o := range l.n.vms {
		o.unreachable[v.index] = true
	}
	var waits []waitingRequest
	for _, a := range l.waiting {
		if a.vm != v.index {
			waits = append(waits, a)
		}
	}
	l.waiting = waits
	for i := range l.sent {
		l.sent[i].finished = l.sent[i].finished || l.sent[i].vm == v.index
	}
}

// restart restarts a VM's process, which loses all state.
func (l *limitTest) restart(v *vm) {
	v.dead = false
	v.tracker = tracker.New()
	l.addUpstreams(v)
	delete(l.informedAt, v.index)
	for _, o := range l.n.vms {
		delete(o.unreachable, v.index)
	}
	l.n.start(v, l.n.now.UnixNano())
}

// setBlocked sets whether datagrams between a VM and all others are lost.
func (l *limitTest) setBlocked(v *vm, blocked bool) {
	for _, o := range l.n.vms {
		if o != v {
			l.n.blocked[[2]int{v.index, o.index}], l.n.blocked[[2]int{o.index, v.index}] = blocked, blocked
		}
	}
}

// setIsolated sets whether a VM is cut off from all others, which also consider
// it dead.
func (l *limitTest) setIsolated(v *vm, isolated bool) {
	for _, o := range l.n.vms {
		if o == v {
			continue
		}
		l.n.blocked[[2]int{v.index, o.index}], l.n.blocked[[2]int{o.index, v.index}] = isolated, isolated
		v.unreachable[o.index], o.unreachable[v.index] = isolated, isolated
	}
}

// Two halves of the fleet do not hear each other and have a leader each.
// Together they must not exceed the upstream's limit.
func TestPartitionedHalvesKeepTheLimit(t *testing.T) {
	const rate = 10
	rng := rand.New(rand.NewPCG(1, 1))
	l := newLimitTest(t, 6, rate)
	l.run(4*time.Second, 80, rng)
	total := l.sentToLimited()
	l.setPartitioned(3, true)
	l.run(8*time.Second, 80, rng)
	l.setPartitioned(3, false)
	l.run(4*time.Second, 80, rng)
	l.checkLimit(t, nil)
	assert.Assert(t, total >= 3*rate, "%d requests in 4 s, while a leader may send %d", total, 4*rate)
}

// No VM gets answers from any leader, so that each one decides alone. Together
// they must not exceed the limit.
func TestVMsSchedulingAloneKeepTheLimit(t *testing.T) {
	const rate = 4
	rng := rand.New(rand.NewPCG(1, 1))
	l := newLimitTest(t, 9, rate)
	l.keepLimitedUpstreamOnly()
	l.run(4*time.Second, 80, rng)
	for _, v := range l.n.vms {
		l.setBlocked(v, true)
	}
	l.run(10*time.Second, 400, rng)
	l.checkLimit(t, nil)
}

// The leader answers only some VMs, and another VM leads the rest in its place.
// Together they must not exceed the limit.
func TestLeaderAndActingLeaderKeepTheLimit(t *testing.T) {
	const rate = 10
	rng := rand.New(rand.NewPCG(1, 1))
	l := newLimitTest(t, 6, rate)
	l.keepLimitedUpstreamOnly()
	l.run(4*time.Second, 80, rng)
	for _, v := range l.n.vms[2:] {
		l.n.blocked[[2]int{v.index, 0}], l.n.blocked[[2]int{0, v.index}] = true, true
	}
	l.run(8*time.Second, 200, rng)
	l.checkLimit(t, nil)
}

// A restarted leader does not remember any limit, and upstreams take a while to
// respond. It must learn the limit from other VMs.
func TestRestartedLeaderKnowsLimits(t *testing.T) {
	const rate = 1
	rng := rand.New(rand.NewPCG(1, 1))
	l := newLimitTest(t, 4, rate)
	l.responseTime = 400 * time.Millisecond
	l.run(6*time.Second, 60, rng)
	l.kill(l.n.vms[0])
	l.run(2*time.Second, 60, rng)
	l.restart(l.n.vms[0])
	l.run(4*time.Second, 60, rng)
	l.checkLimit(t, map[int]bool{0: true})
}

// sentToLimited returns the number of requests sent to the limited upstream.
func (l *limitTest) sentToLimited() int {
	n := 0
	for _, s := range l.sent {
		if s.toLimited {
			n++
		}
	}
	return n
}

// setPartitioned sets whether the first VMs are cut off from the others. The two
// sides then also consider each other dead.
func (l *limitTest) setPartitioned(first int, partitioned bool) {
	for _, v := range l.n.vms[:first] {
		for _, o := range l.n.vms[first:] {
			l.n.blocked[[2]int{v.index, o.index}], l.n.blocked[[2]int{o.index, v.index}] = partitioned, partitioned
			v.unreachable[o.index], o.unreachable[v.index] = partitioned, partitioned
		}
	}
}

// An upstream that no longer names a limit must get its normal share of
// requests again, whichever VM saw that.
func TestLimitEndsWhenNoLongerNamed(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	l := newLimitTest(t, 5, 2)
	l.run(5*time.Second, 60, rng)
	l.limitSince = time.Time{}
	l.run(3*time.Second, 60, rng)
	before, all := l.sentToLimited(), len(l.sent)
	l.run(2*time.Second, 60, rng)
	n := l.sentToLimited() - before
	assert.Assert(t, n >= 20, "%d of %d requests were sent to the upstream in 2 s", n, len(l.sent)-all)
}
