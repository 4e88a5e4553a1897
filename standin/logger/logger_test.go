package logger_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/standin/logger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A log is served under a clock driven by hand, in Unix milliseconds.
type log struct {
	*testing.T
	now    atomic.Int64
	server *httptest.Server
}

func start(t *testing.T) *log {
	t.Helper()
	l := &log{T: t}
	l.now.Store(1000)
	now := func() time.Time { return time.UnixMilli(l.now.Load()) }
	l.server = httptest.NewServer(logger.New(logger.Config{Rate: 12, Keep: time.Minute, Now: now}).Handler())
	t.Cleanup(l.server.Close)
	return l
}

func (l *log) call(method, path, body string) (status int, answer string) {
	l.Helper()
	req, err := http.NewRequestWithContext(l.Context(), method, l.server.URL+path, strings.NewReader(body))
	assert.NilError(l, err)
	res, err := l.server.Client().Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	var text json.RawMessage
	assert.NilError(l, json.NewDecoder(res.Body).Decode(&text))
	return res.StatusCode, string(text)
}

func TestOffsets(t *testing.T) {
	l := start(t)
	for i, path := range []string{"/streams/a", "/streams/b"} {
		_, answer := l.call(http.MethodPost, path, "x")
		assert.Equal(t, answer, `{"offset":1}`, fmt.Sprint(i))
	}
	_, answer := l.call(http.MethodPost, "/streams/a?", "y")
	assert.Equal(t, answer, `{"offset":2}`)
	tests := []struct{ query, want string }{
		{"from=0", `{"start":1,"end":3,"records":[{"offset":1,"at":1000,"data":"eA=="},{"offset":2,"at":1000,"data":"eQ=="}]}`},
		{"from=2", `{"start":1,"end":3,"records":[{"offset":2,"at":1000,"data":"eQ=="}]}`},
		{"from=1&most=1", `{"start":1,"end":3,"records":[{"offset":1,"at":1000,"data":"eA=="}]}`},
		{"from=3", `{"start":1,"end":3,"records":[]}`},
		{"from=9&wait=1", `{"start":1,"end":3,"records":[]}`},
	}
	for _, test := range tests {
		_, answer := l.call(http.MethodGet, "/streams/a?"+test.query, "")
		assert.Equal(t, answer, test.want)
	}
	status, _ := l.call(http.MethodGet, "/streams/a?from=-1", "")
	assert.Equal(t, status, 400)
}

func TestForgets(t *testing.T) {
	l := start(t)
	l.call(http.MethodPost, "/streams/a", "x")
	l.now.Add(30_000)
	l.call(http.MethodPost, "/streams/a", "y")
	l.now.Add(45_000)
	_, answer := l.call(http.MethodGet, "/streams/a?from=1", "")
	assert.Equal(t, answer, `{"start":2,"end":3,"records":[{"offset":2,"at":31000,"data":"eQ=="}]}`)
	l.now.Add(60_000)
	_, answer = l.call(http.MethodPost, "/streams/a", "z")
	assert.Equal(t, answer, `{"offset":3}`)
}

func TestRate(t *testing.T) {
	l := start(t)
	for i, want := range []int{200, 200, 200, 429} { // a quarter of a second at once
		status, _ := l.call(http.MethodPost, fmt.Sprintf("/streams/%d", i), "x")
		assert.Equal(t, status, want)
	}
	l.now.Add(84)
	status, _ := l.call(http.MethodPost, "/streams/a", "x")
	assert.Equal(t, status, 200)
}

func TestWaits(t *testing.T) {
	l := start(t)
	got := make(chan string)
	go func() {
		_, answer := l.call(http.MethodGet, "/streams/a?from=1&wait=20000", "")
		got <- answer
	}()
	l.call(http.MethodPost, "/streams/a", "x")
	assert.Assert(t, strings.Contains(<-got, `"offset":1`))
}

func TestFaults(t *testing.T) {
	tests := []struct {
		faults string
		status int
		end    string
	}{
		{`{"down":true}`, 503, `"end":1`},
		{`{"lose":1}`, 0, `"end":2`},
		{`{"double":1}`, 200, `"end":3`},
	}
	for _, test := range tests {
		t.Run(test.faults, func(t *testing.T) {
			l := start(t)
			l.call(http.MethodPut, "/faults", test.faults)
			status, _ := l.call(http.MethodPost, "/streams/a", "x")
			assert.Equal(t, status, test.status)
			l.call(http.MethodPut, "/faults", `{}`)
			_, answer := l.call(http.MethodGet, "/streams/a?from=1", "")
			assert.Assert(t, strings.Contains(answer, test.end), answer)
		})
	}
	status, _ := start(t).call(http.MethodPut, "/faults", `{"dwon":true}`)
	assert.Equal(t, status, 400)
}

func TestFreeze(t *testing.T) {
	l := start(t)
	l.call(http.MethodPut, "/faults", `{"freeze":true}`)
	got := make(chan int)
	go func() {
		status, _ := l.call(http.MethodPost, "/streams/a", "x")
		got <- status
	}()
	select {
	case status := <-got:
		t.Fatalf("answered %d while frozen", status)
	case <-time.After(20 * time.Millisecond):
	}
	l.call(http.MethodPut, "/faults", `{}`)
	assert.Equal(t, <-got, 200)
}
