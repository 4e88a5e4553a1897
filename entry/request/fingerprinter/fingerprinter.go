// Package fingerprinter names what a caller asks for, so that the same request is
// known again when it comes a second time, at another VM or after a restart. It is
// no proof against a caller who makes two of its own requests look alike.
package fingerprinter

import (
	"encoding/hex"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Size is the length of a Fingerprint in bytes.
const Size = 8

// A Fingerprint stands for a caller, a path and a body.
type Fingerprint [Size]byte

// A Request is what makes two requests the same. Their ids differ each time.
type Request struct {
	Team, Method, Host, Target string
	Body                       []byte
}

// Of is a request's fingerprint.
func Of(q *Request) Fingerprint {
	var f Fingerprint
	d := xxhash.New()
	for _, s := range []string{q.Team, q.Method, q.Host, q.Target} {
		// The separator keeps a path that begins like a host from passing for it.
		io.WriteString(d, s+"\x00") //nolint:errcheck // a Digest does not fail
	}
	d.Write(q.Body) //nolint:errcheck // a Digest does not fail
	copy(f[:], d.Sum(nil))
	return f
}

// String is the form that log lines bear.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
