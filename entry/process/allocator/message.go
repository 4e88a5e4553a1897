package allocator

import (
	"time"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// DatagramType is the first byte of this package's datagrams. It tells them
// apart from other messages on the same socket, which are CBOR maps and never
// start with this byte.
const DatagramType = 'a'

// A message is the content of one datagram. The first fields are addressed to a
// leader, the others come from a leader; one message may contain both.
type message struct {
	VM   string `cbor:"1,keyasint"`
	Boot int64  `cbor:"2,keyasint"`
	// Requests ask for placements. StillWaiting lists requests for which the
	// sender still waits, and Cancelled those for which it no longer does.
	Requests     []wireRequest `cbor:"3,keyasint,omitempty"`
	StillWaiting []uint64      `cbor:"4,keyasint,omitempty"`
	Cancelled    []uint64      `cbor:"5,keyasint,omitempty"`
	// Started lists the placements whose first event has arrived, Released
	// those that are free again.
	Started  []uint64 `cbor:"6,keyasint,omitempty"`
	Released []uint64 `cbor:"7,keyasint,omitempty"`
	// Held lists all placements that the sender holds in groups that the
	// receiver leads. HeldComplete marks the list as valid, also when it is
	// empty.
	Held         []uint64 `cbor:"8,keyasint,omitempty"`
	HeldComplete bool     `cbor:"9,keyasint,omitempty"`
	// Placements describes placements of the sender that the receiver did not
	// grant.
	Placements []wirePlacement `cbor:"10,keyasint,omitempty"`
	// ReportedGroups lists the groups of which the receiver has now been sent
	// all placements.
	ReportedGroups []wireGroup `cbor:"26,keyasint,omitempty"`
	// Events are observations about upstreams, Limits the rate limits that upstreams
	// have named, and Departures the upstreams that have announced their leaving.
	// Backoffs are the upstreams that want no requests from the sender for a while.
	Events     []wireEvent     `cbor:"11,keyasint,omitempty"`
	Limits     []wireLimit     `cbor:"27,keyasint,omitempty"`
	Departures []wireDeparture `cbor:"28,keyasint,omitempty"`
	Backoffs   []wireBackoff   `cbor:"29,keyasint,omitempty"`

	// Fingerprints identify the callers' requests of Requests. Claims and UsedClaims are
	// claims that the receiver is to keep, and those that were used.
	Fingerprints []wireFingerprint `cbor:"30,keyasint,omitempty"`
	Claims       []wireClaim       `cbor:"31,keyasint,omitempty"`
	UsedClaims   []wireUsedClaim   `cbor:"32,keyasint,omitempty"`
	// Preemptible lists those of Requests whose placements may be taken back.
	Preemptible []uint64 `cbor:"36,keyasint,omitempty"`

	// Withdrawals ask for placements of the receiver back.
	Withdrawals []wireWithdrawal `cbor:"35,keyasint,omitempty"`

	// Grants and Refusals answer requests. Queued lists requests that wait,
	// NotLeading those for which the receiver must use another leader, and
	// OtherZones those that should move to the group of another zone.
	Grants     []wireGrant     `cbor:"16,keyasint,omitempty"`
	Refusals   []wireRefusal   `cbor:"17,keyasint,omitempty"`
	Queued     []uint64        `cbor:"18,keyasint,omitempty"`
	NotLeading []uint64        `cbor:"19,keyasint,omitempty"`
	OtherZones []wireOtherZone `cbor:"20,keyasint,omitempty"`
	// Starting lists requests for which the sender has no configuration or list of
	// upstreams yet, as its process has just started.
	Starting []uint64 `cbor:"45,keyasint,omitempty"`
	// UnknownRequests lists requests that the sender does not know.
	UnknownRequests []uint64 `cbor:"25,keyasint,omitempty"`
	// UnknownPlacements lists placements that the sender asks the receiver to
	// describe.
	UnknownPlacements []uint64 `cbor:"21,keyasint,omitempty"`
	// CollectGroups lists groups that the sender leads, and asks the receiver
	// to report all its placements in them.
	CollectGroups []wireGroup `cbor:"22,keyasint,omitempty"`
	// Stopping reports that the sender no longer leads any group.
	Stopping bool `cbor:"23,keyasint,omitempty"`
	// Summaries describe the load of groups that the sender leads.
	Summaries []wireSummary `cbor:"24,keyasint,omitempty"`

	// Offers, LoanRequests, LoanAnswers and Recalls move engines between groups, and
	// ForeignLoads is what one group has in progress at engines that another one uses.
	// They pass between leaders.
	Offers       []wireOffer       `cbor:"40,keyasint,omitempty"`
	LoanRequests []wireLoanRequest `cbor:"41,keyasint,omitempty"`
	LoanAnswers  []wireLoanAnswer  `cbor:"42,keyasint,omitempty"`
	Recalls      []wireRecall      `cbor:"43,keyasint,omitempty"`
	ForeignLoads []wireForeignLoad `cbor:"44,keyasint,omitempty"`
}

type wireGroup struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Zone    string
}

