package allocator

import (
	"time"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// DatagramType is the first byte of a datagram of this package, by which it is told from
// others on the same socket. No CBOR map begins with it.
const DatagramType = 'a'

// A message is one datagram. What a VM says that asks stands above what a leader
// says; one datagram may hold both.
type message struct {
	VM   string `cbor:"1,keyasint"`
	Boot int64  `cbor:"2,keyasint"`
	// Asks ask for places, Still says that these asks are waited for, Left that
	// these are not any more.
	Asks  []wireAsk `cbor:"3,keyasint,omitempty"`
	Still []uint64  `cbor:"4,keyasint,omitempty"`
	Left  []uint64  `cbor:"5,keyasint,omitempty"`
	// Began and Ended are places whose first event has come, and that are free.
	Began []uint64 `cbor:"6,keyasint,omitempty"`
	Ended []uint64 `cbor:"7,keyasint,omitempty"`
	// Kept are all places that the sender has from the receiver; Whole says so
	// where there are none.
	Kept  []uint64 `cbor:"8,keyasint,omitempty"`
	Whole bool     `cbor:"9,keyasint,omitempty"`
	// Places are what the sender has, for a receiver that did not give it.
	Places []wirePlace `cbor:"10,keyasint,omitempty"`
	// Told are groups in which the receiver has now been told of all places.
	Told []wireGroup `cbor:"26,keyasint,omitempty"`
	// Events are what it has found out about upstreams, and Limits those that they
	// have named.
	Events []wireEvent `cbor:"11,keyasint,omitempty"`
	Limits []wireLimit `cbor:"27,keyasint,omitempty"`

	// Grants and Refusals answer asks, Waits says that these wait, Moved that
	// others decide on these, and Elsewhere that they are better asked for there.
	Grants    []wireGrant     `cbor:"16,keyasint,omitempty"`
	Refusals  []wireRefusal   `cbor:"17,keyasint,omitempty"`
	Waits     []uint64        `cbor:"18,keyasint,omitempty"`
	Moved     []uint64        `cbor:"19,keyasint,omitempty"`
	Elsewhere []wireElsewhere `cbor:"20,keyasint,omitempty"`
	// Again are asks of which the sender does not know.
	Again []uint64 `cbor:"25,keyasint,omitempty"`
	// Want are places of which the sender does not know what they take.
	Want []uint64 `cbor:"21,keyasint,omitempty"`
	// Collect asks for all places in these groups: the sender begins to lead.
	Collect []wireGroup `cbor:"22,keyasint,omitempty"`
	// Stops says that the sender no longer leads any group.
	Stops bool `cbor:"23,keyasint,omitempty"`
	// Summaries are of the groups that the sender leads.
	Summaries []wireSummary `cbor:"24,keyasint,omitempty"`
}

type wireGroup struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Zone    string
}

func (g Group) wire() wireGroup { return wireGroup{Service: g.Service, Zone: g.Zone} }

func (g wireGroup) group() Group { return Group{g.Service, g.Zone} }

// wireAsk is a request for a place. Clocks of VMs differ, so that its times are
// milliseconds from its sending.
type wireAsk struct {
	_              struct{} `cbor:",toarray"`
	ID             uint64
	Group          wireGroup
	Hops           int
	Prompt, Output int
	Pause          float32
	// Arrived is how long ago it came; Leaves and Stop are 0 where they are not
	// known.
	Arrived, Objective, Deadline, Leaves, Stop int64
	Priority                                   int
	Team, Zone                                 string
	Tried, Avoid                               []string
}

// unknown is the wire form of a time that is not known: one that is has passed
// or comes, and is hardly ever this very millisecond.
const unknown = 0

func until(now, at time.Time) int64 {
	if at.IsZero() {
		return unknown
	}
	if ms := at.Sub(now).Milliseconds(); ms != unknown {
		return ms
	}
	return 1
}

