package emulator

import (
	"slices"

	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// An engine is one model engine. It works in passes: each gives every stream a
// stride of tokens, and reads of what waits as much as the steps of a pass can
// hold. Parts of others' prompts go before prompts of its own.
type engine struct {
	figures *matcher.Engine
	name    string
	// lost says that it has died: what it had ends without an answer.
	lost    bool
	writing []*request
	queue   []*request
	parts   []*part
	// ends is when its pass ends, in milliseconds; reads what the pass reads
	// of each part.
	ends  float64
	reads []reading
	busy  bool
	// read is the reading time that it has spent.
	read float64
}

// A part is what one engine reads of a prompt.
type part struct {
	request *request
	// left is the reading time in milliseconds that is left.
	left float64
	own  bool
}

type reading struct {
	part *part
	time float64
}

// admit moves requests from the queue into slots.
func (e *engine) admit() {
	for len(e.queue) > 0 && e.slots() < e.figures.Slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.parts = append(e.parts, &part{request: r, left: r.part, own: true})
	}
}

// slots are those in use.
func (e *engine) slots() int {
	n := len(e.writing)
	for _, p := range e.parts {
		if p.own {
			n++
		}
	}
	return n
}

// step begins passes and ends them, up to a time.
func (e *engine) step(now float64) {
	for !e.lost && e.ends <= now {
		if e.busy {
			e.end(e.ends)
		}
		e.admit()
		if len(e.writing) == 0 && len(e.parts) == 0 {
			e.busy = false
			e.ends = now
			return
		}
		e.begin()
	}
}

func (e *engine) begin() {
	context := 0
	for _, r := range e.writing {
		context += r.context
	}
	time := placer.DecodePassTime(e.figures, len(e.writing), context)
	// A pass reads no more than its steps hold.
	room := float64(e.figures.StepsPerPass*e.figures.PrefillChunk) / e.figures.PrefillRate
	slices.SortStableFunc(e.parts, func(a, b *part) int { return order(a) - order(b) })
	e.reads = e.reads[:0]
	for _, p := range e.parts {
		take := min(room, p.left)
		if take <= 0 {
			break
		}
		e.reads = append(e.reads, reading{p, take})
		room -= take
		time += take
	}
	e.read += time - placer.DecodePassTime(e.figures, len(e.writing), context)
	e.busy = true
	e.ends += max(time, minPass)
}

// minPass is the shortest pass in milliseconds.
const minPass = 0.5

func order(p *part) int {
	if p.own {
		return 1
	}
	return 0
}

func (e *engine) end(at float64) {
	still := e.writing[:0]
	for _, r := range e.writing {
		r.event(at, e.figures.StepsPerPass)
		if r.left > 0 && !r.gone {
			still = append(still, r)
			continue
		}
		r.end(at)
	}
	e.writing = still
	for _, d := range e.reads {
		d.part.left -= d.time
	}
	kept := e.parts[:0]
	for _, p := range e.parts {
		if p.request.gone {
			continue
		}
		if p.left > 1e-9 {
			kept = append(kept, p)
			continue
		}
		p.request.unread--
		if p.request.unread == 0 {
			p.request.begin(at)
		}
	}
	e.parts = kept
}
