package coordinator

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathervane/heathervane/entry/process/borrower"
	"github.com/heathervane/heathervane/entry/process/claimer"
	"github.com/heathervane/heathervane/entry/process/lender"
	"github.com/heathervane/heathervane/entry/process/limiter"
	"github.com/heathervane/heathervane/entry/process/member"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/lister"
	"github.com/heathervane/heathervane/library/recorder"
)

// An Upstream is what a Node needs to know of one upstream.
type Upstream struct {
	Name, Address, Zone string
	// Slots and Cold are how many requests it runs when warm and when cold.
	Slots, Cold int
	// Memory is an engine's in tokens; 0 for a plain service.
	Memory int
	// Longest bounds the time of a request; 0 means Timings.Longest.
	Longest time.Duration
	// Out says that operators have taken it out of service.
	Out bool
}

// lists says whether the upstream lists its streams: engines do.
func (u Upstream) lists() bool { return u.Memory > 0 }

// A unit is one upstream at this VM.
type unit struct {
	Upstream
	borrower *borrower.Borrower
	deal     deal
	lender   *lender.Lender // while this process's claim is in force
	table    *lender.Table  // received from the holder before
	holds    bool
}

// A Node joins the state machines of one VM: who lives, who holds what, what is
// lent and borrowed. It has no goroutines and no network; the time and whatever
// arrives are arguments, and what is to be sent is returned.
type Node struct {
	c    Config
	mu   sync.Mutex // guards all but units, whose borrowers lock themselves
	last time.Time

	members *member.Table
	claims  *claimer.Machine
	seats   int
	clears  []Clear
	told    []note
	gave    *recorder.Claim
	leaving bool
	beat    time.Time
	tables  time.Time

	duty  duty
	units atomic.Pointer[map[string]*unit]
	names []string
}

type note struct {
	to string
	Told
}

// A Step is what a tick asks to be done.
type Step struct {
	Sends  []Send
	Claims []recorder.Claim
	Open   []member.Member
	// More says that more may be started here than before.
	More bool
	// Woke is how long the process was suspended; zero if it was not.
	Woke time.Duration
}

// A Send is one message to one VM.
type Send struct {
	To      string
	Message Message
}

// NewNode returns a Node without upstreams.
func NewNode(c Config) *Node {
	t := c.Timings
	n := &Node{
		c: c,
		members: member.New(member.Config{
			VM: c.VM, Zone: c.Zone, Address: c.Address, Boot: c.Boot,
			SuspectAfter: t.Suspect, GoneAfter: t.Dead, AbsentAfter: t.Absent,
		}),
		claims: claimer.New(claimer.Config{
			VM: c.VM, Boot: c.Boot, Zone: c.Zone, Address: c.Address, Lease: t.Lease, Life: t.Life, Drift: t.Drift, Keep: t.Keep,
		}),
	}
	n.units.Store(&map[string]*unit{})
	return n
}

// Configure sets the upstreams and the number of seats.
func (n *Node) Configure(upstreams []Upstream, seats int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := *n.units.Load()
	units := make(map[string]*unit, len(upstreams))
	n.names = n.names[:0]
	for _, u := range upstreams {
		if u.Longest == 0 {
			u.Longest = n.c.Timings.Longest
		}
		n.names = append(n.names, u.Name)
		k := old[u.Name]
		if k == nil || k.Address != u.Address {
			units[u.Name] = n.unit(u)
			continue
		}
		units[u.Name] = k
		if k.Out && !u.Out && k.lender != nil {
			k.lender.Returned()
		}
		k.Out = u.Out
		if k.Upstream != u {
			k.Upstream = u
			if k.lender != nil {
				k.lender.Resize(n.lending(u), limiter.New(u.Slots, u.Cold))
			}
		}
	}
	slices.Sort(n.names)
	n.seats = seats
	n.units.Store(&units)
}

func (n *Node) unit(u Upstream) *unit {
	t := n.c.Timings
	return &unit{Upstream: u, borrower: borrower.New(borrower.Config{
		Name: u.Name, Life: t.Life, Drift: t.Drift, Fresh: t.Fresh, Gap: t.Gap,
	})}
}

func (n *Node) get(name string) *unit { return (*n.units.Load())[name] }

// From is the offset to read claims from.
func (n *Node) From() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.claims.From()
}

// Read takes in claims; the reading began at a time.
func (n *Node) Read(began, now time.Time, b appender.Batch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.claims.Read(began, now, b)
	for _, m := range n.claims.Met() {
		n.members.AddClaimant(now, m.VM, m.Zone, m.Address, m.Boot)
	}
}

// List takes in the platform's list of VMs.
func (n *Node) List(now time.Time, list []lister.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.ApplyList(now, list)
}

