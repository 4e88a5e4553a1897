package coordinator

import (
	"slices"

	"github.com/heathervane/heathervane/entry/process/lender"
	"github.com/heathervane/heathervane/entry/process/member"
)

// A deal is the fixed shares of an upstream's seats, remembered. Worked out at
// each tick, it was nine tenths of a node's processor time at 330 VMs: a sort
// of all seats for each upstream and seat, twenty times a second.
type deal struct {
	slots, seats int
	shares       []int
}

// share is one seat's.
func (d *deal) share(name string, slots, seats, seat int) int {
	if d.shares == nil || d.slots != slots || d.seats != seats {
		d.slots, d.seats, d.shares = slots, seats, lender.Deal(name, slots, seats)
	}
	if seat < 0 || seat >= len(d.shares) {
		return 0
	}
	return d.shares[seat]
}

// A duty remembers which process should hold which upstream, until the members
// that may hold one change. It hashes each upstream with each member.
type duty struct {
	members []member.Member
	holders map[string]lender.Who
}

// look takes the members as they are now.
func (d *duty) look(members []member.Member) {
	may := make([]member.Member, 0, len(members))
	for _, m := range members {
		if member.CanHold(m) {
			may = append(may, member.Member{VM: m.VM, Boot: m.Boot})
		}
	}
	if d.holders != nil && slices.Equal(may, d.members) {
		return
	}
	d.members, d.holders = may, make(map[string]lender.Who)
}

// should names the process that ought to hold an upstream.
func (d *duty) should(name string) (string, uint64) {
	w, ok := d.holders[name]
	if !ok {
		w.VM, w.Boot = member.PreferredHolder(name, d.members)
		d.holders[name] = w
	}
	return w.VM, w.Boot
}
