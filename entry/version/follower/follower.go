// Package follower keeps the current configuration on one VM. It reads the log's
// config stream continuously, folds the records into a state, and notifies
// subscribers. If the log is slow or down, it takes the state of a peer that has
// read further. The package library/folder decides which records take effect, and
// the caller decides which VM writes checkpoints.
//
// A VM reads each record once, by long polling. A change therefore costs the log one
// response per VM, and an idle stream one every few seconds. Without peers, VMs that
// start during an outage of the log would have no configuration, and one slow
// response would delay a change on that VM by seconds.
package follower

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/recorder"
	"github.com/heathervane/heathervane/library/ticker"
)

// Error is the class of this package's errors.
var Error = errs.Class("follower")

const (
	// pollWait is how long a read waits for the next record. It doesn't delay
	// changes, because a new record ends the wait at once.
	pollWait = 5 * time.Second
	// readTimeout limits one read. A response that stalls delays changes by this
	// much if no peer has read further.
	readTimeout = pollWait + 2*time.Second
	// retryInterval is how long Run waits after a failed read, so that the VMs don't
	// all poll a recovering log at full speed.
	retryInterval = 500 * time.Millisecond
	// maxRecords limits the records of one read. A record can have up to 1 MiB.
	maxRecords = 16
	// peerFetchDelay is how long a VM waits for the log after a peer has read
	// further. While the log is healthy, VMs differ by less than this.
	peerFetchDelay = time.Second
)

// A Log reads and appends records of the platform's log.
type Log interface {
	Read(ctx context.Context, stream string, from uint64, most int, wait time.Duration) (appender.Batch, error)
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
}

// A Follower keeps the current configuration. It is safe for concurrent use.
type Follower struct {
	log    Log
	ticker *ticker.Ticker
	logger zerolog.Logger
	counts counts

	// state is returned by State. It stays nil until the end of the stream is
	// reached, because the intermediate states are outdated.
	state atomic.Pointer[folder.State]

	mu sync.Mutex
	// reader folds the records.
	reader *folder.Reader
	// caughtUp reports whether the end of the stream or a peer's state was reached.
	caughtUp bool

	subs   map[int]func(folder.State)
	nextID int
	// logTruncated reports whether the log ends before the last record read from
	// it.
	logTruncated bool
	// atEnd reports whether the last read reached the end of the stream, and
	// lastReadEmpty whether it returned no records.
	atEnd, lastReadEmpty bool
	// lastErr is the error of the last read.
	lastErr error
	// behind records when a peer was first known to be ahead, and how far this VM
	// had read at that time.
	behind struct {
		read  uint64
		since time.Time
	}
	schedule checkpointSchedule
}

// New returns a Follower without a state. Its metrics are registered under names
// that start with "config.".
func New(log Log, t *ticker.Ticker, registry metrics.Registry, logger zerolog.Logger) *Follower {
	return &Follower{
		log: log, ticker: t, logger: logger,
		counts: newCounts(registry),
		reader: folder.NewReader(folder.CheckpointWindow),
		subs:   map[int]func(folder.State){},
	}
}

// State returns the current state, or nil if there is none. Callers must not modify
// it.
func (f *Follower) State() *folder.State { return f.state.Load() }

// Subscribe calls callback with the current state, immediately if there is one, and
// after every change. Calls are made one at a time. The callback must not block and
// must not call any method of the Follower except State. The returned function
// cancels the subscription.
func (f *Follower) Subscribe(callback func(folder.State)) (stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.nextID
	f.nextID++
	f.subs[id] = callback
	if s := f.state.Load(); s != nil {
		callback(*s)
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subs, id)
	}
}

// Run follows the stream until the context is done.
func (f *Follower) Run(ctx context.Context) {
	ticks := make(chan struct{}, 1)
	stop := f.ticker.Subscribe(retryInterval, func(time.Time) {
		select {
		case ticks <- struct{}{}:
		default:
		}
	})
	defer stop()
	for ctx.Err() == nil {
		startedAt := f.ticker.Now()
		err := f.Poll(ctx)
		if err == nil && !f.returnedEarly(startedAt) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-ticks:
		}
	}
}

// returnedEarly reports whether a read returned no records without having waited.
// If the log doesn't wait as requested, every VM would poll it in a tight loop.
func (f *Follower) returnedEarly(startedAt time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastReadEmpty && f.ticker.Now().Sub(startedAt) < retryInterval
}

// Poll reads once and folds the records. It returns an error if the log can't be
// read or ends before the last record read; the current state is kept.
func (f *Follower) Poll(ctx context.Context) error {
	from := f.nextOffset()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	b, err := f.log.Read(ctx, recorder.ConfigStream, from, maxRecords, pollWait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		err = f.processBatch(from, b)
	}
	f.recordResult(err)
	return err
}

