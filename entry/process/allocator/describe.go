package allocator

import (
	"cmp"
	"slices"

	"github.com/heathervane/heathervane/library/describer"
)

// Describe returns the load of the groups that this VM leads or has led.
func (a *Allocator) Describe() []describer.Group {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Now()
	all := make([]describer.Group, 0, len(a.ledGroups))
	for g, l := range a.ledGroups {
		d := describer.Group{
			Service: g.Service, Zone: g.Zone, Leads: a.isLeader(now, g),
			Waiting: l.scheduler.Waiting(), Running: l.scheduler.Running(),
			Details: l.scheduler.Details(),
		}
		d.Details["upstreams lent"] = float64(len(l.lending.lender.Lent(now)))
		d.Details["upstreams borrowed"] = float64(len(l.lending.borrower.Held(now)))
		loads := l.scheduler.Loads()
		for _, u := range a.deps.Tracker.Usable(now, g.Service) {
			if g.Zone == "" || u.Zone == g.Zone {
				d.Upstreams++
				d.FreeSlots += max(0, u.Slots-loads[u.ID].Streams)
			}
		}
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b describer.Group) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return all
}
