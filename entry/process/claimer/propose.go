package claimer

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathervane/heathervane/library/recorder"
)

// A hand is a planned hand-over under way.
type hand struct {
	to       string
	boot     uint64
	began    time.Time
	told     bool // the successor has the table
	appended time.Time
}

// A Handover asks for an upstream's table to be sent to its next holder.
type Handover struct {
	Upstream string
	Fence    uint64
	VM       string
	Boot     uint64
}

// Tick returns the claims to append now, at most one record for what this
// process takes, one for each successor and one for a seat given back.
func (m *Machine) Tick(now time.Time, f Facts) []recorder.Claim {
	if !m.Fresh(now) {
		return nil
	}
	own := recorder.Claim{VM: m.c.VM, Boot: m.c.Boot, By: m.c.VM, Zone: m.c.Zone, Address: m.c.Address}
	for _, name := range f.Upstreams {
		if at, ok := m.waits[name]; ok && now.Sub(at) < m.c.Lease {
			continue
		}
		if m.wants(now, name, f) {
			m.waits[name] = now
			replaces := m.upstreams.entries[name].Offset
			own.Upstreams = append(own.Upstreams, recorder.ClaimUpstream{Name: name, Replaces: replaces})
		}
	}
	if n, ok := m.wantsSeat(now, f); ok {
		m.seatTry = now
		own.Seats = append(own.Seats, recorder.ClaimSeat{Seat: n, Replaces: m.seats.entries[n].Offset})
	}
	out := m.handed(now)
	if len(own.Upstreams)+len(own.Seats) > 0 {
		out = append(out, own)
	}
	return out
}

// wants says whether this process should write a claim for an upstream now.
func (m *Machine) wants(now time.Time, name string, f Facts) bool {
	c, known := m.upstreams.entries[name]
	t, held := m.held[name]
	if held {
		return m.old(t, now) || m.stuck(now, name)
	}
	vm, boot := f.Should(name)
	return !f.Leaving && vm == m.c.VM && boot == m.c.Boot && (!known || !m.living(now, name, c, f))
}

// living says whether the holder of an upstream is thought to run. That its
// claim has just landed is a sign of life too: VMs that start together do not
// know one another before the list shows them, and without it each would claim
// what the other has just claimed, at every look.
func (m *Machine) living(now time.Time, name string, c Claim, f Facts) bool {
	if f.Live(c.VM, c.Boot) {
		return true
	}
	at, seen := m.signs[name]
	return seen && now.Sub(at) < m.c.Lease
}

func (m *Machine) old(t tenure, now time.Time) bool {
	return m.c.Keep > 0 && now.Sub(t.notBefore) > m.c.Keep/renewal
}

// stuck says that a hand-over was appended long ago and has not been read back.
// The record may still land, so this process must not simply lend again: it
// claims anew, and the log's order decides which of the two counts.
func (m *Machine) stuck(now time.Time, name string) bool {
	h := m.hands[name]
	return h != nil && now.Sub(h.began) > 2*m.c.Lease
}

// wantsSeat picks a vacant seat, each VM in its own order, so that VMs that
// start together rarely race for one.
func (m *Machine) wantsSeat(now time.Time, f Facts) (int, bool) {
	if now.Sub(m.seatTry) < m.c.Lease {
		return 0, false
	}
	if m.hasSeat {
		return m.seatNo, !f.Leaving && m.old(m.seat, now)
	}
	if f.Leaving {
		return 0, false
	}
	best, found, rank := 0, false, uint64(0)
	for n := range f.Seats {
		c, known := m.seats.entries[n]
		vacant := !known || c.VM == "" || f.Absent(c.VM, c.Boot) || c.VM == m.c.VM && c.Boot != m.c.Boot
		if r := xxhash.Sum64String(m.c.VM + "/" + strconv.Itoa(n)); vacant && (!found || r > rank) {
			best, found, rank = n, true, r
		}
	}
	return best, found
}

// GiveSeat returns the record that gives this process's seat back. The process
// must not use its share from here on.
func (m *Machine) GiveSeat() (recorder.Claim, bool) {
	if !m.hasSeat {
		return recorder.Claim{}, false
	}
	m.hasSeat = false
	return recorder.Claim{
		VM: m.c.VM, Boot: m.c.Boot, By: m.c.VM, Given: true,
		Seats: []recorder.ClaimSeat{{Seat: m.seatNo, Replaces: m.seat.fence}},
	}, true
}

// Handovers starts what should be handed over and returns every hand-over whose
// table has not reached its successor. From the first call on, Hold is false
// for these upstreams: a loan made after the table was sent would be unknown to
// the successor.
func (m *Machine) Handovers(now time.Time, f Facts) []Handover {
	var out []Handover
	for _, name := range f.Upstreams {
		vm, boot := f.Should(name)
		m.consider(now, name, vm, boot, f)
		if h := m.hands[name]; h != nil && !h.told {
			out = append(out, Handover{Upstream: name, Fence: m.held[name].fence, VM: h.to, Boot: h.boot})
		}
	}
	return out
}

func (m *Machine) consider(now time.Time, name, vm string, boot uint64, f Facts) {
	_, held := m.Hold(name, now)
	if !held || vm == "" || vm == m.c.VM || !f.Live(vm, boot) {
		delete(m.better, name)
		return
	}
	if b := m.better[name]; b.vm != vm {
		m.better[name] = since{vm: vm, at: now}
	}
	if f.Leaving || now.Sub(m.better[name].at) >= settled*m.c.Lease {
		m.hands[name] = &hand{to: vm, boot: boot, began: now}
		delete(m.better, name)
	}
}

// Told says that the successor has an upstream's table.
func (m *Machine) Told(name, vm string, boot, fence uint64) {
	h := m.hands[name]
	if h != nil && h.to == vm && h.boot == boot && m.held[name].fence == fence {
		h.told = true
	}
}

// handed returns the claims for successors that have their tables, one record
// for each successor.
func (m *Machine) handed(now time.Time) []recorder.Claim {
	byVM := map[string]*recorder.Claim{}
	for name, h := range m.hands {
		if !h.told || !h.appended.IsZero() {
			continue
		}
		h.appended = now
		c := byVM[h.to]
		if c == nil {
			c = &recorder.Claim{VM: h.to, Boot: h.boot, By: m.c.VM, Handed: true}
			byVM[h.to] = c
		}
		c.Upstreams = append(c.Upstreams, recorder.ClaimUpstream{Name: name, Replaces: m.held[name].fence})
	}
	out := make([]recorder.Claim, 0, len(byVM))
	for _, c := range byVM {
		slices.SortFunc(c.Upstreams, func(a, b recorder.ClaimUpstream) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b recorder.Claim) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return out
}
