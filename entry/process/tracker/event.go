package tracker

import "time"

// A Finding is what a VM has found out about an upstream from one of its own
// requests.
type Finding int

// The findings. Their numbers are sent to other VMs.
const (
	// FoundFailure is a failed request, FoundConnectionFailure a connection that
	// could not be made or broke.
	FoundFailure Finding = iota + 1
	FoundConnectionFailure
	// FoundAnswer is a response that has begun.
	FoundAnswer
	// FoundCold is an upstream in cold start, FoundReplaced another process at an
	// upstream's address.
	FoundCold
	FoundReplaced
	// FoundStall is work that needs several upstreams and makes no progress.
	FoundStall
	// FoundLeaving is an upstream that appears to be leaving.
	FoundLeaving
	// FoundLimit is an upstream that announced a limit, or that it no longer has one.
	FoundLimit
	// FoundDeparture is an upstream that announced that it is leaving.
	FoundDeparture
	// FoundBackoff is an upstream that wants no requests from this VM for a while.
	FoundBackoff
)

// An Event is something that a VM found out about upstreams.
type Event struct {
	Finding Finding
	// Upstreams holds one ID, or several for FoundStall.
	Upstreams []string
	// For is the remaining cold start time of FoundCold, the time without progress of
	// FoundStall, or the remaining time of FoundBackoff.
	For time.Duration
	// Limit is the limit of FoundLimit.
	Limit Limit
	// Departure is the departure of FoundDeparture.
	Departure Departure
}

// SetListener sets the function that receives each Event from this VM's own requests,
// to pass it on to the VMs that schedule requests to the same upstreams. It must be
// called at most once, before the Tracker is used.
func (t *Tracker) SetListener(listener func(Event)) { t.listener = listener }

func (t *Tracker) notify(e Event) {
	if t.listener != nil {
		t.listener(e)
	}
}

// MergeEvent applies what another VM has found out. It does not notify the listener.
func (t *Tracker) MergeEvent(now time.Time, e Event) {
	for _, id := range e.Upstreams {
		switch e.Finding {
		case FoundFailure, FoundConnectionFailure:
			t.addFailure(now, id, e.Finding == FoundConnectionFailure)
		case FoundAnswer:
			t.addAnswer(now, id)
		case FoundCold:
			t.setCold(now, id, e.For)
		case FoundReplaced:
			t.drop(id)
		case FoundLeaving:
			t.setLeaving(now, id)
		case FoundStall:
			if t.inactiveSince(id, now.Add(-e.For)) {
				t.addFailure(now, id, true)
			}
		case FoundLimit:
			t.updateLimit(id, e.Limit)
		case FoundDeparture:
			t.MergeDeparture(now, e.Departure)
		case FoundBackoff:
			// It concerns the VM that found it out, and not this one.
		}
	}
}
