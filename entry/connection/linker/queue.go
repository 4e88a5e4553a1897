package linker

import (
	"context"
	"slices"
	"sync"
)

// A queue holds the messages that wait for one link.
type queue struct {
	mu    sync.Mutex
	items []item
	more  chan struct{}
}

type item struct {
	data []byte
	beat bool
}

func newQueue() *queue { return &queue{more: make(chan struct{}, 1)} }

// put adds a message and returns how many were dropped for it: the oldest
// heartbeat first, and where there is none, the oldest message, whose sender
// will have sent a later one.
func (q *queue) put(data []byte, beat bool) (dropped int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= maxQueue {
		i := max(0, slices.IndexFunc(q.items, func(i item) bool { return i.beat }))
		q.items = slices.Delete(q.items, i, i+1)
		dropped = 1
	}
	q.items = append(q.items, item{data: data, beat: beat})
	select {
	case q.more <- struct{}{}:
	default:
	}
	return dropped
}

// take waits for the next message.
func (q *queue) take(ctx context.Context) ([]byte, bool) {
	for {
		q.mu.Lock()
		if len(q.items) > 0 {
			data := q.items[0].data
			q.items = slices.Delete(q.items, 0, 1)
			q.mu.Unlock()
			return data, true
		}
		q.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, false
		case <-q.more:
		}
	}
}
