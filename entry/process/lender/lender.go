// Package lender lends the slots and the memory of one upstream to the entry
// VMs that use it. It is pure: the time and the messages are arguments, and it
// returns loans to send. It neither finds out who the holder is nor when a
// request may go.
//
// The load that it answers is many VMs that each see a part of the callers.
// With lagging reports alone all of them pick the upstream that looked idle,
// and together overrun it; a cold one falls over. Here the sum of what any VM
// may have running is bounded at each moment: what was lent and not known to be
// returned, plus fixed shares, plus work known by the upstream only.
//
// A loan is a ceiling on a VM's work in progress, not a ticket for each
// request, so that at 85 requests a second a VM needs a few messages a second.
// Lending everything to whoever asks first would leave the next caller a round
// trip and a loan's life behind; so idle slots are spread over all borrowers,
// and wants are met in turns of one slot (max-min fair).
package lender

import (
	"slices"
	"time"
)

// A Limiter gives the limit of an upstream that may be cold.
type Limiter interface {
	// Limit is how many requests it bears now.
	Limit() int
	// Completed reports n requests completed under the current boot.
	Completed(n int)
	// TurnedCold says that the upstream is cold under a boot number.
	TurnedCold(boot uint64)
	// Reported takes in what the upstream says of itself.
	Reported(boot uint64, cold bool)
	// ZoneRestored hears that the upstream is back in service.
	ZoneRestored()
}

// A Config describes one upstream.
type Config struct {
	Name string
	// Slots is how many requests it runs when warm, Cold how many while cold,
	// and Memory its tokens of memory; 0 for a plain service.
	Slots, Cold, Memory int
	// Life is the life of a loan.
	Life time.Duration
	// Drift bounds the difference in rate of two VMs' clocks.
	Drift float64
	// Fresh is how long a share may be used without word that the upstream is
	// warm.
	Fresh time.Duration
	// Settle is how long a request takes at most from a slot to the upstream.
	Settle time.Duration
	// Longest bounds the time of a request.
	Longest time.Duration
	// Lists says that the upstream lists its streams with their VMs.
	Lists bool
}

// headroom is the part of the memory, in tenths, that is not lent: requests
// without a reservation take theirs from it.
const headroom = 2

// maxPast bounds how many earlier boot numbers are remembered: late news of
// them must not pass for news, and they have no order.
const maxPast = 16

// A Who names a process.
type Who struct {
	VM   string
	Boot uint64
}

// A Load is what an upstream reports.
type Load struct {
	Boot                                 uint64
	Running, Waiting, Used, Memory, Left int
	Cold                                 bool
	// Age is how old the report was when it was sent, Taken the earliest time
	// that it may speak of.
	Age   time.Duration
	Taken time.Time
}

// An Out is a loan to send.
type Out struct {
	To   Who
	Loan Loan
}

// A Lender is the holder's side of one upstream.
type Lender struct {
	c     Config
	limit Limiter
	fence uint64
	first uint64 // fence at which this process became the holder
	seq   uint64

	boot    uint64
	booted  time.Time // when boot was first seen
	load    Load
	loaded  bool
	lent    bool // a loan may have been sent
	warm    bool // by its own report under boot, or the holder's before
	began   time.Time
	past    []uint64
	known   bool // nothing can run that is not accounted for
	unknown int  // work of nobody known
	guesses []guess

	shares    map[Who]int
	borrowers map[Who]*borrower
}

type guess struct {
	at time.Time
	n  int
}

// New returns a Lender that holds an upstream from now on. known says that
// nobody can have work there that it does not know of: the first holder ever,
// and one that got a table.
func New(c Config, limit Limiter, fence uint64, now time.Time, known bool) *Lender {
	return &Lender{
		c: c, limit: limit, fence: fence, first: fence, began: now, known: known,
		shares: map[Who]int{}, borrowers: map[Who]*borrower{},
	}
}

// Renew takes the fence of a later claim of the same process.
func (l *Lender) Renew(fence uint64) { l.fence = max(l.fence, fence) }

// Boot is the boot number that loans are for.
func (l *Lender) Boot() uint64 { return l.boot }

