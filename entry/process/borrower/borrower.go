// Package borrower is a VM's side of one upstream: what it may start there now,
// on a loan from the upstream's holder or on its fixed share. It is pure but
// for a lock, because every request asks it: the time is an argument, and
// messages go in and out as values.
//
// The load that it answers is a burst at one VM. Each request that asked the
// holder by itself would wait a round trip and cost a message; here a request
// takes from a loan at hand, and asks are batched in time. A VM that was frozen
// finds its loan lapsed before it starts anything, because every Take compares
// the time with the loan's end.
package borrower

import (
	"slices"
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/process/lender"
)

// A Config describes one upstream.
type Config struct {
	Name string
	// Life is the life of a loan.
	Life time.Duration
	// Drift bounds the difference in rate of two VMs' clocks.
	Drift float64
	// Fresh is how long the share may be used after the last word, from a holder
	// or from the upstream itself, that the upstream is warm.
	Fresh time.Duration
	// Gap is the least time between two asks.
	Gap time.Duration
}

// renewals is how many asks are sent during a loan's life: two may be lost
// before the loan lapses.
const renewals = 3

// maxPast bounds how many earlier boot numbers of an upstream are remembered.
const maxPast = 16

// maxSent bounds how many asks are remembered that were not echoed yet.
const maxSent = 64

// An Outcome says how work on a slot ended.
type Outcome int

const (
	// Completed work had its whole answer: it proves that the upstream bears it.
	Completed Outcome = iota
	// Cut work ended early by the upstream.
	Cut
	// Refused work never ran.
	Refused
	// Cancelled work was ended by the caller or by its time limit.
	Cancelled
)

// needLife is how long a need for memory stands that nobody has repeated.
// Waiting requests are tried again every few tens of milliseconds.
const needLife = 500 * time.Millisecond

// A View is what a router needs to know of an upstream.
type View struct {
	// Free is how many slots can be taken now, Mine how many this VM uses.
	Free, Mine int
	// Slots is what the upstream bears now, Cold whether that is less than when
	// it is warm.
	Slots int
	Cold  bool
	// Boot is the upstream's boot number as last heard.
	Boot uint64
	// Running, Waiting, Used, Memory and PrefillLeft are the upstream's last report,
	// the latter three in tokens; Age is how old it is.
	Running, Waiting, Used, Memory, PrefillLeft int
	Age                                         time.Duration
	// Held says that a holder has answered within a loan's life.
	Held bool
	// Fence is the highest fence heard.
	Fence uint64
}

// A Borrower is one VM's side of one upstream. It is safe for concurrent use.
type Borrower struct {
	c  Config
	mu sync.Mutex

	used, held   int
	demand, miss int
	told         int // what the holder was last told is wanted
	need         int // tokens asked for beyond those held
	needed       time.Time
	boot         uint64
	done         uint64
	cold         bool   // turned cold under boot, and no holder has taken it in
	coldAsk      uint64 // the first ask that says so; 0 before it is sent
	past         []uint64

	seq   uint64
	asked time.Time
	sent  map[uint64]time.Time
	urge  bool // something should be asked or acknowledged soon

	fence, ack uint64
	until      time.Time // end of the loan
	since      time.Time // since when loans have followed without a gap
	slots      int
	tokens     int

	share  int       // by this VM's configuration
	part   int       // by the holder's
	active bool      // a holder let the share be used, under warmBoot
	warm   time.Time // last word that the upstream is warm
	warmed uint64    // boot under which the share was let

	loan  lender.Loan
	heard time.Time
}

// New returns a Borrower that may start nothing yet.
func New(c Config) *Borrower {
	return &Borrower{c: c, sent: map[uint64]time.Time{}}
}

// Share sets the fixed share. Zero takes effect at once.
func (b *Borrower) Share(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n != b.share {
		b.urge = true
	}
	b.share = n
}

// ceiling is how much work may be in progress for more to be started.
func (b *Borrower) ceiling(now time.Time) int {
	n := 0
	if now.Before(b.until) {
		n = b.slots
	}
	if b.sharing(now) {
		n += min(b.share, b.part)
	}
	return n
}

