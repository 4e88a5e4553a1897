package chatter_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/dispatcher"
)

// storePart reads a prompt part and stores it.
func storePart(w http.ResponseWriter, _ int) { io.WriteString(w, `{"handle":"h"}`) }

// firstThen handles the first request by one script and all later ones by
// another.
func firstThen(first, then func(http.ResponseWriter, int)) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, n int) {
		if n == 0 {
			first(w, n)
			return
		}
		then(w, n)
	}
}

func refuseRestarted(w http.ResponseWriter, _ int) {
	w.Header().Set("Ran", "no")
	w.WriteHeader(http.StatusConflict)
	io.WriteString(w, `{"error":{"code":"boot","message":"another process"}}`)
}

// newGroupServer returns a server whose engines, one per script, read each
// prompt as a group.
func newGroupServer(t *testing.T, scripts ...func(http.ResponseWriter, int)) (*testServer, []*fakeEngine) {
	t.Helper()
	var engines []*fakeEngine
	var addresses []string
	for _, s := range scripts {
		e := newEngine(t, s)
		engines = append(engines, e)
		addresses = append(addresses, e.address())
	}
	r := newTestServer(t, newManifest(addresses...))
	r.acquirer.group = true
	return r, engines
}

// An engine of a group crashes, restarts or is full while the group reads a
// prompt. The caller must still get a complete response, and every part that an
// engine may hold must be cancelled: each uses most of an engine's memory, and
// nothing else knows of it.
func TestFailedPartIsCleanedUp(t *testing.T) {
	retryCancels := []string{"vm1-3-1.2-p0", "vm1-3-1.2-p1"}
	tests := []struct {
		name    string
		second  func(http.ResponseWriter, int)
		cancels []string
	}{
		{"crashed, or the response is lost", abortConnection, []string{"vm1-3-1-p0", "vm1-3-1-p1"}},
		{"an incomplete response", func(w http.ResponseWriter, _ int) { io.WriteString(w, `{"han`) }, []string{"vm1-3-1-p0", "vm1-3-1-p1"}},
		{"restarted", refuseRestarted, []string{"vm1-3-1-p0"}},
		{"full", refuseFull, []string{"vm1-3-1-p0"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, _ := newGroupServer(t, storePart, firstThen(test.second, storePart), sendTokens("fine"))
			got := r.post(t, requestBody)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Assert(t, strings.Contains(got.body, `"content":"fine"`), got.body)
			assert.Equal(t, got.header.Get("Heathervane-Tries"), "2")
			assert.Equal(t, len(r.outcomes()), 6, "a slot was not returned")
			assert.DeepEqual(t, r.canceller.ids, append(test.cancels, retryCancels...))
		})
	}
}

// A VM is paused while the first part is read, and its other slots are lent to
// others meanwhile. It must not use those slots, must not report the request as
// not run, and must cancel the part that was read.
func TestGroupWithExpiredSlots(t *testing.T) {
	r, engines := newGroupServer(t, storePart, storePart, sendTokens("no"))
	r.acquirer.liveSlots = 1
	got := r.post(t, requestBody)
	assert.Assert(t, got.status >= 500, got.body)
	assert.Equal(t, got.header.Get("Heathervane-Ran"), "unknown", got.body)
	returned := len(r.outcomes())
	assert.Equal(t, engines[1].requests+engines[2].requests, 0)
	assert.Equal(t, returned, 3*engines[0].requests)
	assert.Equal(t, len(r.canceller.ids), engines[0].requests)
}

// The engine that generates the response crashes in the middle. The caller must
// get an error, and the parts on the other engines must be freed.
func TestInterruptedGroupResponse(t *testing.T) {
	r, _ := newGroupServer(t, storePart, storePart, abortAfterFirstToken)
	got := r.post(t, streamingBody)
	assert.Assert(t, strings.Contains(got.body, "event: error\n"), got.body)
	assert.Assert(t, !strings.Contains(got.body, "[DONE]"), got.body)
	assert.DeepEqual(t, r.outcomes(), []dispatcher.Outcome{dispatcher.Cut, dispatcher.Cut, dispatcher.Cut})
	assert.DeepEqual(t, r.canceller.ids, []string{"vm1-3-1-p0", "vm1-3-1-p1", "vm1-3-1"})
}

// An engine of a group hangs while it reads its part. The caller must get an
// error at the time limit of the request, and all parts must be freed.
func TestGroupTimeLimitIsEnforced(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r, _ := newGroupServer(t, storePart, func(http.ResponseWriter, int) { <-ctx.Done() }, sendTokens("no"))
	got := r.post(t, requestBody, "Request-Timeout", "0.2")
	assert.Equal(t, got.status, http.StatusGatewayTimeout, got.body)
	assert.Equal(t, got.header.Get("Heathervane-Ran"), "unknown")
	stop()
	assert.Equal(t, len(r.outcomes()), 3)
	assert.DeepEqual(t, r.canceller.ids, []string{"vm1-3-1-p0", "vm1-3-1-p1"})
}
