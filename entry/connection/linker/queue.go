package linker

import (
	"context"
	"slices"
	"sync"
)

// A queue holds the messages that are waiting to be sent over a link.
type queue struct {
	mu       sync.Mutex
	items    []item
	notEmpty chan struct{}
}

type item struct {
	data      []byte
	heartbeat bool
}

func newQueue() *queue { return &queue{notEmpty: make(chan struct{}, 1)} }

// push adds a message and returns how many were dropped to make room. It drops the
// oldest heartbeat or, if there is none, the oldest message, because its sender will
// have sent a later one.
func (q *queue) push(data []byte, heartbeat bool) (dropped int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= maxQueueLength {
		i := max(0, slices.IndexFunc(q.items, func(i item) bool { return i.heartbeat }))
		q.items = slices.Delete(q.items, i, i+1)
		dropped = 1
	}
	q.items = append(q.items, item{data: data, heartbeat: heartbeat})
	select {
	case q.notEmpty <- struct{}{}:
	default:
	}
	return dropped
}

// pop waits for the next message. It returns false if ctx ends first.
func (q *queue) pop(ctx context.Context) ([]byte, bool) {
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
		case <-q.notEmpty:
		}
	}
}
