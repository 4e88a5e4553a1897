// Package router decides which upstream a request goes to. It answers reports
// that lag, many VMs that see the same reports, long prompts among short ones,
// and upstreams slower than they say. Without it VMs herd onto the engine that
// looked idle a moment ago, a short question sits behind a prompt that takes a
// minute to read, and a slow engine draws work because little of it ends there.
//
// It sends nothing, holds nothing back by itself and knows no credits: what a
// candidate has free is an argument, and "no place" is an answer.
package router

import (
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/entry/request/admitter"
)

// A Candidate is an upstream as this VM knows it.
type Candidate struct {
	// Name and Zone are the upstream's own.
	Name, Zone string
	// SameZone says that it is in this VM's availability zone.
	SameZone bool
	// FreeSlots is how many of its slots this VM may take now, and Slots how many
	// it has in all.
	FreeSlots, Slots int
	// OwnStreams is how many of this VM's streams it runs.
	OwnStreams int
	// UnreportedRequests and UnreportedTokens are the requests and prompt tokens that this VM has
	// sent since the last report was made.
	UnreportedRequests, UnreportedTokens int
	// OwnPrefillLeft is the prompt tokens that this VM has sent and had no first
	// token for: known without lag, but of this VM's requests only.
	OwnPrefillLeft int
	// Primary says that this VM is the upstream's home, and Secondary that this VM may
	// use it now when its own home upstreams are taken; see Homes and Secondary. A VM without any home upstream goes by reports alone.
	Primary, Secondary bool
	// Running and Waiting are its requests by its last report.
	Running, Waiting int
	// KVUsed and KVCapacity are its KV cache in tokens.
	KVUsed, KVCapacity int
	// PrefillLeft is the prompt tokens it had still to read.
	PrefillLeft int
	// ReportAge is how old the report is.
	ReportAge time.Duration
	// PrefillRate is the prompt tokens per second it promises over all streams,
	// DecodeRate the answer tokens per second of one stream.
	PrefillRate, DecodeRate float64
	// SpeedRatio is the measured speed over the promised: 1 is as promised, 0.1
	// ten times slower; 0 reads as 1.
	SpeedRatio float64
	// Cold says that it is in cold start.
	Cold bool
	// PrefixCached says that it seems to have the prompt's prefix. Cache events are
	// late and have gaps, so this is never certain.
	PrefixCached bool
	// LongOnly says that it is set apart for long prompts.
	LongOnly bool
}

// A Picker chooses a place for a request.
type Picker interface {
	// Pick gives the index of the candidate to take, or false where the
	// request had better wait.
	Pick(now time.Time, a admitter.Request, cs []Candidate) (index int, ok bool)
}

// Names of policies.
const (
	// Best estimates the time to the first token.
	Best = "best"
	// Random is a baseline: any with a free slot.
	Random = "random"
	// Least is a baseline: the fewest requests in progress.
	Least = "least"
	// Two is a baseline: of two at random the one with fewer in progress.
	Two = "two"
)

// Error is the class of this package's errors.
var Error = errs.Class("router")

// New returns the Picker of a policy, which draws from r. A Picker is not safe
// for use by several goroutines.
func New(policy string, r *rand.Rand) (Picker, error) {
	switch policy {
	case Best:
		return &best{rand: r}, nil
	case Random:
		return &random{rand: r}, nil
	case Least:
		return &least{rand: r}, nil
	case Two:
		return &two{rand: r}, nil
	}
	return nil, Error.New("no policy %q; there are %s, %s, %s and %s", policy, Best, Random, Least, Two)
}

// takes says whether the candidate has a slot and memory for the ask.
func (c *Candidate) takes(a *admitter.Request) bool {
	return c.FreeSlots > 0 && (c.KVCapacity == 0 || c.KVUsed+c.UnreportedTokens+a.PromptTokens+a.MaxOutput <= c.KVCapacity)
}

func (c *Candidate) progress() int { return c.Running + c.Waiting + c.UnreportedRequests }
