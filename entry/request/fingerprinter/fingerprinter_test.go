package fingerprinter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/request/fingerprinter"
)

// If two requests of a caller had the same fingerprint, one would be refused for the
// failures of the other.
func TestOnlyTheSameRequestHasTheSameFingerprint(t *testing.T) {
	base := fingerprinter.Request{Team: "t", Method: "POST", Host: "h", Target: "/p/", Body: []byte("body")}
	same := base
	same.Body = []byte("body")
	assert.Equal(t, fingerprinter.Of(&base), fingerprinter.Of(&same))
	for name, change := range map[string]func(*fingerprinter.Request){
		"team":   func(q *fingerprinter.Request) { q.Team = "u" },
		"method": func(q *fingerprinter.Request) { q.Method = "PUT" },
		"host":   func(q *fingerprinter.Request) { q.Host, q.Target = "h/p", "/" },
		"target": func(q *fingerprinter.Request) { q.Target = "/p/?q" },
		"body":   func(q *fingerprinter.Request) { q.Body = []byte("bodY") },
		"none":   func(q *fingerprinter.Request) { q.Body = nil },
	} {
		other := base
		change(&other)
		assert.Assert(t, fingerprinter.Of(&base) != fingerprinter.Of(&other), name)
	}
}
