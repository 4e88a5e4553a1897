package chatter_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/connection/streamer"
	"github.com/heathervane/heathervane/entry/process/bounder"
	"github.com/heathervane/heathervane/entry/process/dispatcher"
	"github.com/heathervane/heathervane/entry/process/meter"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/entry/request/chatter"
	"github.com/heathervane/heathervane/entry/request/reader"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/retrier"
	"github.com/heathervane/heathervane/entry/version/viewer"
	"github.com/heathervane/heathervane/library/checker"
)

const (
	bearer  = "steward"
	budget  = 1 << 20
	longest = 64 << 10
)

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return "sha256:" + hex.EncodeToString(sum[:])
}

func manifest(addresses ...string) checker.Manifest {
	m := checker.Manifest{
		Classes: map[string]checker.Class{"short": {
			Prompt: 1000, Limit: checker.Duration(5 * time.Second),
			Least: checker.Duration(50 * time.Millisecond), Most: checker.Duration(10 * time.Second),
		}},
		Models:    map[string]checker.Model{"m": {Context: 2000, Output: 50, Bytes: 4}},
		Teams:     map[string]checker.Team{"hanbit": {Share: 1, Tokens: []string{hash(bearer)}}},
		Upstreams: map[string]checker.Upstream{},
	}
	for i, a := range addresses {
		m.Upstreams[fmt.Sprintf("e%d", i)] = checker.Upstream{Model: "m", Address: a, Slots: 4, Memory: 5000, Prefill: 1000}
	}
	return m
}

// No request may leave a goroutine behind, however it ends.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// An engine answers with a script and notes what it was asked.
type engine struct {
	*httptest.Server
	mu      sync.Mutex
	begun   int
	deleted map[string]int
	script  func(w http.ResponseWriter, n int)
}

func newEngine(t *testing.T, script func(w http.ResponseWriter, n int)) *engine {
	t.Helper()
	e := &engine{deleted: map[string]int{}, script: script}
	e.Server = httptest.NewServer(e)
	t.Cleanup(e.Close)
	return e
}

func (e *engine) address() string { return strings.TrimPrefix(e.URL, "http://") }

// count is how often it was asked.
func (e *engine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun
}

func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	n := e.begun
	e.begun++
	e.mu.Unlock()
	w.Header().Set("Upstream-Boot", "7")
	e.script(w, n)
}

func say(words ...string) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, _ int) {
		for i, word := range words {
			text, err := json.Marshal(word)
			if err != nil {
				panic(err)
			}
			fmt.Fprintf(w, "id: %d\ndata: {\"text\":%s}\n\n", i+1, text)
		}
		fmt.Fprintf(w, "event: done\ndata: {\"tokens\":%d,\"reason\":\"stop\"}\n\n", len(words))
	}
}

// places gives a place at the first upstream that is not avoided.
type places struct {
	mu    sync.Mutex
	given []string
	done  []dispatcher.Outcome
	// lapsed makes the places be lapsed by the time of the sending.
	lapsed bool
	// group grants all upstreams at once, as for a prompt that no single one
	// holds; of its places only the first few stay live where live is not 0.
	group bool
	live  int
}

type place struct {
	places *places
	part   int
}

func (place) Boot() uint64 { return 7 }
func (p place) Live() bool {
	return !p.places.lapsed && (p.places.live == 0 || p.part < p.places.live)
}

func (p place) Done(o dispatcher.Outcome) {
	p.places.mu.Lock()
	defer p.places.mu.Unlock()
	p.places.done = append(p.places.done, o)
}

func (p *places) Acquire(ctx context.Context, c dispatcher.Call) (*dispatcher.Grant, *refuser.Refusal) {
	if ctx.Err() != nil {
		return nil, refuser.New(http.StatusGatewayTimeout, "late", "too late")
	}
	if p.group {
		return p.grantAll(c), nil
	}
	for _, u := range c.Pool.Upstreams {
		if strings.Contains(strings.Join(c.Avoid, ","), u.Name) {
			continue
		}
		p.mu.Lock()
		p.given = append(p.given, u.Name)
		p.mu.Unlock()
		return &dispatcher.Grant{Parts: []dispatcher.Part{{Upstream: u, Tokens: c.Ask.PromptTokens, Slot: place{places: p}}}}, nil
	}
	return nil, refuser.New(http.StatusTooManyRequests, "saturated", "full").WithRetryAfter(time.Second)
}

func (p *places) Begun(dispatcher.Call, *dispatcher.Grant) {}

// grantAll parts a prompt evenly over all upstreams.
func (p *places) grantAll(c dispatcher.Call) *dispatcher.Grant {
	g := &dispatcher.Grant{}
	for i, u := range c.Pool.Upstreams {
		g.Parts = append(g.Parts, dispatcher.Part{
			Upstream: u, Tokens: c.Ask.PromptTokens / len(c.Pool.Upstreams), Slot: place{places: p, part: i},
		})
	}
	return g
}

// cancels confirms each cancel at once.
type cancels struct {
	mu  sync.Mutex
	ids []string
}

func (c *cancels) Cancel(_, id string, done func()) {
	c.mu.Lock()
	c.ids = append(c.ids, id)
	c.mu.Unlock()
	done()
}

type deaf struct{}

func (deaf) ReportCold(string, uint64, string)        {}
func (deaf) RequestSent(string, string, int, float64) {}
func (deaf) FirstToken(string)                        {}
func (deaf) RequestEnded(string)                      {}

type rig struct {
	*httptest.Server
	places  *places
	cancels *cancels
	bodies  *bounder.Bounder
}

func newRig(t *testing.T, m checker.Manifest) *rig {
	t.Helper()
	r := &rig{places: &places{}, cancels: &cancels{}, bodies: bounder.New(budget)}
	upstream := &http.Transport{}
	t.Cleanup(upstream.CloseIdleConnections)
	view := viewer.New(1, m, func(string, string) bool { return false })
	c := chatter.New(chatter.Config{VM: "vm1", Boot: 3}, chatter.Deps{
		View:       func() *viewer.View { return view },
		Reader:     &reader.Reader{MaxBytes: longest, Budget: r.bodies, Timeout: 200 * time.Millisecond},
		Acquirer:   r.places,
		Streamer:   streamer.New(&http.Client{Transport: upstream}),
		Canceller:  r.cancels,
		Observer:   deaf{},
		Retrier:    retrier.New(retrier.Config{}, rand.New(rand.NewPCG(1, 2))),
		Quarantine: quarantiner.New(quarantiner.Deps{Meter: meter.New(), Now: time.Now, Log: zerolog.Nop(), Broadcast: func() {}, MayRunTrial: nobody}),
		Meter:      meter.New(),
		Now:        time.Now,
	})
	r.Server = httptest.NewUnstartedServer(c)
	r.Config.MaxHeaderBytes = 8 << 10
	r.Start()
	t.Cleanup(r.Close)
	return r
}

// outcomes ends the server and gives how each place was given back.
func (r *rig) outcomes() []dispatcher.Outcome {
	r.Close()
	return r.places.done
}

type reply struct {
	status int
	header http.Header
	body   string
}

func (r *rig) post(t *testing.T, body string, headers ...string) reply {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.URL, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+bearer)
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	a, err := r.Client().Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	if err != nil {
		data = append(data, " cut"...)
	}
	return reply{status: a.StatusCode, header: a.Header, body: string(data)}
}

const (
	question = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
	streamed = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
)

// nobody may try a held request.
func nobody(quarantiner.Fingerprint) bool { return false }
