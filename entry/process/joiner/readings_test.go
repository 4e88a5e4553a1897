package joiner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/joiner"
)

// Where the VM that reads for a zone falls silent, those that stand by notice when what
// they have is stale. Their reading, the word of it and the fetch must end in time.
func TestReadingsLeaveTimeForThoseThatStandBy(t *testing.T) {
	const (
		stale = gossiper.HeartbeatInterval + 100*time.Millisecond
		looks = 300 * time.Millisecond
		beats = stale + looks + gossiper.HeartbeatInterval
	)
	for bound := 2 * time.Second; bound <= 8*time.Second; bound += time.Second {
		held, every := joiner.Bounds{ConfigApplyTimeout: bound, DrainTimeout: bound}.ReadIntervals()
		assert.Assert(t, held+beats < bound, "%v of %v", held, bound)
		assert.Assert(t, every+beats < bound, "%v of %v", every, bound)
	}
}

// A platform that answers is read more often than a time without answers counts as
// an outage, in which entries that are gone are used on.
func TestReadingsAreNoOutage(t *testing.T) {
	const outage, again = 1500 * time.Millisecond, 200 * time.Millisecond
	_, every := joiner.Bounds{DrainTimeout: time.Minute}.ReadIntervals()
	assert.Assert(t, every+2*again < outage)
}
