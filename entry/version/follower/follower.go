// Package follower keeps the configuration in force on one VM: it reads the
// log's stream config to its end and on, folds the records, and tells the rest
// of the process. Where the log is slow or down it takes the state of a peer
// that is ahead. It decides nothing about records, which library/folder does,
// and it does not choose which VM writes the checkpoint.
//
// Which load it answers: a VM reads each record once, by long polls, so that a
// change costs the log one answer a VM and an idle stream one every few
// seconds. Without the peers, an outage of the log would leave VMs that start
// without a configuration, and one slow answer would hold a change back by
// seconds on one VM of many.
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
	// wait is how long a read waits for the next record. It bounds nothing
	// that callers notice: a new record ends the wait at once.
	wait = 5 * time.Second
	// limit bounds one read. An answer that freezes holds changes back for
	// so long where no peer is ahead.
	limit = wait + 2*time.Second
	// pause is how long Run waits after a failed read, so that a log that
	// comes back is not met by all VMs at full speed.
	pause = 500 * time.Millisecond
	// most bounds the records of one read. A record has up to 1 MiB.
	most = 16
	// lag is how long a VM waits for the log once a peer is ahead. Reads of
	// several VMs differ by less while the log is well.
	lag = time.Second
)

// A Log is the part of the platform's log that a Follower needs.
type Log interface {
	Read(ctx context.Context, stream string, from uint64, most int, wait time.Duration) (appender.Batch, error)
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
}

// A Follower keeps the configuration in force. It is safe for concurrent use.
type Follower struct {
	log    Log
	ticker *ticker.Ticker
	logger zerolog.Logger
	counts counts

	// state is what State returns. It is set once the stream has been read
	// to its end, because the states on the way there were in force long ago.
	state atomic.Pointer[folder.State]

	mu sync.Mutex
	// reader folds what has been read.
	reader *folder.Reader
	// caught says that the end of the stream, or a peer's state, was reached.
	caught bool

	subs   map[int]func(folder.State)
	nextID int
	// back says that the log ends before what was read of it.
	back bool
	// ended says that the last read reached the end of the stream, and empty
	// that it brought no record.
	ended, empty bool
	// failed is the error of the last read.
	failed error
	// stuck is since when a peer has been known to be ahead of what was read.
	stuck struct {
		read  uint64
		since time.Time
	}
	duty duty
}

// New returns a Follower without a state. Counters go to the registry under
// names that begin with config.
func New(log Log, t *ticker.Ticker, registry metrics.Registry, logger zerolog.Logger) *Follower {
	return &Follower{
		log: log, ticker: t, logger: logger,
		counts: newCounts(registry),
		reader: folder.NewReader(folder.CheckpointWindow),
		subs:   map[int]func(folder.State){},
	}
}

// State is the state in force, nil where there is none. It must not be changed.
func (f *Follower) State() *folder.State { return f.state.Load() }

// Subscribe has call run with the state in force, at once where there is one,
// and then after every change of it. Calls come one after another and must not
// block; of the Follower they may use State alone. The returned function ends
// the subscription.
func (f *Follower) Subscribe(call func(folder.State)) (stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.nextID
	f.nextID++
	f.subs[id] = call
	if s := f.state.Load(); s != nil {
		call(*s)
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subs, id)
	}
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) {
	ticks := make(chan struct{}, 1)
	stop := f.ticker.Subscribe(pause, func(time.Time) {
		select {
		case ticks <- struct{}{}:
		default:
		}
	})
	defer stop()
	for ctx.Err() == nil {
		began := f.ticker.Now()
		err := f.Poll(ctx)
		if err == nil && !f.hasty(began) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-ticks:
		}
	}
}

// hasty says that a read brought nothing and did not wait for anything. A log
// that does not wait as it is asked to would otherwise be read by every VM as
// fast as it answers.
func (f *Follower) hasty(began time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.empty && f.ticker.Now().Sub(began) < pause
}

