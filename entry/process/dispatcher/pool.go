package dispatcher

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathervane/heathervane/entry/process/indexer"
	"github.com/heathervane/heathervane/entry/process/lender"
	"github.com/heathervane/heathervane/entry/request/admitter"
	"github.com/heathervane/heathervane/entry/request/ranker"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/router"
	"github.com/heathervane/heathervane/entry/version/viewer"
)

const (
	// holdTime is how long engines that a group waits for get no new long
	// work from this VM. Without it a stream of middling prompts takes each
	// engine's memory as soon as it is free, and no group ever finds all of
	// its engines free at once; without an end a group that cannot be placed
	// would keep engines idle.
	holdTime = 2 * time.Second
	// sentKept is how long a sending is remembered at most: reports are never
	// older while their holder lives.
	sentKept = 5 * time.Second
	// mostKnown is how many upstreams of a pool this VM uses. More places than
	// it can fill bring nothing, and each costs the exchange with its holder:
	// at 28,000 requests a second over 330 VMs one has 85 a second, which 64
	// upstreams carry many times over.
	mostKnown = 64
	// hintTokens is the shortest prompt worth a hint: below it a detour costs
	// more than reading it anew.
	hintTokens = 1000
	// mostHints bounds the hints of a pool, at some 150 bytes each.
	mostHints = 4096
)

// A pool is the waiting requests and the upstreams of one model or service.
type pool struct {
	dispatcher *Dispatcher
	admitter   *admitter.Admitter
	picker     router.Picker

	mu        sync.Mutex
	closed    bool
	upstreams []viewer.Upstream
	waiting   map[uint64]*waiter
	sent      map[string][]sending
	unread    map[string]*atomic.Int64
	hold      hold
	indexer   *indexer.PrefixIndex
	ranker    *ranker.Ranker
	affinity  affinity
	scratch   []router.Candidate
}

// A waiter is a request that waits; answer gets exactly one value.
type waiter struct {
	call   Call
	answer chan reply
}

type reply struct {
	grant   *Grant
	refusal *refuser.Refusal
}

// A sending is work sent to an upstream that its last report cannot show yet.
type sending struct {
	at     time.Time
	tokens int
}

// hold keeps long work from engines that a group waits for.
type hold struct {
	names []string
	until time.Time
}

func (p *pool) configure(vp *viewer.Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams = known(p.dispatcher.config.VM, vp)
	p.affinity.next = time.Time{}
	p.fill(p.dispatcher.now())
}

// known are the upstreams in service that this VM uses.
func known(vm string, vp *viewer.Pool) []viewer.Upstream {
	var us []viewer.Upstream
	for _, u := range vp.Upstreams {
		if !u.OutOfService {
			us = append(us, u)
		}
	}
	if len(us) <= mostKnown {
		return us
	}
	names := make([]string, 0, len(us))
	for _, u := range us {
		names = append(names, u.Name)
	}
	subset := router.Subset(vm, names, mostKnown)
	return slices.DeleteFunc(us, func(u viewer.Upstream) bool { return !slices.Contains(subset, u.Name) })
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for id, w := range p.waiting {
		p.admitter.Remove(id)
		p.reply(id, w, reply{refusal: gone()})
	}
}

func gone() *refuser.Refusal {
	return refuser.New(http.StatusNotFound, "gone", "the model or service is no longer served")
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting)
}

func (p *pool) acquire(ctx context.Context, c Call) (*Grant, *refuser.Refusal) {
	w, refusal := p.offer(c)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case r := <-w.answer:
		return r.grant, r.refusal
	case <-ctx.Done():
		return p.leave(c.Ask.ID, w)
	}
}

func (p *pool) offer(c Call) (*waiter, *refuser.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.dispatcher.now()
	if p.closed {
		return nil, gone()
	}
	if refusal := p.tooLarge(c.Ask); refusal != nil {
		return nil, refusal
	}
	if r := p.admitter.Offer(now, c.Ask, p.pace(now, c.Ask)); r != nil {
		return nil, turnedAway(r)
	}
	p.affinity.offer(c.Ask)
	w := &waiter{call: c, answer: make(chan reply, 1)}
	p.waiting[c.Ask.ID] = w
	p.fill(now)
	return w, nil
}