func (g Group) wire() wireGroup { return wireGroup{Service: g.Service, Zone: g.Zone} }

func (g wireGroup) group() Group { return Group{g.Service, g.Zone} }

// wireRequest is a request for a placement. Its times are in milliseconds
// relative to sending, because the clocks of VMs differ.
type wireRequest struct {
	_              struct{} `cbor:",toarray"`
	ID             uint64
	Group          wireGroup
	Hops           int
	Prompt, Output int
	MaxPause       float32
	// Arrived is normally negative; CallerTimeout and StopsAt are 0 if they are
	// not known.
	Arrived, Objective, Deadline, CallerTimeout, StopsAt int64
	Priority                                             int
	Team, Zone                                           string
	Tried, Unreachable                                   []string
}

// unknownTime encodes a time that is not known. A known time hardly ever equals
// the current millisecond; if it does, it is encoded as 1.
const unknownTime = 0

func millisUntil(now, at time.Time) int64 {
	if at.IsZero() {
		return unknownTime
	}
	if ms := at.Sub(now).Milliseconds(); ms != unknownTime {
		return ms
	}
	return 1
}

func timeFromMillis(now time.Time, ms int64) time.Time {
	if ms == unknownTime {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

func (o *request) wire(now time.Time) wireRequest {
	c := &o.spec
	return wireRequest{
		ID: o.id, Group: o.group.wire(), Hops: o.hops, Prompt: c.Requirements.Prompt, Output: c.Requirements.Output, MaxPause: float32(c.Requirements.MaxPause),
		Arrived: millisUntil(now, c.Requirements.Arrived), Objective: millisUntil(now, c.Requirements.Objective), Deadline: millisUntil(now, c.Requirements.Deadline),
		CallerTimeout: millisUntil(now, c.Requirements.CallerTimeout), StopsAt: millisUntil(now, c.StopsAt),
		Priority: c.Priority, Team: c.Team, Zone: c.Zone, Tried: c.Requirements.Tried, Unreachable: c.Unreachable,
	}
}

func (w *wireRequest) spec(now time.Time) scheduler.Request {
	return scheduler.Request{
		Priority: w.Priority, Team: w.Team, Zone: w.Zone, Unreachable: w.Unreachable, StopsAt: timeFromMillis(now, w.StopsAt),
		Requirements: placer.Request{
			Prompt: w.Prompt, Output: w.Output, MaxPause: float64(w.MaxPause), Arrived: timeFromMillis(now, w.Arrived), Objective: timeFromMillis(now, w.Objective),
			Deadline: timeFromMillis(now, w.Deadline), CallerTimeout: timeFromMillis(now, w.CallerTimeout), Tried: w.Tried,
		},
	}
}

// wireUpstream is an upstream of a placement, and the memory in tokens to be
// set aside there.
type wireUpstream struct {
	_              struct{} `cbor:",toarray"`
	ID, Address    string
	ReservedTokens int
}

type wireGrant struct {
	_                 struct{} `cbor:",toarray"`
	ID                uint64
	Main              wireUpstream
	Helpers           []wireUpstream
	Prefill, Estimate float32
	// Streams, ContextTokens and PendingPrefill are the load of the main
	// upstream.
	Streams, ContextTokens int
	PendingPrefill         float32
	Long                   bool
	Waits                  []uint32
}

type wireRefusal struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	Code       string
	RetryAfter int64
	Waits      []uint32
}

type wireOtherZone struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Zone string
}

