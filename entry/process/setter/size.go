package setter

import (
	"fmt"
	"strconv"
	"strings"
)

// A Size is a number of bytes that settings write as "64MiB".
type Size int64

// units are in falling order, so that a size is written in the largest one
// that divides it. "B" comes last because it ends all the others.
var units = []struct {
	name  string
	bytes int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// UnmarshalText reads a whole number of B, KiB, MiB or GiB.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range units {
		digits, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.bytes {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return fmt.Errorf("%q is not a size such as 64MiB, 16KiB or 512B", text)
}

// MarshalText writes the form that UnmarshalText reads.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// String writes the size in the largest unit that divides it.
func (s Size) String() string {
	for _, u := range units {
		if int64(s)%u.bytes == 0 && s != 0 {
			return strconv.FormatInt(int64(s)/u.bytes, 10) + u.name
		}
	}
	return "0B"
}
