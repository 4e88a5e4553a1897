package balancer

import (
	"cmp"
	"slices"
	"time"
)

// A Loan is an engine that is lent. Number tells loans of the same engine apart.
type Loan struct {
	Engine string
	Number int64
}

// A Holder is who has borrowed engines: the VM that leads the group of a zone.
type Holder struct{ Zone, VM string }

// A Request asks a lender for engines, renews those that the borrower holds and returns
// those that it no longer uses.
type Request struct {
	// Stamp grows with each request of a VM.
	Stamp int64
	// Wanted is how many engines the borrower wants altogether.
	Wanted         int
	Held, Returned []Loan
}

// An Answer lists all engines that a borrower has, for Length from when it sent the
// request with the Stamp.
type Answer struct {
	Stamp  int64
	Length time.Duration
	Loans  []Loan
}

// A Lender keeps account of the engines that a group has lent.
type Lender struct {
	loans      map[string]*loan
	lastNumber int64
	// stamps are those of the last request of each holder.
	stamps map[Holder]stamp
}

type stamp struct {
	value int64
	at    time.Time
}

// stampAge is how long the stamp of a holder that sends nothing is kept; later requests
// of the same age are not expected.
const stampAge = time.Minute

type loan struct {
	Loan
	holder   Holder
	until    time.Time
	recalled bool
}

// NewLender returns a Lender that has lent nothing.
func NewLender() *Lender {
	return &Lender{loans: make(map[string]*loan), stamps: make(map[Holder]stamp)}
}

// Answer answers a request. spare are the engines that may be lent now, best first. It
// returns false for a request that arrives after a later one of the same holder, which
// gets no answer.
//
// An engine that the borrower holds and that this Lender does not know as lent was lent
// by an earlier leader of the group; the loan goes on.
func (l *Lender) Answer(now time.Time, h Holder, r Request, spare []string, b Bounds) (a Answer, ok bool) {
	if r.Stamp <= l.stamps[h].value {
		return Answer{}, false
	}
	l.stamps[h] = stamp{r.Stamp, now}
	l.expire(now)
	for _, returned := range r.Returned {
		if o := l.loans[returned.Engine]; o != nil && o.holder == h && o.Number == returned.Number {
			delete(l.loans, returned.Engine)
		}
	}
	for _, held := range r.Held {
		if l.loans[held.Engine] == nil {
			l.loans[held.Engine] = &loan{Loan: held, holder: h}
			l.lastNumber = max(l.lastNumber, held.Number)
		}
	}
	a = Answer{Stamp: r.Stamp, Length: b.Loan}
	for _, o := range l.loans {
		if o.holder == h && !o.recalled {
			o.until = now.Add(b.Loan)
			a.Loans = append(a.Loans, o.Loan)
		}
	}
	for _, engine := range spare {
		if len(a.Loans) >= min(r.Wanted, MaxLoans) {
			break
		}
		if l.loans[engine] != nil {
			continue
		}
		l.lastNumber = max(l.lastNumber+1, now.UnixNano())
		o := &loan{Loan: Loan{engine, l.lastNumber}, holder: h, until: now.Add(b.Loan)}
		l.loans[engine] = o
		a.Loans = append(a.Loans, o.Loan)
	}
	sortLoans(a.Loans)
	return a, true
}

// Recall asks for n engines back, those with the least time left first, and returns all
// that have been asked for, by holder. Their loans are not renewed.
func (l *Lender) Recall(now time.Time, n int) map[Holder][]Loan {
	l.expire(now)
	var all []*loan
	for _, o := range l.loans {
		all = append(all, o)
	}
	slices.SortFunc(all, func(x, y *loan) int {
		return cmp.Or(x.until.Compare(y.until), cmp.Compare(x.Engine, y.Engine))
	})
	recalled := make(map[Holder][]Loan)
	for _, o := range all {
		if o.recalled {
			n--
		}
	}
	for _, o := range all {
		if !o.recalled && n > 0 {
			o.recalled = true
			n--
		}
		if o.recalled {
			recalled[o.holder] = append(recalled[o.holder], o.Loan)
		}
	}
	return recalled
}

// Lent returns until when each engine is lent.
func (l *Lender) Lent(now time.Time) map[string]time.Time {
	l.expire(now)
	lent := make(map[string]time.Time, len(l.loans))
	for engine, o := range l.loans {
		lent[engine] = o.until
	}
	return lent
}

// Holder returns who has an engine.
func (l *Lender) Holder(now time.Time, engine string) (Holder, bool) {
	o := l.loans[engine]
	if o == nil || !now.Before(o.until) {
		return Holder{}, false
	}
	return o.holder, true
}

func (l *Lender) expire(now time.Time) {
	for engine, o := range l.loans {
		if !o.until.IsZero() && !now.Before(o.until) {
			delete(l.loans, engine)
		}
	}
	for h, s := range l.stamps {
		if now.Sub(s.at) > stampAge {
			delete(l.stamps, h)
		}
	}
}

func sortLoans(loans []Loan) {
	slices.SortFunc(loans, func(x, y Loan) int { return cmp.Compare(x.Engine, y.Engine) })
}
