// Package indexer records which engine has processed which prompt prefix, for
// prefix-cache affinity. It serves the case of many requests about one long
// document: without it, each request would prefill the document again on
// whichever engine is free, which takes seconds each time.
//
// An entry is only a hint. Engines evict prefixes when their memory is full,
// and report that late and incompletely, so a hint only raises an engine's
// preference for a prompt, for a limited time. Each VM records only what it
// sent itself: every VM that gets requests about a document has it prefilled
// once more, but no messages are exchanged.
package indexer

import (
	"container/list"
	"time"
)

// hintTTL is how long a hint is valid. Engines keep a prefix for minutes under
// normal load; an older hint is more often wrong than right.
const hintTTL = 5 * time.Minute

// A PrefixIndex holds a bounded number of hints. It is not safe for concurrent
// use.
type PrefixIndex struct {
	maxHints int
	order    *list.List
	hints    map[key]*list.Element
}

type key struct {
	prefixHash uint64
	upstream   string
}

type hint struct {
	key  key
	boot uint64
	at   time.Time
}

// New returns a PrefixIndex of at most maxHints hints. When it is full, the
// oldest hint is evicted.
func New(maxHints int) *PrefixIndex {
	return &PrefixIndex{maxHints: maxHints, order: list.New(), hints: make(map[key]*list.Element)}
}

// Add records that an engine has processed a prompt prefix.
func (h *PrefixIndex) Add(now time.Time, prefixHash uint64, upstream string, boot uint64) {
	k := key{prefixHash, upstream}
	if e, ok := h.hints[k]; ok {
		h.order.Remove(e)
	}
	h.hints[k] = h.order.PushBack(hint{key: k, boot: boot, at: now})
	if h.order.Len() > h.maxHints {
		h.remove(h.order.Front())
	}
}

// Has reports whether an engine probably has a prompt prefix cached. An engine
// that has restarted since, as its boot number shows, has not.
func (h *PrefixIndex) Has(now time.Time, prefixHash uint64, upstream string, boot uint64) bool {
	e, ok := h.hints[key{prefixHash, upstream}]
	if !ok {
		return false
	}
	v := e.Value.(hint) //nolint:forcetypeassert // the list holds only hints
	if now.Sub(v.at) > hintTTL || (boot != 0 && v.boot != 0 && v.boot != boot) {
		h.remove(e)
		return false
	}
	return true
}

func (h *PrefixIndex) remove(e *list.Element) {
	delete(h.hints, e.Value.(hint).key) //nolint:forcetypeassert // as above
	h.order.Remove(e)
}
