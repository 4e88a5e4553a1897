package quarantiner

import (
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/request/fingerprinter"
)

const (
	// partThreshold is how many upstreams a part of prompts must lose to be held if no
	// answer to a prompt with it is known. provenThreshold applies if one is: the part then
	// more likely only ran beside the one at fault.
	partThreshold   = 3
	provenThreshold = 5
	// minPartRequests is the number of different requests under which a part must lose
	// upstreams to be held. If there is only one, the request itself is held.
	minPartRequests = 2
	// maxPartLosses bounds the losses kept per part. A part has more than a request, as many
	// requests with it may be running when it becomes held.
	maxPartLosses = 16
	// rivalWindow is the most time between the starts of the holds of two parts that the same
	// losses may be blamed on.
	rivalWindow = time.Second
	// maxProven bounds each of the two generations of provenParts.
	maxProven = 2048
)

// maxLosses returns how many losses of the entry are kept.
func (e *Entry) maxLosses() int {
	if e.Part {
		return maxPartLosses
	}
	return maxLosses
}

// partHeldSince returns since when a part is held because of its losses; zero if it is not.
func (e *Entry) partHeldSince() time.Time {
	threshold := partThreshold
	if !e.Served.IsZero() {
		threshold = provenThreshold
	}
	requests := make([]uint32, 0, minPartRequests)
	for i, loss := range e.Losses {
		if len(requests) < minPartRequests && !slices.Contains(requests, loss.Request) {
			requests = append(requests, loss.Request)
		}
		if i+1 >= threshold && len(requests) == minPartRequests {
			return loss.At
		}
	}
	return time.Time{}
}

// isHeld reports whether an entry is held. A part is not if another one explains its losses.
func (l *Ledger) isHeld(e *Entry) bool { return e.isHeld() && (!e.Part || !l.isExplained(e)) }

// isExplained reports whether another held part was lost with each upstream that a part was
// lost with, and with more. A part that is at fault is among the losses of every upstream
// that it crashes; those that only ran beside it are missing at some.
func (l *Ledger) isExplained(e *Entry) bool {
	if e.partHeldSince().IsZero() {
		return false
	}
	for _, o := range l.heldParts {
		if len(o.Losses) > len(e.Losses) && o.hasLosses(e) {
			return true
		}
	}
	return false
}

// hasLosses reports whether an entry has all losses of another one.
func (e *Entry) hasLosses(o *Entry) bool {
	return !slices.ContainsFunc(o.Losses, func(l Loss) bool { return !e.hasLoss(l.Upstream) })
}

// hasLoss reports whether an upstream is among the losses.
func (e *Entry) hasLoss(upstream uint32) bool {
	return slices.ContainsFunc(e.Losses, func(l Loss) bool { return l.Upstream == upstream })
}

// newlyExplained returns the parts whose hold has ended since the last call because another
// one explains them.
func (l *Ledger) newlyExplained() (fs []fingerprinter.Fingerprint) {
	for f, e := range l.heldParts {
		was := e.explained
		if e.explained = l.isExplained(e); e.explained && !was {
			fs = append(fs, f)
		}
	}
	return fs
}

// hasRival reports whether a part of a request is held for losses for which another part may be
// to blame that the request does not have. Running the request shows which it is.
func (l *Ledger) hasRival(part fingerprinter.Fingerprint, parts []fingerprinter.Fingerprint) bool {
	e := l.heldParts[part]
	if e == nil {
		return false
	}
	for f, o := range l.entries {
		if o.Part && !slices.Contains(parts, f) && o.mayExplain(e) {
			return true
		}
	}
	return false
}

// mayExplain reports whether a part may be to blame for the losses of another one that is held.
// One of them, that of a trial too, may have had another cause. The second trial that fails shows
// that the part is not.
func (e *Entry) mayExplain(o *Entry) bool {
	missing := 0
	for _, loss := range o.Losses {
		// The platform's record of a hold does not have the losses.
		isRecorded := e.RecordedSince.After(e.Served) && loss.At.Sub(e.RecordedSince) <= rivalWindow
		if !isRecorded && !e.hasLoss(loss.Upstream) {
			missing++
		}
	}
	if len(o.Losses) >= partThreshold {
		return missing <= 1
	}
	// The other one is held by a record, too.
	return missing == 0 && e.isHeld() && e.HeldSince().Sub(o.HeldSince()).Abs() <= rivalWindow
}

// isTrialRunning reports whether this VM runs a trial of a part. It ends with another loss.
func (e *Entry) isTrialRunning(now time.Time) bool {
	return e.Part && now.Sub(e.lastTrial) < trialTimeout
}

// StartEarlyTrial is like StartTrial, for parts that have a rival. It need not be due.
func (l *Ledger) StartEarlyTrial(now time.Time, parts ...fingerprinter.Fingerprint) bool {
	for _, f := range parts {
		if e := l.heldParts[f]; e == nil || e.isTrialRunning(now) {
			return false
		}
	}
	l.setTrial(now, parts)
	return true
}

// LostPart records that an upstream was lost while it ran a request whose prompt has a part,
// before it had begun to answer. It returns how many upstreams the part has lost, and
// whether it is held from now on. provenAt is when an answer to a prompt with the part last
// went on, as far as this VM knows.
func (l *Ledger) LostPart(now time.Time, part fingerprinter.Fingerprint, upstream, request uint32, provenAt time.Time) (losses int, held bool) {
	e := l.entry(now, part)
	e.lastTrial = time.Time{}
	return l.lost(now, e, Entry{
		Part: true, Served: provenAt, Losses: []Loss{{Upstream: upstream, Request: request, At: now, own: true}},
	})
}

// A provenParts holds until when answers to prompts with a part went on, for the parts that
// were used last. Callers make up IDs, so it keeps two generations of at most maxProven.
type provenParts struct {
	recent, older map[fingerprinter.Fingerprint]time.Time
}

func (p *provenParts) put(part fingerprinter.Fingerprint, at time.Time) {
	if p.recent == nil || len(p.recent) >= maxProven {
		p.recent, p.older = make(map[fingerprinter.Fingerprint]time.Time), p.recent
	}
	p.recent[part] = at
}

// at returns until when answers to prompts with a part went on; zero if none is known.
func (p *provenParts) at(part fingerprinter.Fingerprint) time.Time {
	return latest(p.recent[part], p.older[part])
}
