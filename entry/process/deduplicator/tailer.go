package deduplicator

import (
	"context"
	"time"

	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
)

const (
	// mostRecords bounds one read.
	mostRecords = 256
	// readWait is how long the log holds a read that has nothing to answer.
	readWait = time.Second
	// readLimit is how long one read may take in all.
	readLimit = readWait + 3*time.Second
)

// A tailer follows the stream of calls.
type tailer struct {
	log          Log
	deduplicator *Deduplicator
	tick         chan struct{}
}

// run reads until the context ends.
func (t *tailer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		b, err := t.read(ctx)
		if err == nil {
			t.deduplicator.apply(b)
			continue
		}
		t.deduplicator.meter.Count("deduplicator.read.failed", 1)
		select {
		case <-t.tick:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (t *tailer) read(ctx context.Context) (appender.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	from, wait := t.deduplicator.place()
	return t.log.Read(ctx, recorder.CallStream, from, mostRecords, wait)
}

// place is where to read on and how long to wait there. The first read only
// finds out where the end is.
func (k *Deduplicator) place() (from uint64, wait time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.read.IsZero() {
		return k.ledger.Next(), 0
	}
	return k.ledger.Next(), readWait
}

// apply takes in what was read.
func (k *Deduplicator) apply(b appender.Batch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.timer.Now()
	touched, skipped := k.ledger.Read(b, now)
	k.caught = k.ledger.Next() >= b.End
	k.read = now
	for _, key := range touched {
		wake(k.watchers[key])
	}
	if skipped > 0 {
		k.meter.Count("deduplicator.skipped", int64(skipped))
	}
}
