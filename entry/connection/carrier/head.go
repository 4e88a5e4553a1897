package carrier

import (
	"errors"
	"io"
	"math"
	"strings"

	"github.com/zeebo/errs"
)

// ErrMalformed is the class of responses that are none in HTTP/1.1.
var ErrMalformed = errs.Class("malformed response")

const noLimit = math.MaxInt

// A headReader limits and checks what is read while the head of a response is parsed.
type headReader struct {
	r io.Reader
	// remaining is the number of bytes that may be read. An endless head from a broken
	// upstream would exhaust the memory of a small VM.
	remaining int
	head      headChecker
	// err is why no more of the head could be read. A parser that has a part of a line may
	// return another error.
	err error
}

// begin starts to read a head, after interim responses if there are any, and end stops.
func (h *headReader) begin() { h.remaining, h.head, h.err = maxHeaderSize, headChecker{}, nil }
func (h *headReader) end()   { h.remaining = noLimit }

// cause returns the cause of a parser's error.
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
	if malformed := h.head.check(p[:n]); malformed != nil {
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

// version is how all heads begin, apart from the minor version and a blank.
const version = "HTTP/1."

// A headChecker checks the heads of a response, the interim ones too, as they are received. It
// requires what RFC 9112 does, where net/http's parser does not: that takes any number that
// fits for a status, and a blank for a part of a name. A line that begins with a blank is
// refused too, as a name with a blank before it cannot be told from a folded value.
type headChecker struct {
	part headPart
	// count is the number of bytes of the version or of the status so far, or of the name of a
	// field while it is like that of Transfer-Encoding; -1 once it is not.
	count int
	// interim is set if the status is that of an interim response, and encoded once the head has
	// a field Transfer-Encoding.
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

// accept reports whether the head may go on with a byte.
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

// endLine reports whether a byte ends a line, and goes on to the next one.
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

// transferEncoding is the name of the field that states chunks, in lower case.
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

// endHead goes on to the body, or to the next head after an interim response.
func (c *headChecker) endHead() {
	if !c.interim {
		c.part = bodyPart
		return
	}
	*c = headChecker{}
}

// del is the control byte beyond the printable ones.
const del = 0x7f

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func toLower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	return b
}

// isTokenByte reports whether a byte may be in the name of a field, as in RFC 9110, section 5.6.2.
func isTokenByte(b byte) bool {
	return isDigit(b) || ('a' <= b && b <= 'z') || ('A' <= b && b <= 'Z') || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isToken reports whether a string may be the name of a field.
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
