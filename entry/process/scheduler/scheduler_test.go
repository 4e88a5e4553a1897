package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

var engine = &matcher.Engine{
	Slots: 2, KVCapacity: 232_000, StepsPerPass: 43, PrefillChunk: 2048,
	StepTime: 1.02, StepTimePerStream: 0.00226, StepTimePerContext: 0.00431, PrefillRate: 206, AttentionTime: 0.138,
}

// A fleet is a scheduler with upstreams and a clock that a test sets.
type fleet struct {
	*scheduler.Scheduler
	tracker *tracker.Tracker
	now     time.Time
}

func newFleet(engines int) *fleet {
	f := &fleet{tracker: tracker.New(), now: time.Unix(1_000_000, 0)}
	f.Scheduler = scheduler.New("", scheduler.Deps{
		Tracker: f.tracker, Now: func() time.Time { return f.now },
		ColdQuota: func(_ string, rate float64) int { return int(rate) }, RateQuota: func(named float64) float64 { return named },
	})
	for i := range engines {
		f.tracker.Put(f.now, tracker.Upstream{ID: "u" + strconv.Itoa(i), Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 2})
	}
	return f
}

// others have so many streams at an upstream, given by another scheduler.
func (f *fleet) others(upstream string, streams int) (all []*scheduler.Grant) {
	for range streams {
		all = append(all, f.Adopt(scheduler.Workload{Prompt: 1000, Main: upstream}, true))
	}
	return all
}

func (f *fleet) call(prompt int, limit time.Duration) scheduler.Request {
	return scheduler.Request{Service: &matcher.Service{Name: "s", Engine: engine, ColdStartRate: 4}, Requirements: placer.Request{
		Prompt: prompt, Output: 40, MaxPause: 250, Arrived: f.now, Objective: f.now.Add(limit / 10), Deadline: f.now.Add(limit),
	}}
}

// full is a fleet of one engine whose slots are taken.
func full(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(1)
	f.others("u0", 2)
	return f
}

type outcome struct {
	grant   *scheduler.Grant
	refusal *scheduler.Refusal
}

// ask asks for a place; the answer comes with a call of the scheduler.
func (f *fleet) ask(c scheduler.Request) chan outcome {
	_, out := f.asked(c)
	return out
}

func (f *fleet) asked(c scheduler.Request) (*scheduler.Pending, chan outcome) {
	out := make(chan outcome, 1)
	return f.Submit(c, func(g *scheduler.Grant, r *scheduler.Refusal) { out <- outcome{g, r} }), out
}

// acquire is a request that is answered at once.
func (f *fleet) acquire(t *testing.T, c scheduler.Request) (*scheduler.Grant, *scheduler.Refusal) {
	t.Helper()
	select {
	case o := <-f.ask(c):
		return o.grant, o.refusal
	default:
		t.Fatal("it waits")
		return nil, nil
	}
}

// Requests wait, begin, end and leave in any order, some of them placed by another
// scheduler. A place that is not given back in full would be lost for good: the
// engine seems busy forever.
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
					g.MarkStarted()
				}
				g.Release()
				g.Release()
			case rapid.Bool().Draw(t, "adopt"):
				open = append(open, f.Adopt(scheduler.Workload{Prompt: rapid.IntRange(1, 300_000).Draw(t, "prompt"), Prefill: 3.7, Main: "u0", Helpers: []string{"u1"}, ReservedTokens: []int{9000}}, rapid.Bool().Draw(t, "began")))
			default:
				asked, out := f.asked(f.call(rapid.IntRange(1, 300_000).Draw(t, "prompt"), 10*time.Second))
				asked.Cancel()
				select {
				case o := <-out:
					if o.grant != nil {
						open = append(open, o.grant)
					}
				default:
				}
			}
		}
		for _, g := range open {
			g.Release()
		}
		if len(f.Loads()) != 0 || f.QueueLength() != 0 {
			t.Fatalf("left: %v, waiting %d", f.Loads(), f.QueueLength())
		}
	})
}

// All slots are taken, and the next request's time runs out here: its caller
// must learn it in that moment, not when the time is over.
func TestWhatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	f := newFleet(1)
	for range 2 {
		_, refusal := f.acquire(t, f.call(1000, 10*time.Second))
		assert.Assert(t, refusal == nil)
	}
	waits := f.ask(f.call(1000, 10*time.Second))
	assert.Equal(t, f.QueueLength(), 1)
	f.now = f.now.Add(9950 * time.Millisecond)
	f.Dispatch()
	o := <-waits
	assert.Assert(t, o.refusal != nil)
	assert.Equal(t, o.refusal.Code, scheduler.CodeLate)
	assert.Assert(t, o.refusal.RetryAfter > 0)
	_, refusal := f.acquire(t, f.call(600_000, 500*time.Millisecond))
	assert.Assert(t, refusal != nil, "half a second cannot be enough")
}

