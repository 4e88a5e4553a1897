package replicator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/replicator"
)

// A VM on a congested link gets its peer's records two seconds late, while the
// platform keeps answering other VMs. An upstream whose entry was deleted in that
// time has left. A VM that took the entry for one that expired in an outage sent the
// upstream work for almost two more seconds, until 3.3 s after it had announced that
// it was leaving.
func TestLateRecordsAreNotAnOutage(t *testing.T) {
	var gaps []time.Duration
	c := replicator.New(func(_ []replicator.Record, gap time.Duration) { gaps = append(gaps, gap) })
	c.Merge([]replicator.Record{{Key: "a", Offset: 1}}, at(2), now)
	for elapsed := 250 * time.Millisecond; elapsed <= 2*time.Second; elapsed += 250 * time.Millisecond {
		c.RecordAnswer(now.Add(elapsed))
	}
	c.Merge([]replicator.Record{{Key: "a", Offset: 2, Deleted: true}}, at(3), now.Add(1900*time.Millisecond))
	assert.DeepEqual(t, gaps, []time.Duration{0, 0})
}

// The platform answers no VM for four seconds. The report that it is back arrives
// from a peer before the records do and must not hide the outage. Once the records
// have arrived, deletions are ordinary updates again.
func TestOutageIsReportedWithItsRecords(t *testing.T) {
	var gaps []time.Duration
	c := replicator.New(func(_ []replicator.Record, gap time.Duration) { gaps = append(gaps, gap) })
	c.Merge([]replicator.Record{{Key: "a", Offset: 1}}, at(2), now)
	c.RecordAnswer(now.Add(4 * time.Second))
	c.RecordAnswer(now.Add(4250 * time.Millisecond))
	c.Merge([]replicator.Record{{Key: "a", Offset: 2, Deleted: true}}, at(3), now.Add(4100*time.Millisecond))
	c.RecordAnswer(now.Add(4500 * time.Millisecond))
	c.Merge([]replicator.Record{{Key: "b", Offset: 3, Deleted: true}}, at(4), now.Add(4400*time.Millisecond))
	assert.DeepEqual(t, gaps, []time.Duration{0, 4 * time.Second, 0})
}

// A copy's lag counts what the platform has since confirmed to other VMs, and not
// the time during which it answered no VM.
func TestLagIsMeasuredFromAnswersToOtherVMs(t *testing.T) {
	c := replicator.New(func([]replicator.Record, time.Duration) {})
	c.RecordAnswer(now)
	assert.Equal(t, c.Lag(), time.Duration(0), "an empty copy has no lag")
	c.Merge([]replicator.Record{{Key: "a", Offset: 1}}, at(2), now)
	assert.Equal(t, c.Lag(), time.Duration(0))
	c.RecordAnswer(now.Add(2 * time.Second))
	c.RecordAnswer(now.Add(time.Second))
	assert.Equal(t, c.Lag(), 2*time.Second)
	c.Merge(nil, at(2), now.Add(2*time.Second))
	assert.Equal(t, c.Lag(), time.Duration(0))
}
