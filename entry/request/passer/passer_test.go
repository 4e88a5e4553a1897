package passer_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/bounder"
	"github.com/heathervane/heathervane/entry/process/dispatcher"
	"github.com/heathervane/heathervane/entry/process/meter"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/entry/request/passer"
	"github.com/heathervane/heathervane/entry/request/reader"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/retrier"
	"github.com/heathervane/heathervane/entry/version/viewer"
	"github.com/heathervane/heathervane/library/checker"
)

const bearer = "steward"

// fakeService records the calls that it receives and responds by a script.
type fakeService struct {
	mu     sync.Mutex
	calls  []*http.Request
	bodies []string
	script func(w http.ResponseWriter, n int)
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	data, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	n := len(s.calls)
	s.calls = append(s.calls, q)
	s.bodies = append(s.bodies, string(data))
	s.mu.Unlock()
	s.script(w, n)
}

// received returns the calls received so far.
func (s *fakeService) received() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

type fakeSlot struct {
	expired bool
}

func (fakeSlot) Boot() uint64            { return 7 }
func (s fakeSlot) Live() bool            { return !s.expired }
func (fakeSlot) Done(dispatcher.Outcome) {}

// fakeAcquirer always grants the first upstream.
type fakeAcquirer struct {
	expired bool
}

func (p fakeAcquirer) Acquire(_ context.Context, c dispatcher.Call) (*dispatcher.Grant, *refuser.Refusal) {
	return &dispatcher.Grant{Parts: []dispatcher.Part{{Upstream: c.Pool.Upstreams[0], Slot: fakeSlot(p)}}}, nil
}

func (fakeAcquirer) BackOff(string, time.Duration) {}

type nopObserver struct{}

func (nopObserver) ReportCold(string, uint64, string) {}

func newProxy(t *testing.T, address string) *httptest.Server {
	t.Helper()
	return newProxyWithAcquirer(t, address, fakeAcquirer{})
}

func newProxyWithAcquirer(t *testing.T, address string, acquirer passer.Acquirer) *httptest.Server {
	t.Helper()
	return newProxyWithReader(t, address, acquirer, &reader.Reader{MaxBytes: 4096, Budget: bounder.New(1 << 20), Timeout: time.Second})
}

func newProxyWithReader(t *testing.T, address string, acquirer passer.Acquirer, bodies *reader.Reader) *httptest.Server {
	t.Helper()
	sum := sha256.Sum256([]byte(bearer))
	view := viewer.New(1, checker.Manifest{
		Services: map[string]checker.Service{"booking": {
			Repeatable: []string{"GET", "POST /search"}, Limit: checker.Duration(time.Second),
			Least: checker.Duration(50 * time.Millisecond), Most: checker.Duration(10 * time.Second),
		}},
		Teams:     map[string]checker.Team{"hanbit": {Share: 1, Tokens: []string{"sha256:" + hex.EncodeToString(sum[:])}}},
		Upstreams: map[string]checker.Upstream{"b1": {Service: "booking", Address: address, Slots: 4}},
	}, func(string, string) bool { return false })
	handler := passer.New("vm1", 3, passer.Deps{
		View:     func() *viewer.View { return view },
		Reader:   bodies,
		Carrier:  carrier.New(time.Now),
		Acquirer: acquirer, Observer: nopObserver{}, Meter: meter.New(), Now: time.Now,
		Retrier:    retrier.New(retrier.Config{}, rand.New(rand.NewPCG(1, 2))),
		Quarantine: quarantiner.New(quarantiner.Deps{Meter: meter.New(), Now: time.Now, Log: zerolog.Nop(), Broadcast: func() {}, MayRunTrial: neverTrial}),
	})
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s
}

type response struct {
	status int
	header http.Header
	body   string
}

func send(t *testing.T, s *httptest.Server, method, path, body string, headers ...string) response {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), method, s.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	q.Header.Set("Authorization", "Bearer "+bearer)
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	a, err := s.Client().Do(q)
	assert.NilError(t, err)
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	return response{a.StatusCode, a.Header, string(data)}
}

