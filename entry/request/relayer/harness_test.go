package relayer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/accountant"
	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/meter"
	"github.com/heathervane/heathervane/entry/process/prober"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/entry/process/reserver"
	"github.com/heathervane/heathervane/entry/process/switcher"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/relayer"
	"github.com/heathervane/heathervane/entry/request/trimmer"
	"github.com/heathervane/heathervane/entry/version/matcher"
	"github.com/heathervane/heathervane/library/ticker"
)

// A headerProtocol uses plain headers named after the fields.
type headerProtocol struct{}

func (headerProtocol) ParseRequest(h http.Header) relayer.RequestInfo {
	prompt, _ := strconv.Atoi(h.Get("Prompt"))
	limit, _ := time.ParseDuration(h.Get("Limit"))
	return relayer.RequestInfo{ID: h.Get("Id"), Timeout: limit, APIKey: h.Get("Key"), PromptTokens: prompt, MaxOutputTokens: 10, PromptParts: strings.Fields(h.Get("Parts")), LastEventID: h.Get("Last")}
}

func (headerProtocol) ForwardHeader(from http.Header, o relayer.ForwardInfo) http.Header {
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

func (headerProtocol) ParseResponse(status int, h http.Header) relayer.ResponseInfo {
	return relayer.ResponseInfo{
		ID: h.Get("Id"), Sealed: h.Get("Sealed") != "", FaultyAddress: h.Get("Fault"),
		NotRun: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest, Misdirected: status == http.StatusMisdirectedRequest,
	}
}

func (headerProtocol) EventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// A discardSender drops the datagrams for other VMs.
type discardSender struct{}

func (discardSender) Send(netip.AddrPort, []byte) error { return nil }

// A retryBudget grants a fixed number of retries and counts them.
type retryBudget struct {
	mu        sync.Mutex
	remaining int
	taken     int
}

func (b *retryBudget) RecordRequest(string) {}
func (b *retryBudget) TakeRetry(string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	b.taken++
	return true
}

// An engineMemory stands in for the memory of all engines and records what is
// reserved.
type engineMemory struct {
	mu   sync.Mutex
	held map[string]int
	full map[string]bool
	// err, if not nil, is the error of each reservation.
	err error
	// onReserve, if not nil, is called before each reservation.
	onReserve func()
}

func (m *engineMemory) Reserve(_ context.Context, address, name string, tokens int, _ time.Duration) error {
	if m.onReserve != nil {
		m.onReserve()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.full[address] {
		return errors.New("full")
	}
	if m.err != nil {
		return m.err
	}
	m.held[name] = tokens
	return nil
}

func (m *engineMemory) Release(_ context.Context, _, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, name)
	return nil
}

func (m *engineMemory) heldCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

// A lateQuarantine can hold a request after its arrival.
type lateQuarantine struct {
	held *atomic.Bool
	*quarantiner.Quarantiner
}

func (q lateQuarantine) Held(f quarantiner.Fingerprint, parts ...quarantiner.Fingerprint) (time.Duration, bool) {
	if q.held.Load() {
		return time.Second, true
	}
	return q.Quarantiner.Held(f, parts...)
}

// An upstreamRequest is a request as an upstream received it.
type upstreamRequest struct {
	upstream, id, method, target, body string
	header                             http.Header
}

// A harness runs a relayer with upstreams that respond as a test defines.
type harness struct {
	t          testing.TB
	server     *httptest.Server
	relayer    *relayer.Relayer
	tracker    *tracker.Tracker
	carrier    *carrier.Carrier
	budget     *retryBudget
	memory     *engineMemory
	accounts   *accountant.Accountant
	meter      *meter.Meter
	table      *matcher.Table
	shutdownIn atomic.Int64
	// strict is set once a stopping VM accepts only requests that are certain to end.
	strict atomic.Bool
	// held makes the quarantine hold every request that has arrived.
	held atomic.Bool
	// configured is closed once the relayer is to see the table.
	configured chan struct{}

	mu       sync.Mutex
	received []upstreamRequest
	// unreachable says that no upstream is reached.
	unreachable bool
	// onFailure, if not nil, is called with the lock held when a connection has failed.
	onFailure func()
	// peers are the other VMs to which requests are forwarded, avoided those that declined.
	peers   []allocator.Member
	avoided map[string]bool
	// silentPeers send no heartbeats.
	silentPeers map[string]bool
}

// ReportFailure implements relayer.Reachability.
func (b *harness) ReportFailure(context.Context, string, string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.onFailure != nil {
		b.onFailure()
	}
	return b.unreachable
}

// Unreachable implements relayer.Reachability.
func (b *harness) Unreachable(string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unreachable
}

// Confirm implements relayer.Reachability.
func (b *harness) Confirm(context.Context, string) bool { return b.Unreachable("") }

// Candidates implements relayer.Peers.
func (b *harness) Candidates(string) (ms []allocator.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.peers {
		if !b.avoided[m.VM] {
			ms = append(ms, m)
		}
	}
	return ms
}

// Avoid implements relayer.Peers.
func (b *harness) Avoid(_, vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.avoided[vm] = true
}

// IsLive implements relayer.Peers.
func (b *harness) IsLive(vm string) bool { return !b.silentPeers[vm] }

// Accepted implements relayer.Peers.
func (*harness) Accepted(string, string) {}

var engine = &matcher.Engine{
	Slots: 4, KVCapacity: 232_000, StepsPerPass: 43, PrefillChunk: 2048, StepTime: 1, StepTimePerStream: 0.002, StepTimePerContext: 0.004, PrefillRate: 206, AttentionTime: 0.138,
}

func routes() matcher.Config {
	to := func(service string) []matcher.WeightedService {
		return []matcher.WeightedService{{Service: service, Weight: 1}}
	}
	route := func(name string, kind matcher.Kind) matcher.Route {
		return matcher.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: kind, Split: to("plain"), MaxAttempts: 2,
			Timeout: 5 * time.Second, Objective: 300 * time.Millisecond, GapTarget: 200 * time.Millisecond,
		}
	}
	c := matcher.Config{Version: 7, Limits: matcher.Limits{MaxBodyBytes: 1 << 20}}
	c.Routes = []matcher.Route{route("safe", matcher.Safe), route("unsafe", matcher.Unsafe), route("stream", matcher.Stream), route("resume", matcher.Stream)}
	c.Routes[3].Resumable = true
	c.Routes[2].Split, c.Routes[3].Split = to("model"), to("model")
	c.Services = []matcher.Service{{Name: "plain"}, {Name: "model", Engine: engine, HealthPath: "/health"}}
	return c
}

