// Package fingerprinter computes fingerprints of requests and of parts of prompts, so that
// they are recognised when they arrive again, at another VM or after a restart. The hash is not
// cryptographic: it does not stop a caller who makes two of its own requests collide.
package fingerprinter

import (
	"encoding/hex"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Size is the length of a Fingerprint in bytes.
const Size = 8

// Fingerprint identifies a request by the hash of its fields.
type Fingerprint [Size]byte

// Request holds the fields by which two requests are the same. The request ID is not
// among them, as it differs each time.
type Request struct {
	Team, Method, Host, Target string
	Body                       []byte
}

// Of returns the fingerprint of a request.
func Of(q *Request) Fingerprint {
	var f Fingerprint
	d := xxhash.New()
	for _, s := range []string{q.Team, q.Method, q.Host, q.Target} {
		// The separator keeps host "h" with target "/p/" apart from host "h/p" with
		// target "/".
		io.WriteString(d, s+"\x00") //nolint:errcheck // a Digest does not fail
	}
	d.Write(q.Body) //nolint:errcheck // a Digest does not fail
	copy(f[:], d.Sum(nil))
	return f
}

// OfPart returns the fingerprint of a part of prompts that a service's upstreams answer.
// Teams share parts.
func OfPart(service, id string) Fingerprint {
	return Of(&Request{Method: "part", Host: service, Target: id})
}

// String returns the fingerprint in hexadecimal, as in log lines.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
