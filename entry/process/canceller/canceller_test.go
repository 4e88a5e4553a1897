package canceller_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/canceller"
)

// A clock is a canceller.Ticker that the test advances.
type clock struct {
	mu          sync.Mutex
	now         time.Time
	subscribers []func(time.Time)
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) Subscribe(_ time.Duration, call func(time.Time)) func() {
	c.subscribers = append(c.subscribers, call)
	return func() {}
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	c.now = c.now.Add(d)
	now := c.now
	c.mu.Unlock()
	for _, call := range c.subscribers {
		call(now)
	}
}

// An engine responds to each cancel with the next status code of statuses, and
// with 200 once they are used up; 0 aborts the connection.
type engine struct {
	mu       sync.Mutex
	statuses []int
	deleted  []string
	list     string
}

// cancelCount returns the number of cancels received.
func (e *engine) cancelCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.deleted)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		io.WriteString(w, e.list)
		return
	}
	e.mu.Lock()
	e.deleted = append(e.deleted, strings.TrimPrefix(r.URL.Path, "/v1/streams/"))
	status := http.StatusOK
	if len(e.statuses) > 0 {
		status, e.statuses = e.statuses[0], e.statuses[1:]
	}
	e.mu.Unlock()
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

func newCanceller(t *testing.T, e *engine) (*canceller.Canceller, *clock, string) {
	t.Helper()
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	k := &clock{now: time.Unix(1000, 0)}
	return canceller.New(s.Client(), k, metrics.NewRegistry()), k, strings.TrimPrefix(s.URL, "http://")
}

// An engine is down, responds with an error, or cancels the stream while its
// response is lost. If the cancel were given up after one attempt, the stream's
// memory would leak for good.
func TestACancelIsRepeatedUntilConfirmed(t *testing.T) {
	tests := []struct {
		name     string
		statuses []int
	}{
		{"first attempt", []int{200}},
		{"stream not found", []int{404}},
		{"response lost", []int{0, 404}},
		{"down for several attempts", []int{503, 0, 500, 503, 503, 503, 503, 200}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := &engine{statuses: test.statuses}
			c, k, address := newCanceller(t, e)
			confirmed := make(chan int, 1)
			c.Cancel(address, "s1", func() { confirmed <- e.cancelCount() })
			for c.Pending() > 0 {
				k.advance(5 * time.Second)
				time.Sleep(time.Millisecond)
			}
			assert.NilError(t, c.Wait(t.Context()))
			assert.Equal(t, <-confirmed, len(test.statuses), "confirmed before the last status")
			assert.Equal(t, e.cancelCount(), len(test.statuses), "cancels sent")
		})
	}
}

// Many requests end at once on an engine that does not respond. The cancels
// must not take a connection each.
func TestCancelsInProgressAreBounded(t *testing.T) {
	e := &engine{}
	c, k, address := newCanceller(t, e)
	const n = 300
	for i := range n {
		c.Cancel(address, fmt.Sprint("s", i), nil)
	}
	for c.Pending() > 0 {
		k.advance(time.Second)
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, len(e.deleted), n)
}

type fakeRegistry struct{}

func (fakeRegistry) IsSelf(vm string, boot uint64) bool { return vm == "vm1" && boot == 5 }
func (fakeRegistry) InProgress(id string) bool          { return id == "known" }
func (fakeRegistry) Gone(vm string, boot uint64) bool {
	return vm == "vm2" || (vm == "vm1" && boot < 5)
}

// A VM dies with streams in progress, or restarts under the same name. Another
// VM must cancel what it left at an engine, but not the streams of a VM that
// may only be unreachable.
func TestSweepCancelsOrphanedStreams(t *testing.T) {
	e := &engine{list: `{"boot":1,"streams":[
		{"id":"dead","vm":"vm2","boot":1,"age_ms":10},
		{"id":"earlier","vm":"vm1","boot":4,"age_ms":10},
		{"id":"known","vm":"vm1","boot":5,"age_ms":90000},
		{"id":"young","vm":"vm1","boot":5,"age_ms":10},
		{"id":"lost","vm":"vm1","boot":5,"age_ms":90000},
		{"id":"other","vm":"vm3","boot":1,"age_ms":90000}]}`}
	c, _, address := newCanceller(t, e)
	assert.NilError(t, c.Sweep(t.Context(), address, fakeRegistry{}))
	assert.NilError(t, c.Wait(t.Context()))
	got := map[string]bool{}
	for _, id := range e.deleted {
		got[id] = true
	}
	assert.DeepEqual(t, got, map[string]bool{"dead": true, "earlier": true, "lost": true})
}
