package deduplicator

import (
	"context"
	"strings"
	"time"

	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/library/recorder"
)

// retryAfter is when a caller should retry after a refusal because of the log.
const retryAfter = 2 * time.Second

// A Call is a call with a key, and the fields that identify it as the same call.
type Call struct {
	Team, Service, Key string
	Method, Path       string
	Body               []byte
	// Timestamped says that the key must be a UUID of version 7.
	Timestamped bool
}

// hashes returns the hash of the key, which is scoped to the team and the service,
// and the fingerprint of the request.
func (c Call) hashes() (keyHash, fingerprint recorder.Hash) {
	key := c.Key
	if c.Timestamped {
		key = strings.ToLower(key) // UUIDs are case-insensitive
	}
	keyHash = hashOf([]byte(c.Team), []byte(c.Service), []byte(key))
	fingerprint = hashOf([]byte(c.Method), []byte(c.Path), c.Body)
	return keyHash, fingerprint
}

// A Decision is the result of Begin; exactly one field is set.
type Decision struct {
	// Ticket allows this VM to send the call once.
	Ticket *Ticket
	// Outcome is the outcome of the first call; it is never Unknown.
	Outcome *recorder.Outcome
	// Refusal says why the call is not sent.
	Refusal *refuser.Refusal
}

// Begin decides whether a call may be sent. It waits, until the context ends, for
// the log and for the outcome of a call with the same key that is in progress.
func (d *Deduplicator) Begin(ctx context.Context, c Call) Decision {
	received := d.timer.Now()
	keyHash, fingerprint := c.hashes()
	changed, stop := d.watch(keyHash)
	defer stop()
	for {
		state, refusal := d.lookup(c, keyHash, fingerprint)
		if refusal != nil {
			return Decision{Refusal: refusal}
		}
		switch state.State {
		case Completed:
			return completed(state.Outcome)
		case Mismatch:
			return Decision{Refusal: refuser.New(422, "key_mismatch",
				"the key was first used with another method, path or body")}
		case Claimed:
			if d.gone(state.Winner.VM, state.Winner.Boot) || !wait(ctx, changed) {
				return Decision{Refusal: outcomeUnknown()}
			}
		default:
			if a, decided := d.claim(ctx, c, received, changed); decided {
				return a
			}
		}
	}
}

// lookup returns the state of a key. If the key is free, its age is checked too,
// because its absence must prove that it was never used.
func (d *Deduplicator) lookup(c Call, keyHash, fingerprint recorder.Hash) (KeyState, *refuser.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.ledger.Lookup(keyHash, fingerprint)
	if state.State != Free {
		return state, nil
	}
	now := d.timer.Now()
	if err := d.ready(now); err != nil {
		return state, refuser.New(503, "keys_unready", "%v", err).WithRetryAfter(retryAfter)
	}
	return state, refusalFor(d.config.Limits.CheckKey(c.Key, c.Timestamped, d.ledger.CompleteSince(), now))
}

// refusalFor converts an error of CheckKey into a refusal. For an expired key it is
// no longer known whether an earlier call with it ran.
func refusalFor(err error) *refuser.Refusal {
	switch {
	case err == nil:
		return nil
	case ErrUnread.Has(err):
		return refuser.New(503, "keys_unready", "%v", err).WithRetryAfter(retryAfter)
	case ErrExpired.Has(err):
		// "Not run" would be true of this call only. If its caller never got the
		// response to an earlier call with the key, it would take the refusal for
		// that response and book again under a new key.
		return refuser.BadRequest("Idempotency-Key", "key_old",
			"%v: this call did not run; whether an earlier one with the key ran is no longer known", err).WithRan(refuser.RanUnknown)
	}
	return refuser.BadRequest("Idempotency-Key", "key_bad", "%v", err)
}

// completed returns the first call's outcome, or a refusal if it is unknown.
func completed(o *recorder.Outcome) Decision {
	if o.Unknown {
		return Decision{Refusal: outcomeUnknown()}
	}
	return Decision{Outcome: o}
}

func outcomeUnknown() *refuser.Refusal {
	return refuser.New(504, "outcome_unknown",
		"a call with this key may have run and is not repeated").WithRan(refuser.RanUnknown)
}

// claim appends an intent and waits until the attempt wins, loses, is rejected by
// the log, or the context ends. It returns false if another attempt won.
func (d *Deduplicator) claim(ctx context.Context, c Call, received time.Time, changed <-chan struct{}) (Decision, bool) {
	keyHash, fingerprint := c.hashes()
	attempt := d.newAttempt()
	rejected := make(chan struct{}, 1)
	d.batcher.post(recorder.CallEntry{Key: keyHash, Attempt: attempt, Intent: &recorder.Intent{Print: fingerprint}}, rejected)
	for {
		switch d.attemptState(keyHash, attempt) {
		case Won:
			return d.newTicket(ctx, c, keyHash, attempt, received), true
		case Lost:
			return Decision{}, false
		default:
		}
		select {
		case <-changed:
			continue
		case <-rejected:
			return Decision{Refusal: refuser.New(503, "keys_unready", "the log rejects records").WithRetryAfter(retryAfter)}, true
		case <-ctx.Done():
		}
		// The intent may still be appended, now or later. Nothing was sent and
		// nothing will be; the abandonment frees the key.
		d.batcher.post(recorder.CallEntry{Key: keyHash, Attempt: attempt, Abandon: true}, nil)
		return Decision{Refusal: refuser.New(504, "keys_slow", "the log did not respond in time").WithRetryAfter(retryAfter)}, true
	}
}
