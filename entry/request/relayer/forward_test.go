package relayer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/relayer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// newCutOffVM returns a VM that reaches no upstream, with the given other VMs.
func newCutOffVM(t *testing.T, peers ...*httptest.Server) *harness {
	t.Helper()
	b := newHarness(t, routes())
	b.unreachable = true
	for i, p := range peers {
		b.peers = append(b.peers, allocator.Member{VM: fmt.Sprintf("peer-%d", i), Address: netip.MustParseAddrPort(p.Listener.Addr().String())})
	}
	return b
}

// servePeers starts the server of a VM for other VMs.
func (b *harness) servePeers() *httptest.Server {
	b.t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		assert.Check(b.t, relayer.IsForwarded(q))
		b.relayer.ServeForwarded(w, q)
	}))
	b.t.Cleanup(server.Close)
	return server
}

// dyingPeer returns a server of a VM that accepts forwarded requests, responds with begin,
// and dies. It counts the requests.
func dyingPeer(t *testing.T, begin string, requests *atomic.Int32) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		requests.Add(1)
		if begin != "" {
			w.Header().Set(refuser.VMHeader, "dying")
			w.Header().Set("Sealed", "s")
			w.Header().Set("Id", q.Header.Get("Id"))
			w.Write([]byte(begin))
			assert.Check(t, http.NewResponseController(w).Flush())
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return server
}

func echo(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Sealed", "s")
	fmt.Fprintf(w, "answer of %s", q.Header.Get("Id"))
}

// A VM that reaches no upstream must have another one serve its requests, and upstreams
// must get them as if they had come directly.
func TestRequestsAreForwardedWhileUpstreamsAreUnreachable(t *testing.T) {
	other := newHarness(t, routes())
	other.upstream("u1", "plain", echo)
	other.upstream("u2", "model", events(3, false))
	b := newCutOffVM(t, other.servePeers())
	for _, target := range []string{"/safe/x?a=%20", "/unsafe/y", "/stream/z", "/resume/z"} {
		q := b.request(http.MethodPost, target, "body")
		q.Header.Set("Custom", "kept")
		q.Header.Set("Limit", "3s")
		got := b.do(q)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK, got.body)
		assert.Equal(t, got.header.Get(refuser.VMHeader), "", "internal header")
		all := other.requestsReceived()
		last := all[len(all)-1]
		assert.Equal(t, last.target, target)
		assert.Equal(t, last.body, "body")
		assert.Equal(t, last.id, q.Header.Get("Id"))
		assert.Equal(t, last.header.Get("Custom"), "kept")
		for name := range last.header {
			assert.Assert(t, !strings.HasPrefix(name, "Heathervane-"), name)
		}
	}
	assert.Equal(t, b.budget.taken+other.budget.taken, 0)
	assert.Equal(t, len(b.requestsReceived()), 0)
}

// A request must not travel in a circle between VMs that reach no upstream. As none of them
// can serve it, it is tried on the own path and then refused as not run.
func TestRequestsDoNotCircleBetweenVMsThatReachNoUpstream(t *testing.T) {
	other := newCutOffVM(t)
	b := newCutOffVM(t, other.servePeers())
	other.peers = []allocator.Member{{VM: "back", Address: netip.MustParseAddrPort(b.servePeers().Listener.Addr().String())}}
	q := b.request(http.MethodPost, "/unsafe/x", "")
	q.Header.Set("Limit", "400ms")
	got := b.do(q)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get(refuser.RanHeader), string(refuser.RanNo))
	assert.Assert(t, b.avoided["peer-0"] && !other.avoided["back"])
}

// A VM of an earlier build does not know forwarded requests. Its 404 must not reach the
// caller; another VM serves the request.
func TestResponseOfAVMThatDoesNotForwardIsNotDelivered(t *testing.T) {
	old := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(old.Close)
	other := newHarness(t, routes())
	other.upstream("u1", "plain", echo)
	b := newCutOffVM(t, old, other.servePeers())
	got := b.do(b.request(http.MethodPost, "/unsafe/x", ""))
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Assert(t, b.avoided["peer-0"])
}

// A VM dies after a request was forwarded to it. A request that must run once may have run,
// so it must not be sent to another VM, nor be reported as not run. Others are repeated
// within the retry budget.
func TestForwardedRequestIsNotRepeatedAfterItsVMDied(t *testing.T) {
	var requests atomic.Int32
	other := newHarness(t, routes())
	other.upstream("u1", "plain", echo)
	for _, begin := range []string{"", "answer"} {
		b := newCutOffVM(t, dyingPeer(t, begin, &requests), other.servePeers())
		got := b.do(b.request(http.MethodPost, "/unsafe/x", ""))
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Equal(t, got.header.Get(refuser.RanHeader), string(refuser.RanUnknown))
		assert.Equal(t, len(other.requestsReceived()), 0)

		b.avoided = map[string]bool{}
		got = b.do(b.request(http.MethodGet, "/safe/x", ""))
		assert.Equal(t, got.status, http.StatusOK, got.body)
		assert.Equal(t, b.budget.taken, 1)
		other.received = nil
	}
	assert.Equal(t, requests.Load(), int32(4))
}

