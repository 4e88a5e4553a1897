package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u", "plain", func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("X-Own", "a")
		w.Header().Set("Connection", "close")
		answerSealed(w, q)
	})
	q := b.request(http.MethodPost, "/unsafe/a//%2f/../b?c=%20&d", "body")
	q.URL.Opaque = "/unsafe/a//%2f/../b"
	q.Header.Set("X-Theirs", "b")
	q.Header.Set("Connection", "X-Hop")
	q.Header.Set("X-Hop", "c")
	o := b.do(q)
	assert.Equal(t, o.status, http.StatusOK)
	assert.Equal(t, o.body, "done")
	assert.Equal(t, o.header.Get("X-Own"), "a")
	a := b.requestsReceived()[0]
	assert.Equal(t, a.method+" "+a.target+" "+a.body, "POST /unsafe/a//%2f/../b?c=%20&d body")
	assert.Equal(t, a.header.Get("X-Theirs"), "b")
	assert.Equal(t, a.header.Get("X-Hop"), "")
	assert.Equal(t, a.header.Get("Upstream"), "u")
}

// The response to a booking is lost, so that it may have run. It must not be sent
// again in any way, nor be reported as not run.
func TestPossiblyRunRequestIsNotSentAgain(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			b := newHarness(t, routes())
			for _, id := range []string{"u1", "u2"} {
				b.upstream(id, "plain", dropConnection)
				b.upstream(id+"m", "model", dropConnection)
			}
			o := b.do(b.request(method, path, ""))
			assert.Equal(t, o.status, http.StatusBadGateway, "%s %s", method, path)
			assert.Equal(t, o.header.Get("Retry-After"), "")
			assert.Equal(t, len(b.requestsReceived()), 1)
		}
	}
}

// The same applies if the first upstream declines and the second one loses the
// response.
func TestDeclineThenLossIsNotReportedAsNotRun(t *testing.T) {
	b := newHarness(t, routes())
	declined := false
	either := func(w http.ResponseWriter, q *http.Request) {
		if !declined {
			declined = true
			decline(w, q)
			return
		}
		dropConnection(w, q)
	}
	b.upstream("u1", "plain", either)
	b.upstream("u2", "plain", either)
	o := b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
	assert.Equal(t, o.status, http.StatusBadGateway)
	assert.Equal(t, len(b.requestsReceived()), 2)
}

// A lookup may have run at an upstream that is gone since, and there is no other one
// for a retry. The failed retry must not be reported as not run.
func TestFailedRetryIsNotReportedAsNotRun(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u1", "plain", func(w http.ResponseWriter, q *http.Request) {
		b.tracker.Remove(time.Now(), "u1", false)
		dropConnection(w, q)
	})
	q := b.request(http.MethodGet, "/safe/x", "")
	q.Header.Set("Limit", "300ms")
	o := b.do(q)
	assert.Equal(t, o.status, http.StatusBadGateway)
	assert.Equal(t, len(b.requestsReceived()), 1)
}

// A request that an upstream declined did not run there, so that it goes to another
// one whatever its kind. If all decline, it is reported as not run.
func TestDeclinedRequestGoesToAnotherUpstream(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u1", "plain", decline)
	o := b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
	assert.Equal(t, o.status, http.StatusServiceUnavailable)
	assert.Assert(t, o.header.Get("Retry-After") != "")
	b.upstream("u2", "plain", answerSealed)
	o = b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
	assert.Equal(t, o.status, http.StatusOK)
}

// Callers take a 503, 429 or 408 for "not run". It must not be forwarded if the
// upstream did not say so.
func TestStatusesImplyingNotRunAreNotForwarded(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		b := newHarness(t, routes())
		b.upstream("u1", "plain", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		o := b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
		assert.Equal(t, o.status, http.StatusBadGateway)
	}
}

