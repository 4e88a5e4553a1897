package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/heathervane/heathervane/entry/process/scheduler"
)

// BenchmarkPump is one look at what waits, after a change, while a hundred short
// prompts wait that none of 39 engines can begin in time.
func BenchmarkPump(b *testing.B) {
	const engines, waiting = 39, 100
	f := newFleet(engines)
	for i := range engines {
		f.Adopt(scheduler.Workload{Prompt: 100_000, Prefill: 2000, Long: true, Main: "u" + strconv.Itoa(i)}, false)
	}
	for range waiting {
		c := f.call(1000, 100*time.Second)
		c.Requirements.Objective = f.now.Add(time.Second)
		f.ask(c)
	}
	if f.QueueLength() != waiting {
		b.Fatalf("%d wait", f.QueueLength())
	}
	for b.Loop() {
		f.now = f.now.Add(50 * time.Microsecond)
		f.Dispatch()
	}
}