// A prompt that no engine has room for waits at the head of the queue. Short
// prompts, and long ones of other lengths, must go past it.
func TestPromptWithoutPlaceHoldsBackNoOther(t *testing.T) {
	f := newFleet(1)
	huge := f.ask(f.call(500_000, 100*time.Second))
	assert.Equal(t, f.QueueLength(), 1)
	g, refusal := f.acquire(t, f.call(1000, 100*time.Second))
	assert.Assert(t, refusal == nil)
	g.Release()
	g, refusal = f.acquire(t, f.call(40_000, 100*time.Second))
	assert.Assert(t, refusal == nil)
	g.Release()
	assert.Equal(t, len(huge), 0)
}

// Of two that wait, the urgent one goes first; of two alike, the one whose time
// is shorter; and one that is late already after both.
func TestPlacesGoByRankThenByTime(t *testing.T) {
	f := newFleet(1)
	first, _ := f.acquire(t, f.call(1000, 100*time.Second))
	second, _ := f.acquire(t, f.call(1000, 100*time.Second))
	late := f.call(1000, 100*time.Second)
	late.Requirements.Objective = f.now.Add(-time.Second)
	relaxed, urgent := f.call(1000, 200*time.Second), f.call(1000, 100*time.Second)
	ranked := f.call(1000, 200*time.Second)
	relaxed.Priority, urgent.Priority, late.Priority = 1, 1, 1
	var outs []chan outcome
	for _, c := range []scheduler.Request{late, relaxed, urgent, ranked} {
		outs = append(outs, f.ask(c))
	}
	assert.Equal(t, f.QueueLength(), 4)
	first.Release()
	o := <-outs[3]
	second.Release()
	o2 := <-outs[2]
	o.grant.Release()
	<-outs[1]
	assert.Equal(t, len(outs[0]), 0)
	o2.grant.Release()
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
		g, _ := f.acquire(t, quiet)
		g.Release()
	}
	for range 12 {
		g, _ := f.acquire(t, busy)
		g.Release()
	}
	for range 2 {
		g, _ := f.acquire(t, busy)
		open = append(open, g)
	}
	first := f.ask(busy)
	quiet.Requirements.Objective = quiet.Requirements.Objective.Add(time.Millisecond)
	second := f.ask(quiet)
	open[0].Release()
	o := <-second
	assert.Assert(t, o.grant != nil)
	assert.Equal(t, len(first), 0)
	open[1].Release()
	<-first
}

// All engines read for long, so that no short prompt that comes now can be in
// time there, and each waits for a better one. Those that are late already take
// the slots that are free; behind the new ones they would wait until their
// callers leave.
func TestLateShortPromptsDoNotWaitBehindNewOnes(t *testing.T) {
	f := newFleet(1)
	f.Adopt(scheduler.Workload{Prompt: 100_000, Prefill: 2000, Long: true, Main: "u0"}, false)
	late := f.call(1000, 20*time.Second)
	late.Requirements.Objective = f.now.Add(-time.Second)
	fresh := f.ask(f.call(1000, 10*time.Second))
	assert.Equal(t, f.QueueLength(), 1)
	placed := f.ask(late)
	assert.Equal(t, f.QueueLength(), 1, "the late one waits as well")
	assert.Assert(t, (<-placed).grant != nil)
	assert.Equal(t, len(fresh), 0)
}

// Whoever begins to schedule for a group learns what others have sent there. Taken
// for idle, an engine that is full gets the next requests as well.
func TestAdoptedWorkCounts(t *testing.T) {
	f := newFleet(2)
	adopted := f.others("u0", 2)
	for range 2 {
		g, _ := f.acquire(t, f.call(1000, 10*time.Second))
		assert.Equal(t, g.Upstream.ID, "u1")
	}
	waits := f.ask(f.call(1000, 10*time.Second))
	assert.Equal(t, len(waits), 0)
	adopted[0].Release()
	assert.Equal(t, (<-waits).grant.Upstream.ID, "u0")
}

