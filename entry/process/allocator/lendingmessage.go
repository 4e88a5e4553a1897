package allocator

import (
	"github.com/heathervane/heathervane/entry/process/balancer"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// The messages about lending are maps rather than arrays, so that fields can be added.

// wireOffer is the number of engines that a group can lend.
type wireOffer struct {
	Group   wireGroup `cbor:"1,keyasint"`
	Engines int       `cbor:"2,keyasint"`
}

type wireLoan struct {
	Engine string `cbor:"1,keyasint"`
	Number int64  `cbor:"2,keyasint"`
}

func wireLoans(loans []balancer.Loan) []wireLoan {
	all := make([]wireLoan, len(loans))
	for i, l := range loans {
		all[i] = wireLoan(l)
	}
	return all
}

func loansOf(wire []wireLoan) []balancer.Loan {
	all := make([]balancer.Loan, len(wire))
	for i, w := range wire {
		all[i] = balancer.Loan(w)
	}
	return all
}

// wireLoanRequest asks the leader of the group Lender for engines, for the group of the
// zone Borrower of the same service.
type wireLoanRequest struct {
	Lender   wireGroup  `cbor:"1,keyasint"`
	Borrower string     `cbor:"2,keyasint"`
	Stamp    int64      `cbor:"3,keyasint"`
	Wanted   int        `cbor:"4,keyasint,omitempty"`
	Held     []wireLoan `cbor:"5,keyasint,omitempty"`
	Returned []wireLoan `cbor:"6,keyasint,omitempty"`
}

func newWireLoanRequest(lender, borrower Group, r balancer.Request) wireLoanRequest {
	return wireLoanRequest{Lender: lender.wire(), Borrower: borrower.Zone, Stamp: r.Stamp, Wanted: r.Wanted, Held: wireLoans(r.Held), Returned: wireLoans(r.Returned)}
}

func (w *wireLoanRequest) request() balancer.Request {
	return balancer.Request{Stamp: w.Stamp, Wanted: w.Wanted, Held: loansOf(w.Held), Returned: loansOf(w.Returned)}
}

// wireLoanAnswer lists what a borrower has, for Length milliseconds from when it sent the
// request with the Stamp.
type wireLoanAnswer struct {
	Lender   wireGroup  `cbor:"1,keyasint"`
	Borrower string     `cbor:"2,keyasint"`
	Stamp    int64      `cbor:"3,keyasint"`
	Length   int64      `cbor:"4,keyasint"`
	Loans    []wireLoan `cbor:"5,keyasint,omitempty"`
}

// wireRecall asks for engines back.
type wireRecall struct {
	Lender   wireGroup  `cbor:"1,keyasint"`
	Borrower string     `cbor:"2,keyasint"`
	Loans    []wireLoan `cbor:"3,keyasint"`
}

// wireForeignLoad is what the group From has in progress at an upstream that the group To
// uses.
type wireForeignLoad struct {
	From           wireGroup `cbor:"1,keyasint"`
	To             wireGroup `cbor:"2,keyasint"`
	Upstream       string    `cbor:"3,keyasint"`
	Streams        int       `cbor:"4,keyasint,omitempty"`
	ContextTokens  int       `cbor:"5,keyasint,omitempty"`
	PendingPrefill float64   `cbor:"6,keyasint,omitempty"`
	Starting       int       `cbor:"7,keyasint,omitempty"`
	Parts          int       `cbor:"8,keyasint,omitempty"`
	// PauseWeights holds those that are not zero, by bucket.
	PauseWeights map[int]int32 `cbor:"9,keyasint,omitempty"`
}

func newWireForeignLoad(from, to Group, upstream string, l placer.Load) wireForeignLoad {
	w := wireForeignLoad{
		From: from.wire(), To: to.wire(), Upstream: upstream, Streams: l.Streams, ContextTokens: l.ContextTokens,
		PendingPrefill: l.PendingPrefill, Starting: l.Starting, Parts: l.Parts,
	}
	for i, n := range l.PauseWeights {
		if n != 0 {
			if w.PauseWeights == nil {
				w.PauseWeights = make(map[int]int32)
			}
			w.PauseWeights[i] = n
		}
	}
	return w
}

func (w *wireForeignLoad) load() placer.Load {
	l := placer.Load{Streams: w.Streams, ContextTokens: w.ContextTokens, PendingPrefill: w.PendingPrefill, Starting: w.Starting, Parts: w.Parts}
	for i, n := range w.PauseWeights {
		if i >= 0 && i < placer.PauseBuckets {
			l.PauseWeights[i] = n
		}
	}
	return l
}
