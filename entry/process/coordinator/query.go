package coordinator

import "time"

// Gone says that a process has certainly been stopped.
func (n *Node) Gone(now time.Time, vm string, boot uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.IsAbsent(now, vm, boot)
}

// Holder names the VM whose claim to an upstream is in force.
func (n *Node) Holder(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, _ := n.claims.Claimed(name)
	return c.VM
}

// Holds says whether this process may lend an upstream's slots now.
func (n *Node) Holds(now time.Time, name string) bool {
	_, ok := n.Fence(now, name)
	return ok
}

// Fence is the fence under which this process holds an upstream now.
func (n *Node) Fence(now time.Time, name string) (fence uint64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.claims.Hold(name, now)
}

// Seat is the number of this process's seat.
func (n *Node) Seat(now time.Time) (int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.claims.Seat(now)
}

// Members are the VMs known here.
func (n *Node) Members(now time.Time) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Members(now)
}

// Ready says whether requests can be served, and if not, why. One upstream that
// can be used is enough: what the others lack is seen in their views.
func (n *Node) Ready(now time.Time) (ok bool, reason string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving {
		return false, "leaving"
	}
	if n.claims.From() <= 1 && !n.claims.Fresh(now) {
		return false, "the log of claims has not been read"
	}
	if len(n.names) == 0 {
		return true, ""
	}
	for _, name := range n.names {
		_, holds := n.claims.Hold(name, now)
		if v := n.get(name).borrower.View(now); holds || v.Held || v.Free > 0 || v.Mine > 0 {
			return true, ""
		}
	}
	return false, "no upstream's holder has answered and no fixed share may be used"
}

// Leave marks this VM as leaving and gives its seat back.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving {
		return
	}
	n.leaving = true
	n.members.Leave()
	for _, name := range n.names {
		// The share ends before the record that gives the seat back is sent.
		n.get(name).borrower.Share(0)
	}
	if c, ok := n.claims.GiveSeat(); ok {
		n.gave = &c
	}
	n.beat = time.Time{}
}

// Left says whether nothing is held here any more, or nobody else is there to
// take it.
func (n *Node) Left(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gave != nil {
		return false
	}
	others := false
	for _, m := range n.members.Members(now) {
		others = others || m.VM != n.c.VM && (m.State == 0)
	}
	for _, name := range n.names {
		c, _ := n.claims.Claimed(name)
		if others && c.VM == n.c.VM && c.Boot == n.c.Boot {
			return false
		}
	}
	return true
}

// Take takes a slot at an upstream, with tokens of memory.
func (n *Node) Take(now time.Time, name string, tokens int) (boot uint64, ok bool) {
	if u := n.get(name); u != nil {
		return u.borrower.Take(now, tokens)
	}
	return 0, false
}

// Done gives a slot back.
func (n *Node) Done(name string, boot uint64, tokens int, o Outcome) {
	if u := n.get(name); u != nil {
		u.borrower.Done(boot, tokens, o)
	}
}

// Turned takes in evidence that an upstream is cold, and returns whether it is
// news.
func (n *Node) Turned(name string, boot uint64) bool {
	u := n.get(name)
	return u != nil && u.borrower.Turned(boot)
}

// View gives an upstream as it is known now.
func (n *Node) View(now time.Time, name string) View {
	if u := n.get(name); u != nil {
		return u.borrower.View(now)
	}
	return View{}
}

// Want says how many requests wait here that could go to an upstream.
func (n *Node) Want(name string, most int) {
	if u := n.get(name); u != nil {
		u.borrower.Want(most)
	}
}
