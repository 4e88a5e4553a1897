package folder

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/heathervane/heathervane/library/checker"
	"github.com/heathervane/heathervane/library/finder"
	"github.com/heathervane/heathervane/library/recorder"
)

// An Outcome is the result of applying a record.
type Outcome string

// The outcomes. Accepted and refused records are in the audit trail. Ignored
// records are malformed, duplicates, out of sequence, of an unknown kind, or
// checkpoints.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
	Ignored  Outcome = "ignored"
)

// A Verdict describes the result of applying one record.
type Verdict struct {
	Outcome Outcome
	Offset  uint64
	// Kind and ID are those of the record, or empty if it could not be decoded.
	Kind string
	ID   string
	// Reason explains why the record was refused or ignored.
	Reason string
	// Findings are those about a refused manifest.
	Findings finder.Findings
}

// The reasons for ignoring a record that callers compare with.
const (
	ReasonOldOffset  = "the offset is not above the last one applied"
	ReasonOffsetGap  = "earlier records are missing"
	ReasonMalformed  = "the record is malformed"
	ReasonDuplicate  = "a record with this ID was already processed"
	ReasonCheckpoint = "checkpoints are ignored when there is a state"
)

// Apply returns the state after the next record, and the verdict on the record.
// A record that can't be decoded only advances LastOffset, and one that isn't
// the next changes nothing; Bootstrap is the way to continue after a gap.
//
// An offset that is not above LastOffset occurs when the log delivers a record
// twice or loses its end. Applying an old order again would undo a newer one.
func Apply(s State, r Record) (State, Verdict) {
	v := Verdict{Outcome: Ignored, Offset: r.Offset}
	switch {
	case r.Offset <= s.LastOffset:
		v.Reason = ReasonOldOffset
		return s, v
	case r.Offset > s.LastOffset+1:
		v.Reason = ReasonOffsetGap
		return s, v
	}
	s.LastOffset = r.Offset
	kind, err := recorder.Kind(r.Data)
	if err != nil {
		v.Reason = ReasonMalformed
		return s, v
	}
	v.Kind = kind
	switch kind {
	case recorder.KindPublish:
		return s.applyPublish(r, v)
	case recorder.KindOrder:
		return s.applyOrder(r, v)
	case recorder.KindCheckpoint:
		v.Reason = ReasonCheckpoint
	default:
		v.Reason = fmt.Sprintf("the kind %q is not known", kind)
	}
	return s, v
}

func (s State) applyPublish(r Record, v Verdict) (State, Verdict) {
	p, err := recorder.Unwrap[recorder.Publish](r.Data)
	if err != nil || !isPrintable(p.Who, MaxWho) || !isPrintableOrEmpty(p.Why, MaxWhy) || !isID(p.ID) {
		v.Reason = ReasonMalformed
		return s, v
	}
	v.ID = p.ID
	// Only the audit entries from its base on decide whether a publish anew is
	// a duplicate, because a reader that bootstraps from it has no earlier
	// ones.
	var from uint64
	if p.Anew {
		from = p.Base
	}
	if s.hasAudited(p.ID, from) {
		v.Reason = ReasonDuplicate
		return s, v
	}
	c := newChange(r, p.Who, p.ID, fmt.Sprintf("publish on %d", p.Base))
	c.Why = p.Why
	if p.Anew {
		c.What = "publish anew"
	}
	if reason := s.checkPublish(r, p); reason != "" {
		return s.refuse(c, v, reason)
	}
	before := s
	if p.Anew {
		before = State{LastOffset: s.LastOffset, Anew: r.Offset}
	}
	after, found := before.withManifest(r.Offset, p.Manifest)
	if len(found) > 0 {
		v.Findings = found
		return s.refuse(c, v, fmt.Sprintf("%d findings, first %s", len(found), found[0]))
	}
	return after.accept(c, v)
}

// checkPublish returns the reason to refuse a publish because of its base, or
// "" if there is none.
func (s State) checkPublish(r Record, p recorder.Publish) string {
	if p.Anew {
		return checkDelay(r, p.Base)
	}
	if p.Base != s.Version {
		return fmt.Sprintf("it builds on version %d, and version %d is in force", p.Base, s.Version)
	}
	return ""
}

// checkDelay returns the reason to refuse a record that was appended too far
// behind the end of the stream that its writer saw, or "" if there is none. An
// append whose response was lost may take effect at any later time, or twice.
// Its operator has moved on since, and a zone would go out of service, or an
// old manifest return, without anyone having asked for it.
func checkDelay(r Record, base uint64) string {
	if base > r.Offset || r.Offset-base >= MaxAudit {
		return fmt.Sprintf("it was written when the stream ended at %d", base)
	}
	return ""
}

