package deduplicator

import (
	"context"
	"time"

	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
)

const (
	// maxRecordsPerRead bounds the records of one read.
	maxRecordsPerRead = 256
	// readWait is how long the log holds a read while there is no new record.
	readWait = time.Second
	// readTimeout bounds one read, including readWait.
	readTimeout = readWait + 3*time.Second
)

// A tailer reads the stream of calls as it grows.
type tailer struct {
	log          Log
	deduplicator *Deduplicator
	retry        chan struct{}
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
		case <-t.retry:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (t *tailer) read(ctx context.Context) (appender.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	from, wait := t.deduplicator.readPosition()
	return t.log.Read(ctx, recorder.CallStream, from, maxRecordsPerRead, wait)
}

// readPosition returns the offset to read from and how long the read may wait for
// new records. The first read does not wait: it only finds the end of the log.
func (d *Deduplicator) readPosition() (from uint64, wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastRead.IsZero() {
		return d.ledger.NextOffset(), 0
	}
	return d.ledger.NextOffset(), readWait
}

// apply applies a batch of records to the ledger and wakes the calls that wait for
// their keys.
func (d *Deduplicator) apply(b appender.Batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timer.Now()
	touched, skipped := d.ledger.ApplyRecords(b, now)
	d.caughtUp = d.ledger.NextOffset() >= b.End
	d.lastRead = now
	for _, key := range touched {
		notifyAll(d.watchers[key])
	}
	if skipped > 0 {
		d.meter.Count("deduplicator.skipped", int64(skipped))
	}
}