func turnedAway(r *admitter.Refusal) *refuser.Refusal {
	return refuser.New(http.StatusTooManyRequests, r.Code, "%s", r).WithRetryAfter(r.RetryAfter)
}

// leave takes a request out that its caller has left, or whose limit is over.
func (p *pool) leave(id uint64, w *waiter) (*Grant, *refuser.Refusal) {
	p.mu.Lock()
	_, still := p.waiting[id]
	if still {
		delete(p.waiting, id)
		p.admitter.Remove(id)
	}
	p.mu.Unlock()
	if !still {
		// It was answered in the moment it left: the place goes back.
		if r := <-w.answer; r.grant != nil {
			r.grant.Done(Cancelled)
		}
	}
	return nil, late()
}

func late() *refuser.Refusal {
	return refuser.New(http.StatusGatewayTimeout, "late", "no slot became free within the time limit").WithRetryAfter(time.Second)
}

func (p *pool) pump() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.dispatcher.now()
	p.giveUpGroups()
	for _, k := range p.admitter.Expire(now, p.pace(now, admitter.Request{})) {
		if w, ok := p.waiting[k.ID]; ok {
			p.reply(k.ID, w, reply{refusal: late()})
		}
	}
	p.fill(now)
}

// fill places waiting requests until no more can be placed.
func (p *pool) fill(now time.Time) {
	p.affinity.look(now, p.dispatcher.supplier.VMs, p.upstreams)
	for {
		var grant *Grant
		k, ok := p.admitter.Next(now, func(k admitter.Request) bool {
			grant = p.place(now, k)
			return grant != nil
		})
		if !ok {
			break
		}
		w, waits := p.waiting[k.ID]
		if !waits {
			grant.Done(Cancelled)
			continue
		}
		p.ranker.Record(now, k.Team, k.Share, k.PromptTokens)
		grant.Over = p.ranker.OverShare(now, k.Team)
		p.reply(k.ID, w, reply{grant: grant})
	}
	p.ask()
}

func (p *pool) reply(id uint64, w *waiter, r reply) {
	delete(p.waiting, id)
	w.answer <- r
}

// ask tells the supplier what this pool could use more of.
func (p *pool) ask() {
	n := p.admitter.Len()
	if len(p.upstreams) == 0 {
		return
	}
	each := (n + len(p.upstreams) - 1) / len(p.upstreams)
	for _, u := range p.upstreams {
		p.dispatcher.supplier.Want(u.Name, each)
	}
}

func (p *pool) place(now time.Time, k admitter.Request) *Grant {
	w, ok := p.waiting[k.ID]
	if !ok {
		// Its caller has left: taking it here drops it.
		return &Grant{}
	}
	cs := p.candidates(now, k, w.call.Avoid)
	if p.needsGroup(k) {
		return p.placeGroup(now, k, cs)
	}
	i, ok := p.picker.Pick(now, k, cs)
	if !ok {
		return nil
	}
	part, ok := p.take(cs[i].Name, k.PromptTokens, k.PromptTokens+k.MaxOutput)
	if !ok {
		return nil
	}
	p.note(part.Upstream.Name, sending{at: now, tokens: part.Tokens})
	part.Ahead = cs[i].PrefillLeft + cs[i].UnreportedTokens
	return &Grant{Parts: []Part{part}}
}

func (p *pool) take(name string, prompt, memory int) (Part, bool) {
	i := slices.IndexFunc(p.upstreams, func(u viewer.Upstream) bool { return u.Name == name })
	if i < 0 {
		return Part{}, false
	}
	if u := p.upstreams[i]; memory <= lender.Small(u.Memory, u.Slots) {
		memory = 0
	}
	slot, ok := p.dispatcher.supplier.Take(name, memory)
	if !ok {
		return Part{}, false
	}
	return Part{Upstream: p.upstreams[i], Boot: slot.Boot(), Tokens: prompt, Slot: newReading(slot, prompt, p.unreadAt(name))}, true
}
