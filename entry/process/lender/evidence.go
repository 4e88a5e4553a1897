package lender

import (
	"slices"
	"time"
)

// Loaded takes in a load report.
func (l *Lender) Loaded(now time.Time, load Load) {
	if slices.Contains(l.past, load.Boot) {
		return
	}
	if l.loaded && load.Boot == l.boot && load.Taken.Before(l.load.Taken) {
		return
	}
	if load.Boot != l.boot && load.Boot != 0 {
		l.reboot(now, load.Boot, load.Cold || l.loaded)
	}
	l.limit.Reported(load.Boot, load.Cold)
	l.load, l.loaded, l.warm = load, true, !load.Cold
	l.guess(now)
}

// Returned says that operators have brought the upstream back into service. The
// load of a whole zone would else come back in one moment.
func (l *Lender) Returned() {
	l.limit.ZoneRestored()
	l.dirty()
}

// Resize takes a changed configuration of the same upstream, and its limiter.
func (l *Lender) Resize(c Config, limit Limiter) {
	full := !l.cold()
	l.c, l.limit = c, limit
	if full {
		l.limit.Completed(enough * c.Slots)
	}
	l.dirty()
}

// Turned takes in evidence that an upstream is cold under a boot number. The
// limit falls at once; only completed work raises it again.
func (l *Lender) Turned(now time.Time, boot uint64) {
	if boot == 0 {
		boot = l.boot
	}
	if !slices.Contains(l.past, boot) {
		l.reboot(now, boot, true)
	}
}

func (l *Lender) reboot(now time.Time, boot uint64, cold bool) {
	if boot != l.boot {
		l.past = append(l.past, l.boot)
		if len(l.past) > maxPast {
			l.past = l.past[1:]
		}
		if l.boot != 0 {
			for _, b := range l.borrowers {
				b.reboot(now)
			}
		}
		// The fall has cut all that ran and freed its memory.
		l.unknown, l.guesses = 0, nil
		l.known = l.known || l.boot != 0
		l.booted = now
	}
	if cold {
		l.limit.TurnedCold(boot)
		l.warm, l.lent = false, true
	}
	l.boot = boot
	l.dirty()
}

func (l *Lender) dirty() {
	for _, b := range l.borrowers {
		b.dirty = true
	}
}

// Streams takes in the upstream's own list of streams, counted by process, as
// it was at a time. What a silent process has running is known exactly then.
func (l *Lender) Streams(at, now time.Time, boot uint64, counts map[Who]int) {
	if boot != l.boot {
		return
	}
	for w := range counts {
		l.borrower(w)
	}
	if at.Before(l.began.Add(l.c.Settle)) {
		return
	}
	all := true
	for w, b := range l.borrowers {
		if !b.silent(now, l.long(l.c.Life)) {
			continue
		}
		if at.Before(b.lapse().Add(l.c.Settle)) {
			all = false
			continue
		}
		b.settle(counts[w])
	}
	l.known = l.known || all
}

// Unsure says whether the list of streams would help.
func (l *Lender) Unsure(now time.Time) bool {
	if !l.known {
		return true
	}
	for _, b := range l.borrowers {
		if b.silent(now, l.long(l.c.Life)) && b.charge(0) > 0 {
			return true
		}
	}
	return false
}

// Cleared says that nothing of a stopped process runs at the upstream any more.
func (l *Lender) Cleared(w Who) {
	if b := l.borrowers[w]; b != nil {
		b.settle(0)
	}
}

// guess estimates the work of nobody known at an upstream that does not list
// its streams: what it reports beyond what borrowers report. Reports lag and
// work turns over, so the highest guess of the last seconds counts.
func (l *Lender) guess(now time.Time) {
	if l.c.Lists {
		return
	}
	n := l.load.Running + l.load.Waiting
	for _, b := range l.borrowers {
		// What a silent one has running can't be more than all that runs.
		if b.silent(now, l.long(l.c.Life)) && !l.load.Taken.Before(b.lapse().Add(l.c.Settle)) {
			b.settle(min(n, b.charge(0)))
		}
	}
	if l.known && len(l.guesses) == 0 {
		return
	}
	if now.Sub(l.began) >= l.c.Longest {
		l.known, l.unknown, l.guesses = true, 0, nil
		return
	}
	if !l.cold() {
		for _, b := range l.borrowers {
			n -= b.used
		}
	}
	l.guesses = append(l.guesses, guess{at: now, n: max(n, 0)})
	for now.Sub(l.guesses[0].at) > l.c.Fresh {
		l.guesses = l.guesses[1:]
	}
	l.unknown = 0
	for _, g := range l.guesses {
		l.unknown = max(l.unknown, g.n)
	}
	if !l.load.Taken.Before(l.began.Add(l.c.Settle)) {
		l.known = true
	}
}

// learn takes in what a borrower says of the upstream.
func (l *Lender) learn(now time.Time, b *borrower, a Ask) {
	if a.Cold && !b.cold && a.Boot != 0 {
		l.Turned(now, a.Boot)
	}
	b.cold = a.Cold
	b.warmed = 0
	if a.Warm {
		b.warmed = a.Boot
	}
	if a.Boot != l.boot || a.Boot == 0 || a.Cold {
		return
	}
	b.using = b.using || a.Warm
	if a.Done > b.done {
		l.limit.Completed(int(min(a.Done-b.done, 1<<20)))
		b.done = a.Done
	}
}