// Poll reads once and folds what came. An error says that the log could not be
// read, or ends before what has been read of it; the state stays in force.
func (f *Follower) Poll(ctx context.Context) error {
	from := f.from()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	b, err := f.log.Read(ctx, recorder.ConfigStream, from, most, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		err = f.take(from, b)
	}
	f.note(err)
	return err
}

// note keeps the outcome of a read, and logs where it changed.
func (f *Follower) note(err error) {
	if err != nil {
		f.counts.errors.Inc(1)
	}
	switch {
	case err != nil && f.failed == nil:
		f.logger.Warn().Err(err).Msg("the configuration can't be followed")
	case err == nil && f.failed != nil:
		f.logger.Info().Msg("the configuration is followed again")
	}
	f.failed = err
}

// from is the next offset to read.
func (f *Follower) from() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.Next()
}

// take folds the answer to a read from an offset on.
func (f *Follower) take(from uint64, b appender.Batch) error {
	f.empty = len(b.Records) == 0
	gap := f.reader.HasGap()
	steps, err := f.reader.Process(from, batch(b))
	f.back = err != nil
	if err != nil {
		// The state stays in force, and no record is read until an operator
		// has seen to it.
		f.counts.back.Inc(1)
		return err
	}
	if f.reader.HasGap() && !gap {
		f.counts.gaps.Inc(1)
		f.logger.Warn().Uint64("read", f.reader.State().LastOffset).Uint64("start", b.Start).
			Msg("the log dropped records that were not read")
	}
	changed := false
	for _, s := range steps {
		changed = f.step(b.Start, s) || changed
	}
	s := f.reader.State()
	f.ended = s != nil && !f.reader.HasGap() && s.LastOffset+1 >= b.End
	if f.ended && !f.caught {
		f.caught, changed = true, true
	}
	f.publish(changed)
	return nil
}

func batch(b appender.Batch) folder.Batch {
	records := make([]folder.Record, 0, len(b.Records))
	for _, r := range b.Records {
		records = append(records, folder.Record(r))
	}
	return folder.Batch{Start: b.Start, End: b.End, Records: records}
}

// step counts and logs what a record did, and says whether it changed what is
// in force.
func (f *Follower) step(start uint64, s folder.Step) bool {
	if s.Bootstrapped {
		f.duty.saw(f.ticker.Now(), s.Record)
		f.logger.Info().Uint64("version", s.After.Version).Uint64("read", s.After.LastOffset).Msg("configuration found")
		return true
	}
	f.counts.record(s.Verdict)
	if s.Verdict.Kind == recorder.KindCheckpoint {
		f.checkpoint(start, s)
	}
	if s.Verdict.Outcome != folder.Accepted {
		return false
	}
	if f.caught {
		c := s.After.Audit[len(s.After.Audit)-1]
		f.logger.Info().Uint64("offset", c.Offset).Str("who", c.Who).Str("what", c.What).Msg("configuration changed")
	}
	return true
}

// publish puts the state folded so far in force, where the end of the stream
// has been reached. Subscribers hear of it where it differs in more than how
// far the stream was read.
func (f *Follower) publish(changed bool) {
	s := f.reader.State()
	if !f.caught || s == nil {
		return
	}
	f.state.Store(s)
	f.counts.version.Update(int64(s.Version))
	f.counts.read.Update(int64(s.LastOffset))
	if !changed {
		return
	}
	for _, call := range f.subs {
		call(*s)
	}
}

// Ready says whether this VM may take requests, and why not. A VM that is ready
// gives a reason too where it can't follow changes: the configuration it holds
// stays in force, because an outage of the log must not stop requests.
func (f *Follower) Ready() (ready bool, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state.Load()
	switch {
	case s == nil && f.failed != nil:
		return false, fmt.Sprintf("no configuration: no peer has one, and the log can't be read: %v", f.failed)
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
	case f.back:
		return true, fmt.Sprintf("version %d stays in force: %v", s.Version, f.failed)
	case f.failed != nil:
		return true, fmt.Sprintf("version %d stays in force: the log can't be read: %v", s.Version, f.failed)
	default:
		return true, ""
	}
}
