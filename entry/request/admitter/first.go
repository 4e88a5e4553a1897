package admitter

// nextFIFO implements Next for the FIFO baseline, which tries only the head of
// its single queue.
func (a *Admitter) nextFIFO(place func(Request) bool) (Request, bool) {
	for len(a.fifo) > 0 {
		it, ok := a.items[a.fifo[0]]
		if ok && !place(it.request) {
			return Request{}, false
		}
		a.fifo = a.fifo[1:]
		if ok {
			a.delete(it)
			return it.request, true
		}
	}
	return Request{}, false
}
