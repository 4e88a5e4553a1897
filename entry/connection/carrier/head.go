package carrier

import (
	"errors"
	"io"
	"math"
	"strings"

	"github.com/zeebo/errs"
)

// ErrMalformed is the class of errors of responses that violate HTTP/1.1.
var ErrMalformed = errs.Class("malformed response")

const noLimit = math.MaxInt

// A headReader limits and checks the bytes that are read while the head of a response is
// parsed. It passes on those of the body as they are.
type headReader struct {
	r io.Reader
	// remaining is the number of bytes that may still be read for the head. An endless head
	// from a broken upstream would exhaust the memory of a small VM.
	remaining int
	checker   headChecker
	// err is the first error while the head was read. The parser may replace it: it parses a
	// line that the end of the connection has cut off.
	err error
}

// begin starts the head of a response, including the interim responses before it, and end
// ends it.
func (h *headReader) begin() { h.remaining, h.checker, h.err = maxHeaderSize, headChecker{}, nil }
func (h *headReader) end()   { h.remaining = noLimit }

// cause returns the error that has caused an error of the parser.
func (h *headReader) cause(parseErr error) error {
	switch {
	case h.err == nil:
		return parseErr
	case errors.Is(h.err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return h.err
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.remaining == noLimit {
		return h.r.Read(p)
	}
	n, err := h.readHead(p)
	if h.err == nil {
		h.err = err
	}
	return n, err
}

func (h *headReader) readHead(p []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, Error.New("response header exceeds %d bytes", maxHeaderSize)
	}
	n, err := h.r.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	if malformed := h.checker.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// A headPart is a part of the head of a response.
type headPart int

const (
	versionPart headPart = iota
	statusPart
	// textPart is a reason or the value of a field.
	textPart
	// textEndPart is the line feed after a carriage return that ends a line.
	textEndPart
	// linePart is the first byte of a line after the status line.
	linePart
	namePart
	// headEndPart is the line feed after a carriage return that begins a line.
	headEndPart
	// bodyPart is everything after the head.
	bodyPart
)

// version is the beginning of a head. The minor version follows it.
const version = "HTTP/1."

// A headChecker checks the heads of a response and of the interim responses before it against
// RFC 9112, sections 2.2, 4 and 5, as they are received. The parser of net/http is more
// lenient: it accepts statuses that HTTP does not have, and spaces in the names of fields.
// Folded values, which RFC 9112 lets a proxy refuse, cannot be told from names after a space.
type headChecker struct {
	part headPart
	// count is the number of bytes of the version or status so far. In the name of a field, it
	// is the number of bytes that match transferEncoding, or -1 after a mismatch.
	count int
	// interim is set if the response is an interim one, encoded if it has a field
	// Transfer-Encoding.
	interim, encoded bool
}

// check checks the next bytes that were received.
func (c *headChecker) check(data []byte) error {
	for _, b := range data {
		if c.part == bodyPart {
			return nil
		}
		part := c.part
		if !c.accept(b) {
			return ErrMalformed.New("byte %q in the %s", b, part)
		}
	}
	return nil
}

// accept reports whether a byte may come next, and advances past it.
func (c *headChecker) accept(b byte) bool {
	switch c.part {
	case versionPart:
		return c.acceptVersion(b)
	case statusPart:
		return c.acceptStatus(b)
	case linePart:
		return c.acceptLine(b)
	case namePart:
		return c.acceptName(b)
	case textPart:
		return c.acceptText(b)
	case textEndPart:
		c.part = linePart
		return b == '\n'
	default:
		c.endHead()
		return b == '\n'
	}
}

func (c *headChecker) acceptVersion(b byte) bool {
	c.count++
	switch {
	case c.count <= len(version):
		return b == version[c.count-1]
	case c.count == len(version)+1:
		return isDigit(b)
	}
	c.part, c.count = statusPart, 0
	return b == ' '
}

// statusDigits is the number of digits of a status.
const statusDigits = 3

func (c *headChecker) acceptStatus(b byte) bool {
	c.count++
	switch {
	case c.count == 1:
		c.interim = b == '1'
		return '1' <= b && b <= '5'
	case c.count <= statusDigits:
		return isDigit(b)
	case b == ' ':
		c.part = textPart
		return true
	}
	return c.endLine(b)
}

func (c *headChecker) acceptText(b byte) bool {
	return b == '\t' || (b >= ' ' && b != del) || c.endLine(b)
}

// endLine reports whether a byte ends a line, and advances past it.
func (c *headChecker) endLine(b byte) bool {
	switch b {
	case '\r':
		c.part = textEndPart
	case '\n':
		c.part = linePart
	default:
		return false
	}
	return true
}

func (c *headChecker) acceptLine(b byte) bool {
	switch b {
	case '\r':
		c.part = headEndPart
	case '\n':
		c.endHead()
	default:
		c.part, c.count = namePart, 0
		return b != ':' && c.acceptName(b)
	}
	return true
}

// transferEncoding is the lower-case name of the field that states chunks.
const transferEncoding = "transfer-encoding"

func (c *headChecker) acceptName(b byte) bool {
	if b == ':' {
		c.encoded = c.encoded || c.count == len(transferEncoding)
		c.part = textPart
		return true
	}
	if c.count >= 0 && c.count < len(transferEncoding) && toLower(b) == transferEncoding[c.count] {
		c.count++
	} else {
		c.count = -1
	}
	return isTokenByte(b)
}

// endHead advances to the body or, after an interim response, to the next head.
func (c *headChecker) endHead() {
	if !c.interim {
		c.part = bodyPart
		return
	}
	*c = headChecker{}
}

// del is the only control byte of ASCII above the printable ones.
const del = 0x7f

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func toLower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	return b
}

// isTokenByte reports whether a byte may be part of a token, as in RFC 9110, section 5.6.2.
func isTokenByte(b byte) bool {
	return isDigit(b) || ('a' <= b && b <= 'z') || ('A' <= b && b <= 'Z') || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isToken reports whether a string is a token, as the name of a field must be.
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

// String returns the name of a part in messages.
func (p headPart) String() string {
	return [...]string{"version", "status", "text of a line", "end of a line", "beginning of a line", "name of a field", "end of the head", "body"}[p]
}
