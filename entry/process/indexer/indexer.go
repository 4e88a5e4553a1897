// Package indexer remembers which engine has read which prompt's beginning. It
// answers many questions about one long document: without it each of them is
// read anew on whichever engine is free, at seconds of prefill each.
//
// A hint is never a promise. Engines drop prefixes when their memory is full,
// and say so late and with gaps; so a hint only makes an engine look nearer to
// its prompt, for a time. It is this VM's own knowledge: what other VMs sent is not in it, which costs a second reading of
// a document for each VM that is asked about it, and no message.
package indexer

import (
	"container/list"
	"time"
)

// life is how long a hint counts. Engines keep a prefix for minutes under
// ordinary load; an older hint is more often wrong than right.
const life = 5 * time.Minute

// A PrefixIndex holds a bounded number of hints. It is not safe for concurrent use.
type PrefixIndex struct {
	most  int
	order *list.List
	hints map[key]*list.Element
}

type key struct {
	head     uint64
	upstream string
}

type hint struct {
	key  key
	boot uint64
	at   time.Time
}

// New returns a Indexer of at most so many hints; the oldest goes first.
func New(most int) *PrefixIndex {
	return &PrefixIndex{most: most, order: list.New(), hints: make(map[key]*list.Element)}
}

// Add keeps that an engine has read the beginning of a prompt.
func (h *PrefixIndex) Add(now time.Time, head uint64, upstream string, boot uint64) {
	k := key{head, upstream}
	if e, ok := h.hints[k]; ok {
		h.order.Remove(e)
	}
	h.hints[k] = h.order.PushBack(hint{key: k, boot: boot, at: now})
	if h.order.Len() > h.most {
		h.remove(h.order.Front())
	}
}

// Has tells whether an engine probably has the beginning of a prompt. One that
// has started anew since has nothing.
func (h *PrefixIndex) Has(now time.Time, head uint64, upstream string, boot uint64) bool {
	e, ok := h.hints[key{head, upstream}]
	if !ok {
		return false
	}
	v := e.Value.(hint) //nolint:forcetypeassert // the list holds nothing else
	if now.Sub(v.at) > life || (boot != 0 && v.boot != 0 && v.boot != boot) {
		h.remove(e)
		return false
	}
	return true
}

func (h *PrefixIndex) remove(e *list.Element) {
	delete(h.hints, e.Value.(hint).key) //nolint:forcetypeassert // as above
	h.order.Remove(e)
}