// An upstream's response has a header by which VMs decline requests. The request must not
// run again at another VM.
func TestUpstreamCannotDeclineForAVM(t *testing.T) {
	other := newHarness(t, routes())
	other.upstream("u1", "plain", func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Heathervane-Declined", "busy")
		echo(w, q)
	})
	server := other.servePeers()
	b := newCutOffVM(t, server, server)
	got := b.do(b.request(http.MethodPost, "/unsafe/x", ""))
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, len(other.requestsReceived()), 1)
}

// A VM is paused after a request was forwarded to it. What may be repeated must not wait for
// it, and what may run only once must not be sent again.
func TestForwardedRequestDoesNotWaitForAPausedVM(t *testing.T) {
	paused := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }))
	t.Cleanup(paused.Close)
	other := newHarness(t, routes())
	other.upstream("u1", "plain", echo)
	b := newCutOffVM(t, paused, other.servePeers())
	b.silentPeers = map[string]bool{"peer-0": true}
	start := time.Now()
	got := b.do(b.request(http.MethodGet, "/safe/x", ""))
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Assert(t, time.Since(start) < 3*time.Second, "%v", time.Since(start))
	assert.Equal(t, b.budget.taken, 1)

	b.avoided = map[string]bool{}
	q := b.request(http.MethodPost, "/unsafe/x", "")
	q.Header.Set("Limit", "1s")
	got = b.do(q)
	assert.Equal(t, got.status, http.StatusGatewayTimeout, "%v", got.err)
	assert.Equal(t, len(other.requestsReceived()), 1)
}

// A VM dies in the middle of a stream that it serves for another one. The stream must go on
// after the last event that the caller has, without a gap or a repetition.
func TestForwardedStreamIsResumedAfterItsVMDied(t *testing.T) {
	var requests atomic.Int32
	other := newHarness(t, routes())
	other.upstream("u1", "model", func(w http.ResponseWriter, q *http.Request) {
		assert.Check(t, q.Header.Get("Last") == "2", q.Header.Get("Last"))
		events(4, false)(w, q)
	})
	b := newCutOffVM(t, dyingPeer(t, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\nda", &requests), other.servePeers())
	got := b.do(b.request(http.MethodPost, "/resume/x", ""))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n")
}

// A VM dies in the middle of a stream that may not be resumed. The caller must not take
// what it has for the whole.
func TestTruncatedForwardedStreamDoesNotLookComplete(t *testing.T) {
	var requests atomic.Int32
	b := newCutOffVM(t, dyingPeer(t, "id: 1\ndata: 1\n\n", &requests))
	got := b.do(b.request(http.MethodPost, "/stream/x", ""))
	assert.Assert(t, got.err != nil, "%q looks complete", got.body)
}

// Connections fail because this VM's path is broken. The upstreams must not be blamed, and
// the request must be served by another VM without a retry from the budget.
func TestBrokenPathIsNotBlamedOnUpstreams(t *testing.T) {
	other := newHarness(t, routes())
	other.upstream("u1", "plain", echo)
	b := newCutOffVM(t, other.servePeers())
	b.unreachable = false
	b.closedUpstreams("plain", "u1")
	b.onFailure = func() { b.unreachable = true }
	got := b.do(b.request(http.MethodPost, "/unsafe/x", ""))
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, b.budget.taken, 0)
	assert.Equal(t, len(b.tracker.Unreachable(time.Now())), 0)
}

// A prompt needs memory at several engines, none of which this VM reaches. Another VM must
// serve it.
func TestPromptThatFindsNoEngineForItsMemoryIsForwarded(t *testing.T) {
	other := newHarness(t, routes())
	b := newHarness(t, routes())
	b.peers = []allocator.Member{{VM: "peer-0", Address: netip.MustParseAddrPort(other.servePeers().Listener.Addr().String())}}
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		other.upstream(id, "model", events(3, false))
		b.closedUpstreams("model", id)
	}
	b.memory.err = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	b.onFailure = func() { b.unreachable = true }
	q := b.request(http.MethodPost, "/stream/x", "")
	q.Header.Set("Prompt", "400000")
	got := b.do(q)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, len(b.requestsReceived()), 0)
}

// A VM that has an older configuration than the one from which a request comes must wait for
// it, and decline the request where it does not come.
func TestForwardedRequestIsNotServedByAnOlderConfiguration(t *testing.T) {
	older := routes()
	older.Version = 6
	older.Routes = older.Routes[1:]
	other := newHarness(t, older)
	other.upstream("u1", "plain", echo)
	b := newCutOffVM(t, other.servePeers())
	var changed sync.WaitGroup
	changed.Go(func() {
		time.Sleep(100 * time.Millisecond)
		other.mu.Lock()
		defer other.mu.Unlock()
		other.table = matcher.New(routes())
	})
	got := b.do(b.request(http.MethodGet, "/safe/x", ""))
	changed.Wait()
	assert.Equal(t, got.status, http.StatusOK, got.body)

	other.table = matcher.New(older)
	q := b.request(http.MethodGet, "/safe/x", "")
	q.Header.Set("Limit", "900ms")
	got = b.do(q)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, b.avoided["peer-0"])
}

