package allocator_test

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/inspector"
	"github.com/heathervane/heathervane/entry/process/switcher"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// inspecting is a fleet whose engines report what they do.
type inspecting struct {
	*network
	restarted bool
	policy    switcher.Policy
	report    func(address string) (inspector.Report, error)
	asked     atomic.Int32
	// settled counts the engines whose reports were asked for and have been counted.
	settled atomic.Int32
}

// Count implements allocator.Meter.
func (*inspecting) Count(string, int64) {}

// newInspecting restarts all VMs of a network with two engines, u0 and u1.
func newInspecting(t *testing.T, restarted bool, policy switcher.Policy, report func(address string) (inspector.Report, error)) *inspecting {
	t.Helper()
	f := &inspecting{network: newNetwork(t, []string{"z", "z", "z"}, 0), restarted: restarted, policy: policy, report: report}
	e := *engine
	e.Slots, e.UsualPrompt, e.UsualOutput = 4, 12_000, 1400
	for _, v := range f.vms {
		v.service = &matcher.Service{Name: "s", Engine: &e}
		for _, id := range []string{"u0", "u1"} {
			v.tracker.Put(f.now, tracker.Upstream{ID: id, Service: "s", Address: id, Zone: "z", Slots: 4})
		}
		v.Allocator = allocator.New(v.member, 2, allocator.Deps{
			Tracker: v.tracker, Sender: v, Timer: v, Meter: f, Members: v.members, FleetSize: func() int { return len(f.vms) },
			Service: func(string) (*matcher.Service, bool) { return v.service, true }, ColdStartQuota: func(string, float64, bool) int { return 0 },
			Report: func(_ context.Context, address string) (inspector.Report, error) {
				f.asked.Add(1)
				return f.report(address)
			},
			FleetRestarted: func(time.Duration) bool { return f.restarted },
			Policy:         func() switcher.Policy { return f.policy },
			// Tests let the clock stand still while the reports are collected.
			Now: func() time.Time { return f.now }, Log: zerolog.New(settleWriter{f}),
		})
	}
	return f
}

// A settleWriter notices the log line that ends an inspection.
type settleWriter struct{ *inspecting }

func (w settleWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("asked engines what they do")) {
		w.settled.Store(w.asked.Load())
	}
	return len(line), nil
}

func (f *inspecting) awaitInspection(asked int32) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if f.settled.Load() >= asked {
			return poll.Success()
		}
		return poll.Continue("%d engines asked", f.asked.Load())
	}, poll.WithDelay(time.Millisecond))
}

// All VMs have lost power. The engine that still works for their requests must not be taken
// for idle: the request would begin late there.
func TestRestartedFleetCountsWhatEnginesStillDo(t *testing.T) {
	f := newInspecting(t, true, switcher.Policy{}, func(address string) (inspector.Report, error) {
		if address == "u0" {
			return inspector.Report{Running: 3, Waiting: 3, UsedTokens: 200_000}, nil
		}
		return inspector.Report{}, nil
	})
	first := f.vms[0].Submit(f.call())
	f.awaitInspection(2)
	f.run(placementTime)
	p, _ := first.Poll()
	assert.Assert(t, p != nil)
	assert.Equal(t, p.Upstream.ID, "u1")
	for range 2 {
		assert.Equal(t, f.acquire(1, placementTime).Upstream.ID, "u1")
	}
	assert.Equal(t, f.asked.Load(), int32(2))
	// The work is done after the time of an answer.
	f.run(5 * time.Second)
	assert.Equal(t, f.acquire(1, placementTime).Upstream.ID, "u0")
}

// An engine that does not answer, or reports nothing, is treated as if it had not been
// asked.
func TestEnginesThatDoNotReportGetRequests(t *testing.T) {
	f := newInspecting(t, true, switcher.Policy{}, func(string) (inspector.Report, error) {
		return inspector.Report{}, errors.New("no answer")
	})
	o := f.vms[0].Submit(f.call())
	f.awaitInspection(2)
	f.run(placementTime)
	p, _ := o.Poll()
	assert.Assert(t, p != nil)
}

// Each report has a cost. Engines are asked only after most VMs have started again, where
// the settings and the engines' figures allow it.
func TestEnginesAreNotAskedWithoutNeed(t *testing.T) {
	for name, f := range map[string]*inspecting{
		"one VM started again": newInspecting(t, false, switcher.Policy{}, nil),
		"switched off":         newInspecting(t, true, switcher.Policy{Inspection: switcher.Off}, nil),
	} {
		f.vms[0].Submit(f.call())
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, f.asked.Load(), int32(0), name)
	}
}
