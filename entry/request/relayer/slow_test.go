package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/heathervane/heathervane/entry/process/accountant"
	"github.com/heathervane/heathervane/entry/process/tracker"
)

// smallReceiveBuffer makes the kernel hold little that a slow side has not read.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	}); err != nil {
		return err
	}
	return optErr
}

// ask sends a request without reading the response.
func (b *harness) ask(path string) net.Conn {
	b.t.Helper()
	c, err := (&net.Dialer{Control: smallReceiveBuffer}).DialContext(b.t.Context(), "tcp", b.server.Listener.Addr().String())
	assert.NilError(b.t, err)
	b.t.Cleanup(func() { c.Close() })
	requestCount++
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\nId: id-%d\r\nPrompt: 1000\r\nLimit: 20s\r\nContent-Length: 4\r\n\r\nbody", path, requestCount)
	return c
}

// rest reads a response to its end.
func rest(c net.Conn) (status int, body string, err error) {
	c.SetReadDeadline(time.Now().Add(20 * time.Second)) //nolint:errcheck // the read fails
	reply, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return reply.StatusCode, string(data), err
}

// longStream returns a stream of n events of 4 KiB.
func longStream(n int) string {
	var all strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&all, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 4<<10))
	}
	return all.String()
}

func sendStream(stream string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Sealed", "1")
		io.WriteString(w, stream)
	}
}

// newSlowHarness returns a harness with routes on which requests may take long.
func newSlowHarness(t *testing.T) *harness {
	c := routes()
	for i := range c.Routes {
		c.Routes[i].Timeout = 30 * time.Second
	}
	return newHarness(t, c)
}

func (b *harness) checkNoSuspicion(upstreams ...string) {
	b.t.Helper()
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	assert.Equal(b.t, b.budget.taken, 0, "a retry was taken")
	for _, id := range upstreams {
		s, ok := b.tracker.Get(id)
		assert.Assert(b.t, ok && b.tracker.IsUsable(id), "%s is suspected", id)
		assert.Equal(b.t, s.Outcomes.Failed, 0.0, "%s is blamed", id)
	}
}

// Callers stop reading. Their upstreams must not stay taken, nor be suspected, and whoever
// reads on must get everything.
func TestCallersThatStopReadingKeepNoUpstream(t *testing.T) {
	const callers, total = 200, 80 << 20
	b := newSlowHarness(t)
	b.accounts.SetLimits(accountant.Limits{Total: total})
	stream := longStream(50)
	b.upstream("m-1", "model", sendStream(stream))
	b.upstream("m-2", "model", sendStream(stream))
	var conns []net.Conn
	for range callers {
		conns = append(conns, b.ask("/resume/x"))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		u := b.accounts.Usage("")
		assert.Assert(t, u.Used <= total)
		if n := len(b.requestsReceived()); n < callers {
			return poll.Continue("%d requests were sent", n)
		}
		if u.ByKind[accountant.Bodies] > 0 {
			return poll.Continue("not all responses are read")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	assert.Assert(t, b.accounts.Usage("").ByKind[accountant.Events] > callers*64<<10, "the callers have read: %v", b.accounts.Usage(""))
	var reads sync.WaitGroup
	for _, c := range conns {
		reads.Go(func() {
			status, body, err := rest(c)
			assert.Check(t, err)
			assert.Check(t, status == http.StatusOK && body == stream, "%d: %d of %d bytes", status, len(body), len(stream))
		})
	}
	reads.Wait()
	b.checkNoSuspicion("m-1", "m-2")
	assert.Equal(t, len(b.requestsReceived()), callers)
}

// No memory is free to read ahead, and the caller pauses for longer than an upstream may be
// silent. That is no silence of the upstream.
func TestCallersPauseIsNoSilenceOfTheUpstream(t *testing.T) {
	b := newSlowHarness(t)
	b.accounts.SetLimits(accountant.Limits{Total: 200 << 10})
	stream := longStream(600)
	b.upstream("m-1", "model", sendStream(stream))
	c := b.ask("/resume/x")
	time.Sleep(2500 * time.Millisecond)
	status, body, err := rest(c)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, body == stream, "%d of %d bytes", len(body), len(stream))
	b.checkNoSuspicion("m-1")
	assert.Equal(t, len(b.requestsReceived()), 1)
}

// The upstream cuts off a response that stays unread because of the caller. The prompt must
// not be read once more for that caller, and what it gets must not look complete.
func TestCutOffOfAnUnreadStreamIsNoFaultOfTheUpstream(t *testing.T) {
	b := newSlowHarness(t)
	b.accounts.SetLimits(accountant.Limits{Total: 200 << 10})
	stream := longStream(600)
	b.upstream("m-1", "model", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Sealed", "1")
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(1500 * time.Millisecond)) //nolint:errcheck // net/http's own
		io.WriteString(w, stream)
		panic(http.ErrAbortHandler)
	})
	c := b.ask("/resume/x")
	time.Sleep(2 * time.Second)
	status, body, err := rest(c)
	assert.Equal(t, status, http.StatusOK)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, len(body) > 0 && strings.HasPrefix(stream, body))
	b.checkNoSuspicion("m-1")
	assert.Equal(t, len(b.requestsReceived()), 1)
}

