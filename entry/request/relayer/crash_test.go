package relayer_test

import (
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// A request that crashes every upstream that runs it must be quarantined, or retries
// would take down one upstream after another.
func TestRequestThatCrashesUpstreamsIsQuarantined(t *testing.T) {
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
	assert.Assert(t, len(b.requestsReceived()) <= mostRuns, "the request was sent to %d upstreams", len(b.requestsReceived()))
	o := b.do(b.request(http.MethodPost, "/safe/x", poison))
	assert.Equal(t, o.status, http.StatusServiceUnavailable)
	assert.Equal(t, o.header.Get("Heathervane-Ran"), "no")
	assert.Assert(t, o.header.Get("Retry-After") != "")
	o = b.do(b.request(http.MethodPost, "/resume/x", poison))
	assert.Equal(t, o.body, eventText(3), "the same body on another path was not served")
}

// An upstream that hangs without closing the connection counts as lost, too: the
// request is sent to the next one after a while, and must be quarantined in time.
func TestRequestThatStallsUpstreamsIsQuarantined(t *testing.T) {
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
		assert.Assert(t, ask().status != http.StatusServiceUnavailable, "the request may have run")
	}
	before := len(b.requestsReceived())
	o := ask()
	assert.Equal(t, o.status, http.StatusServiceUnavailable)
	assert.Equal(t, o.header.Get("Heathervane-Ran"), "no")
	assert.Equal(t, len(b.requestsReceived()), before)
}

// Another VM may put a request into quarantine after it arrived at this VM and before
// it is sent. It must not be sent then.
func TestRequestHeldAfterArrivalIsNotSent(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u", "plain", answerSealed)
	b.held.Store(true)
	o := b.do(b.request(http.MethodPost, "/safe/x", "body"))
	assert.Equal(t, o.status, http.StatusServiceUnavailable)
	assert.Equal(t, o.header.Get("Heathervane-Ran"), "no")
	assert.Equal(t, len(b.requestsReceived()), 0)
}