// currentTable returns the configuration, or nil before configured is closed.
func (b *harness) currentTable() *matcher.Table {
	select {
	case <-b.configured:
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.table
	default:
		return nil
	}
}

func newHarness(t testing.TB, c matcher.Config) *harness {
	t.Helper()
	b := newUnconfiguredHarness(t, c)
	close(b.configured)
	return b
}

// newUnconfiguredHarness returns a harness without a configuration until the test
// closes configured.
func newUnconfiguredHarness(t testing.TB, c matcher.Config) *harness {
	t.Helper()
	b := &harness{
		t: t, tracker: tracker.New(), carrier: carrier.New(time.Now), budget: &retryBudget{remaining: 10}, meter: meter.New(),
		memory: &engineMemory{held: map[string]int{}, full: map[string]bool{}}, table: matcher.New(c),
		accounts:   accountant.New(accountant.Limits{Total: 8 << 20}),
		configured: make(chan struct{}), avoided: map[string]bool{},
	}
	clock := ticker.New(time.Now, time.Millisecond)
	go clock.Run(t.Context())
	places := allocator.New(allocator.Member{VM: "me", Zone: "z"}, 1, allocator.Deps{
		Tracker: b.tracker, Sender: discardSender{}, Timer: clock, Meter: b.meter, Members: func() []allocator.Member { return nil },
		Service:        func(name string) (*matcher.Service, bool) { return b.table.Service(name) },
		ColdStartQuota: func(string, float64, bool) int { return 0 }, Now: time.Now, Log: zerolog.Nop(),
	})
	r := relayer.New(relayer.Deps{
		Table: b.currentTable, Configured: b.configured, Protocol: headerProtocol{}, Allocator: places, Tracker: b.tracker, Carrier: b.carrier,
		Reserver: reserver.New("me-", b.memory, func() time.Duration { return time.Second }, zerolog.Nop()),
		Prober: prober.New(prober.Deps{
			Observe: func(tracker.Upstream, int, http.Header) {},
			Tracker: b.tracker, Carrier: b.carrier, Meter: b.meter, Now: time.Now, Log: zerolog.Nop(),
			Rejected: func(status int, h http.Header) bool { return headerProtocol{}.ParseResponse(status, h).NotRun },
		}),
		MaxIdleConns: func(int, string) int { return 0 }, MaxOpenEnded: func() int64 { return switcher.DefaultAnswerBytes },
		Quarantine:  lateQuarantine{&b.held, quarantiner.New(quarantiner.Deps{Meter: b.meter, Now: time.Now, Log: zerolog.Nop(), Broadcast: func() {}, MayRunTrial: func(quarantiner.Fingerprint) bool { return false }})},
		RetryBudget: b.budget, Memory: b.accounts, Meter: b.meter, Now: time.Now, Log: zerolog.Nop(),
		VM: "me", Reachability: b, Peers: b, PeerCarrier: carrier.New(time.Now), MaxForwarded: 2,
		ShuttingDown: func() (relayer.Shutdown, bool) {
			left := time.Duration(b.shutdownIn.Load())
			return relayer.Shutdown{Left: left, Strict: b.strict.Load()}, left > 0
		},
	})
	b.relayer = r
	b.server = httptest.NewUnstartedServer(r)
	b.server.Listener.Close()
	l, err := carrier.CallerListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b.server.Listener = l
	b.server.Start()
	// Cleanups run in reverse order: the server's Close waits for all requests to
	// end, then the placements still in use are counted.
	t.Cleanup(func() { assert.Check(t, len(places.Loads()) == 0, "placements were not released: %v", places.Loads()) })
	t.Cleanup(func() {
		assert.Check(t, b.accounts.Usage("").Used == 0, "memory was not returned: %v", b.accounts.Usage(""))
	})
	t.Cleanup(b.server.Close)
	return b
}

