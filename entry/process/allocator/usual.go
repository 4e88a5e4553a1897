package allocator

import "github.com/heathervane/heathervane/entry/request/placer"

// smoothingFactor is the weight of a new placement in the moving averages.
const smoothingFactor = 0.05

// An averageLoad is the moving average of the load of upstreams at the time
// they are chosen.
type averageLoad struct {
	streams, context float64
	// shortestPause is the shortest pause that any request tolerated, and stake
	// the stake of requests with that pause: most streams belong to them.
	shortestPause float64
	stake         placer.Stakes
}

// add includes the load of the upstream chosen for a request, and the request's
// stake.
func (u *averageLoad) add(l placer.Load, a placer.Ask) {
	u.streams += smoothingFactor * (float64(l.Streams) - u.streams)
	u.context += smoothingFactor * (float64(l.Context) - u.context)
	if u.shortestPause == 0 || a.Pause <= u.shortestPause {
		u.shortestPause, u.stake = a.Pause, a.Stake()
	}
}

// load converts the average to a placer.Load.
func (u *averageLoad) load() (l placer.Load) {
	l.Streams, l.Context = int(u.streams), int(u.context)
	for i, n := range u.stake {
		l.Stakes[i] = n * int32(l.Streams)
	}
	return l
}
