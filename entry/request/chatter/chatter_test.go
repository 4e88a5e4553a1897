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

func TestCompleteResponse(t *testing.T) {
	e := newEngine(t, sendTokens("Hello ", "\"you\"", "\n"))
	r := newTestServer(t, newManifest(e.address()))
	single := r.post(t, requestBody)
	assert.Equal(t, single.status, http.StatusOK)
	assert.Assert(t, strings.Contains(single.body, `"content":"Hello \"you\"\n"`), single.body)
	assert.Equal(t, single.header.Get("Heathervane-Ran"), "yes")
	stream := r.post(t, streamingBody)
	assert.Equal(t, strings.Count(stream.body, `"delta":{"content"`), 3)
	assert.Assert(t, strings.HasSuffix(stream.body, "data: [DONE]\n\n"))
	assert.DeepEqual(t, r.outcomes(), []dispatcher.Outcome{dispatcher.Completed, dispatcher.Completed})
	assert.Equal(t, len(r.canceller.ids), 0)
	assert.Equal(t, r.bodies.Used(), int64(0))
}

// An invalid request must be rejected as not run, with a code that names the
// problem, and must leave no slot or memory in use.
func TestInvalidInput(t *testing.T) {
	long := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]}`, strings.Repeat("a", 9000))
	huge := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]}`, strings.Repeat("a", maxBodyBytes))
	tests := []struct {
		name, body string
		headers    []string
		status     int
		code       string
	}{
		{"no token", requestBody, []string{"Authorization", ""}, 401, "unknown_token"},
		{"an unknown token", requestBody, []string{"Authorization", "Bearer nobody"}, 401, "unknown_token"},
		{"an unsupported scheme", requestBody, []string{"Authorization", "Basic " + bearer}, 401, "unknown_token"},
		{"invalid JSON", `{"model":`, nil, 400, "bad_json"},
		{"an unknown model", strings.Replace(requestBody, `"m"`, `"x"`, 1), nil, 404, "model_not_found"},
		{"a prompt over the context length", long, nil, 400, "context_length_exceeded"},
		{"an oversized body", huge, nil, 413, "body_too_large"},
		{"a timeout that is not a number", requestBody, []string{"Request-Timeout", "soon"}, 400, "bad_timeout"},
		{"a timeout that is not finite", requestBody, []string{"Request-Timeout", "NaN"}, 400, "bad_timeout"},
		{"a timeout below the minimum", requestBody, []string{"Request-Timeout", "0.01"}, 400, "bad_timeout"},
		{"a timeout above the maximum", requestBody, []string{"Request-Timeout", "11"}, 400, "bad_timeout"},
		{"an oversized header", requestBody, []string{"X-Long", strings.Repeat("a", 32<<10)}, 431, ""},
	}
	e := newEngine(t, sendTokens("no"))
	r := newTestServer(t, newManifest(e.address()))
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
	assert.Equal(t, e.requests, 0)
	assert.Equal(t, len(r.acquirer.granted), 0)
	assert.Equal(t, r.bodies.Used(), int64(0))
}

// A caller stops or disconnects in the middle of a body. It must not keep
// memory reserved that other callers' prompts need.
func TestIncompleteBodyReservesNoMemory(t *testing.T) {
	r := newTestServer(t, newManifest())
	for _, disconnects := range []bool{false, true} {
		c, err := new(net.Dialer).DialContext(t.Context(), "tcp", r.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 4000\r\n\r\n{\"mod", bearer)
		assert.NilError(t, err)
		if !disconnects {
			status, err := bufio.NewReader(c).ReadString('\n')
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(status, "408"), status)
		}
		c.Close()
	}
	r.Close()
	assert.Equal(t, r.bodies.Used(), int64(0))
}

// Several prompts of a million tokens at once would exhaust the memory of a
// small VM and end the process. The request that exceeds the limit must be
// rejected immediately, as not run.
func TestTotalBodyMemoryIsLimited(t *testing.T) {
	r := newTestServer(t, newManifest())
	assert.Assert(t, r.bodies.TryAcquire(memoryBudget-1000))
	got := r.post(t, requestBody+strings.Repeat(" ", 2000))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(got.body, `"code":"memory"`), got.body)
	assert.Equal(t, got.header.Get("Retry-After"), "1")
}