func TestCallIsForwarded(t *testing.T) {
	b := &fakeService{script: func(w http.ResponseWriter, _ int) {
		w.Header().Set("X-Seat", "12")
		w.WriteHeader(http.StatusCreated)
		io.WriteString(w, "booked")
	}}
	upstream := httptest.NewServer(b)
	defer upstream.Close()
	s := newProxy(t, strings.TrimPrefix(upstream.URL, "http://"))
	got := send(t, s, http.MethodPost, "/services/booking/seats/7%2F8?day=sunday", "two", "X-Note", "n", "Connection", "X-Hop", "X-Hop", "h")
	assert.Equal(t, got.status, http.StatusCreated)
	assert.Equal(t, got.body, "booked")
	assert.Equal(t, got.header.Get("X-Seat"), "12")
	assert.Equal(t, got.header.Get("Heathervane-Ran"), "yes")
	assert.Equal(t, got.header.Get("Heathervane-Upstream"), "b1")
	q := b.received()[0]
	assert.Equal(t, q.RequestURI, "/seats/7%2F8?day=sunday")
	assert.Equal(t, b.bodies[0], "two")
	assert.Equal(t, q.Header.Get("X-Note"), "n")
	assert.Equal(t, q.Header.Get("X-Hop"), "")
	assert.Equal(t, q.Header.Get("Authorization"), "")
	assert.Equal(t, q.Header.Get("Heathervane-Team"), "hanbit")
}

// The service accepts a booking, and the connection breaks before the response.
// A retry would charge the customer twice. A look-up may be retried, and the
// caller can tell that it was.
func TestOnlyRepeatableCallsAreRetried(t *testing.T) {
	reset := func(w http.ResponseWriter, n int) {
		if n == 0 {
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, "found")
	}
	tests := []struct {
		name, method, path string
		calls, status      int
		ran                string
	}{
		{"a booking", http.MethodPost, "/services/booking/seats", 1, http.StatusBadGateway, "unknown"},
		{"a booking with dot segments after search", http.MethodPost, "/services/booking/search/../seats", 1, http.StatusBadGateway, "unknown"},
		{"a booking whose path starts like search", http.MethodPost, "/services/booking/searches", 1, http.StatusBadGateway, "unknown"},
		{"a change", http.MethodPut, "/services/booking/seats", 1, http.StatusBadGateway, "unknown"},
		{"a look-up", http.MethodGet, "/services/booking/seats", 2, http.StatusOK, "yes"},
		{"a search", http.MethodPost, "/services/booking/search/all", 2, http.StatusOK, "yes"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := &fakeService{script: reset}
			upstream := httptest.NewServer(b)
			defer upstream.Close()
			s := newProxy(t, strings.TrimPrefix(upstream.URL, "http://"))
			got := send(t, s, test.method, test.path, "")
			assert.Equal(t, got.status, test.status, got.body)
			assert.Equal(t, got.header.Get("Heathervane-Ran"), test.ran)
			assert.Equal(t, len(b.received()), test.calls)
		})
	}
}

// A service responds to one call, then reads a second one from the same
// connection and closes it. net/http would resend a request without a body by
// itself, because it takes an Idempotency-Key as a sign that this is safe.
func TestTransportDoesNotRetry(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var mu sync.Mutex
	requests := 0
	go serveOnce(l, func() {
		mu.Lock()
		defer mu.Unlock()
		requests++
	})
	s := newProxy(t, l.Addr().String())
	first := send(t, s, http.MethodDelete, "/services/booking/seats/1", "")
	assert.Equal(t, first.status, http.StatusOK, first.body)
	for range 3 {
		got := send(t, s, http.MethodDelete, "/services/booking/seats/2", "", "X-Idempotency-Key", "k")
		assert.Assert(t, got.header.Get("Heathervane-Ran") != "no" || got.status == http.StatusOK)
	}
	l.Close()
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, requests, 4)
}

// serveOnce responds to the first request of each connection, and closes the
// connection without a response at the second.
func serveOnce(l net.Listener, onRequest func()) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			buffer := make([]byte, 4096)
			for n := 0; ; n++ {
				if _, err := c.Read(buffer); err != nil {
					return
				}
				onRequest()
				if n > 0 {
					return
				}
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
					return
				}
			}
		}()
	}
}

