package decoder

import "bytes"

// maxDepth bounds nested tables and arrays, and the parts of a dotted key.
// Manifests and settings need three.
const maxDepth = 16

// tooDeep looks for nesting that the TOML library takes minutes over, since
// its work grows with the square of the depth: without the check one hostile
// record on the log keeps every VM's processor busy, which shows as VMs that
// stop following the configuration. It returns the line where the bound is
// passed. Strings and comments are skipped as TOML defines them.
func tooDeep(data []byte) (line int, ok bool) {
	s := scanner{data: data, line: 1}
	for s.at < len(data) {
		if !s.step() {
			return s.line, false
		}
	}
	return 0, true
}

type scanner struct {
	data []byte
	at   int
	line int

	open int
	dots int
}

func (s *scanner) step() bool {
	switch c := s.data[s.at]; c {
	case '\n':
		s.line++
		s.dots = 0
	case '#':
		s.skip(bytes.IndexByte(s.data[s.at:], '\n'))
		return true
	case '"', '\'':
		s.text(c)
		return true
	case '[', '{':
		s.open++
		s.dots = 0
	case ']', '}':
		s.open--
		s.dots = 0
	case '=', ',':
		s.dots = 0
	case '.':
		s.dots++
	}
	s.at++
	return s.open <= maxDepth && s.dots <= maxDepth
}

// skip moves n bytes on, or to the end where n is negative.
func (s *scanner) skip(n int) {
	if n < 0 {
		n = len(s.data) - s.at
	}
	s.at += n
}

// text skips a string that begins with the quote at the scanner's place.
func (s *scanner) text(quote byte) {
	triple := bytes.Repeat([]byte{quote}, 3)
	if bytes.HasPrefix(s.data[s.at:], triple) {
		s.lines(quote, triple)
		return
	}
	for s.at++; s.at < len(s.data); s.at++ {
		switch c := s.data[s.at]; {
		case c == '\n':
			return
		case c == '\\' && quote == '"':
			s.at++
		case c == quote:
			s.at++
			return
		}
	}
}

// lines skips a string over several lines. Up to two quotes may stand right
// before the three that close it.
func (s *scanner) lines(quote byte, triple []byte) {
	for s.at += len(triple); s.at < len(s.data); s.at++ {
		switch c := s.data[s.at]; {
		case c == '\n':
			s.line++
		case c == '\\' && quote == '"':
			s.at++
		case bytes.HasPrefix(s.data[s.at:], triple):
			s.at += len(triple)
			for extra := 0; extra < 2 && s.at < len(s.data) && s.data[s.at] == quote; extra++ {
				s.at++
			}
			return
		}
	}
}
