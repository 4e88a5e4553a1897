package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/switcher"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

var engine = &matcher.Engine{
	Slots: 2, KVCapacity: 232_000, StepsPerPass: 43, PrefillChunk: 2048,
	StepTime: 1.02, StepTimePerStream: 0.00226, StepTimePerContext: 0.00431, PrefillRate: 206, AttentionTime: 0.138,
}

// A fleet is a scheduler with upstreams and a clock that the test sets.
type fleet struct {
	*scheduler.Scheduler
	tracker *tracker.Tracker
	now     time.Time
	policy  switcher.Policy
}

func newFleet(engines int) *fleet {
	f := &fleet{tracker: tracker.New(), now: time.Unix(1_000_000, 0)}
	f.Scheduler = scheduler.New("", scheduler.Deps{
		Tracker: f.tracker, Now: func() time.Time { return f.now }, Policy: func() switcher.Policy { return f.policy },
		ColdQuota: func(_ string, rate float64) int { return int(rate) }, RateQuota: func(limit float64) float64 { return limit },
	})
	for i := range engines {
		f.tracker.Put(f.now, tracker.Upstream{ID: "u" + strconv.Itoa(i), Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 2})
	}
	return f
}

// adoptStreams adds streams to an upstream that another scheduler has placed.
func (f *fleet) adoptStreams(upstream string, streams int) (all []*scheduler.Grant) {
	for range streams {
		all = append(all, f.Adopt(scheduler.Workload{Prompt: 1000, Main: upstream}, true))
	}
	return all
}

// request returns a request whose deadline is after limit, and whose objective is
// after a tenth of it.
func (f *fleet) request(prompt int, limit time.Duration) scheduler.Request {
	return scheduler.Request{Service: &matcher.Service{Name: "s", Engine: engine, ColdStartRate: 4}, Requirements: placer.Request{
		Prompt: prompt, Output: 40, MaxPause: 250, Arrived: f.now, Objective: f.now.Add(limit / 10), Deadline: f.now.Add(limit),
	}}
}

// newFullFleet returns a fleet of one engine whose slots are all taken.
func newFullFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(1)
	f.adoptStreams("u0", 2)
	return f
}

type outcome struct {
	grant   *scheduler.Grant
	refusal *scheduler.Refusal
}

// submit submits a request. The outcome arrives during a call into the scheduler.
func (f *fleet) submit(c scheduler.Request) chan outcome {
	_, out := f.submitPending(c)
	return out
}

// submitPending is like submit but also returns the pending request.
func (f *fleet) submitPending(c scheduler.Request) (*scheduler.Pending, chan outcome) {
	out := make(chan outcome, 1)
	return f.Submit(c, func(g *scheduler.Grant, r *scheduler.Refusal) { out <- outcome{g, r} }), out
}

// acquire submits a request that must be settled immediately.
func (f *fleet) acquire(t *testing.T, c scheduler.Request) (*scheduler.Grant, *scheduler.Refusal) {
	t.Helper()
	select {
	case o := <-f.submit(c):
		return o.grant, o.refusal
	default:
		t.Fatal("the request was queued instead of settled")
		return nil, nil
	}
}

// Requests are queued, start, end and are cancelled in any order, some of them
// placed by another scheduler. A grant that is not released in full would make its
// engine seem busy forever.
func TestReleasedGrantsLeaveNoLoad(t *testing.T) {
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
				pending, out := f.submitPending(f.request(rapid.IntRange(1, 300_000).Draw(t, "prompt"), 10*time.Second))
				pending.Cancel()
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
			t.Fatalf("load left: %v, queued: %d", f.Loads(), f.QueueLength())
		}
	})
}

// All slots are taken while the time of a queued request runs out. Its caller must
// be informed at that moment, not at the deadline.
func TestRequestThatCannotFinishInTimeIsRefusedImmediately(t *testing.T) {
	f := newFleet(1)
	for range 2 {
		_, refusal := f.acquire(t, f.request(1000, 10*time.Second))
		assert.Assert(t, refusal == nil)
	}
	queued := f.submit(f.request(1000, 10*time.Second))
	assert.Equal(t, f.QueueLength(), 1)
	f.now = f.now.Add(9950 * time.Millisecond)
	f.Dispatch()
	o := <-queued
	assert.Assert(t, o.refusal != nil)
	assert.Equal(t, o.refusal.Code, scheduler.CodeLate)
	assert.Assert(t, o.refusal.RetryAfter > 0)
	_, refusal := f.acquire(t, f.request(600_000, 500*time.Millisecond))
	assert.Assert(t, refusal != nil, "half a second is too short for this prompt")
}

