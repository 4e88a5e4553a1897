package relayer_test

import (
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/version/matcher"
)

// Some upstreams are gone and the retry budget is used up. A request for which no connection
// came up reached none of them, and must still be served by another.
func TestConnectionThatNeverCameUpTakesNoRetry(t *testing.T) {
	b := newHarness(t, routes())
	b.budget.remaining = 0
	b.closedUpstreams("plain", "gone-1", "gone-2")
	b.upstream("u", "plain", answerSealed)
	for _, target := range []string{"/safe/1", "/unsafe/1", "/safe/2", "/unsafe/2"} {
		a := b.do(b.request(http.MethodPost, target, "x"))
		assert.Equal(t, a.status, http.StatusOK, "%s", a.body)
	}
	assert.Equal(t, b.budget.taken, 0)
	assert.Equal(t, len(b.requestsReceived()), 4)
}

// A connection that came up and was lost may have brought the request to its upstream: it
// counts as a retry, also if the attempt before it did not.
func TestLostConnectionTakesARetry(t *testing.T) {
	b := newHarness(t, routes())
	b.budget.remaining = 0
	b.closedUpstreams("plain", "gone")
	b.upstream("u", "plain", dropConnection)
	b.upstream("v", "plain", dropConnection)
	a := b.do(b.request(http.MethodGet, "/safe/1", ""))
	assert.Equal(t, a.status, http.StatusBadGateway)
	assert.Equal(t, len(b.requestsReceived()), 1, "more than one upstream got the request without a retry")
}

// All upstreams of a service are gone while many callers come. What each request may try is
// bounded, and then what all may try.
func TestFailedConnectionsAreLimited(t *testing.T) {
	c := routes()
	c.Routes = []matcher.Route{c.Routes[0]}
	b := newHarness(t, c)
	b.budget.remaining = 0
	b.closedUpstreams("plain", "a", "b", "c", "d", "e", "f", "g", "h")
	const requests = 40
	for range requests {
		a := b.do(b.request(http.MethodGet, "/safe/1", ""))
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
	}
	// The first attempts, one more for each of them, and the burst with what some seconds add.
	const bound = 2*requests + 16 + 4*5
	assert.Assert(t, b.carrier.Dials() <= bound, "%d connections", b.carrier.Dials())
	assert.Equal(t, b.budget.taken, 0)
}

// Whatever upstreams do, those that get a request beyond the first take a retry each.
func TestArrivalsBeyondTheFirstTakeRetries(t *testing.T) {
	kinds := map[string]http.HandlerFunc{"gone": nil, "drops": dropConnection, "declines": decline, "answers": answerSealed}
	for first := range kinds {
		for second := range kinds {
			for third := range kinds {
				t.Run(first+" "+second+" "+third, func(t *testing.T) {
					c := routes()
					c.Routes[0].MaxAttempts = 4
					b := newHarness(t, c)
					b.budget.remaining = 1
					for i, kind := range []string{first, second, third} {
						if kind == "gone" {
							b.closedUpstreams("plain", strconv.Itoa(i))
							continue
						}
						b.upstream(strconv.Itoa(i), "plain", kinds[kind])
					}
					b.do(b.request(http.MethodGet, "/safe/1", ""))
					arrivals := len(b.requestsReceived())
					assert.Assert(t, arrivals <= 1+b.budget.taken, "%d arrivals, %d retries taken", arrivals, b.budget.taken)
				})
			}
		}
	}
}
