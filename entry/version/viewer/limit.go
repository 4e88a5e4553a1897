package viewer

import (
	"math"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// ErrTimeLimit is a time limit that cannot be granted.
var ErrTimeLimit = errs.Class("time limit")

// parseLimit reads seconds, with a fraction allowed. A limit out of bounds is
// refused, not moved to the bound: a caller who asks for 200 ms and gets 5 s
// has been told nothing.
func parseLimit(text string, least, most time.Duration) (time.Duration, error) {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(s) || math.IsInf(s, 0) {
		return 0, ErrTimeLimit.New("%.40q is not a number of seconds", text)
	}
	if s < least.Seconds() || s > most.Seconds() {
		return 0, ErrTimeLimit.New("%.40s s is not between %g s and %g s", text, least.Seconds(), most.Seconds())
	}
	return time.Duration(s * float64(time.Second)), nil
}