// Memory runs out. New requests must be refused as not run, and then the response of the
// caller that reads nothing ends, without its end.
func TestSlowReadersGiveWayWhenMemoryIsShort(t *testing.T) {
	b := newSlowHarness(t)
	b.accounts.SetLimits(accountant.Limits{Total: 300 << 10})
	stream := longStream(600)
	b.upstream("m-1", "model", sendStream(stream))
	b.upstream("u-1", "plain", answerSealed)
	slow := b.ask("/resume/x")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.accounts.Usage("").ByKind[accountant.Events] < 64<<10 {
			return poll.Continue("nothing is read ahead")
		}
		return poll.Success()
	})
	refused := b.do(b.request(http.MethodPost, "/unsafe/x", "body"))
	assert.Equal(t, refused.status, http.StatusServiceUnavailable, refused.body)
	assert.Equal(t, refused.header.Get("Retry-After"), "3")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if res := b.do(b.request(http.MethodPost, "/unsafe/x", "body")); res.status != http.StatusOK {
			return poll.Continue("%d %s", res.status, res.body)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))
	status, body, err := rest(slow)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, err != nil && strings.HasPrefix(stream, body))
	b.checkNoSuspicion("m-1", "u-1")
	assert.Equal(t, len(b.requestsReceived()), 2)
}

// A caller does not read its buffered response. The upstream must not stay taken.
func TestBufferedResponseKeepsNoUpstream(t *testing.T) {
	b := newSlowHarness(t)
	large := strings.Repeat("x", 900<<10)
	b.upstream("u-1", "plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Sealed", "1")
		io.WriteString(w, large)
	})
	var conns []net.Conn
	for range 3 * 4 {
		b.accounts.SetLimits(accountant.Limits{Total: 80 << 20})
		conns = append(conns, b.ask("/unsafe/x"))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := len(b.requestsReceived()); n < len(conns) {
			return poll.Continue("%d requests were sent", n)
		}
		return poll.Success()
	})
	for _, c := range conns {
		status, body, err := rest(c)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, body == large)
	}
}

// No memory is free to buffer a response. It must be passed on all the same, as the request
// has run.
func TestResponseIsPassedOnWithoutMemory(t *testing.T) {
	b := newSlowHarness(t)
	b.accounts.SetLimits(accountant.Limits{Total: 170 << 10})
	large := strings.Repeat("x", 900<<10)
	b.upstream("u-1", "plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Sealed", "1")
		io.WriteString(w, large)
	})
	res := b.do(b.request(http.MethodPost, "/unsafe/x", "body"))
	assert.NilError(t, res.err)
	assert.Equal(t, res.status, http.StatusOK)
	assert.Assert(t, res.body == large)
}

// An upstream takes a long prompt bit by bit, for longer than it may be silent.
func TestSlowReadingUpstreamIsNotSilent(t *testing.T) {
	b := newSlowHarness(t)
	var requests atomic.Int64
	l, err := (&net.ListenConfig{Control: smallReceiveBuffer}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		requests.Add(1)
		for part := make([]byte, 32<<10); ; time.Sleep(100 * time.Millisecond) {
			if _, err := io.ReadFull(q.Body, part); err != nil {
				break
			}
		}
		w.Header().Set("Id", q.Header.Get("Id"))
		sendStream(eventText(2))(w, q)
	}))
	server.Listener.Close()
	server.Listener = l
	server.Start()
	t.Cleanup(server.Close)
	b.tracker.Put(time.Now(), tracker.Upstream{ID: "m-1", Service: "model", Address: l.Addr().String(), Zone: "z", Slots: 4})
	began := time.Now()
	res := b.do(b.request(http.MethodPost, "/resume/x", strings.Repeat("p", 1<<20)))
	assert.Equal(t, res.status, http.StatusOK, res.body)
	assert.Equal(t, res.body, eventText(2))
	assert.Assert(t, time.Since(began) > 2500*time.Millisecond, "the upstream was too fast for this test")
	b.checkNoSuspicion("m-1")
	assert.Equal(t, requests.Load(), int64(1))
}

// In any mix of callers that read, pause and leave, the budget is kept, no memory is left
// over, and whoever reads to the end has the whole stream.
func TestMixedReadersStayWithinTheBudget(t *testing.T) {
	const total = 6 << 20
	b := newSlowHarness(t)
	b.accounts.SetLimits(accountant.Limits{Total: total})
	stream := longStream(40)
	b.upstream("m-1", "model", sendStream(stream))
	b.upstream("m-2", "model", sendStream(stream))
	var callers sync.WaitGroup
	var complete atomic.Int64
	for i := range 60 {
		c := b.ask("/resume/x")
		callers.Go(func() {
			switch i % 3 {
			case 1:
				time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			case 2:
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				c.Close()
				return
			}
			status, body, err := rest(c)
			if status == http.StatusOK {
				assert.Check(t, (err == nil) == (body == stream), "%d bytes, %v", len(body), err)
			}
			if status == http.StatusOK && err == nil {
				complete.Add(1)
			}
			assert.Check(t, b.accounts.Usage("").Used <= total)
		})
	}
	callers.Wait()
	assert.Assert(t, complete.Load() > 10, "%d callers got their stream", complete.Load())
}
