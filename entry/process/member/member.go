// Package member keeps one VM's view of the other VMs. It combines the platform's
// list, which lags, with heartbeats received directly and heartbeats that peers report
// having received. It does no I/O and reads no clock: callers pass the time. It makes
// no decision that needs consensus; claims on the log limit the effect of a wrong view.
//
// With the list alone, a dead VM would keep its upstreams until the platform notices.
// With direct heartbeats alone, two VMs that cannot reach each other would each take
// the other's upstreams. Heartbeats are sent every half second; a VM is suspected after
// three missed heartbeats, and others take over its upstreams after five.
package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathervane/heathervane/library/lister"
)

// A State is a VM's state as seen by this VM.
type State int

const (
	// Live means that a heartbeat was received recently.
	Live State = iota
	// Suspect means that some heartbeats were missed.
	Suspect
	// Gone means that no heartbeat was received for GoneAfter. The VM may still run.
	Gone
	// Leaving means that the VM runs but takes on no more work.
	Leaving
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"live", "suspect", "gone", "leaving"}[s]
}

// A Config identifies this VM and holds the thresholds of a Table.
type Config struct {
	VM, Zone, Address string
	Boot              uint64
	// SuspectAfter and GoneAfter are the times without a heartbeat after which a VM is
	// Suspect or Gone.
	SuspectAfter, GoneAfter time.Duration
	// AbsentAfter is how long a VM must be missing from the list, without a heartbeat,
	// before it counts as stopped by the platform. It must exceed the lag of the list,
	// because a new VM is not listed yet.
	AbsentAfter time.Duration
}

// maxHeardVMs is the maximum number of other VMs that a heartbeat reports on.
const maxHeardVMs = 16

// A Heartbeat is the message that a VM sends regularly to its peers.
type Heartbeat struct {
	_       struct{} `cbor:",toarray"`
	VM      string
	Boot    uint64
	Zone    string
	Address string
	Leaving bool
	// Version is the configuration version in force at the sender.
	Version uint64
	// Heard lists the VMs from which the sender itself received a heartbeat.
	Heard []HeardVM
}

// HeardVM reports how many milliseconds ago the sender of a Heartbeat last received
// one directly from another VM.
type HeardVM struct {
	_         struct{} `cbor:",toarray"`
	VM        string
	Boot      uint64
	AgeMillis int
}

// A Member is a VM as seen by this VM.
type Member struct {
	VM, Zone, Address string
	Boot              uint64
	State             State
}

// A Table is one VM's membership table.
type Table struct {
	config      Config
	leaving     bool
	vms         map[string]*vm
	listCount   int
	firstListAt time.Time // when the first valid list was applied
}

type vm struct {
	zone, address string
	boot          uint64
	leaving       bool
	listed        bool
	knownSince    time.Time // when it, or a later process of it, became known
	delistedAt    time.Time // the first list without it, or the latest one while it is listed
	heardAt       time.Time // last heartbeat received directly
	relayedAt     time.Time // last heartbeat received by a peer
}

// New returns a Table that contains only this VM.
func New(config Config) *Table { return &Table{config: config, vms: map[string]*vm{}} }

// Leave marks this VM as leaving.
func (t *Table) Leave() { t.leaving = true }

func (t *Table) findOrAdd(now time.Time, id string) *vm {
	v := t.vms[id]
	if v == nil {
		v = &vm{knownSince: now}
		t.vms[id] = v
	}
	return v
}

// ApplyList updates the table from the platform's list.
func (t *Table) ApplyList(now time.Time, list []lister.VM) {
	if t.listCount == 0 {
		t.firstListAt = now
	}
	t.listCount++
	for _, v := range t.vms {
		if v.listed {
			v.delistedAt = now
		}
		v.listed = false
	}
	for _, entry := range list {
		if entry.ID == t.config.VM {
			continue
		}
		v := t.findOrAdd(now, entry.ID)
		v.listed = true
		if v.heardAt.IsZero() {
			v.zone, v.address = entry.Zone, entry.Address
		}
		if entry.State == lister.Leaving {
			v.leaving = true
		}
	}
	for id, v := range t.vms {
		if !v.listed && t.state(now, v) == Gone && t.IsAbsent(now, id, v.boot) {
			delete(t.vms, id)
		}
	}
}

// ReceiveHeartbeat updates the table from a heartbeat. It ignores heartbeats of an
// earlier process of the same VM, because a replaced process may still send them.
func (t *Table) ReceiveHeartbeat(now time.Time, b Heartbeat) {
	if b.VM == t.config.VM || b.VM == "" {
		return
	}
	v := t.findOrAdd(now, b.VM)
	if b.Boot < v.boot {
		return
	}
	v.boot, v.zone, v.address, v.leaving = b.Boot, b.Zone, b.Address, b.Leaving
	v.heardAt = now
	for i, h := range b.Heard {
		if i == maxHeardVMs {
			return
		}
		t.applyRelayed(now, h)
	}
}

// AddClaimant adds a process that has written a claim to the log. The process counts as
// live until its heartbeats have had time to arrive. Otherwise VMs that start while the
// list lags would not know one another and would take each other's upstreams.
func (t *Table) AddClaimant(now time.Time, id, zone, address string, boot uint64) {
	if id == t.config.VM || id == "" {
		return
	}
	v := t.findOrAdd(now, id)
	if boot < v.boot || boot == v.boot && !v.heardAt.IsZero() {
		return
	}
	v.boot, v.zone, v.address, v.knownSince = boot, zone, address, now
}

