// Package folder computes the configuration in force by applying the records of
// the log's config stream in order. It is a deterministic state machine that
// uses neither the network nor a clock, so every VM and every operator's
// program that has read the same records holds the same state, regardless of
// when it started.
//
// Concurrent publishes, and VMs that start while others run, are resolved by
// the offset order of the log. A publish takes effect only if its base is the
// version in force, so the first of two racing publishes wins and every reader
// refuses the second. Without this rule, two VMs could hold different manifests
// permanently. A version is the offset of its publish, so versions only
// increase.
//
// The log drops old records, so a state can't always be computed from the first
// record. A reader may then start from a checkpoint, but only if the log still
// keeps every record after the last one that the checkpoint covers. A
// checkpoint is the state after some offset; whichever of several concurrent
// checkpoints is used, applying the records after it gives the same state. A
// checkpoint changes nothing for a reader that has a state and has missed no
// record.
//
// Consequences:
//
// After a log outage that is longer than the retention, a VM with a state
// continues from it, because nothing was appended that it has not read, and a
// checkpoint is due immediately. If a record was appended just before the
// outage and dropped before it was read, no VM can continue: each keeps its
// state in force and reports the gap until an operator publishes anew.
//
// After all VMs are replaced, the new ones start from the last checkpoint and
// the records after it. If that checkpoint has been dropped too, which takes a
// whole retention during which no VM could write to the log, they have no state
// and are not ready until an operator publishes anew.
package folder

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/heathervane/heathervane/library/checker"
	"github.com/heathervane/heathervane/library/finder"
	"github.com/heathervane/heathervane/library/recorder"
)

// A State is the configuration after all records up to LastOffset. The zero
// State is the one before the first record. A State is immutable: nothing that
// it refers to changes after it has been returned.
type State struct {
	// Version is the offset of the publish in force, or 0 if there is none.
	Version uint64
	// Manifest is the manifest in force, and ManifestData its TOML in the bytes
	// of its publish, which may be compressed.
	Manifest     checker.Manifest
	ManifestData []byte
	// Digest is the SHA-256 of the uncompressed TOML in hex, or empty if there
	// is no manifest.
	Digest string
	// OutOfService holds the names out of service.
	OutOfService recorder.OutOfService
	// LastOffset is the offset of the last record that was applied.
	LastOffset uint64
	// Anew is the offset of the last publish anew, or 0 if there is none.
	Anew uint64
	// Audit holds the newest entries of the audit trail, oldest first, at most
	// MaxAudit.
	Audit []recorder.Change
}

// IsOut reports whether an order has taken a name out of service.
func (s State) IsOut(kind recorder.Target, name string) bool {
	_, out := namesOutOfService(&s.OutOfService, kind)[name]
	return out
}

// A Record is one record of the log.
type Record struct {
	Offset uint64
	At     time.Time
	Data   []byte
}

// Limits on the contents of a State other than its manifest. Together with
// MaxManifest they keep a checkpoint below the 1 MiB of a record.
const (
	// MaxAudit is the number of changes that the audit trail of a State keeps.
	// It is also how far behind the end of the stream a record may be appended:
	// a record that was appended twice within that many records is recognised
	// by its ID.
	MaxAudit = 256
	// MaxOutOfService is the maximum number of names of each kind that may be
	// out of service.
	MaxOutOfService = 500

	// MaxWho and MaxWhy are the maximum lengths of the Who and Why of a record
	// in bytes.
	MaxWho = 64
	MaxWhy = 160

	maxReason = 160
	maxWhat   = 100
	maxID     = 64
)

// withManifest returns the state with the given manifest in force, or the
// findings about the manifest.
func (s State) withManifest(version uint64, packed []byte) (State, finder.Findings) {
	var found finder.Findings
	if len(packed) > recorder.MaxManifest {
		found.Addf("line 1", "takes %d bytes packed, more than the %d allowed", len(packed), recorder.MaxManifest)
		return s, found
	}
	source, err := recorder.Decompress(packed, checker.MaxBytes)
	if err != nil {
		found.Addf("line 1", "can't be unpacked: %v", err)
		return s, found
	}
	m, found := checker.Parse(source)
	if len(found) > 0 {
		return s, found
	}
	sum := sha256.Sum256(source)
	s.Version, s.Manifest, s.ManifestData = version, m, packed
	s.Digest = hex.EncodeToString(sum[:])
	return s, nil
}

// withAuditEntry returns the state with one more entry in its audit trail.
func (s State) withAuditEntry(c recorder.Change) State {
	kept := s.Audit
	if len(kept) >= MaxAudit {
		kept = kept[len(kept)-MaxAudit+1:]
	}
	s.Audit = append(slices.Clone(kept), c)
	return s
}

// hasAudited reports whether the audit trail has a record with this ID at or
// after the offset from.
func (s State) hasAudited(id string, from uint64) bool {
	return slices.ContainsFunc(s.Audit, func(c recorder.Change) bool {
		return c.ID == id && c.Offset >= from
	})
}

// namesOutOfService returns the map of a kind, or nil if the kind is unknown.
func namesOutOfService(o *recorder.OutOfService, kind recorder.Target) map[string]uint64 {
	switch kind {
	case recorder.TargetVM:
		return o.VMs
	case recorder.TargetZone:
		return o.Zones
	case recorder.TargetUpstream:
		return o.Upstreams
	default:
		return nil
	}
}

func setNamesOutOfService(o *recorder.OutOfService, kind recorder.Target, names map[string]uint64) {
	switch kind {
	case recorder.TargetVM:
		o.VMs = names
	case recorder.TargetZone:
		o.Zones = names
	case recorder.TargetUpstream:
		o.Upstreams = names
	}
}

// zoneNames returns the sorted availability zones that a manifest lists or
// uses.
func zoneNames(m checker.Manifest) []string {
	all := slices.Clone(m.Zones)
	for _, u := range m.Upstreams {
		all = append(all, u.Zone)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
