package folder

import (
	"math"

	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/library/checker"
	"github.com/heathervane/heathervane/library/recorder"
)

// ErrRestore is the class of checkpoints that can't be a state.
var ErrRestore = errs.Class("checkpoint")

// NewCheckpoint returns the checkpoint of a state.
func NewCheckpoint(s State) recorder.Checkpoint {
	return recorder.Checkpoint{
		Version: s.Version, Manifest: s.ManifestData, OutOfService: s.OutOfService, LastOffset: s.LastOffset, Anew: s.Anew, Audit: s.Audit,
	}
}

// Restore returns the state of a checkpoint. It reads the manifest again and
// checks every bound, because the checkpoint may come from a broken writer.
func Restore(c recorder.Checkpoint) (State, error) {
	s := State{OutOfService: c.OutOfService, LastOffset: c.LastOffset, Anew: c.Anew, Audit: c.Audit}
	if c.Version > c.LastOffset || c.LastOffset == math.MaxUint64 {
		return State{}, ErrRestore.New("version %d, read up to %d", c.Version, c.LastOffset)
	}
	if c.Anew > c.Version {
		return State{}, ErrRestore.New("published anew at %d, version %d", c.Anew, c.Version)
	}
	if (c.Version == 0) != (len(c.Manifest) == 0) {
		return State{}, ErrRestore.New("version %d with a manifest of %d bytes", c.Version, len(c.Manifest))
	}
	for _, kind := range []recorder.Target{recorder.TargetVM, recorder.TargetZone, recorder.TargetUpstream} {
		names := outsOf(&s.OutOfService, kind)
		if err := restorable(names, c.LastOffset); err != nil {
			return State{}, err
		}
		if len(names) == 0 {
			setOuts(&s.OutOfService, kind, nil)
		}
	}
	if err := trail(c); err != nil {
		return State{}, err
	}
	if c.Version == 0 {
		return s, nil
	}
	s, found := s.manifested(c.Version, c.Manifest)
	return s, ErrRestore.Wrap(found.Err())
}

func restorable(names map[string]uint64, read uint64) error {
	if len(names) > MaxOutOfService {
		return ErrRestore.New("%d names out, at most %d", len(names), MaxOutOfService)
	}
	for name, offset := range names {
		if !checker.ValidName(name) || offset == 0 || offset > read {
			return ErrRestore.New("%q out by offset %d, read up to %d", cut(name, maxWhat), offset, read)
		}
	}
	return nil
}

func trail(c recorder.Checkpoint) error {
	if len(c.Audit) > MaxAudit {
		return ErrRestore.New("%d changes, at most %d", len(c.Audit), MaxAudit)
	}
	var last uint64
	for _, a := range c.Audit {
		if a.Offset <= last || a.Offset > c.LastOffset {
			return ErrRestore.New("change of offset %d after %d, read up to %d", a.Offset, last, c.LastOffset)
		}
		last = a.Offset
		if !plain(a.Who, MaxWho) || !plain(a.What, maxWhat) || !id(a.ID) ||
			!plainOrEmpty(a.Why, MaxWhy) || !plainOrEmpty(a.Reason, maxReason) {
			return ErrRestore.New("change of offset %d can't be shown", a.Offset)
		}
	}
	return nil
}

// Bootstrap tries to found a state on one record, for a reader that can't go on
// from its own: it has none, or the log has dropped records that it has not
// read. Start is the first offset that the log still keeps, and looked the one
// from which on the reader has looked at every record. The reader goes on after
// the Read of the state returned, which is often before the record.
//
// A checkpoint serves where the log still keeps every record after its Read. A
// reader that took an older one would miss a publish or an order in between,
// and would refuse what all others accept. A publish anew serves where the
// reader has looked at every record since it was written, so that a second copy
// of it is told from the first.
//
// A reader that has a state passes it as old, and only ever moves forward.
func Bootstrap(old *State, start, looked uint64, r Record) (State, bool) {
	s, ok := founded(start, looked, r)
	if !ok || (old != nil && (s.LastOffset <= old.LastOffset || s.Version < old.Version)) {
		return State{}, false
	}
	return s, true
}

func founded(start, looked uint64, r Record) (State, bool) {
	kind, err := recorder.Kind(r.Data)
	if err != nil {
		return State{}, false
	}
	switch kind {
	case recorder.KindCheckpoint:
		c, err := recorder.Unwrap[recorder.Checkpoint](r.Data)
		if err != nil || c.LastOffset+1 < start || c.LastOffset >= r.Offset {
			return State{}, false
		}
		s, err := Restore(c)
		return s, err == nil
	case recorder.KindPublish:
		p, err := recorder.Unwrap[recorder.Publish](r.Data)
		if err != nil || !p.Anew || p.Base < looked {
			return State{}, false
		}
		s, v := Apply(State{LastOffset: r.Offset - 1}, r)
		return s, v.Outcome == Accepted
	default:
		return State{}, false
	}
}
