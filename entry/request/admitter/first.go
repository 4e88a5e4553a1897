package admitter

import (
	"time"
)

// nextFirst is Next of the baseline: only the head of the one queue is tried.
func (a *Admitter) nextFirst(now time.Time, place func(Ask) bool) (Ask, bool) {
	for len(a.line) > 0 {
		it, ok := a.items[a.line[0]]
		if ok && now.Before(it.start) {
			if !place(it.ask) {
				return Ask{}, false
			}
			a.delete(it)
		}
		a.line = a.line[1:]
		if ok && now.Before(it.start) {
			return it.ask, true
		}
	}
	return Ask{}, false
}
