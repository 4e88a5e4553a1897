package placer

import (
	"math"
	"time"

	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// goodFirst is the part of the objective that the estimated time to the
	// first event may take at an engine that counts as good. The rest is for
	// the ways there and back, and for what others send there meanwhile.
	goodFirst = 0.55
	// goodUnread is the reading time in milliseconds that may come together at
	// an engine that counts as good. All that is read in one pass gets its
	// first event at that pass's end, so that what comes later delays what was
	// sent before it.
	goodUnread = 60.0
	// slotWait is how long a request waits for each that waits for a slot
	// before it, in milliseconds: a usual answer's time over the slots.
	slotWait = 100.0
	// keptShare is what part of an engine's slots is left free when short prompts
	// are packed, as one over this: the next burst finds them, and what finds no
	// slot waits for a stream to end.
	keptShare = 5
)

// single chooses the engine of a short prompt. Among the engines that answer it
// in good time it takes the one that answers most short prompts already, so
// that others stay free of them: a part of a long prompt that is read where
// nobody waits for a short answer disturbs nobody. It answers short and long
// prompts in the same hour; spread evenly over all engines, the short ones met
// a part of a long prompt in every fourth pass.
func single(e *matcher.Engine, a Request, cs []Candidate, now time.Time, m Urgency) (Placement, bool) {
	read := PrefillTime(e, a.Prompt, 1)
	good := goodFirst * float64(a.Objective.Sub(a.Arrived).Milliseconds())
	bound := math.Inf(1)
	if m == OnTime {
		// A slot elsewhere is free sooner than an engine that reads for long.
		bound = float64(a.Objective.Sub(now).Milliseconds())
	}
	best, least, fullest := -1, math.Inf(1), -1
	lack := NoEngine
	if m == Late && !hasHeadroom(cs) {
		return Placement{Reason: NoHeadroom}, false
	}
	for i := range cs {
		c := &cs[i]
		if c.Quota < 1 || !c.slot(m) || !c.fits(e, a.Prompt+a.Output) {
			continue
		}
		cost := TimeToFirstToken(e, c.Load, read) + c.dislike(a) + failure*c.failing() + slotWait*float64(max(0, c.Load.Streams+1-c.Slots))
		if cost > bound {
			lack = TooLate
			continue
		}
		filled := -1
		if cost <= good && c.Load.Parts == 0 && c.Load.PendingPrefill+read <= max(goodUnread, read) && c.Load.Streams < c.packed() {
			filled = c.Load.Streams
		}
		if filled > fullest || (filled == fullest && cost < least) {
			best, least, fullest = i, cost, filled
		}
	}
	if best < 0 {
		return Placement{Reason: lack}, false
	}
	return Placement{Main: best, PrefillTime: read, TimeToFirstEvent: least}, true
}

// packed is how many streams an engine is filled to.
func (c *Candidate) packed() int { return c.Slots - max(1, c.Slots/keptShare) }

// hasHeadroom says that a fifth of the engines' slots is free. Late prompts leave as
// many. In a burst that is more than the engines bear each slot that comes free
// would go to one that waits, and is late, while a prompt that comes now finds
// none and is late as well: all were late by a second for want of a twentieth of
// the capacity. So most are in time, and the late ones follow when the burst is
// over, or are told to come back.
func hasHeadroom(cs []Candidate) bool {
	free, slots := 0, 0
	for i := range cs {
		c := &cs[i]
		if c.Quota < 1 || c.Unreachable {
			continue
		}
		free += max(0, c.Slots-c.Load.Streams)
		slots += c.Slots
	}
	return keptShare*free >= slots
}

// slot says that the engine can run one request more now, or, where there is no
// time to wait, that it would wait there behind no more than as many again.
func (c *Candidate) slot(m Urgency) bool {
	if m == OnTime || m == Late {
		return c.Load.Streams < c.Slots
	}
	return c.Load.Streams < 2*c.Slots
}

func (c *Candidate) fits(e *matcher.Engine, tokens int) bool {
	return tokens <= c.free(e)
}

func (c *Candidate) free(e *matcher.Engine) int {
	return int(memorySpare*float64(e.Memory)) - c.Load.ContextTokens
}
