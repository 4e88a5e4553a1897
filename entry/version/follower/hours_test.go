package follower_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/version/follower"
	"github.com/heathervane/heathervane/library/recorder"
)

const (
	// keep is the retention in the manifests of world.publish.
	keep = time.Hour
	// turn is how far one turn moves the clock.
	turn = time.Minute
	// longest is the longest outage: a checkpoint is at most a quarter of the
	// retention old when one begins, and a new one must be read before it goes.
	longest = keep / 2
)

// hours is a fleet over hours of records that expire, outages and replacements.
type hours struct {
	*world
	vms     []*follower.Follower
	version uint64
	out     bool
	down    time.Time
}

// turn lets the log drop what is too old, and every VM read and do its duty.
func (h *hours) turn(t *rapid.T) {
	h.clock = h.clock.Add(turn)
	l := h.log
	for l.start < l.end() && h.clock.Sub(l.records[l.start-1].At) > keep {
		l.start++
	}
	if l.down != nil && h.clock.Sub(h.down) >= longest {
		l.down = nil
	}
	for _, f := range h.vms {
		h.follow(t, f)
	}
}

func (h *hours) follow(t *rapid.T, f *follower.Follower) {
	err := h.read(f)
	assert.Equal(t, err != nil, h.log.down != nil)
	if h.log.down == nil {
		ready, reason := f.Ready()
		assert.Assert(t, ready, "%s at %s", reason, h.clock)
		assert.Equal(t, f.State().Version, h.version)
		assert.Equal(t, f.State().IsOut(recorder.TargetZone, "a"), h.out)
	}
	if f.CheckpointDue(h.clock) {
		h.log.lose = rapid.IntRange(0, 3).Draw(t, "lost") == 0
		_ = f.WriteCheckpoint(context.Background()) // its failures are what is played
		h.log.lose = false
	}
}

// The log keeps records for an hour, is down for up to half of that, and loses
// answers, while VMs are replaced one by one and all at once. A VM that then
// starts must find the configuration that operators published hours ago: else
// callers meet a fleet that is not ready, or a zone that is out gets work.
func TestConfigurationOutlivesItsRecordsForHours(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &hours{world: newWorld(t)}
		h.publish(0)
		h.version = 1
		for range 4 {
			h.vms = append(h.vms, h.world.follow())
		}
		for range 20 {
			h.event(t)
			for range rapid.IntRange(1, 20).Draw(t, "turns") {
				h.turn(t)
			}
		}
	})
}

func (h *hours) event(t *rapid.T) {
	up := h.log.down == nil
	switch e := rapid.IntRange(0, 11).Draw(t, "event"); {
	case e == 0 && up:
		h.publish(h.version)
		h.version = h.log.end() - 1
	case e == 1 && up && !h.out:
		h.world.out("a")
		h.out = true
	case e == 2 && up:
		h.log.down, h.down = errDown, h.clock
	case e == 3:
		h.log.down = nil
	case e == 4:
		for i := range h.vms {
			h.vms[i] = h.world.follow()
		}
	case e <= 6:
		h.vms[rapid.IntRange(0, len(h.vms)-1).Draw(t, "vm")] = h.world.follow()
	}
}
