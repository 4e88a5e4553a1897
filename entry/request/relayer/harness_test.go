package relayer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/bounder"
	"github.com/heathervane/heathervane/entry/process/meter"
	"github.com/heathervane/heathervane/entry/process/prober"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/entry/process/reserver"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/relayer"
	"github.com/heathervane/heathervane/entry/request/trimmer"
	"github.com/heathervane/heathervane/entry/version/matcher"
	"github.com/heathervane/heathervane/library/ticker"
)

// A dialect says everything in headers of its own.
type dialect struct{}

func (dialect) ParseRequest(h http.Header) relayer.RequestInfo {
	prompt, _ := strconv.Atoi(h.Get("Prompt"))
	limit, _ := time.ParseDuration(h.Get("Limit"))
	return relayer.RequestInfo{ID: h.Get("Id"), Timeout: limit, APIKey: h.Get("Key"), PromptTokens: prompt, MaxOutputTokens: 10, LastEventID: h.Get("Last")}
}

func (dialect) ForwardHeader(from http.Header, o relayer.ForwardInfo) http.Header {
	h := trimmer.EndToEndHeaders(from)
	h.Del("Content-Length")
	h.Set("Upstream", o.Upstream)
	h.Set("Team", o.Team)
	h.Set("Last", o.LastEventID)
	for _, helper := range o.Helpers {
		h.Add("Helper", helper.Address+"/"+helper.Reservation)
	}
	return h
}

func (dialect) ParseResponse(status int, h http.Header) relayer.ResponseInfo {
	return relayer.ResponseInfo{
		ID: h.Get("Id"), Sealed: h.Get("Sealed") != "", FaultyAddress: h.Get("Fault"),
		NotRun: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest, Misdirected: status == http.StatusMisdirectedRequest,
	}
}

func (dialect) EventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// nobody is no other VM.
type nobody struct{}

func (nobody) Send(netip.AddrPort, []byte) error { return nil }

// A purse counts repeats and grants so many.
type purse struct {
	mu    sync.Mutex
	left  int
	taken int
}

func (p *purse) RecordRequest(string) {}
func (p *purse) TakeRetry(string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left == 0 {
		return false
	}
	p.left--
	p.taken++
	return true
}

// memory takes orders and remembers what is held.
type memory struct {
	mu   sync.Mutex
	held map[string]int
	full map[string]bool
	// asked is called when memory is asked for; nil where nothing happens then.
	asked func()
}

func (m *memory) Reserve(_ context.Context, address, name string, tokens int, _ time.Duration) error {
	if m.asked != nil {
		m.asked()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.full[address] {
		return errors.New("full")
	}
	m.held[name] = tokens
	return nil
}

func (m *memory) Release(_ context.Context, _, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, name)
	return nil
}

func (m *memory) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

// late is a quarantine that may hold a request after it came.
type late struct {
	held *atomic.Bool
	*quarantiner.Quarantiner
}

func (q late) Held(f quarantiner.Fingerprint) (time.Duration, bool) {
	if q.held.Load() {
		return time.Second, true
	}
	return q.Quarantiner.Held(f)
}

// An arrival is a request as an upstream saw it.
type arrival struct {
	upstream, id, method, target, body string
	header                             http.Header
}

// A bench is a relayer before upstreams that a test scripts.
type bench struct {
	t       *testing.T
	server  *httptest.Server
	tracker *tracker.Tracker
	carrier *carrier.Carrier
	purse   *purse
	memory  *memory
	meter   *meter.Meter
	table   *matcher.Table
	left    atomic.Int64
	// held has the quarantine say of each request that came that it is held now.
	held atomic.Bool
	// table is nil until configured is closed where there is such a channel.
	configured chan struct{}

	mu       sync.Mutex
	arrivals []arrival
}

var engine = &matcher.Engine{
	Slots: 4, Memory: 232_000, Stride: 43, Chunk: 2048, Step: 1, PerStream: 0.002, PerContext: 0.004, ReadRate: 206, Pairs: 0.138,
}

func routes() matcher.Config {
	to := func(service string) []matcher.Weight { return []matcher.Weight{{Service: service, Weight: 1}} }
	route := func(name string, kind matcher.Kind) matcher.Route {
		return matcher.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: kind, Split: to("plain"), Attempts: 2,
			Timeout: 5 * time.Second, Objective: 300 * time.Millisecond, Gap: 200 * time.Millisecond,
		}
	}
	c := matcher.Config{Version: 7, Limits: matcher.Limits{Body: 1 << 20}}
	c.Routes = []matcher.Route{route("safe", matcher.Safe), route("unsafe", matcher.Unsafe), route("stream", matcher.Stream), route("resume", matcher.Stream)}
	c.Routes[3].Resumable = true
	c.Routes[2].Split, c.Routes[3].Split = to("model"), to("model")
	c.Services = []matcher.Service{{Name: "plain"}, {Name: "model", Engine: engine, HealthPath: "/health"}}
	return c
}

// inForce is the configuration, once there is one.
func (b *bench) inForce() *matcher.Table {
	select {
	case <-b.configured:
		return b.table
	default:
		return nil
	}
}

