package relayer_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/heathervane/heathervane/entry/process/tracker"
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

// A booking is sent and its answer is lost. It may have been made: it must not
// be sent again, by any way, and "not run" must not be said.
func TestWhatMayHaveRunOnceIsNotSentAgain(t *testing.T) {
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

// The same holds where the first upstream declined and the second lost it.
func TestDeclinedThenLostIsNotCalledNotRun(t *testing.T) {
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

// A lookup may have run at an upstream that is gone since, and no other has a
// place for it in time. That it was not placed again does not make it "not run".
func TestNoPlaceAfterASendingIsNotCalledNotRun(t *testing.T) {
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

// An upstream that says that it did not run the request leaves it free to go
// elsewhere, whatever its kind; where all decline, "not run" is true.
func TestDeclinedGoesElsewhere(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u1", "plain", decline)
	o := b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
	assert.Equal(t, o.status, http.StatusServiceUnavailable)
	assert.Assert(t, o.header.Get("Retry-After") != "")
	b.upstream("u2", "plain", answerSealed)
	o = b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
	assert.Equal(t, o.status, http.StatusOK)
}

// A 503 without the word that it did not run would be taken for it.
func TestRefusalsThatPromiseNothingAreNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		b := newHarness(t, routes())
		b.upstream("u1", "plain", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		o := b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
		assert.Equal(t, o.status, http.StatusBadGateway)
	}
}

// An upstream's own failure is its answer: it goes on as it is, with its seal.
func TestFailuresOfUpstreamsPassUnchanged(t *testing.T) {
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

// A lookup that failed at one upstream succeeds at another, no more often than
// its route allows and never beyond the budget.
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

// An answer to an earlier request comes late on a kept connection, where the
// next one's is due. Nobody may get another member's answer.
func TestForeignAnswersReachNobody(t *testing.T) {
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

// A success without its seal, or of which only a part came, is none.
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

// What the configuration does not allow is refused by name, and what it cannot
// answer yet is not refused for good: a VM that has just started knows nothing.
func TestRefusalsByTheConfiguration(t *testing.T) {
	c := routes()
	c.Teams = []matcher.Team{{Name: "gold", Keys: []string{"k"}}}
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

// An upstream never answers. The caller is told at its limit, or at its route's
// if that is shorter, and not later.
func TestLimitsEndRequests(t *testing.T) {
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

// The caller leaves. Its upstream is told by the connection's end, at once.
func TestUpstreamLearnsThatTheCallerLeft(t *testing.T) {
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
		t.Fatal("the upstream works on")
	}
}

// Another process has the address of an upstream that is gone: it says so, and
// gets nothing more.
func TestMisplacedUpstreamIsForgotten(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u1", "plain", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	assert.Equal(t, b.do(b.request(http.MethodPost, "/unsafe/x", "b")).status, http.StatusServiceUnavailable)
	assert.Equal(t, b.tracker.Len(), 0)
}

// A VM that is about to stop takes what it can still end, and says to come to
// another with the rest; its callers learn that the connection ends.
func TestLeavingVMTakesWhatItCanEnd(t *testing.T) {
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

func TestStreamsPassEventByEvent(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u1", "model", events(3, false))
	o := b.do(b.request(http.MethodPost, "/stream/x", "p"))
	assert.NilError(t, o.err)
	assert.Equal(t, o.status, http.StatusOK)
	assert.Equal(t, o.body, eventText(3))
}

// An engine dies in the middle of an event. Where the route allows, the stream
// goes on at another engine after the last whole event, in the same answer; the
// caller sees every event once.
func TestCutStreamGoesOnElsewhere(t *testing.T) {
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

// Where it may not be resumed, or no further attempt is allowed, the caller must
// see that the stream is not whole.
func TestCutStreamNeverLooksWhole(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		b := newHarness(t, routes())
		for _, id := range []string{"u1", "u2", "u3"} {
			b.upstream(id, "model", events(2, true))
		}
		o := b.do(b.request(http.MethodPost, path, "p"))
		assert.Assert(t, o.err != nil, path)
		assert.Equal(t, o.body, eventText(2), "only whole events")
	}
}

// An engine loses its power: no byte comes and no end. Callers bear a short
// pause, so that the stream goes on elsewhere long before its limit.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
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

// An engine pauses for longer than usual, and goes on. Where the stream cannot go
// on elsewhere, its silence alone must not end it.
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

// An engine pauses for longer than usual while the VM is about to stop, and goes on.
// There is no time left for another engine, so that a stream that is ended for its
// silence is cut for the caller.
func TestSilenceEndsNoStreamOfAVMThatStops(t *testing.T) {
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

// A prompt above one engine's memory has some set aside at others, under names
// that go with the request; with the answer's end all of it is given back.
func TestMemoryIsSetAsideAndGivenBack(t *testing.T) {
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

// One of the engines has no memory after all: what others set aside is given
// back, the request waits its time, and nothing was sent.
func TestMemoryIsSetAsideAtAllOrNone(t *testing.T) {
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

// No upstream lives: the caller is told in time to go elsewhere, as not run.
func TestNoUpstreamIsNotRun(t *testing.T) {
	b := newHarness(t, routes())
	q := b.request(http.MethodPost, "/unsafe/x", "b")
	q.Header.Set("Limit", "200ms")
	o := b.do(q)
	assert.Equal(t, o.status, http.StatusServiceUnavailable)
	assert.Assert(t, o.header.Get("Retry-After") != "")
}

// A process that has just started has no configuration for some tens of
// milliseconds. Refused meanwhile, most callers would not come back.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	b := newUnconfiguredHarness(t, routes())
	b.upstream("u1", "plain", answerSealed)
	time.AfterFunc(30*time.Millisecond, func() { close(b.configured) })
	got := b.do(b.request(http.MethodGet, "/safe/a", ""))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
}

// Where no configuration comes, a caller learns soon that its request has not run
// and when to come back.
func TestRequestWithoutAConfigurationIsRefusedInTime(t *testing.T) {
	b := newUnconfiguredHarness(t, routes())
	q := b.request(http.MethodGet, "/safe/a", "")
	q.Header.Set("Limit", "400ms")
	began := time.Now()
	got := b.do(q)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(began) < 300*time.Millisecond, "it took %v", time.Since(began))
}

// An order takes half of the engines away, and the list does not say so. They answer
// what they have, decline to help, and fail their health checks: a long prompt must
// not lose one try to each of them.
func TestOneDeclineTellsOfAllThatLeave(t *testing.T) {
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

// All upstreams leave between the choice of a place and the sending, while memory is
// set aside. What was chosen before must get nothing any more.
func TestPlaceThatLeftMeanwhileGetsNothing(t *testing.T) {
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
