// Package preempter chooses which request gives way to a more urgent one. It answers a
// burst of urgent requests, or a loss of engines, at a moment when all engines have just
// begun to read long, less urgent prompts: whoever waits for these to end is late. It
// takes nothing back itself, and knows nothing of upstreams.
//
// A request that gives way is read again from its beginning, so that what was read of it
// is lost. It gives way only for clearly more than that.
package preempter

const (
	// clearExcess is how many times the lost engine time the avoided wait must be. The
	// caller of the request that gives way waits longer as well, and its request may not
	// be lost to an upstream's failure as easily afterwards.
	clearExcess = 4.0
	// turnaround is the time in milliseconds that it takes to tell the VM that holds the
	// slot, to break off there, and to place the urgent request.
	turnaround = 20.0
)

// A Waiter is the urgent request that waits first. Times are in milliseconds.
type Waiter struct {
	// Priority is its priority; 0 is the most urgent.
	Priority int
	// Left is the time until its latest start.
	Left float64
	// Alike is the number of requests like it that wait, including itself.
	Alike int
}

// A Holder is a request that an upstream reads and that may give way. Times are in
// milliseconds.
type Holder struct {
	Priority int
	// Read is for how long it has been read at each of its upstreams, and Remaining for how
	// much longer it will be.
	Read, Remaining float64
	// Upstreams is the number of upstreams that read it, and Slots how many waiting
	// requests could be placed there in its stead.
	Upstreams, Slots int
}

// lost is the engine time that is lost if the request gives way.
func (h *Holder) lost() float64 { return h.Read * float64(h.Upstreams) }

// Choose returns the index of the holder that gives way to the waiter. It reports false if
// none should.
func Choose(w Waiter, holders []Holder) (chosen int, ok bool) {
	if w.Left < turnaround {
		return 0, false
	}
	for i := range holders {
		h := &holders[i]
		avoided := h.Remaining - w.Left
		if h.Priority <= w.Priority || avoided <= 0 || float64(min(w.Alike, h.Slots))*avoided < clearExcess*(h.lost()+turnaround) {
			continue
		}
		if !ok || h.cheaperThan(&holders[chosen]) {
			chosen, ok = i, true
		}
	}
	return chosen, ok
}

// cheaperThan prefers the less urgent, then those of which less is lost.
func (h *Holder) cheaperThan(o *Holder) bool {
	if h.Priority != o.Priority {
		return h.Priority > o.Priority
	}
	return h.lost() < o.lost()
}
