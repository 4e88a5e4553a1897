// Package placer decides at which upstreams a request runs. Its task is to place
// long prompts next to short ones: an engine works in passes, and every stream at
// an engine waits for whatever prompt the current pass prefills. Without placement,
// a prompt of 130,000 tokens stalls all streams at its engine for two seconds.
//
// A model of the engine, based on the figures that operators publish, estimates
// how long passes become with a given placement. A long prompt is split into parts
// that several engines prefill, so that no pass takes longer than callers with
// short prompts tolerate, and it goes to engines that are prefilling nothing else.
//
// The package only decides: it reads no clock, sends nothing and uses no
// randomness, so that a decision depends on the arguments alone.
package placer

import (
	"math"

	"github.com/heathervane/heathervane/entry/version/matcher"
)

// PrefillTime is how long one engine takes, in milliseconds, to prefill its part of
// a prompt that is split among the given number of engines. Each part accounts for
// an equal share of the token pairs of the whole prompt.
func PrefillTime(e *matcher.Engine, tokens, engines int) float64 {
	if tokens <= 0 || e.PrefillRate <= 0 {
		return 0
	}
	n := float64(tokens)
	pairs := n * n / 2 / 1e6
	return (n/e.PrefillRate + pairs*e.AttentionTime) / float64(max(1, engines))
}

// DecodePassTime is how long a pass takes, in milliseconds, in which the given
// streams generate tokens and nothing is prefilled.
func DecodePassTime(e *matcher.Engine, streams, context int) float64 {
	if streams <= 0 {
		return 0
	}
	step := e.StepTime + float64(streams)*e.StepTimePerStream + float64(context)/1000*e.StepTimePerContext
	return float64(max(1, e.StepsPerPass)) * step
}

// TimeToFirstToken estimates the time to the first token in milliseconds, for a
// prompt whose own part takes prefill milliseconds there: half of the current pass,
// and the pass that prefills the prompt together with everything pending.
func TimeToFirstToken(e *matcher.Engine, l Load, prefill float64) float64 {
	pass := DecodePassTime(e, l.Streams, l.ContextTokens)
	return 0.5*pass + l.PendingPrefill + prefill + math.Max(pass, DecodePassTime(e, 1, 0))
}

// Load is the work in progress at an upstream, from this VM and, as far as they
// have reported it, from other VMs.
type Load struct {
	// Streams is the number of requests that run or wait there.
	Streams int
	// ContextTokens is the prompt and output tokens of these requests, and so
	// also the memory that they use.
	ContextTokens int
	// PendingPrefill is the prefill time in milliseconds of prompts, and parts
	// of prompts, whose first token has not arrived.
	PendingPrefill float64
	// Starting is the number of requests that wait there for their first token.
	Starting int
	// Parts is the number of parts of long prompts that it prefills.
	Parts int
	// PauseWeights are the weights of the streams there, by the pause that
	// their callers tolerate.
	PauseWeights PauseWeights
}

// Add adds a load.
func (l *Load) Add(o Load) {
	l.Streams += o.Streams
	l.ContextTokens += o.ContextTokens
	l.PendingPrefill += o.PendingPrefill
	l.Starting += o.Starting
	l.Parts += o.Parts
	for i, n := range o.PauseWeights {
		l.PauseWeights[i] += n
	}
}

// Sub subtracts a load.
func (l *Load) Sub(o Load) {
	l.Streams -= o.Streams
	l.ContextTokens -= o.ContextTokens
	l.PendingPrefill -= o.PendingPrefill
	l.Starting -= o.Starting
	l.Parts -= o.Parts
	for i, n := range o.PauseWeights {
		l.PauseWeights[i] -= n
	}
	if l.Starting == 0 && l.Parts == 0 {
		// Nothing is being prefilled: remove what rounding errors have left.
		l.PendingPrefill = 0
	}
}
