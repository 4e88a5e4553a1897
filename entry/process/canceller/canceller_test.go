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

// A clock is moved by hand.
type clock struct {
	mu    sync.Mutex
	now   time.Time
	calls []func(time.Time)
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) Subscribe(_ time.Duration, call func(time.Time)) func() {
	c.calls = append(c.calls, call)
	return func() {}
}

func (c *clock) move(d time.Duration) {
	c.mu.Lock()
	c.now = c.now.Add(d)
	now := c.now
	c.mu.Unlock()
	for _, call := range c.calls {
		call(now)
	}
}

// An engine answers each cancel by the next status of a script; 0 breaks the
// connection.
type engine struct {
	mu      sync.Mutex
	script  []int
	deleted []string
	list    string
}

// asked is how many cancels have come.
func (e *engine) asked() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.deleted)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodGet {
		io.WriteString(w, e.list)
		return
	}
	e.mu.Lock()
	e.deleted = append(e.deleted, strings.TrimPrefix(q.URL.Path, "/v1/streams/"))
	status := http.StatusOK
	if len(e.script) > 0 {
		status, e.script = e.script[0], e.script[1:]
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

// An engine is down, answers with an error, or does the cancel and its answer
// is lost. Given up after one try, its memory would be lost for good.
func TestACancelIsRepeatedUntilConfirmed(t *testing.T) {
	tests := []struct {
		name   string
		script []int
	}{
		{"at once", []int{200}},
		{"no such stream", []int{404}},
		{"the answer is lost", []int{0, 404}},
		{"down for long", []int{503, 0, 500, 503, 503, 503, 503, 200}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := &engine{script: test.script}
			c, k, address := newCanceller(t, e)
			confirmed := make(chan int, 1)
			c.Cancel(address, "s1", func() { confirmed <- e.asked() })
			for c.Pending() > 0 {
				k.move(5 * time.Second)
				time.Sleep(time.Millisecond)
			}
			assert.NilError(t, c.Wait(t.Context()))
			assert.Equal(t, <-confirmed, len(test.script), "confirmed by the last answer of the script only")
			assert.Equal(t, e.asked(), len(test.script), "and not asked again")
		})
	}
}

// Many requests end at once on an engine that answers nothing. The cancels must
// not take a connection each.
func TestCancelsInProgressAreBounded(t *testing.T) {
	e := &engine{}
	c, k, address := newCanceller(t, e)
	const n = 300
	for i := range n {
		c.Cancel(address, fmt.Sprint("s", i), nil)
	}
	for c.Pending() > 0 {
		k.move(time.Second)
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, len(e.deleted), n)
}

type owner struct{}

func (owner) IsSelf(vm string, boot uint64) bool { return vm == "vm1" && boot == 5 }
func (owner) InProgress(id string) bool          { return id == "known" }
func (owner) Gone(vm string, boot uint64) bool   { return vm == "vm2" || (vm == "vm1" && boot < 5) }

// A VM dies in the middle of its streams, or is started anew under its old
// name. What it left at an engine is ended by another VM; what a VM runs that
// is only cut off from here is not.
func TestASweepEndsWhatNobodyOwns(t *testing.T) {
	e := &engine{list: `{"boot":1,"streams":[
		{"id":"dead","vm":"vm2","boot":1,"age_ms":10},
		{"id":"earlier","vm":"vm1","boot":4,"age_ms":10},
		{"id":"known","vm":"vm1","boot":5,"age_ms":90000},
		{"id":"young","vm":"vm1","boot":5,"age_ms":10},
		{"id":"lost","vm":"vm1","boot":5,"age_ms":90000},
		{"id":"other","vm":"vm3","boot":1,"age_ms":90000}]}`}
	c, _, address := newCanceller(t, e)
	assert.NilError(t, c.Sweep(t.Context(), address, owner{}))
	assert.NilError(t, c.Wait(t.Context()))
	got := map[string]bool{}
	for _, id := range e.deleted {
		got[id] = true
	}
	assert.DeepEqual(t, got, map[string]bool{"dead": true, "earlier": true, "lost": true})
}