// recordResult stores the result of a read and logs changes between success and failure.
func (f *Follower) recordResult(err error) {
	if err != nil {
		f.counts.errors.Inc(1)
	}
	switch {
	case err != nil && f.lastErr == nil:
		f.logger.Warn().Err(err).Msg("cannot read the configuration from the log")
	case err == nil && f.lastErr != nil:
		f.logger.Info().Msg("reading the configuration from the log again")
	}
	f.lastErr = err
}

// nextOffset returns the next offset to read.
func (f *Follower) nextOffset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.Next()
}

// processBatch folds the response to a read that started at from.
func (f *Follower) processBatch(from uint64, b appender.Batch) error {
	f.lastReadEmpty = len(b.Records) == 0
	gap := f.reader.HasGap()
	steps, err := f.reader.Process(from, folderBatch(b))
	f.logTruncated = err != nil
	if err != nil {
		// The current state is kept, and no record is applied until an
		// operator has intervened.
		f.counts.back.Inc(1)
		return err
	}
	if f.reader.HasGap() && !gap {
		f.counts.gaps.Inc(1)
		f.logger.Warn().Uint64("read", f.reader.State().LastOffset).Uint64("start", b.Start).
			Msg("the log dropped unread records")
	}
	changed := false
	for _, s := range steps {
		changed = f.processStep(b.Start, s) || changed
	}
	s := f.reader.State()
	f.atEnd = s != nil && !f.reader.HasGap() && s.LastOffset+1 >= b.End
	if f.atEnd && !f.caughtUp {
		f.caughtUp, changed = true, true
	}
	f.publish(changed)
	return nil
}

func folderBatch(b appender.Batch) folder.Batch {
	records := make([]folder.Record, 0, len(b.Records))
	for _, r := range b.Records {
		records = append(records, folder.Record(r))
	}
	return folder.Batch{Start: b.Start, End: b.End, Records: records}
}

// processStep counts and logs the effect of a record, and reports whether it changed
// the configuration.
func (f *Follower) processStep(start uint64, s folder.Step) bool {
	if s.Bootstrapped {
		f.schedule.observe(f.ticker.Now(), s.Record)
		f.logger.Info().Uint64("version", s.After.Version).Uint64("read", s.After.LastOffset).Msg("configuration restored from the log")
		return true
	}
	f.counts.record(s.Verdict)
	if s.Verdict.Kind == recorder.KindCheckpoint {
		f.observeCheckpoint(start, s)
	}
	if s.Verdict.Outcome != folder.Accepted {
		return false
	}
	if f.caughtUp {
		c := s.After.Audit[len(s.After.Audit)-1]
		f.logger.Info().Uint64("offset", c.Offset).Str("who", c.Who).Str("what", c.What).Msg("configuration changed")
	}
	return true
}

// publish makes the state folded so far current, once the follower has caught up.
// Subscribers are notified only if changed is set: a state that differs only in how
// far the stream was read is not reported.
func (f *Follower) publish(changed bool) {
	s := f.reader.State()
	if !f.caughtUp || s == nil {
		return
	}
	f.state.Store(s)
	f.counts.version.Update(int64(s.Version))
	f.counts.read.Update(int64(s.LastOffset))
	if !changed {
		return
	}
	for _, callback := range f.subs {
		callback(*s)
	}
}

// Ready reports whether this VM has a configuration to serve with, and otherwise why
// not. It also gives a reason if the VM is ready but can't follow changes: the
// current configuration is kept, because an outage of the log must not stop requests.
func (f *Follower) Ready() (ready bool, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state.Load()
	switch {
	case s == nil && f.lastErr != nil:
		return false, fmt.Sprintf("no configuration: no peer has one, and the log can't be read: %v", f.lastErr)
	case s == nil && f.reader.State() != nil:
		return false, fmt.Sprintf("the log is being read, so far up to %d", f.reader.State().LastOffset)
	case s == nil && !f.reader.Exhausted():
		return false, "no configuration: the log has not been read yet"
	case s == nil:
		return false, "no configuration: neither the log has a checkpoint nor a peer a state; publish anew"
	case s.Version == 0:
		return false, "no manifest has been published"
	case f.reader.HasGap():
		return true, fmt.Sprintf("version %d stays in force: the log dropped records after %d unread; publish anew", s.Version, s.LastOffset)
	case f.logTruncated:
		return true, fmt.Sprintf("version %d stays in force: %v", s.Version, f.lastErr)
	case f.lastErr != nil:
		return true, fmt.Sprintf("version %d stays in force: the log can't be read: %v", s.Version, f.lastErr)
	default:
		return true, ""
	}
}
