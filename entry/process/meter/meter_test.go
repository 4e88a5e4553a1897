package meter_test

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/meter"
)

// A metric of a kind that cannot be served must be logged, or nobody would notice that it
// is missing, and must not keep the others from being served.
func TestMetricThatCannotBeServedIsLogged(t *testing.T) {
	m := meter.New()
	m.Count("good", 3)
	assert.NilError(t, m.Registry().Register("bad", metrics.NewHealthcheck(func(metrics.Healthcheck) {})))
	var logged bytes.Buffer
	w := httptest.NewRecorder()
	m.Handler(zerolog.New(&logged)).ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	assert.Assert(t, strings.Contains(w.Body.String(), "heathervane_good_total 3"), "%s", w.Body)
	assert.Assert(t, strings.Contains(logged.String(), `"metric":"bad"`), "%s", &logged)
}