func moment(now time.Time, ms int64) time.Time {
	if ms == unknown {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

func (o *ask) wire(now time.Time) wireAsk {
	c := &o.call
	return wireAsk{
		ID: o.id, Group: o.group.wire(), Hops: o.hops, Prompt: c.Requirements.Prompt, Output: c.Requirements.Output, Pause: float32(c.Requirements.MaxPause),
		Arrived: until(now, c.Requirements.Arrived), Objective: until(now, c.Requirements.Objective), Deadline: until(now, c.Requirements.Deadline),
		Leaves: until(now, c.Requirements.CallerTimeout), Stop: until(now, c.StopsAt),
		Priority: c.Priority, Team: c.Team, Zone: c.Zone, Tried: c.Requirements.Tried, Avoid: c.Unreachable,
	}
}

func (w *wireAsk) call(now time.Time) scheduler.Request {
	return scheduler.Request{
		Priority: w.Priority, Team: w.Team, Zone: w.Zone, Unreachable: w.Avoid, StopsAt: moment(now, w.Stop),
		Requirements: placer.Request{
			Prompt: w.Prompt, Output: w.Output, MaxPause: float64(w.Pause), Arrived: moment(now, w.Arrived), Objective: moment(now, w.Objective),
			Deadline: moment(now, w.Deadline), CallerTimeout: moment(now, w.Leaves), Tried: w.Tried,
		},
	}
}

// wireUpstream is an upstream of a place, and the memory set aside there.
type wireUpstream struct {
	_           struct{} `cbor:",toarray"`
	ID, Address string
	Tokens      int
}

type wireGrant struct {
	_              struct{} `cbor:",toarray"`
	ID             uint64
	Main           wireUpstream
	Helpers        []wireUpstream
	Read, Estimate float32
	// Streams, Context and Unread are the work at the main upstream.
	Streams, Context int
	Unread           float32
	Long             bool
	Waits            []uint32
}

type wireRefusal struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Code  string
	After int64
	Waits []uint32
}

type wireElsewhere struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Zone string
}

// wirePlace is what a place takes.
type wirePlace struct {
	_              struct{} `cbor:",toarray"`
	ID             uint64
	Group          wireGroup
	Prompt, Output int
	Pause, Read    float32
	Long, Began    bool
	Main           string
	Helpers        []string
	Tokens         []int
}

func (p *Placement) wire() wirePlace {
	w := &p.work
	return wirePlace{
		ID: p.id, Group: p.group.wire(), Prompt: w.Prompt, Output: w.Output, Pause: float32(w.MaxPause), Read: float32(w.Prefill),
		Long: w.Long, Began: p.began, Main: w.Main, Helpers: w.Helpers, Tokens: w.ReservedTokens,
	}
}

func (w *wirePlace) work() scheduler.Workload {
	return scheduler.Workload{
		Prompt: w.Prompt, Output: w.Output, MaxPause: float64(w.Pause), Prefill: float64(w.Read), Long: w.Long,
		Main: w.Main, Helpers: w.Helpers, ReservedTokens: w.Tokens,
	}
}

type wireEvent struct {
	_         struct{} `cbor:",toarray"`
	Finding   int
	Upstreams []string
	For       int64
}

func wireOf(e tracker.Event) wireEvent {
	return wireEvent{Finding: int(e.Finding), Upstreams: e.Upstreams, For: e.For.Milliseconds()}
}

func (w *wireEvent) event() tracker.Event {
	return tracker.Event{Finding: tracker.Finding(w.Finding), Upstreams: w.Upstreams, For: time.Duration(w.For) * time.Millisecond}
}

// wireLimit is what an upstream has said of its limit, and how many milliseconds ago.
type wireLimit struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Limited  bool
	Rate     float64
	Age      int64
}

func limitOf(now time.Time, upstream string, l tracker.Limit) wireLimit {
	return wireLimit{Upstream: upstream, Limited: l.Limited, Rate: l.Rate, Age: max(0, now.Sub(l.AsOf).Milliseconds())}
}

func (w *wireLimit) limit(now time.Time) tracker.Limit {
	return tracker.Limit{Limited: w.Limited, Rate: w.Rate, AsOf: now.Add(-time.Duration(max(0, w.Age)) * time.Millisecond)}
}

// wireSummary is a group's state.
type wireSummary struct {
	_       struct{} `cbor:",toarray"`
	Group   wireGroup
	Engines int
	Free    int
	Reading float32
}

// wireWaits are waits in milliseconds, by reason.
func wireWaits(w scheduler.WaitTimes) []uint32 {
	out := make([]uint32, 0, len(w))
	last := 0
	for i, d := range w {
		out = append(out, uint32(d.Milliseconds()))
		if d >= time.Millisecond {
			last = i + 1
		}
	}
	return out[:last]
}

func waitsOf(wire []uint32) (w scheduler.WaitTimes) {
	for i := range min(len(wire), len(w)) {
		w[i] = time.Duration(wire[i]) * time.Millisecond
	}
	return w
}
