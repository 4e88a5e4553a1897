// Package acceptor accepts and serves callers' connections with limits that operators
// can change while the process runs. New limits apply to connections accepted after the
// change; open connections keep their limits until they end. Because net/http reads a
// server's limits without a lock, each set of limits has its own http.Server, which is
// closed after its last connection.
//
// The number of connections is limited. Otherwise callers could use up the VM's file
// descriptors, none would be left for connections to upstreams, and no request could
// be served.
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/connection/shedder"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply until a configuration sets other
	// values.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// idleGrace is added to the idle timeout announced to callers, so that a caller that
	// reuses its connection at the last moment does not find it closed.
	idleGrace = time.Second
	// maxQueued is the maximum number of accepted connections queued for a server.
	maxQueued = 64
	// acceptRetryDelay is the delay after a failed accept, for example when no file
	// descriptor is free.
	acceptRetryDelay = 20 * time.Millisecond
)

// An Acceptor passes accepted connections to the server that has the current limits.
type Acceptor struct {
	listener net.Listener
	handler  http.Handler
	maxConns int
	now      func() time.Time
	meter    Meter
	log      zerolog.Logger

	mu      sync.Mutex
	shedder shedder.Shedder
	// probeDueAt is when the next call of Probe is due.
	probeDueAt time.Time
	// shed is the number of connections closed since the VM is overloaded.
	shed  int
	conns map[net.Conn]*trackedConn
	// connEnded signals that a connection has ended.
	connEnded chan struct{}
	limits    matcher.Limits
	servers   []*limitedServer
	// draining is set once connections are no longer kept for further requests, and the
	// limits no longer change.
	draining bool
	current  atomic.Pointer[limitedServer]
	done     chan struct{}
	once     sync.Once
}

// A limitedServer is an http.Server with one set of limits. It implements net.Listener,
// through which it receives its connections.
type limitedServer struct {
	server *http.Server
	// connCount is the number of open connections.
	connCount int
	address   net.Addr
	conns     chan net.Conn
	done      chan struct{}
	once      sync.Once
}

// A Meter counts events.
type Meter interface {
	Count(name string, n int64)
}

// New returns an Acceptor that serves the connections of a listener, at most maxConns of
// them at a time.
func New(l net.Listener, h http.Handler, maxConns int, now func() time.Time, meter Meter, log zerolog.Logger) *Acceptor {
	a := &Acceptor{
		listener: l, handler: h, maxConns: maxConns, now: now, meter: meter, log: log,
		conns: make(map[net.Conn]*trackedConn), connEnded: make(chan struct{}, 1), done: make(chan struct{}),
	}
	a.SetLimits(matcher.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout})
	return a
}

// SetLimits sets the limits of connections that are accepted from now on. It does nothing
// after Drain: a server for new limits would miss the shutdown.
func (a *Acceptor) SetLimits(l matcher.Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if previous := a.current.Load(); previous != nil && (l == a.limits || a.draining) {
		return
	}
	a.limits = l
	g := &limitedServer{address: a.listener.Addr(), conns: make(chan net.Conn, maxQueued), done: make(chan struct{})}
	g.server = &http.Server{
		Handler:           http.HandlerFunc(a.serve),
		ConnContext:       a.connContext,
		ConnState:         a.connState,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout + idleGrace,
		MaxHeaderBytes:    int(l.MaxHeaderBytes),
	}
	go func() {
		if err := g.server.Serve(g); err != nil && !errors.Is(err, http.ErrServerClosed) {
			a.log.Error().Err(err).Msg("server for caller connections failed")
		}
	}()
	a.servers = append(a.servers, g)
	previous := a.current.Swap(g)
	a.closeIfUnused(previous)
}

// closeIfUnused closes a server that has no connections and will not receive any more.
// Otherwise each change of the limits would leave a server behind.
func (a *Acceptor) closeIfUnused(g *limitedServer) {
	if g == nil || g.connCount > 0 || g == a.current.Load() {
		return
	}
	a.servers = slices.DeleteFunc(a.servers, func(o *limitedServer) bool { return o == g })
	g.server.Close()
}

// Run accepts connections until Shutdown is called.
func (a *Acceptor) Run() {
	for {
		a.waitForCapacity()
		c, err := a.listener.Accept()
		select {
		case <-a.done:
			if err == nil {
				c.Close()
			}
			return
		default:
		}
		if err != nil {
			a.log.Warn().Err(err).Msg("accepting a connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !a.admit() {
			c.Close()
			continue
		}
		select {
		case a.track(c).conns <- c:
		case <-a.done:
			c.Close()
			return
		}
	}
}

// Drain closes idle connections, and each other one after its current request, so that their
// callers open new ones to other VMs. Connections are still accepted.
func (a *Acceptor) Drain() {
	a.mu.Lock()
	a.draining = true
	servers := slices.Clone(a.servers)
	a.mu.Unlock()
	for _, g := range servers {
		g.server.SetKeepAlivesEnabled(false)
	}
}

// Shutdown closes the listener and waits until the requests in progress have completed
// or the context has ended. All servers are shut down at once: one that waited for the
// requests of another would leave its idle connections open, and take requests on them.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	a.once.Do(func() { close(a.done) })
	a.listener.Close()
	a.Drain()
	a.mu.Lock()
	servers := slices.Clone(a.servers)
	a.mu.Unlock()
	shutdownErrs := make([]error, len(servers))
	var wg sync.WaitGroup
	for i, g := range servers {
		wg.Go(func() { shutdownErrs[i] = a.shutDownServer(ctx, g) })
	}
	wg.Wait()
	return errors.Join(shutdownErrs...)
}

// shutDownServer closes a server's idle connections, and waits for the requests on the others.
func (a *Acceptor) shutDownServer(ctx context.Context, g *limitedServer) error {
	begin := a.now()
	open, serving := a.countConns(g)
	err := g.server.Shutdown(ctx)
	left, _ := a.countConns(g)
	a.log.Info().Int("open", open).Int("serving", serving).Int("left", left).Dur("took", a.now().Sub(begin)).Err(err).
		Msg("caller connections closed")
	return err
}

// countConns returns the number of a server's open connections, and on how many of them a
// request is being served.
func (a *Acceptor) countConns(g *limitedServer) (open, serving int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range a.conns {
		if h.server != g {
			continue
		}
		open++
		if h.serving {
			serving++
		}
	}
	return open, serving
}

// Accept returns the next connection passed to the server.
func (g *limitedServer) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return c, nil
	case <-g.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (g *limitedServer) Close() error {
	g.once.Do(func() { close(g.done) })
	return nil
}

// Addr returns the address of the Acceptor's listener.
func (g *limitedServer) Addr() net.Addr { return g.address }
