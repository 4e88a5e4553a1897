package lender

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Deal is the fixed share of each seat in an upstream's slots. Half of the
// slots, rounded down, are dealt over all seats; where that doesn't come out
// even, the order in which the rest is dealt is the upstream's own, so that no
// seat has more of everything. Every VM computes the same.
func Deal(upstream string, slots, seats int) []int {
	if seats <= 0 {
		return nil
	}
	half := slots / 2
	shares := make([]int, seats)
	for place, seat := range order(upstream, seats) {
		shares[seat] = half / seats
		if place < half%seats {
			shares[seat]++
		}
	}
	return shares
}

// Share is how many slots of an upstream are the fixed share of one seat.
func Share(upstream string, slots, seats, seat int) int {
	if seat < 0 || seat >= seats {
		return 0
	}
	return Deal(upstream, slots, seats)[seat]
}

// order is an upstream's own order of the seats.
func order(upstream string, seats int) []int {
	sums := make([]uint64, seats)
	seatsInOrder := make([]int, seats)
	for n := range seatsInOrder {
		seatsInOrder[n] = n
		sums[n] = xxhash.Sum64String(upstream + "/" + strconv.Itoa(n))
	}
	slices.SortFunc(seatsInOrder, func(a, b int) int { return cmp.Compare(sums[a], sums[b]) })
	return seatsInOrder
}