// An error response of an upstream is forwarded unchanged, with its seal.
func TestErrorResponsesAreForwardedUnchanged(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u1", "plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Sealed", "s")
		http.Error(w, "it broke", http.StatusInternalServerError)
	})
	o := b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
	assert.Equal(t, o.status, http.StatusInternalServerError)
	assert.Equal(t, o.header.Get("Sealed"), "s")
	assert.Equal(t, o.body, "it broke\n")
	assert.Equal(t, len(b.requestsReceived()), 1)
}

// A lookup that failed is retried at other upstreams, but no more often than its route
// and the retry budget allow.
func TestSafeRequestsAreRepeatedWithinBounds(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u1", "plain", dropConnection)
	b.upstream("u2", "plain", dropConnection)
	b.upstream("u3", "plain", dropConnection)
	o := b.do(b.request(http.MethodGet, "/safe/x", ""))
	assert.Equal(t, o.status, http.StatusBadGateway)
	assert.Equal(t, len(b.requestsReceived()), 2, "two attempts are allowed")
	assert.Equal(t, b.budget.taken, 1)

	b.budget.remaining = 0
	o = b.do(b.request(http.MethodGet, "/safe/x", ""))
	assert.Equal(t, o.status, http.StatusBadGateway)
	assert.Equal(t, len(b.requestsReceived()), 3)
}

// The response to an earlier request may arrive late on a reused connection, in place
// of the next one's. No caller may get another caller's response.
func TestResponsesToOtherRequestsAreNotForwarded(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u1", "plain", func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Id", "of-somebody-else")
		answerSealed(w, q)
	})
	o := b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
	assert.Equal(t, o.status, http.StatusBadGateway)
	assert.Equal(t, len(b.requestsReceived()), 1)
	o = b.do(b.request(http.MethodGet, "/safe/x", ""))
	assert.Equal(t, o.status, http.StatusBadGateway)
	assert.Equal(t, len(b.requestsReceived()), 3, "a lookup may be tried twice")
}

// A successful response that is unsealed, truncated or content-encoded is a failure.
func TestBrokenSuccessesAreFailures(t *testing.T) {
	scripts := map[string]http.HandlerFunc{
		"unsealed": func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") },
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Sealed", "1")
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "half")
			w.(http.Flusher).Flush() //nolint:forcetypeassert // net/http's own
			panic(http.ErrAbortHandler)
		},
		"encoded": func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			answerSealed(w, q)
		},
	}
	for name, script := range scripts {
		b := newHarness(t, routes())
		b.upstream("u1", "plain", script)
		o := b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
		assert.Equal(t, o.status, http.StatusBadGateway, name)
		b.upstream("u2", "plain", answerSealed)
		for range 4 {
			o = b.do(b.request(http.MethodGet, "/safe/x", ""))
			assert.Equal(t, o.status, http.StatusOK, name)
		}
	}
}

// Each request that the configuration does not allow is refused with its own status.
// Without a configuration, as on a VM that has just started, the refusal says to retry.
func TestRefusalsByTheConfiguration(t *testing.T) {
	c := routes()
	c.Teams = []matcher.Team{{Name: "gold", APIKeys: []string{"k"}}}
	c.Routes[0].Anonymous = true
	b := newHarness(t, c)
	b.upstream("u1", "plain", answerSealed)
	assert.Equal(t, b.do(b.request(http.MethodGet, "/none/x", "")).status, http.StatusNotFound)
	assert.Equal(t, b.do(b.request(http.MethodPost, "/unsafe/x", "")).status, http.StatusUnauthorized)
	assert.Equal(t, b.do(b.request(http.MethodGet, "/safe/x", "")).status, http.StatusOK)
	q := b.request(http.MethodPost, "/unsafe/x", "")
	q.Header.Set("Key", "k")
	q.Header.Set("Team", "of another")
	assert.Equal(t, b.do(q).status, http.StatusOK)
	seen := b.requestsReceived()
	assert.Equal(t, seen[len(seen)-1].header.Get("Team"), "gold")
	assert.Equal(t, b.do(b.request(http.MethodPost, "/unsafe/x", strings.Repeat("x", 2<<20))).status, http.StatusUnauthorized)
	q = b.request(http.MethodPost, "/unsafe/x", strings.Repeat("x", 2<<20))
	q.Header.Set("Key", "k")
	assert.Equal(t, b.do(q).status, http.StatusRequestEntityTooLarge)
	b.table = nil
	o := b.do(b.request(http.MethodGet, "/none/x", ""))
	assert.Equal(t, o.status, http.StatusServiceUnavailable)
	assert.Assert(t, o.header.Get("Retry-After") != "")
}

