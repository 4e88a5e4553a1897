package acceptor

import (
	"time"

	"github.com/heathervane/heathervane/entry/connection/shedder"
)

// Probe measures how late it is called. It is to be called every shedder.ProbeInterval.
func (a *Acceptor) Probe(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	dueAt := a.probeDueAt
	a.probeDueAt = now.Add(shedder.ProbeInterval)
	if dueAt.IsZero() {
		return
	}
	late := max(0, now.Sub(dueAt))
	if !a.shedder.Probe(now, late) {
		return
	}
	a.log.Warn().Bool("overloaded", a.shedder.IsShedding()).Dur("late", late).Int("closed", a.shed).Int("open", len(a.conns)).
		Msg("processor overload changed")
	a.shed = 0
}

// admit reports whether a new connection is served. Those that are not are closed before
// anything is read from them, so that callers may send any request elsewhere.
func (a *Acceptor) admit() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shedder.Admit() {
		return true
	}
	a.shed++
	a.meter.Count("connections.shed", 1)
	return false
}
