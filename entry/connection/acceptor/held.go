package acceptor

import (
	"context"
	"net"
	"net/http"
	"time"
)

// A trackedConn holds the state of an open connection.
type trackedConn struct {
	server *limitedServer
	// serving is set while a request is being served: from its complete header to the
	// end of its response. since is the time of the last change of serving.
	serving bool
	since   time.Time
	// evicted is set once the connection has been closed to free capacity. It ends
	// soon after.
	evicted bool
}

// connKey is the context key of the trackedConn of a request's connection.
type connKey struct{}

// track records an accepted connection and returns the server to pass it to.
func (a *Acceptor) track(c net.Conn) *limitedServer {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.current.Load()
	g.connCount++
	a.conns[c] = &trackedConn{server: g, since: a.now()}
	return g
}

// connContext adds the trackedConn of a connection to the context of its requests.
func (a *Acceptor) connContext(ctx context.Context, c net.Conn) context.Context {
	a.mu.Lock()
	defer a.mu.Unlock()
	return context.WithValue(ctx, connKey{}, a.conns[c])
}

// connState removes connections that have ended.
func (a *Acceptor) connState(c net.Conn, s http.ConnState) {
	if s != http.StateClosed && s != http.StateHijacked {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := a.conns[c]
	if !ok {
		return
	}
	delete(a.conns, c)
	select {
	case a.connEnded <- struct{}{}:
	default:
	}
	h.server.connCount--
	a.closeIfUnused(h.server)
}

// serve passes a request to the handler and marks its connection as serving meanwhile.
func (a *Acceptor) serve(w http.ResponseWriter, r *http.Request) {
	h, _ := r.Context().Value(connKey{}).(*trackedConn)
	a.setServing(h, true)
	defer a.setServing(h, false)
	a.handler.ServeHTTP(w, r)
}

func (a *Acceptor) setServing(h *trackedConn, serving bool) {
	if h == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	h.serving, h.since = serving, a.now()
}

// waitForCapacity waits until another connection may be open. At the limit, it closes the
// connection that has been without a complete request for longest, whether idle or in the
// middle of a request header: its caller can open a new connection without sending a
// request twice.
func (a *Acceptor) waitForCapacity() {
	for {
		a.mu.Lock()
		full := len(a.conns) >= a.maxConns
		if full {
			a.evictOldest()
		}
		a.mu.Unlock()
		if !full {
			return
		}
		select {
		case <-a.done:
			return
		case <-a.connEnded:
		}
	}
}

func (a *Acceptor) evictOldest() {
	var oldest net.Conn
	var since time.Time
	for c, h := range a.conns {
		if !h.serving && !h.evicted && (oldest == nil || h.since.Before(since)) {
			oldest, since = c, h.since
		}
	}
	if oldest == nil {
		return
	}
	a.conns[oldest].evicted = true
	a.log.Info().Str("caller", oldest.RemoteAddr().String()).Int("most", a.maxConns).Msg("closed a connection without a request: connection limit reached")
	oldest.Close()
}
