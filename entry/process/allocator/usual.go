package allocator

import "github.com/heathervane/heathervane/entry/request/placer"

// smoothingFactor is the weight of a new placement in the moving averages.
const smoothingFactor = 0.05

// An averageLoad is the moving average of the load of upstreams at the time
// they are chosen.
type averageLoad struct {
	streams, context float64
	// shortestPause is the shortest pause that the caller of any request
	// tolerated, and pauseWeights are those of such requests: most streams
	// belong to them.
	shortestPause float64
	pauseWeights  placer.PauseWeights
}

// add includes the load of the upstream chosen for a request, and the request's
// pause weights.
func (u *averageLoad) add(l placer.Load, a placer.Request) {
	u.streams += smoothingFactor * (float64(l.Streams) - u.streams)
	u.context += smoothingFactor * (float64(l.ContextTokens) - u.context)
	if u.shortestPause == 0 || a.MaxPause <= u.shortestPause {
		u.shortestPause, u.pauseWeights = a.MaxPause, a.PauseWeights()
	}
}

// load converts the average to a placer.Load.
func (u *averageLoad) load() (l placer.Load) {
	l.Streams, l.ContextTokens = int(u.streams), int(u.context)
	for i, n := range u.pauseWeights {
		l.PauseWeights[i] = n * int32(l.Streams)
	}
	return l
}
