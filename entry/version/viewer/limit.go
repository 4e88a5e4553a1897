package viewer

import (
	"math"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// ErrTimeLimit is the class of errors for invalid or out-of-range time limits.
var ErrTimeLimit = errs.Class("time limit")

// parseTimeLimit parses a number of seconds, which may have a fraction. A limit out
// of range is an error instead of being clamped: a caller that asks for 200 ms and
// gets 5 s would not know that its limit was ignored.
func parseTimeLimit(text string, lower, upper time.Duration) (time.Duration, error) {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(s) || math.IsInf(s, 0) {
		return 0, ErrTimeLimit.New("%.40q is not a number of seconds", text)
	}
	if s < lower.Seconds() || s > upper.Seconds() {
		return 0, ErrTimeLimit.New("%.40s s is not between %g s and %g s", text, lower.Seconds(), upper.Seconds())
	}
	return time.Duration(s * float64(time.Second)), nil
}
