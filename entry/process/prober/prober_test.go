package prober_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/meter"
	"github.com/heathervane/heathervane/entry/process/prober"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

var service = &matcher.Service{Name: "s", HealthPath: "/health"}

// list lists an upstream that answers by a script.
func list(t *testing.T, known *tracker.Tracker, id string, script http.HandlerFunc) {
	t.Helper()
	server := httptest.NewServer(script)
	t.Cleanup(server.Close)
	known.Put(time.Now(), tracker.Upstream{ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://")})
}

func newProber(known *tracker.Tracker) *prober.Prober {
	return prober.New(prober.Deps{
		Tracker: known, Carrier: carrier.New(time.Now), Meter: meter.New(), Now: time.Now, Log: zerolog.Nop(),
		Rejected: func(_ int, h http.Header) bool { return h.Get("Not-Run") != "" },
	})
}

func leaves(known *tracker.Tracker, id string) bool {
	u, _ := known.Get(id)
	return time.Now().Before(u.LeavingUntil)
}

// An upstream that is busy or full, or cannot be reached, must not count as one that
// leaves.
func TestOnlyFailedChecksCount(t *testing.T) {
	known := tracker.New()
	busy := make(chan struct{})
	list(t, known, "sound", func(http.ResponseWriter, *http.Request) {})
	list(t, known, "leaves", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	list(t, known, "busy", func(http.ResponseWriter, *http.Request) { <-busy })
	t.Cleanup(func() { close(busy) })
	list(t, known, "full", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	known.Put(time.Now(), tracker.Upstream{ID: "gone", Service: "s", Address: "127.0.0.1:1"})
	began := time.Now()
	newProber(known).Probe(t.Context(), service)
	assert.Assert(t, time.Since(began) < time.Second, "it took %v", time.Since(began))
	for id, is := range map[string]bool{"sound": false, "leaves": true, "busy": false, "full": false, "gone": false} {
		assert.Equal(t, leaves(known, id), is, id)
	}
}

// Many requests are declined at the same moment. Each upstream is asked once.
func TestRequestsShareOneRound(t *testing.T) {
	known := tracker.New()
	asked := atomic.Int32{}
	for i := range 4 {
		list(t, known, fmt.Sprint("u", i), func(http.ResponseWriter, *http.Request) { asked.Add(1) })
	}
	p := newProber(known)
	done := make(chan struct{})
	for range 8 {
		go func() {
			p.Probe(t.Context(), service)
			done <- struct{}{}
		}()
	}
	for range 8 {
		<-done
	}
	assert.Equal(t, asked.Load(), int32(4))
}
