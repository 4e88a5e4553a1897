package emulator

import (
	"math"

	"github.com/heathervane/heathervane/entry/process/allocator"
)

// A request is one question and what becomes of it. Times are milliseconds from
// the run's beginning.
type request struct {
	kind   *Kind
	vm     int
	at     float64
	prompt int
	// left is the answer's tokens that are still to come.
	left int

	asked *allocator.Pending
	grant *allocator.Placement
	// part is the reading time of each part, unread how many are not read.
	part    float64
	unread  int
	context int
	sent    float64
	first   float64
	last    float64
	pause   float64
	ended   bool
	gone    bool
	refused bool
	// fresh is set with the first event until the VM has been told.
	fresh bool
}

// begin is the first event.
func (r *request) begin(at float64) {
	r.first, r.last, r.fresh = at, at, true
}

// event is a later one.
func (r *request) event(at float64, tokens int) {
	r.pause = max(r.pause, at-r.last)
	r.last = at
	r.left -= tokens
	r.context += tokens
}

func (r *request) end(at float64) {
	r.ended = true
	r.last = at
}

// weight is what the request counts for among those of its kind, by its size.
func (r *request) weight() float64 {
	const most = 4
	return r.kind.Worth * math.Min(most, 0.3+0.7*float64(r.prompt)/r.kind.Prompt)
}

// earned is what the answer was worth.
func (r *request) earned() float64 {
	switch {
	case !r.ended || r.gone:
		return 0
	case r.inTime():
		return r.weight()
	}
	return r.weight() * r.kind.Late / r.kind.Worth
}

func (r *request) inTime() bool {
	return r.ended && !r.gone && r.first-r.at+way <= float64(r.kind.Objective.Milliseconds()) && r.pause <= float64(r.kind.Pause.Milliseconds())
}

// leaves is when the caller leaves without a first event.
func (r *request) leaves() float64 {
	patience := max(2000, 4*float64(r.kind.Objective.Milliseconds()), 8*float64(r.kind.Pause.Milliseconds()))
	return r.at + min(patience, float64(r.kind.Limit.Milliseconds()))
}
