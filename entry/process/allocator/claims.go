package allocator

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/deferrer"
	"github.com/heathervane/heathervane/entry/process/scheduler"
)

// wireFingerprint identifies the caller's request of an allocation request.
type wireFingerprint struct {
	_           struct{} `cbor:",toarray"`
	ID          uint64
	Fingerprint uint64
}

// wireClaim is a claim in a group. Due is in milliseconds relative to sending.
type wireClaim struct {
	_           struct{} `cbor:",toarray"`
	Group       wireGroup
	Fingerprint uint64
	Team        string
	Priority    int
	Work        float32
	Size        int
	Due         int64
}

// wireUsedClaim is a claim that has been used.
type wireUsedClaim struct {
	_           struct{} `cbor:",toarray"`
	Group       wireGroup
	Fingerprint uint64
}

func newWireClaim(now time.Time, g Group, c *deferrer.Claim) wireClaim {
	return wireClaim{
		Group: g.wire(), Fingerprint: c.Fingerprint, Team: c.Team, Priority: c.Priority, Work: float32(c.Work), Size: c.Size,
		Due: c.Due.Sub(now).Milliseconds(),
	}
}

func (w *wireClaim) claim(now time.Time) deferrer.Claim {
	return deferrer.Claim{
		Fingerprint: w.Fingerprint, Team: w.Team, Priority: w.Priority, Work: float64(w.Work), Size: w.Size,
		Due: now.Add(time.Duration(w.Due) * time.Millisecond),
	}
}

// fingerprintOf returns the fingerprint of a request in the message; 0 if the sender named
// none.
func (m *message) fingerprintOf(id uint64) uint64 {
	for _, w := range m.Fingerprints {
		if w.ID == id {
			return w.Fingerprint
		}
	}
	return 0
}

// claimKeepers returns the groups in which a claim of g is kept besides g, with the VMs
// that lead them: the VM that leads g next, and the leaders of the service's other
// groups, as the caller may come back in another zone.
func (a *Allocator) claimKeepers(now time.Time, g Group) map[Group]netip.AddrPort {
	keepers := make(map[Group]netip.AddrPort)
	if next, ok := a.nextLeader(now, g); ok {
		keepers[g] = next
	}
	if g.Zone == "" {
		return keepers
	}
	for zone := range a.deps.Tracker.CountUsableByZone(g.Service) {
		other := Group{g.Service, zone}
		if m, self := a.leader(now, other); other != g && !self {
			keepers[other] = m.Address
		}
	}
	return keepers
}

// nextLeader returns the member that leads a group if this VM does not.
func (a *Allocator) nextLeader(now time.Time, g Group) (netip.AddrPort, bool) {
	return a.bestMember(g, func(m *Member) bool { return !now.Before(a.suspects[m.Address].until) })
}

// firstRanked returns the member that ranks first in a group, if this VM does not.
func (a *Allocator) firstRanked(g Group) (netip.AddrPort, bool) {
	if a.rankIn(g) == 0 {
		return netip.AddrPort{}, false
	}
	return a.bestMember(g, func(*Member) bool { return true })
}

// bestMember returns the first-ranked of the other members that stay and are eligible.
func (a *Allocator) bestMember(g Group, eligible func(*Member) bool) (netip.AddrPort, bool) {
	members := a.deps.Members()
	best := -1
	for i := range members {
		o := &members[i]
		if !o.Leaving && eligible(o) && (best < 0 || o.Outranks(&members[best], g)) {
			best = i
		}
	}
	if best < 0 {
		return netip.AddrPort{}, false
	}
	return members[best].Address, true
}

// shareClaim sends a claim to those who keep it besides this VM: the VM that is refused,
// whose address is zero if it is this one, and the claim's keepers.
func (a *Allocator) shareClaim(now time.Time, g Group, refused netip.AddrPort, c *deferrer.Claim) {
	if c == nil {
		return
	}
	a.count("claims.made")
	if refused.IsValid() {
		out := a.outgoingTo(refused)
		out.Claims = append(out.Claims, newWireClaim(now, g, c))
	}
	for in, at := range a.claimKeepers(now, g) {
		if at != refused || in != g {
			out := a.outgoingTo(at)
			out.Claims = append(out.Claims, newWireClaim(now, in, c))
		}
	}
	a.eachOwnGroup(now, g, func(l *ledGroup) { l.scheduler.AddClaim(*c) })
}

