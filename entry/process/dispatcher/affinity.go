package dispatcher

import (
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/splitter"
	"github.com/heathervane/heathervane/entry/request/admitter"
	"github.com/heathervane/heathervane/entry/request/router"
	"github.com/heathervane/heathervane/entry/version/viewer"
)

// affinityEvery is how often the affinity is worked out anew. Members and loads
// change over seconds.
const affinityEvery = time.Second

// An affinity says which upstreams a VM prefers, and which are set apart for
// long prompts. All VMs that know the same members reach nearly the same, so
// that no two of them take the same idle engine for theirs.
//
// In the play of the decisions, where each VM has a fixed part of the slots, both
// are worth much. On processes, where slots are lent and engines honour
// priorities, homes cost the short prompts' first token its tail and the split
// brought nothing, so that neither is the default: docs/MEASUREMENTS.md.
type affinity struct {
	way      string
	splitter *splitter.Splitter
	next     time.Time
	vms      []string
	homes    map[string]string
	// turn counts the turns of guests, and guests are this VM's in that one.
	turn   int64
	guests map[string]bool
	long   map[string]bool
	// offered are the prompt tokens asked for since the last look.
	offered     splitter.Load
	offeredFrom time.Time
}

// offer counts a request for the split.
func (a *affinity) offer(k admitter.Request) {
	if router.IsLongPrompt(k.PromptTokens) {
		a.offered.LongTokens += float64(k.PromptTokens)
		return
	}
	a.offered.ShortTokens += float64(k.PromptTokens)
}

// look works out the affinity where it is due.
func (a *affinity) look(now time.Time, live func() []string, us []viewer.Upstream) {
	if a.way == "" || a.way == Shared || now.Before(a.next) {
		return
	}
	a.next, a.guests = now.Add(affinityEvery), nil
	var names []string
	for _, u := range us {
		if u.Model != "" {
			names = append(names, u.Name)
		}
	}
	vms := live()
	a.split(now, len(vms), names)
	if a.way != Homes {
		return
	}
	a.vms = vms
	isLong := func(name string) bool { return a.long[name] }
	short := slices.DeleteFunc(slices.Clone(names), isLong)
	long := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !isLong(name) })
	a.homes = router.AssignPrimaries(vms, short)
	for name, vm := range router.AssignPrimaries(vms, long) {
		a.homes[name] = vm
	}
}

// split steps the number of engines set apart. This VM sees its own part of the
// callers; the balancer spreads them evenly, so the fleet sees that many times
// as much as there are VMs.
func (a *affinity) split(now time.Time, vms int, names []string) {
	a.long = nil
	if a.offeredFrom.IsZero() {
		a.offeredFrom = now
		return
	}
	took := now.Sub(a.offeredFrom).Seconds()
	l := splitter.Load{
		ShortTokens: a.offered.ShortTokens / took * float64(vms),
		LongTokens:  a.offered.LongTokens / took * float64(vms),
		Engines:     len(names),
	}
	a.offered, a.offeredFrom = splitter.Load{}, now
	a.long = splitter.LongPromptEngines(names, a.splitter.Update(now, l))
}

// home tells whether an upstream is this VM's home.
func (a *affinity) home(vm, upstream string) bool { return a.homes[upstream] == vm }

// guest tells whether this VM may use an upstream now that is another's home.
func (a *affinity) guest(now time.Time, vm, upstream string) bool {
	if turn := now.UnixNano() / int64(router.SecondaryTerm); turn != a.turn || a.guests == nil {
		a.turn, a.guests = turn, make(map[string]bool, len(a.homes))
	}
	is, known := a.guests[upstream]
	if !known {
		home, ok := a.homes[upstream]
		is = ok && home != vm && router.SecondaryAt(now, a.vms, upstream, home) == vm
		a.guests[upstream] = is
	}
	return is
}
