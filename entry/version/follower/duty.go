package follower

import (
	"bytes"
	"context"
	"time"

	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/checker"
	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/recorder"
)

const (
	// A checkpoint is due 1/dueDivisor of the retention after the last one, so that
	// three may fail before records are lost. One VM writes at most one per
	// 1/spacingDivisor of the retention.
	dueDivisor     = 4
	spacingDivisor = 16
	// writeRetryDelay is the delay before the next write after a refused one.
	writeRetryDelay = 2 * time.Second
	// maxCheckpointLag is the maximum number of records between what a checkpoint
	// covers and its own offset. A VM that was frozen writes a checkpoint that lags
	// further, which is useless once the log drops the record after its Read.
	maxCheckpointLag = 64
	// defaultRetention is the retention if no manifest sets one.
	defaultRetention = time.Hour
)

// checkpointSchedule holds what is known about the last checkpoint.
type checkpointSchedule struct {
	writtenAt time.Time // when it was written, zero if unknown
	offset    uint64    // its offset in the log
	notBefore time.Time // earliest time of this VM's next write
}

// observe notes a checkpoint, which carries the log's time. Clocks may differ. If a
// checkpoint seems older than it is, the next one is due early, and the limit per VM
// prevents a flood. If it seems newer, the next one may be delayed by the
// difference; half the retention is tolerated.
func (d *checkpointSchedule) observe(now time.Time, r folder.Record) {
	d.offset = max(d.offset, r.Offset)
	at := r.At
	if at.After(now) {
		at = now
	}
	if at.After(d.writtenAt) {
		d.writtenAt = at
	}
}

// observeCheckpoint notes a checkpoint in the log if a starting VM could use it. It
// counts and logs one that contradicts this VM's own state.
func (f *Follower) observeCheckpoint(start uint64, s folder.Step) {
	r, before := s.Record, s.Before
	c, err := recorder.Unwrap[recorder.Checkpoint](r.Data)
	if err != nil || c.LastOffset+maxCheckpointLag < r.Offset {
		return
	}
	if c.LastOffset == before.LastOffset && !matchesState(c, *before) {
		f.counts.disagreed.Inc(1)
		f.logger.Error().Uint64("offset", r.Offset).Msg("checkpoint differs from the local state at the same offset")
		return
	}
	if _, ok := folder.Bootstrap(nil, start, start, r); ok {
		f.schedule.observe(f.ticker.Now(), r)
	}
}

func matchesState(c recorder.Checkpoint, s folder.State) bool {
	a, errA := recorder.Encode(c)
	b, errB := recorder.Encode(folder.NewCheckpoint(s))
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

// CheckpointDue reports whether a checkpoint should be written: the last one is
// unknown, a quarter of the retention old, or folder.CheckpointWindow records back,
// which is where a starting VM searches first. If none is written for the whole
// retention, VMs that start later find no configuration and don't become ready.
func (f *Follower) CheckpointDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state.Load()
	if s == nil || s.LastOffset == 0 || f.logTruncated || !f.atEnd {
		return false
	}
	expiring := now.Sub(f.schedule.writtenAt) >= retention(*s)/dueDivisor
	distant := s.LastOffset >= f.schedule.offset+folder.CheckpointWindow
	return (expiring || distant) && !now.Before(f.schedule.notBefore)
}

// WriteCheckpoint appends a checkpoint of the current state. After an error of the
// class appender.ErrUnknown it may have been written; duplicate checkpoints are
// harmless.
func (f *Follower) WriteCheckpoint(ctx context.Context) error {
	data, err := f.Snapshot()
	if err != nil {
		return err
	}
	_, err = f.log.Append(ctx, recorder.ConfigStream, data)
	f.counts.checkpoints.Inc(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.ticker.Now()
	f.schedule.notBefore = now.Add(retention(*f.state.Load()) / spacingDivisor)
	if appender.ErrRefused.Has(err) {
		f.schedule.notBefore = now.Add(writeRetryDelay)
	}
	return err
}

func retention(s folder.State) time.Duration {
	if s.Manifest.Keep <= checker.Duration(0) {
		return defaultRetention
	}
	return time.Duration(s.Manifest.Keep)
}
