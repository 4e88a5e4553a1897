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

// An upstream that is draining, was removed or is in a disabled zone gets no new
// work, even if it was selected just before.
func TestLeavingUpstreamsAreNotUsable(t *testing.T) {
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

// The platform may carry out a write seconds late: the entry "ready" that an upstream
// wrote before "draining", or before it was removed, arrives after it. If that entry
// brought the upstream back, it would get work that it never answers.
func TestLateEntriesAreIgnored(t *testing.T) {
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

	restarted := upstream("a")
	restarted.StartedAt, restarted.Sequence = 200, 0
	assert.Assert(t, tr.Put(now, restarted))
	assert.Assert(t, tr.IsUsable("a"))
	older := upstream("a")
	older.Sequence = 99
	assert.Assert(t, !tr.Put(now, older))
}

// While the platform is down, entries expire although their upstreams are running. If
// all of them were removed after the first read that succeeds again, the fleet would
// refuse every request until they are listed again.
func TestLapsedUpstreamsAreUsableUntilTheyExpire(t *testing.T) {
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

// A crashed upstream is noticed only by broken connections. If every request tried it
// again, each of them would have to wait for the failure.
func TestUnreachableBackoffDoubles(t *testing.T) {
	tr := tracker.New()
	tr.Put(now, upstream("a"))
	backoff := func(at time.Time) time.Duration { return tr.Usable(at, "s")[0].UnreachableUntil.Sub(at) }
	tr.ReportFailure(now, "a", true)
	first := backoff(now)
	assert.Assert(t, first > 0)
	tr.ReportFailure(now, "a", true)
	assert.Equal(t, backoff(now), 2*first)
	for range 20 {
		tr.ReportFailure(now, "a", true)
	}
	assert.Equal(t, backoff(now), 4*time.Second)
	tr.ReportAnswer(now, "a")
	assert.Assert(t, tr.Usable(now, "s")[0].UnreachableUntil.IsZero())
}

// An upstream that fails some of its requests while its health check passes is
// noticed only by those failures. Once it has recovered, they must not count for
// long.
func TestFailuresDecay(t *testing.T) {
	tr := tracker.New()
	tr.Put(now, upstream("a"))
	for range 4 {
		tr.ReportFailure(now, "a", false)
	}
	assert.Equal(t, tr.Usable(now, "s")[0].Outcomes.Failed, 4.0)
	later := tr.Usable(now.Add(4*time.Second), "s")[0].Outcomes.Failed
	assert.Assert(t, later > 0.9 && later < 1.1, "%v", later)
}

// An upstream that restarts under the same ID keeps nothing of its previous state:
// neither its failures nor its backoff.
func TestRestartedUpstreamKeepsNoState(t *testing.T) {
	tr := tracker.New()
	tr.Put(now, upstream("a"))
	tr.ReportFailure(now, "a", true)
	restarted := upstream("a")
	restarted.StartedAt, restarted.Sequence, restarted.Cold = 300, 1, 3*time.Second
	assert.Assert(t, tr.Put(now, restarted))
	s := tr.Usable(now, "s")[0]
	assert.Equal(t, s.Outcomes.Failed, 0.0)
	assert.Assert(t, s.UnreachableUntil.IsZero())
	assert.Equal(t, s.ColdUntil, now.Add(3*time.Second))
	tr.ReportReplaced("a")
	assert.Equal(t, tr.Len(), 0)
}

// One of the engines that read a prompt together has crashed. The others still
// respond to their own requests, which shows that they are not the one.
func TestStallBlamesInactiveUpstreams(t *testing.T) {
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

// One VM finds out that an upstream fails requests, has crashed, is cold or was
// replaced by another process. VMs that schedule requests for other VMs must be
// informed, or each VM finds out by a failed request of its own. They must not pass it
// on in turn, or VMs would keep repeating each other's reports.
func TestFindingsReachOtherVMs(t *testing.T) {
	asker, leader := tracker.New(), tracker.New()
	for _, tr := range []*tracker.Tracker{asker, leader} {
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			tr.Put(now, upstream(id))
		}
	}
	notified := 0
	leader.SetListener(func(tracker.Event) { notified++ })
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
	assert.Equal(t, len(states), 4, "the replaced upstream is removed")
	assert.Equal(t, notified, 0)
}

// Work that needs several engines makes no progress, and this VM has seen no
// activity of any of them. Another VM has had responses from one of them, which is
// alive and must not be blamed.
func TestAnswersToOtherVMsCountAsActivity(t *testing.T) {
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

// Other VMs have read the list much further than this VM, which cannot tell which of
// its upstreams have left since. An upstream that was selected before, or that is
// requested after a wait, must get no work until the list has arrived.
func TestOutdatedListMakesUpstreamsUnusable(t *testing.T) {
	tr := tracker.New()
	tr.Put(now, tracker.Upstream{ID: "a", Service: "s"})
	assert.Assert(t, tr.SetOutdated(true))
	assert.Assert(t, !tr.SetOutdated(true), "the state has not changed")
	assert.Assert(t, !tr.IsUsable("a"))
	assert.Equal(t, len(tr.Usable(now, "s")), 0)
	assert.Assert(t, tr.SetOutdated(false))
	assert.Assert(t, tr.IsUsable("a"))
	assert.Equal(t, len(tr.Usable(now, "s")), 1)
}

// A platform that was restored from a backup lists an upstream again that had been
// removed, with the entry that it had last. It must not get requests. An entry that its
// process has written since shows that it lives.
func TestRemovedUpstreamIsNotUsableAgainAfterARestore(t *testing.T) {
	tr := tracker.New()
	last := upstream("a")
	tr.Put(now, last)
	tr.Remove(now, "a", false)
	assert.Assert(t, !tr.Put(now, last))
	assert.Equal(t, tr.Len(), 0)
	last.Sequence++
	assert.Assert(t, tr.Put(now, last))
	assert.Assert(t, tr.IsUsable("a"))
}