// If an upstream never responds, the caller gets a timeout at its own limit or at
// its route's, whichever is shorter.
func TestTimeoutsEndRequests(t *testing.T) {
	c := routes()
	c.Routes[1].Timeout = 300 * time.Millisecond
	b := newHarness(t, c)
	ended := make(chan struct{}, 2)
	b.upstream("u1", "plain", func(_ http.ResponseWriter, q *http.Request) {
		<-q.Context().Done()
		ended <- struct{}{}
	})
	start := time.Now()
	o := b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
	assert.Equal(t, o.status, http.StatusGatewayTimeout)
	took := time.Since(start)
	assert.Assert(t, took >= 300*time.Millisecond && took < 3*time.Second, "%v", took)
	<-ended
	q := b.request(http.MethodPost, "/unsafe/x", "b")
	q.Header.Set("Limit", "50ms")
	assert.Equal(t, b.do(q).status, http.StatusGatewayTimeout)
	<-ended
}

// When the caller disconnects, the connection to the upstream is closed at once.
func TestCallerDisconnectClosesUpstreamConnection(t *testing.T) {
	b := newHarness(t, routes())
	begun, ended := make(chan struct{}), make(chan struct{})
	b.upstream("u1", "plain", func(_ http.ResponseWriter, q *http.Request) {
		close(begun)
		<-q.Context().Done()
		close(ended)
	})
	q := b.request(http.MethodPost, "/unsafe/x", "b")
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	assert.ErrorIs(t, b.do(q.WithContext(ctx)).err, context.Canceled)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the upstream still runs the request")
	}
}

// An upstream that is gone is forgotten once another process responds at its address
// that requests for it are misdirected.
func TestMisdirectedUpstreamIsForgotten(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u1", "plain", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	assert.Equal(t, b.do(b.request(http.MethodPost, "/unsafe/x", "b")).status, http.StatusServiceUnavailable)
	assert.Equal(t, b.tracker.Len(), 0)
}

// A VM that is about to stop accepts only requests that it can still finish, and
// refuses the others so that callers retry elsewhere.
func TestStoppingVMAcceptsOnlyWhatItCanFinish(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u1", "plain", answerSealed)
	b.shutdownIn.Store(int64(3 * time.Second))
	o := b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
	assert.Equal(t, o.status, http.StatusOK)
	b.shutdownIn.Store(int64(time.Millisecond))
	o = b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
	assert.Equal(t, o.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(b.requestsReceived()), 1)
}

// A VM that stops takes a request late because it usually ends in time. An engine's queue or
// silence then keeps it until the VM cuts the answer off, so that only the request's deadline
// may count.
func TestStoppingVMTakesNoRequestThatItMayCutOff(t *testing.T) {
	const left = 3 * time.Second
	for _, c := range []struct {
		name, target, limit string
		strict              bool
		want                int
	}{
		{"a stream in the first seconds", "/stream/x", "5s", false, http.StatusOK},
		{"a stream", "/stream/x", "5s", true, http.StatusServiceUnavailable},
		{"a stream that can be resumed", "/resume/x", "5s", true, http.StatusServiceUnavailable},
		{"a stream that ends before the VM", "/stream/x", "2s", true, http.StatusOK},
		{"a booking", "/unsafe/x", "5s", true, http.StatusServiceUnavailable},
		{"a booking that ends before the VM", "/unsafe/x", "2s", true, http.StatusOK},
		{"a booking that ends with the VM", "/unsafe/x", "3s", true, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t, routes())
			b.upstream("u1", "plain", answerSealed)
			b.upstream("u2", "model", events(3, false))
			b.shutdownIn.Store(int64(left))
			b.strict.Store(c.strict)
			q := b.request(http.MethodPost, c.target, "b")
			q.Header.Set("Limit", c.limit)
			o := b.do(q)
			assert.NilError(t, o.err)
			assert.Equal(t, o.status, c.want)
			if c.want == http.StatusOK {
				return
			}
			assert.Equal(t, o.header.Get(refuser.RanHeader), string(refuser.RanNo))
			assert.Equal(t, o.header.Get("Retry-After"), "0.02", "another VM can serve it at once")
			assert.Equal(t, len(b.requestsReceived()), 0)
		})
	}
}

