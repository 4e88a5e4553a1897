package relayer_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkStream relays streams of small events, each sent by itself, as an engine does.
// It reports the processor time of both ends and the relayer for each event.
func BenchmarkStream(b *testing.B) {
	const eventsPerStream = 64
	h := newHarness(b, routes())
	event := "id: 1\ndata: " + strings.Repeat("x", 300) + "\n\n"
	h.upstream("m-1", "model", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Sealed", "1")
		for range eventsPerStream {
			io.WriteString(w, event)
			w.(http.Flusher).Flush()          //nolint:forcetypeassert // net/http's own
			time.Sleep(50 * time.Microsecond) // events arrive one by one
		}
	})
	before := processorTime(b)
	for b.Loop() {
		res := h.do(h.request(http.MethodPost, "/stream/x", "body"))
		assert.NilError(b, res.err)
		assert.Equal(b, len(res.body), eventsPerStream*len(event), fmt.Sprint(res.status))
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N*eventsPerStream), "cpu-ns/event")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
