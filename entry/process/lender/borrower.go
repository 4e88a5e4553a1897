package lender

import "time"

// A borrower is what the holder knows of one process.
type borrower struct {
	echo       uint64 // seq of its last ask
	heard      time.Time
	used, want int
	held, need int
	done       uint64
	cold       bool
	warmed     uint64 // boot under which it may use its share, by its own word

	// out are loans that it may still follow: the last that it took in and all
	// sent since. They do not leave by time alone, because work may have been
	// started on them until they lapsed.
	out  []loan
	last loan
	// floor is what it may have running for other reasons.
	floor       int
	floorMemory int
	quiet       time.Time // it may have started work until then
	active      bool      // it may be using its share
	using       bool      // it was told that it may, or says so
	stale       bool      // active dates from an earlier boot of the upstream
	dirty       bool
	ended       bool // a later process of the same VM has been heard
}

type loan struct {
	seq                    uint64
	slots, tokens, ceiling int
	share                  bool
	boot                   uint64
	until                  time.Time
}

// maxOut bounds the loans remembered that were not acknowledged: a VM whose asks
// arrive while it gets no answers is sent one after another.
const maxOut = 32

// lent adds a loan. The oldest two become one that counts for both.
func (b *borrower) lent(o loan) {
	b.out = append(b.out, o)
	if len(b.out) <= maxOut {
		return
	}
	first, second := b.out[0], &b.out[1]
	second.ceiling = max(first.ceiling, second.ceiling)
	second.tokens = max(first.tokens, second.tokens)
	second.share = first.share || second.share
	second.until = later(first.until, second.until)
	b.out = b.out[1:]
}

// charge is what it may have running now or start without asking again.
func (b *borrower) charge(reserved int) int {
	n := max(b.used, b.floor, reserved)
	for _, o := range b.out {
		n = max(n, o.ceiling)
	}
	return n
}

// firm is what it was lent from here for a boot number of the upstream. What it
// has in use does not count: some of it may be left from an earlier boot.
func (b *borrower) firm(share int, boot uint64) int {
	n := share
	for _, o := range b.out {
		if o.seq > 0 && o.boot == boot {
			n = max(n, o.ceiling)
		}
	}
	return n
}

func (b *borrower) memory() int {
	n := max(b.held, b.floorMemory)
	for _, o := range b.out {
		n = max(n, o.tokens)
	}
	return n
}

// lapse is when it could last start work on a loan.
func (b *borrower) lapse() time.Time {
	t := b.quiet
	for _, o := range b.out {
		t = later(t, o.until)
	}
	return t
}

// present says that it asks, so that a loan may reach it. One that was heard
// last more than a loan's life ago is lent nothing: each loan would put off the
// time at which its loans have lapsed.
func (b *borrower) present(now time.Time, life time.Duration) bool {
	return b.echo > 0 && !b.ended && now.Sub(b.heard) <= life
}

// silent says that it has not been heard for a loan's life and that all of its
// loans have lapsed.
func (b *borrower) silent(now time.Time, life time.Duration) bool {
	if b.ended {
		return now.After(b.lapse())
	}
	return now.Sub(b.heard) > life && now.After(b.lapse())
}

// settle says exactly what it has running, and that it can start nothing more
// on past loans.
func (b *borrower) settle(running int) {
	b.quiet = b.lapse() // its loans go, the time of their end stays
	b.used, b.floor, b.out = running, 0, nil
	if running == 0 {
		b.held, b.floorMemory = 0, 0
	}
}

// take takes in an ask. Its figures were true after the borrower had taken in
// the loan that it acknowledges, so every earlier loan is void and what was
// assumed of it is replaced.
func (b *borrower) take(now time.Time, a Ask, acked bool) {
	b.echo, b.heard, b.dirty = a.Seq, now, true
	b.used, b.want, b.held, b.need = a.Used, a.Want, a.Held, a.Need
	if !acked {
		return
	}
	for len(b.out) > 0 && b.out[0].seq < a.Ack {
		b.out = b.out[1:]
	}
	if len(b.out) > 0 && b.out[0].seq == a.Ack {
		b.floor, b.floorMemory, b.stale = 0, 0, false
		b.using = b.out[len(b.out)-1].share
		if !b.out[0].share && len(b.out) == 1 {
			b.active = false
		}
	}
}

// reboot forgets what ran before the upstream fell. Loans for the boot before
// still count: an upstream that does not check what boot a request expects
// would run work sent on them.
func (b *borrower) reboot(now time.Time) {
	b.used, b.floor, b.held, b.floorMemory = 0, 0, 0, 0
	b.done = 0
	b.stale, b.using = b.active, false
	b.quiet = later(b.quiet, now)
}
