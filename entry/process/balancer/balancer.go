// Package balancer moves engines between the groups of a service. It answers load that
// is uneven between zones: the long prompts of one zone wait for engines without
// streams while those of another zone have nothing to do, although the unread work of
// both groups differs too little to move requests.
//
// A group with idle engines offers some. A group whose queue lasts asks for them and
// gets loans: each lends one engine until a time, and is renewed by further requests.
// The lender gives an engine to nobody else, nor uses it itself, until the borrower has
// returned it or the loan has ended. A loan ends at the borrower before it ends at the
// lender, whatever their clocks say and however late messages are: the borrower counts
// from when it sent the request that the lender answers.
//
// The package only decides: it reads no clock and sends nothing.
package balancer

import (
	"math"
	"time"
)

const (
	// DefaultLoan is how long a loan lasts unless renewed, where the settings leave it
	// open. After a lost message or leader an engine is unused for one loan at most.
	DefaultLoan = time.Second
	// DefaultPart is the largest part of a group's engines that may be lent, where the
	// settings leave it open.
	DefaultPart = 0.5
	// MaxLoans is the maximum number of engines that one group has from another, so that
	// a request for them fits into a datagram.
	MaxLoans = 12
	// readWithin is the time in milliseconds within which idle engines should have read
	// the queued prompts; a group with fewer engines than this takes asks for more. It is
	// the longest part of a prompt that does not make an engine unavailable for too long.
	readWithin = 600.0
	// reserveDivisor is the reciprocal of the part of a group's engines that stays idle
	// when others are lent. One long prompt of its own takes as many; with fewer, each
	// engine gets a longer part, which delays more streams than the borrower gains.
	reserveDivisor = 3
)

// Bounds limit lending.
type Bounds struct {
	// Loan is how long a loan lasts unless it is renewed.
	Loan time.Duration
	// Part is the largest part of a group's engines that may be lent.
	Part float64
}

// WithDefaults returns the bounds with defaults where they are not set.
func (b Bounds) WithDefaults() Bounds {
	if b.Loan <= 0 {
		b.Loan = DefaultLoan
	}
	if b.Part <= 0 {
		b.Part = DefaultPart
	}
	return b
}

// An Outlook is what a group of engines has to do.
type Outlook struct {
	// Engines is the number of engines of the group's zone that are usable, including
	// those that are lent, and Lent the number of those.
	Engines, Lent int
	// Idle is the number of engines that the group may use and that have no work.
	Idle int
	// Queued is the prefill time in milliseconds of the prompts that wait, and Expected
	// that of the prompts that are forecast to come soon above the usual.
	Queued, Expected float64
}

// enginesFor returns the number of engines that read prompts in time whose prefill takes
// one engine that many milliseconds.
func enginesFor(prefill float64) int { return int(math.Ceil(prefill / readWithin)) }

// Missing returns how many engines a group lacks for the prompts that wait. It asks for as
// many that it has lent back.
func (o Outlook) Missing() int { return max(0, enginesFor(o.Queued)-o.Idle) }

// Wanted returns how many engines a group lacks for the prompts that wait and for those
// that are forecast. Engines that a forecast borrows in vain are idle ones, which their
// own group gets back as soon as it misses them.
func (o Outlook) Wanted() int { return max(0, enginesFor(o.Queued+o.Expected)-o.Idle) }

// Offer returns how many more engines a group can lend, besides those that its own
// prompts need.
func (o Outlook) Offer(b Bounds) int {
	reserve := (o.Engines+reserveDivisor-1)/reserveDivisor + enginesFor(o.Queued+o.Expected)
	return max(0, min(o.Idle-reserve, int(b.Part*float64(o.Engines))-o.Lent))
}

// Share divides the engines that a group lacks among the offers of others, the largest
// first; the keys name the groups.
func Share(missing int, offers map[string]int) map[string]int {
	shares := make(map[string]int)
	for missing > 0 {
		best := ""
		for group, n := range offers {
			left := n - shares[group]
			if shares[group] >= MaxLoans || left <= 0 {
				continue
			}
			if most := offers[best] - shares[best]; best == "" || left > most || (left == most && group < best) {
				best = group
			}
		}
		if best == "" {
			break
		}
		shares[best]++
		missing--
	}
	return shares
}
