// Package member keeps what one VM knows of the others: from the platform's
// lagging list, from heartbeats heard directly, and from what peers have heard.
// It is pure: the time is an argument. It decides nothing that must be agreed;
// what follows from its mistakes is bounded by claims on the log.
//
// With the list alone, a dead VM would keep its upstreams until the platform
// takes note; with direct heartbeats alone, a cut between two VMs would have
// each take the other's. The thresholds: heartbeats come every half second, so
// three are missed before a VM is suspected and five before others take over.
package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathervane/heathervane/library/lister"
)

// A State is what is thought of a VM.
type State int

const (
	// Live VMs have been heard lately.
	Live State = iota
	// Suspect VMs have missed some heartbeats.
	Suspect
	// Gone VMs have not been heard for long; they may still run.
	Gone
	// Leaving VMs run and take on nothing more.
	Leaving
)

// String names the state.
func (s State) String() string {
	return [...]string{"live", "suspect", "gone", "leaving"}[s]
}

// A Config holds a Table's constants.
type Config struct {
	VM, Zone, Address string
	Boot              uint64
	// SuspectAfter and GoneAfter are times without a heartbeat.
	SuspectAfter, GoneAfter time.Duration
	// AbsentAfter is how long a VM must be off the list, and not heard, before it
	// counts as stopped by the platform. It must be longer than the list's lag,
	// because a new VM is not on the list yet.
	AbsentAfter time.Duration
}

// maxHeard bounds what a heartbeat relays of other VMs.
const maxHeard = 16

// A Heartbeat is a heartbeat.
type Heartbeat struct {
	_       struct{} `cbor:",toarray"`
	VM      string
	Boot    uint64
	Zone    string
	Address string
	Leaving bool
	// Version is the configuration in force at the sender.
	Version uint64
	// Heard are the VMs that the sender heard itself.
	Heard []HeardVM
}

// HeardVM says how long ago, in milliseconds, the sender heard a VM itself.
type HeardVM struct {
	_         struct{} `cbor:",toarray"`
	VM        string
	Boot      uint64
	AgeMillis int
}

// A Member is one VM as known here.
type Member struct {
	VM, Zone, Address string
	Boot              uint64
	State             State
}

// A Table is all that is known of the VMs.
type Table struct {
	c       Config
	leaving bool
	vms     map[string]*vm
	lists   int
	first   time.Time // of the first good list
}

type vm struct {
	zone, address string
	boot          uint64
	leaving       bool
	listed        bool
	since         time.Time // first known
	seen          time.Time // when it was found to have left the list
	heard         time.Time // directly
	relayed       time.Time // by a peer
}

// New returns a Table that knows this VM only.
func New(c Config) *Table { return &Table{c: c, vms: map[string]*vm{}} }

// Leave marks this VM as leaving.
func (t *Table) Leave() { t.leaving = true }

func (t *Table) vm(now time.Time, id string) *vm {
	v := t.vms[id]
	if v == nil {
		v = &vm{since: now}
		t.vms[id] = v
	}
	return v
}

// ApplyList takes in the platform's list.
func (t *Table) ApplyList(now time.Time, list []lister.VM) {
	if t.lists == 0 {
		t.first = now
	}
	t.lists++
	for _, v := range t.vms {
		if v.listed {
			v.seen = now
		}
		v.listed = false
	}
	for _, l := range list {
		if l.ID == t.c.VM {
			continue
		}
		v := t.vm(now, l.ID)
		v.listed = true
		if v.heard.IsZero() {
			v.zone, v.address = l.Zone, l.Address
		}
		if l.State == lister.Leaving {
			v.leaving = true
		}
	}
	for id, v := range t.vms {
		if !v.listed && t.state(now, v) == Gone && t.IsAbsent(now, id, v.boot) {
			delete(t.vms, id)
		}
	}
}

// ReceiveHeartbeat takes in a heartbeat. One of an earlier process of the same VM is
// ignored: a process that was replaced may still send.
func (t *Table) ReceiveHeartbeat(now time.Time, b Heartbeat) {
	if b.VM == t.c.VM || b.VM == "" {
		return
	}
	v := t.vm(now, b.VM)
	if b.Boot < v.boot {
		return
	}
	v.boot, v.zone, v.address, v.leaving = b.Boot, b.Zone, b.Address, b.Leaving
	v.heard = now
	for i, h := range b.Heard {
		if i == maxHeard {
			return
		}
		t.relay(now, h)
	}
}

// AddClaimant takes in a process that has written a claim on the log. It is taken for
// living until heartbeats had the time to come: VMs that start while the list
// lags would else not know one another, and take each other's upstreams.
func (t *Table) AddClaimant(now time.Time, id, zone, address string, boot uint64) {
	if id == t.c.VM || id == "" {
		return
	}
	v := t.vm(now, id)
	if boot < v.boot || boot == v.boot && !v.heard.IsZero() {
		return
	}
	v.boot, v.zone, v.address, v.since = boot, zone, address, now
}

