package dispatcher_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/dispatcher"
	"github.com/heathervane/heathervane/entry/request/admitter"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/version/viewer"
	"github.com/heathervane/heathervane/library/checker"
)

// lender lends a fixed number of places at each upstream.
type lender struct {
	mu   sync.Mutex
	free map[string]int
	used map[string]int
	want map[string]int
	// silent are upstreams that have not been heard of for long.
	silent map[string]bool
}

func newLender(slots int, names ...string) *lender {
	l := &lender{free: map[string]int{}, used: map[string]int{}, want: map[string]int{}, silent: map[string]bool{}}
	for _, n := range names {
		l.free[n] = slots
	}
	return l
}

type place struct {
	lender *lender
	name   string
}

func (place) Boot() uint64 { return 9 }
func (place) Live() bool   { return true }

func (p place) Done(dispatcher.Outcome) {
	p.lender.mu.Lock()
	defer p.lender.mu.Unlock()
	p.lender.free[p.name]++
	p.lender.used[p.name]--
}

func (l *lender) Supply(name string) dispatcher.Supply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent[name] {
		return dispatcher.Supply{Age: time.Hour}
	}
	return dispatcher.Supply{Free: l.free[name], Slots: l.free[name] + l.used[name], Mine: l.used[name], Boot: 9}
}

func (l *lender) Take(name string, _ int) (dispatcher.Slot, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free[name] == 0 {
		return nil, false
	}
	l.free[name]--
	l.used[name]++
	return place{l, name}, true
}

func (l *lender) Want(name string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.want[name] = n
}

func (l *lender) Need(string, int) {}
func (l *lender) VMs() []string    { return []string{"vm1"} }

func (l *lender) inUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, used := range l.used {
		n += used
	}
	return n
}

type asPromised struct{}

func (asPromised) Speed(string) float64 { return 1 }

type rig struct {
	*dispatcher.Dispatcher
	pool   *viewer.Pool
	lender *lender
}

func view(memory int, names ...string) *viewer.View {
	m := checker.Manifest{Models: map[string]checker.Model{"m": {}}, Upstreams: map[string]checker.Upstream{}}
	for _, n := range names {
		m.Upstreams[n] = checker.Upstream{Model: "m", Zone: "a", Slots: 4, Memory: memory, Prefill: 1000, Decode: 50}
	}
	return viewer.New(1, m, func(string, string) bool { return false })
}

func newRig(t *testing.T, slots, memory int, names ...string) *rig {
	t.Helper()
	l := newLender(slots, names...)
	d := dispatcher.New(dispatcher.Config{Zone: "a", VM: "vm1", Router: "best", Queue: "fair"}, l, asPromised{}, time.Now)
	v := view(memory, names...)
	assert.NilError(t, d.Configure(v))
	pool, _ := v.Model("m")
	return &rig{Dispatcher: d, pool: pool, lender: l}
}

func (r *rig) call(tokens int) dispatcher.Call {
	now := time.Now()
	return dispatcher.Call{Pool: r.pool, Ask: admitter.Request{
		Team: "t", Share: 1, PromptTokens: tokens, MaxOutput: 10, Arrived: now, Deadline: now.Add(time.Minute),
	}}
}

// acquire asks in the background and returns when the request waits.
func (r *rig) acquire(ctx context.Context, c dispatcher.Call) <-chan *dispatcher.Grant {
	answer := make(chan *dispatcher.Grant, 1)
	was := r.Waiting()
	go func() {
		g, _ := r.Acquire(ctx, c)
		answer <- g
	}()
	for r.Waiting() == was {
		time.Sleep(time.Millisecond)
	}
	return answer
}

func TestAPlaceAtOnceAndAPlaceLater(t *testing.T) {
	r := newRig(t, 1, 10000, "e1")
	first, refusal := r.Acquire(t.Context(), r.call(100))
	assert.Assert(t, refusal == nil)
	assert.Equal(t, first.Parts[0].Boot, uint64(9))
	later := r.acquire(t.Context(), r.call(100))
	assert.Assert(t, r.lender.want["e1"] > 0)
	first.Done(dispatcher.Completed)
	r.Pump()
	second := <-later
	assert.Equal(t, second.Names()[0], "e1")
	second.Done(dispatcher.Completed)
	assert.Equal(t, r.lender.inUse(), 0)
}

// An engine is about to load another version. Work that it still got would be
// cut by the load or put it off for ever; what runs there ends as usual.
func TestAvoidedUpstreamGetsNoNewWork(t *testing.T) {
	r := newRig(t, 1, 10000, "e1", "e2")
	r.Avoid([]string{"e1"})
	first, refusal := r.Acquire(t.Context(), r.call(100))
	assert.Assert(t, refusal == nil)
	assert.Equal(t, first.Names()[0], "e2")
	later := r.acquire(t.Context(), r.call(100))
	r.Avoid(nil)
	r.Pump()
	second := <-later
	assert.Equal(t, second.Names()[0], "e1")
	first.Done(dispatcher.Completed)
	second.Done(dispatcher.Completed)
}

