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
	// Turned says that the upstream is cold under a boot number.
	Turned(boot uint64)
	// Reported takes in what the upstream says of itself.
	Reported(boot uint64, cold bool)
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
	sent  map[uint64]time.Time

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
		sent: map[uint64]time.Time{}, shares: map[Who]int{}, borrowers: map[Who]*borrower{},
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
		l.limit.Turned(boot)
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

// Handle takes in an ask.
func (l *Lender) Handle(now time.Time, from Who, a Ask) {
	if a.Used < 0 || a.Held < 0 || a.Want < 0 || a.Need < 0 {
		return
	}
	for w, b := range l.borrowers {
		if w.VM == from.VM && w.Boot != from.Boot && w.Boot < from.Boot {
			b.ended = true
		}
	}
	b := l.borrower(from)
	if b.ended || a.Seq <= b.echo {
		return
	}
	l.learn(now, b, a)
	acked := a.Fence >= l.first && a.Fence <= l.fence
	b.take(now, a, acked)
	for seq := range l.sent {
		if seq < l.oldest() {
			delete(l.sent, seq)
		}
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

func (l *Lender) oldest() uint64 {
	low := l.seq
	for _, b := range l.borrowers {
		for _, o := range b.out {
			low = min(low, o.seq)
		}
	}
	return low
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
		if b.echo == 0 || b.ended || b.silent(now, l.long(l.c.Life)) {
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
	l.sent[l.seq] = now
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
	b.out = append(b.out, b.last)
	return Out{To: w, Loan: Loan{
		Name: l.c.Name, Fence: l.fence, Seq: l.seq, Echo: b.echo, Life: int(l.c.Life.Milliseconds()),
		Boot: l.boot, Slots: slots, Tokens: tokens, Share: part, Limit: l.bound(), Cold: l.cold(),
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
