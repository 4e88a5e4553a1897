package tracker

import "time"

// A Finding says what a VM has found out about an upstream by a request of its
// own.
type Finding int

// What may be found out.
const (
	// FoundFailure is a request that failed, FoundBroken a connection that
	// could not be made or broke.
	FoundFailure Finding = iota + 1
	FoundConnectionFailure
	// FoundAnswer is an answer that has begun.
	FoundAnswer
	// FoundCold is an upstream in cold start, FoundMisplaced another process at
	// its address.
	FoundCold
	FoundReplaced
	// FoundStall is work that needs several upstreams and has not gone on.
	FoundStall
	// FoundLeaving is an upstream that no longer helps.
	FoundLeaving
	// FoundLimit is an upstream that has named a limit, or named none any more.
	FoundLimit
)

// An Event is what a VM found out about upstreams.
type Event struct {
	Finding Finding
	// Upstreams is one, but for FoundStalled.
	Upstreams []string
	// For is how long a cold start still takes, or for how long work has not
	// gone on.
	For time.Duration
	// Limit is that of FoundLimit.
	Limit Limit
}

// SetListener has every Event that this VM's own requests bring reported to whoever
// places requests at the same upstreams for other VMs. It is called once, before
// the Tracker is used.
func (t *Tracker) SetListener(listener func(Event)) { t.listener = listener }

func (t *Tracker) notify(e Event) {
	if t.listener != nil {
		t.listener(e)
	}
}

// MergeEvent notes what another VM has found out.
func (t *Tracker) MergeEvent(now time.Time, e Event) {
	for _, id := range e.Upstreams {
		switch e.Finding {
		case FoundFailure, FoundConnectionFailure:
			t.fail(now, id, e.Finding == FoundConnectionFailure)
		case FoundAnswer:
			t.answer(now, id)
		case FoundCold:
			t.turnCold(now, id, e.For)
		case FoundReplaced:
			t.drop(id)
		case FoundLeaving:
			t.leave(now, id)
		case FoundStall:
			if t.quiet(id, now.Add(-e.For)) {
				t.fail(now, id, true)
			}
		case FoundLimit:
			t.limit(id, e.Limit)
		}
	}
}
