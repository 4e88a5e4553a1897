package generator_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/standin/generator"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A clock is driven by hand.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// A bench is an engine under a driven clock, served over loopback.
type bench struct {
	*testing.T
	*clock
	*generator.Generator
	server *httptest.Server
	// readers counts the requests in progress.
	readers atomic.Int64
}

// start serves an engine of 100 tokens a second of prompt and 10 of answer;
// change may alter it.
func start(t *testing.T, change func(*generator.Config)) *bench {
	t.Helper()
	c := &clock{now: time.UnixMilli(1_000_000)}
	client := &http.Client{Transport: &http.Transport{}}
	config := generator.Config{
		Bytes: 4, Slots: 2, Queue: 1, Memory: 10_000, Prefill: 100, Decode: 10, Scale: 1,
		Cold: 1, Warm: 2, Fall: time.Second, Started: true, Model: "m", Version: "1",
		Now: c.Now, Client: client,
	}
	if change != nil {
		change(&config)
	}
	g := generator.New(config)
	b := &bench{T: t, clock: c, Generator: g}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b.readers.Add(1)
		defer b.readers.Add(-1)
		g.Handler().ServeHTTP(w, q)
	}))
	t.Cleanup(func() {
		b.server.CloseClientConnections()
		b.server.Close()
		client.CloseIdleConnections()
	})
	return b
}

// pass lets time pass in steps of 10 ms.
func (b *bench) pass(d time.Duration) {
	for ; d > 0; d -= 10 * time.Millisecond {
		b.mu.Lock()
		b.now = b.now.Add(10 * time.Millisecond)
		b.mu.Unlock()
		b.Step()
	}
}

// alone waits until the engine has noticed that all its readers have gone. Time
// that passes sooner would have it send the rest to one that is still there.
func (b *bench) alone() {
	for b.readers.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A reply is an answer, of which a stream is still open until the test ends.
type reply struct {
	StatusCode int
	Header     http.Header
	Body       io.ReadCloser
}

// call sends a request and returns its answer.
func (b *bench) call(method, path, body string) reply {
	b.Helper()
	req, err := http.NewRequestWithContext(b.Context(), method, b.server.URL+path, strings.NewReader(body))
	assert.NilError(b, err)
	res, err := b.server.Client().Do(req)
	assert.NilError(b, err)
	b.Cleanup(func() { res.Body.Close() })
	return reply{res.StatusCode, res.Header, res.Body}
}

// generate starts a stream; fields are added to its body.
func (b *bench) generate(id, prompt string, output int, fields string) reply {
	b.Helper()
	text, err := json.Marshal(prompt)
	assert.NilError(b, err)
	return b.call(http.MethodPost, "/v1/generate",
		fmt.Sprintf(`{"id":%q,"vm":"v1","boot":7,"model":"m","prompt":%s,"output":%d%s}`, id, text, output, fields))
}

// get decodes the answer to a GET.
func get[T any](b *bench, path string) T {
	b.Helper()
	var v T
	assert.NilError(b, json.NewDecoder(b.call(http.MethodGet, path, "").Body).Decode(&v))
	return v
}

// code reads the code of a refusal.
func code(t *testing.T, res reply) string {
	t.Helper()
	var v struct{ Error struct{ Code string } }
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&v))
	return v.Error.Code
}

// An answer is what a reader of a stream got.
type answer struct {
	ids  []string
	text string
	done string // data of the last event, empty where the stream was cut
}

// read follows a stream to its end.
func read(res reply) answer {
	var a answer
	event := ""
	for s := bufio.NewScanner(res.Body); s.Scan(); {
		name, value, _ := strings.Cut(s.Text(), ": ")
		switch name {
		case "id":
			a.ids = append(a.ids, value)
		case "event":
			event = value
		case "data":
			if event == "done" {
				a.done = value
				continue
			}
			var v struct{ Text string }
			if json.Unmarshal([]byte(value), &v) == nil {
				a.text += v.Text
			}
		}
	}
	return a
}

// whole is the answer that a prompt must get.
func whole(prompt string, tokens int) string {
	var b bytes.Buffer
	for n := range tokens {
		b.WriteString(generator.Text(generator.Digest(prompt), n+1))
	}
	return b.String()
}

type streams struct {
	Boot    uint64
	Streams []struct {
		ID, VM, Kind string
		Memory       int
	}
}

type load struct {
	Boot                         uint64
	Running, Waiting, Used, Slot int
	Left                         int `json:"prefill_left"`
	Model, Version, Role         string
	Cold                         bool
}

type peak struct {
	Bears, Falls int
	Peaks        map[string]int
}