// Requests are still in progress when a VM stops, because their upstreams are silent or no
// engine has a place. Their callers must get an answer that says whether they may have run,
// and not a closed connection, except for streams that have begun.
func TestStoppingVMAnswersRequestsInProgress(t *testing.T) {
	b := newHarness(t, routes())
	hang := func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }
	b.upstream("u1", "plain", hang)
	b.upstream("u2", "model", func(w http.ResponseWriter, q *http.Request) {
		if strings.HasPrefix(q.RequestURI, "/resume/") {
			events(2, false)(w, q)
		}
		hang(w, q)
	})
	type answer struct {
		target string
		result
	}
	answers := make(chan answer)
	send := func(target string) {
		q := b.request(http.MethodPost, target, "b")
		go func() { answers <- answer{target, b.do(q)} }()
	}
	targets := []string{"/unsafe/x", "/safe/x", "/resume/x", "/stream/x"}
	for _, target := range targets {
		send(target)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := len(b.requestsReceived()); n < len(targets) {
			return poll.Continue("%d requests were sent", n)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	for i := range 4 * engine.Slots {
		targets = append(targets, fmt.Sprintf("/stream/%d", i))
		send(targets[len(targets)-1])
	}
	time.Sleep(100 * time.Millisecond)
	sent := map[string]bool{}
	for _, q := range b.requestsReceived() {
		sent[q.target] = true
	}
	b.relayer.Interrupt()
	for range targets {
		a := <-answers
		if a.target == "/resume/x" {
			assert.Check(t, a.err != nil, "a stream that was cut off looks complete")
			continue
		}
		want := http.StatusServiceUnavailable
		if sent[a.target] {
			want = http.StatusBadGateway
		}
		assert.Check(t, a.err)
		assert.Check(t, a.status == want, "%s: %d", a.target, a.status)
	}
	assert.Check(t, len(sent) < len(targets), "no request waited for a place")
	assert.Equal(t, len(b.requestsReceived()), len(sent), "a request was sent after the interruption")
}

// The body of a request comes so slowly that the VM may no longer be able to finish it.
func TestStoppingVMRefusesARequestWhoseBodyCameLate(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u2", "model", events(3, false))
	b.shutdownIn.Store(int64(3 * time.Second))
	body, writer := io.Pipe()
	go func() {
		_, err := io.WriteString(writer, "half ")
		assert.Check(t, err)
		time.Sleep(50 * time.Millisecond)
		b.strict.Store(true)
		_, err = io.WriteString(writer, "and the rest")
		assert.Check(t, err)
		writer.Close()
	}()
	q := b.request(http.MethodPost, "/stream/x", "")
	q.Body, q.ContentLength = body, int64(len("half and the rest"))
	assert.Equal(t, b.do(q).status, http.StatusServiceUnavailable)
	assert.Equal(t, len(b.requestsReceived()), 0)
}

func TestStreamsPassEventByEvent(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u1", "model", events(3, false))
	o := b.do(b.request(http.MethodPost, "/stream/x", "p"))
	assert.NilError(t, o.err)
	assert.Equal(t, o.status, http.StatusOK)
	assert.Equal(t, o.body, eventText(3))
}

// An engine crashes in the middle of an event. If the route allows it, the stream is
// resumed at another engine after the last complete event, within the same response.
// The caller sees every event once.
func TestInterruptedStreamIsResumedElsewhere(t *testing.T) {
	b := newHarness(t, routes())
	first := true
	script := func(w http.ResponseWriter, q *http.Request) {
		if first {
			first = false
			events(4, true)(w, q)
			return
		}
		events(9, false)(w, q)
	}
	b.upstream("u1", "model", script)
	b.upstream("u2", "model", script)
	o := b.do(b.request(http.MethodPost, "/resume/x", "p"))
	assert.NilError(t, o.err)
	assert.Equal(t, o.body, eventText(9))
	seen := b.requestsReceived()
	assert.Equal(t, len(seen), 2)
	assert.Assert(t, seen[0].upstream != seen[1].upstream)
	assert.Equal(t, seen[1].header.Get("Last"), "4")
}

// If a stream must not be resumed, or no attempt is left, the caller must see that it
// is incomplete.
func TestInterruptedStreamNeverLooksComplete(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		b := newHarness(t, routes())
		for _, id := range []string{"u1", "u2", "u3"} {
			b.upstream(id, "model", events(2, true))
		}
		o := b.do(b.request(http.MethodPost, path, "p"))
		assert.Assert(t, o.err != nil, path)
		assert.Equal(t, o.body, eventText(2), "only complete events")
	}
}

