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

// An Outcome is what became of a record.
type Outcome string

// The outcomes. Accepted and refused records are in the audit trail; ignored
// ones were not readable, not new, or not for a reader that has a state.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
	Ignored  Outcome = "ignored"
)

// A Verdict says what became of one record, and why.
type Verdict struct {
	Outcome Outcome
	Offset  uint64
	// Kind and ID are the record's, empty where it could not be read.
	Kind string
	ID   string
	// Reason says why a record was refused or ignored.
	Reason string
	// Findings are those of a refused manifest.
	Findings finder.Findings
}

// The reasons of ignored records that readers count apart.
const (
	ReasonOldOffset  = "the offset goes back or repeats"
	ReasonOffsetGap  = "records before it are missing"
	ReasonMalformed  = "it can't be read"
	ReasonDuplicate  = "it was appended twice"
	ReasonCheckpoint = "a checkpoint changes nothing where there is a state"
)

// Apply returns the state after one more record, and the verdict on it. A
// record that can't be read, or that is not the next one, changes nothing;
// Found says how to go on after a gap.
//
// An offset that goes back happens when the log answers twice or loses its
// end. Applied again, an old order would undo a newer one.
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
		return s.publish(r, v)
	case recorder.KindOrder:
		return s.order(r, v)
	case recorder.KindCheckpoint:
		v.Reason = ReasonCheckpoint
	default:
		v.Reason = fmt.Sprintf("the kind %q is not known", kind)
	}
	return s, v
}

func (s State) publish(r Record, v Verdict) (State, Verdict) {
	p, err := recorder.Unwrap[recorder.Publish](r.Data)
	if err != nil || !plain(p.Who, MaxWho) || !plainOrEmpty(p.Why, MaxWhy) || !id(p.ID) {
		v.Reason = ReasonMalformed
		return s, v
	}
	v.ID = p.ID
	// A publish anew is judged by the records from its base on alone, since
	// a reader that founds its state on it has no others.
	var from uint64
	if p.Anew {
		from = p.Base
	}
	if s.seen(p.ID, from) {
		v.Reason = ReasonDuplicate
		return s, v
	}
	c := change(r, p.Who, p.ID, fmt.Sprintf("publish on %d", p.Base))
	c.Why = p.Why
	if p.Anew {
		c.What = "publish anew"
	}
	if reason := s.baseless(r, p); reason != "" {
		return s.refuse(c, v, reason)
	}
	before := s
	if p.Anew {
		before = State{LastOffset: s.LastOffset, Anew: r.Offset}
	}
	after, found := before.manifested(r.Offset, p.Manifest)
	if len(found) > 0 {
		v.Findings = found
		return s.refuse(c, v, fmt.Sprintf("%d findings, first %s", len(found), found[0]))
	}
	return after.accept(c, v)
}

// baseless says why a publish's base does not allow it, or nothing.
func (s State) baseless(r Record, p recorder.Publish) string {
	if p.Anew {
		return late(r, p.Base)
	}
	if p.Base != s.Version {
		return fmt.Sprintf("it builds on version %d, and version %d is in force", p.Base, s.Version)
	}
	return ""
}

// late says that a record landed too far behind the end that its writer saw.
// An append whose answer was lost may land at any later time, or a second
// time. Its operator has gone on since, and would see a zone leave or a manifest
// come back that nobody asked for.
func late(r Record, base uint64) string {
	if base > r.Offset || r.Offset-base >= MaxAudit {
		return fmt.Sprintf("it was written when the stream ended at %d", base)
	}
	return ""
}

func (s State) order(r Record, v Verdict) (State, Verdict) {
	o, err := recorder.Unwrap[recorder.Order](r.Data)
	if err != nil || !plain(o.Who, MaxWho) || !plainOrEmpty(o.Why, MaxWhy) || !id(o.ID) ||
		!checker.ValidName(o.Name) || !target(o.Kind) {
		v.Reason = ReasonMalformed
		return s, v
	}
	v.ID = o.ID
	if s.seen(o.ID, 0) {
		v.Reason = ReasonDuplicate
		return s, v
	}
	c := change(r, o.Who, o.ID, fmt.Sprintf("%s %s %s", o.Kind, direction(o.Out), o.Name))
	c.Why = o.Why
	if reason := s.orderless(r, o); reason != "" {
		return s.refuse(c, v, reason)
	}
	names := maps.Clone(outsOf(&s.OutOfService, o.Kind))
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
	setOuts(&s.OutOfService, o.Kind, names)
	return s.accept(c, v)
}

// orderless says why an order can't be followed, or nothing. VMs are not in the
// manifest, so any name of one is taken.
func (s State) orderless(r Record, o recorder.Order) string {
	if o.Base != 0 {
		if reason := late(r, o.Base); reason != "" {
			return reason
		}
		if o.Base <= s.Anew {
			// The audit trail, by which a second copy is known, has begun
			// again since.
			return fmt.Sprintf("it was written before the configuration was published anew at %d", s.Anew)
		}
	}
	if !o.Out || s.IsOut(o.Kind, o.Name) {
		return ""
	}
	if len(outsOf(&s.OutOfService, o.Kind)) >= MaxOutOfService {
		return fmt.Sprintf("%d of this kind are out already; bring in those that no longer exist", MaxOutOfService)
	}
	switch o.Kind {
	case recorder.TargetZone:
		return unknown(o, zones(s.Manifest))
	case recorder.TargetUpstream:
		return unknown(o, slices.Sorted(maps.Keys(s.Manifest.Upstreams)))
	default:
		return ""
	}
}

func unknown(o recorder.Order, names []string) string {
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
	return s.audited(c), v
}

func (s State) refuse(c recorder.Change, v Verdict, reason string) (State, Verdict) {
	v.Outcome, v.Reason = Refused, reason
	c.Reason = cut(reason, maxReason)
	return s.audited(c), v
}

func change(r Record, who, id, what string) recorder.Change {
	return recorder.Change{Offset: r.Offset, At: r.At.UnixMilli(), Who: who, ID: id, What: what}
}

func direction(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func target(kind recorder.Target) bool {
	return kind == recorder.TargetVM || kind == recorder.TargetZone || kind == recorder.TargetUpstream
}

// plain says whether a text from a record may be shown to operators: printable,
// so that it can't forge a line of the audit trail, and of bounded length.
func plain(text string, most int) bool {
	return text != "" && plainOrEmpty(text, most)
}

func plainOrEmpty(text string, most int) bool {
	return len(text) <= most && utf8.ValidString(text) &&
		!strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
}

func id(text string) bool { return plain(text, maxID) }

func cut(text string, most int) string {
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
