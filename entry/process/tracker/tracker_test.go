package tracker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/tracker"
)

var now = time.Unix(1_000_000, 0)

func upstream(id string) tracker.Upstream {
	return tracker.Upstream{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: "z1", Slots: 4, StartedAt: 100, Sequence: 5}
}

func ids(t *tracker.Tracker, at time.Time) []string {
	var out []string
	for _, s := range t.Usable(at, "s") {
		out = append(out, s.ID)
	}
	return out
}

// An upstream that leaves, whose entry is gone or whose zone is taken out gets
// no new work, also when a VM had chosen it a moment before.
func TestLeavingUpstreamsGetNothing(t *testing.T) {
	tr := tracker.New()
	tr.Put(now, upstream("a"))
	assert.DeepEqual(t, ids(tr, now), []string{"a"})
	assert.Equal(t, len(tr.Usable(now, "other")), 0)

	u := upstream("a")
	u.Draining, u.Sequence = true, 6
	assert.Assert(t, tr.Put(now, u))
	assert.Equal(t, len(ids(tr, now)), 0)
	assert.Assert(t, !tr.IsUsable("a"))

	tr.Put(now, upstream("b"))
	tr.SetDisabledZones(map[string]bool{"z1": true})
	assert.Assert(t, !tr.IsUsable("b"))
	tr.SetDisabledZones(map[string]bool{"z1": false})
	assert.Assert(t, tr.IsUsable("b"))
	assert.Assert(t, tr.Remove(now, "b", false))
	assert.Assert(t, !tr.IsUsable("b"))
	assert.Assert(t, !tr.Remove(now, "b", false))
}

// The platform carries a write out seconds late: the entry "ready" that an
// upstream wrote before "draining", or before it was gone, lands after it. An
// upstream that came back by it would get work that it never answers.
func TestEntriesThatLandLateChangeNothing(t *testing.T) {
	tr := tracker.New()
	u := upstream("a")
	u.Draining = true
	tr.Put(now, u)
	late := upstream("a")
	late.Sequence = 4
	assert.Assert(t, !tr.Put(now, late))
	assert.Assert(t, !tr.IsUsable("a"))

	tr.Remove(now, "a", false)
	assert.Assert(t, !tr.Put(now, late))
	assert.Equal(t, tr.Len(), 0)

	born := upstream("a")
	born.StartedAt, born.Sequence = 200, 0
	assert.Assert(t, tr.Put(now, born))
	assert.Assert(t, tr.IsUsable("a"))
	older := upstream("a")
	older.Sequence = 99
	assert.Assert(t, !tr.Put(now, older))
}

// While the platform is down entries lapse although their upstreams live. If all
// were dropped with the first reading afterwards, the fleet would refuse
// everything until they are listed again.
func TestLapsedUpstreamsAreUsedUntilTheyMustBeBack(t *testing.T) {
	tr := tracker.New()
	tr.Put(now, upstream("a"))
	tr.Put(now, upstream("b"))
	leaving := upstream("c")
	leaving.Draining = true
	tr.Put(now, leaving)
	for _, id := range []string{"a", "b", "c"} {
		tr.Remove(now, id, true)
	}
	assert.Equal(t, len(ids(tr, now)), 2)
	assert.Equal(t, tr.Len(), 2)

	back := upstream("b")
	back.Sequence = 9
	assert.Assert(t, tr.Put(now.Add(time.Second), back))
	gone := tr.Expire(now.Add(2*time.Second), 1800*time.Millisecond)
	assert.DeepEqual(t, gone, []string{"a"})
	assert.DeepEqual(t, ids(tr, now), []string{"b"})
}

// An upstream that crashed says nothing: only broken connections tell. Tried
// again by each request, it costs each of them its wait.
func TestUnreachableUpstreamsRestForLonger(t *testing.T) {
	tr := tracker.New()
	tr.Put(now, upstream("a"))
	rest := func(at time.Time) time.Duration { return tr.Usable(at, "s")[0].UnreachableUntil.Sub(at) }
	tr.ReportFailure(now, "a", true)
	first := rest(now)
	assert.Assert(t, first > 0)
	tr.ReportFailure(now, "a", true)
	assert.Equal(t, rest(now), 2*first)
	for range 20 {
		tr.ReportFailure(now, "a", true)
	}
	assert.Equal(t, rest(now), 4*time.Second)
	tr.ReportAnswer(now, "a")
	assert.Assert(t, tr.Usable(now, "s")[0].UnreachableUntil.IsZero())
}

// An upstream that fails a part of its requests while its health check is good
// shows only by these; once it is well again they must not count for long.
func TestFailuresAreForgotten(t *testing.T) {
	tr := tracker.New()
	tr.Put(now, upstream("a"))
	for range 4 {
		tr.ReportFailure(now, "a", false)
	}
	assert.Equal(t, tr.Usable(now, "s")[0].Outcomes.Failed, 4.0)
	later := tr.Usable(now.Add(4*time.Second), "s")[0].Outcomes.Failed
	assert.Assert(t, later > 0.9 && later < 1.1, "%v", later)
}