// An engine that loses power sends nothing more and does not close its connections.
// The stream must be resumed elsewhere long before the request's timeout, as callers
// tolerate only a short pause.
func TestSilentStreamIsResumedElsewhere(t *testing.T) {
	b := newHarness(t, routes())
	first := true
	script := func(w http.ResponseWriter, q *http.Request) {
		if !first {
			events(5, false)(w, q)
			return
		}
		first = false
		events(2, false)(w, q)
		<-q.Context().Done()
	}
	b.upstream("u1", "model", script)
	b.upstream("u2", "model", script)
	start := time.Now()
	o := b.do(b.request(http.MethodPost, "/resume/x", "p"))
	assert.NilError(t, o.err)
	assert.Equal(t, o.body, eventText(5))
	assert.Assert(t, time.Since(start) < 4*time.Second)
}

// An engine pauses for longer than usual and continues. If the stream cannot be
// resumed elsewhere, the silence alone must not end it.
func TestSilenceAloneEndsNoStream(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		b := newHarness(t, routes())
		b.budget.remaining = 0
		b.upstream("u1", "model", func(w http.ResponseWriter, q *http.Request) {
			events(1, false)(w, q)
			w.(http.Flusher).Flush() //nolint:forcetypeassert // net/http's own
			time.Sleep(2200 * time.Millisecond)
			io.WriteString(w, strings.TrimPrefix(eventText(2), eventText(1)))
		})
		o := b.do(b.request(http.MethodPost, path, "p"))
		assert.NilError(t, o.err, path)
		assert.Equal(t, o.body, eventText(2))
		assert.Equal(t, len(b.requestsReceived()), 1)
	}
}

// An engine pauses for longer than usual while the VM is about to stop, and continues.
// No time is left to resume the stream at another engine, so that ending it for its
// silence would truncate it.
func TestSilenceEndsNoStreamOnAStoppingVM(t *testing.T) {
	b := newHarness(t, routes())
	for _, id := range []string{"u1", "u2"} {
		b.upstream(id, "model", func(w http.ResponseWriter, q *http.Request) {
			events(1, false)(w, q)
			w.(http.Flusher).Flush() //nolint:forcetypeassert // net/http's own
			b.shutdownIn.Store(int64(time.Millisecond))
			time.Sleep(2200 * time.Millisecond)
			io.WriteString(w, strings.TrimPrefix(eventText(2), eventText(1)))
		})
	}
	o := b.do(b.request(http.MethodPost, "/resume/x", "p"))
	assert.NilError(t, o.err)
	assert.Equal(t, o.body, eventText(2))
	assert.Equal(t, len(b.requestsReceived()), 1)
}