// shareUsedClaim tells those who keep a claim that it was used; fingerprint is 0 if none
// was.
func (a *Allocator) shareUsedClaim(now time.Time, g Group, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	a.count("claims.used")
	for in, at := range a.claimKeepers(now, g) {
		out := a.outgoingTo(at)
		out.UsedClaims = append(out.UsedClaims, wireUsedClaim{Group: in.wire(), Fingerprint: fingerprint})
	}
	delete(a.promises, fingerprint)
	a.eachOwnGroup(now, g, func(l *ledGroup) { l.scheduler.EndClaim(fingerprint) })
}

// eachOwnGroup calls f for the service's other groups that this VM leads.
func (a *Allocator) eachOwnGroup(now time.Time, g Group, f func(*ledGroup)) {
	for other, l := range a.ledGroups {
		if other != g && other.Service == g.Service && a.isLeader(now, other) {
			f(l)
		}
	}
}

// applyClaims records what another VM has sent about claims.
func (a *Allocator) applyClaims(now time.Time, from netip.AddrPort, m *message) {
	for i := range m.Claims {
		w := &m.Claims[i]
		if !a.ledGroupOf(w.Group.group()).scheduler.AddClaim(w.claim(now)) {
			out := a.outgoingTo(from)
			out.UsedClaims = append(out.UsedClaims, wireUsedClaim{Group: w.Group, Fingerprint: w.Fingerprint})
		}
	}
	for _, w := range m.UsedClaims {
		delete(a.promises, w.Fingerprint)
		if l, ok := a.ledGroups[w.Group.group()]; ok {
			l.scheduler.EndClaim(w.Fingerprint)
		}
	}
}

// A promise is the claim of a caller that this VM has told when to come back.
type promise struct {
	group Group
	claim deferrer.Claim
}

// recordPromise records the claim of a request of this VM that was refused.
func (a *Allocator) recordPromise(o *request) {
	l, ok := a.ledGroups[o.group]
	if !ok || o.spec.Fingerprint == 0 {
		return
	}
	if c, ok := l.scheduler.Claim(o.spec.Fingerprint); ok {
		a.promises[c.Fingerprint] = promise{o.group, c}
	}
}

// reportPromises sends the leaders the claims of this VM's callers. The leader that made a
// claim may be gone or no longer lead, and what it has sent to others may be lost.
func (a *Allocator) reportPromises(now time.Time) {
	if now.Sub(a.promisesSentAt) < reportInterval {
		return
	}
	a.promisesSentAt = now
	for f, p := range a.promises {
		if p.claim.Expired(now) {
			delete(a.promises, f)
			continue
		}
		targets := a.leadersOf(now, p.group)
		if first, ok := a.firstRanked(p.group); ok && !slices.Contains(targets, first) {
			// This VM may skip a leader that others use.
			targets = append(targets, first)
		}
		for _, at := range targets {
			out := a.outgoingTo(at)
			out.Claims = append(out.Claims, newWireClaim(now, p.group, &p.claim))
		}
	}
}

// sendClaims sends the claims of a group that this VM keeps to a VM that leads it.
func (a *Allocator) sendClaims(now time.Time, to netip.AddrPort, g Group) {
	l, ok := a.ledGroups[g]
	if !ok {
		return
	}
	all := l.scheduler.Claims()
	for i := range all {
		out := a.outgoingTo(to)
		out.Claims = append(out.Claims, newWireClaim(now, g, &all[i]))
	}
}

// logDecision logs a decision of a group's scheduler.
func (a *Allocator) logDecision(g Group, d *scheduler.Decision) {
	switch d.Outcome {
	case scheduler.OutcomeRefused:
		a.count("admission.refused")
	case scheduler.OutcomeAcceptedLate:
		a.count("admission.accepted_late")
	}
	a.deps.Log.Info().Str("outcome", d.Outcome).Str("fingerprint", fmt.Sprintf("%016x", d.Fingerprint)).
		Str("service", d.Service).Str("zone", g.Zone).Str("team", d.Team).Int("priority", d.Priority).Int("prompt", d.Prompt).
		Dur("waited", d.Waited).Dur("left", d.Left).Float64("ahead", d.Demand.Ahead).Float64("expected", d.Demand.Expected).
		Float64("own", d.Demand.Own).Float64("capacity", d.Demand.Capacity).Dur("earliest", d.Projection.Earliest).
		Dur("latest", d.Projection.Latest).Dur("retry_after", d.RetryAfter).Bool("claimed", d.Claimed).Msg("admission decided")
}