// sharing says whether the fixed share may be used. It needs a holder's word
// under the current boot, and fresh word that the upstream is still warm: a VM
// that was frozen or cut off would else run its share on an upstream that has
// turned cold meanwhile.
func (b *Borrower) sharing(now time.Time) bool {
	return b.active && !b.cold && b.warmed == b.boot && now.Sub(b.warm) < b.short(b.c.Fresh)
}

func (b *Borrower) short(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - b.c.Drift))
}

// Take takes a slot, and tokens of reserved memory where tokens is above 0. It
// returns the upstream's boot number that the slot is for.
func (b *Borrower) Take(now time.Time, tokens int) (boot uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used >= b.ceiling(now) {
		b.miss++
		b.more()
		return 0, false
	}
	if tokens > 0 && (!now.Before(b.until) || b.held+tokens > b.tokens) {
		b.asks(now, tokens)
		return 0, false
	}
	b.used++
	b.held += tokens
	if tokens > 0 {
		b.need = 0
	}
	return b.boot, true
}

// Lent says whether a slot taken at a time has been lent ever since: no loan has
// lapsed before the next one came, so that the holder has counted it all along.
// A process that was frozen in between wakes with a loan that has lapsed.
func (b *Borrower) Lent(now, taken time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.until) && !taken.Before(b.since)
}

// Need asks for tokens of memory without a slot, as for one part of a group
// whose other parts are not there yet. It must be said again while it is true.
func (b *Borrower) Need(now time.Time, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asks(now, tokens)
}

func (b *Borrower) asks(now time.Time, tokens int) {
	if tokens > b.need {
		b.urge = true
	}
	b.need = max(b.need, tokens)
	b.needed = now
}

// Done gives a slot back that was taken under a boot number.
func (b *Borrower) Done(boot uint64, tokens int, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used--
	b.held -= tokens
	if o == Completed && boot == b.boot {
		b.done++
	}
	if b.loan.Short && b.wants() < b.told-max(1, b.told/4) {
		// Others wait for what this VM no longer wants.
		b.urge = true
	}
}

// Want says how many requests wait at this VM that could go to the upstream.
func (b *Borrower) Want(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand = n
	b.more()
}

// more asks the holder soon where clearly more is wanted than it was told last.
// Under overload something is always wanted, and asking each time would cost
// every VM a message a request.
func (b *Borrower) more() {
	if b.wants() >= b.told+max(1, b.told/4) {
		b.urge = true
	}
}

func (b *Borrower) wants() int { return b.used + max(b.demand, b.miss) }

// Turned takes in evidence that the upstream is cold under a boot number, 0
// where the number is not known. The share stops at once. It returns whether
// that is news.
func (b *Borrower) Turned(boot uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if boot == 0 {
		boot = b.boot
	}
	if boot == b.boot && b.cold || slices.Contains(b.past, boot) {
		return false
	}
	b.turned(boot)
	return true
}

func (b *Borrower) turned(boot uint64) {
	b.rebooted(boot)
	b.cold, b.coldAsk, b.active, b.urge = true, 0, false, true
}

func (b *Borrower) rebooted(boot uint64) {
	if boot == b.boot {
		return
	}
	// Late news of an earlier boot must not pass for news: boot numbers have no
	// order.
	b.past = append(b.past, b.boot)
	if len(b.past) > maxPast {
		b.past = b.past[1:]
	}
	b.boot, b.done, b.cold, b.coldAsk, b.active = boot, 0, false, 0, false
	b.slots, b.tokens = 0, 0
}

