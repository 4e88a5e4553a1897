package folder

import (
	"math"

	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/library/checker"
	"github.com/heathervane/heathervane/library/recorder"
)

// ErrRestore is the class of errors about checkpoints that don't describe a
// valid state.
var ErrRestore = errs.Class("checkpoint")

// NewCheckpoint returns the checkpoint of a state.
func NewCheckpoint(s State) recorder.Checkpoint {
	return recorder.Checkpoint{
		Version: s.Version, Manifest: s.ManifestData, OutOfService: s.OutOfService, LastOffset: s.LastOffset, Anew: s.Anew, Audit: s.Audit,
	}
}

// Restore returns the state of a checkpoint. It parses the manifest again and
// checks every limit, because the checkpoint may have been written by a faulty
// VM.
func Restore(c recorder.Checkpoint) (State, error) {
	s := State{OutOfService: c.OutOfService, LastOffset: c.LastOffset, Anew: c.Anew, Audit: c.Audit}
	if c.Version > c.LastOffset || c.LastOffset == math.MaxUint64 {
		return State{}, ErrRestore.New("version %d or last offset %d is out of range", c.Version, c.LastOffset)
	}
	if c.Anew > c.Version {
		return State{}, ErrRestore.New("publish anew at offset %d is after version %d", c.Anew, c.Version)
	}
	if (c.Version == 0) != (len(c.Manifest) == 0) {
		return State{}, ErrRestore.New("version %d with a manifest of %d bytes", c.Version, len(c.Manifest))
	}
	for _, kind := range []recorder.Target{recorder.TargetVM, recorder.TargetZone, recorder.TargetUpstream} {
		names := namesOutOfService(&s.OutOfService, kind)
		if err := checkOutOfService(names, c.LastOffset); err != nil {
			return State{}, err
		}
		if len(names) == 0 {
			setNamesOutOfService(&s.OutOfService, kind, nil)
		}
	}
	if err := checkAudit(c); err != nil {
		return State{}, err
	}
	if c.Version == 0 {
		return s, nil
	}
	s, found := s.withManifest(c.Version, c.Manifest)
	return s, ErrRestore.Wrap(found.Err())
}

func checkOutOfService(names map[string]uint64, lastOffset uint64) error {
	if len(names) > MaxOutOfService {
		return ErrRestore.New("%d names out of service, at most %d are allowed", len(names), MaxOutOfService)
	}
	for name, offset := range names {
		if !checker.ValidName(name) || offset == 0 || offset > lastOffset {
			return ErrRestore.New("name %q out of service by offset %d is invalid, last offset is %d", truncate(name, maxWhat), offset, lastOffset)
		}
	}
	return nil
}

func checkAudit(c recorder.Checkpoint) error {
	if len(c.Audit) > MaxAudit {
		return ErrRestore.New("%d audit entries, at most %d are allowed", len(c.Audit), MaxAudit)
	}
	var last uint64
	for _, a := range c.Audit {
		if a.Offset <= last || a.Offset > c.LastOffset {
			return ErrRestore.New("audit entry of offset %d is out of order after %d, last offset is %d", a.Offset, last, c.LastOffset)
		}
		last = a.Offset
		if !isPrintable(a.Who, MaxWho) || !isPrintable(a.What, maxWhat) || !isID(a.ID) ||
			!isPrintableOrEmpty(a.Why, MaxWhy) || !isPrintableOrEmpty(a.Reason, maxReason) {
			return ErrRestore.New("audit entry of offset %d has text that is missing, too long or not printable", a.Offset)
		}
	}
	return nil
}

// Bootstrap derives a state from a single record, for a reader that has no
// state, or that can't continue from its own because the log has dropped
// records that it has not read. Start is the first offset that the log still
// keeps, and searchedFrom the offset from which on the reader has examined
// every record. The reader continues after the LastOffset of the returned
// state, which is often before the record.
//
// A checkpoint is usable if the log still keeps every record after its
// LastOffset. A reader that used an older one would miss a publish or an order
// in between, and would refuse records that all others accept. A publish anew
// is usable if the reader has examined every record since it was written, so
// that a duplicate of it is recognised as such.
//
// A reader that has a state passes it as old, and the result is never behind
// it.
func Bootstrap(old *State, start, searchedFrom uint64, r Record) (State, bool) {
	s, ok := bootstrap(start, searchedFrom, r)
	if !ok || (old != nil && (s.LastOffset <= old.LastOffset || s.Version < old.Version)) {
		return State{}, false
	}
	return s, true
}

func bootstrap(start, searchedFrom uint64, r Record) (State, bool) {
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
		if err != nil || !p.Anew || p.Base < searchedFrom {
			return State{}, false
		}
		s, v := Apply(State{LastOffset: r.Offset - 1}, r)
		return s, v.Outcome == Accepted
	default:
		return State{}, false
	}
}
