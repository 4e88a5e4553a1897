package allocator

import "time"

// wireWithdrawal asks a VM for a placement back, which a run of its process has
// requested.
type wireWithdrawal struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Boot int64
}

// withdrawPlacement passes the wish of a leader for a placement on to its holder, once.
// The holder need not comply. Two leaders may ask for the same placement, and messages may
// come late: nothing is passed on if the first event has come, or the placement is free.
func (a *Allocator) withdrawPlacement(id uint64) {
	p, ok := a.placements[id]
	if !ok || p.started || p.withdrawn {
		return
	}
	p.withdrawn = true
	a.count("withdrawals.received")
	if p.onWithdrawal != nil {
		go p.onWithdrawal()
	}
}

// OnWithdrawal sets what to call, in a goroutine of its own, if the leader asks for the
// placement back before it has started, because more urgent requests wait. The holder may
// release it, or keep it.
func (p *Placement) OnWithdrawal(call func()) {
	p.allocator.locked(func(time.Time) {
		if p.started || p.released {
			return
		}
		p.onWithdrawal = call
		if p.withdrawn {
			go call()
		}
	})
}
