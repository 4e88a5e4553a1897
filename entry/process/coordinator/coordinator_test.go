package coordinator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/connection/linker"
	"github.com/heathervane/heathervane/entry/process/coordinator"
	"github.com/heathervane/heathervane/entry/process/lender"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/lister"
	"github.com/heathervane/heathervane/library/ticker"
)

// far bounds events that normally take a few seconds at most.
const far = 60 * time.Second

// platform is a log, a list and warm upstreams in memory.
type platform struct {
	mu      sync.Mutex
	records []appender.Record
	grown   chan struct{}
	vms     []lister.VM
}

func (p *platform) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	offset := uint64(len(p.records)) + 1
	p.records = append(p.records, appender.Record{Offset: offset, At: time.Now(), Data: data})
	close(p.grown)
	p.grown = make(chan struct{})
	return offset, nil
}

func (p *platform) Read(
	ctx context.Context, _ string, from uint64, _ int, wait time.Duration,
) (appender.Batch, error) {
	p.mu.Lock()
	grown, have := p.grown, uint64(len(p.records))
	p.mu.Unlock()
	if from > have {
		limited, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		select {
		case <-limited.Done():
		case <-grown:
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	b := appender.Batch{Start: 1, End: uint64(len(p.records)) + 1}
	if from < b.End {
		b.Records = append(b.Records, p.records[from-1:]...)
	}
	return b, ctx.Err()
}

func (p *platform) VMs(context.Context) ([]lister.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]lister.VM{}, p.vms...), nil
}

func (*platform) Load(context.Context, string) (lender.Load, error) {
	return lender.Load{Boot: 9}, nil
}

func (*platform) Streams(context.Context, string) (uint64, map[lender.Who]int, error) {
	return 9, map[lender.Who]int{}, nil
}

type process struct {
	*coordinator.Coordinator
	stop func()
}

// join starts a VM on loopback.
func (p *platform) join(t *testing.T, id string, boot uint64) *process {
	t.Helper()
	var l *linker.Linker
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.ServeHTTP(w, r) }))
	address := strings.TrimPrefix(server.URL, "http://")
	registry := metrics.NewRegistry()
	l = linker.New(linker.Config{VM: id, Address: address, Boot: boot, Secret: []byte("s")}, zerolog.Nop(), registry)
	tick := ticker.New(time.Now, 10*time.Millisecond)
	c := coordinator.New(
		coordinator.Config{VM: id, Zone: "a", Address: address, Boot: boot, Timings: coordinator.Today()},
		coordinator.Deps{
			Log: p, List: p, Links: coordinator.Over(l), Prober: p, Ticker: tick, Registry: registry, Logger: zerolog.Nop(),
		},
	)
	c.Configure([]coordinator.Upstream{engine("e1"), engine("e2"), engine("e3")}, 2)
	p.mu.Lock()
	p.vms = append(p.vms, lister.VM{ID: id, Zone: "a", Address: address, State: lister.Live})
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { tick.Run(ctx) })
	wait.Go(func() { assert.Check(t, c.Run(ctx)) })
	stop := sync.OnceFunc(func() {
		cancel()
		wait.Wait()
		l.Close()
		server.Close()
	})
	t.Cleanup(stop)
	return &process{Coordinator: c, stop: stop}
}

// take waits for a slot.
func (m *process) take(t *testing.T, upstream string) *coordinator.Slot {
	t.Helper()
	limit := time.After(far)
	m.Want(upstream, 1)
	for {
		if s, ok := m.Take(upstream, 0); ok {
			return s
		}
		select {
		case <-m.Changed():
		case <-time.After(100 * time.Millisecond):
		case <-limit:
			t.Fatalf("no slot of %s; view %+v", upstream, m.View(upstream))
		}
	}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for limit := time.Now().Add(far); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%s did not come", what)
		}
	}
}

func TestOverLinks(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	p := &platform{grown: make(chan struct{})}
	a, b := p.join(t, "a", 1), p.join(t, "b", 2)
	for _, m := range []*process{a, b} {
		for _, u := range []string{"e1", "e2", "e3"} {
			s := m.take(t, u)
			assert.Equal(t, s.Boot, uint64(9))
			assert.Assert(t, s.Live())
			s.Done(coordinator.Completed)
			s.Done(coordinator.Completed)
			assert.Equal(t, m.View(u).Mine, 0)
		}
		ok, reason := m.Ready()
		assert.Assert(t, ok, reason)
		eventually(t, "a seat", func() bool { _, ok := m.Seat(); return ok })
	}
	ctx, cancel := context.WithTimeout(t.Context(), far)
	defer cancel()
	assert.NilError(t, a.Leave(ctx))
	for _, u := range []string{"e1", "e2", "e3"} {
		eventually(t, "a holder", func() bool { return b.Holder(u) == "b" && b.Holds(u) })
		assert.Assert(t, !a.Holds(u))
		b.take(t, u).Done(coordinator.Cancelled)
	}
	ok, _ := a.Ready()
	assert.Assert(t, !ok)
	a.stop()
	b.stop()
}
