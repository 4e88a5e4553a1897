package allocator

import "github.com/heathervane/heathervane/entry/request/placer"

const (
	// weight is that of one place in the mean of what upstreams have under way.
	weight = 0.05
	// mostStreams bounds it: an upstream that is taken for nearly full gets
	// nothing at all.
	mostStreams = 5
)

// A usual is what an upstream has under way in the mean when it is chosen.
type usual struct {
	streams, context float64
	stake            placer.Stakes
}

// note adds the upstream of one place, and what the request has at stake.
func (u *usual) note(l placer.Load, s placer.Stakes) {
	u.streams += weight * (float64(l.Streams) - u.streams)
	u.context += weight * (float64(l.Context) - u.context)
	u.stake = s
}

// load is as much of it as an upstream may be taken to have.
func (u *usual) load() (l placer.Load) {
	streams := min(mostStreams, u.streams)
	l.Streams = int(streams)
	if u.streams > 0 {
		l.Context = int(u.context * streams / u.streams)
	}
	for i, n := range u.stake {
		l.Stakes[i] = n * int32(l.Streams)
	}
	return l
}
