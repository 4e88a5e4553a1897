package joiner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/joiner"
)

// When the reader of a zone falls silent, standby VMs notice once their records are stale.
// Their own read, the heartbeat that reports it and the fetch by other VMs must still
// complete within the bounds.
func TestReadIntervalsLeaveTimeForStandbyReaders(t *testing.T) {
	const (
		staleAfter    = gossiper.HeartbeatInterval + 100*time.Millisecond
		checkInterval = 300 * time.Millisecond
		takeover      = staleAfter + checkInterval + gossiper.HeartbeatInterval
	)
	for bound := 2 * time.Second; bound <= 8*time.Second; bound += time.Second {
		wait, interval := joiner.Bounds{ConfigApplyTimeout: bound, DrainTimeout: bound}.ReadIntervals()
		assert.Assert(t, wait+takeover < bound, "%v of %v", wait, bound)
		assert.Assert(t, interval+takeover < bound, "%v of %v", interval, bound)
	}
}

// A platform that answers must be read more often than the time without an answer that
// counts as an outage. Otherwise entries that are gone would be taken for lapsed and their
// upstreams kept in use.
func TestReadIntervalsAreShorterThanOutage(t *testing.T) {
	const outageThreshold, retryDelay = 1500 * time.Millisecond, 200 * time.Millisecond
	_, interval := joiner.Bounds{DrainTimeout: time.Minute}.ReadIntervals()
	assert.Assert(t, interval+2*retryDelay < outageThreshold)
}
