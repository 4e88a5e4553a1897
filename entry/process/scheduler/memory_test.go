package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
)

// heldTokens returns the tokens of all requests at an engine.
func heldTokens(upstream string, fs ...*fleet) (sum int) {
	for _, f := range fs {
		sum += f.Loads()[upstream].ContextTokens
	}
	return sum
}

// Short and long prompts are sent, also late ones that wait at an engine, start and end in
// any order. An engine must never hold more than its memory: it would crash.
func TestEnginesHoldNoMoreThanTheirMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 5).Draw(t, "engines"))
		for i := range 5 {
			f.tracker.Put(f.now, tracker.Upstream{ID: "w" + strconv.Itoa(i), Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 20})
		}
		var open []*scheduler.Grant
		waiting := map[chan outcome]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				q := f.request(rapid.IntRange(1, 500_000).Draw(t, "prompt"), time.Duration(rapid.IntRange(1, 20).Draw(t, "limit"))*time.Second)
				q.Requirements.Output = rapid.IntRange(1, 5000).Draw(t, "output")
				q.Requirements.Arrived = f.now.Add(-time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second)
				q.Requirements.Objective = q.Requirements.Arrived.Add(time.Second)
				waiting[f.submit(q)] = true
			},
			"wait": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
				f.Dispatch()
			},
			"end": func(t *rapid.T) {
				if len(open) > 0 {
					open[0].MarkStarted()
					open[0].Release()
					open = open[1:]
				}
			},
			"": func(t *rapid.T) {
				for out := range waiting {
					select {
					case o := <-out:
						delete(waiting, out)
						if o.grant != nil {
							open = append(open, o.grant)
						}
					default:
					}
				}
				for id, l := range f.Loads() {
					assert.Assert(t, l.ContextTokens <= engine.KVCapacity, "%s holds %d tokens", id, l.ContextTokens)
				}
			},
		})
	})
}

// Two VMs decide alone at the same time, after a restart that left them no idea of what
// others do. Together they must not send an engine more than its memory.
func TestVMsThatDecideAloneKeepEnginesWithinTheirMemory(t *testing.T) {
	var fs []*fleet
	for range 2 {
		f := &fleet{tracker: tracker.New(), now: time.Unix(1_000_000, 0)}
		f.Scheduler = scheduler.New("", scheduler.Deps{
			Tracker: f.tracker, Now: func() time.Time { return f.now }, Alone: func() bool { return true },
			ColdQuota: func(_ string, rate float64) int { return int(rate) }, RateQuota: func(limit float64) float64 { return limit },
		})
		for _, id := range []string{"u0", "u1"} {
			f.tracker.Put(f.now, tracker.Upstream{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 16})
		}
		fs = append(fs, f)
	}
	placed := 0
	for _, f := range fs {
		for range 16 {
			select {
			case o := <-f.submit(f.request(17_000, 20*time.Second)):
				if o.grant != nil {
					o.grant.MarkStarted()
					placed++
				}
			default:
			}
		}
	}
	assert.Assert(t, placed > 8, "%d requests were placed", placed)
	for _, id := range []string{"u0", "u1"} {
		held := heldTokens(id, fs...)
		assert.Assert(t, held <= engine.KVCapacity, "%s holds %d tokens", id, held)
	}
}
