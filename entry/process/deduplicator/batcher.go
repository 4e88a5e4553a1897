package deduplicator

import (
	"context"
	"sync"
	"time"

	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
)

const (
	// maxRecordBytes bounds the bodies and headers of one record, well under the
	// log's limit of 1 MiB.
	maxRecordBytes = 512 << 10
	// entryOverhead is the maximum encoded size of an entry without its body and
	// headers.
	entryOverhead = 256
	// maxPendingResults is how many results may be pending before new calls are
	// refused.
	maxPendingResults = 2048
	// appendTimeout bounds one append.
	appendTimeout = 3 * time.Second
	// maxBackoff bounds the wait after failed appends, in append intervals: 1.6 s
	// by default.
	maxBackoff = 64
)

// A batcher appends entries, several to a record. Intents are tried once, because
// their callers wait. Results, which are outcomes and abandonments, are retried
// until an append succeeds, and may therefore be appended twice.
type batcher struct {
	log      Log
	meter    Meter
	work     chan struct{} // notified when there is something to append
	tick     chan struct{} // notified once per append interval
	failures int           // consecutive failed appends; used only by run

	mu          sync.Mutex
	intents     []item
	results     []item
	inFlight    int           // results in the current append
	drained     chan struct{} // closed when no result is pending any more
	emptyQueued bool
}

// An item is one entry to append. refused is notified if the entry was certainly not
// appended and is not retried.
type item struct {
	entry   recorder.CallEntry
	refused chan struct{}
}

func newBatcher(log Log, meter Meter) *batcher {
	return &batcher{log: log, meter: meter, work: make(chan struct{}, 1), tick: make(chan struct{}, 1), drained: make(chan struct{})}
}

// post queues an entry.
func (b *batcher) post(e recorder.CallEntry, refused chan struct{}) {
	b.mu.Lock()
	if e.Intent != nil {
		b.intents = append(b.intents, item{e, refused})
	} else {
		b.results = append(b.results, item{e, nil})
	}
	b.mu.Unlock()
	notify(b.work)
}

// postEmpty queues an empty record.
func (b *batcher) postEmpty() {
	b.mu.Lock()
	b.emptyQueued = true
	b.mu.Unlock()
	notify(b.work)
}

func (b *batcher) pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.results) + b.inFlight
}

func (b *batcher) overloaded() bool { return b.pending() > maxPendingResults }

// flush returns when no result is pending, or when the context ends.
func (b *batcher) flush(ctx context.Context) error {
	for {
		b.mu.Lock()
		n, drained := len(b.results)+b.inFlight, b.drained
		b.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-drained:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// run appends records until the context ends.
func (b *batcher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.work:
		}
		if b.appendNext(ctx) {
			notify(b.work)
		}
		if err := b.backOff(ctx); err != nil {
			return err
		}
	}
}

// backOff waits one append interval, and longer after failures.
func (b *batcher) backOff(ctx context.Context) error {
	for range min(1<<min(b.failures, 10), maxBackoff) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.tick:
		}
	}
	return nil
}

// appendNext appends one record, and reports whether more is queued.
func (b *batcher) appendNext(ctx context.Context) bool {
	items := b.nextItems()
	if items == nil {
		return false
	}
	err := b.append(ctx, items)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight = 0
	if err == nil {
		b.failures = 0
		if len(b.results) == 0 {
			close(b.drained)
			b.drained = make(chan struct{})
		}
		return len(b.intents)+len(b.results) > 0
	}
	b.failures++
	b.meter.Count("deduplicator.append.failed", 1)
	b.requeue(items, appender.ErrRefused.Has(err))
	return len(b.intents)+len(b.results) > 0
}

// requeue queues results again, and notifies the callers of refused intents. If an
// append may have taken effect, it does neither for intents: reading the log shows
// whether they were appended.
func (b *batcher) requeue(items []item, refused bool) {
	var results []item
	for _, i := range items {
		switch {
		case i.entry.Intent == nil:
			results = append(results, i)
		case refused:
			notify(i.refused)
		}
	}
	b.results = append(results, b.results...)
}

// nextItems removes and returns the next record's items; nil means that there is
// nothing to append. Up to half of a record is reserved for results: callers wait
// for intents, but records full of intents would delay the outcomes of earlier
// calls for as long as the load lasts.
func (b *batcher) nextItems() []item {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.intents)+len(b.results) == 0 && !b.emptyQueued {
		return nil
	}
	b.emptyQueued = false
	limit := recorder.MaxCalls
	results := min(len(b.results), limit/2)
	intents := min(len(b.intents), limit-results)
	items := append(make([]item, 0, limit), b.intents[:intents]...)
	b.intents = b.intents[intents:]
	size := intents * entryOverhead
	for len(b.results) > 0 && len(items) < limit {
		size += sizeOf(b.results[0].entry)
		if size > maxRecordBytes {
			break
		}
		items = append(items, b.results[0])
		b.results = b.results[1:]
		b.inFlight++
	}
	return items
}

func sizeOf(e recorder.CallEntry) int {
	size := entryOverhead
	if e.Outcome != nil {
		size += len(e.Outcome.Body)
		for name, value := range e.Outcome.Header {
			size += len(name) + len(value)
		}
	}
	return size
}

func (b *batcher) append(ctx context.Context, items []item) error {
	var batch recorder.CallBatch
	for _, i := range items {
		batch.Calls = append(batch.Calls, i.entry)
	}
	data, err := recorder.Wrap(recorder.KindCalls, batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	b.meter.Count("deduplicator.appends", 1)
	b.meter.Count("deduplicator.entries", int64(len(items)))
	_, err = b.log.Append(ctx, recorder.CallStream, data)
	return err
}
