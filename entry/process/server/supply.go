package server

import (
	"slices"

	"github.com/heathervane/heathervane/entry/process/coordinator"
	"github.com/heathervane/heathervane/entry/process/dispatcher"
	"github.com/heathervane/heathervane/entry/process/member"
)

// supply shows the coordinator to the dispatcher.
type supply struct {
	coordinator *coordinator.Coordinator
}

// Supply is what this VM may use of an upstream.
func (s supply) Supply(upstream string) dispatcher.Supply {
	v := s.coordinator.View(upstream)
	return dispatcher.Supply{
		Free: v.Free, Slots: v.Slots, Mine: v.Mine, Cold: v.Cold, Boot: v.Boot,
		Running: v.Running, Waiting: v.Waiting, Used: v.Used, Memory: v.Memory,
		PrefillLeft: v.PrefillLeft, Age: v.Age,
	}
}

// Take takes a place.
func (s supply) Take(upstream string, tokens int) (dispatcher.Slot, bool) {
	slot, ok := s.coordinator.Take(upstream, tokens)
	if !ok {
		return nil, false
	}
	return place{slot}, true
}

// Want tells how many more places could be used.
func (s supply) Want(upstream string, n int) { s.coordinator.Want(upstream, n) }

// Need asks for memory beside what is held.
func (s supply) Need(upstream string, tokens int) { s.coordinator.Need(upstream, tokens) }

// VMs are the entry VMs that live.
func (s supply) VMs() []string {
	var vms []string
	for _, m := range s.coordinator.Members() {
		if m.State == member.Live {
			vms = append(vms, m.VM)
		}
	}
	slices.Sort(vms)
	return vms
}

// place is a slot of the coordinator's.
type place struct {
	slot *coordinator.Slot
}

// Boot is the upstream's boot number that it was lent under.
func (p place) Boot() uint64 { return p.slot.Boot }

// Live tells whether work may still be sent on it.
func (p place) Live() bool { return p.slot.Live() }

// Done gives it back.
func (p place) Done(o dispatcher.Outcome) { p.slot.Done(outcomes[o]) }

var outcomes = map[dispatcher.Outcome]coordinator.Outcome{
	dispatcher.Completed: coordinator.Completed,
	dispatcher.Cut:       coordinator.Cut,
	dispatcher.Refused:   coordinator.Refused,
	dispatcher.Cancelled: coordinator.Cancelled,
}
