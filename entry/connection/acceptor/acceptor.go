// Package acceptor serves callers' connections under limits that operators may
// change while the process runs: connections that come after a change are held
// to the new limits, and those that are open keep theirs until they end.
// net/http reads a server's limits without a lock, so that each set of limits
// has a server of its own, which goes with its last connection.
//
// The connections are bounded. Callers that open more than a VM has descriptors
// for would else leave none for upstreams, so that no request is served at all.
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
	most     int
	now      func() time.Time
	log      zerolog.Logger

	mu   sync.Mutex
	open map[net.Conn]*held
	// ended tells that a connection has ended.
	ended   chan struct{}
	limits  matcher.Limits
	servers []*generation
	current atomic.Pointer[generation]
	done    chan struct{}
	once    sync.Once
}

// A generation is the server of one set of limits, and the listener through
// which it is handed connections.
type generation struct {
	server *http.Server
	// open is how many of its connections are.
	open    int
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// New returns an Acceptor that serves a listener's connections, at most so many
// at a time.
func New(l net.Listener, h http.Handler, most int, now func() time.Time, log zerolog.Logger) *Acceptor {
	a := &Acceptor{
		listener: l, handler: h, most: most, now: now, log: log,
		open: make(map[net.Conn]*held), ended: make(chan struct{}, 1), done: make(chan struct{}),
	}
	a.SetLimits(matcher.Limits{HeaderTimeout: headerTime, IdleTimeout: idleTime})
	return a
}

// SetLimits puts limits in force for the connections that come from now on.
func (a *Acceptor) SetLimits(l matcher.Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.current.Load(); old != nil && l == a.limits {
		return
	}
	a.limits = l
	g := &generation{address: a.listener.Addr(), conns: make(chan net.Conn, queued), done: make(chan struct{})}
	g.server = &http.Server{
		Handler:           http.HandlerFunc(a.serve),
		ConnContext:       a.context,
		ConnState:         a.state,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout + idleSpare,
		MaxHeaderBytes:    int(l.MaxHeaderBytes),
	}
	go func() {
		if err := g.server.Serve(g); err != nil && !errors.Is(err, http.ErrServerClosed) {
			a.log.Error().Err(err).Msg("serving callers ended")
		}
	}()
	a.servers = append(a.servers, g)
	old := a.current.Swap(g)
	a.retire(old)
}

// retire ends a server that has no connection and gets none any more. Without it
// each change of the limits would leave one behind.
func (a *Acceptor) retire(g *generation) {
	if g == nil || g.open > 0 || g == a.current.Load() {
		return
	}
	a.servers = slices.DeleteFunc(a.servers, func(o *generation) bool { return o == g })
	g.server.Close()
}

// Run accepts connections until Shutdown.
func (a *Acceptor) Run() {
	for {
		a.makeRoom()
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
		case a.hold(c).conns <- c:
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
	servers := slices.Clone(a.servers)
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
