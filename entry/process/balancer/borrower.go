package balancer

import (
	"slices"
	"time"
)

// A Borrower keeps account of the engines that a group has from others.
type Borrower struct {
	lastStamp int64
	lenders   map[string]*account
}

// An account is what a group has from one other group.
type account struct {
	// sent holds when requests were sent that may still be answered, by stamp, and
	// answered is the stamp of the last answer.
	sent     map[int64]time.Time
	answered int64
	held     map[string]heldLoan
	// returned are the loans that are given back, and when. They are listed in each
	// request for twice the length of a loan, since requests may be lost.
	returned map[Loan]time.Time
	length   time.Duration
}

type heldLoan struct {
	number int64
	until  time.Time
}

// answerAge is the age from which a request is no longer answered.
const answerAge = 10 * time.Second

// NewBorrower returns a Borrower that holds nothing.
func NewBorrower() *Borrower { return &Borrower{lenders: make(map[string]*account)} }

func (b *Borrower) account(lender string) *account {
	o, ok := b.lenders[lender]
	if !ok {
		o = &account{sent: make(map[int64]time.Time), held: make(map[string]heldLoan), returned: make(map[Loan]time.Time)}
		b.lenders[lender] = o
	}
	return o
}

// Request returns the request to send now to the leader of another group, for wanted
// engines altogether.
func (b *Borrower) Request(now time.Time, lender string, wanted int) Request {
	o := b.account(lender)
	o.expire(now)
	b.lastStamp = max(b.lastStamp+1, now.UnixNano())
	o.sent[b.lastStamp] = now
	r := Request{Stamp: b.lastStamp, Wanted: wanted}
	for engine, h := range o.held {
		r.Held = append(r.Held, Loan{engine, h.number})
	}
	for l, at := range o.returned {
		if now.Sub(at) <= 2*o.length {
			r.Returned = append(r.Returned, l)
		}
	}
	sortLoans(r.Held)
	sortLoans(r.Returned)
	return r
}

// Accept records an answer and returns the engines that are new. Engines that an answer
// no longer lists are given back.
func (b *Borrower) Accept(now time.Time, lender string, a Answer) (begun []string) {
	o := b.account(lender)
	sentAt, ok := o.sent[a.Stamp]
	if !ok || a.Stamp <= o.answered {
		return nil
	}
	o.answered, o.length = a.Stamp, a.Length
	o.expire(now)
	listed := make(map[string]bool, len(a.Loans))
	until := sentAt.Add(a.Length)
	for _, l := range a.Loans {
		if _, given := o.returned[l]; given || !now.Before(until) {
			continue
		}
		listed[l.Engine] = true
		if h, ok := o.held[l.Engine]; !ok || h.number != l.Number {
			begun = append(begun, l.Engine)
		}
		o.held[l.Engine] = heldLoan{l.Number, until}
	}
	for engine, h := range o.held {
		if !listed[engine] {
			o.giveBack(now, Loan{engine, h.number})
		}
	}
	return begun
}

// Return gives back engines that the lender has recalled and reports whether any of them
// was held. A loan that was recalled before its answer arrived is not begun.
func (b *Borrower) Return(now time.Time, lender string, loans []Loan) (held bool) {
	o := b.account(lender)
	for _, l := range loans {
		h, ok := o.held[l.Engine]
		held = held || (ok && h.number == l.Number)
		o.giveBack(now, l)
	}
	return held
}

// ReturnAll gives back everything.
func (b *Borrower) ReturnAll(now time.Time) {
	for _, o := range b.lenders {
		for engine, h := range o.held {
			o.giveBack(now, Loan{engine, h.number})
		}
	}
}

// Lenders returns the groups whose engines are held, or were given back so recently that
// the lender may not know it.
func (b *Borrower) Lenders(now time.Time) []string {
	var all []string
	for lender, o := range b.lenders {
		o.expire(now)
		open := len(o.held) > 0
		for _, at := range o.returned {
			open = open || now.Sub(at) <= 2*o.length
		}
		if open {
			all = append(all, lender)
		}
	}
	slices.Sort(all)
	return all
}

// Count returns the number of engines held from a group.
func (b *Borrower) Count(now time.Time, lender string) int {
	o := b.account(lender)
	o.expire(now)
	return len(o.held)
}

// Held returns until when each engine of others may be used.
func (b *Borrower) Held(now time.Time) map[string]time.Time {
	all := make(map[string]time.Time)
	for _, o := range b.lenders {
		o.expire(now)
		for engine, h := range o.held {
			all[engine] = h.until
		}
	}
	return all
}

// giveBack ends the use of an engine.
func (o *account) giveBack(now time.Time, l Loan) {
	if h, ok := o.held[l.Engine]; ok && h.number == l.Number {
		delete(o.held, l.Engine)
	}
	if _, ok := o.returned[l]; !ok {
		o.returned[l] = now
	}
}

func (o *account) expire(now time.Time) {
	for engine, h := range o.held {
		if !now.Before(h.until) {
			delete(o.held, engine)
		}
	}
	for stamp, at := range o.sent {
		if now.Sub(at) > answerAge {
			delete(o.sent, stamp)
		}
	}
	for l, at := range o.returned {
		if now.Sub(at) > answerAge {
			delete(o.returned, l)
		}
	}
}
