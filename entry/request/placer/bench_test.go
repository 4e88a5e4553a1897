package placer_test

import (
	"testing"

	"github.com/heathervane/heathervane/entry/request/placer"
)

// BenchmarkLongPrompt measures one decision about a long prompt. While the prompt
// waits, the decision is repeated with each event.
func BenchmarkLongPrompt(b *testing.B) {
	cs := idle(23)
	for i := range cs {
		cs[i].Load = placer.Load{Streams: i % 14, ContextTokens: 8000 * (i % 14), PauseWeights: pauseWeights(i % 14)}
	}
	for b.Loop() {
		placer.ChooseEngines(engine, long(133_000), cs, now, placer.OnTime)
	}
}

// BenchmarkShortPrompt measures one decision about a short prompt.
func BenchmarkShortPrompt(b *testing.B) {
	cs := idle(23)
	for b.Loop() {
		placer.ChooseEngines(engine, short(), cs, now, placer.OnTime)
	}
}