func newBench(t *testing.T, c matcher.Config) *bench {
	t.Helper()
	b := newUnconfigured(t, c)
	close(b.configured)
	return b
}

// newUnconfigured has no configuration until the test closes configured.
func newUnconfigured(t *testing.T, c matcher.Config) *bench {
	t.Helper()
	b := &bench{
		t: t, tracker: tracker.New(), carrier: carrier.New(time.Now), purse: &purse{left: 10}, meter: meter.New(),
		memory: &memory{held: map[string]int{}, full: map[string]bool{}}, table: matcher.New(c),
		configured: make(chan struct{}),
	}
	clock := ticker.New(time.Now, time.Millisecond)
	go clock.Run(t.Context())
	places := allocator.New(allocator.Member{VM: "me", Zone: "z"}, 1, allocator.Deps{
		Tracker: b.tracker, Sender: nobody{}, Timer: clock, Meter: b.meter, Members: func() []allocator.Member { return nil },
		Service:        func(name string) (*matcher.Service, bool) { return b.table.Service(name) },
		ColdStartQuota: func(string, float64, bool) int { return 0 }, Now: time.Now, Log: zerolog.Nop(),
	})
	r := relayer.New(relayer.Deps{
		Table: b.inForce, Configured: b.configured, Protocol: dialect{}, Allocator: places, Tracker: b.tracker, Carrier: b.carrier,
		Reserver: reserver.New("me-", b.memory, func() time.Duration { return time.Second }, zerolog.Nop()),
		Prober: prober.New(prober.Deps{
			Tracker: b.tracker, Carrier: b.carrier, Meter: b.meter, Now: time.Now, Log: zerolog.Nop(),
			Rejected: func(status int, h http.Header) bool { return dialect{}.ParseResponse(status, h).NotRun },
		}),
		MaxIdleConns: func(int, string) int { return 0 },
		Quarantine:   late{&b.held, quarantiner.New(quarantiner.Deps{Meter: b.meter, Now: time.Now, Log: zerolog.Nop(), Broadcast: func() {}, MayRunTrial: func(quarantiner.Fingerprint) bool { return false }})},
		RetryBudget:  b.purse, BodyMemory: bounder.New(8 << 20), Meter: b.meter, Now: time.Now, Log: zerolog.Nop(),
		ShuttingDown: func() (bool, time.Duration) { return b.left.Load() > 0, time.Duration(b.left.Load()) },
	})
	b.server = httptest.NewServer(r)
	// Cleanups run last first: places are counted once all requests have ended,
	// which the server's Close waits for.
	t.Cleanup(func() { assert.Check(t, len(places.Loads()) == 0, "places were not given back: %v", places.Loads()) })
	t.Cleanup(b.server.Close)
	return b
}

// upstream adds an upstream of a service that answers by a script.
func (b *bench) upstream(id, service string, script http.HandlerFunc) *httptest.Server {
	b.t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		assert.Check(b.t, err)
		b.mu.Lock()
		b.arrivals = append(b.arrivals, arrival{id, q.Header.Get("Id"), q.Method, q.RequestURI, string(body), q.Header.Clone()})
		b.mu.Unlock()
		w.Header().Set("Id", q.Header.Get("Id"))
		script(w, q)
	}))
	b.t.Cleanup(server.Close)
	b.tracker.Put(time.Now(), tracker.Upstream{ID: id, Service: service, Address: strings.TrimPrefix(server.URL, "http://"), Zone: "z", Slots: 4})
	return server
}

func (b *bench) seen() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}

var requests int

// request makes a request of a route, with an id of its own.
func (b *bench) request(method, target, body string) *http.Request {
	b.t.Helper()
	requests++
	q, err := http.NewRequestWithContext(b.t.Context(), method, b.server.URL+target, strings.NewReader(body))
	assert.NilError(b.t, err)
	q.Host = "a.example"
	q.Header.Set("Id", fmt.Sprintf("id-%d", requests))
	q.Header.Set("Prompt", "1000")
	return q
}

// An outcome is what a caller got.
type outcome struct {
	status int
	header http.Header
	body   string
	err    error
}

func (b *bench) do(q *http.Request) outcome {
	b.t.Helper()
	reply, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		return outcome{err: err}
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return outcome{reply.StatusCode, reply.Header, string(data), err}
}

func sealed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Sealed", "1")
	io.WriteString(w, "done")
}

// hang breaks the connection without an answer.
func hang(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

func decline(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// events sends events with ids from one after the last that the caller has, up
// to an id; then it breaks off or ends.
func events(to int, cut bool) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Sealed", "1")
		last, _ := strconv.Atoi(q.Header.Get("Last"))
		for i := last + 1; i <= to; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			w.(http.Flusher).Flush() //nolint:forcetypeassert // net/http's own
		}
		if cut {
			io.WriteString(w, "id: 99\nda")
			w.(http.Flusher).Flush() //nolint:forcetypeassert // net/http's own
			panic(http.ErrAbortHandler)
		}
	}
}

func stream(to int) string {
	var b strings.Builder
	for i := 1; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}
