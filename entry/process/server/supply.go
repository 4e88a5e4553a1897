package server

import (
	"slices"

	"github.com/heathervane/heathervane/entry/process/coordinator"
	"github.com/heathervane/heathervane/entry/process/dispatcher"
	"github.com/heathervane/heathervane/entry/process/member"
)

// coordinatorSupply adapts the coordinator to the dispatcher.
type coordinatorSupply struct {
	coordinator *coordinator.Coordinator
}

// Supply returns what this VM may use of an upstream.
func (s coordinatorSupply) Supply(upstream string) dispatcher.Supply {
	v := s.coordinator.View(upstream)
	return dispatcher.Supply{
		Free: v.Free, Slots: v.Slots, Mine: v.Mine, Cold: v.Cold, Boot: v.Boot,
		Running: v.Running, Waiting: v.Waiting, Used: v.Used, Memory: v.Memory,
		PrefillLeft: v.PrefillLeft, Age: v.Age,
	}
}

// Take acquires a slot on an upstream.
func (s coordinatorSupply) Take(upstream string, tokens int) (dispatcher.Slot, bool) {
	slot, ok := s.coordinator.Take(upstream, tokens)
	if !ok {
		return nil, false
	}
	return lentSlot{slot}, true
}

// Want tells the coordinator how many more slots could be used.
func (s coordinatorSupply) Want(upstream string, n int) { s.coordinator.Want(upstream, n) }

// Need asks the coordinator for memory in addition to what is held.
func (s coordinatorSupply) Need(upstream string, tokens int) { s.coordinator.Need(upstream, tokens) }

// VMs returns the live entry VMs, sorted by name.
func (s coordinatorSupply) VMs() []string {
	var vms []string
	for _, m := range s.coordinator.Members() {
		if m.State == member.Live {
			vms = append(vms, m.VM)
		}
	}
	slices.Sort(vms)
	return vms
}

// lentSlot adapts a coordinator slot to the dispatcher.
type lentSlot struct {
	slot *coordinator.Slot
}

// Boot returns the boot number of the upstream for which the slot was lent.
func (p lentSlot) Boot() uint64 { return p.slot.Boot }

// Live reports whether requests may still be sent on the slot.
func (p lentSlot) Live() bool { return p.slot.Live() }

// Done returns the slot with the outcome of its request.
func (p lentSlot) Done(o dispatcher.Outcome) { p.slot.Done(outcomes[o]) }

var outcomes = map[dispatcher.Outcome]coordinator.Outcome{
	dispatcher.Completed: coordinator.Completed,
	dispatcher.Cut:       coordinator.Cut,
	dispatcher.Refused:   coordinator.Refused,
	dispatcher.Cancelled: coordinator.Cancelled,
}