// wirePlacement describes the capacity that a placement uses.
type wirePlacement struct {
	_                 struct{} `cbor:",toarray"`
	ID                uint64
	Group             wireGroup
	Prompt, Output    int
	MaxPause, Prefill float32
	Long, Started     bool
	Main              string
	Helpers           []string
	ReservedTokens    []int
}

func (p *Placement) wire() wirePlacement {
	w := &p.workload
	return wirePlacement{
		ID: p.id, Group: p.group.wire(), Prompt: w.Prompt, Output: w.Output, MaxPause: float32(w.MaxPause), Prefill: float32(w.Prefill),
		Long: w.Long, Started: p.started, Main: w.Main, Helpers: w.Helpers, ReservedTokens: w.ReservedTokens,
	}
}

func (w *wirePlacement) workload() scheduler.Workload {
	return scheduler.Workload{
		Prompt: w.Prompt, Output: w.Output, MaxPause: float64(w.MaxPause), Prefill: float64(w.Prefill), Long: w.Long,
		Main: w.Main, Helpers: w.Helpers, ReservedTokens: w.ReservedTokens,
	}
}

type wireEvent struct {
	_         struct{} `cbor:",toarray"`
	Finding   int
	Upstreams []string
	For       int64
}

func newWireEvent(e tracker.Event) wireEvent {
	return wireEvent{Finding: int(e.Finding), Upstreams: e.Upstreams, For: e.For.Milliseconds()}
}

func (w *wireEvent) event() tracker.Event {
	return tracker.Event{Finding: tracker.Finding(w.Finding), Upstreams: w.Upstreams, For: time.Duration(w.For) * time.Millisecond}
}

// wireLimit is the rate limit that an upstream has named, and its age in
// milliseconds.
type wireLimit struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Limited  bool
	Rate     float64
	Age      int64
}

func newWireLimit(now time.Time, upstream string, l tracker.Limit) wireLimit {
	return wireLimit{Upstream: upstream, Limited: l.Limited, Rate: l.Rate, Age: max(0, now.Sub(l.AsOf).Milliseconds())}
}

func (w *wireLimit) limit(now time.Time) tracker.Limit {
	return tracker.Limit{Limited: w.Limited, Rate: w.Rate, AsOf: now.Add(-time.Duration(max(0, w.Age)) * time.Millisecond)}
}

// wireDeparture is the departure of an upstream's process, and its age in milliseconds.
type wireDeparture struct {
	_         struct{} `cbor:",toarray"`
	Upstream  string
	StartedAt int64
	Age       int64
}

func newWireDeparture(now time.Time, d tracker.Departure) wireDeparture {
	return wireDeparture{Upstream: d.Upstream, StartedAt: d.StartedAt, Age: max(0, now.Sub(d.AnnouncedAt).Milliseconds())}
}

func (w *wireDeparture) departure(now time.Time) tracker.Departure {
	return tracker.Departure{Upstream: w.Upstream, StartedAt: w.StartedAt, AnnouncedAt: now.Add(-time.Duration(max(0, w.Age)) * time.Millisecond)}
}

// wireBackoff is for how many more milliseconds an upstream wants no requests from the
// sender.
type wireBackoff struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Left     int64
}

func newWireBackoff(upstream string, left time.Duration) wireBackoff {
	return wireBackoff{Upstream: upstream, Left: left.Milliseconds()}
}

// wireSummary is the load of a group.
type wireSummary struct {
	_           struct{} `cbor:",toarray"`
	Group       wireGroup
	Engines     int
	FreeSlots   int
	PrefillTime float32
}

// encodeWaitTimes encodes wait times in milliseconds by reason, without
// trailing zeros.
func encodeWaitTimes(w scheduler.WaitTimes) []uint32 {
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

func decodeWaitTimes(wire []uint32) (w scheduler.WaitTimes) {
	for i := range min(len(wire), len(w)) {
		w[i] = time.Duration(wire[i]) * time.Millisecond
	}
	return w
}
