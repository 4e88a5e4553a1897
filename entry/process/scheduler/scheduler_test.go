package scheduler_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

var engine = &matcher.Engine{
	Slots: 2, Memory: 232_000, Stride: 43, Chunk: 2048,
	Step: 1.02, PerStream: 0.00226, PerContext: 0.00431, ReadRate: 206, Pairs: 0.138,
}

// peers are other VMs that say what a test wants.
type peers struct {
	mu     sync.Mutex
	loads  map[string]placer.Load
	shared map[string]placer.Load
	before int
	// shorts is how many VMs have a short prompt waiting that goes first.
	shorts int
	waits  bool
	// outcomes are the others', and silent is an upstream that they cannot reach.
	outcomes map[string]tracker.Outcomes
	silent   string
}

func (p *peers) Load(u string) placer.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loads[u]
}
func (p *peers) Silent(u string) bool               { return p.silent == u }
func (p *peers) Outcomes(u string) tracker.Outcomes { return p.outcomes[u] }
func (p *peers) VMs() []string                      { return []string{"me", "other"} }
func (p *peers) Share(u string, l placer.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shared[u] = l
}
func (p *peers) Wait(heads []gossiper.Head) { p.waits = len(heads) > 0 }
func (p *peers) Before(h gossiper.Head) int {
	if h.Long {
		return p.before
	}
	return p.shorts
}

// A fleet is a scheduler with upstreams and a clock that a test sets.
type fleet struct {
	*scheduler.Scheduler
	tracker *tracker.Tracker
	peers   *peers
	now     time.Time
}

func newFleet(engines int) *fleet {
	f := &fleet{tracker: tracker.New(), now: time.Unix(1_000_000, 0)}
	f.peers = &peers{loads: map[string]placer.Load{}, shared: map[string]placer.Load{}}
	f.Scheduler = scheduler.New("me", "z", scheduler.Deps{
		Tracker: f.tracker, Peers: f.peers, Now: func() time.Time { return f.now },
		Bounds: func() scheduler.Bounds { return scheduler.Bounds{ColdMultiplier: 1, ColdSlack: 0} },
	})
	for i := range engines {
		f.tracker.Put(f.now, tracker.Upstream{ID: "u" + strconv.Itoa(i), Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 2})
	}
	return f
}

func (f *fleet) call(prompt int, limit time.Duration) scheduler.Call {
	return scheduler.Call{Service: &matcher.Service{Name: "s", Engine: engine, ColdRate: 4}, Ask: placer.Ask{
		Prompt: prompt, Output: 40, Pause: 250, Arrived: f.now, Objective: f.now.Add(limit / 10), Deadline: f.now.Add(limit),
	}}
}

// full is a fleet of one engine whose slots are taken.
func full(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(1)
	f.peers.loads["u0"] = placer.Load{Streams: 2, Context: 2000}
	return f
}

type outcome struct {
	grant   *scheduler.Grant
	refusal *scheduler.Refusal
}

// ask acquires beside the test; it returns once the request waits or is over.
func (f *fleet) ask(ctx context.Context, c scheduler.Call) chan outcome {
	before := f.Waiting()
	out := make(chan outcome, 1)
	go func() {
		g, r := f.Acquire(ctx, c)
		out <- outcome{g, r}
	}()
	for f.Waiting() == before && len(out) == 0 {
		time.Sleep(time.Millisecond)
	}
	return out
}

// A caller leaves in the moment in which it is given its place. A place that
// nobody gives back would be lost for good: the engine seems full forever.
func TestNothingIsLeftWhenAllHaveEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 6).Draw(t, "engines"))
		var open []*scheduler.Grant
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch {
			case len(open) > 0 && rapid.Bool().Draw(t, "end"):
				g := open[0]
				open = open[1:]
				if rapid.Bool().Draw(t, "began") {
					g.Began()
				}
				g.Done()
				g.Done()
			default:
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				g, _ := f.Acquire(ctx, f.call(rapid.IntRange(1, 300_000).Draw(t, "prompt"), 10*time.Second))
				if g != nil {
					open = append(open, g)
				}
			}
		}
		for _, g := range open {
			g.Done()
		}
		if len(f.Own()) != 0 || f.Waiting() != 0 {
			t.Fatalf("left: %v, waiting %d", f.Own(), f.Waiting())
		}
		for u, l := range f.peers.shared {
			if l != (placer.Load{}) {
				t.Fatalf("peers think that %s has %+v", u, l)
			}
		}
	})
}

