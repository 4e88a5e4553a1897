package joiner_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/inspector"
	"github.com/heathervane/heathervane/entry/process/joiner"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/entry/process/replicator"
	"github.com/heathervane/heathervane/entry/process/reserver"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
	"github.com/heathervane/heathervane/entry/request/relayer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// slowPlatform is a platform that lists two upstreams and parses each entry slowly.
type slowPlatform struct {
	reserver.EngineClient
	address string
	// listed is closed when the list of upstreams may be read.
	listed chan struct{}
}

// entryReadTime is how long parsing an entry takes. It is longer than the interval at which
// the allocator checks waiting requests.
const entryReadTime = 4 * allocator.TickInterval

func (p *slowPlatform) Newest(_ context.Context, stream string) ([]replicator.Record, replicator.Position, error) {
	switch stream {
	case joiner.Configuration:
		return []replicator.Record{{Key: "config", Value: []byte("x")}}, replicator.Position{Offset: 1}, nil
	case joiner.Upstreams:
		<-p.listed
		return []replicator.Record{{Key: "other", Value: []byte("x")}, {Key: "needed", Value: []byte("x"), Offset: 1}}, replicator.Position{Offset: 2}, nil
	}
	return nil, replicator.Position{Offset: 1}, nil
}

func (*slowPlatform) Read(ctx context.Context, _ string, from replicator.Position, wait time.Duration) ([]replicator.Record, replicator.Position, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, from, ctx.Err()
}

func (*slowPlatform) Report(context.Context, string) (inspector.Report, error) {
	return inspector.Report{}, nil
}

func (*slowPlatform) RegisterVM(context.Context, allocator.Member) error { return nil }

func (*slowPlatform) ParseChange(replicator.Record) (joiner.ConfigChange, error) {
	return joiner.ConfigChange{Config: &matcher.Config{
		Version: 1, Services: []matcher.Service{{Name: "s"}}, Limits: matcher.Limits{MaxBodyBytes: 1 << 10},
		Routes: []matcher.Route{{
			Name: "r", Host: "a.example", Prefix: "/", Kind: matcher.Safe, MaxAttempts: 1, Timeout: 5 * time.Second,
			Objective: time.Second, Split: []matcher.WeightedService{{Service: "s", Weight: 1}},
		}},
	}}, nil
}

func (p *slowPlatform) ParseUpstream(r replicator.Record) (tracker.Upstream, error) {
	time.Sleep(entryReadTime)
	u := tracker.Upstream{ID: r.Key, Service: r.Key, Address: p.address, Zone: "z", Slots: 4}
	if r.Key == "needed" {
		u.Service = "s"
	}
	return u, nil
}

func (*slowPlatform) ParseMember(replicator.Record) (allocator.Member, error) {
	return allocator.Member{}, nil
}

func (*slowPlatform) StoreQuarantine(context.Context, quarantiner.Record) error { return nil }

func (*slowPlatform) StoreLosses(context.Context, string, []quarantiner.Record) error { return nil }

func (*slowPlatform) DeleteLosses(context.Context, []joiner.LossesKey) error { return nil }

func (*slowPlatform) ParseLosses(replicator.Record) (k joiner.LossesKey, q quarantiner.Record, ok bool, err error) {
	return k, q, false, nil
}

func (*slowPlatform) DeleteQuarantine(context.Context, fingerprinter.Fingerprint) error { return nil }

func (*slowPlatform) ParseQuarantine(replicator.Record) (q quarantiner.Record, ok bool, err error) {
	return q, false, nil
}

func (*slowPlatform) ParseRequest(h http.Header) relayer.RequestInfo {
	return relayer.RequestInfo{ID: h.Get("Id"), Timeout: 5 * time.Second}
}

func (*slowPlatform) ForwardHeader(h http.Header, _ relayer.ForwardInfo) http.Header {
	return h.Clone()
}

func (*slowPlatform) ParseResponse(_ int, h http.Header) relayer.ResponseInfo {
	return relayer.ResponseInfo{ID: h.Get("Id"), Sealed: true}
}

func (*slowPlatform) EventID([]byte) string { return "" }

// freeAddress returns a loopback address that is not in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// A request waits for the first list of upstreams, in which the upstream that it needs
// comes last. It must not be refused for lack of upstreams while the entries before are
// being applied.
func TestFirstListTakesEffectOnceComplete(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Id", q.Header.Get("Id"))
		_, err := io.WriteString(w, "done")
		assert.Check(t, err)
	}))
	defer upstream.Close()
	p := &slowPlatform{address: strings.TrimPrefix(upstream.URL, "http://"), listed: make(chan struct{})}
	callers := freeAddress(t)
	v, err := joiner.New(joiner.Settings{
		VM: "vm", Zone: "z", CallersAddress: callers, ReadyAddress: freeAddress(t), PeersAddress: freeAddress(t), MetricsAddress: freeAddress(t), ReadyPath: "/ready",
		Cores: 1, Memory: 64 << 20, Descriptors: 256,
		Bounds: joiner.Bounds{DrainTimeout: 2 * time.Second, ConfigApplyTimeout: 2 * time.Second, ShutdownGrace: 500 * time.Millisecond, ReleaseTimeout: 4 * time.Second, RetryWindow: time.Second},
	}, p, zerolog.Nop())
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		v.Run(ctx)
		close(done)
	}()
	defer func() {
		stop()
		<-done
	}()
	time.AfterFunc(100*time.Millisecond, func() { close(p.listed) })
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+callers+"/x", http.NoBody)
	assert.NilError(t, err)
	q.Host = "a.example"
	q.Header.Set("Id", "1")
	reply, err := http.DefaultClient.Do(q)
	assert.NilError(t, err)
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	assert.NilError(t, err)
	assert.Equal(t, reply.StatusCode, http.StatusOK, "%s", body)
}
