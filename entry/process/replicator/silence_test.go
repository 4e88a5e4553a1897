package replicator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/replicator"
)

// A VM over a full link gets its peer's records two seconds late, while the
// platform has answered others all the time. An upstream whose entry went
// meanwhile has left; taken for one that lapsed in an outage it was sent work
// for almost two seconds more, 3.3 s after it had said that it leaves.
func TestLateNewsAreNoSilenceOfThePlatform(t *testing.T) {
	var gaps []time.Duration
	c := replicator.New(func(_ []replicator.Record, gap time.Duration) { gaps = append(gaps, gap) })
	c.Merge([]replicator.Record{{Key: "a", Offset: 1}}, 2, now)
	for at := 250 * time.Millisecond; at <= 2*time.Second; at += 250 * time.Millisecond {
		c.RecordAnswer(now.Add(at))
	}
	c.Merge([]replicator.Record{{Key: "a", Offset: 2, Deleted: true}}, 3, now.Add(1900*time.Millisecond))
	assert.DeepEqual(t, gaps, []time.Duration{0, 0})
}

// The platform answers nobody for four seconds. Word of its return comes from a
// peer before the records do, which must not hide the outage; once the records
// have come, what goes is news again.
func TestOutageIsKnownUntilItsRecordsCome(t *testing.T) {
	var gaps []time.Duration
	c := replicator.New(func(_ []replicator.Record, gap time.Duration) { gaps = append(gaps, gap) })
	c.Merge([]replicator.Record{{Key: "a", Offset: 1}}, 2, now)
	c.RecordAnswer(now.Add(4 * time.Second))
	c.RecordAnswer(now.Add(4250 * time.Millisecond))
	c.Merge([]replicator.Record{{Key: "a", Offset: 2, Deleted: true}}, 3, now.Add(4100*time.Millisecond))
	c.RecordAnswer(now.Add(4500 * time.Millisecond))
	c.Merge([]replicator.Record{{Key: "b", Offset: 3, Deleted: true}}, 4, now.Add(4400*time.Millisecond))
	assert.DeepEqual(t, gaps, []time.Duration{0, 4 * time.Second, 0})
}

// A copy is behind by what the platform has told others since, and not by the
// time for which it has told nobody anything.
func TestCopyIsBehindWhatOthersWereTold(t *testing.T) {
	c := replicator.New(func([]replicator.Record, time.Duration) {})
	c.RecordAnswer(now)
	assert.Equal(t, c.Lag(), time.Duration(0), "a copy that has read nothing names no upstream")
	c.Merge([]replicator.Record{{Key: "a", Offset: 1}}, 2, now)
	assert.Equal(t, c.Lag(), time.Duration(0))
	c.RecordAnswer(now.Add(2 * time.Second))
	c.RecordAnswer(now.Add(time.Second))
	assert.Equal(t, c.Lag(), 2*time.Second)
	c.Merge(nil, 2, now.Add(2*time.Second))
	assert.Equal(t, c.Lag(), time.Duration(0))
}
