// Package folder works out the configuration in force from the records of the
// log's stream config. It is a pure function, without network or clock, so that
// every VM and every operator's program that has read the same records holds
// the same state, whatever their order of starting.
//
// Which load it answers: operators and pipelines that publish at once, and VMs
// that start while others run. Without it two VMs could hold different
// manifests for good, each sure of its own. It rests on one rule: the offset
// order of the log decides. A publish takes effect only if it names the version
// in force as its base, so of two racing ones the first wins and the second is
// refused everywhere. A version is the offset of its publish, so versions only
// move forward.
//
// The log drops old records, so a state can't always be folded from the first
// one. It may then be founded on a checkpoint, and only where no record between
// what the checkpoint had read and what the log still keeps is lost. Checkpoints
// are states after some offset; whichever of several racing ones is taken, the
// records after it lead to the same state. A checkpoint changes nothing for a
// reader that has a state.
//
// What follows from that:
//
// After an outage of the log longer than its retention, a VM with a state goes
// on from it, since nothing was appended that it has not read, and a checkpoint
// is due at once. Where a record landed just before the outage and was dropped
// unread, no VM can go on: each keeps its state in force and says so, until an
// operator publishes anew.
//
// After a replacement of all VMs, the new ones found their state on the last
// checkpoint and the records after it. Where that checkpoint too has been
// dropped, which takes a retention without any VM that could write to the log,
// they hold no state, are not ready, and an operator publishes anew.
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

// A State is the configuration after the records up to Read. The zero State is
// that before the first record. States are values: nothing that a State refers
// to is changed after it has been returned.
type State struct {
	// Version is the offset of the publish in force, 0 for none.
	Version uint64
	// Manifest is the manifest in force, and Packed its TOML in the bytes that
	// its publish carried.
	Manifest     checker.Manifest
	ManifestData []byte
	// Digest is the SHA-256 of the TOML in hex; empty without a manifest.
	Digest string
	// OutOfService are the names out of service.
	OutOfService recorder.OutOfService
	// LastOffset is the last offset that was read.
	LastOffset uint64
	// Anew is the offset of the last publish anew, 0 for none.
	Anew uint64
	// Audit is the end of the audit trail, oldest first, at most MaxAudit.
	Audit []recorder.Change
}

// IsOut says whether an order holds a name out of service.
func (s State) IsOut(kind recorder.Target, name string) bool {
	_, out := outsOf(&s.OutOfService, kind)[name]
	return out
}

// A Record is one record of the log.
type Record struct {
	Offset uint64
	At     time.Time
	Data   []byte
}

// Bounds of what a State holds besides its manifest. Together with the longest
// manifest they keep a checkpoint under the 1 MiB of a record.
const (
	// MaxAudit is how many changes the audit trail of a State keeps. It is
	// also how far behind the end of the stream a record may land: within so
	// many records, one that was appended twice is known by its ID.
	MaxAudit = 256
	// MaxOutOfService is how many names of each kind may be out of service.
	MaxOutOfService = 500

	// MaxWho and MaxWhy are the longest Who and Why of a record in bytes.
	MaxWho = 64
	MaxWhy = 160

	maxReason = 160
	maxWhat   = 100
	maxID     = 64
)

// manifested returns the state with a manifest in force, or all that is wrong
// with the manifest.
func (s State) manifested(version uint64, packed []byte) (State, finder.Findings) {
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

// audited returns the state with one more line in its audit trail.
func (s State) audited(c recorder.Change) State {
	kept := s.Audit
	if len(kept) >= MaxAudit {
		kept = kept[len(kept)-MaxAudit+1:]
	}
	s.Audit = append(slices.Clone(kept), c)
	return s
}

// seen says whether the audit trail has a record of this ID from an offset on.
func (s State) seen(id string, from uint64) bool {
	return slices.ContainsFunc(s.Audit, func(c recorder.Change) bool {
		return c.ID == id && c.Offset >= from
	})
}

// outsOf is the map of a kind, nil for an unknown kind.
func outsOf(o *recorder.OutOfService, kind recorder.Target) map[string]uint64 {
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

func setOuts(o *recorder.OutOfService, kind recorder.Target, names map[string]uint64) {
	switch kind {
	case recorder.TargetVM:
		o.VMs = names
	case recorder.TargetZone:
		o.Zones = names
	case recorder.TargetUpstream:
		o.Upstreams = names
	}
}

// zones are the availability zones that a manifest knows, sorted.
func zones(m checker.Manifest) []string {
	all := slices.Clone(m.Zones)
	for _, u := range m.Upstreams {
		all = append(all, u.Zone)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
