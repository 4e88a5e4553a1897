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
	// parts of the retention: a checkpoint is due a quarter of it after the
	// last one, so that three may fail before records are lost, and one VM
	// writes at most one in a sixteenth.
	dueParts   = 4
	spareParts = 16
	// retry is how long after a refused write the next one is due.
	retry = 2 * time.Second
	// fresh is how many records a checkpoint may lie behind its own offset.
	// One of a VM that was frozen serves only until the record after its Read
	// is dropped, which may be soon.
	fresh = 64
	// keep is the retention where no manifest says it.
	keep = time.Hour
)

// duty is what is known about the last checkpoint.
type duty struct {
	stored time.Time // when it was written, zero where that is not known
	offset uint64    // where it stands
	next   time.Time // before which this VM writes none
}

// saw notes a checkpoint of the log's time at. Clocks may differ: one that
// seems older than it is brings the next one early, and the bound per VM keeps
// that from becoming a flood; one that seems newer may delay it by the
// difference, of which half the retention is borne.
func (d *duty) saw(now time.Time, r folder.Record) {
	d.offset = max(d.offset, r.Offset)
	at := r.At
	if at.After(now) {
		at = now
	}
	if at.After(d.stored) {
		d.stored = at
	}
}

// checkpoint notes a checkpoint on the log that a starting VM could use, and
// counts one that disagrees with this VM's own state.
func (f *Follower) checkpoint(start uint64, s folder.Step) {
	r, before := s.Record, s.Before
	c, err := recorder.Unwrap[recorder.Checkpoint](r.Data)
	if err != nil || c.LastOffset+fresh < r.Offset {
		return
	}
	if c.LastOffset == before.LastOffset && !same(c, *before) {
		f.counts.disagreed.Inc(1)
		f.logger.Error().Uint64("offset", r.Offset).Msg("a checkpoint disagrees with the state in force")
		return
	}
	if _, ok := folder.Bootstrap(nil, start, start, r); ok {
		f.duty.saw(f.ticker.Now(), r)
	}
}

func same(c recorder.Checkpoint, s folder.State) bool {
	a, errA := recorder.Encode(c)
	b, errB := recorder.Encode(folder.NewCheckpoint(s))
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

// CheckpointDue says whether a checkpoint should be written: the last one is a quarter of
// the retention old, or as many records back as a starting VM first looks, or
// not known. It goes wrong when none is written for a whole retention: VMs that
// start then find no configuration and are not ready.
func (f *Follower) CheckpointDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state.Load()
	if s == nil || s.LastOffset == 0 || f.back || !f.ended {
		return false
	}
	old := now.Sub(f.duty.stored) >= retention(*s)/dueParts
	far := s.LastOffset >= f.duty.offset+folder.CheckpointWindow
	return (old || far) && !now.Before(f.duty.next)
}

// WriteCheckpoint appends a checkpoint of the state in force. An error of the class
// appender.ErrUnknown says that it may have landed; doubled checkpoints do no
// harm.
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
	f.duty.next = now.Add(retention(*f.state.Load()) / spareParts)
	if appender.ErrRefused.Has(err) {
		f.duty.next = now.Add(retry)
	}
	return err
}

func retention(s folder.State) time.Duration {
	if s.Manifest.Keep <= checker.Duration(0) {
		return keep
	}
	return time.Duration(s.Manifest.Keep)
}
