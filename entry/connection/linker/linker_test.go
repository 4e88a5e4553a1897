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

// waitTimeout limits the wait for events that normally take milliseconds.
const waitTimeout = 20 * time.Second

type testVM struct {
	*linker.Linker
	address  string
	registry metrics.Registry
	received chan string
	server   *httptest.Server
}

func startVM(t *testing.T, c linker.Config) *testVM {
	t.Helper()
	if c.Secret == nil {
		c.Secret = []byte("secret")
	}
	v := &testVM{registry: metrics.NewRegistry(), received: make(chan string, 1000)}
	var l *linker.Linker
	v.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.ServeHTTP(w, r) }))
	v.address = strings.TrimPrefix(v.server.URL, "http://")
	c.Address = v.address
	l = linker.New(c, zerolog.Nop(), v.registry)
	linker.Handle(l, "word", func(_ linker.Peer, m string) { v.received <- m })
	v.Linker = l
	t.Cleanup(func() {
		l.Close()
		v.server.Close()
	})
	return v
}

func (v *testVM) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, v.registry).Count()
}

// waitUntil polls f until it returns true. what describes the awaited event.
func waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func (v *testVM) nextMessage(t *testing.T) string {
	t.Helper()
	select {
	case m := <-v.received:
		return m
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for a message")
		return ""
	}
}

func TestMessagesPassBothWays(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	a := startVM(t, linker.Config{VM: "a", Boot: 1})
	b := startVM(t, linker.Config{VM: "b", Boot: 2})
	// Both discover each other at the same time.
	a.Connect("b", b.address)
	b.Connect("a", a.address)
	waitUntil(t, "a link", func() bool { return len(a.Connected()) == 1 && len(b.Connected()) == 1 })
	assert.NilError(t, linker.Send(a.Linker, "b", "word", "there"))
	assert.Equal(t, b.nextMessage(t), "there")
	assert.NilError(t, linker.Send(b.Linker, "a", "word", "back"))
	assert.Equal(t, a.nextMessage(t), "back")
	a.Close()
	b.Close()
	a.server.Close()
	b.server.Close()
}

func TestFetch(t *testing.T) {
	a := startVM(t, linker.Config{VM: "a", Boot: 1})
	b := startVM(t, linker.Config{VM: "b", Boot: 2})
	b.ServeState(func() []byte { return []byte("state") })
	a.Connect("b", b.address)
	waitUntil(t, "a link", func() bool { return len(a.Connected()) == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	data, err := a.FetchState(ctx, "b")
	assert.NilError(t, err)
	assert.Equal(t, string(data), "state")
	_, err = a.FetchState(ctx, "c")
	assert.Assert(t, linker.ErrFetch.Has(err))
}

// A VM with another secret or protocol version, or one that responds at the address of
// another VM, must be refused. Otherwise any process could lend slots that do not exist.
func TestInvalidPeersAreRefused(t *testing.T) {
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
			a := startVM(t, linker.Config{VM: "a", Boot: 1})
			b := startVM(t, test.c)
			a.Connect(test.as, b.address)
			waitUntil(t, "a refusal", func() bool { return a.counter("links.refused")+b.counter("links.refused") > 0 })
			assert.Equal(t, len(a.Connected()), 0)
		})
	}
}

// A VM is replaced, and the new process uses the same name. Messages must reach the new
// process, and a link from the old one must not replace its link.
func TestNewerProcessReplacesLink(t *testing.T) {
	a := startVM(t, linker.Config{VM: "a", Boot: 1})
	b1 := startVM(t, linker.Config{VM: "b", Boot: 2})
	b1.Connect("a", a.address)
	waitUntil(t, "the first link", func() bool { return len(a.Connected()) == 1 })
	b2 := startVM(t, linker.Config{VM: "b", Boot: 3})
	b2.Connect("a", a.address)
	waitUntil(t, "the newer process", func() bool {
		_ = linker.Send(a.Linker, "b", "word", "new")
		return len(b2.received) > 0
	})
	b1.Connect("a", a.address)
	waitUntil(t, "a refusal", func() bool { return a.counter("links.refused") > 0 })
	assert.NilError(t, linker.Send(a.Linker, "b", "word", "still"))
	waitUntil(t, "a message to the newer process", func() bool { return b2.nextMessage(t) == "still" })
}

// A message that cannot be decoded ends the link it came over and no other.
func TestBrokenMessageEndsItsLinkOnly(t *testing.T) {
	a := startVM(t, linker.Config{VM: "a", Boot: 1})
	b := startVM(t, linker.Config{VM: "b", Boot: 2})
	c := startVM(t, linker.Config{VM: "c", Boot: 3})
	a.Connect("b", b.address)
	a.Connect("c", c.address)
	waitUntil(t, "links", func() bool { return len(a.Connected()) == 2 && len(b.Connected()) == 1 && len(c.Connected()) == 1 })
	assert.NilError(t, linker.Send(b.Linker, "a", "word", 7)) // not a string
	waitUntil(t, "the link's end", func() bool { return a.counter("links.broken") == 1 })
	assert.NilError(t, linker.Send(c.Linker, "a", "unknown", 7))
	assert.NilError(t, linker.Send(c.Linker, "a", "word", "fine"))
	assert.Equal(t, a.nextMessage(t), "fine")
}

// A client that is not a VM connects and sends data that is not a handshake message.
func TestInvalidHandshakeIsRefused(t *testing.T) {
	a := startVM(t, linker.Config{VM: "a", Boot: 1})
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+a.address, nil) //nolint:bodyclose // closed by the library
	assert.NilError(t, err)
	defer conn.Close(websocket.StatusNormalClosure, "")
	assert.NilError(t, conn.Write(ctx, websocket.MessageBinary, []byte("nonsense")))
	waitUntil(t, "a refusal", func() bool { return a.counter("links.refused") == 1 })
}

// FuzzMessage passes arbitrary bytes from a peer to dispatch.
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
