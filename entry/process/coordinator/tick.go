package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/claimer"
	"github.com/heathervane/heathervane/entry/process/lender"
	"github.com/heathervane/heathervane/entry/process/member"
)

// outbox gathers one message for each VM.
type outbox map[string]*Message

func (o outbox) to(vm string) *Message {
	m := o[vm]
	if m == nil {
		m = &Message{}
		o[vm] = m
	}
	return m
}

// Tick does what is due and returns what is to be sent.
func (n *Node) Tick(now time.Time) Step {
	n.mu.Lock()
	defer n.mu.Unlock()
	var s Step
	if gap := now.Sub(n.last); !n.last.IsZero() && gap > n.c.Timings.Stall {
		s.Woke = gap
	}
	n.last = now
	members := n.members.Members(now)
	n.duty.look(members)
	facts := n.facts(now)
	out := outbox{}
	n.handOver(now, facts, out)
	s.Claims = n.claims.Tick(now, facts)
	if n.gave != nil {
		s.Claims = append(s.Claims, *n.gave)
		n.gave = nil
	}
	n.hold(now)
	// Twice, so that this VM's own asks and loans, which need no link, are
	// exchanged within one tick.
	for range 2 {
		s.More = n.exchange(now, out) || s.More
	}
	n.notes(out)
	n.beats(now, members, out)
	s.Open = n.open(members, out)
	for _, vm := range slices.Sorted(maps.Keys(out)) {
		s.Sends = append(s.Sends, Send{To: vm, Message: *out[vm]})
	}
	return s
}

func (n *Node) facts(now time.Time) claimer.Facts {
	return claimer.Facts{
		Live:      func(vm string, boot uint64) bool { return n.members.IsLive(now, vm, boot) },
		Should:    n.duty.should,
		Absent:    func(vm string, boot uint64) bool { return n.members.IsAbsent(now, vm, boot) },
		Upstreams: n.names,
		Seats:     n.seats,
		Leaving:   n.leaving,
	}
}

// handOver sends tables until they are acknowledged.
func (n *Node) handOver(now time.Time, facts claimer.Facts, out outbox) {
	hands := n.claims.Handovers(now, facts)
	if now.Sub(n.tables) < n.c.Timings.Gap*4 {
		return
	}
	n.tables = now
	for _, h := range hands {
		u := n.get(h.Upstream)
		if u == nil || u.lender == nil {
			continue
		}
		t := u.lender.Export()
		t.Fence = h.Fence
		m := out.to(h.VM)
		m.Table = append(m.Table, t)
	}
}

// hold starts and ends lenders with this process's claims, and tells everyone's
// share.
func (n *Node) hold(now time.Time) {
	seats := n.claims.Seats(n.seats)
	own, seated := n.claims.Seat(now)
	for _, name := range n.names {
		u := n.get(name)
		fence, ok := n.claims.Hold(name, now)
		c, _ := n.claims.Claimed(name)
		mine := c.VM == n.c.VM && c.Boot == n.c.Boot
		switch {
		case !mine:
			u.lender = nil
		case ok && u.lender == nil:
			n.newLender(u, fence, now)
		case ok:
			u.lender.Renew(fence)
		}
		u.holds = ok
		share := 0
		if seated {
			share = u.deal.share(name, u.Slots, n.seats, own)
		}
		u.borrower.Share(share)
		if u.lender != nil {
			shares := make(map[lender.Who]int, len(seats))
			for k, s := range seats {
				if n.members.IsAbsent(now, s.VM, s.Boot) {
					// Nobody may have come to take the seat of a stopped VM; its
					// share is lent like the rest.
					continue
				}
				if m := u.deal.share(name, u.Slots, n.seats, k); m > 0 {
					shares[lender.Who{VM: s.VM, Boot: s.Boot}] += m
				}
			}
			u.lender.Shares(now, shares)
		}
	}
}

// exchange collects asks and loans; those for this VM itself take effect here.
func (n *Node) exchange(now time.Time, out outbox) (more bool) {
	own := lender.Who{VM: n.c.VM, Boot: n.c.Boot}
	for _, name := range n.names {
		u := n.get(name)
		n.ask(now, u, own, out)
		if !u.holds {
			continue
		}
		for _, o := range u.lender.Tick(now) {
			if o.To == own {
				more = u.borrower.Handle(now, o.Loan) || more
				continue
			}
			m := out.to(o.To.VM)
			m.Loans = append(m.Loans, o.Loan)
		}
	}
	return more
}

func (n *Node) ask(now time.Time, u *unit, own lender.Who, out outbox) {
	c, known := n.claims.Claimed(u.Name)
	if !known {
		return
	}
	a, due := u.borrower.Ask(now)
	switch {
	case !due:
	case c.VM != n.c.VM:
		m := out.to(c.VM)
		m.Asks = append(m.Asks, a)
	case u.lender != nil:
		u.lender.Handle(now, own, a)
	}
}

func (n *Node) notes(out outbox) {
	for _, t := range n.told {
		m := out.to(t.to)
		m.Told = append(m.Told, t.Told)
	}
	n.told = nil
	for _, c := range n.clears {
		holder, known := n.claims.Claimed(c.Name)
		switch {
		case !known:
		case holder.VM == n.c.VM:
			n.clear(c)
		default:
			m := out.to(holder.VM)
			m.Clear = append(m.Clear, c)
		}
	}
	n.clears = nil
}

// beats adds heartbeats to what goes out, every so often.
func (n *Node) beats(now time.Time, members []member.Member, out outbox) {
	if now.Sub(n.beat) < n.c.Timings.Beat {
		return
	}
	n.beat = now
	version := uint64(0)
	if n.c.Version != nil {
		version = n.c.Version()
	}
	b := n.members.OwnHeartbeat(now, version)
	turn := uint64(now.UnixNano()) / uint64(turnTime)
	for _, m := range member.HeartbeatPeers(n.c.VM, members, few, turn) {
		out.to(m.VM).Beat = &b
	}
	for _, m := range out {
		m.Beat = &b
	}
}

const (
	// few is how many VMs chosen at random each VM sends heartbeats to in a
	// large fleet, beside the holders that it borrows from.
	few = 3
	// turnTime is how long such a choice stands.
	turnTime = time.Minute
)

// open lists the VMs that something is for.
func (n *Node) open(members []member.Member, out outbox) []member.Member {
	var open []member.Member
	for _, m := range members {
		if out[m.VM] != nil && m.Address != "" {
			open = append(open, m)
		}
	}
	return open
}
