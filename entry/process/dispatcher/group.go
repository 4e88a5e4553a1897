package dispatcher

import (
	"net/http"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/lender"
	"github.com/heathervane/heathervane/entry/request/admitter"
	"github.com/heathervane/heathervane/entry/request/grouper"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/router"
	"github.com/heathervane/heathervane/entry/version/viewer"
)

// silence is how old an engine's last report is when the engine no longer counts
// for groups. It is well above the time in which a new holder takes an upstream
// over, when nobody reports on a healthy engine.
const silence = 15 * time.Second

// tooLarge refuses a prompt that needs a group and that no group of the pool's
// engines can hold: it would wait to its limit for nothing.
func (p *pool) tooLarge(k admitter.Request) *refuser.Refusal {
	if !p.needsGroup(k) || len(p.upstreams) == 0 {
		return nil
	}
	var all, heard []router.Candidate
	for _, u := range p.upstreams {
		c := router.Candidate{Name: u.Name, KVCapacity: u.Memory, FreeSlots: 1, Slots: 1}
		all = append(all, c)
		if p.dispatcher.supplier.Supply(u.Name).Age < silence {
			heard = append(heard, c)
		}
	}
	if _, err := grouper.Plan(k.PromptTokens, k.MaxOutput, all, groupShare()); err != nil {
		return refuser.New(http.StatusUnprocessableEntity, "too_large", "%s", err)
	}
	if _, err := grouper.Plan(k.PromptTokens, k.MaxOutput, heard, groupShare()); err != nil {
		return refuser.New(http.StatusServiceUnavailable, "engines_away", "with the engines that respond now: %s", err).WithRetryAfter(silence)
	}
	return nil
}

// giveUpGroups refuses what waits for a group that can no longer be had, because
// an engine of it has died meanwhile.
func (p *pool) giveUpGroups() {
	for id, w := range p.waiting {
		if refusal := p.tooLarge(w.call.Ask); refusal != nil {
			p.admitter.Remove(id)
			p.reply(id, w, reply{refusal: refusal})
		}
	}
}

func (p *pool) needsGroup(k admitter.Request) bool {
	if k.PromptTokens == 0 {
		return false
	}
	return !slices.ContainsFunc(p.upstreams, func(u viewer.Upstream) bool {
		return lender.Lendable(u.Memory) >= k.PromptTokens+k.MaxOutput
	})
}

// groupShare is the part of an engine's memory that one part of a group may
// take: what can be reserved.
func groupShare() float64 {
	const whole = 1000
	return float64(lender.Lendable(whole)) / whole
}

// placeGroup takes all places of a group or none. The order is that of the
// names on every VM, so that of two groups that want the same engines one gets
// its first engine first and the other waits there with nothing in hand.
func (p *pool) placeGroup(now time.Time, k admitter.Request, cs []router.Candidate) *Grant {
	plan, err := grouper.Plan(k.PromptTokens, k.MaxOutput, cs, groupShare())
	if err != nil {
		p.holdBack(now, cs)
		return nil
	}
	g := &Grant{}
	for i, part := range plan {
		memory := part.Tokens
		if i == len(plan)-1 {
			memory += k.MaxOutput
		}
		taken, ok := p.take(part.Name, part.Tokens, memory)
		if !ok {
			p.undo(now, g, plan, k.MaxOutput, cs)
			return nil
		}
		g.Parts = append(g.Parts, taken)
	}
	// Only what is really sent counts: a group that tries again every few
	// milliseconds would else take its own tries for load, and find no room.
	for _, part := range g.Parts {
		p.note(part.Upstream.Name, sending{at: now, tokens: part.Tokens})
	}
	p.hold = hold{}
	return g
}

// undo gives back what a group got that did not get all, and asks for all of it
// at once: asked for one after another, the first part's memory would be lent
// to somebody else by the time that the last one's comes.
func (p *pool) undo(now time.Time, g *Grant, plan []grouper.Part, output int, cs []router.Candidate) {
	g.Done(Cancelled)
	for i, part := range plan {
		if i == len(plan)-1 {
			part.Tokens += output
		}
		p.dispatcher.supplier.Need(part.Name, part.Tokens)
	}
	p.holdBack(now, cs)
}

func (p *pool) holdBack(now time.Time, cs []router.Candidate) {
	if now.Before(p.hold.until) {
		return
	}
	p.hold = hold{until: now.Add(holdTime)}
	for _, c := range cs {
		p.hold.names = append(p.hold.names, c.Name)
	}
}
