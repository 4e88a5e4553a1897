package decoder

import "bytes"

// maxDepth limits the nesting of tables and arrays, and the number of dots in a
// dotted key. Manifests and settings need three levels.
const maxDepth = 16

// checkDepth returns the line at which the input exceeds maxDepth, or ok if it
// doesn't. The TOML library's running time is quadratic in the depth, and a
// deeply nested input takes it minutes. Without this check, a single hostile
// record on the log would keep every VM's processor busy, and the VMs would
// stop following the configuration. Strings and comments are skipped as TOML
// defines them.
func checkDepth(data []byte) (line int, ok bool) {
	s := scanner{data: data, line: 1}
	for s.pos < len(data) {
		if !s.step() {
			return s.line, false
		}
	}
	return 0, true
}

// scanner tracks the nesting depth and line number while it moves through TOML.
type scanner struct {
	data []byte
	pos  int
	line int

	openBrackets int
	keyDots      int // dots since the last delimiter or line break
}

func (s *scanner) step() bool {
	switch c := s.data[s.pos]; c {
	case '\n':
		s.line++
		s.keyDots = 0
	case '#':
		s.skip(bytes.IndexByte(s.data[s.pos:], '\n'))
		return true
	case '"', '\'':
		s.skipString(c)
		return true
	case '[', '{':
		s.openBrackets++
		s.keyDots = 0
	case ']', '}':
		s.openBrackets--
		s.keyDots = 0
	case '=', ',':
		s.keyDots = 0
	case '.':
		s.keyDots++
	}
	s.pos++
	return s.openBrackets <= maxDepth && s.keyDots <= maxDepth
}

// skip advances by n bytes, or to the end if n is negative.
func (s *scanner) skip(n int) {
	if n < 0 {
		n = len(s.data) - s.pos
	}
	s.pos += n
}

// skipString skips the string that starts with the quote at the current
// position.
func (s *scanner) skipString(quote byte) {
	triple := bytes.Repeat([]byte{quote}, 3)
	if bytes.HasPrefix(s.data[s.pos:], triple) {
		s.skipMultilineString(quote, triple)
		return
	}
	for s.pos++; s.pos < len(s.data); s.pos++ {
		switch c := s.data[s.pos]; {
		case c == '\n':
			return
		case c == '\\' && quote == '"':
			s.pos++
		case c == quote:
			s.pos++
			return
		}
	}
}

// skipMultilineString skips a multi-line string. Up to two quotes may directly
// precede the three that close it.
func (s *scanner) skipMultilineString(quote byte, triple []byte) {
	for s.pos += len(triple); s.pos < len(s.data); s.pos++ {
		switch c := s.data[s.pos]; {
		case c == '\n':
			s.line++
		case c == '\\' && quote == '"':
			s.pos++
		case bytes.HasPrefix(s.data[s.pos:], triple):
			s.pos += len(triple)
			for extra := 0; extra < 2 && s.pos < len(s.data) && s.data[s.pos] == quote; extra++ {
				s.pos++
			}
			return
		}
	}
}