// Handle takes in a message. It returns whether something is to be sent soon
// and whether more may be started here than before.
func (n *Node) Handle(now time.Time, from lender.Who, m Message) (more bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.Beat != nil && m.Beat.VM == from.VM && m.Beat.Boot == from.Boot {
		n.members.ReceiveHeartbeat(now, *m.Beat)
	}
	for _, a := range m.Asks {
		if u := n.get(a.Name); u != nil && u.lender != nil {
			u.lender.Handle(now, from, a)
		}
	}
	for _, l := range m.Loans {
		if u := n.get(l.Name); u != nil && n.lends(from, l) && u.borrower.Handle(now, l) {
			more = true
		}
	}
	for _, t := range m.Table {
		n.table(from, t)
	}
	for _, t := range m.Told {
		n.claims.Told(t.Name, from.VM, from.Boot, t.Fence)
	}
	for _, c := range m.Clear {
		n.clear(c)
	}
	return more
}

// lends says whether a loan comes from the holder that this VM knows of, under a
// fence of its claims. Without it a broken VM's loan with a fence far ahead would
// have all later loans refused. A loan under a claim that was not read yet is
// dropped; the holder answers the next ask with another.
func (n *Node) lends(from lender.Who, l lender.Loan) bool {
	c, known := n.claims.Claimed(l.Name)
	return known && c.VM == from.VM && c.Boot == from.Boot && c.Since <= l.Fence && l.Fence <= c.Offset
}

// table keeps a table for when the claim that hands over is read back.
func (n *Node) table(from lender.Who, t lender.Table) {
	u := n.get(t.Name)
	c, known := n.claims.Claimed(t.Name)
	if u == nil || !t.Sane() || known && (c.Offset != t.Fence || c.VM != from.VM || c.Boot != from.Boot) {
		return
	}
	u.table = &t
	n.claims.Tabled(t.Name, t.Fence)
	n.told = append(n.told, note{to: from.VM, Told: Told{Name: t.Name, Fence: t.Fence}})
}

// clear takes the word of a VM that has cancelled what a stopped process left. A
// process that may still run is not believed to be cleared.
func (n *Node) clear(c Clear) {
	u := n.get(c.Name)
	if u != nil && u.lender != nil && n.members.IsAbsent(n.last, c.VM, c.Boot) {
		u.lender.Cleared(lender.Who{VM: c.VM, Boot: c.Boot})
	}
}

// Cleared says that nothing of a stopped process runs at an upstream any more.
func (n *Node) Cleared(name, vm string, boot uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clears = append(n.clears, Clear{Name: name, VM: vm, Boot: boot})
}

// Loaded takes in an upstream's load report, asked for at a time.
func (n *Node) Loaded(asked, now time.Time, name string, load lender.Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	u := n.get(name)
	if u == nil {
		return
	}
	if u.lender != nil {
		u.lender.Loaded(now, load)
	}
	u.borrower.Warm(asked, load)
}

// Streams takes in an upstream's list of streams, asked for at a time.
func (n *Node) Streams(asked, now time.Time, name string, boot uint64, counts map[lender.Who]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if u := n.get(name); u != nil && u.lender != nil {
		u.lender.Streams(asked, now, boot, counts)
	}
}

// A Look is an upstream that should be asked for its load.
type Look struct {
	Name, Address string
	// Streams says that its list of streams is wanted, too.
	Streams bool
}

// Looks lists the upstreams to ask: those held here, and those whose share is
// in use without a holder.
func (n *Node) Looks(now time.Time) []Look {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Look
	for _, name := range n.names {
		u := n.get(name)
		held := u.lender != nil
		if held || u.borrower.Sharing(now) {
			streams := held && u.lists() && u.lender.Unsure(now)
			out = append(out, Look{Name: name, Address: u.Address, Streams: streams})
		}
	}
	return out
}

func (n *Node) lending(u Upstream) lender.Config {
	t := n.c.Timings
	return lender.Config{
		Name: u.Name, Slots: u.Slots, Cold: u.Cold, Memory: u.Memory, Life: t.Life, Drift: t.Drift,
		Fresh: t.Fresh, Settle: t.Settle, Longest: u.Longest, Lists: u.lists(),
	}
}

// newLender starts to hold an upstream.
func (n *Node) newLender(u *unit, fence uint64, now time.Time) {
	ready := n.claims.Ready(u.Name)
	known := ready && (u.table == nil || u.table.Known)
	u.lender = lender.New(n.lending(u.Upstream), limiter.New(u.Slots, u.Cold), fence, now, known)
	if ready && u.table != nil {
		u.lender.Import(now, *u.table)
	}
	u.table = nil
}
