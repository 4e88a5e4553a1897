package lender

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Share is how many slots of an upstream are the fixed share of a seat. Half of
// the slots, rounded down, are dealt over all seats; where that doesn't come
// out even, the order in which the rest is dealt is the upstream's own, so that
// no seat has more of everything. Every VM computes the same.
func Share(upstream string, slots, seats, seat int) int {
	if seats <= 0 || seat < 0 || seat >= seats {
		return 0
	}
	half := slots / 2
	share := half / seats
	if rank(upstream, seats, seat) < half%seats {
		share++
	}
	return share
}

// rank is a seat's place in an upstream's own order of seats.
func rank(upstream string, seats, seat int) int {
	order := make([]int, seats)
	for n := range order {
		order[n] = n
	}
	sum := func(n int) uint64 { return xxhash.Sum64String(upstream + "/" + strconv.Itoa(n)) }
	slices.SortFunc(order, func(a, b int) int {
		if sum(a) < sum(b) {
			return -1
		}
		return 1
	})
	return slices.Index(order, seat)
}
