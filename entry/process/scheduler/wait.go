package scheduler

import (
	"time"

	"github.com/heathervane/heathervane/entry/request/placer"
)

// A reason is why a request waits: what its place lacks, or one of those below.
type reason int

const (
	// waitBehind is that an earlier request for the same places waits.
	waitBehind = reason(placer.NumReasons) + iota
	// waitSync is that it was not yet known what is under way, or whether
	// whoever decides can be heard.
	waitSync
	reasons
)

// String gives the reason in one word.
func (r reason) String() string {
	if r == waitBehind {
		return "behind"
	}
	if r == waitSync {
		return "sync"
	}
	return placer.Reason(r).String()
}

// WaitTimes is how long a request waited, by reason.
type WaitTimes [reasons]time.Duration

// Longest is the reason for which it waited longest, in one word, and how long;
// empty where it did not wait.
func (w WaitTimes) Longest() (why string, long time.Duration) {
	for r, d := range w {
		if d > long {
			why, long = reason(r).String(), d
		}
	}
	return why, long
}

// A wait adds up why a request waits. Without it one knows of a late prompt that
// it waited, and not whether engines were missing, or peace for other streams.
type wait struct {
	past   WaitTimes
	reason reason
	since  time.Time
}

// turn notes that it waits for a reason from now on.
func (w *wait) turn(now time.Time, r reason) {
	w.past[w.reason] += now.Sub(w.since)
	w.reason, w.since = r, now
}

// end gives the sum.
func (w *wait) end(now time.Time) WaitTimes {
	w.turn(now, w.reason)
	return w.past
}

// AddRemainder counts what is left of a time that passed as spent in waiting for news.
func (w *WaitTimes) AddRemainder(passed time.Duration) {
	for _, d := range w {
		passed -= d
	}
	w[waitSync] += max(0, passed)
}
