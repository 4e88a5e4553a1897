package linker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/connection/linker"
	"github.com/heathervane/heathervane/library/recorder"
)

// far is a bound on events that normally take milliseconds.
const far = 20 * time.Second

type end struct {
	*linker.Linker
	address  string
	registry metrics.Registry
	got      chan string
	server   *httptest.Server
}

func start(t *testing.T, c linker.Config) *end {
	t.Helper()
	if c.Secret == nil {
		c.Secret = []byte("secret")
	}
	e := &end{registry: metrics.NewRegistry(), got: make(chan string, 1000)}
	var l *linker.Linker
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.ServeHTTP(w, r) }))
	e.address = strings.TrimPrefix(e.server.URL, "http://")
	c.Address = e.address
	l = linker.New(c, zerolog.Nop(), e.registry)
	linker.Handle(l, "word", func(_ linker.Peer, m string) { e.got <- m })
	e.Linker = l
	t.Cleanup(func() {
		l.Close()
		e.server.Close()
	})
	return e
}

func (e *end) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, e.registry).Count()
}

// until waits for an event that has no signal of its own.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for limit := time.Now().Add(far); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%s did not come", what)
		}
	}
}

func (e *end) wait(t *testing.T) string {
	t.Helper()
	select {
	case m := <-e.got:
		return m
	case <-time.After(far):
		t.Fatal("no message came")
		return ""
	}
}

func TestMessagesPassBothWays(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	a := start(t, linker.Config{VM: "a", Boot: 1})
	b := start(t, linker.Config{VM: "b", Boot: 2})
	// Both learn of one another together.
	a.Connect("b", b.address)
	b.Connect("a", a.address)
	until(t, "a link", func() bool { return len(a.Connected()) == 1 && len(b.Connected()) == 1 })
	assert.NilError(t, linker.Send(a.Linker, "b", "word", "there"))
	assert.Equal(t, b.wait(t), "there")
	assert.NilError(t, linker.Send(b.Linker, "a", "word", "back"))
	assert.Equal(t, a.wait(t), "back")
	a.Close()
	b.Close()
	a.server.Close()
	b.server.Close()
}

func TestFetch(t *testing.T) {
	a := start(t, linker.Config{VM: "a", Boot: 1})
	b := start(t, linker.Config{VM: "b", Boot: 2})
	b.ServeState(func() []byte { return []byte("state") })
	a.Connect("b", b.address)
	until(t, "a link", func() bool { return len(a.Connected()) == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), far)
	defer cancel()
	data, err := a.FetchState(ctx, "b")
	assert.NilError(t, err)
	assert.Equal(t, string(data), "state")
	_, err = a.FetchState(ctx, "c")
	assert.Assert(t, linker.ErrFetch.Has(err))
}

// A VM with another secret or protocol version, and one that answers at the
// address of another, is refused. Without that a stranger could lend slots that
// nobody has.
func TestStrangersAreRefused(t *testing.T) {
	tests := []struct {
		name string
		c    linker.Config
		as   string
	}{
		{"secret", linker.Config{VM: "b", Boot: 2, Secret: []byte("other")}, "b"},
		{"version", linker.Config{VM: "b", Boot: 2, Version: linker.Version + 1}, "b"},
		{"name", linker.Config{VM: "c", Boot: 2}, "b"},
		{"same", linker.Config{VM: "a", Boot: 2}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := start(t, linker.Config{VM: "a", Boot: 1})
			b := start(t, test.c)
			a.Connect(test.as, b.address)
			until(t, "a refusal", func() bool { return a.counter("links.refused")+b.counter("links.refused") > 0 })
			assert.Equal(t, len(a.Connected()), 0)
		})
	}
}

// A VM was replaced and its new process uses the same name. Messages must reach
// the new one, and a link of the old one must not push it out.
func TestNewerProcessReplacesLink(t *testing.T) {
	a := start(t, linker.Config{VM: "a", Boot: 1})
	b1 := start(t, linker.Config{VM: "b", Boot: 2})
	b1.Connect("a", a.address)
	until(t, "the first link", func() bool { return len(a.Connected()) == 1 })
	b2 := start(t, linker.Config{VM: "b", Boot: 3})
	b2.Connect("a", a.address)
	until(t, "the newer process", func() bool {
		_ = linker.Send(a.Linker, "b", "word", "new")
		return len(b2.got) > 0
	})
	b1.Connect("a", a.address)
	until(t, "a refusal", func() bool { return a.counter("links.refused") > 0 })
	assert.NilError(t, linker.Send(a.Linker, "b", "word", "still"))
	until(t, "a message to the newer process", func() bool { return b2.wait(t) == "still" })
}

// A peer sends what is no message. Its link ends; others don't feel it.
func TestBrokenMessageEndsItsLinkOnly(t *testing.T) {
	a := start(t, linker.Config{VM: "a", Boot: 1})
	b := start(t, linker.Config{VM: "b", Boot: 2})
	c := start(t, linker.Config{VM: "c", Boot: 3})
	a.Connect("b", b.address)
	a.Connect("c", c.address)
	until(t, "links", func() bool { return len(a.Connected()) == 2 && len(b.Connected()) == 1 && len(c.Connected()) == 1 })
	assert.NilError(t, linker.Send(b.Linker, "a", "word", 7)) // no string
	until(t, "the link's end", func() bool { return a.counter("links.broken") == 1 })
	assert.NilError(t, linker.Send(c.Linker, "a", "unknown", 7))
	assert.NilError(t, linker.Send(c.Linker, "a", "word", "fine"))
	assert.Equal(t, a.wait(t), "fine")
}

// Something that is no VM connects and says nothing, or nonsense.
func TestStrangerAtTheDoor(t *testing.T) {
	a := start(t, linker.Config{VM: "a", Boot: 1})
	ctx, cancel := context.WithTimeout(t.Context(), far)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+a.address, nil) //nolint:bodyclose // the library closes it
	assert.NilError(t, err)
	defer conn.Close(websocket.StatusNormalClosure, "")
	assert.NilError(t, conn.Write(ctx, websocket.MessageBinary, []byte("nonsense")))
	until(t, "a refusal", func() bool { return a.counter("links.refused") == 1 })
}

// FuzzMessage feeds bytes of a peer through a link's reading.
func FuzzMessage(f *testing.F) {
	for _, seed := range []any{"word", 7, []string{"x"}} {
		data, err := recorder.Wrap("word", seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	l := linker.New(linker.Config{VM: "a"}, zerolog.Nop(), metrics.NewRegistry())
	linker.Handle(l, "word", func(linker.Peer, string) {})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = linker.Dispatch(l, data)
	})
}