// Shares sets the fixed share of each process that holds a seat.
func (l *Lender) Shares(now time.Time, shares map[Who]int) {
	for w, n := range l.shares {
		if b := l.borrower(w); shares[w] < n {
			// Its work on the share may still run.
			if !b.active {
				n = 0
			}
			b.floor = max(b.floor, n, b.charge(0))
			b.quiet = later(b.quiet, now)
			b.dirty = true
		}
	}
	l.shares = shares
	for w := range shares {
		l.borrower(w)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (l *Lender) borrower(w Who) *borrower {
	b := l.borrowers[w]
	if b == nil {
		// A holder that knows nothing of a seat's holder must assume that an
		// earlier one let it use its share.
		b = &borrower{active: !l.known}
		l.borrowers[w] = b
	}
	return b
}

// Handle takes in an ask.
func (l *Lender) Handle(now time.Time, from Who, a Ask) {
	if !a.Sane() {
		return
	}
	for w, b := range l.borrowers {
		if w.VM == from.VM && w.Boot < from.Boot {
			b.ended = true
		}
	}
	b := l.borrower(from)
	if b.ended || a.Seq <= b.echo {
		return
	}
	l.learn(now, b, a)
	acked := a.Fence >= l.first && a.Fence <= l.fence && a.Ack <= b.last.seq
	b.take(now, a, acked)
}

func (l *Lender) long(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + l.c.Drift))
}

// Tick returns the loans to send now.
func (l *Lender) Tick(now time.Time) []Out {
	l.expire(now)
	if l.boot == 0 || !l.known {
		// A loan replaces what an earlier holder has said, and this one does not
		// know enough yet: it would end shares that may well go on.
		return nil
	}
	l.inherit()
	whos := l.sorted()
	targets := l.targets(whos, now)
	sum := l.charged()
	short := sum > l.bound() || l.wanting(whos)
	var out []Out
	for _, w := range whos {
		b := l.borrowers[w]
		if !b.present(now, l.long(l.c.Life)) {
			continue
		}
		others := sum - b.charge(l.reserved(w, b))
		share := l.sharing(w, b, sum)
		slots := l.grant(w, b, targets[w], others, share)
		if o, ok := l.lend(now, w, b, slots, share, short); ok {
			out = append(out, o)
		}
		sum = others + b.charge(l.reserved(w, b))
	}
	return out
}

// expire drops what no longer counts.
func (l *Lender) expire(now time.Time) {
	for w, b := range l.borrowers {
		if b.active && !l.booted.IsZero() && !now.Before(l.booted.Add(l.long(l.c.Fresh+l.c.Settle))) && b.stale {
			// A share is used only on fresh word that the upstream is warm under
			// its current boot: by now none is used under the one before.
			b.active, b.stale = false, false
		}
		if !b.silent(now, l.long(l.c.Life)) {
			continue
		}
		if !l.c.Lists && now.Sub(b.lapse()) >= l.c.Longest {
			b.settle(0)
		}
		if _, seated := l.shares[w]; !seated && b.charge(0) == 0 && now.Sub(b.lapse()) > l.c.Longest {
			delete(l.borrowers, w)
		}
	}
}

// reserved is what is kept free for a borrower's share, whether it was told
// that it may use it or not.
func (l *Lender) reserved(w Who, b *borrower) int {
	if b.active || !l.cold() {
		return l.shares[w]
	}
	return 0
}

// charged is what may run at the upstream at this moment, and what is kept for
// shares.
func (l *Lender) charged() int {
	sum := l.unknown
	for w, b := range l.borrowers {
		sum += b.charge(l.reserved(w, b))
	}
	return sum
}

// cold says whether the upstream bears less than its slots. Until it reports
// itself that it is warm, completed work doesn't raise the limit: it may count
// otherwise than the limiter does.
func (l *Lender) cold() bool {
	return !l.warm || l.limit.Limit() < l.c.Slots
}

// bound is what the upstream bears now.
func (l *Lender) bound() int {
	if !l.warm {
		return min(l.limit.Limit(), l.c.Cold)
	}
	return l.limit.Limit()
}

// Charged is the sum that must not grow above the limit by lending.
func (l *Lender) Charged() int { return l.charged() }

func (l *Lender) sorted() []Who {
	whos := make([]Who, 0, len(l.borrowers))
	for w := range l.borrowers {
		whos = append(whos, w)
	}
	slices.SortFunc(whos, func(a, b Who) int {
		if a.VM != b.VM {
			if a.VM < b.VM {
				return -1
			}
			return 1
		}
		return int(a.Boot) - int(b.Boot)
	})
	return whos
}
