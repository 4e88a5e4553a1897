package deduplicator

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/library/recorder"
)

// A Standing is where a key stands for one attempt or call.
type Standing int

// Standings of a key.
const (
	// Free: nobody holds the key.
	Free Standing = iota
	// Won: the attempt holds it, and no other ever will unless it abandons.
	Won
	// Lost: the attempt was decided and doesn't hold it, nor ever will.
	Lost
	// Claimed: another attempt holds it, and its outcome is not known yet.
	Claimed
	// Settled: the outcome is known.
	Settled
	// Mismatch: the key was first used with another method, path or body.
	Mismatch
)

// A Verdict is what the Ledger says about a key.
type Verdict struct {
	Standing Standing
	// Winner holds the key, where it is claimed.
	Winner recorder.Attempt
	// Outcome is set where it is settled.
	Outcome *recorder.Outcome
}

// Judge says where a key stands for a call with a fingerprint.
func (l *Ledger) Judge(key, finger recorder.Hash) Verdict {
	e := l.find(key)
	switch {
	case e == nil || !e.claimed:
		return Verdict{Standing: Free}
	case e.print != finger && e.print != recorder.Hash{}:
		return Verdict{Standing: Mismatch, Winner: e.winner}
	case e.outcome != nil:
		return Verdict{Standing: Settled, Winner: e.winner, Outcome: e.outcome}
	}
	return Verdict{Standing: Claimed, Winner: e.winner}
}

// Decide says whether an attempt holds its key: Won, Lost, or Free while its
// intent has not been read.
func (l *Ledger) Decide(key recorder.Hash, a recorder.Attempt) Standing {
	e := l.find(key)
	if e == nil {
		return Free
	}
	if e.claimed && e.winner == a {
		return Won
	}
	for _, d := range e.dead {
		if d == a {
			return Lost
		}
	}
	return Free
}

// Learn settles a key from this VM's own attempt before the log says so: the
// winner's word about its own call is final.
func (l *Ledger) Learn(key recorder.Hash, by recorder.Attempt, o recorder.Outcome) {
	if e := l.find(key); e != nil && e.claimed && e.winner == by {
		l.outcome(e, by, o)
	}
}

var (
	// ErrForm is the class of keys that don't show their age.
	ErrForm = errs.Class("key form")
	// ErrOld is the class of keys that may have been forgotten.
	ErrOld = errs.Class("key old")
	// ErrFuture is the class of keys from too far in the future.
	ErrFuture = errs.Class("key future")
	// ErrMissed is the class of keys that may have been used in records that
	// this VM has not read.
	ErrMissed = errs.Class("key missed")
)

// Limits are what a key's age is checked against.
type Limits struct {
	// Window is how long a key is known after its first use.
	Window time.Duration
	// MaxClockSkew bounds how far any two of the clocks of callers, VMs and the log
	// are apart.
	MaxClockSkew time.Duration
}

// Keep is how long the Ledger must know a key so that every key that Check lets
// pass is still known, if it was ever used: the caller's clock may be ahead of
// the first VM's, that ahead of the log's, and the second VM's behind the log's.
func (l Limits) Keep() time.Duration { return l.Window + 3*l.MaxClockSkew }

// Life is how long after its call came a ticket may be used. It ends before the
// window does by more than a VM may be behind the log when it takes a call
// (stale), so that no intent that landed before the call came can have been
// forgotten when the ticket is used.
func (l Limits) Life() time.Duration { return max(l.Window-2*l.MaxClockSkew, l.Window/2) }

// Check says whether a key may be run at a time, given that no call since a
// time was missed.
//
// A dated key is a UUID of version 7 and shows when it was made. It can't have
// been used before then (but for the clocks' margin), so a key made after since
// is certainly not among what was missed, and one made within the window is
// still in the Ledger if it was used. A key of any other form shows no age: it
// passes only where nothing was missed for a whole window, and rests on the
// caller's word that it isn't older.
func (l Limits) Check(key string, dated bool, since, now time.Time) error {
	if !dated {
		if known := since.Add(l.Window + 2*l.MaxClockSkew); !since.IsZero() && now.Before(known) {
			return ErrMissed.New("calls before %s were not read", since.UTC().Format(time.RFC3339))
		}
		return nil
	}
	made, err := dateOf(key)
	if err != nil {
		return err
	}
	switch {
	case made.Before(now.Add(-l.Window)):
		return ErrOld.New("made %s, keys are known for %s", made.Format(time.RFC3339), l.Window)
	case made.After(now.Add(l.MaxClockSkew)):
		return ErrFuture.New("made %s, now is %s", made.Format(time.RFC3339), now.UTC().Format(time.RFC3339))
	case !since.IsZero() && made.Before(since.Add(3*l.MaxClockSkew)):
		return ErrMissed.New("calls before %s were not read", since.UTC().Format(time.RFC3339))
	}
	return nil
}

// dateOf reads when a UUID of version 7 was made.
func dateOf(key string) (time.Time, error) {
	const length = 36 // uuid.Parse also takes other forms, which are other keys
	id, err := uuid.Parse(key)
	if err != nil || len(key) != length || id.Version() != 7 {
		return time.Time{}, ErrForm.New("expected a UUID of version 7")
	}
	var ms [8]byte
	copy(ms[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:]))).UTC(), nil //nolint:gosec // 48 bits
}

// hashOf hashes strings with their lengths, so that no two lists share a hash.
func hashOf(parts ...[]byte) recorder.Hash {
	d := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		d.Write(length[:])
		d.Write(p)
	}
	return recorder.Hash(d.Sum(nil)[:len(recorder.Hash{})])
}