// An upstream asked this VM to send nothing for a while. Its places are free, but work sent
// there would only be rejected.
func TestUpstreamThatRequestsBackoffGetsNoNewWork(t *testing.T) {
	r := newRig(t, 4, 10000, "e1", "e2")
	r.BackOff("e1", time.Hour)
	r.BackOff("e1", time.Millisecond)
	for range 4 {
		g, refusal := r.Acquire(t.Context(), r.call(100))
		assert.Assert(t, refusal == nil)
		assert.Equal(t, g.Names()[0], "e2")
	}
	r.BackOff("e3", 0)
	waiting := r.acquire(t.Context(), r.call(100))
	r.Pump()
	assert.Equal(t, r.lender.inUse(), 4)
	assert.Equal(t, len(waiting), 0)
}

// A caller goes away while its request waits, or in the very moment it gets its
// place. The place must not stay taken.
func TestACallerThatLeavesHoldsNoPlace(t *testing.T) {
	r := newRig(t, 1, 10000, "e1")
	first, _ := r.Acquire(t.Context(), r.call(100))
	ctx, leave := context.WithCancel(t.Context())
	waiting := r.acquire(ctx, r.call(100))
	leave()
	assert.Assert(t, <-waiting == nil)
	assert.Equal(t, r.Waiting(), 0)
	first.Done(dispatcher.Completed)
	for range 200 {
		ctx, leave := context.WithCancel(t.Context())
		go leave()
		if g, refusal := r.Acquire(ctx, r.call(100)); refusal == nil {
			g.Done(dispatcher.Cancelled)
		}
	}
	assert.Equal(t, r.lender.inUse(), 0)
}

// A prompt is larger than two engines' memory. It gets three engines at once or
// none: a group that held two of three would keep them from all other work.
func TestAGroupGetsAllItsEnginesOrNone(t *testing.T) {
	r := newRig(t, 1, 1000, "e1", "e2", "e3")
	busy, refusal := r.Acquire(t.Context(), r.call(100))
	assert.Assert(t, refusal == nil)
	waiting := r.acquire(t.Context(), r.call(2300))
	assert.Equal(t, r.lender.inUse(), 1)
	busy.Done(dispatcher.Completed)
	r.Pump()
	group := <-waiting
	assert.DeepEqual(t, group.Names(), []string{"e1", "e2", "e3"})
	sum := 0
	for _, p := range group.Parts {
		sum += p.Tokens
	}
	assert.Equal(t, sum, 2300)
	group.Done(dispatcher.Completed)
	assert.Equal(t, r.lender.inUse(), 0)
}

func TestWhatNoGroupCanHoldIsRefusedAtOnce(t *testing.T) {
	r := newRig(t, 1, 1000, "e1", "e2", "e3")
	_, refusal := r.Acquire(t.Context(), r.call(5000))
	assert.Equal(t, refusal.Code, "too_large")
	assert.Equal(t, refusal.Ran, refuser.RanNo)
}

// A prompt waits for a group of three engines, and one of the three dies. It is
// refused as not run in that moment, and not at its limit an hour later; so is
// the next one, which hears when to come back.
func TestAGroupThatCanNoLongerBeHadIsRefusedAtOnce(t *testing.T) {
	r := newRig(t, 0, 1000, "e1", "e2", "e3")
	waiting := r.acquire(t.Context(), r.call(2300))
	r.lender.mu.Lock()
	r.lender.silent["e2"] = true
	r.lender.mu.Unlock()
	r.Pump()
	assert.Assert(t, <-waiting == nil)
	_, refusal := r.Acquire(t.Context(), r.call(2300))
	assert.Equal(t, refusal.Code, "engines_away")
	assert.Equal(t, refusal.Ran, refuser.RanNo)
	assert.Assert(t, refusal.RetryAfter > 0)
}

// A publish takes a model away while a request waits for it. The request gets
// its answer in that moment, not at its limit.
func TestAPoolThatGoesRefusesWhatWaits(t *testing.T) {
	r := newRig(t, 0, 1000, "e1")
	waiting := r.acquire(t.Context(), r.call(100))
	assert.NilError(t, r.Configure(viewer.New(2, checker.Manifest{}, nil)))
	assert.Assert(t, <-waiting == nil)
	_, refusal := r.Acquire(t.Context(), r.call(100))
	assert.Equal(t, refusal.Code, "gone")
}

func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{24, 750} {
		b.Run(fmt.Sprint(n, " upstreams"), func(b *testing.B) {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("e%05d", i)
			}
			l := newLender(8, names...)
			d := dispatcher.New(dispatcher.Config{Zone: "a", VM: "vm1", Router: "best", Queue: "fair"}, l, asPromised{}, time.Now)
			v := view(100000, names...)
			assert.NilError(b, d.Configure(v))
			pool, _ := v.Model("m")
			r := &rig{Dispatcher: d, pool: pool, lender: l}
			b.ReportAllocs()
			for b.Loop() {
				g, refusal := r.Acquire(context.Background(), r.call(100))
				if refusal != nil {
					b.Fatal(refusal)
				}
				g.Done(dispatcher.Completed)
			}
		})
	}
}
