package dispatcher

import (
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/request/admitter"
	"github.com/heathervane/heathervane/entry/request/router"
	"github.com/heathervane/heathervane/entry/version/viewer"
)

// candidates are the upstreams that a request may go to, as the router sees
// them. The slice is used again by the next call.
func (p *pool) candidates(now time.Time, k admitter.Request, avoid []string) []router.Candidate {
	cs := p.scratch[:0]
	group := p.needsGroup(k)
	held := now.Before(p.hold.until) && !group
	for _, u := range p.upstreams {
		// A group that failed has all its engines to avoid, and there may be
		// no other group without one of them.
		if !group && slices.Contains(avoid, u.Name) {
			continue
		}
		if p.dispatcher.avoids(now, u.Name) {
			continue
		}
		if held && p.long(k, u) && slices.Contains(p.hold.names, u.Name) {
			continue
		}
		cs = append(cs, p.candidate(now, k, u))
	}
	p.scratch = cs
	return cs
}

// long tells whether a prompt would take a large part of an engine's memory.
func (p *pool) long(k admitter.Request, u viewer.Upstream) bool {
	const part = 4
	return u.Memory > 0 && k.PromptTokens > u.Memory/part
}

func (p *pool) candidate(now time.Time, k admitter.Request, u viewer.Upstream) router.Candidate {
	s := p.dispatcher.supplier.Supply(u.Name)
	sent, tokens := p.sentSince(u.Name, now, s.Age)
	memory := s.Memory
	if memory == 0 {
		memory = u.Memory
	}
	return router.Candidate{
		Name:               u.Name,
		Zone:               u.Zone,
		SameZone:           u.Zone == p.dispatcher.config.Zone,
		FreeSlots:          s.Free,
		Slots:              u.Slots,
		OwnStreams:         s.Mine,
		UnreportedRequests: sent,
		UnreportedTokens:   tokens,
		Running:            s.Running,
		Waiting:            s.Waiting,
		KVUsed:             s.Used,
		KVCapacity:         memory,
		PrefillLeft:        s.PrefillLeft,
		ReportAge:          s.Age,
		PrefillRate:        float64(u.Prefill),
		DecodeRate:         float64(u.Decode),
		SpeedRatio:         p.dispatcher.speeds.Speed(u.Name),
		Cold:               s.Cold,
		LongOnly:           p.affinity.long[u.Name],
		OwnPrefillLeft:     int(p.unreadAt(u.Name).Load()),
		Primary:            p.affinity.home(p.dispatcher.config.VM, u.Name),
		Secondary:          p.affinity.guest(now, p.dispatcher.config.VM, u.Name),
		PrefixCached:       k.PromptTokens >= hintTokens && p.indexer.Has(now, k.PrefixHash, u.Name, s.Boot),
	}
}

// sentSince sums what went to an upstream after its last report was made. The
// report lags: without this a burst within one report's life would all go to
// the upstream that looked idle.
func (p *pool) sentSince(name string, now time.Time, age time.Duration) (int, int) {
	list := p.sent[name]
	n, tokens := 0, 0
	for i := len(list) - 1; i >= 0 && now.Sub(list[i].at) < age; i-- {
		n++
		tokens += list[i].tokens
	}
	return n, tokens
}

// note keeps a sending, and forgets those too old to matter.
func (p *pool) note(name string, s sending) {
	list := p.sent[name]
	list = append(list, s)
	old := 0
	for s.at.Sub(list[old].at) > sentKept {
		old++
	}
	// Forgetting in large steps keeps the copying rare.
	if old > len(list)/2 {
		list = append(list[:0], list[old:]...)
	}
	p.sent[name] = list
}

// pace is what a request may expect of the pool's upstreams.
func (p *pool) pace(now time.Time, k admitter.Request) admitter.Capacity {
	return router.EstimateCapacity(p.candidates(now, k, nil), k.PromptTokens)
}
