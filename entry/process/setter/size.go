package setter

import (
	"fmt"
	"strconv"
	"strings"
)

// A ByteSize is a number of bytes, written in settings as "64MiB", for example.
type ByteSize int64

// units is sorted from largest to smallest, so that String uses the largest
// unit that divides a size. "B" is last because it is a suffix of all the
// others.
var units = []struct {
	name  string
	bytes int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// UnmarshalText parses a whole number of B, KiB, MiB or GiB.
func (s *ByteSize) UnmarshalText(text []byte) error {
	for _, u := range units {
		digits, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.bytes {
			break
		}
		*s = ByteSize(n * u.bytes)
		return nil
	}
	return fmt.Errorf("%q is not a size such as 64MiB, 16KiB or 512B", text)
}

// MarshalText returns the form that UnmarshalText parses.
func (s ByteSize) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// String formats the size in the largest unit that divides it.
func (s ByteSize) String() string {
	for _, u := range units {
		if int64(s)%u.bytes == 0 && s != 0 {
			return strconv.FormatInt(int64(s)/u.bytes, 10) + u.name
		}
	}
	return "0B"
}
