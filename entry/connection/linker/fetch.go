package linker

import (
	"context"

	"github.com/zeebo/errs"
)

// Kinds of the messages by which a VM that is behind gets a peer's state.
const (
	kindFetch = "fetch"
	kindState = "state"
)

// ErrFetch is the class of failed fetches.
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

// ServeState sets what peers get that fetch this VM's state. f must not block.
func (l *Linker) ServeState(f func() []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = f
}

func (l *Linker) registerFetch() {
	Handle(l, kindFetch, func(from Peer, m fetch) {
		l.mu.Lock()
		f := l.state
		l.mu.Unlock()
		if f == nil {
			return
		}
		// A link that is gone loses the answer; the fetch then ends by its
		// own time limit.
		_ = Send(l, from.VM, kindState, state{ID: m.ID, Data: f()})
	})
	Handle(l, kindState, func(_ Peer, m state) {
		l.mu.Lock()
		c := l.fetches[m.ID]
		delete(l.fetches, m.ID)
		l.mu.Unlock()
		if c != nil {
			c <- m.Data
		}
	})
}

// FetchState gets a VM's state over the link to it. It waits for the answer until
// the context ends.
func (l *Linker) FetchState(ctx context.Context, vm string) ([]byte, error) {
	c := make(chan []byte, 1)
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	l.fetches[id] = c
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.fetches, id)
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
