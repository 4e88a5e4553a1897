// Package changer appends a change to the log's config stream and determines its
// outcome: accepted, refused or unknown. It reports only outcomes that it has read
// back from the stream, and retries only appends that were certainly not stored.
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
	// ErrPlatform is the class of calls that failed because the log could not be
	// reached or rejected them. The change was certainly not stored.
	ErrPlatform = errs.Class("platform")
	// ErrConfigurationLost is the class of failures to reconstruct the configuration
	// because the log has dropped the records that it was built from.
	ErrConfigurationLost = errs.Class("configuration lost")
)

const (
	// maxReadRecords limits the records of one read. A record may be up to 1 MiB.
	maxReadRecords = 16
	// readWait is how long one read waits for the next record.
	readWait = time.Second
	// retryDelay is the delay after a failed call to the log.
	retryDelay = 200 * time.Millisecond
)

// A Log is the subset of the platform's log client that a Changer uses.
type Log interface {
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (appender.Batch, error)
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
}

// A Changer submits changes, one at a time. It is not safe for concurrent use.
type Changer struct {
	log     Log
	timeout time.Duration
	reader  *folder.Reader
	end     uint64
	// verdicts holds the first verdict for each record ID.
	verdicts map[string]folder.Verdict
}

// New returns a Changer that waits at most timeout for the outcome of a change.
// If the outcome has not been read by then, it is Unknown.
func New(log Log, timeout time.Duration) *Changer {
	return &Changer{
		log: log, timeout: timeout,
		reader: folder.NewReader(folder.CheckpointWindow), verdicts: map[string]folder.Verdict{},
	}
}

// Unknown is the outcome of a change that may have been stored, or may still be.
const Unknown folder.Outcome = "unknown"

// A Result is the outcome of a change.
type Result struct {
	// Outcome is folder.Accepted, folder.Refused or Unknown.
	Outcome folder.Outcome `json:"outcome"`
	// Offset is the change's offset in the stream, or 0 if unknown.
	Offset uint64 `json:"offset,omitempty"`
	// ID is the ID of the change, as shown in the audit trail.
	ID string `json:"id"`
	// Reason explains why a change was refused or why its outcome is unknown.
	Reason   string          `json:"reason,omitempty"`
	Findings finder.Findings `json:"findings,omitempty"`
}

// Current reads to the end of the stream and returns the state in force and the
// end offset. It fails with ErrConfigurationLost if the log has dropped the records
// that are needed to rebuild the state.
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
			return folder.State{}, c.end, ErrConfigurationLost.New("the log has neither the first record nor a checkpoint")
		}
	}
}

// read makes one read, starting where the last one ended.
func (c *Changer) read(ctx context.Context, wait time.Duration) error {
	from := c.reader.Next()
	b, err := c.log.Read(ctx, recorder.ConfigStream, from, maxReadRecords, wait)
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
		c.collectVerdicts(s)
	}
	return nil
}

// collectVerdicts stores the first verdict for each ID. If a record was appended
// twice, the first copy is accepted and the second is ignored. If the state was
// bootstrapped from a checkpoint that a VM wrote after the record, the verdict is
// only in the audit trail.
func (c *Changer) collectVerdicts(s folder.Step) {
	if !s.Bootstrapped {
		c.keepFirst(s.Verdict)
		return
	}
	for _, a := range s.After.Audit {
		v := folder.Verdict{Outcome: folder.Refused, Offset: a.Offset, ID: a.ID, Reason: a.Reason}
		if a.Accepted {
			v.Outcome = folder.Accepted
		}
		c.keepFirst(v)
	}
}

func (c *Changer) keepFirst(v folder.Verdict) {
	if _, ok := c.verdicts[v.ID]; !ok && v.ID != "" {
		c.verdicts[v.ID] = v
	}
}

// Submit appends a record with the given ID and reads the stream until the
// record's verdict is found or the timeout expires. An error is of the class
// ErrPlatform and means that nothing has changed.
func (c *Changer) Submit(ctx context.Context, id string, data []byte) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
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
		if offset != 0 && c.processed(offset) {
			result.Outcome, result.Reason = folder.Refused, folder.ReasonMalformed
			return result, nil
		}
		if ctx.Err() != nil {
			result.Reason = unknownReason(offset, err)
			return result, nil
		}
		if c.read(ctx, readWait) != nil {
			waitToRetry(ctx)
		}
	}
}

// processed reports whether the record at an offset has been applied. A record
// that was applied without a verdict under its ID was malformed.
func (c *Changer) processed(offset uint64) bool {
	s := c.reader.State()
	return s != nil && s.LastOffset >= offset
}

// append retries while the log refuses the record, until the record is stored,
// its outcome is unknown or the context is done. A record over MaxRecordBytes is
// not retried.
func (c *Changer) append(ctx context.Context, data []byte) (uint64, error) {
	for {
		offset, err := c.log.Append(ctx, recorder.ConfigStream, data)
		if !appender.ErrRefused.Has(err) || !waitToRetry(ctx) || len(data) > appender.MaxRecordBytes {
			return offset, err
		}
	}
}

// waitToRetry waits for retryDelay and reports whether the context allows another
// attempt.
func waitToRetry(ctx context.Context) bool {
	t := time.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func unknownReason(offset uint64, err error) string {
	if offset != 0 {
		return "it was stored, but the stream could not be read up to it"
	}
	return "it was not found on the stream and may still be stored: " + err.Error()
}