// For a prompt that exceeds one engine's memory, memory is reserved at others. The
// request names the reservations, and all are released when the response ends.
func TestMemoryIsReservedAndReleased(t *testing.T) {
	b := newHarness(t, routes())
	held := 0
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		b.upstream(id, "model", func(w http.ResponseWriter, q *http.Request) {
			held = b.memory.heldCount()
			events(1, false)(w, q)
		})
	}
	q := b.request(http.MethodPost, "/stream/x", "p")
	q.Header.Set("Prompt", "400000")
	o := b.do(q)
	assert.NilError(t, o.err)
	assert.Equal(t, o.body, eventText(1))
	assert.Assert(t, held > 0)
	named := 0
	for _, helper := range b.requestsReceived()[0].header.Values("Helper") {
		if !strings.HasSuffix(helper, "/") {
			named++
		}
	}
	assert.Equal(t, named, held)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.memory.heldCount() == 0 {
			return poll.Success()
		}
		return poll.Continue("still held")
	})
}

// If memory cannot be reserved at every engine that a prompt needs, nothing stays
// reserved, and the request waits until its deadline without being sent.
func TestMemoryIsReservedAtAllEnginesOrNone(t *testing.T) {
	b := newHarness(t, routes())
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		server := b.upstream(id, "model", events(1, false))
		b.memory.full[strings.TrimPrefix(server.URL, "http://")] = true
	}
	q := b.request(http.MethodPost, "/stream/x", "p")
	q.Header.Set("Prompt", "400000")
	q.Header.Set("Limit", "4s")
	o := b.do(q)
	assert.Equal(t, o.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(b.requestsReceived()), 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.memory.heldCount() == 0 {
			return poll.Success()
		}
		return poll.Continue("still held")
	})
}

// Without any upstream the request is refused as not run, with a time to retry.
func TestNoUpstreamIsReportedAsNotRun(t *testing.T) {
	b := newHarness(t, routes())
	q := b.request(http.MethodPost, "/unsafe/x", "b")
	q.Header.Set("Limit", "200ms")
	o := b.do(q)
	assert.Equal(t, o.status, http.StatusServiceUnavailable)
	assert.Assert(t, o.header.Get("Retry-After") != "")
}

// A process that has just started has no configuration for some tens of milliseconds.
// Most callers would not retry if they were refused in this time.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	b := newUnconfiguredHarness(t, routes())
	b.upstream("u1", "plain", answerSealed)
	time.AfterFunc(30*time.Millisecond, func() { close(b.configured) })
	got := b.do(b.request(http.MethodGet, "/safe/a", ""))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
}

// If no configuration arrives, callers learn soon that their requests did not run and
// when to retry.
func TestRequestWithoutAConfigurationIsRefusedInTime(t *testing.T) {
	b := newUnconfiguredHarness(t, routes())
	q := b.request(http.MethodGet, "/safe/a", "")
	q.Header.Set("Limit", "400ms")
	began := time.Now()
	got := b.do(q)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(began) < 300*time.Millisecond, "the refusal took %v", time.Since(began))
}

// Half of the engines are taken away, and the platform's list does not show it. They
// finish their requests, decline to help and fail their health checks. A long prompt
// must not lose one attempt to each of them.
func TestOneDeclineRevealsAllLeavingEngines(t *testing.T) {
	b := newHarness(t, routes())
	leaving := map[string]bool{}
	declined := atomic.Int32{}
	script := func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/health" {
			if leaving[q.Host] {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		for _, helper := range q.Header.Values("Helper") {
			if address := strings.TrimSuffix(helper, "/"); leaving[address] {
				declined.Add(1)
				w.Header().Set("Fault", address)
				decline(w, q)
				return
			}
		}
		events(1, false)(w, q)
	}
	for i := range 8 {
		server := b.upstream("u"+strconv.Itoa(i), "model", script)
		leaving[strings.TrimPrefix(server.URL, "http://")] = i%2 == 0
	}
	q := b.request(http.MethodPost, "/resume/x", "p")
	q.Header.Set("Prompt", "200000")
	o := b.do(q)
	assert.NilError(t, o.err)
	assert.Equal(t, o.status, http.StatusOK)
	assert.Assert(t, declined.Load() <= 1, "%d engines declined in turn", declined.Load())
	last := b.requestsReceived()[len(b.requestsReceived())-1]
	for _, helper := range last.header.Values("Helper") {
		assert.Assert(t, !leaving[strings.TrimSuffix(helper, "/")])
	}
}