func (s State) applyOrder(r Record, v Verdict) (State, Verdict) {
	o, err := recorder.Unwrap[recorder.Order](r.Data)
	if err != nil || !isPrintable(o.Who, MaxWho) || !isPrintableOrEmpty(o.Why, MaxWhy) || !isID(o.ID) ||
		!checker.ValidName(o.Name) || !isTarget(o.Kind) {
		v.Reason = ReasonMalformed
		return s, v
	}
	v.ID = o.ID
	if s.hasAudited(o.ID, 0) {
		v.Reason = ReasonDuplicate
		return s, v
	}
	c := newChange(r, o.Who, o.ID, fmt.Sprintf("%s %s %s", o.Kind, direction(o.Out), o.Name))
	c.Why = o.Why
	if reason := s.checkOrder(r, o); reason != "" {
		return s.refuse(c, v, reason)
	}
	names := maps.Clone(namesOutOfService(&s.OutOfService, o.Kind))
	if names == nil {
		names = map[string]uint64{}
	}
	if o.Out {
		names[o.Name] = r.Offset
	} else {
		delete(names, o.Name)
	}
	if len(names) == 0 {
		names = nil
	}
	setNamesOutOfService(&s.OutOfService, o.Kind, names)
	return s.accept(c, v)
}

// checkOrder returns the reason to refuse an order, or "" if there is none. VMs
// are not in the manifest, so any VM name is accepted.
func (s State) checkOrder(r Record, o recorder.Order) string {
	if o.Base != 0 {
		if reason := checkDelay(r, o.Base); reason != "" {
			return reason
		}
		if o.Base <= s.Anew {
			// The publish anew has reset the audit trail, so a duplicate can no
			// longer be recognised.
			return fmt.Sprintf("it was written before the configuration was published anew at %d", s.Anew)
		}
	}
	if !o.Out || s.IsOut(o.Kind, o.Name) {
		return ""
	}
	if len(namesOutOfService(&s.OutOfService, o.Kind)) >= MaxOutOfService {
		return fmt.Sprintf("%d of this kind are out already; bring in those that no longer exist", MaxOutOfService)
	}
	switch o.Kind {
	case recorder.TargetZone:
		return checkKnown(o, zoneNames(s.Manifest))
	case recorder.TargetUpstream:
		return checkKnown(o, slices.Sorted(maps.Keys(s.Manifest.Upstreams)))
	default:
		return ""
	}
}

// checkKnown returns the reason to refuse an order for a name that is not in
// names, or "" if it is.
func checkKnown(o recorder.Order, names []string) string {
	if slices.Contains(names, o.Name) {
		return ""
	}
	f := finder.Findings{}
	f.AddHintf(string(o.Kind)+" "+o.Name, o.Name, names, "is not in the manifest in force")
	return f[0].String()
}

func (s State) accept(c recorder.Change, v Verdict) (State, Verdict) {
	c.Accepted = true
	v.Outcome = Accepted
	return s.withAuditEntry(c), v
}

func (s State) refuse(c recorder.Change, v Verdict, reason string) (State, Verdict) {
	v.Outcome, v.Reason = Refused, reason
	c.Reason = truncate(reason, maxReason)
	return s.withAuditEntry(c), v
}

func newChange(r Record, who, id, what string) recorder.Change {
	return recorder.Change{Offset: r.Offset, At: r.At.UnixMilli(), Who: who, ID: id, What: what}
}

func direction(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func isTarget(kind recorder.Target) bool {
	return kind == recorder.TargetVM || kind == recorder.TargetZone || kind == recorder.TargetUpstream
}

// isPrintable reports whether text from a record may be shown to operators: it
// is not empty, has at most the given number of bytes, and is printable, so
// that it can't forge a line of the audit trail.
func isPrintable(text string, most int) bool {
	return text != "" && isPrintableOrEmpty(text, most)
}

func isPrintableOrEmpty(text string, most int) bool {
	return len(text) <= most && utf8.ValidString(text) &&
		!strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
}

func isID(text string) bool { return isPrintable(text, maxID) }

// truncate replaces characters that are not printable with question marks and
// shortens text to at most the given number of bytes.
func truncate(text string, most int) string {
	text = strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, text)
	if len(text) <= most {
		return text
	}
	return strings.ToValidUTF8(text[:most], "")
}
