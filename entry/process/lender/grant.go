package lender

import (
	"slices"
	"time"
)

// inherit takes the word of borrowers that an earlier holder found the upstream
// warm, if the upstream itself says the same. Without it, each loss of a holder
// would have its upstreams start anew as if they were cold.
func (l *Lender) inherit() {
	if l.lent {
		return
	}
	l.lent = true
	for _, b := range l.borrowers {
		if b.warmed == l.boot && l.warm {
			l.limit.Completed(enough * l.c.Slots)
			return
		}
	}
}

// grant is how much of its target a borrower can get now: a raise waits until
// others are known to have given back.
func (l *Lender) grant(w Who, b *borrower, target, others int, sharing bool) int {
	share := 0
	if sharing {
		share = l.shares[w]
	}
	// What is only assumed of it, and a share that it does not use yet, give it
	// no right to what others still have.
	ceiling := max(b.firm(share, l.boot), l.bound()-others)
	return max(0, min(target, ceiling-share))
}

// sharing says whether a borrower may use its share from now on: only once all
// else fits beside it.
func (l *Lender) sharing(w Who, b *borrower, sum int) bool {
	if l.shares[w] == 0 || l.cold() {
		return false
	}
	return b.using || sum <= l.bound()
}

func (l *Lender) lend(now time.Time, w Who, b *borrower, slots int, share, short bool) (Out, bool) {
	tokens := l.tokens(b)
	if !b.dirty && !worth(b, slots, tokens, share, short) {
		return Out{}, false
	}
	l.seq++
	b.dirty = false
	ceiling, part := slots, 0
	if share {
		part = l.shares[w]
		ceiling += part
		b.using, b.active, b.stale = true, true, b.stale && b.active
	}
	b.last = loan{
		seq: l.seq, slots: slots, tokens: tokens, share: share, ceiling: ceiling,
		until: now.Add(l.long(l.c.Life)), boot: l.boot,
	}
	b.lent(b.last)
	return Out{To: w, Loan: Loan{
		Name: l.c.Name, Fence: l.fence, Seq: l.seq, Echo: b.echo, Life: int(l.c.Life.Milliseconds()),
		Boot: l.boot, Slots: slots, Tokens: tokens, Share: part, Short: short, Limit: l.bound(), Cold: l.cold(),
		Running: l.load.Running, Waiting: l.load.Waiting, Used: l.load.Used, Memory: l.load.Memory,
		Left: l.load.Left, Age: int(now.Sub(l.load.Taken).Milliseconds()),
	}}, true
}

// worth says whether a loan that was not asked for is worth a message: one that
// gives what is wanted, or takes back what others want. Without it, each move of
// demand at one VM would send a loan to all.
func worth(b *borrower, slots, tokens int, share, short bool) bool {
	switch {
	case share != b.last.share || tokens != b.last.tokens:
		return true
	case slots > b.last.slots:
		return b.want > b.last.ceiling
	}
	return slots < b.last.slots && short
}

// wanting says whether a borrower wants more than it was lent.
func (l *Lender) wanting(whos []Who) bool {
	return slices.ContainsFunc(whos, func(w Who) bool {
		b := l.borrowers[w]
		return !b.ended && b.want > b.last.ceiling
	})
}