// A call is reported as not run only if the service says so or could not be
// reached, and never if a byte of it may have been sent.
func TestNotRunIsReportedOnlyIfCertain(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ int) {
		w.Header().Set("Ran", "no")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	tests := []struct {
		name, ran string
		status    int
		script    func(http.ResponseWriter, int)
	}{
		{"refused by the service", "no", 503, refuse},
		{"a gateway error", "unknown", 502, func(w http.ResponseWriter, _ int) { w.WriteHeader(http.StatusBadGateway) }},
		{"a service error", "yes", 500, func(w http.ResponseWriter, _ int) { w.WriteHeader(http.StatusInternalServerError) }},
		{"an incomplete response", "unknown", 502, func(w http.ResponseWriter, _ int) {
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "half")
		}},
		{"no response in time", "unknown", 504, func(http.ResponseWriter, int) { time.Sleep(300 * time.Millisecond) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := &fakeService{script: test.script}
			upstream := httptest.NewServer(b)
			defer upstream.Close()
			s := newProxy(t, strings.TrimPrefix(upstream.URL, "http://"))
			got := send(t, s, http.MethodPost, "/services/booking/seats", "x", "Request-Timeout", "0.2")
			assert.Equal(t, got.status, test.status, got.body)
			assert.Equal(t, got.header.Get("Heathervane-Ran"), test.ran)
		})
	}
	s := newProxy(t, "127.0.0.1:1")
	got := send(t, s, http.MethodPost, "/services/booking/seats", "x")
	assert.Equal(t, got.header.Get("Heathervane-Ran"), "no")
	assert.Equal(t, got.header.Get("Retry-After"), "1")
}

// A process is paused between acquiring a slot and sending the call. When it
// resumes, the slot is in use by others: sending would overload the service,
// and the caller has long had another response.
func TestExpiredSlotIsNotUsed(t *testing.T) {
	b := &fakeService{script: func(http.ResponseWriter, int) {}}
	upstream := httptest.NewServer(b)
	defer upstream.Close()
	s := newProxyWithAcquirer(t, strings.TrimPrefix(upstream.URL, "http://"), fakeAcquirer{expired: true})
	got := send(t, s, http.MethodPost, "/services/booking/seats", "x")
	assert.Equal(t, got.header.Get("Heathervane-Ran"), "no")
	assert.Equal(t, len(b.received()), 0)
}

func TestInvalidCalls(t *testing.T) {
	tests := []struct {
		name, path, code string
		status           int
		headers          []string
	}{
		{"an unknown service", "/services/nothing/x", "service_not_found", 404, nil},
		{"no token", "/services/booking/x", "unknown_token", 401, []string{"Authorization", ""}},
		{"an invalid timeout", "/services/booking/x", "bad_timeout", 400, []string{"Request-Timeout", "-1"}},
		{"a protocol upgrade", "/services/booking/x", "unsupported", 400, []string{"Upgrade", "websocket", "Connection", "upgrade"}},
		{"an oversized body", "/services/booking/x", "body_too_large", 413, []string{"X-Body", "long"}},
	}
	s := newProxy(t, "127.0.0.1:1")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			body := "x"
			if len(test.headers) > 0 && test.headers[0] == "X-Body" {
				body = strings.Repeat("x", 5000)
			}
			got := send(t, s, http.MethodPost, test.path, body, test.headers...)
			assert.Equal(t, got.status, test.status, got.body)
			assert.Assert(t, strings.Contains(got.body, test.code), got.body)
			assert.Equal(t, got.header.Get("Heathervane-Ran"), "no")
		})
	}
}

// neverTrial lets no VM run a trial of a held call.
func neverTrial(quarantiner.Fingerprint) bool { return false }

// A backoffAcquirer records the backoffs that upstreams request.
type backoffAcquirer struct {
	fakeAcquirer
	requested chan time.Duration
}

func (a backoffAcquirer) BackOff(_ string, wait time.Duration) { a.requested <- wait }

// A service rejects a call and asks for a pause. The calls that follow would reach it all
// the same if only the caller were told.
func TestBackoffThatAServiceRequestsIsKept(t *testing.T) {
	service := &fakeService{script: func(w http.ResponseWriter, _ int) {
		w.Header().Set("Ran", "no")
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(http.StatusServiceUnavailable)
	}}
	upstream := httptest.NewServer(service)
	defer upstream.Close()
	requested := make(chan time.Duration, 10)
	s := newProxyWithAcquirer(t, strings.TrimPrefix(upstream.URL, "http://"), backoffAcquirer{requested: requested})
	a := send(t, s, http.MethodPost, "/services/booking/seats", "x")
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Equal(t, a.header.Get("Retry-After"), "7")
	assert.Equal(t, <-requested, 7*time.Second)
}
