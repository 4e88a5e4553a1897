package deduplicator

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/library/recorder"
)

// A State is the state of a key, or of one attempt at it.
type State int

// States of a key (Free, Claimed, Completed, Mismatch) and of an attempt (Free,
// Won, Lost).
const (
	// Free means that no attempt holds the key, or that an attempt is undecided.
	Free State = iota
	// Won means that the attempt holds the key. No other attempt can win the key
	// unless this one abandons it.
	Won
	// Lost means that the attempt was decided and can never hold the key.
	Lost
	// Claimed means that an attempt holds the key and its outcome is not known yet.
	Claimed
	// Completed means that the outcome is known.
	Completed
	// Mismatch means that the key was first used with another method, path or body.
	Mismatch
)

// A KeyState is what the Ledger knows about a key.
type KeyState struct {
	State State
	// Winner is the attempt that holds the key, unless the key is free.
	Winner recorder.Attempt
	// Outcome is set if the key is completed.
	Outcome *recorder.Outcome
}

// Lookup returns the state of a key for a call with the given fingerprint.
func (l *Ledger) Lookup(key, fingerprint recorder.Hash) KeyState {
	e := l.find(key)
	switch {
	case e == nil || !e.claimed:
		return KeyState{State: Free}
	case e.fingerprint != fingerprint && e.fingerprint != recorder.Hash{}:
		return KeyState{State: Mismatch, Winner: e.winner}
	case e.outcome != nil:
		return KeyState{State: Completed, Winner: e.winner, Outcome: e.outcome}
	}
	return KeyState{State: Claimed, Winner: e.winner}
}

// AttemptState reports whether an attempt holds its key: Won, Lost, or Free while
// its intent has not been read from the log.
func (l *Ledger) AttemptState(key recorder.Hash, a recorder.Attempt) State {
	e := l.find(key)
	if e == nil {
		return Free
	}
	if e.claimed && e.winner == a {
		return Won
	}
	for _, lost := range e.lost {
		if lost == a {
			return Lost
		}
	}
	return Free
}

// RecordOutcome records the outcome of this VM's own attempt before it is read
// back from the log. This is safe because the winner's first outcome is final.
func (l *Ledger) RecordOutcome(key recorder.Hash, by recorder.Attempt, o recorder.Outcome) {
	if e := l.find(key); e != nil && e.claimed && e.winner == by {
		l.applyOutcome(e, by, o)
	}
}

var (
	// ErrMalformed is the class of errors for keys that are not UUIDs of version 7.
	ErrMalformed = errs.Class("key form")
	// ErrExpired is the class of errors for keys whose use may have been forgotten.
	ErrExpired = errs.Class("key old")
	// ErrFuture is the class of errors for keys dated too far in the future.
	ErrFuture = errs.Class("key future")
	// ErrUnread is the class of errors for keys that may have been used in
	// records that this VM has not read.
	ErrUnread = errs.Class("key missed")
)

// Limits bound the age of keys.
type Limits struct {
	// Window is how long a key is remembered after its first use.
	Window time.Duration
	// MaxClockSkew is the largest difference between any two of the clocks of
	// callers, VMs and the log.
	MaxClockSkew time.Duration
}

// Retention is how long the Ledger must remember a key so that every used key
// that CheckKey accepts is still in the Ledger. It allows for three clock
// differences: the caller's clock ahead of the first VM's, the first VM's ahead of
// the log's, and the second VM's behind the log's.
func (l Limits) Retention() time.Duration { return l.Window + 3*l.MaxClockSkew }

// TicketLifetime is how long after the arrival of its call a ticket may be used.
// It is shorter than the window by more than a VM may lag behind the log when it
// accepts a call (maxReadAge), so that an intent appended before the call arrived
// can't have been forgotten when the ticket is used.
func (l Limits) TicketLifetime() time.Duration { return max(l.Window-2*l.MaxClockSkew, l.Window/2) }

// CheckKey reports whether an unknown key may be run at time now, given that this
// VM has read all calls made since completeSince.
//
// A timestamped key is a UUID of version 7, which contains its creation time. It
// can't have been used before then, except for clock skew. A key created after
// completeSince therefore is not among the unread calls, and a key created within
// the window is still in the Ledger if it was used. A key of any other form has no
// creation time: it is accepted only if no call was missed for a whole window, and
// the caller must guarantee that it isn't older.
func (l Limits) CheckKey(key string, timestamped bool, completeSince, now time.Time) error {
	if !timestamped {
		if knownFrom := completeSince.Add(l.Window + 2*l.MaxClockSkew); !completeSince.IsZero() && now.Before(knownFrom) {
			return ErrUnread.New("calls before %s were not read", completeSince.UTC().Format(time.RFC3339))
		}
		return nil
	}
	created, err := uuidTime(key)
	if err != nil {
		return err
	}
	switch {
	case created.Before(now.Add(-l.Window)):
		return ErrExpired.New("made %s, keys are known for %s", created.Format(time.RFC3339), l.Window)
	case created.After(now.Add(l.MaxClockSkew)):
		return ErrFuture.New("made %s, now is %s", created.Format(time.RFC3339), now.UTC().Format(time.RFC3339))
	case !completeSince.IsZero() && created.Before(completeSince.Add(3*l.MaxClockSkew)):
		return ErrUnread.New("calls before %s were not read", completeSince.UTC().Format(time.RFC3339))
	}
	return nil
}

// uuidTime returns the timestamp of a UUID of version 7.
func uuidTime(key string) (time.Time, error) {
	const length = 36 // uuid.Parse also accepts other forms, which would be different keys
	id, err := uuid.Parse(key)
	if err != nil || len(key) != length || id.Version() != 7 {
		return time.Time{}, ErrMalformed.New("expected a UUID of version 7")
	}
	var ms [8]byte
	copy(ms[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:]))).UTC(), nil //nolint:gosec // 48 bits
}

// hashOf hashes byte strings, each prefixed with its length, so that lists that
// concatenate to the same bytes have different hashes.
func hashOf(parts ...[]byte) recorder.Hash {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	return recorder.Hash(h.Sum(nil)[:len(recorder.Hash{})])
}
