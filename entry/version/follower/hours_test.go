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
	// retention is the retention in the manifests of fixture.publish.
	retention = time.Hour
	// stepLength is how far one step advances the clock.
	stepLength = time.Minute
	// maxOutage is the maximum length of an outage: a checkpoint is at most a
	// quarter of the retention old when one starts, and a new one must be read
	// before the old one expires.
	maxOutage = retention / 2
)

// fleet simulates several VMs over hours, with expiring records, outages of the log
// and replaced VMs.
type fleet struct {
	*fixture
	vms       []*follower.Follower
	version   uint64
	out       bool
	downSince time.Time
}

// step advances the clock, drops expired records from the log, and has every VM read
// and write checkpoints as needed.
func (h *fleet) step(t *rapid.T) {
	h.clock = h.clock.Add(stepLength)
	l := h.log
	for l.start < l.end() && h.clock.Sub(l.records[l.start-1].At) > retention {
		l.start++
	}
	if l.err != nil && h.clock.Sub(h.downSince) >= maxOutage {
		l.err = nil
	}
	for _, f := range h.vms {
		h.check(t, f)
	}
}

func (h *fleet) check(t *rapid.T, f *follower.Follower) {
	err := h.readToEnd(f)
	assert.Equal(t, err != nil, h.log.err != nil)
	if h.log.err == nil {
		ready, reason := f.Ready()
		assert.Assert(t, ready, "%s at %s", reason, h.clock)
		assert.Equal(t, f.State().Version, h.version)
		assert.Equal(t, f.State().IsOut(recorder.TargetZone, "a"), h.out)
	}
	if f.CheckpointDue(h.clock) {
		h.log.loseAnswer = rapid.IntRange(0, 3).Draw(t, "lost") == 0
		_ = f.WriteCheckpoint(context.Background()) // failures are part of the simulation
		h.log.loseAnswer = false
	}
}

// The log keeps records for an hour, is down for up to half of that, and loses
// responses, while VMs are replaced one by one or all at once. A VM that starts must
// still find the configuration published hours ago: otherwise the fleet would not be
// ready, or a zone out of service would get requests.
func TestConfigurationOutlivesExpiredRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &fleet{fixture: newFixture(t)}
		h.publish(0)
		h.version = 1
		for range 4 {
			h.vms = append(h.vms, h.newFollower())
		}
		for range 20 {
			h.randomEvent(t)
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				h.step(t)
			}
		}
	})
}

func (h *fleet) randomEvent(t *rapid.T) {
	up := h.log.err == nil
	switch e := rapid.IntRange(0, 11).Draw(t, "event"); {
	case e == 0 && up:
		h.publish(h.version)
		h.version = h.log.end() - 1
	case e == 1 && up && !h.out:
		h.takeOut("a")
		h.out = true
	case e == 2 && up:
		h.log.err, h.downSince = errDown, h.clock
	case e == 3:
		h.log.err = nil
	case e == 4:
		for i := range h.vms {
			h.vms[i] = h.newFollower()
		}
	case e <= 6:
		h.vms[rapid.IntRange(0, len(h.vms)-1).Draw(t, "vm")] = h.newFollower()
	}
}
