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

	"github.com/heathervane/heathervane/entry/connection/carrier"
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
	bearer       = "steward"
	memoryBudget = 1 << 20
	maxBodyBytes = 64 << 10
)

func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return "sha256:" + hex.EncodeToString(sum[:])
}

func newManifest(addresses ...string) checker.Manifest {
	m := checker.Manifest{
		Classes: map[string]checker.Class{"short": {
			Prompt: 1000, Limit: checker.Duration(5 * time.Second),
			Least: checker.Duration(50 * time.Millisecond), Most: checker.Duration(10 * time.Second),
		}},
		Models:    map[string]checker.Model{"m": {Context: 2000, Output: 50, Bytes: 4}},
		Teams:     map[string]checker.Team{"hanbit": {Share: 1, Tokens: []string{hashToken(bearer)}}},
		Upstreams: map[string]checker.Upstream{},
	}
	for i, a := range addresses {
		m.Upstreams[fmt.Sprintf("e%d", i)] = checker.Upstream{Model: "m", Address: a, Slots: 4, Memory: 5000, Prefill: 1000}
	}
	return m
}

// Checks that no request leaks a goroutine, however it ends.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEngine responds by a script and counts its requests.
type fakeEngine struct {
	*httptest.Server
	mu       sync.Mutex
	requests int
	deleted  map[string]int
	script   func(w http.ResponseWriter, n int)
}

func newEngine(t *testing.T, script func(w http.ResponseWriter, n int)) *fakeEngine {
	t.Helper()
	e := &fakeEngine{deleted: map[string]int{}, script: script}
	e.Server = httptest.NewServer(e)
	t.Cleanup(e.Close)
	return e
}

func (e *fakeEngine) address() string { return strings.TrimPrefix(e.URL, "http://") }

// requestCount returns the number of requests received.
func (e *fakeEngine) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	n := e.requests
	e.requests++
	e.mu.Unlock()
	w.Header().Set("Upstream-Boot", "7")
	e.script(w, n)
}

func sendTokens(words ...string) func(http.ResponseWriter, int) {
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

// fakeAcquirer grants a slot at the first upstream that is not to be avoided.
type fakeAcquirer struct {
	mu       sync.Mutex
	granted  []string
	outcomes []dispatcher.Outcome
	// expired makes every slot expire before it is used.
	expired bool
	// group grants all upstreams at once, as for a prompt that does not fit on
	// a single one. If liveSlots is not 0, only that many of the slots stay
	// live.
	group     bool
	liveSlots int
	// restarts grants each slot at a new run of its upstream.
	restarts bool
}

type fakeSlot struct {
	acquirer *fakeAcquirer
	part     int
}

func (fakeSlot) Boot() uint64 { return 7 }
func (p fakeSlot) Live() bool {
	return !p.acquirer.expired && (p.acquirer.liveSlots == 0 || p.part < p.acquirer.liveSlots)
}

func (p fakeSlot) Done(o dispatcher.Outcome) {
	p.acquirer.mu.Lock()
	defer p.acquirer.mu.Unlock()
	p.acquirer.outcomes = append(p.acquirer.outcomes, o)
}

func (p *fakeAcquirer) Acquire(ctx context.Context, c dispatcher.Call) (*dispatcher.Grant, *refuser.Refusal) {
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
		p.granted = append(p.granted, u.Name)
		boot := uint64(0)
		if p.restarts {
			boot = uint64(len(p.granted))
		}
		p.mu.Unlock()
		return &dispatcher.Grant{Parts: []dispatcher.Part{{Upstream: u, Boot: boot, Tokens: c.Ask.PromptTokens, Slot: fakeSlot{acquirer: p}}}}, nil
	}
	return nil, refuser.New(http.StatusTooManyRequests, "saturated", "full").WithRetryAfter(time.Second)
}

func (p *fakeAcquirer) Begun(dispatcher.Call, *dispatcher.Grant) {}

// grantAll splits a prompt evenly between all upstreams.
func (p *fakeAcquirer) grantAll(c dispatcher.Call) *dispatcher.Grant {
	g := &dispatcher.Grant{}
	for i, u := range c.Pool.Upstreams {
		g.Parts = append(g.Parts, dispatcher.Part{
			Upstream: u, Tokens: c.Ask.PromptTokens / len(c.Pool.Upstreams), Slot: fakeSlot{acquirer: p, part: i},
		})
	}
	return g
}

// fakeCanceller confirms each cancellation at once.
type fakeCanceller struct {
	mu  sync.Mutex
	ids []string
}

func (c *fakeCanceller) Cancel(_, id string, done func()) {
	c.mu.Lock()
	c.ids = append(c.ids, id)
	c.mu.Unlock()
	done()
}

type nopObserver struct{}

func (nopObserver) ReportCold(string, uint64, string)        {}
func (nopObserver) RequestSent(string, string, int, float64) {}
func (nopObserver) FirstToken(string)                        {}
func (nopObserver) RequestEnded(string)                      {}

type testServer struct {
	*httptest.Server
	acquirer  *fakeAcquirer
	canceller *fakeCanceller
	bodies    *bounder.Bounder
}

func newTestServer(t *testing.T, m checker.Manifest) *testServer {
	t.Helper()
	r := &testServer{acquirer: &fakeAcquirer{}, canceller: &fakeCanceller{}, bodies: bounder.New(memoryBudget)}
	view := viewer.New(1, m, func(string, string) bool { return false })
	c := chatter.New(chatter.Config{VM: "vm1", Boot: 3}, chatter.Deps{
		View:       func() *viewer.View { return view },
		Reader:     &reader.Reader{MaxBytes: maxBodyBytes, Budget: r.bodies, Timeout: 200 * time.Millisecond},
		Acquirer:   r.acquirer,
		Streamer:   streamer.New(carrier.New(time.Now)),
		Canceller:  r.canceller,
		Observer:   nopObserver{},
		Retrier:    retrier.New(retrier.Config{}, rand.New(rand.NewPCG(1, 2))),
		Quarantine: quarantiner.New(quarantiner.Deps{Meter: meter.New(), Now: time.Now, Log: zerolog.Nop(), Broadcast: func() {}, MayRunTrial: neverTrial}),
		Meter:      meter.New(),
		Now:        time.Now,
	})
	r.Server = httptest.NewUnstartedServer(c)
	r.Config.MaxHeaderBytes = 8 << 10
	r.Start()
	t.Cleanup(r.Close)
	return r
}

// outcomes closes the server and returns the outcome of each slot.
func (r *testServer) outcomes() []dispatcher.Outcome {
	r.Close()
	return r.acquirer.outcomes
}

type response struct {
	status int
	header http.Header
	body   string
}

func (r *testServer) post(t *testing.T, body string, headers ...string) response {
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
	return response{status: a.StatusCode, header: a.Header, body: string(data)}
}

const (
	requestBody   = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
	streamingBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
)

// neverTrial lets no VM run a trial of a held request.
func neverTrial(quarantiner.Fingerprint) bool { return false }
