// Package placer decides at which upstreams a request runs. It answers long
// prompts among short ones: an engine works in passes, and everybody who is
// being answered there waits for whatever prompt the pass reads. Without it a
// prompt of 130,000 tokens stops every answer at its engine for two seconds;
// callers of short questions see their streams stand still.
//
// A model of the engine, made from the figures that operators publish, tells
// how long passes become by a placement. A long prompt is read by several
// engines in parts, so that no pass grows beyond what short answers bear, and
// it goes where nothing else is being read.
//
// The package decides only: it reads no clock, sends nothing and draws no
// random numbers but from its arguments.
package placer

import (
	"math"

	"github.com/heathervane/heathervane/entry/version/matcher"
)

// PrefillTime is how long one engine takes to read its part of a prompt that so many
// engines read together, in milliseconds. Each part has its share of the pairs
// of the whole prompt.
func PrefillTime(e *matcher.Engine, tokens, engines int) float64 {
	if tokens <= 0 || e.ReadRate <= 0 {
		return 0
	}
	n := float64(tokens)
	pairs := n * n / 2 / 1e6
	return (n/e.ReadRate + pairs*e.Pairs) / float64(max(1, engines))
}

// DecodePassTime is how long a pass takes in milliseconds in which so many streams write
// and nothing is read.
func DecodePassTime(e *matcher.Engine, streams, context int) float64 {
	if streams <= 0 {
		return 0
	}
	step := e.Step + float64(streams)*e.PerStream + float64(context)/1000*e.PerContext
	return float64(max(1, e.Stride)) * step
}

// TimeToFirstToken is an estimate of the time to the first token in milliseconds, for a
// prompt whose own part takes read there: half of the pass that runs, and the
// pass that reads the prompt together with all that waits.
func TimeToFirstToken(e *matcher.Engine, l Load, read float64) float64 {
	pass := DecodePassTime(e, l.Streams, l.ContextTokens)
	return 0.5*pass + l.PendingPrefill + read + math.Max(pass, DecodePassTime(e, 1, 0))
}

// A Load is the work under way at an upstream, from this VM and from the others
// as far as they have told.
type Load struct {
	// Streams is the requests that run or wait there.
	Streams int
	// ContextTokens is the prompt and answer tokens of these requests, which is
	// also the memory that they take.
	ContextTokens int
	// PendingPrefill is the reading time in milliseconds of prompts, and parts of
	// prompts, whose first token has not come.
	PendingPrefill float64
	// Starting is the requests that wait there for their first token.
	Starting int
	// Parts is how many parts of long prompts it reads.
	Parts int
	// PauseWeights are what the streams there have to lose if they stand still for
	// longer than their callers bear.
	PauseWeights PauseWeights
}

// Add sums two loads.
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
		// Nothing is being read, so that sums of fractions leave nothing behind.
		l.PendingPrefill = 0
	}
}
