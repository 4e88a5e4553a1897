package relayer_test

import (
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// A request that breaks each engine that runs it would take down one after the other.
func TestRequestThatCrashesEnginesIsNotSentOn(t *testing.T) {
	const poison, mostRuns = "poison", 3
	b := newHarness(t, routes())
	b.budget.remaining = 1000
	for i := range 12 {
		b.upstream("u"+strconv.Itoa(i), "model", events(3, false))
	}
	for i := range 12 {
		b.upstream("p"+strconv.Itoa(i), "plain", dropConnection)
	}
	for range 6 {
		b.do(b.request(http.MethodPost, "/safe/x", poison))
	}
	assert.Assert(t, len(b.requestsReceived()) <= mostRuns, "it was sent to %d upstreams", len(b.requestsReceived()))
	o := b.do(b.request(http.MethodPost, "/safe/x", poison))
	assert.Equal(t, o.status, http.StatusServiceUnavailable)
	assert.Equal(t, o.header.Get("Heathervane-Ran"), "no")
	assert.Assert(t, o.header.Get("Retry-After") != "")
	o = b.do(b.request(http.MethodPost, "/resume/x", poison))
	assert.Equal(t, o.body, eventText(3), "the same body on another path was not served")
}

// A service that dies without a word ends no connection, and the request goes on to the
// next after a while.
func TestRequestThatSilencesUpstreamsIsNotSentOn(t *testing.T) {
	const poison = "poison"
	b := newHarness(t, routes())
	b.budget.remaining = 1000
	for i := range 8 {
		b.upstream("u"+strconv.Itoa(i), "plain", func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() })
	}
	ask := func() result {
		q := b.request(http.MethodPost, "/safe/x", poison)
		q.Header.Set("Limit", "2300ms")
		return b.do(q)
	}
	for range 3 {
		assert.Assert(t, ask().status != http.StatusServiceUnavailable, "it may have run")
	}
	before := len(b.requestsReceived())
	o := ask()
	assert.Equal(t, o.status, http.StatusServiceUnavailable)
	assert.Equal(t, o.header.Get("Heathervane-Ran"), "no")
	assert.Equal(t, len(b.requestsReceived()), before)
}

// A request is found out by another VM between its arrival here and its sending.
func TestRequestThatIsHeldAfterItCameIsNotSent(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u", "plain", answerSealed)
	b.held.Store(true)
	o := b.do(b.request(http.MethodPost, "/safe/x", "body"))
	assert.Equal(t, o.status, http.StatusServiceUnavailable)
	assert.Equal(t, o.header.Get("Heathervane-Ran"), "no")
	assert.Equal(t, len(b.requestsReceived()), 0)
}
