package deduplicator

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/library/recorder"
)

// ErrStale is the class of tickets that came too late to be used.
var ErrStale = errs.Class("ticket stale")

// A Ticket allows one send of one call. Its holder calls Check right before the
// send, and Done or Abandon once after it; the first of these counts.
type Ticket struct {
	deduplicator *Deduplicator
	key          recorder.Hash
	attempt      recorder.Attempt
	word         string // the caller's key
	dated        bool
	begun        time.Time
	limits       Limits
	ctx          context.Context //nolint:containedctx // a ticket lives as long as its call
	once         sync.Once
}

// ticket is the answer to an attempt that won.
func (k *Deduplicator) ticket(ctx context.Context, c Call, key recorder.Hash, a recorder.Attempt, begun time.Time) Decision {
	k.mu.Lock()
	l := k.config.Limits
	k.mu.Unlock()
	k.meter.Count("deduplicator.won", 1)
	return Decision{Ticket: &Ticket{
		deduplicator: k, key: key, attempt: a, word: c.Key, dated: c.Timestamped, begun: begun, limits: l, ctx: ctx,
	}}
}

// Check says whether the call may still be sent.
//
// A VM that was frozen wakes with a verdict from long ago, or reads only then
// that its intent came first: perhaps because the log took it late or was read
// late, when the intent that really was first had been forgotten. A dated key
// must still be within the window, and younger than what was missed, so that
// the first one can't have been forgotten when the verdict was reached. A key of another form bounds the time since the call
// came, by the clock that can't be set and beside it by the one that goes on
// while a whole machine is suspended.
//
// A freeze after Check does no harm: the verdict stands, and by the time that
// the key is forgotten everyone refuses it as old.
func (t *Ticket) Check() error {
	now := t.deduplicator.timer.Now()
	if err := t.ctx.Err(); err != nil {
		return ErrStale.Wrap(err)
	}
	// The context's own timer may not have run yet after a freeze.
	if d, ok := t.ctx.Deadline(); ok && !now.Before(d) {
		return ErrStale.Wrap(context.DeadlineExceeded)
	}
	if err := t.limits.Check(t.word, t.dated, t.deduplicator.since(), now); err != nil {
		return ErrStale.Wrap(err)
	}
	age := max(now.Sub(t.begun), now.Round(0).Sub(t.begun.Round(0)))
	if life := t.limits.Life(); age >= life {
		return ErrStale.New("%s old, at most %s", age, life)
	}
	return nil
}

// Complete says what became of the call once any of it may have been sent.
func (t *Ticket) Complete(o recorder.Outcome) {
	t.once.Do(func() {
		o = t.deduplicator.short(o)
		t.deduplicator.learn(t.key, t.attempt, o)
		t.deduplicator.queue.post(recorder.CallEntry{Key: t.key, Attempt: t.attempt, Outcome: &o}, nil)
	})
}

// Abandon says that nothing of the call was sent, and that nothing will be.
func (t *Ticket) Abandon() {
	t.once.Do(func() {
		t.deduplicator.queue.post(recorder.CallEntry{Key: t.key, Attempt: t.attempt, Abandon: true}, nil)
	})
}

// maxHeader bounds the kept headers in bytes.
const maxHeader = 4 << 10

// short leaves out what is too long to be kept.
func (k *Deduplicator) short(o recorder.Outcome) recorder.Outcome {
	if o.Unknown {
		return recorder.Outcome{Unknown: true}
	}
	o.Kept = len(o.Body) <= k.config.MaxStoredBody
	if !o.Kept {
		o.Body = nil
	}
	size := 0
	for name, value := range o.Header {
		size += len(name) + len(value)
	}
	if size > maxHeader || len(o.Header) > recorder.MaxHeaders {
		o.Header = nil
	}
	return o
}
