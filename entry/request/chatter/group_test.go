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

// keep reads a part and keeps it.
func keep(w http.ResponseWriter, _ int) { io.WriteString(w, `{"handle":"h"}`) }

// after gives the first call another script than the later ones.
func after(first, then func(http.ResponseWriter, int)) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, n int) {
		if n == 0 {
			first(w, n)
			return
		}
		then(w, n)
	}
}

func coldAgain(w http.ResponseWriter, _ int) {
	w.Header().Set("Ran", "no")
	w.WriteHeader(http.StatusConflict)
	io.WriteString(w, `{"error":{"code":"boot","message":"another process"}}`)
}

// groupRig has three engines that read one prompt together.
func groupRig(t *testing.T, scripts ...func(http.ResponseWriter, int)) (*rig, []*engine) {
	t.Helper()
	var engines []*engine
	var addresses []string
	for _, s := range scripts {
		e := newEngine(t, s)
		engines = append(engines, e)
		addresses = append(addresses, e.address())
	}
	r := newRig(t, manifest(addresses...))
	r.places.group = true
	return r, engines
}

// One engine of a group dies, turns cold or is full while the parts of a file
// are read. The caller gets a whole answer all the same, and every part that may
// stand at an engine is cancelled: each holds most of an engine's memory, and
// nobody else knows of it.
func TestAPartThatFailsLeavesNothingBehind(t *testing.T) {
	again := []string{"vm1-3-1.2-p0", "vm1-3-1.2-p1"}
	tests := []struct {
		name    string
		second  func(http.ResponseWriter, int)
		cancels []string
	}{
		{"killed, or the answer is lost", reset, []string{"vm1-3-1-p0", "vm1-3-1-p1"}},
		{"half an answer", func(w http.ResponseWriter, _ int) { io.WriteString(w, `{"han`) }, []string{"vm1-3-1-p0", "vm1-3-1-p1"}},
		{"turned cold", coldAgain, []string{"vm1-3-1-p0"}},
		{"full", full, []string{"vm1-3-1-p0"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, _ := groupRig(t, keep, after(test.second, keep), say("fine"))
			got := r.post(t, question)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Assert(t, strings.Contains(got.body, `"content":"fine"`), got.body)
			assert.Equal(t, got.header.Get("Heathervane-Tries"), "2")
			assert.Equal(t, len(r.outcomes()), 6, "a place was not given back")
			assert.DeepEqual(t, r.cancels.ids, append(test.cancels, again...))
		})
	}
}

// A VM is frozen while it has the first part read. Its other places have been
// lent to others since: it must not use them, nor say that nothing ran, and the
// part that was read must go.
func TestAGroupWhosePlacesLapsed(t *testing.T) {
	r, engines := groupRig(t, keep, keep, say("no"))
	r.places.live = 1
	got := r.post(t, question)
	assert.Assert(t, got.status >= 500, got.body)
	assert.Equal(t, got.header.Get("Heathervane-Ran"), "unknown", got.body)
	given := len(r.outcomes())
	assert.Equal(t, engines[1].begun+engines[2].begun, 0)
	assert.Equal(t, given, 3*engines[0].begun)
	assert.Equal(t, len(r.cancels.ids), engines[0].begun)
}

// The engine that generates dies in the middle. The caller is told so, and the
// parts on the other engines are freed.
func TestAGroupCutInTheMiddle(t *testing.T) {
	r, _ := groupRig(t, keep, keep, half)
	got := r.post(t, streamed)
	assert.Assert(t, strings.Contains(got.body, "event: error\n"), got.body)
	assert.Assert(t, !strings.Contains(got.body, "[DONE]"), got.body)
	assert.DeepEqual(t, r.outcomes(), []dispatcher.Outcome{dispatcher.Cut, dispatcher.Cut, dispatcher.Cut})
	assert.DeepEqual(t, r.cancels.ids, []string{"vm1-3-1-p0", "vm1-3-1-p1", "vm1-3-1"})
}

// An engine of a group freezes while it reads its part. At the request's limit
// the caller is told, and all parts are freed.
func TestAGroupEndsAtItsLimit(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r, _ := groupRig(t, keep, func(http.ResponseWriter, int) { <-ctx.Done() }, say("no"))
	got := r.post(t, question, "Request-Timeout", "0.2")
	assert.Equal(t, got.status, http.StatusGatewayTimeout, got.body)
	assert.Equal(t, got.header.Get("Heathervane-Ran"), "unknown")
	stop()
	assert.Equal(t, len(r.outcomes()), 3)
	assert.DeepEqual(t, r.cancels.ids, []string{"vm1-3-1-p0", "vm1-3-1-p1"})
}
