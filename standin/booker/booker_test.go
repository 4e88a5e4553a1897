package booker_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/standin/booker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start serves a service whose calls take no time.
func start(t *testing.T, change func(*booker.Config)) *httptest.Server {
	t.Helper()
	c := booker.Config{Slots: 2, Cold: 1, Warm: 1, Fall: time.Hour, Started: true, Now: time.Now}
	if change != nil {
		change(&c)
	}
	s := httptest.NewServer(booker.New(c).Handler())
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// call returns the status and body, or status 0 where no answer came.
func call(t *testing.T, s *httptest.Server, method, path, key, body string) (status int, answer string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, s.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	if key != "" {
		req.Header.Set("Call", key)
	}
	res, err := s.Client().Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	var text json.RawMessage
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&text))
	return res.StatusCode, string(text)
}

func TestCountsEffects(t *testing.T) {
	s := start(t, nil)
	tests := []struct{ key, body, want string }{
		{"k", "x", `{"key":"k","method":"POST","path":"/seats","body":"5c80c09683041123","effects":1}`},
		{"k", "x", `{"key":"k","method":"POST","path":"/seats","body":"5c80c09683041123","effects":2}`},
		{"", "x", `{"key":"5c80c09683041123","method":"POST","path":"/seats","body":"5c80c09683041123","effects":1}`},
	}
	for _, test := range tests {
		status, answer := call(t, s, http.MethodPost, "/seats", test.key, test.body)
		assert.Equal(t, status, 200)
		assert.Equal(t, answer, test.want)
	}
	_, counts := call(t, s, http.MethodGet, "/v1/effects", "", "")
	assert.Equal(t, counts, `{"effects":{"5c80c09683041123":1,"k":2}}`)
}

// An answer is lost after the call ran, so its caller can't know. The count at
// the service shows that it ran.
func TestLostAnswerHadItsEffect(t *testing.T) {
	s := start(t, nil)
	call(t, s, http.MethodPut, "/faults", "", `{"lose":1}`)
	status, _ := call(t, s, http.MethodPost, "/seats", "k", "x")
	assert.Equal(t, status, 0)
	_, counts := call(t, s, http.MethodGet, "/v1/effects", "", "")
	assert.Equal(t, counts, `{"effects":{"k":1}}`)
}

func TestDownRunsNothing(t *testing.T) {
	s := start(t, nil)
	call(t, s, http.MethodPut, "/faults", "", `{"down":true}`)
	status, _ := call(t, s, http.MethodPost, "/seats", "k", "x")
	assert.Equal(t, status, 503)
	call(t, s, http.MethodPut, "/faults", "", `{}`)
	_, counts := call(t, s, http.MethodGet, "/v1/effects", "", "")
	assert.Equal(t, counts, `{"effects":{}}`)
}

// Two calls at once reach a cold service that bears one. Both are lost, without
// effect, and the service is down for a while.
func TestFallsOver(t *testing.T) {
	s := start(t, func(c *booker.Config) { c.Started, c.Work = false, time.Hour })
	first := make(chan int)
	go func() {
		status, _ := call(t, s, http.MethodPost, "/seats", "a", "x")
		first <- status
	}()
	for load := ""; !strings.Contains(load, `"running":1`); {
		_, load = call(t, s, http.MethodGet, "/v1/load", "", "")
	}
	status, _ := call(t, s, http.MethodPost, "/seats", "b", "x")
	assert.Equal(t, status, 0)
	assert.Equal(t, <-first, 0)
	status, _ = call(t, s, http.MethodPost, "/seats", "c", "x")
	assert.Equal(t, status, 503)
	_, counts := call(t, s, http.MethodGet, "/v1/effects", "", "")
	assert.Equal(t, counts, `{"effects":{}}`)
	_, peak := call(t, s, http.MethodGet, "/v1/peak", "", "")
	assert.Assert(t, strings.Contains(peak, `"falls":1`), peak)
}

func TestFull(t *testing.T) {
	s := start(t, func(c *booker.Config) { c.Slots, c.Work = 1, time.Hour })
	go call(t, s, http.MethodPost, "/seats", "a", "x")
	for load := ""; !strings.Contains(load, `"running":1`); {
		_, load = call(t, s, http.MethodGet, "/v1/load", "", "")
	}
	status, answer := call(t, s, http.MethodPost, "/seats", "b", "x")
	assert.Equal(t, status, 429)
	assert.Assert(t, strings.Contains(answer, `"full"`))
	call(t, s, http.MethodPut, "/faults", "", `{"cold":true}`) // ends the first
}
