// Package router chooses the upstream for a request. It copes with stale load
// reports, with many VMs that act on the same reports, with long prompts among
// short ones, and with upstreams that are slower than they claim. Without it
// VMs would all choose the engine that looked idle a moment ago, a short
// question would queue behind a prompt that takes a minute to read, and a slow
// engine would attract work because little of that work completes there.
//
// The package only chooses: it sends and queues no requests and does not track
// slot credits. The caller passes the free slots of each candidate, and a Picker
// may answer that no candidate can take the request.
package router

import (
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/entry/request/admitter"
)

// Candidate is an upstream as this VM knows it.
type Candidate struct {
	// Name and Zone are the name and availability zone of the upstream.
	Name, Zone string
	// SameZone is set if the upstream is in this VM's availability zone.
	SameZone bool
	// FreeSlots is how many of its slots this VM may use now, and Slots how
	// many it has in total.
	FreeSlots, Slots int
	// OwnStreams is how many of this VM's streams it runs.
	OwnStreams int
	// UnreportedRequests and UnreportedTokens are the requests and prompt tokens
	// that this VM has sent since the last report was made.
	UnreportedRequests, UnreportedTokens int
	// OwnPrefillLeft is the prompt tokens that this VM has sent and received no
	// first token for. It is always current, but covers only this VM's requests.
	OwnPrefillLeft int
	// Primary is set if this VM is the primary VM of the upstream. Secondary is
	// set if this VM is its secondary VM now, which may use the upstream while
	// its own primary upstreams are busy; see AssignPrimaries and SecondaryAt.
	// A VM that is the primary of no upstream relies on reports alone.
	Primary, Secondary bool
	// Running and Waiting are its requests according to its last report.
	Running, Waiting int
	// KVUsed and KVCapacity are the use and size of its KV cache in tokens.
	KVUsed, KVCapacity int
	// PrefillLeft is the prompt tokens still unread according to its last report.
	PrefillLeft int
	// ReportAge is the age of the report.
	ReportAge time.Duration
	// PrefillRate is the prompt tokens per second that it claims over all
	// streams, DecodeRate the answer tokens per second of one stream.
	PrefillRate, DecodeRate float64
	// SpeedRatio is the measured speed divided by the claimed one: 1 is as
	// claimed, 0.1 is ten times slower; 0 counts as 1.
	SpeedRatio float64
	// Cold is set during a cold start.
	Cold bool
	// PrefixCached is set if it probably has the prefix of the prompt cached.
	// Cache events are delayed and incomplete, so this is never certain.
	PrefixCached bool
	// LongOnly is set if it is reserved for long prompts.
	LongOnly bool
}

// Picker chooses an upstream for a request.
type Picker interface {
	// Pick returns the index of the chosen candidate, or false if the request
	// should wait.
	Pick(now time.Time, req admitter.Request, cs []Candidate) (index int, ok bool)
}

// Names of routing policies.
const (
	// Best chooses the lowest estimated time to first token.
	Best = "best"
	// Random is a baseline: any candidate with a free slot.
	Random = "random"
	// LeastRequests is a baseline: the candidate with the fewest requests in
	// progress.
	LeastRequests = "least"
	// TwoChoices is a baseline: of two random candidates, the one with fewer
	// requests in progress.
	TwoChoices = "two"
)

// Error is the error class of this package.
var Error = errs.Class("router")

// New returns the Picker of a policy, with r as its source of randomness. A
// Picker is not safe for concurrent use.
func New(policy string, r *rand.Rand) (Picker, error) {
	switch policy {
	case Best:
		return &ttftPicker{rand: r}, nil
	case Random:
		return &randomPicker{rand: r}, nil
	case LeastRequests:
		return &leastRequestsPicker{rand: r}, nil
	case TwoChoices:
		return &twoChoicesPicker{rand: r}, nil
	}
	return nil, Error.New("unknown policy %q; want %s, %s, %s or %s", policy, Best, Random, LeastRequests, TwoChoices)
}

// hasCapacity reports whether the candidate has a slot and memory for the
// request.
func (c *Candidate) hasCapacity(req *admitter.Request) bool {
	return c.FreeSlots > 0 && (c.KVCapacity == 0 || c.KVUsed+c.UnreportedTokens+req.PromptTokens+req.MaxOutput <= c.KVCapacity)
}

func (c *Candidate) inProgress() int { return c.Running + c.Waiting + c.UnreportedRequests }
