package deduplicator

import (
	"context"
	"sync"
	"time"

	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
)

const (
	// maxBytes bounds the bodies and headers of one record, well under the
	// log's bound of 1 MiB.
	maxBytes = 512 << 10
	// entryBytes is what an entry has beside its body and headers, at most.
	entryBytes = 256
	// maxNotes is how many outcomes may wait before new calls are refused.
	maxNotes = 2048
	// appendLimit is how long one append may take.
	appendLimit = 3 * time.Second
	// maxSkip bounds the wait after failed appends, in paces: 1.6 s by default.
	maxSkip = 64
)

// A batcher appends entries, several to a record. Intents are tried once, as
// their callers wait; outcomes and abandonments until they land, which may have
// them land twice.
type batcher struct {
	log    Log
	meter  Meter
	work   chan struct{} // there is something to append
	tick   chan struct{} // the time of one pace is over
	failed int           // appends in a row; used by run alone

	mu      sync.Mutex
	intents []item
	notes   []item
	sending int           // notes in the append under way
	empty   chan struct{} // closed when no note waits any more
	marked  bool
}

// An item is one entry to append; refused is poked where it certainly did not
// land and is not tried again.
type item struct {
	entry   recorder.CallEntry
	refused chan struct{}
}

func newBatcher(log Log, meter Meter) *batcher {
	return &batcher{log: log, meter: meter, work: make(chan struct{}, 1), tick: make(chan struct{}, 1), empty: make(chan struct{})}
}

// post queues an entry.
func (b *batcher) post(e recorder.CallEntry, refused chan struct{}) {
	b.mu.Lock()
	if e.Intent != nil {
		b.intents = append(b.intents, item{e, refused})
	} else {
		b.notes = append(b.notes, item{e, nil})
	}
	b.mu.Unlock()
	poke(b.work)
}

// mark queues an empty record.
func (b *batcher) mark() {
	b.mu.Lock()
	b.marked = true
	b.mu.Unlock()
	poke(b.work)
}

func (b *batcher) pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.notes) + b.sending
}

func (b *batcher) crowded() bool { return b.pending() > maxNotes }

// wait returns when no note waits, or when the context ends.
func (b *batcher) wait(ctx context.Context) error {
	for {
		b.mu.Lock()
		n, empty := len(b.notes)+b.sending, b.empty
		b.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-empty:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// run appends until the context ends.
func (b *batcher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.work:
		}
		if b.send(ctx) {
			poke(b.work)
		}
		if err := b.rest(ctx); err != nil {
			return err
		}
	}
}

// rest waits one pace, and more after failures.
func (b *batcher) rest(ctx context.Context) error {
	for range min(1<<min(b.failed, 10), maxSkip) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.tick:
		}
	}
	return nil
}

// send appends one record, and reports whether more is queued.
func (b *batcher) send(ctx context.Context) bool {
	items := b.take()
	if items == nil {
		return false
	}
	err := b.append(ctx, items)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sending = 0
	if err == nil {
		b.failed = 0
		if len(b.notes) == 0 {
			close(b.empty)
			b.empty = make(chan struct{})
		}
		return len(b.intents)+len(b.notes) > 0
	}
	b.failed++
	b.meter.Count("deduplicator.append.failed", 1)
	b.again(items, appender.ErrRefused.Has(err))
	return len(b.intents)+len(b.notes) > 0
}

// again queues notes once more, and tells the callers of refused intents. After
// an append that may have landed intents are neither: the log tells.
func (b *batcher) again(items []item, refused bool) {
	var notes []item
	for _, i := range items {
		switch {
		case i.entry.Intent == nil:
			notes = append(notes, i)
		case refused:
			poke(i.refused)
		}
	}
	b.notes = append(notes, b.notes...)
}

// take removes the next record's items; nil means that there is nothing. Where
// both wait, intents get half of a record: callers wait for them, but a record
// full of intents would leave the outcomes of those before them behind for as
// long as the rush lasts.
func (b *batcher) take() []item {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.intents)+len(b.notes) == 0 && !b.marked {
		return nil
	}
	b.marked = false
	most := recorder.MaxCalls
	notes := min(len(b.notes), most/2)
	n := min(len(b.intents), most-notes)
	items := append(make([]item, 0, most), b.intents[:n]...)
	b.intents = b.intents[n:]
	size := n * entryBytes
	for len(b.notes) > 0 && len(items) < most {
		size += sizeOf(b.notes[0].entry)
		if size > maxBytes {
			break
		}
		items = append(items, b.notes[0])
		b.notes = b.notes[1:]
		b.sending++
	}
	return items
}

func sizeOf(e recorder.CallEntry) int {
	size := entryBytes
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
	ctx, cancel := context.WithTimeout(ctx, appendLimit)
	defer cancel()
	b.meter.Count("deduplicator.appends", 1)
	b.meter.Count("deduplicator.entries", int64(len(items)))
	_, err = b.log.Append(ctx, recorder.CallStream, data)
	return err
}
