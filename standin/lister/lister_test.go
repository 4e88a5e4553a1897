package lister_test

import (
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/standin/lister"
)

func TestLags(t *testing.T) {
	var now atomic.Int64
	l := lister.New(lister.Config{Lag: time.Second, Now: func() time.Time { return time.UnixMilli(now.Load()) }})
	tests := []struct {
		at                       int64
		method, path, body, want string
	}{
		{0, "PUT", "/vms/b", `{"zone":"z1","address":"a:1"}`, `{"id":"b","zone":"z1","address":"a:1","state":"live"}`},
		{0, "PUT", "/vms/a", `{"state":"gone"}`, `{"error":{"code":"state","message":"state must be live or leaving"}}`},
		{500, "PUT", "/vms/a", `{"state":"leaving"}`, `{"id":"a","zone":"","address":"","state":"leaving"}`},
		{900, "GET", "/vms", "", `{"vms":[]}`},
		{1000, "GET", "/vms", "", `{"vms":[{"id":"b","zone":"z1","address":"a:1","state":"live"}]}`},
		{1200, "DELETE", "/vms/b", "", `{}`},
		{1600, "GET", "/vms", "", `{"vms":[{"id":"a","zone":"","address":"","state":"leaving"},{"id":"b","zone":"z1","address":"a:1","state":"live"}]}`},
		{2200, "GET", "/vms", "", `{"vms":[{"id":"a","zone":"","address":"","state":"leaving"}]}`},
	}
	for _, test := range tests {
		now.Store(test.at)
		w := httptest.NewRecorder()
		l.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), test.method, test.path, strings.NewReader(test.body)))
		body, err := io.ReadAll(w.Result().Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), test.want)
	}
}