// A caller with little time left asks through a VM whose configuration is older. The request
// must be declined in time: a booking that nobody ran is otherwise reported as one that may
// have run.
func TestForwardedRequestIsDeclinedBeforeItsDeadline(t *testing.T) {
	older := routes()
	older.Version = 6
	other := newHarness(t, older)
	other.upstream("u1", "plain", echo)
	b := newCutOffVM(t, other.servePeers())
	for _, limit := range []string{"500ms", "400ms", "300ms"} {
		b.avoided = map[string]bool{}
		q := b.request(http.MethodPost, "/unsafe/x", "")
		q.Header.Set("Limit", limit)
		got := b.do(q)
		assert.Equal(t, got.status, http.StatusServiceUnavailable, limit)
		assert.Equal(t, got.header.Get(refuser.RanHeader), string(refuser.RanNo))
	}
	assert.Equal(t, len(other.requestsReceived()), 0)
}

// The caller leaves while another VM serves its request. The upstream must learn of it.
func TestForwardedRequestIsCanceledAtTheUpstream(t *testing.T) {
	running, canceled := make(chan struct{}), make(chan struct{})
	other := newHarness(t, routes())
	other.upstream("u1", "plain", func(_ http.ResponseWriter, q *http.Request) {
		close(running)
		<-q.Context().Done()
		close(canceled)
	})
	b := newCutOffVM(t, other.servePeers())
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-running
		cancel()
	}()
	got := b.do(b.request(http.MethodPost, "/unsafe/x", "").WithContext(ctx))
	assert.Assert(t, got.err != nil)
	select {
	case <-canceled:
	case <-time.After(10 * time.Second):
		t.Fatal("the upstream still works on the request")
	}
}

// Another VM must not be overrun by the requests of VMs that reach no upstream.
func TestForwardedRequestsAreBounded(t *testing.T) {
	release := make(chan struct{})
	other := newHarness(t, routes())
	other.upstream("u1", "plain", func(w http.ResponseWriter, q *http.Request) {
		<-release
		echo(w, q)
	})
	b := newCutOffVM(t, other.servePeers())
	var callers sync.WaitGroup
	for range 2 {
		q := b.request(http.MethodPost, "/unsafe/x", "")
		callers.Go(func() { assert.Check(t, b.do(q).status == http.StatusOK) })
	}
	for len(other.requestsReceived()) < 2 {
		time.Sleep(time.Millisecond)
	}
	q := b.request(http.MethodPost, "/unsafe/x", "")
	q.Header.Set("Limit", "300ms")
	assert.Equal(t, b.do(q).status, http.StatusServiceUnavailable)
	close(release)
	callers.Wait()
	assert.Equal(t, len(other.requestsReceived()), 2)
}

// A request was forwarded to a VM that stops before the request has a place. It has not run, so
// that a third VM must serve it.
func TestForwardedRequestThatWaitsAtAStoppingVMIsServedByAnother(t *testing.T) {
	stopping, third := newHarness(t, routes()), newHarness(t, routes())
	stopping.upstream("u1", "plain", func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() })
	third.upstream("u1", "plain", echo)
	b := newCutOffVM(t, stopping.servePeers(), third.servePeers())
	var callers sync.WaitGroup
	send := func(at *harness, want int) {
		q := at.request(http.MethodPost, "/unsafe/x", "")
		callers.Go(func() { assert.Check(t, is.Equal(at.do(q).status, want)) })
	}
	for range 4 {
		send(stopping, http.StatusBadGateway)
	}
	for len(stopping.requestsReceived()) < 4 {
		time.Sleep(time.Millisecond)
	}
	send(b, http.StatusOK)
	time.Sleep(100 * time.Millisecond)
	stopping.relayer.Interrupt()
	callers.Wait()
	assert.Equal(t, len(stopping.requestsReceived()), 4)
}

// Another VM has served a request by a newer configuration than this VM has. The next
// request must not be handled by the older one.
func TestConfigurationDoesNotGoBackBetweenVMs(t *testing.T) {
	newer := routes()
	newer.Version = 9
	other := newHarness(t, newer)
	other.upstream("u1", "plain", echo)
	b := newCutOffVM(t, other.servePeers())
	assert.Equal(t, b.do(b.request(http.MethodGet, "/safe/x", "")).status, http.StatusOK)
	var changed sync.WaitGroup
	changed.Go(func() {
		time.Sleep(100 * time.Millisecond)
		newer.Routes = newer.Routes[1:]
		b.mu.Lock()
		defer b.mu.Unlock()
		b.table = matcher.New(newer)
	})
	assert.Equal(t, b.do(b.request(http.MethodGet, "/safe/x", "")).status, http.StatusNotFound)
	changed.Wait()
}
