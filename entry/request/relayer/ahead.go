package relayer

import (
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/process/accountant"
)

const (
	// maxQueuedBytes limits the events of one stream that are read and not yet written.
	// Most responses are shorter.
	maxQueuedBytes = 256 << 10
	// minHeldBack is for how long an upstream's stream must have been left unread, for its
	// loss to be put down to the caller.
	minHeldBack = time.Second
)

// errHeldBack reports a stream that ended incomplete after it was left unread, because the
// caller did not read what came before.
var errHeldBack = errors.New("caller reads too slowly, and the upstream ended the stream")

// A queuedEvent is an event that the caller does not have yet.
type queuedEvent struct {
	data []byte
	// id is "" if the event has none.
	id      string
	arrived time.Time
	// reserved is the memory taken for it beside eventReserve.
	reserved int64
}

// An eventQueue holds the events of one upstream's stream between the goroutine that reads
// them and the one that writes them. It always takes one event, whose memory is a part of
// requestMemory, and more if there is memory for them.
type eventQueue struct {
	memory *accountant.Holder
	now    func() time.Time
	// readerDone is closed once the reading goroutine has ended. It alone uses maxPause,
	// the longest time between two events, until then.
	readerDone chan struct{}
	maxPause   time.Duration

	mu sync.Mutex
	// changed is signalled to the writing goroutine when an event or the end arrives, and to
	// the reading one when an event was written. They never wait at the same time.
	changed *sync.Cond
	// events[0] remains until it is written.
	events []queuedEvent
	bytes  int64
	// end is why no more events arrive.
	end       error
	abandoned bool
	// heldBack is for how long the upstream was not read.
	heldBack time.Duration
}

func newEventQueue(memory *accountant.Holder, now func() time.Time) *eventQueue {
	q := &eventQueue{memory: memory, now: now, readerDone: make(chan struct{})}
	q.changed = sync.NewCond(&q.mu)
	return q
}

func (q *eventQueue) growEvent(n int64) bool { return q.memory.Grow(q.now(), accountant.Events, n) }

// put adds an event and waits, if there is no memory for it, until those before it are
// written. It returns for how long it has waited, and false if no more events are wanted.
func (q *eventQueue) put(e queuedEvent) (held time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.abandoned && !q.tryAdd(&e) {
		for !q.abandoned && !q.tryAdd(&e) {
			q.changed.Wait()
		}
		held = q.now().Sub(e.arrived)
		q.heldBack += held
	}
	if q.abandoned {
		q.memory.Release(q.now(), accountant.Events, e.reserved)
		return held, false
	}
	q.changed.Signal()
	return held, true
}

func (q *eventQueue) tryAdd(e *queuedEvent) bool {
	if len(q.events) > 0 {
		n := int64(len(e.data))
		if q.bytes+n > maxQueuedBytes || !q.memory.Grow(q.now(), accountant.Events, n) {
			return false
		}
		e.reserved += n
	}
	q.events = append(q.events, *e)
	q.bytes += int64(len(e.data))
	return true
}

// finish records why no more events arrive.
func (q *eventQueue) finish(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if isConnectionLoss(err) && !errors.Is(err, io.EOF) && q.heldBack >= minHeldBack {
		err = &callerWriteError{errHeldBack}
	}
	q.end = err
	q.changed.Signal()
}

// first waits for the first event and returns it. It remains in the queue.
func (q *eventQueue) first() (queuedEvent, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.events) == 0 && q.end == nil {
		q.changed.Wait()
	}
	if len(q.events) == 0 {
		return queuedEvent{}, q.end
	}
	return q.events[0], nil
}

// removeFirst removes the first event, which the caller now has.
func (q *eventQueue) removeFirst() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n := q.events[0].reserved; n > 0 {
		q.memory.Release(q.now(), accountant.Events, n)
	}
	q.bytes -= int64(len(q.events[0].data))
	q.events = slices.Delete(q.events, 0, 1)
	q.changed.Signal()
}

// abandon ends a queue whose events are no longer wanted.
func (q *eventQueue) abandon() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.abandoned = true
	for _, e := range q.events {
		q.memory.Release(q.now(), accountant.Events, e.reserved)
	}
	q.events = nil
	q.changed.Signal()
}
