// Package acceptor serves callers' connections under limits that operators may
// change while the process runs: connections that come after a change are held
// to the new limits, and those that are open keep theirs until they end.
// net/http reads a server's limits without a lock, so that each set of limits
// has a server of its own.
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// headerTime and idleTime hold until a configuration says otherwise.
	headerTime = 5 * time.Second
	idleTime   = 30 * time.Second
	// idleSpare is how much longer than they were told callers' idle
	// connections are kept: one that reuses its connection in the last moment
	// must not find it closed.
	idleSpare = time.Second
	// queued is how many accepted connections may wait for their server.
	queued = 64
	// acceptAgain is the wait after a failed accept, as when no descriptor is
	// free.
	acceptAgain = 20 * time.Millisecond
)

// An Acceptor hands connections to the server of the limits in force.
type Acceptor struct {
	listener net.Listener
	handler  http.Handler
	log      zerolog.Logger

	mu      sync.Mutex
	limits  matcher.Limits
	servers []*generation
	current atomic.Pointer[generation]
	done    chan struct{}
	once    sync.Once
}

// A generation is the server of one set of limits, and the listener through
// which it is handed connections.
type generation struct {
	server  *http.Server
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// New returns an Acceptor that serves a listener's connections.
func New(l net.Listener, h http.Handler, log zerolog.Logger) *Acceptor {
	a := &Acceptor{listener: l, handler: h, log: log, done: make(chan struct{})}
	a.Limit(matcher.Limits{HeaderTime: headerTime, IdleTime: idleTime})
	return a
}

// Limit puts limits in force for the connections that come from now on.
func (a *Acceptor) Limit(l matcher.Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.current.Load(); old != nil && l == a.limits {
		return
	}
	a.limits = l
	g := &generation{address: a.listener.Addr(), conns: make(chan net.Conn, queued), done: make(chan struct{})}
	g.server = &http.Server{
		Handler:           a.handler,
		ReadHeaderTimeout: l.HeaderTime,
		IdleTimeout:       l.IdleTime + idleSpare,
		MaxHeaderBytes:    int(l.Header),
	}
	go func() {
		if err := g.server.Serve(g); err != nil && !errors.Is(err, http.ErrServerClosed) {
			a.log.Error().Err(err).Msg("serving callers ended")
		}
	}()
	a.servers = append(a.servers, g)
	a.current.Store(g)
}

// Run accepts connections until Shutdown.
func (a *Acceptor) Run() {
	for {
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
			a.log.Warn().Err(err).Msg("connection not accepted")
			time.Sleep(acceptAgain)
			continue
		}
		select {
		case a.current.Load().conns <- c:
		case <-a.done:
			c.Close()
			return
		}
	}
}

// Shutdown closes the listener and waits for the requests in progress, as long
// as the context lasts.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	a.once.Do(func() { close(a.done) })
	a.listener.Close()
	a.mu.Lock()
	servers := a.servers
	a.mu.Unlock()
	var all []error
	for _, g := range servers {
		all = append(all, g.server.Shutdown(ctx))
	}
	return errors.Join(all...)
}

// Accept gives the next connection.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return c, nil
	case <-g.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (g *generation) Close() error {
	g.once.Do(func() { close(g.done) })
	return nil
}

// Addr is the listener's address.
func (g *generation) Addr() net.Addr { return g.address }