func (t *Table) relay(now time.Time, h HeardVM) {
	if h.VM == t.c.VM || h.VM == "" || h.AgeMillis < 0 {
		return
	}
	v := t.vms[h.VM]
	if v == nil || h.Boot < v.boot {
		return
	}
	if at := now.Add(-time.Duration(h.AgeMillis) * time.Millisecond); at.After(v.relayed) {
		v.relayed = at
	}
}

// OwnHeartbeat returns the heartbeat to send.
func (t *Table) OwnHeartbeat(now time.Time, version uint64) Heartbeat {
	b := Heartbeat{VM: t.c.VM, Boot: t.c.Boot, Zone: t.c.Zone, Address: t.c.Address, Leaving: t.leaving, Version: version}
	for id, v := range t.vms {
		if !v.heard.IsZero() && now.Sub(v.heard) < t.c.GoneAfter {
			b.Heard = append(b.Heard, HeardVM{VM: id, Boot: v.boot, AgeMillis: int(now.Sub(v.heard).Milliseconds())})
		}
	}
	slices.SortFunc(b.Heard, func(x, y HeardVM) int {
		return cmp.Or(cmp.Compare(x.AgeMillis, y.AgeMillis), cmp.Compare(x.VM, y.VM))
	})
	b.Heard = b.Heard[:min(len(b.Heard), maxHeard)]
	return b
}

func (t *Table) state(now time.Time, v *vm) State {
	last := latest(v.heard, v.relayed, v.since)
	silent := now.Sub(last)
	switch {
	case silent >= t.c.GoneAfter:
		return Gone
	case v.leaving:
		return Leaving
	case silent >= t.c.SuspectAfter:
		return Suspect
	}
	return Live
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// IsLive says whether a process is thought to run.
func (t *Table) IsLive(now time.Time, id string, boot uint64) bool {
	if id == t.c.VM {
		return boot == t.c.Boot
	}
	v := t.vms[id]
	if v == nil || v.boot != 0 && boot < v.boot {
		return false
	}
	return t.state(now, v) != Gone
}

// IsAbsent says that the platform has stopped a process: its VM has been off the
// list, and not heard, for longer than the list can lag, or a later process of
// the same VM has been heard.
func (t *Table) IsAbsent(now time.Time, id string, boot uint64) bool {
	if id == t.c.VM {
		return boot != t.c.Boot
	}
	if t.lists == 0 {
		return false
	}
	v := t.vms[id]
	if v == nil {
		return now.Sub(t.first) >= t.c.AbsentAfter
	}
	if v.boot > boot {
		return true
	}
	last := latest(v.seen, v.heard, v.relayed, t.first)
	return !v.listed && now.Sub(last) >= t.c.AbsentAfter
}

// Members are all known VMs but those gone and off the list, this one included,
// by name.
func (t *Table) Members(now time.Time) []Member {
	own := Member{VM: t.c.VM, Zone: t.c.Zone, Address: t.c.Address, Boot: t.c.Boot}
	if t.leaving {
		own.State = Leaving
	}
	out := []Member{own}
	for id, v := range t.vms {
		out = append(out, Member{VM: id, Zone: v.zone, Address: v.address, Boot: v.boot, State: t.state(now, v)})
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// CanHold says whether a member may hold upstreams. One that was never heard has no
// boot number and can't be named in a claim yet.
func CanHold(m Member) bool {
	return m.Boot != 0 && m.State != Gone && m.State != Leaving
}

// PreferredHolder names the process that ought to hold an upstream: the highest of all
// hashes of the upstream with a VM (rendezvous hashing), so that a VM's death
// moves only what it held.
func PreferredHolder(upstream string, members []Member) (id string, boot uint64) {
	var best uint64
	for _, m := range members {
		if !CanHold(m) {
			continue
		}
		if h := xxhash.Sum64String(upstream + "/" + m.VM); id == "" || h > best {
			id, boot, best = m.VM, m.Boot, h
		}
	}
	return id, boot
}

// mesh is up to how many VMs each is linked to all: today's fleets are smaller.
const mesh = 12

// HeartbeatPeers are the VMs to keep a link to for heartbeats: all in a small fleet, else
// the next few in an order that is this VM's own and changes with the turn.
func HeartbeatPeers(own string, members []Member, few int, turn uint64) []Member {
	var out []Member
	for _, m := range members {
		if m.VM != own && m.Address != "" {
			out = append(out, m)
		}
	}
	if len(out) < mesh {
		return out
	}
	hash := func(m Member) uint64 {
		return xxhash.Sum64String(own+"/"+m.VM) ^ (turn * 0x9e3779b97f4a7c15)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(hash(a), hash(b)) })
	return out[:min(few, len(out))]
}
