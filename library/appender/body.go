package appender

import (
	"bytes"
	"io"
)

// bodyOf hides the type of a reader from net/http, which would otherwise fill
// in what it needs to send a body again.
func bodyOf(data []byte) io.Reader {
	return struct{ io.Reader }{bytes.NewReader(data)}
}
