package deduplicator

import (
	"context"

	"github.com/heathervane/heathervane/library/recorder"
)

// watch returns a channel that is notified when the state of a key may have changed.
func (d *Deduplicator) watch(key recorder.Hash) (w <-chan struct{}, stop func()) {
	c := make(chan struct{}, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watchers[key] == nil {
		d.watchers[key] = make(map[chan struct{}]struct{})
	}
	d.watchers[key][c] = struct{}{}
	return c, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.watchers[key], c)
		if len(d.watchers[key]) == 0 {
			delete(d.watchers, key)
		}
	}
}

// wait waits for a notification; it returns false if the context ends first.
func wait(ctx context.Context, w <-chan struct{}) bool {
	select {
	case <-w:
		return true
	case <-ctx.Done():
		return false
	}
}

func notifyAll(watchers map[chan struct{}]struct{}) {
	for w := range watchers {
		notify(w)
	}
}

// notify sends to a channel with a buffer of one, unless the buffer is full.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
