package watcher_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/watcher"
)

func TestReadiness(t *testing.T) {
	healthy := func() (bool, string) { return true, "" }
	degraded := func() (bool, string) { return true, "the log can't be read" }
	leaving := func() (bool, string) { return false, "leaving" }
	out := func() (bool, string) { return false, "out of service" }
	for _, c := range []struct {
		checks []watcher.ReadinessCheck
		code   int
		body   string
		reason string
	}{
		{[]watcher.ReadinessCheck{healthy, healthy}, 200, "ready\n", ""},
		{[]watcher.ReadinessCheck{healthy, degraded}, 200, "ready\n", "the log can't be read"},
		{[]watcher.ReadinessCheck{degraded, leaving, out}, 503, "leaving; out of service\n", "leaving; out of service"},
	} {
		w := watcher.New(http.NotFoundHandler(), func() watcher.Status { return watcher.Status{ID: "entry-1"} }, c.checks...)
		got := get(t, w, "/readyz")
		assert.Equal(t, got.Code, c.code)
		assert.Equal(t, got.Body.String(), c.body)
		var status watcher.Status
		assert.NilError(t, json.Unmarshal(get(t, w, "/status").Body.Bytes(), &status))
		assert.Equal(t, status.Ready, c.code == 200)
		assert.Equal(t, status.Reason, c.reason)
		assert.Equal(t, status.ID, "entry-1")
		assert.Equal(t, get(t, w, "/livez").Code, 200)
		assert.Equal(t, get(t, w, "/else").Code, 404)
	}
}

func get(t *testing.T, w *watcher.Handler, path string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRecorder()
	w.ServeHTTP(r, httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, http.NoBody))
	return r
}
