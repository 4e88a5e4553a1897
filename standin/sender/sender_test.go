package sender_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/standin/sender"
)

// Two readers share the rate: what both get takes at least as long as the rate
// allows. Only the lower bound is checked, which a slow machine keeps too.
func TestReadersShareRate(t *testing.T) {
	const size, rate = 32 << 10, 256 << 10
	h := sender.New(sender.Config{Rate: rate, Size: size}).Handler()
	began := time.Now()
	done := make(chan int)
	for range 2 {
		go func() {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/weights/m/1", http.NoBody))
			done <- w.Body.Len()
		}()
	}
	assert.Equal(t, <-done+<-done, 2*size)
	// 16 KiB may come at once; 48 KiB take 187 ms.
	assert.Assert(t, time.Since(began) > 150*time.Millisecond)
}