// A prompt that no engine has room for is first in the queue. Short prompts, and
// long ones of other lengths, must be able to pass it.
func TestUnplaceablePromptDoesNotBlockOthers(t *testing.T) {
	f := newFleet(1)
	huge := f.submit(f.request(500_000, 100*time.Second))
	assert.Equal(t, f.QueueLength(), 1)
	g, refusal := f.acquire(t, f.request(1000, 100*time.Second))
	assert.Assert(t, refusal == nil)
	g.Release()
	g, refusal = f.acquire(t, f.request(40_000, 100*time.Second))
	assert.Assert(t, refusal == nil)
	g.Release()
	assert.Equal(t, len(huge), 0)
}

// The request with the more urgent priority goes first. With equal priorities the
// one with less time goes first, and one that is already late goes last.
func TestQueueOrdersByPriorityThenLatestStart(t *testing.T) {
	f := newFleet(1)
	first, _ := f.acquire(t, f.request(1000, 100*time.Second))
	second, _ := f.acquire(t, f.request(1000, 100*time.Second))
	late := f.request(1000, 100*time.Second)
	late.Requirements.Objective = f.now.Add(-time.Second)
	relaxed, urgent := f.request(1000, 200*time.Second), f.request(1000, 100*time.Second)
	preferred := f.request(1000, 200*time.Second)
	relaxed.Priority, urgent.Priority, late.Priority = 1, 1, 1
	var outs []chan outcome
	for _, c := range []scheduler.Request{late, relaxed, urgent, preferred} {
		outs = append(outs, f.submit(c))
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

// One team sends most of the load. Queued requests of other teams go before the
// rest of its burst, however early the burst arrived.
func TestTeamOverItsShareIsServedLast(t *testing.T) {
	f := newFleet(1)
	var open []*scheduler.Grant
	busy, quiet := f.request(1000, 100*time.Second), f.request(1000, 100*time.Second)
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
	first := f.submit(busy)
	quiet.Requirements.Objective = quiet.Requirements.Objective.Add(time.Millisecond)
	second := f.submit(quiet)
	open[0].Release()
	o := <-second
	assert.Assert(t, o.grant != nil)
	assert.Equal(t, len(first), 0)
	open[1].Release()
	<-first
}

// All engines have a long prefill, so that no new short prompt can be in time there
// and each waits for a better engine. Short prompts that are late already must take
// the free slots. Behind the new ones they would wait until their callers
// disconnect.
func TestLateShortPromptsDoNotWaitBehindNewOnes(t *testing.T) {
	f := newFleet(1)
	f.Adopt(scheduler.Workload{Prompt: 100_000, Prefill: 2000, Long: true, Main: "u0"}, false)
	late := f.request(1000, 20*time.Second)
	late.Requirements.Objective = f.now.Add(-time.Second)
	fresh := f.submit(f.request(1000, 10*time.Second))
	assert.Equal(t, f.QueueLength(), 1)
	placed := f.submit(late)
	assert.Equal(t, f.QueueLength(), 1, "the late request is queued as well")
	assert.Assert(t, (<-placed).grant != nil)
	assert.Equal(t, len(fresh), 0)
}

// A VM that starts to schedule for a group learns what others have sent there. If a
// full engine counted as idle, it would get the next requests as well.
func TestAdoptedWorkloadsCountAsLoad(t *testing.T) {
	f := newFleet(2)
	adopted := f.adoptStreams("u0", 2)
	for range 2 {
		g, _ := f.acquire(t, f.request(1000, 10*time.Second))
		assert.Equal(t, g.Upstream.ID, "u1")
	}
	queued := f.submit(f.request(1000, 10*time.Second))
	assert.Equal(t, len(queued), 0)
	adopted[0].Release()
	assert.Equal(t, (<-queued).grant.Upstream.ID, "u0")
}

// A VM that starts to schedule does not know the current load yet. Until it does it
// must place nothing, and then the first request by queue order, not by arrival.
func TestNothingIsPlacedWhilePaused(t *testing.T) {
	f := newFleet(1)
	f.PauseUntil(f.now.Add(30 * time.Millisecond))
	relaxed, urgent := f.submit(f.request(1000, 200*time.Second)), f.submit(f.request(1000, 100*time.Second))
	f.adoptStreams("u0", 1)
	f.Dispatch()
	assert.Equal(t, f.QueueLength(), 2)
	f.now = f.now.Add(30 * time.Millisecond)
	f.Dispatch()
	assert.Assert(t, (<-urgent).grant != nil)
	assert.Equal(t, len(relaxed), 0)
}

// A request that no engine can start in time any more is first in the queue, and
// those behind it have more time left. If it blocked them they would become late as
// well, one after the other.
func TestRequestThatCannotStartInTimeDoesNotBlockOthers(t *testing.T) {
	f := newFleet(1)
	f.Adopt(scheduler.Workload{Prompt: 40_000, Prefill: 150, Long: true, Main: "u0"}, false)
	tight := f.request(1000, 100*time.Second)
	tight.Requirements.Objective = f.now.Add(150 * time.Millisecond)
	first := f.submit(tight)
	assert.Equal(t, f.QueueLength(), 1)
	second, refusal := f.acquire(t, f.request(1000, 100*time.Second))
	assert.Assert(t, refusal == nil && second != nil)
	assert.Equal(t, len(first), 0)
}

// An engine fails every request at once, while its health check passes and it has
// no load, so that it seems to be the best choice. Failures that other VMs have
// reported must count against it. A request must also avoid an upstream that its VM
// cannot connect to.
func TestFailuresFoundByOtherVMsCount(t *testing.T) {
	f := newFleet(2)
	for range 3 {
		f.tracker.MergeEvent(f.now, tracker.Event{Finding: tracker.FoundFailure, Upstreams: []string{"u0"}})
	}
	for range 2 {
		g, _ := f.acquire(t, f.request(5000, 10*time.Second))
		assert.Equal(t, g.Upstream.ID, "u1")
	}
	f = newFleet(2)
	c := f.request(5000, 10*time.Second)
	c.Unreachable = []string{"u1"}
	g, _ := f.acquire(t, c)
	assert.Equal(t, g.Upstream.ID, "u0")
}

// A scheduler for one zone must not use upstreams of other zones, which belong to
// other groups.
func TestZoneGroupUsesOnlyUpstreamsOfItsZone(t *testing.T) {
	f := newFleet(1)
	f.tracker.Put(f.now, tracker.Upstream{ID: "far", Service: "s", Zone: "y", Slots: 2})
	s := scheduler.New("y", scheduler.Deps{Tracker: f.tracker, Now: func() time.Time { return f.now }})
	out := make(chan outcome, 1)
	s.Submit(f.request(1000, 10*time.Second), func(g *scheduler.Grant, r *scheduler.Refusal) { out <- outcome{g, r} })
	assert.Equal(t, (<-out).grant.Upstream.ID, "far")
}

// An upstream has turned cold, and this scheduler's quota of it is four requests per
// second. It must place no more there; further requests wait or go elsewhere.
func TestColdUpstreamStaysWithinItsQuota(t *testing.T) {
	f := newFleet(1)
	f.tracker.ReportCold(f.now, "u0", time.Minute)
	for range 4 {
		g, refusal := f.acquire(t, f.request(1000, 100*time.Second))
		assert.Assert(t, refusal == nil)
		g.Release()
	}
	out := f.submit(f.request(1000, 100*time.Second))
	assert.Equal(t, f.QueueLength(), 1)
	f.now = f.now.Add(1300 * time.Millisecond)
	f.Dispatch()
	assert.Assert(t, (<-out).grant != nil)
}

// Callers disconnect from a stream that does not start. A request that cannot start
// before then must be refused while its caller is still connected.
func TestRequestIsRefusedBeforeItsCallerDisconnects(t *testing.T) {
	f := newFullFleet(t)
	c := f.request(1000, 100*time.Second)
	c.Requirements.CallerTimeout = f.now.Add(2 * time.Second)
	out := f.submit(c)
	f.now = f.now.Add(1700 * time.Millisecond)
	f.Dispatch()
	assert.Equal(t, f.QueueLength(), 1)
	f.now = f.now.Add(200 * time.Millisecond)
	f.Dispatch()
	assert.Assert(t, (<-out).refusal != nil)
}

// The requesting VM shuts down in two seconds. A queued request that cannot finish
// by then must be refused while it still has time to go to another VM.
func TestRequestThatCannotFinishBeforeShutdownIsRefused(t *testing.T) {
	f := newFleet(1)
	for range 2 {
		_, refusal := f.acquire(t, f.request(1000, 100*time.Second))
		assert.Assert(t, refusal == nil)
	}
	pending, out := f.submitPending(f.request(1000, 100*time.Second))
	pending.SetStop(f.now.Add(2 * time.Second))
	assert.Equal(t, f.QueueLength(), 1, "two seconds are enough to finish")
	f.now = f.now.Add(1950 * time.Millisecond)
	f.Dispatch()
	assert.Assert(t, (<-out).refusal != nil)
}

// A caller that gives up removes its request from the queue.
func TestCancelRemovesTheRequestFromTheQueue(t *testing.T) {
	f := newFullFleet(t)
	pending, out := f.submitPending(f.request(1000, 10*time.Second))
	assert.Equal(t, f.QueueLength(), 1)
	f.now = f.now.Add(time.Second)
	reason, waited := pending.Cancel().Longest()
	assert.Assert(t, reason == "engine" && waited == time.Second, "%s %v", reason, waited)
	assert.Equal(t, f.QueueLength(), 0)
	assert.Equal(t, len(out), 0)
}

// All upstreams of a booking service are gone, because one zone is down and the
// others were evacuated. A booking that was queued for its 800 ms and refused then
// had no time left for a retry; refused at once, it is retried when an upstream may
// be back. A VM whose upstream list is outdated cannot tell that there is none, and
// queues the request.
func TestServiceWithoutUpstreamsRefusesImmediately(t *testing.T) {
	f := newFleet(0)
	plain := scheduler.Request{Service: &matcher.Service{Name: "s"}, Requirements: placer.Request{Arrived: f.now, Objective: f.now.Add(300 * time.Millisecond), Deadline: f.now.Add(800 * time.Millisecond)}}
	for _, c := range []scheduler.Request{plain, f.request(1000, 10*time.Second), f.request(60_000, 10*time.Second)} {
		g, refusal := f.acquire(t, c)
		assert.Assert(t, g == nil)
		assert.Equal(t, refusal.Code, scheduler.CodeNoUpstream)
		assert.Assert(t, refusal.RetryAfter > 0)
	}
	f.tracker.SetOutdated(true)
	queued := f.submit(plain)
	assert.Equal(t, f.QueueLength(), 1)
	f.tracker.SetOutdated(false)
	f.tracker.Put(f.now, tracker.Upstream{ID: "u", Service: "s", Slots: 2})
	f.Dispatch()
	assert.Assert(t, (<-queued).grant != nil)
}

// setRateLimit sets the rate limit of upstreams, or removes it if rate is 0.
func (f *fleet) setRateLimit(rate float64, ids ...string) {
	for _, id := range ids {
		f.tracker.ReportLimit(id, tracker.Limit{Limited: rate > 0, Rate: rate, AsOf: f.now})
	}
}

// Every upstream of a service is overloaded and rate limited, and three times as
// many requests arrive as they accept. Requests that cannot be served would wait
// until their callers disconnect, ahead of those that can.
func TestRequestsAboveAllRateLimitsAreRefusedImmediately(t *testing.T) {
	const rate, engines, seconds = 5, 2, 8
	f := newFleet(engines)
	f.setRateLimit(rate, "u0", "u1")
	granted, refused, inTime := 0, 0, 0
	step := time.Second / (3 * rate * engines)
	for range 3 * rate * engines * seconds {
		f.now = f.now.Add(step)
		submittedAt := f.now
		f.Submit(f.request(1000, 10*time.Second), func(g *scheduler.Grant, r *scheduler.Refusal) {
			waited := f.now.Sub(submittedAt)
			if r != nil {
				refused++
				assert.Equal(t, r.Code, scheduler.CodeLimited)
				assert.Assert(t, r.RetryAfter > 0)
				assert.Assert(t, waited < 1500*time.Millisecond, "refused after %v", waited)
				return
			}
			granted++
			if waited <= time.Second {
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

// One of two upstreams is rate limited. The other takes the excess, and nothing is
// refused.
func TestUpstreamWithoutRateLimitTakesTheExcess(t *testing.T) {
	const rate = 2
	f := newFleet(2)
	f.setRateLimit(rate, "u0")
	counts := map[string]int{}
	for range 200 {
		f.now = f.now.Add(20 * time.Millisecond)
		f.Submit(f.request(1000, 10*time.Second), func(g *scheduler.Grant, r *scheduler.Refusal) {
			assert.Assert(t, r == nil, "refused: %v", r)
			counts[g.Upstream.ID]++
			g.Release()
		})
	}
	assert.Assert(t, counts["u0"] <= rate*4+1, "%d in 4 s", counts["u0"])
	assert.Equal(t, counts["u0"]+counts["u1"], 200)
}
