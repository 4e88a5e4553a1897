package linker

import (
	"context"

	"github.com/zeebo/errs"
)

// Kinds of the messages with which a VM that lags behind fetches the state of a peer.
const (
	kindFetch = "fetch"
	kindState = "state"
)

// ErrFetch is the class of errors of FetchState.
var ErrFetch = errs.Class("fetch")

type fetch struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
}

type state struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Data []byte
}

// ServeState sets the function that returns this VM's state for peers that fetch it. f
// must not block.
func (l *Linker) ServeState(f func() []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stateFunc = f
}

func (l *Linker) registerFetchHandlers() {
	Handle(l, kindFetch, func(from Peer, m fetch) {
		l.mu.Lock()
		f := l.stateFunc
		l.mu.Unlock()
		if f == nil {
			return
		}
		// If the link is gone, the response is lost and the peer's fetch times
		// out.
		_ = Send(l, from.VM, kindState, state{ID: m.ID, Data: f()})
	})
	Handle(l, kindState, func(_ Peer, m state) {
		l.mu.Lock()
		c := l.pendingFetches[m.ID]
		delete(l.pendingFetches, m.ID)
		l.mu.Unlock()
		if c != nil {
			c <- m.Data
		}
	})
}

// FetchState fetches the state of a VM over the link to it. It waits for the response
// until the context ends.
func (l *Linker) FetchState(ctx context.Context, vm string) ([]byte, error) {
	c := make(chan []byte, 1)
	l.mu.Lock()
	l.lastFetchID++
	id := l.lastFetchID
	l.pendingFetches[id] = c
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pendingFetches, id)
		l.mu.Unlock()
	}()
	if err := Send(l, vm, kindFetch, fetch{ID: id}); err != nil {
		return nil, ErrFetch.Wrap(err)
	}
	select {
	case data := <-c:
		return data, nil
	case <-ctx.Done():
		return nil, ErrFetch.Wrap(ctx.Err())
	}
}