// Whoever begins to schedule does not know yet what is under way. Until it does it
// places nothing, and then the first in order, not the first that came.
func TestNothingIsPlacedWhileItLearns(t *testing.T) {
	f := newFleet(1)
	f.PauseUntil(f.now.Add(30 * time.Millisecond))
	relaxed, urgent := f.ask(f.call(1000, 200*time.Second)), f.ask(f.call(1000, 100*time.Second))
	f.others("u0", 1)
	f.Dispatch()
	assert.Equal(t, f.QueueLength(), 2)
	f.now = f.now.Add(30 * time.Millisecond)
	f.Dispatch()
	assert.Assert(t, (<-urgent).grant != nil)
	assert.Equal(t, len(relaxed), 0)
}

// One that no engine can begin in time any more stands first, and those behind it
// have more time left. Held back by it they would be late as well, one after the
// other.
func TestWhatCannotBeInTimeHoldsBackNoOther(t *testing.T) {
	f := newFleet(1)
	f.Adopt(scheduler.Workload{Prompt: 40_000, Prefill: 150, Long: true, Main: "u0"}, false)
	pressed := f.call(1000, 100*time.Second)
	pressed.Requirements.Objective = f.now.Add(150 * time.Millisecond)
	first := f.ask(pressed)
	assert.Equal(t, f.QueueLength(), 1)
	second, refusal := f.acquire(t, f.call(1000, 100*time.Second))
	assert.Assert(t, refusal == nil && second != nil)
	assert.Equal(t, len(first), 0)
}

// An engine fails what it gets at once, while its health is good and it has
// nothing under way, so that it looks the best. Other VMs have found that out and
// say so, and none of them can reach another.
func TestOthersFindingsCount(t *testing.T) {
	f := newFleet(2)
	for range 3 {
		f.tracker.MergeEvent(f.now, tracker.Event{Finding: tracker.FoundFailure, Upstreams: []string{"u0"}})
	}
	for range 2 {
		g, _ := f.acquire(t, f.call(5000, 10*time.Second))
		assert.Equal(t, g.Upstream.ID, "u1")
	}
	f = newFleet(2)
	c := f.call(5000, 10*time.Second)
	c.Unreachable = []string{"u1"}
	g, _ := f.acquire(t, c)
	assert.Equal(t, g.Upstream.ID, "u0")
}

// Upstreams of other zones are other groups' matter.
func TestGroupOfAZoneTakesNoOtherUpstreams(t *testing.T) {
	f := newFleet(1)
	f.tracker.Put(f.now, tracker.Upstream{ID: "far", Service: "s", Zone: "y", Slots: 2})
	s := scheduler.New("y", scheduler.Deps{Tracker: f.tracker, Now: func() time.Time { return f.now }})
	out := make(chan outcome, 1)
	s.Submit(f.call(1000, 10*time.Second), func(g *scheduler.Grant, r *scheduler.Refusal) { out <- outcome{g, r} })
	assert.Equal(t, (<-out).grant.Upstream.ID, "far")
}

// An upstream turned cold, and four requests a second of those that it bears are
// this scheduler's part. It places no more there, and the rest waits or goes
// elsewhere.
func TestColdUpstreamGetsItsPart(t *testing.T) {
	f := newFleet(1)
	f.tracker.ReportCold(f.now, "u0", time.Minute)
	for range 4 {
		g, refusal := f.acquire(t, f.call(1000, 100*time.Second))
		assert.Assert(t, refusal == nil)
		g.Release()
	}
	out := f.ask(f.call(1000, 100*time.Second))
	assert.Equal(t, f.QueueLength(), 1)
	f.now = f.now.Add(1300 * time.Millisecond)
	f.Dispatch()
	assert.Assert(t, (<-out).grant != nil)
}

// Callers leave a stream that does not begin. One that cannot begin before that
// is told while it is still there.
func TestRefusedBeforeTheCallerLeaves(t *testing.T) {
	f := full(t)
	c := f.call(1000, 100*time.Second)
	c.Requirements.CallerTimeout = f.now.Add(2 * time.Second)
	out := f.ask(c)
	f.now = f.now.Add(1700 * time.Millisecond)
	f.Dispatch()
	assert.Equal(t, f.QueueLength(), 1)
	f.now = f.now.Add(200 * time.Millisecond)
	f.Dispatch()
	assert.Assert(t, (<-out).refusal != nil)
}

// The VM that asked stops in two seconds. What waits and cannot end by then is
// told at once, while it has time to go to another VM.
func TestWhatCannotEndBeforeTheStopIsRefused(t *testing.T) {
	f := newFleet(1)
	for range 2 {
		_, refusal := f.acquire(t, f.call(1000, 100*time.Second))
		assert.Assert(t, refusal == nil)
	}
	asked, out := f.asked(f.call(1000, 100*time.Second))
	asked.SetStop(f.now.Add(2 * time.Second))
	assert.Equal(t, f.QueueLength(), 1, "two seconds are enough")
	f.now = f.now.Add(1950 * time.Millisecond)
	f.Dispatch()
	assert.Assert(t, (<-out).refusal != nil)
}

