// Package inspector estimates from an engine's report of itself what it still does for
// requests that no running VM knows of. It answers the load after most VMs lost power: the
// engines go on with the requests of processes that are gone, and a leader that takes
// them for idle promises first tokens that come late and memory that is in use.
package inspector

import (
	"math"
	"time"

	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// A Report is what an engine says it does.
type Report struct {
	// Waiting and Running are the numbers of requests there, and UsedTokens the memory
	// that they and reservations hold.
	Waiting, Running, UsedTokens int
	// Pace is how many times longer than usual the engine takes; 0 if it does not say.
	Pace float64
}

// Work is what an engine does for requests that no running VM knows of.
type Work struct {
	load placer.Load
	pace float64
	// asOf is the time of the report, and until when all of the work is expected to be
	// done.
	asOf, until time.Time
}

// defaultOutput is the number of tokens of an answer if the engine's figures do not name
// the usual one.
const defaultOutput = 500

// Estimate returns the work in a report beyond the known load. The remaining output of the
// requests that run is unknown; on average over many, it is spread evenly up to the usual
// answer, so that the work falls evenly to nothing over the time of one.
func Estimate(e *matcher.Engine, r Report, known placer.Load, now time.Time) Work {
	w := Work{pace: max(1, r.Pace), asOf: now.Add(-e.ReportLag)}
	requests := max(0, r.Running+r.Waiting-known.Streams)
	waiting := min(max(0, r.Waiting), requests)
	w.load = placer.Load{Streams: requests, Starting: waiting, ContextTokens: max(0, r.UsedTokens-known.ContextTokens)}
	// The prompts that wait or are being read may be much longer than usual; then they hold
	// most of the memory.
	if requests > 0 {
		prompt := max(e.UsualPrompt, w.load.ContextTokens/requests)
		w.load.PendingPrefill = float64(waiting) * placer.PrefillTime(e, prompt, 1)
	}
	output := e.UsualOutput
	if output <= 0 {
		output = defaultOutput
	}
	steps := float64(output) / float64(max(1, e.StepsPerPass))
	took := placer.DecodePassTime(e, max(1, requests), w.load.ContextTokens)*steps + w.load.PendingPrefill
	w.until = w.asOf.Add(time.Duration(took * w.pace * float64(time.Millisecond)))
	return w
}

// IsZero reports whether there is no such work.
func (w Work) IsZero() bool { return w.load == placer.Load{} }

// At returns what is left at a time, and whether anything is.
func (w Work) At(now time.Time) (l placer.Load, left bool) {
	if w.IsZero() || !now.Before(w.until) {
		return l, false
	}
	elapsed := max(0, now.Sub(w.asOf))
	share := 1 - float64(elapsed)/float64(w.until.Sub(w.asOf))
	l.Streams = int(math.Ceil(share * float64(w.load.Streams)))
	l.ContextTokens = int(share * float64(w.load.ContextTokens))
	l.PendingPrefill = max(0, w.load.PendingPrefill-float64(elapsed.Milliseconds())/w.pace)
	if l.PendingPrefill > 0 {
		l.Starting = min(w.load.Starting, l.Streams)
	}
	return l, true
}
