package tracker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/tracker"
)

// An upstream asks for a pause of three seconds, and later for one of a second in response
// to a request that was under way. Its entry is rewritten, removed and comes back. The
// longer pause must be kept, and a later process of the upstream has asked for none.
func TestBackoffLastsAsLongAsRequested(t *testing.T) {
	const pause = 3 * time.Second
	tr := tracker.New()
	tr.Put(now, upstream("a"))
	tr.ReportBackoff(now, "a", 100, pause)
	tr.ReportBackoff(now.Add(time.Second), "a", 100, time.Second)
	heartbeat := upstream("a")
	heartbeat.Sequence = 6
	tr.Put(now, heartbeat)
	tr.Remove(now, "a", false)
	heartbeat.Sequence = 7
	tr.Put(now, heartbeat)
	assert.Equal(t, tr.BackoffUntil(now.Add(pause-1), "a"), now.Add(pause))
	assert.DeepEqual(t, tr.Backoffs(now.Add(time.Second)), map[string]time.Time{"a": now.Add(pause)})
	assert.Assert(t, tr.BackoffUntil(now.Add(pause), "a").IsZero())
	assert.Assert(t, tr.IsUsable("a"), "it may get requests of other VMs")

	tr.ReportBackoff(now, "a", 100, time.Hour)
	restarted := upstream("a")
	restarted.StartedAt, restarted.Sequence = now.Add(time.Second).UnixMilli(), 1
	tr.Put(now, restarted)
	assert.Assert(t, tr.BackoffUntil(now.Add(time.Minute), "a").IsZero(), "the process that started later did not ask for it")
	assert.Equal(t, len(tr.Backoffs(now)), 0)
}