// Warm takes in a load report that this VM fetched itself, asked for at a time.
func (b *Borrower) Warm(asked time.Time, load lender.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Contains(b.past, load.Boot) {
		return
	}
	if load.Boot != b.boot {
		b.turned(load.Boot)
		return
	}
	if load.Cold {
		b.active = false
		return
	}
	b.warm = later(b.warm, asked)
	b.loan.Running, b.loan.Waiting, b.loan.Used = load.Running, load.Waiting, load.Used
	b.loan.Memory, b.loan.Left, b.loan.Age = load.Memory, load.Left, 0
	b.heard = later(b.heard, load.Taken)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Sharing says whether the share is in use without a holder, so that the VM has
// to look at the upstream itself.
func (b *Borrower) Sharing(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.active && b.share > 0 && !now.Before(b.until)
}

// Ask returns the message to the holder that is due now, if any.
func (b *Borrower) Ask(now time.Time) (lender.Ask, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := now.Sub(b.asked)
	if since < b.c.Gap || !b.urge && since < b.c.Life/renewals {
		return lender.Ask{}, false
	}
	b.seq++
	b.asked, b.urge = now, false
	if len(b.sent) >= maxSent {
		clear(b.sent)
	}
	b.sent[b.seq] = now
	if now.Sub(b.needed) > needLife {
		// The request that needed it went elsewhere, or was given up. Memory
		// lent for nobody would keep other VMs' long prompts waiting.
		b.need = 0
	}
	a := lender.Ask{
		Name: b.c.Name, Seq: b.seq, Fence: b.fence, Ack: b.ack,
		Used: b.used, Want: b.wants(), Held: b.held, Need: b.held + b.need,
		Boot: b.boot, Done: b.done, Warm: b.active, Cold: b.cold,
	}
	if b.cold && b.coldAsk == 0 {
		b.coldAsk = b.seq
	}
	b.told, b.miss = a.Want, 0
	return a, true
}

// Handle takes in a loan. It returns whether more may be started than before.
func (b *Borrower) Handle(now time.Time, l lender.Loan) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Fence < b.fence || l.Seq <= b.ack && l.Fence == b.fence || !l.Sane() {
		return false
	}
	before := b.ceiling(now)
	sent, known := b.sent[l.Echo]
	if !known {
		// Without the time of the ask the loan's life can't be counted from
		// before it.
		sent = now.Add(-b.c.Life)
	}
	for seq := range b.sent {
		if seq < l.Echo {
			delete(b.sent, seq)
		}
	}
	lessTokens, moreTokens := l.Tokens < b.tokens, l.Tokens > b.tokens
	b.fence, b.ack = l.Fence, l.Seq
	b.loan, b.heard = l, now.Add(-time.Duration(l.Age)*time.Millisecond)
	if b.behind(l) {
		b.slots, b.tokens, b.active = 0, 0, false
		return false
	}
	b.rebooted(l.Boot)
	b.cold, b.coldAsk = false, 0
	b.slots, b.tokens = l.Slots, l.Tokens
	if !now.Before(b.until) {
		b.since = now
	}
	b.until = sent.Add(b.short(min(time.Duration(l.Life)*time.Millisecond, b.c.Life)))
	b.active, b.part = l.Share > 0, l.Share
	if b.active {
		b.warm, b.warmed = later(b.warm, sent), l.Boot
	}
	after := b.ceiling(now)
	if after < before || lessTokens {
		// Others wait for the holder to know that this VM has let go.
		b.urge = true
	}
	return after > before || moreTokens
}

// behind says that the holder, when it sent a loan, did not know yet that the
// upstream has turned cold.
func (b *Borrower) behind(l lender.Loan) bool {
	return slices.Contains(b.past, l.Boot) || b.cold && (b.coldAsk == 0 || l.Echo < b.coldAsk)
}

// View gives the upstream as it is known now.
func (b *Borrower) View(now time.Time) View {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.loan
	return View{
		Free: max(0, b.ceiling(now)-b.used), Mine: b.used,
		Slots: l.Limit, Cold: l.Cold || b.cold, Boot: b.boot,
		Running: l.Running, Waiting: l.Waiting, Used: l.Used, Memory: l.Memory, PrefillLeft: l.Left,
		Age: now.Sub(b.heard), Held: now.Before(b.until), Fence: b.fence,
	}
}
