package chatter_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/dispatcher"
)

func TestAWholeAnswer(t *testing.T) {
	e := newEngine(t, say("Hello ", "\"you\"", "\n"))
	r := newRig(t, manifest(e.address()))
	whole := r.post(t, question)
	assert.Equal(t, whole.status, http.StatusOK)
	assert.Assert(t, strings.Contains(whole.body, `"content":"Hello \"you\"\n"`), whole.body)
	assert.Equal(t, whole.header.Get("Heathervane-Ran"), "yes")
	chunks := r.post(t, streamed)
	assert.Equal(t, strings.Count(chunks.body, `"delta":{"content"`), 3)
	assert.Assert(t, strings.HasSuffix(chunks.body, "data: [DONE]\n\n"))
	assert.DeepEqual(t, r.outcomes(), []dispatcher.Outcome{dispatcher.Completed, dispatcher.Completed})
	assert.Equal(t, len(r.cancels.ids), 0)
	assert.Equal(t, r.bodies.Used(), int64(0))
}

// Whatever a caller sends that cannot be read or granted, it is told the place
// of it in plain words, nothing of it runs, and no place or memory stays taken.
func TestBadInput(t *testing.T) {
	long := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]}`, strings.Repeat("a", 9000))
	huge := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]}`, strings.Repeat("a", longest))
	tests := []struct {
		name, body string
		headers    []string
		status     int
		code       string
	}{
		{"no token", question, []string{"Authorization", ""}, 401, "unknown_token"},
		{"an unknown token", question, []string{"Authorization", "Bearer nobody"}, 401, "unknown_token"},
		{"another scheme", question, []string{"Authorization", "Basic " + bearer}, 401, "unknown_token"},
		{"bad JSON", `{"model":`, nil, 400, "bad_json"},
		{"an unknown model", strings.Replace(question, `"m"`, `"x"`, 1), nil, 404, "model_not_found"},
		{"a prompt over the bound", long, nil, 400, "context_length_exceeded"},
		{"an oversized body", huge, nil, 413, "body_too_large"},
		{"a timeout that is no number", question, []string{"Request-Timeout", "soon"}, 400, "bad_timeout"},
		{"a timeout that is no finite number", question, []string{"Request-Timeout", "NaN"}, 400, "bad_timeout"},
		{"a timeout below the bound", question, []string{"Request-Timeout", "0.01"}, 400, "bad_timeout"},
		{"a timeout above the bound", question, []string{"Request-Timeout", "11"}, 400, "bad_timeout"},
		{"an oversized header", question, []string{"X-Long", strings.Repeat("a", 32<<10)}, 431, ""},
	}
	e := newEngine(t, say("no"))
	r := newRig(t, manifest(e.address()))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := r.post(t, test.body, test.headers...)
			assert.Equal(t, got.status, test.status, got.body)
			if test.code != "" {
				assert.Assert(t, strings.Contains(got.body, `"code":"`+test.code+`"`), got.body)
				assert.Equal(t, got.header.Get("Heathervane-Ran"), "no")
			}
		})
	}
	assert.Equal(t, e.begun, 0)
	assert.Equal(t, len(r.places.given), 0)
	assert.Equal(t, r.bodies.Used(), int64(0))
}

// A caller announces a body, sends half of it and stops, or goes away. It must
// not hold memory that other callers' prompts need.
func TestHalfABodyHoldsNothing(t *testing.T) {
	r := newRig(t, manifest())
	for _, leaves := range []bool{false, true} {
		c, err := new(net.Dialer).DialContext(t.Context(), "tcp", r.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 4000\r\n\r\n{\"mod", bearer)
		assert.NilError(t, err)
		if !leaves {
			status, err := bufio.NewReader(c).ReadString('\n')
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(status, "408"), status)
		}
		c.Close()
	}
	r.Close()
	assert.Equal(t, r.bodies.Used(), int64(0))
}

// Prompts of a million tokens arrive at once on a VM with little memory. The
// one too many is refused at once, as not run, instead of ending the process.
func TestBodiesAreBoundedTogether(t *testing.T) {
	r := newRig(t, manifest())
	assert.Assert(t, r.bodies.TryAcquire(budget-1000))
	got := r.post(t, question+strings.Repeat(" ", 2000))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(got.body, `"code":"memory"`), got.body)
	assert.Equal(t, got.header.Get("Retry-After"), "1")
}