// upstream adds an upstream of a service that responds with script.
func (b *harness) upstream(id, service string, script http.HandlerFunc) *httptest.Server {
	b.t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		assert.Check(b.t, err)
		b.mu.Lock()
		b.received = append(b.received, upstreamRequest{id, q.Header.Get("Id"), q.Method, q.RequestURI, string(body), q.Header.Clone()})
		b.mu.Unlock()
		w.Header().Set("Id", q.Header.Get("Id"))
		script(w, q)
	}))
	b.t.Cleanup(server.Close)
	b.tracker.Put(time.Now(), tracker.Upstream{ID: id, Service: service, Address: strings.TrimPrefix(server.URL, "http://"), Zone: "z", Slots: 4})
	return server
}

// closedUpstreams adds upstreams of a service that accept no connections. Their ports stay bound until the
// end of the test, so that no other test can listen on them.
func (b *harness) closedUpstreams(service string, ids ...string) {
	b.t.Helper()
	for _, id := range ids {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		assert.NilError(b.t, err)
		b.t.Cleanup(func() { syscall.Close(fd) })
		loopback := netip.MustParseAddr("127.0.0.1")
		assert.NilError(b.t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: loopback.As4()}))
		name, err := syscall.Getsockname(fd)
		assert.NilError(b.t, err)
		port := name.(*syscall.SockaddrInet4).Port //nolint:forcetypeassert // the socket is one of IPv4
		b.tracker.Put(time.Now(), tracker.Upstream{ID: id, Service: service, Address: netip.AddrPortFrom(loopback, uint16(port)).String(), Zone: "z", Slots: 4})
	}
}

// serveConnections adds an upstream of a service that runs serve on each connection.
func (b *harness) serveConnections(id, service string, serve func(net.Conn)) {
	b.t.Helper()
	l, err := (&net.ListenConfig{}).Listen(b.t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(b.t, err)
	var connections sync.WaitGroup
	connections.Go(func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			connections.Go(func() { serve(c) })
		}
	})
	b.t.Cleanup(func() {
		l.Close()
		connections.Wait()
	})
	b.tracker.Put(time.Now(), tracker.Upstream{ID: id, Service: service, Address: l.Addr().String(), Zone: "z", Slots: 4})
}

func (b *harness) requestsReceived() []upstreamRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]upstreamRequest(nil), b.received...)
}

var requestCount int

// request returns a request with a unique ID.
func (b *harness) request(method, target, body string) *http.Request {
	b.t.Helper()
	requestCount++
	q, err := http.NewRequestWithContext(b.t.Context(), method, b.server.URL+target, strings.NewReader(body))
	assert.NilError(b.t, err)
	q.Host = "a.example"
	q.Header.Set("Id", fmt.Sprintf("id-%d", requestCount))
	q.Header.Set("Prompt", "1000")
	return q
}

// A result is what a caller got.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func (b *harness) do(q *http.Request) result {
	b.t.Helper()
	reply, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		return result{err: err}
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return result{reply.StatusCode, reply.Header, string(data), err}
}

func answerSealed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Sealed", "1")
	io.WriteString(w, "done")
}

// dropConnection closes the connection without a response.
func dropConnection(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

func decline(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// events sends the events after the last one that the caller has, up to the given
// ID. Then it ends the stream or, with cut, drops the connection within an event.
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

func eventText(to int) string {
	var b strings.Builder
	for i := 1; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}
