package deduplicator

import (
	"context"

	"github.com/heathervane/heathervane/library/recorder"
)

// watch returns what is poked when a key changes.
func (k *Deduplicator) watch(key recorder.Hash) (w <-chan struct{}, stop func()) {
	c := make(chan struct{}, 1)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.watchers[key] == nil {
		k.watchers[key] = make(map[chan struct{}]struct{})
	}
	k.watchers[key][c] = struct{}{}
	return c, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.watchers[key], c)
		if len(k.watchers[key]) == 0 {
			delete(k.watchers, key)
		}
	}
}

// wait returns false where the context ended first.
func wait(ctx context.Context, w <-chan struct{}) bool {
	select {
	case <-w:
		return true
	case <-ctx.Done():
		return false
	}
}

func wake(watchers map[chan struct{}]struct{}) {
	for w := range watchers {
		poke(w)
	}
}

// poke leaves one token in a channel of one place.
func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
