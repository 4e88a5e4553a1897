package lender

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// targets divides what can be lent: wants first, in turns of one slot, then
// what is left, so that the next caller at any VM finds a slot without asking.
func (l *Lender) targets(whos []Who, now time.Time) map[Who]int {
	left := l.limit.Limit() - l.unknown
	targets := make(map[Who]int, len(whos))
	var open []Who
	for _, w := range whos {
		b := l.borrowers[w]
		reserved := l.reserved(w, b)
		if !b.present(now, l.long(l.c.Life)) {
			left -= b.charge(reserved)
			continue
		}
		left -= reserved
		open = append(open, w)
	}
	open = l.turned(open)
	left = l.deal(open, targets, left, func(w Who, b *borrower) bool {
		return targets[w]+l.reserved(w, b) < b.want
	})
	l.deal(open, targets, left, func(w Who, _ *borrower) bool {
		return targets[w] < l.limit.Limit()
	})
	return targets
}

// turned has each upstream begin with another borrower: what doesn't come out
// even would else always fall to the same VM.
func (l *Lender) turned(open []Who) []Who {
	if len(open) == 0 {
		return open
	}
	k := int(xxhash.Sum64String(l.c.Name) % uint64(len(open)))
	return slices.Concat(open[k:], open[:k])
}

// deal gives out slots one at a time in turns while anyone qualifies.
func (l *Lender) deal(open []Who, targets map[Who]int, left int, more func(Who, *borrower) bool) int {
	for left > 0 {
		given := false
		for _, w := range open {
			if left > 0 && more(w, l.borrowers[w]) {
				targets[w]++
				left--
				given = true
			}
		}
		if !given {
			return left
		}
	}
	return 0
}

// Lendable is the part of an upstream's memory that can be reserved; the rest is
// for requests that reserve none.
func Lendable(memory int) int { return memory - memory*headroom/10 }

// Small is the longest request in tokens that needs no reservation: when each
// slot runs one of these, they just fill what is not lent.
func Small(memory, slots int) int {
	if slots == 0 {
		return 0
	}
	return (memory - Lendable(memory)) / slots
}

// tokens is the memory lent to a borrower. A reservation is given whole or not
// at all: half of a long prompt's memory serves nobody.
func (l *Lender) tokens(b *borrower) int {
	if b.need <= b.memory() {
		return b.need
	}
	free := Lendable(l.c.Memory)
	for _, o := range l.borrowers {
		if o != b {
			free -= o.memory()
		}
	}
	if b.need > free {
		return min(b.held, free)
	}
	return b.need
}

// Export gives the table for a successor. The lender must not lend after it.
func (l *Lender) Export() Table {
	t := Table{Name: l.c.Name, Fence: l.fence, Boot: l.boot, Full: !l.cold(), Known: l.known, Unknown: l.unknown}
	for _, w := range l.sorted() {
		b := l.borrowers[w]
		share := 0
		if b.active {
			share = l.shares[w]
		}
		if n, m := b.charge(share), b.memory(); n+m > 0 {
			t.Entries = append(t.Entries, Entry{VM: w.VM, Boot: w.Boot, Slots: n, Tokens: m, Share: b.active})
		}
	}
	return t
}

// enough times its slots is the completed work that an upstream handed over as
// warm has behind it.
const enough = 8

// Import takes over a table. Each borrower keeps what it may have running until
// it has taken in a loan under the new fence, or its loans have lapsed and the
// upstream tells what it runs.
func (l *Lender) Import(now time.Time, t Table) {
	l.boot, l.booted, l.unknown, l.known = t.Boot, now, t.Unknown, t.Known
	if t.Full {
		l.warm = true
		l.limit.Completed(enough * l.c.Slots)
	}
	for _, e := range t.Entries {
		b := l.borrower(Who{VM: e.VM, Boot: e.Boot})
		b.active = e.Share
		b.heard = now
		b.out = append(b.out, loan{ceiling: e.Slots, tokens: e.Tokens, share: e.Share, until: now.Add(l.long(l.c.Life))})
	}
}