// All upstreams start draining while memory is being reserved, between the grant of a
// placement and the sending of the request. It must not be sent to them.
func TestDrainingUpstreamGetsNoPlacedRequest(t *testing.T) {
	b := newHarness(t, routes())
	var listed []tracker.Upstream
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		server := b.upstream(id, "model", events(1, false))
		listed = append(listed, tracker.Upstream{ID: id, Service: "model", Address: strings.TrimPrefix(server.URL, "http://"), Zone: "z", Slots: 4, Draining: true})
	}
	b.memory.onReserve = func() {
		for _, u := range listed {
			b.tracker.Put(time.Now(), u)
		}
	}
	q := b.request(http.MethodPost, "/stream/x", "p")
	q.Header.Set("Prompt", "400000")
	o := b.do(q)
	assert.NilError(t, o.err)
	assert.Equal(t, o.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(b.requestsReceived()), 0)
}

// Two engines announce that they are leaving while memory is being reserved there for a
// long prompt. The prompt must be sent to other engines, and neither of them may be asked
// to help with it.
func TestLeavingEnginesDoNotHelpWithPlacedPrompt(t *testing.T) {
	b := newHarness(t, routes())
	leaving := map[string]bool{}
	for i, id := range []string{"u1", "u2", "u3", "u4", "u5", "u6"} {
		server := b.upstream(id, "model", events(1, false))
		leaving[strings.TrimPrefix(server.URL, "http://")] = i < 2
	}
	b.memory.onReserve = func() {
		b.tracker.ReportDeparture(time.Now(), "u1", 0)
		b.tracker.ReportDeparture(time.Now(), "u2", 0)
	}
	for range 3 {
		q := b.request(http.MethodPost, "/stream/x", "p")
		q.Header.Set("Prompt", "400000")
		o := b.do(q)
		assert.NilError(t, o.err)
		assert.Equal(t, o.status, http.StatusOK)
	}
	for _, received := range b.requestsReceived() {
		upstream := received.header.Get("Upstream")
		assert.Assert(t, upstream != "u1" && upstream != "u2", "%s got the prompt", upstream)
		for _, helper := range received.header.Values("Helper") {
			address, _, _ := strings.Cut(helper, "/")
			assert.Assert(t, !leaving[address], "%s was asked to help", address)
		}
	}
}

// An upstream falls silent while the retry budget is used up. The request must be sent to
// another upstream once the budget allows it, and not wait there until its end.
func TestSilentUpstreamIsLeftOnceTheBudgetAllowsIt(t *testing.T) {
	b := newHarness(t, routes())
	b.budget.remaining = 0
	var first sync.Once
	for _, id := range []string{"u1", "u2"} {
		b.upstream(id, "plain", func(w http.ResponseWriter, q *http.Request) {
			isFirst := false
			first.Do(func() { isFirst = true })
			if isFirst {
				<-q.Context().Done()
				return
			}
			echo(w, q)
		})
	}
	timer := time.AfterFunc(2500*time.Millisecond, func() {
		b.budget.mu.Lock()
		defer b.budget.mu.Unlock()
		b.budget.remaining = 1
	})
	defer timer.Stop()
	got := b.do(b.request(http.MethodGet, "/safe/x", ""))
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, b.budget.taken, 1)
}
