package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/heathervane/heathervane/entry/process/scheduler"
)

// BenchmarkDispatch measures one dispatch after a change, with a hundred short
// prompts queued that none of 39 engines can start in time.
func BenchmarkDispatch(b *testing.B) {
	const engines, queued = 39, 100
	f := newFleet(engines)
	for i := range engines {
		f.Adopt(scheduler.Workload{Prompt: 100_000, Prefill: 2000, Long: true, Main: "u" + strconv.Itoa(i)}, false)
	}
	for range queued {
		c := f.request(1000, 100*time.Second)
		c.Requirements.Objective = f.now.Add(time.Second)
		f.submit(c)
	}
	if f.QueueLength() != queued {
		b.Fatalf("%d requests queued", f.QueueLength())
	}
	for b.Loop() {
		f.now = f.now.Add(50 * time.Microsecond)
		f.Dispatch()
	}
}