// One that starts again under its old name has nothing left of before: neither
// its failures nor what it held.
func TestRebornUpstreamIsNew(t *testing.T) {
	tr := tracker.New()
	tr.Put(now, upstream("a"))
	tr.ReportFailure(now, "a", true)
	again := upstream("a")
	again.StartedAt, again.Sequence, again.Cold = 300, 1, 3*time.Second
	assert.Assert(t, tr.Put(now, again))
	s := tr.Usable(now, "s")[0]
	assert.Equal(t, s.Outcomes.Failed, 0.0)
	assert.Assert(t, s.UnreachableUntil.IsZero())
	assert.Equal(t, s.ColdUntil, now.Add(3*time.Second))
	tr.ReportReplaced("a")
	assert.Equal(t, tr.Len(), 0)
}

// One of the engines that read a prompt together has died. The others still
// answer their own requests, so that it can be told from them.
func TestStalledWorkBlamesWhoIsQuiet(t *testing.T) {
	tr := tracker.New()
	for _, id := range []string{"a", "b", "c"} {
		tr.Put(now, upstream(id))
	}
	later := now.Add(time.Second)
	tr.ReportActivity(later, "a")
	tr.ReportAnswer(later, "c")
	assert.DeepEqual(t, tr.ReportStall(later, now.Add(500*time.Millisecond), []string{"a", "b", "c", "gone"}), []string{"b"})
	assert.DeepEqual(t, tr.Unreachable(later), []string{"b"})
	assert.Equal(t, len(tr.Unreachable(later.Add(time.Second))), 0)
}

// One VM finds out that an upstream fails at once, has died, is cold or is another
// process now. Whoever places requests for other VMs must learn it, or each of them
// finds out anew by a request that fails; and what it learns so it must not tell
// on, or VMs would keep one another's word alive.
func TestFindingsReachWhoPlaces(t *testing.T) {
	asker, leader := tracker.New(), tracker.New()
	for _, tr := range []*tracker.Tracker{asker, leader} {
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			tr.Put(now, upstream(id))
		}
	}
	told := 0
	leader.SetListener(func(tracker.Event) { told++ })
	asker.SetListener(func(e tracker.Event) { leader.MergeEvent(now, e) })
	asker.ReportFailure(now, "a", false)
	asker.ReportFailure(now, "b", true)
	asker.ReportCold(now, "c", time.Minute)
	asker.ReportReplaced("d")
	asker.ReportAnswer(now, "e")
	states := map[string]tracker.State{}
	for _, s := range leader.Usable(now, "s") {
		states[s.ID] = s
	}
	assert.Assert(t, states["a"].Outcomes.Failed == 1 && states["a"].UnreachableUntil.IsZero())
	assert.Assert(t, states["b"].UnreachableUntil.After(now))
	assert.Equal(t, states["c"].ColdUntil, now.Add(time.Minute))
	assert.Equal(t, states["e"].Outcomes.Answered, 1.0)
	assert.Equal(t, len(states), 4, "the one that is another process now")
	assert.Equal(t, told, 0)
}

// Work that needs three engines stands still, and this VM has heard of none of
// them. Another one has had answers from one, which lives and is not to be blamed.
func TestAnswersElsewhereAreASignOfLife(t *testing.T) {
	asker, leader := tracker.New(), tracker.New()
	for _, tr := range []*tracker.Tracker{asker, leader} {
		tr.Put(now, upstream("a"))
		tr.Put(now, upstream("b"))
	}
	later := now.Add(2 * time.Second)
	asker.SetListener(func(e tracker.Event) { leader.MergeEvent(later, e) })
	leader.MergeEvent(later, tracker.Event{Finding: tracker.FoundAnswer, Upstreams: []string{"a"}})
	asker.ReportStall(later, now.Add(time.Second), []string{"a", "b"})
	assert.DeepEqual(t, leader.Unreachable(later), []string{"b"})
}

// Others have read the list much further than this VM, which cannot tell which of
// its upstreams have left meanwhile. One that was chosen before, or is asked for
// after a wait, must get nothing until the list has come.
func TestOutdatedListNamesNoUpstream(t *testing.T) {
	known := tracker.New()
	known.Put(now, tracker.Upstream{ID: "a", Service: "s"})
	assert.Assert(t, known.SetOutdated(true))
	assert.Assert(t, !known.SetOutdated(true), "that is no news")
	assert.Assert(t, !known.IsUsable("a"))
	assert.Equal(t, len(known.Usable(now, "s")), 0)
	assert.Assert(t, known.SetOutdated(false))
	assert.Assert(t, known.IsUsable("a"))
	assert.Equal(t, len(known.Usable(now, "s")), 1)
}
