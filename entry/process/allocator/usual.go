package allocator

import "github.com/heathervane/heathervane/entry/request/placer"

// weight is that of one place in the mean of what upstreams have under way.
const weight = 0.05

// A usual is what an upstream has under way in the mean when it is chosen.
type usual struct {
	streams, context float64
	// stake is that of the requests whose callers bear the shortest pause: most
	// streams are theirs.
	pause float64
	stake placer.PauseWeights
}

// note adds the upstream of one place, and what the request has at stake.
func (u *usual) note(l placer.Load, a placer.Request) {
	u.streams += weight * (float64(l.Streams) - u.streams)
	u.context += weight * (float64(l.ContextTokens) - u.context)
	if u.pause == 0 || a.MaxPause <= u.pause {
		u.pause, u.stake = a.MaxPause, a.PauseWeights()
	}
}

// load is that as a load.
func (u *usual) load() (l placer.Load) {
	l.Streams, l.ContextTokens = int(u.streams), int(u.context)
	for i, n := range u.stake {
		l.PauseWeights[i] = n * int32(l.Streams)
	}
	return l
}
