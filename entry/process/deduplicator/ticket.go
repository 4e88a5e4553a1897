package deduplicator

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/library/recorder"
)

// ErrStale is the class of errors for tickets that were used too late.
var ErrStale = errs.Class("ticket stale")

// A Ticket permits sending one call once. Its holder calls Check right before the
// send, and Complete or Abandon afterwards; only the first of these two has effect.
type Ticket struct {
	deduplicator *Deduplicator
	keyHash      recorder.Hash
	attempt      recorder.Attempt
	key          string // the key as the caller sent it
	timestamped  bool
	received     time.Time
	limits       Limits
	ctx          context.Context //nolint:containedctx // a ticket lives only as long as its call
	once         sync.Once
}

// newTicket returns the decision for an attempt that won.
func (d *Deduplicator) newTicket(ctx context.Context, c Call, keyHash recorder.Hash, a recorder.Attempt, received time.Time) Decision {
	d.mu.Lock()
	l := d.config.Limits
	d.mu.Unlock()
	d.meter.Count("deduplicator.won", 1)
	return Decision{Ticket: &Ticket{
		deduplicator: d, keyHash: keyHash, attempt: a, key: c.Key, timestamped: c.Timestamped, received: received, limits: l, ctx: ctx,
	}}
}

// Check reports whether the call may still be sent.
//
// A VM that was frozen may resume with an outdated decision, or read only then that
// its intent came first. That can be wrong: if the log accepted the intent late, or
// the VM read it late, the intent that really was first may have been forgotten. A
// timestamped key must therefore still be within the window and newer than any
// missed record, so that the first intent can't have been forgotten when the attempt
// was decided. For other keys the time since the call arrived is bounded, by the
// monotonic clock, which can't be set, and by the wall clock, which advances while a
// whole machine is suspended.
//
// A freeze after Check does no harm: the decision stays valid, and by the time the
// key is forgotten every VM refuses it as expired.
func (t *Ticket) Check() error {
	now := t.deduplicator.timer.Now()
	if err := t.ctx.Err(); err != nil {
		return ErrStale.Wrap(err)
	}
	// After a freeze the context's timer may not have fired yet.
	if d, ok := t.ctx.Deadline(); ok && !now.Before(d) {
		return ErrStale.Wrap(context.DeadlineExceeded)
	}
	if err := t.limits.CheckKey(t.key, t.timestamped, t.deduplicator.completeSince(), now); err != nil {
		return ErrStale.Wrap(err)
	}
	age := max(now.Sub(t.received), now.Round(0).Sub(t.received.Round(0)))
	if life := t.limits.TicketLifetime(); age >= life {
		return ErrStale.New("%s old, at most %s", age, life)
	}
	return nil
}

// Complete records the outcome of the call once any of it may have been sent.
func (t *Ticket) Complete(o recorder.Outcome) {
	t.once.Do(func() {
		o = t.deduplicator.truncate(o)
		t.deduplicator.recordOutcome(t.keyHash, t.attempt, o)
		t.deduplicator.batcher.post(recorder.CallEntry{Key: t.keyHash, Attempt: t.attempt, Outcome: &o}, nil)
	})
}

// Abandon records that nothing of the call was sent or will be sent.
func (t *Ticket) Abandon() {
	t.once.Do(func() {
		t.deduplicator.batcher.post(recorder.CallEntry{Key: t.keyHash, Attempt: t.attempt, Abandon: true}, nil)
	})
}

// maxHeaderBytes bounds the total size of the stored headers.
const maxHeaderBytes = 4 << 10

// truncate removes a body or headers that are too large to be stored.
func (d *Deduplicator) truncate(o recorder.Outcome) recorder.Outcome {
	if o.Unknown {
		return recorder.Outcome{Unknown: true}
	}
	o.Kept = len(o.Body) <= d.config.MaxStoredBody
	if !o.Kept {
		o.Body = nil
	}
	size := 0
	for name, value := range o.Header {
		size += len(name) + len(value)
	}
	if size > maxHeaderBytes || len(o.Header) > recorder.MaxHeaders {
		o.Header = nil
	}
	return o
}
