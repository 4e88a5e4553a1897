package lister_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/lister"
)

// An invalid response must not be treated as an empty list, which would mean that
// all VMs are gone.
func TestVMs(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		vms    int // -1 for an error
	}{
		{"two", 200, `{"vms":[{"id":"a","zone":"z","address":"1.2.3.4:5","state":"live"},{"id":"b","state":"leaving"}]}`, 2},
		{"none", 200, `{"vms":[]}`, 0},
		{"no list", 200, `{}`, -1},
		{"unavailable", 503, `{"vms":[]}`, -1},
		{"invalid JSON", 200, `vms`, -1},
		{"duplicate id", 200, `{"vms":[{"id":"a"},{"id":"a"}]}`, -1},
		{"no id", 200, `{"vms":[{"zone":"z"}]}`, -1},
		{"too large", 200, strings.Repeat(" ", 5<<20), -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				assert.Equal(t, r.URL.Path, "/vms")
				w.WriteHeader(test.status)
				io.WriteString(w, test.body)
			}))
			defer s.Close()
			vms, err := lister.New(s.URL, s.Client()).VMs(t.Context())
			if test.vms < 0 {
				assert.Assert(t, lister.ErrList.Has(err), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, len(vms), test.vms)
			if test.vms > 0 {
				assert.Equal(t, vms[0], lister.VM{ID: "a", Zone: "z", Address: "1.2.3.4:5", State: lister.Live})
			}
		})
	}
}
