package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/switcher"
	"github.com/heathervane/heathervane/entry/process/tracker"
)

// A reader is a long prompt that may give way. Its VM gives the slot back a moment after it
// was asked.
type reader struct {
	grant *scheduler.Grant
	asked int
}

// startReaders adds engines, each of which reads a long prompt that may give way.
func (f *fleet) startReaders(t *testing.T, n int) (all []*reader) {
	t.Helper()
	for i := range n {
		f.tracker.Put(f.now, tracker.Upstream{ID: "u" + strconv.Itoa(i), Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 2})
		r := &reader{}
		c := f.ranked(2, 150_000, 60*time.Second)
		c.Preemptible, c.Withdraw = true, func() { r.asked++ }
		g, refusal := f.acquire(t, c)
		assert.Assert(t, refusal == nil)
		r.grant = g
		all = append(all, r)
	}
	return all
}

// All engines have just begun to read long prompts when urgent short ones come. They must
// not wait for these to end.
func TestJustBegunLongPromptsGiveWayToUrgentOnes(t *testing.T) {
	for _, tt := range []struct {
		mode switcher.Mode
		// read is how long the long prompt has been read.
		read    time.Duration
		started bool
		asked   int
	}{
		{switcher.Auto, 20 * time.Millisecond, false, 1},
		{switcher.Off, 20 * time.Millisecond, false, 0},
		{switcher.Auto, 1200 * time.Millisecond, false, 0},
		{switcher.Auto, 20 * time.Millisecond, true, 0},
	} {
		f := newFleet(0)
		f.policy.Preemption = tt.mode
		r := f.startReaders(t, 1)[0]
		f.now = f.now.Add(tt.read)
		if tt.started {
			r.grant.MarkStarted()
			f.adoptStreams("u0", 1)
		}
		urgent := f.submit(f.ranked(0, 1000, 3*time.Second))
		for range 10 {
			f.now = f.now.Add(5 * time.Millisecond)
			f.Dispatch()
		}
		assert.Equal(t, r.asked, tt.asked, "%+v", tt)
		if tt.asked == 0 {
			continue
		}
		assert.Equal(t, len(urgent), 0)
		r.grant.Release()
		assert.Equal(t, len(urgent), 1)
		assert.Assert(t, (<-urgent).grant != nil)
	}
}

// One long prompt that gives way makes room for several urgent ones: no more are asked
// than these need.
func TestNoMoreGiveWayThanAreNeeded(t *testing.T) {
	f := newFleet(0)
	readers := f.startReaders(t, 4)
	f.submit(f.ranked(0, 1000, 3*time.Second))
	for range 10 {
		f.now = f.now.Add(5 * time.Millisecond)
		f.Dispatch()
	}
	asked := 0
	for _, r := range readers {
		asked += r.asked
	}
	assert.Equal(t, asked, 1)
}