// All slots are taken, and the next request's time runs out here: its caller
// must learn it in that moment, not when the time is over.
func TestWhatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	f := newFleet(1)
	for range 2 {
		_, refusal := f.Acquire(t.Context(), f.call(1000, 10*time.Second))
		assert.Assert(t, refusal == nil)
	}
	waits := f.ask(t.Context(), f.call(1000, 10*time.Second))
	assert.Equal(t, f.Waiting(), 1)
	f.now = f.now.Add(9950 * time.Millisecond)
	f.Pump()
	o := <-waits
	assert.Assert(t, o.refusal != nil)
	assert.Equal(t, o.refusal.Code, scheduler.Late)
	assert.Assert(t, o.refusal.After > 0)
	_, refusal := f.Acquire(t.Context(), f.call(600_000, 500*time.Millisecond))
	assert.Assert(t, refusal != nil, "half a second cannot be enough")
}

// A prompt that no engine has room for waits at the head of the queue. Short
// prompts, and long ones of other lengths, must go past it.
func TestPromptWithoutPlaceHoldsBackNoOther(t *testing.T) {
	f := newFleet(1)
	huge := f.ask(t.Context(), f.call(500_000, 100*time.Second))
	assert.Equal(t, f.Waiting(), 1)
	assert.Assert(t, f.peers.waits, "the others are told")
	g, refusal := f.Acquire(t.Context(), f.call(1000, 100*time.Second))
	assert.Assert(t, refusal == nil)
	g.Done()
	g, refusal = f.Acquire(t.Context(), f.call(40_000, 100*time.Second))
	assert.Assert(t, refusal == nil)
	g.Done()
	assert.Equal(t, len(huge), 0)
}

// Of two that wait, the urgent one goes first; of two alike, the one whose time
// is shorter; and one that is late already after both.
func TestPlacesGoByRankThenByTime(t *testing.T) {
	f := newFleet(1)
	first, _ := f.Acquire(t.Context(), f.call(1000, 100*time.Second))
	second, _ := f.Acquire(t.Context(), f.call(1000, 100*time.Second))
	late := f.call(1000, 100*time.Second)
	late.Ask.Objective = f.now.Add(-time.Second)
	relaxed, urgent := f.call(1000, 200*time.Second), f.call(1000, 100*time.Second)
	ranked := f.call(1000, 200*time.Second)
	relaxed.Priority, urgent.Priority, late.Priority = 1, 1, 1
	var outs []chan outcome
	for _, c := range []scheduler.Call{late, relaxed, urgent, ranked} {
		outs = append(outs, f.ask(t.Context(), c))
	}
	assert.Equal(t, f.Waiting(), 4)
	first.Done()
	o := <-outs[3]
	second.Done()
	o2 := <-outs[2]
	o.grant.Done()
	<-outs[1]
	assert.Equal(t, len(outs[0]), 0)
	o2.grant.Done()
	<-outs[0]
}

// One team sends most of the load. What waits of the others goes before the rest
// of its burst, however early that came.
func TestTeamOverItsShareStandsBehind(t *testing.T) {
	f := newFleet(1)
	var open []*scheduler.Grant
	busy, quiet := f.call(1000, 100*time.Second), f.call(1000, 100*time.Second)
	busy.Team, quiet.Team = "busy", "quiet"
	for range 2 {
		g, _ := f.Acquire(t.Context(), quiet)
		g.Done()
	}
	for range 12 {
		g, _ := f.Acquire(t.Context(), busy)
		g.Done()
	}
	for range 2 {
		g, _ := f.Acquire(t.Context(), busy)
		open = append(open, g)
	}
	first := f.ask(t.Context(), busy)
	quiet.Ask.Objective = quiet.Ask.Objective.Add(time.Millisecond)
	second := f.ask(t.Context(), quiet)
	open[0].Done()
	o := <-second
	assert.Assert(t, o.grant != nil)
	assert.Equal(t, len(first), 0)
	open[1].Done()
	<-first
}