func (t *Table) applyRelayed(now time.Time, h HeardVM) {
	if h.VM == t.config.VM || h.VM == "" || h.AgeMillis < 0 {
		return
	}
	v := t.vms[h.VM]
	if v == nil || h.Boot < v.boot {
		return
	}
	if at := now.Add(-time.Duration(h.AgeMillis) * time.Millisecond); at.After(v.relayedAt) {
		v.relayedAt = at
	}
}

// OwnHeartbeat returns the heartbeat for this VM to send.
func (t *Table) OwnHeartbeat(now time.Time, version uint64) Heartbeat {
	b := Heartbeat{VM: t.config.VM, Boot: t.config.Boot, Zone: t.config.Zone, Address: t.config.Address, Leaving: t.leaving, Version: version}
	for id, v := range t.vms {
		if !v.heardAt.IsZero() && now.Sub(v.heardAt) < t.config.GoneAfter {
			b.Heard = append(b.Heard, HeardVM{VM: id, Boot: v.boot, AgeMillis: int(now.Sub(v.heardAt).Milliseconds())})
		}
	}
	slices.SortFunc(b.Heard, func(x, y HeardVM) int {
		return cmp.Or(cmp.Compare(x.AgeMillis, y.AgeMillis), cmp.Compare(x.VM, y.VM))
	})
	b.Heard = b.Heard[:min(len(b.Heard), maxHeardVMs)]
	return b
}

func (t *Table) state(now time.Time, v *vm) State {
	last := latest(v.heardAt, v.relayedAt, v.knownSince)
	silence := now.Sub(last)
	switch {
	case silence >= t.config.GoneAfter:
		return Gone
	case v.leaving:
		return Leaving
	case silence >= t.config.SuspectAfter:
		return Suspect
	}
	return Live
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// IsLive reports whether a process is believed to be running.
func (t *Table) IsLive(now time.Time, id string, boot uint64) bool {
	if id == t.config.VM {
		return boot == t.config.Boot
	}
	v := t.vms[id]
	if v == nil || v.boot != 0 && boot < v.boot {
		return false
	}
	return t.state(now, v) != Gone
}

// IsAbsent reports whether the platform has stopped a process: its VM has been missing
// from the list, without a heartbeat, for AbsentAfter, or a later process of the same
// VM is known.
func (t *Table) IsAbsent(now time.Time, id string, boot uint64) bool {
	if id == t.config.VM {
		return boot != t.config.Boot
	}
	if t.listCount == 0 {
		return false
	}
	v := t.vms[id]
	if v == nil {
		return now.Sub(t.firstListAt) >= t.config.AbsentAfter
	}
	if v.boot > boot {
		return true
	}
	last := latest(v.delistedAt, v.heardAt, v.relayedAt, t.firstListAt)
	return !v.listed && now.Sub(last) >= t.config.AbsentAfter
}

// Members returns all VMs in the table, including this one, sorted by name. ApplyList
// has removed those that are gone and off the list.
func (t *Table) Members(now time.Time) []Member {
	own := Member{VM: t.config.VM, Zone: t.config.Zone, Address: t.config.Address, Boot: t.config.Boot}
	if t.leaving {
		own.State = Leaving
	}
	members := []Member{own}
	for id, v := range t.vms {
		members = append(members, Member{VM: id, Zone: v.zone, Address: v.address, Boot: v.boot, State: t.state(now, v)})
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}

// CanHold reports whether a member may hold upstreams. A member that is known only from
// the list has no boot number and cannot be named in a claim yet.
func CanHold(m Member) bool {
	return m.Boot != 0 && m.State != Gone && m.State != Leaving
}

// PreferredHolder returns the process that should hold an upstream. It uses rendezvous
// hashing, so that the loss of a VM moves only the upstreams that it held.
func PreferredHolder(upstream string, members []Member) (holder string, boot uint64) {
	var best uint64
	for _, m := range members {
		if !CanHold(m) {
			continue
		}
		if h := xxhash.Sum64String(upstream + "/" + m.VM); holder == "" || h > best {
			holder, boot, best = m.VM, m.Boot, h
		}
	}
	return holder, boot
}

// fullMeshSize is the number of other VMs from which HeartbeatPeers stops linking to
// all of them. Current fleets are smaller.
const fullMeshSize = 12

// HeartbeatPeers returns the VMs to keep a heartbeat link to: all of them in a small
// fleet, otherwise the first few in an order that depends on this VM and on turn.
func HeartbeatPeers(self string, members []Member, limit int, turn uint64) []Member {
	var peers []Member
	for _, m := range members {
		if m.VM != self && m.Address != "" {
			peers = append(peers, m)
		}
	}
	if len(peers) < fullMeshSize {
		return peers
	}
	hash := func(m Member) uint64 {
		return xxhash.Sum64String(self+"/"+m.VM) ^ (turn * 0x9e3779b97f4a7c15)
	}
	slices.SortFunc(peers, func(a, b Member) int { return cmp.Compare(hash(a), hash(b)) })
	return peers[:min(limit, len(peers))]
}
