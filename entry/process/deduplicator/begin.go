package deduplicator

import (
	"context"
	"strings"
	"time"

	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/library/recorder"
)

// retryAfter is when coming back helps after a refusal for the log's sake.
const retryAfter = 2 * time.Second

// A Call is one call with a key, with what makes it the same call.
type Call struct {
	Team, Service, Key string
	Method, Path       string
	Body               []byte
	// Timestamped says that the key must be a UUID of version 7.
	Timestamped bool
}

// hashes are the key, in the team's and the service's own space, and the
// fingerprint.
func (c Call) hashes() (key, finger recorder.Hash) {
	word := c.Key
	if c.Timestamped {
		word = strings.ToLower(word) // a UUID is the same in both cases
	}
	key = hashOf([]byte(c.Team), []byte(c.Service), []byte(word))
	finger = hashOf([]byte(c.Method), []byte(c.Path), c.Body)
	return key, finger
}

// An Decision is what becomes of a call; exactly one field is set.
type Decision struct {
	// Ticket allows this VM to send the call, once.
	Ticket *Ticket
	// Outcome is the first call's; it is never Unknown.
	Outcome *recorder.Outcome
	// Refusal says that the call is not sent here now.
	Refusal *refuser.Refusal
}

// Begin judges a call. It waits, within the context, for the log and for the
// outcome of a call with the same key that is under way.
func (k *Deduplicator) Begin(ctx context.Context, c Call) Decision {
	begun := k.timer.Now()
	key, finger := c.hashes()
	w, stop := k.watch(key)
	defer stop()
	for {
		v, refusal := k.judge(c, key, finger)
		if refusal != nil {
			return Decision{Refusal: refusal}
		}
		switch v.Standing {
		case Settled:
			return settled(v.Outcome)
		case Mismatch:
			return Decision{Refusal: refuser.New(422, "key_mismatch",
				"the key was first used with another method, path or body")}
		case Claimed:
			if k.gone(v.Winner.VM, v.Winner.Boot) || !wait(ctx, w) {
				return Decision{Refusal: unknown()}
			}
		default:
			if a, decided := k.claim(ctx, c, begun, w); decided {
				return a
			}
		}
	}
}

// judge looks a key up. A key that is free is also checked for its age: that
// it is not known must prove that it was not used.
func (k *Deduplicator) judge(c Call, key, finger recorder.Hash) (Verdict, *refuser.Refusal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.ledger.Judge(key, finger)
	if v.Standing != Free {
		return v, nil
	}
	now := k.timer.Now()
	if err := k.ready(now); err != nil {
		return v, refuser.New(503, "keys_unready", "%v", err).WithRetryAfter(retryAfter)
	}
	return v, refusalOf(k.config.Limits.Check(c.Key, c.Timestamped, k.ledger.Since(), now))
}

// refusalOf turns the error of a key's age into a refusal. Of a key that is too
// old nobody can say any more whether an earlier call with it ran.
func refusalOf(err error) *refuser.Refusal {
	switch {
	case err == nil:
		return nil
	case ErrMissed.Has(err):
		return refuser.New(503, "keys_unready", "%v", err).WithRetryAfter(retryAfter)
	case ErrOld.Has(err):
		// "Not run" would be true of this call only. Its caller may have been
		// told nothing about an earlier one with the key, would take it for
		// the answer to that, and book again under a new key.
		return refuser.BadRequest("Idempotency-Key", "key_old",
			"%v; this call was not run, whether an earlier one with the key ran is no longer known", err).WithRan(refuser.RanUnknown)
	}
	return refuser.BadRequest("Idempotency-Key", "key_bad", "%v", err)
}

// settled answers with the first call's outcome.
func settled(o *recorder.Outcome) Decision {
	if o.Unknown {
		return Decision{Refusal: unknown()}
	}
	return Decision{Outcome: o}
}

func unknown() *refuser.Refusal {
	return refuser.New(504, "outcome_unknown",
		"a call with this key may have run; it is not run again").WithRan(refuser.RanUnknown)
}

// claim appends an intent and waits until the log has decided it. It is not
// decided where another attempt came first.
func (k *Deduplicator) claim(ctx context.Context, c Call, begun time.Time, w <-chan struct{}) (Decision, bool) {
	key, finger := c.hashes()
	attempt := k.attempt()
	refused := make(chan struct{}, 1)
	k.queue.post(recorder.CallEntry{Key: key, Attempt: attempt, Intent: &recorder.Intent{Print: finger}}, refused)
	for {
		switch k.decide(key, attempt) {
		case Won:
			return k.ticket(ctx, c, key, attempt, begun), true
		case Lost:
			return Decision{}, false
		default:
		}
		select {
		case <-w:
			continue
		case <-refused:
			return Decision{Refusal: refuser.New(503, "keys_unready", "the log refuses records").WithRetryAfter(retryAfter)}, true
		case <-ctx.Done():
		}
		// The intent may still land, now or later. Nothing was sent and
		// nothing will be, and the record of that frees the key.
		k.queue.post(recorder.CallEntry{Key: key, Attempt: attempt, Abandon: true}, nil)
		return Decision{Refusal: refuser.New(504, "keys_slow", "the log did not decide in time").WithRetryAfter(retryAfter)}, true
	}
}
