package acceptor

import (
	"context"
	"net"
	"net/http"
	"time"
)

// A held connection is one that is open.
type held struct {
	generation *generation
	// serving says that a whole request's head has come and its answer has not
	// ended; since is when that last changed.
	serving bool
	since   time.Time
	// closed says that it has been closed to make room, and ends soon.
	closed bool
}

// heldKey finds a request's connection in its context.
type heldKey struct{}

// hold counts a connection, and gives the server that is to have it.
func (a *Acceptor) hold(c net.Conn) *generation {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.current.Load()
	g.open++
	a.open[c] = &held{generation: g, since: a.now()}
	return g
}

// context lets requests find their connection.
func (a *Acceptor) context(ctx context.Context, c net.Conn) context.Context {
	a.mu.Lock()
	defer a.mu.Unlock()
	return context.WithValue(ctx, heldKey{}, a.open[c])
}

// state takes out connections that have ended.
func (a *Acceptor) state(c net.Conn, s http.ConnState) {
	if s != http.StateClosed && s != http.StateHijacked {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := a.open[c]
	if !ok {
		return
	}
	delete(a.open, c)
	select {
	case a.ended <- struct{}{}:
	default:
	}
	h.generation.open--
	a.retire(h.generation)
}

// serve notes which connections have a request.
func (a *Acceptor) serve(w http.ResponseWriter, q *http.Request) {
	h, _ := q.Context().Value(heldKey{}).(*held)
	a.mark(h, true)
	defer a.mark(h, false)
	a.handler.ServeHTTP(w, q)
}

func (a *Acceptor) mark(h *held, serving bool) {
	if h == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	h.serving, h.since = serving, a.now()
}

// makeRoom waits until one connection more may be open. Of those that have no
// request, idle or with half of one sent, it closes the one that has been so for
// longest: its caller may open another, and sends nothing twice.
func (a *Acceptor) makeRoom() {
	for {
		a.mu.Lock()
		full := len(a.open) >= a.most
		if full {
			a.closeOldest()
		}
		a.mu.Unlock()
		if !full {
			return
		}
		select {
		case <-a.done:
			return
		case <-a.ended:
		}
	}
}

func (a *Acceptor) closeOldest() {
	var oldest net.Conn
	var since time.Time
	for c, h := range a.open {
		if !h.serving && !h.closed && (oldest == nil || h.since.Before(since)) {
			oldest, since = c, h.since
		}
	}
	if oldest == nil {
		return
	}
	a.open[oldest].closed = true
	a.log.Info().Str("caller", oldest.RemoteAddr().String()).Int("most", a.most).Msg("connection closed to make room")
	oldest.Close()
}
