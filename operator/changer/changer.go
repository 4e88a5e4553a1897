// Package changer appends a change to the log's stream config and finds out
// what became of it. It tells a change that was accepted or refused from one of
// which that is not known, and never claims more than it has read back. It
// repeats only appends that certainly did not land.
package changer

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/finder"
	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/recorder"
)

var (
	// ErrPlatform is the class of changes that certainly did not land: the log
	// could not be reached, or refused the append.
	ErrPlatform = errs.Class("platform")
	// ErrLost is the class of streams without a configuration to build on.
	ErrLost = errs.Class("configuration lost")
)

const (
	// most bounds the records of one read. A record has up to 1 MiB.
	most = 16
	// wait is how long one read waits for the next record.
	wait = time.Second
	// pause is how long a failed call to the log is followed by none.
	pause = 200 * time.Millisecond
)

// A Log is the part of the platform's log that a Changer needs.
type Log interface {
	Read(ctx context.Context, stream string, from uint64, most int, wait time.Duration) (appender.Batch, error)
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
}

// A Changer makes changes. It is for one change at a time.
type Changer struct {
	log    Log
	limit  time.Duration
	reader *folder.Reader
	end    uint64
	// verdicts of records by their IDs, the first of each.
	verdicts map[string]folder.Verdict
}

// New returns a Changer that gives up on a change after limit. What it has not
// found out by then is unknown.
func New(log Log, limit time.Duration) *Changer {
	return &Changer{
		log: log, limit: limit,
		reader: folder.NewReader(folder.CheckpointWindow), verdicts: map[string]folder.Verdict{},
	}
}

// Unknown is the outcome of a change that may have landed, or may still land.
const Unknown folder.Outcome = "unknown"

// A Result is what is known about a change.
type Result struct {
	// Outcome is folder.Accepted, folder.Refused or Unknown.
	Outcome folder.Outcome `json:"outcome"`
	// Offset is where the change stands in the stream, 0 where that is not
	// known.
	Offset uint64 `json:"offset,omitempty"`
	// ID is the change's own, by which it is found in the audit trail.
	ID string `json:"id"`
	// Reason says why a change was refused, or is not known.
	Reason   string          `json:"reason,omitempty"`
	Findings finder.Findings `json:"findings,omitempty"`
}

// Current reads the stream to its end and returns the state in force and the
// end. An error of the class ErrLost says that the log has dropped what the
// state would be folded from.
func (c *Changer) Current(ctx context.Context) (folder.State, uint64, error) {
	for {
		if err := c.read(ctx, 0); err != nil {
			return folder.State{}, 0, ErrPlatform.Wrap(err)
		}
		s := c.reader.State()
		switch {
		case s != nil && !c.reader.HasGap() && s.LastOffset+1 >= c.end:
			return *s, c.end, nil
		case c.reader.Exhausted():
			return folder.State{}, c.end, ErrLost.New("the log keeps neither the first record nor a checkpoint")
		}
	}
}

// read reads once from where the last read ended.
func (c *Changer) read(ctx context.Context, wait time.Duration) error {
	from := c.reader.Next()
	b, err := c.log.Read(ctx, recorder.ConfigStream, from, most, wait)
	if err != nil {
		return err
	}
	records := make([]folder.Record, 0, len(b.Records))
	for _, r := range b.Records {
		records = append(records, folder.Record(r))
	}
	steps, err := c.reader.Process(from, folder.Batch{Start: b.Start, End: b.End, Records: records})
	if err != nil {
		return err
	}
	c.end = b.End
	for _, s := range steps {
		c.note(s)
	}
	return nil
}

// note keeps the first verdict on an ID. A record that was appended twice is
// accepted once, and ignored after. Where the state was found on a checkpoint
// that some VM wrote after the record, only the audit trail has the verdict.
func (c *Changer) note(s folder.Step) {
	if !s.Bootstrapped {
		c.keep(s.Verdict)
		return
	}
	for _, a := range s.After.Audit {
		v := folder.Verdict{Outcome: folder.Refused, Offset: a.Offset, ID: a.ID, Reason: a.Reason}
		if a.Accepted {
			v.Outcome = folder.Accepted
		}
		c.keep(v)
	}
}

func (c *Changer) keep(v folder.Verdict) {
	if _, ok := c.verdicts[v.ID]; !ok && v.ID != "" {
		c.verdicts[v.ID] = v
	}
}

// Make appends a record of an ID and reads the stream until its verdict, or
// until the limit. An error is of the class ErrPlatform and says that nothing
// has changed.
func (c *Changer) Make(ctx context.Context, id string, data []byte) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	offset, err := c.append(ctx, data)
	if appender.ErrRefused.Has(err) {
		return Result{}, ErrPlatform.Wrap(err)
	}
	result := Result{Outcome: Unknown, Offset: offset, ID: id}
	for {
		if v, ok := c.verdicts[id]; ok {
			result.Outcome, result.Offset, result.Reason, result.Findings = v.Outcome, v.Offset, v.Reason, v.Findings
			return result, nil
		}
		if offset != 0 && c.judged(offset) {
			result.Outcome, result.Reason = folder.Refused, folder.ReasonMalformed
			return result, nil
		}
		if ctx.Err() != nil {
			result.Reason = unknown(offset, err)
			return result, nil
		}
		if c.read(ctx, wait) != nil {
			rest(ctx)
		}
	}
}

// judged says whether the record at an offset has been folded. A record that
// was, and has left no verdict under its ID, could not be read.
func (c *Changer) judged(offset uint64) bool {
	s := c.reader.State()
	return s != nil && s.LastOffset >= offset
}

// append appends until the log takes it, or what became of it is unknown.
func (c *Changer) append(ctx context.Context, data []byte) (uint64, error) {
	for {
		offset, err := c.log.Append(ctx, recorder.ConfigStream, data)
		if !appender.ErrRefused.Has(err) || !rest(ctx) || len(data) > appender.MaxRecordBytes {
			return offset, err
		}
	}
}

// rest pauses before the next call to the log, and says whether there is time
// for one.
func rest(ctx context.Context) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func unknown(offset uint64, err error) string {
	if offset != 0 {
		return "it has landed, and the stream could not be read up to it"
	}
	return "it has not been found on the stream, and may still land: " + err.Error()
}