// Engines that end a prompt become free for every VM at once. A VM whose prompt
// is not the first leaves them to the others for a moment, and no longer.
func TestLongPromptsYieldToOthersFirst(t *testing.T) {
	f := newFleet(4)
	f.peers.before = 2
	out := f.ask(t.Context(), f.call(60_000, 100*time.Second))
	assert.Equal(t, f.Waiting(), 1)
	f.now = f.now.Add(20 * time.Millisecond)
	f.Pump()
	assert.Equal(t, f.Waiting(), 1)
	f.now = f.now.Add(5 * time.Millisecond)
	f.Pump()
	o := <-out
	assert.Assert(t, o.grant != nil)
	g, _ := f.Acquire(t.Context(), f.call(1000, 100*time.Second))
	assert.Assert(t, g != nil, "short prompts do not wait for that")
}

// Two VMs see one slot come free, and each has a short prompt waiting for it. The
// one whose prompt came later leaves it; with a second slot it takes that.
func TestWaitingShortPromptsShareOutSlots(t *testing.T) {
	f := newFleet(1)
	f.peers.loads["u0"] = placer.Load{Streams: 1}
	f.peers.shorts = 1
	out := f.ask(t.Context(), f.call(1000, 10*time.Second))
	assert.Equal(t, f.Waiting(), 1)
	f.peers.loads["u0"] = placer.Load{}
	f.Pump()
	assert.Assert(t, (<-out).grant != nil)
}

// All engines read for long, so that no short prompt that comes now can be in
// time there, and each waits for a better one. Those that are late already take
// the slots that are free; behind the new ones they would wait until their
// callers leave.
func TestLateShortPromptsDoNotWaitBehindNewOnes(t *testing.T) {
	f := newFleet(1)
	f.peers.loads["u0"] = placer.Load{Unread: 2000, Parts: 1}
	late := f.call(1000, 20*time.Second)
	late.Ask.Objective = f.now.Add(-time.Second)
	fresh := f.ask(t.Context(), f.call(1000, 10*time.Second))
	assert.Equal(t, f.Waiting(), 1)
	placed := f.ask(t.Context(), late)
	assert.Equal(t, f.Waiting(), 1, "the late one waits as well")
	assert.Assert(t, (<-placed).grant != nil)
	assert.Equal(t, len(fresh), 0)
}

// What the others have sent is there before any report shows it.
func TestOthersWorkCounts(t *testing.T) {
	f := newFleet(2)
	f.peers.loads["u0"] = placer.Load{Streams: 2, Context: 1000}
	for range 2 {
		g, _ := f.Acquire(t.Context(), f.call(1000, 10*time.Second))
		assert.Equal(t, g.Upstream.ID, "u1")
	}
}

// An engine fails what it gets at once, while its health is good and it has
// nothing under way, so that it looks the best. Other VMs have found that out;
// this one must not send it a request to see for itself.
func TestOthersFailuresCount(t *testing.T) {
	f := newFleet(2)
	f.peers.outcomes = map[string]tracker.Outcomes{"u0": {Failed: 3}}
	for range 2 {
		r := <-f.ask(t.Context(), f.call(5000, 10*time.Second))
		assert.Assert(t, r.grant != nil)
		assert.Equal(t, r.grant.Upstream.ID, "u1")
	}
	f.peers.outcomes, f.peers.silent = nil, "u1"
	r := <-f.ask(t.Context(), f.call(5000, 10*time.Second))
	assert.Equal(t, r.grant.Upstream.ID, "u0")
}

