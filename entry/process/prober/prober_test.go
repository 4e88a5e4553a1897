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

// addUpstream starts an HTTP server with the given handler and adds it as an upstream.
func addUpstream(t *testing.T, upstreams *tracker.Tracker, id string, handler http.HandlerFunc) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	upstreams.Put(time.Now(), tracker.Upstream{ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://")})
}

func newProber(upstreams *tracker.Tracker) *prober.Prober {
	return prober.New(prober.Deps{
		Observe: func(tracker.Upstream, int, http.Header) {},
		Tracker: upstreams, Carrier: carrier.New(time.Now), Meter: meter.New(), Now: time.Now, Log: zerolog.Nop(),
		Rejected: func(_ int, h http.Header) bool { return h.Get("Not-Run") != "" },
	})
}

func isLeaving(upstreams *tracker.Tracker, id string) bool {
	u, _ := upstreams.Get(id)
	return time.Now().Before(u.LeavingUntil)
}

// Only an upstream that reports itself unhealthy may be marked as leaving. One that is
// busy, full or unreachable must not be.
func TestOnlyFailedProbesMarkUpstreamsLeaving(t *testing.T) {
	upstreams := tracker.New()
	busy := make(chan struct{})
	addUpstream(t, upstreams, "sound", func(http.ResponseWriter, *http.Request) {})
	addUpstream(t, upstreams, "leaves", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	addUpstream(t, upstreams, "busy", func(http.ResponseWriter, *http.Request) { <-busy })
	t.Cleanup(func() { close(busy) })
	addUpstream(t, upstreams, "full", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	upstreams.Put(time.Now(), tracker.Upstream{ID: "gone", Service: "s", Address: "127.0.0.1:1"})
	start := time.Now()
	newProber(upstreams).Probe(t.Context(), service)
	assert.Assert(t, time.Since(start) < time.Second, "it took %v", time.Since(start))
	for id, want := range map[string]bool{"sound": false, "leaves": true, "busy": false, "full": false, "gone": false} {
		assert.Equal(t, isLeaving(upstreams, id), want, id)
	}
}

// Many requests are declined at the same moment and all call Probe. Each upstream must
// be probed only once.
func TestConcurrentRequestsShareOneProbeRound(t *testing.T) {
	upstreams := tracker.New()
	probed := atomic.Int32{}
	for i := range 4 {
		addUpstream(t, upstreams, fmt.Sprint("u", i), func(http.ResponseWriter, *http.Request) { probed.Add(1) })
	}
	p := newProber(upstreams)
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
	assert.Equal(t, probed.Load(), int32(4))
}
