package lender

// most bounds any figure in a message: sums over all VMs must not overflow, or a
// broken peer's ask would make the sum small.
const most = 1 << 30

// Sane says whether an ask's figures can be true at all.
func (a Ask) Sane() bool { return sane(a.Used, a.Want, a.Held, a.Need) }

// Sane says whether a loan's figures can be true at all.
func (l Loan) Sane() bool {
	return sane(l.Life, l.Slots, l.Tokens, l.Share, l.Limit, l.Running, l.Waiting, l.Used, l.Memory, l.Left, l.Age)
}

// Sane says whether a load report's figures can be true at all.
func (l Load) Sane() bool { return sane(l.Running, l.Waiting, l.Used, l.Memory, l.Left) }

// Sane says whether a table's figures can be true at all.
func (t Table) Sane() bool {
	for _, e := range t.Entries {
		if !sane(e.Slots, e.Tokens) {
			return false
		}
	}
	return sane(t.Unknown)
}

func sane(figures ...int) bool {
	for _, n := range figures {
		if n < 0 || n > most {
			return false
		}
	}
	return true
}

// An Ask is what a borrower tells the holder of one upstream. It is encoded as
// an array: at today's size a VM sends some thirty of them a second.
type Ask struct {
	_ struct{} `cbor:",toarray"`
	// Name is the upstream.
	Name string
	// Seq counts the borrower's asks; an older one that comes late is ignored.
	Seq uint64
	// Fence and Ack name the last loan that the borrower has taken in.
	Fence, Ack uint64
	// Used is how many slots its work takes now, and Want how many it would
	// take if it could, those in use included.
	Used, Want int
	// Held and Need are the same in tokens of reserved memory.
	Held, Need int
	// Boot is the upstream's boot number that Done, Warm and Cold speak of.
	Boot uint64
	// Done counts the work completed by this borrower under Boot.
	Done uint64
	// Warm says that a holder has let it use its share under Boot.
	Warm bool
	// Cold says that it has seen the upstream turn cold under Boot.
	Cold bool
}

// A Loan is what the holder answers. It replaces every earlier one.
type Loan struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Fence is the offset of the holder's claim, and Seq counts its loans.
	Fence, Seq uint64
	// Echo is the Seq of the last ask that the holder has taken in. The loan's
	// life counts from when the borrower sent that one.
	Echo uint64
	// Life is in milliseconds.
	Life int
	// Boot is the boot number of the upstream that the loan is for.
	Boot uint64
	// Slots and Tokens are lent beside the fixed share; work in progress counts
	// against them.
	Slots, Tokens int
	// Share is how much of the borrower's fixed share may be used: all or 0. It
	// is a number because two VMs may differ for seconds over the configuration
	// that it follows from; the smaller one counts.
	Share int
	// Short says that others want more than there is: what this borrower no
	// longer wants should be told at once.
	Short bool
	// Limit is what the upstream bears now, Cold whether that is less than its
	// slots.
	Limit int
	Cold  bool
	// Load is what the upstream last reported, Age how old it was in
	// milliseconds when the loan was sent.
	Running, Waiting, Used, Memory, Left, Age int
}

// An Entry is one borrower in a table that a holder hands over.
type Entry struct {
	_      struct{} `cbor:",toarray"`
	VM     string
	Boot   uint64
	Slots  int
	Tokens int
	// Share says that it may be using its fixed share.
	Share bool
}

// A Table is what a holder hands to its successor.
type Table struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Fence uint64
	// Boot is the upstream's, Full whether it bore all its slots, and Unknown
	// its work that no borrower reports. Known says that nothing else runs there;
	// a holder that has just taken over from a dead one can't say so.
	Boot    uint64
	Full    bool
	Known   bool
	Unknown int
	Entries []Entry
}