// An upstream turned cold and bears four requests a second from all VMs. Each
// sends its part and no more, and the rest waits or goes elsewhere.
func TestColdUpstreamGetsThisVMsPart(t *testing.T) {
	f := newFleet(1)
	f.tracker.TurnedCold(f.now, "u0", time.Minute)
	for range 2 {
		g, refusal := f.Acquire(t.Context(), f.call(1000, 100*time.Second))
		assert.Assert(t, refusal == nil)
		g.Done()
	}
	out := f.ask(t.Context(), f.call(1000, 100*time.Second))
	assert.Equal(t, f.Waiting(), 1)
	f.now = f.now.Add(1300 * time.Millisecond)
	f.Pump()
	assert.Assert(t, (<-out).grant != nil)
}

// Callers leave a stream that does not begin. One that cannot begin before that
// is told while it is still there.
func TestRefusedBeforeTheCallerLeaves(t *testing.T) {
	f := full(t)
	c := f.call(1000, 100*time.Second)
	c.Ask.Leaves = f.now.Add(2 * time.Second)
	out := f.ask(t.Context(), c)
	f.now = f.now.Add(1700 * time.Millisecond)
	f.Pump()
	assert.Equal(t, f.Waiting(), 1)
	f.now = f.now.Add(200 * time.Millisecond)
	f.Pump()
	assert.Assert(t, (<-out).refusal != nil)
}

// This VM stops in two seconds. What waits and cannot end by then is told at
// once, while it has time to go to another VM.
func TestWhatCannotEndBeforeTheStopIsRefused(t *testing.T) {
	f := newFleet(1)
	for range 2 {
		_, refusal := f.Acquire(t.Context(), f.call(1000, 100*time.Second))
		assert.Assert(t, refusal == nil)
	}
	out := f.ask(t.Context(), f.call(1000, 100*time.Second))
	f.Until(f.now.Add(2 * time.Second))
	assert.Equal(t, f.Waiting(), 1, "two seconds are enough")
	f.now = f.now.Add(1950 * time.Millisecond)
	f.Pump()
	assert.Assert(t, (<-out).refusal != nil)
}

// A caller that gives up takes its request out of the queue.
func TestCallersWhoLeaveDoNotWaitOn(t *testing.T) {
	f := full(t)
	ctx, cancel := context.WithCancel(t.Context())
	out := f.ask(ctx, f.call(1000, 10*time.Second))
	assert.Equal(t, f.Waiting(), 1)
	cancel()
	assert.Assert(t, (<-out).refusal != nil)
	assert.Equal(t, f.Waiting(), 0)
}

// The same for a long prompt, for which the other VMs leave places: they must
// learn that it waits no more.
func TestOthersLearnThatAPromptHasLeft(t *testing.T) {
	f := full(t)
	ctx, cancel := context.WithCancel(t.Context())
	out := f.ask(ctx, f.call(60_000, 10*time.Second))
	assert.Assert(t, f.peers.waits)
	cancel()
	<-out
	assert.Assert(t, !f.peers.waits)
}

// All upstreams of a booking service have gone, as a zone is out and the others
// were emptied. A booking that was held for its 800 ms and refused then had no
// time left to come back; told at once, it comes back when there may be one. A
// VM that has not read the list for long cannot say so, and waits.
func TestServiceWithoutUpstreamsRefusesAtOnce(t *testing.T) {
	f := newFleet(0)
	plain := scheduler.Call{Service: &matcher.Service{Name: "s"}, Ask: placer.Ask{Arrived: f.now, Objective: f.now.Add(300 * time.Millisecond), Deadline: f.now.Add(800 * time.Millisecond)}}
	for _, c := range []scheduler.Call{plain, f.call(1000, 10*time.Second), f.call(60_000, 10*time.Second)} {
		g, refusal := f.Acquire(t.Context(), c)
		assert.Assert(t, g == nil)
		assert.Equal(t, refusal.Code, scheduler.None)
		assert.Assert(t, refusal.After > 0)
	}
	f.tracker.Outdate(true)
	waits := f.ask(t.Context(), plain)
	assert.Equal(t, f.Waiting(), 1)
	f.tracker.Outdate(false)
	f.tracker.Put(f.now, tracker.Upstream{ID: "u", Service: "s", Slots: 2})
	f.Pump()
	assert.Assert(t, (<-waits).grant != nil)
}
