package scheduler

import (
	"time"

	"github.com/heathervane/heathervane/entry/request/placer"
)

// A waitReason is why a request is queued: a placer.Reason, or one of the constants
// below.
type waitReason int

const (
	// waitBlocked means that an earlier request of the same class is queued.
	waitBlocked = waitReason(placer.NumReasons) + iota
	// waitSync means that the current load was not known yet, or that it was not
	// known whether the scheduling VM is reachable.
	waitSync
	numWaitReasons
)

// String returns the reason in one word.
func (r waitReason) String() string {
	if r == waitBlocked {
		return "behind"
	}
	if r == waitSync {
		return "sync"
	}
	return placer.Reason(r).String()
}

// WaitTimes is how long a request was queued, by reason.
type WaitTimes [numWaitReasons]time.Duration

// Longest returns the reason for which the request was queued longest, in one word,
// and for how long. The reason is empty if the request was not queued.
func (t WaitTimes) Longest() (reason string, longest time.Duration) {
	for r, d := range t {
		if d > longest {
			reason, longest = waitReason(r).String(), d
		}
	}
	return reason, longest
}

// A waitTimer accumulates the time that a request is queued, by reason. The total
// alone would not show whether a late prompt lacked an engine or was held back to
// spare other streams.
type waitTimer struct {
	total  WaitTimes
	reason waitReason
	since  time.Time
}

// switchTo books the time since the last call and sets the reason from now on.
func (w *waitTimer) switchTo(now time.Time, r waitReason) {
	w.total[w.reason] += now.Sub(w.since)
	w.reason, w.since = r, now
}

// stop returns the accumulated wait times.
func (w *waitTimer) stop(now time.Time) WaitTimes {
	w.switchTo(now, w.reason)
	return w.total
}

// AddRemainder adds the part of elapsed that no reason accounts for to waitSync.
func (t *WaitTimes) AddRemainder(elapsed time.Duration) {
	for _, d := range t {
		elapsed -= d
	}
	t[waitSync] += max(0, elapsed)
}
