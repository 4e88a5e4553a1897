package placer_test

import (
	"testing"

	"github.com/heathervane/heathervane/entry/request/placer"
)

// BenchmarkLongPrompt is the cost of one decision about a long prompt among
// today's engines, which is taken again with each event while it waits.
func BenchmarkLongPrompt(b *testing.B) {
	cs := idle(23)
	for i := range cs {
		cs[i].Load = placer.Load{Streams: i % 14, ContextTokens: 8000 * (i % 14), PauseWeights: stakes(i % 14)}
	}
	for b.Loop() {
		placer.ChooseEngines(engine, long(133_000), cs, now, placer.OnTime)
	}
}

// BenchmarkShortPrompt is the cost of placing a short one.
func BenchmarkShortPrompt(b *testing.B) {
	cs := idle(23)
	for b.Loop() {
		placer.ChooseEngines(engine, short(), cs, now, placer.OnTime)
	}
}
