package tracker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/tracker"
)

// An upstream announces that it is leaving while the platform is down. Its entry says
// "ready" with every heartbeat, lapses, is removed, and comes back. None of that may bring
// the upstream back into use; only a later process of it may be used.
func TestDepartureOutlivesListEntries(t *testing.T) {
	tr := tracker.New()
	tr.Put(now, upstream("a"))
	assert.Assert(t, tr.ReportDeparture(now, "a", 100))
	assert.Assert(t, !tr.ReportDeparture(now.Add(time.Second), "a", 100), "it was known")
	assert.Assert(t, !tr.IsUsable("a") && tr.TakesNoWork("a"))

	heartbeat := upstream("a")
	heartbeat.Sequence = 6
	tr.Put(now, heartbeat)
	assert.Assert(t, !tr.IsUsable("a"), "a heartbeat brought it back")
	tr.Remove(now, "a", true)
	tr.Expire(now.Add(time.Minute), time.Second)
	heartbeat.Sequence = 7
	tr.Put(now, heartbeat)
	assert.Assert(t, !tr.IsUsable("a"), "a new entry of the same process brought it back")
	assert.Equal(t, len(tr.Departures("s", "z1")), 1)
	assert.Equal(t, len(tr.Departures("s", "z2")), 0)
	tr.ReportReplaced("a")
	heartbeat.Sequence = 8
	tr.Put(now, heartbeat)
	assert.Assert(t, !tr.IsUsable("a"), "its entry brought it back after another process had answered at its address")

	restarted := upstream("a")
	restarted.StartedAt, restarted.Sequence = now.Add(10*time.Second).UnixMilli(), 1
	tr.Put(now, restarted)
	assert.Assert(t, tr.IsUsable("a"), "the process that started later is not leaving")
	assert.Assert(t, tr.ReportDeparture(now.Add(time.Minute), "a", restarted.StartedAt))
	assert.Assert(t, !tr.IsUsable("a"))
}

// The list is behind: it names an earlier process of an upstream than the one that
// announces its leaving, or does not name the upstream at all. Once it catches up, that
// process must not be taken for one that has started since.
func TestDepartureOfAProcessThatIsNotListedYet(t *testing.T) {
	tr := tracker.New()
	tr.Put(now, upstream("a"))
	tr.ReportDeparture(now, "a", 100)
	tr.ReportDeparture(now, "b", 0)
	for _, id := range []string{"a", "b"} {
		u := upstream(id)
		u.StartedAt = now.Add(-time.Minute).UnixMilli()
		tr.Put(now, u)
		assert.Assert(t, !tr.IsUsable(id), "%s", id)
		u.StartedAt = now.Add(time.Minute).UnixMilli()
		tr.Put(now, u)
		assert.Assert(t, tr.IsUsable(id), "%s", id)
	}
}

// An upstream leaves that hundreds have left before. Departures of processes that are long
// gone must not accumulate, while one of a listed upstream must be kept.
func TestDeparturesOfUnlistedUpstreamsAreForgotten(t *testing.T) {
	tr := tracker.New()
	tr.Put(now, upstream("a"))
	tr.ReportDeparture(now, "a", 100)
	tr.ReportDeparture(now, "gone", 100)
	tr.ReportDeparture(now.Add(time.Hour), "b", 100)
	assert.Assert(t, !tr.IsUsable("a"))
	assert.Assert(t, tr.ReportDeparture(now.Add(time.Hour), "gone", 100), "it is still remembered")
}