// A caller that gives up takes its request out of the queue.
func TestCallersWhoLeaveDoNotWaitOn(t *testing.T) {
	f := full(t)
	asked, out := f.asked(f.call(1000, 10*time.Second))
	assert.Equal(t, f.QueueLength(), 1)
	f.now = f.now.Add(time.Second)
	why, long := asked.Cancel().Longest()
	assert.Assert(t, why == "engine" && long == time.Second, "%s %v", why, long)
	assert.Equal(t, f.QueueLength(), 0)
	assert.Equal(t, len(out), 0)
}

// All upstreams of a booking service have gone, as a zone is out and the others
// were emptied. A booking that was held for its 800 ms and refused then had no
// time left to come back; told at once, it comes back when there may be one. A
// VM that has not read the list for long cannot say so, and waits.
func TestServiceWithoutUpstreamsRefusesAtOnce(t *testing.T) {
	f := newFleet(0)
	plain := scheduler.Request{Service: &matcher.Service{Name: "s"}, Requirements: placer.Request{Arrived: f.now, Objective: f.now.Add(300 * time.Millisecond), Deadline: f.now.Add(800 * time.Millisecond)}}
	for _, c := range []scheduler.Request{plain, f.call(1000, 10*time.Second), f.call(60_000, 10*time.Second)} {
		g, refusal := f.acquire(t, c)
		assert.Assert(t, g == nil)
		assert.Equal(t, refusal.Code, scheduler.CodeNoUpstream)
		assert.Assert(t, refusal.RetryAfter > 0)
	}
	f.tracker.SetOutdated(true)
	waits := f.ask(plain)
	assert.Equal(t, f.QueueLength(), 1)
	f.tracker.SetOutdated(false)
	f.tracker.Put(f.now, tracker.Upstream{ID: "u", Service: "s", Slots: 2})
	f.Dispatch()
	assert.Assert(t, (<-waits).grant != nil)
}

// limit has upstreams name a limit, or none any more.
func (f *fleet) limit(rate float64, ids ...string) {
	for _, id := range ids {
		f.tracker.ReportLimit(id, tracker.Limit{Limited: rate > 0, Rate: rate, AsOf: f.now})
	}
}

// Every upstream of a service is in need, and three times as much comes as they take.
// What cannot be served would wait until its caller leaves, in front of what can.
func TestRequestsBeyondTheLimitsOfAllUpstreamsAreRefusedAtOnce(t *testing.T) {
	const rate, engines, seconds = 5, 2, 8
	f := newFleet(engines)
	f.limit(rate, "u0", "u1")
	granted, refused, inTime := 0, 0, 0
	step := time.Second / (3 * rate * engines)
	for range 3 * rate * engines * seconds {
		f.now = f.now.Add(step)
		asked := f.now
		f.Submit(f.call(1000, 10*time.Second), func(g *scheduler.Grant, r *scheduler.Refusal) {
			took := f.now.Sub(asked)
			if r != nil {
				refused++
				assert.Equal(t, r.Code, scheduler.CodeLimited)
				assert.Assert(t, r.RetryAfter > 0)
				assert.Assert(t, took < 1500*time.Millisecond, "refused after %v", took)
				return
			}
			granted++
			if took <= time.Second {
				inTime++
			}
			g.Release()
		})
		f.Dispatch()
	}
	least := rate*engines*seconds - 2*engines
	assert.Assert(t, granted >= least, "%d of %d granted, refused %d", granted, least, refused)
	assert.Assert(t, inTime >= least*9/10, "%d of %d in time", inTime, granted)
	assert.Assert(t, refused > granted, "%d refused", refused)
}

// One of two upstreams is in need: the other takes what it does not, and nothing is
// refused.
func TestUpstreamWithoutALimitTakesTheRest(t *testing.T) {
	const rate = 2
	f := newFleet(2)
	f.limit(rate, "u0")
	counts := map[string]int{}
	for range 200 {
		f.now = f.now.Add(20 * time.Millisecond)
		f.Submit(f.call(1000, 10*time.Second), func(g *scheduler.Grant, r *scheduler.Refusal) {
			assert.Assert(t, r == nil, "refused: %v", r)
			counts[g.Upstream.ID]++
			g.Release()
		})
	}
	assert.Assert(t, counts["u0"] <= rate*4+1, "%d in 4 s", counts["u0"])
	assert.Equal(t, counts["u0"]+counts["u1"], 200)
}
