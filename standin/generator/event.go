package generator

import (
	"time"
)

// kinds of cache events.
const (
	add  = "add"
	drop = "drop"
)

// maxEvents is how many events are kept.
const maxEvents = 4096

// An event is a change of the prefix cache, in its form for callers.
type event struct {
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	Head string `json:"head"`
	at   time.Time
}

// events are the latest events, with the lost ones left out.
type events struct {
	seq  uint64
	list []event
}

// event notes a change; every Gap-th is lost.
func (g *Generator) event(kind, head string) {
	e := &g.events
	e.seq++
	if g.config.Gap > 0 && e.seq%uint64(g.config.Gap) == 0 {
		return
	}
	if len(e.list) >= maxEvents {
		e.list = append(e.list[:0], e.list[maxEvents/2:]...)
	}
	e.list = append(e.list, event{Seq: e.seq, Kind: kind, Head: head, at: g.config.Now()})
}

// since returns the events from a number on that are older than the lag, and
// the number to ask from next.
func (e *events) since(from uint64, until time.Time) ([]event, uint64) {
	list := []event{}
	next := max(from, 1)
	for _, v := range e.list {
		if v.at.After(until) {
			break
		}
		if v.Seq >= from {
			list = append(list, v)
			next = max(next, v.Seq+1)
		}
	}
	return list, next
}
