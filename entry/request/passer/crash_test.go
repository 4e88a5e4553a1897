package passer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/dispatcher"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/version/viewer"
)

// rotatingAcquirer grants a different upstream each time, all at one address.
type rotatingAcquirer struct {
	address string
	granted atomic.Int64
}

func (*rotatingAcquirer) BackOff(string, time.Duration) {}

func (a *rotatingAcquirer) Acquire(context.Context, dispatcher.Call) (*dispatcher.Grant, *refuser.Refusal) {
	u := viewer.Upstream{Name: "b" + strconv.FormatInt(a.granted.Add(1), 10)}
	u.Address = a.address
	return &dispatcher.Grant{Parts: []dispatcher.Part{{Upstream: u, Slot: fakeSlot{}}}}, nil
}

// A call that crashes every service that runs it would otherwise take down all
// of them.
func TestCallThatCrashesServicesIsQuarantined(t *testing.T) {
	var runs atomic.Int64
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if strings.HasSuffix(q.URL.Path, "/poison") {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}
		w.Write([]byte("fine"))
	}))
	defer service.Close()
	s := newProxyWithAcquirer(t, service.URL, &rotatingAcquirer{address: strings.TrimPrefix(service.URL, "http://")})
	for range 6 {
		send(t, s, http.MethodGet, "/services/booking/poison", "")
	}
	assert.Equal(t, runs.Load(), int64(3))
	a := send(t, s, http.MethodGet, "/services/booking/poison", "")
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Equal(t, a.header.Get("Heathervane-Ran"), "no")
	assert.Equal(t, send(t, s, http.MethodGet, "/services/booking/seats", "").status, http.StatusOK)
}
