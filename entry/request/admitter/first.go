package admitter

// nextFirst is Next of the baseline: only the head of the one queue is tried.
func (a *Admitter) nextFirst(place func(Request) bool) (Request, bool) {
	for len(a.line) > 0 {
		it, ok := a.items[a.line[0]]
		if ok && !place(it.ask) {
			return Request{}, false
		}
		a.line = a.line[1:]
		if ok {
			a.delete(it)
			return it.ask, true
		}
	}
	return Request{}, false
}
