// Package scheduler gives requests their places at upstreams. It keeps the work
// under way at each upstream, this VM's own and what the others told, holds
// requests that had better wait, in order, and lets go of those that can no
// longer be answered in time. Where a request goes is the placer's decision,
// and which upstreams there are is the tracker's knowledge.
//
// What waits here can still be ordered and placed elsewhere; what was sent
// cannot. So a long prompt waits here while engines read another, for as long
// as that costs its caller nothing.
package scheduler

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/process/budgeter"
	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/request/ranker"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// turn is how long a VM leaves a place to each VM whose long prompt goes first.
// It covers a datagram's way there and back with the news of what was placed.
const turn = 12 * time.Millisecond

// lookEvery is how often a place is looked for for one long prompt that waits. A
// decision takes some tens of microseconds, and under load hundreds of events a
// second could each change it.
const lookEvery = 4 * time.Millisecond

// unbounded is the room at an upstream that is not cold.
const unbounded = 1 << 20

// Peers are the other VMs.
type Peers interface {
	// Load is the work that the others have under way at an upstream.
	Load(upstream string) placer.Load
	// Silent says that another VM cannot reach an upstream.
	Silent(upstream string) bool
	// Outcomes are those of the others' requests at an upstream.
	Outcomes(upstream string) tracker.Outcomes
	// VMs are those that live, this one included, in the same order on each.
	VMs() []string
	// Share tells the others of this VM's work at an upstream.
	Share(upstream string, own placer.Load)
	// Wait tells them of the first prompts that wait here.
	Wait(heads []gossiper.Head)
	// Before is how many VMs have one waiting that goes before such a prompt.
	Before(h gossiper.Head) int
}

// Bounds are what operators demand in sum over all VMs.
type Bounds struct {
	// ColdMultiplier and ColdSlack make the bound a second at an upstream in
	// cold start: its own rate times the one, plus the other.
	ColdMultiplier, ColdSlack float64
}

// Deps are what a Scheduler works with.
type Deps struct {
	Tracker *tracker.Tracker
	Peers   Peers
	Bounds  func() Bounds
	Now     func() time.Time
}

// A Call is a request for a place.
type Call struct {
	Service *matcher.Service
	Ask     placer.Ask
	// Priority is the request's rank, 0 being the first.
	Priority int
	// Team is whose it is.
	Team string
}

// A Refusal says that no place could be given in time. Nothing was sent.
type Refusal struct { //nolint:errname // the word that callers meet
	// Code is a short word for why.
	Code string
	// After is when coming back helps.
	After time.Duration
	// Waits is how long it waited for what.
	Waits Waits
}

// Error gives the refusal in one line.
func (r *Refusal) Error() string { return "no place: " + r.Code }

// None is the code of a request for a service of which no upstream may be used.
const None = "no_upstream"

// Late is the code of a request that could not be done in time.
const Late = "late"

// A Scheduler places the requests of one VM.
type Scheduler struct {
	vm, zone string
	deps     Deps

	mu      sync.Mutex
	own     map[string]*placer.Load
	cold    map[string]*budgeter.Cold
	waiting []*waiter
	// rankers keep the teams' use of each service.
	rankers map[string]*ranker.Ranker
	// until is when this VM stops; zero while it does not.
	until time.Time
}

type waiter struct {
	call  Call
	times times
	reply chan reply
	// found is since when there has been a place for it, zero where none is.
	found time.Time
	// looked is when a place was last looked for.
	looked time.Time
	// waits is why it waits, and since when for this reason.
	waits wait
	// late and over are 1 where it can no longer be in time, and where its team
	// uses more than its share, when it was last sorted.
	late, over int
}

type reply struct {
	grant   *Grant
	refusal *Refusal
}

// New returns a Scheduler for a VM in a zone.
func New(vm, zone string, d Deps) *Scheduler {
	return &Scheduler{
		vm: vm, zone: zone, deps: d,
		own: make(map[string]*placer.Load), cold: make(map[string]*budgeter.Cold), rankers: make(map[string]*ranker.Ranker),
	}
}

// Acquire waits for a place, or for the word that there will be none in time.
func (s *Scheduler) Acquire(ctx context.Context, c Call) (*Grant, *Refusal) {
	w := s.Ask(c)
	select {
	case r := <-w.waiter.reply:
		return r.grant, r.refusal
	case <-ctx.Done():
		return nil, w.Leave()
	}
}

// An Asked is a request for a place that may still wait.
type Asked struct {
	scheduler *Scheduler
	waiter    *waiter
}

// Ask asks for a place without waiting for it.
func (s *Scheduler) Ask(c Call) *Asked {
	w := &waiter{call: c, times: timesOf(c), reply: make(chan reply, 1)}
	w.waits.since = s.deps.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = append(s.waiting, w)
	s.pump()
	return &Asked{s, w}
}

// Reply gives the place or the refusal, once, and neither while it waits.
func (a *Asked) Reply() (*Grant, *Refusal) {
	select {
	case r := <-a.waiter.reply:
		return r.grant, r.refusal
	default:
		return nil, nil
	}
}

// Leave takes the request back: its caller has gone, or its time is over.
func (a *Asked) Leave() *Refusal { return a.scheduler.leave(a.waiter) }

// leave takes out a request whose caller has gone or whose time is over.
func (s *Scheduler) leave(w *waiter) *Refusal {
	s.mu.Lock()
	s.waiting = slices.DeleteFunc(s.waiting, func(o *waiter) bool { return o == w })
	// Else the others would go on leaving places to a prompt that is gone.
	s.tell(s.deps.Now())
	s.mu.Unlock()
	select {
	case r := <-w.reply:
		// It was given a place in the moment it left.
		if r.grant != nil {
			r.grant.Done()
		}
	default:
	}
	return &Refusal{Code: Late, After: comeBack, Waits: w.waits.end(s.deps.Now())}
}

// compare orders by rank, then those that can be in time before those that are
// late already, then teams within their share before those over it, then by the
// latest start. Without the second, a backlog of late prompts would stand before
// everything that could still be in time, and make it late as well; without the
// third, one team's burst stands before the others' questions.
func compare(a, b *waiter) int {
	return cmp.Or(
		cmp.Compare(a.call.Priority, b.call.Priority), cmp.Compare(a.late, b.late), cmp.Compare(a.over, b.over),
		a.times.start.Compare(b.times.start),
	)
}

// sort puts what waits in its order.
func (s *Scheduler) sort(now time.Time) {
	for _, w := range s.waiting {
		w.late, w.over = 0, 0
		if w.times.late(now) {
			w.late = 1
		}
		if s.rankerOf(w.call.Service.Name).Over(now, w.call.Team) {
			w.over = 1
		}
	}
	slices.SortStableFunc(s.waiting, compare)
}

// oneShare is every team's share: the platform's configuration names none.
const oneShare = 1

func (s *Scheduler) rankerOf(service string) *ranker.Ranker {
	r, ok := s.rankers[service]
	if !ok {
		r = ranker.New()
		s.rankers[service] = r
	}
	return r
}

// Pump places what can be placed and refuses what cannot be done in time. It is
// called when something changed, and now and then.
func (s *Scheduler) Pump() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pump()
}

func (s *Scheduler) pump() {
	if len(s.waiting) == 0 {
		return
	}
	now := s.deps.Now()
	blocked := make(map[kind]bool)
	s.sort(now)
	kept := s.waiting[:0:0]
	for _, w := range s.waiting {
		if r, done := s.step(now, w, blocked); done {
			w.reply <- r
			continue
		}
		kept = append(kept, w)
	}
	s.waiting = kept
	s.tell(now)
}

// tell tells the others of the first prompts that wait for engines.
func (s *Scheduler) tell(now time.Time) {
	var heads []gossiper.Head
	for _, w := range s.waiting {
		if w.call.Service.Engine == nil {
			continue
		}
		h := w.head(now)
		same := func(o gossiper.Head) bool { return o.Service == h.Service && o.Long == h.Long }
		if !slices.ContainsFunc(heads, same) {
			heads = append(heads, h)
		}
	}
	s.deps.Peers.Wait(heads)
}

// head is what the others are told of a prompt that waits.
func (w *waiter) head(now time.Time) gossiper.Head {
	return gossiper.Head{Service: w.call.Service.Name, Long: w.times.long, Late: w.times.late(now), Start: w.times.start}
}

// yields says that a long prompt for which there is a place leaves it to the
// other VMs for a moment. Engines that end a prompt become free for all VMs at
// once; without an order among these each would send its own prompt there at
// the same time, and the groups would wait for each other's parts.
func (s *Scheduler) yields(now time.Time, w *waiter, found bool) bool {
	if !found {
		w.found = time.Time{}
		return true
	}
	if m := w.times.mood(now); !w.times.long || (m != placer.Patient && m != placer.Late) {
		return false
	}
	if w.found.IsZero() {
		w.found = now
	}
	before := s.deps.Peers.Before(w.head(now))
	return now.Sub(w.found) < time.Duration(before)*turn
}

// A kind is what waits for the same places, so that none of it is placed before
// an earlier one. Long prompts are of a kind only with those of about their
// length: one of 600,000 tokens that finds no place must not hold back one of
// 20,000. Short ones that are late are of a kind of their own: an engine that
// reads for long answers none in time, and is still free for these, which would
// else wait behind each new prompt until their callers leave.
type kind struct {
	service string
	size    int
	late    bool
}

// step does what can be done for one waiting request.
func (s *Scheduler) step(now time.Time, w *waiter, blocked map[kind]bool) (reply, bool) {
	k := kind{w.call.Service.Name, w.times.size, !w.times.long && w.times.late(now)}
	if w.times.hopeless(now, s.until) {
		return reply{refusal: &Refusal{Code: Late, After: comeBack, Waits: w.waits.end(now)}}, true
	}
	if blocked[k] {
		w.waits.turn(now, waitBehind)
		return reply{}, false
	}
	if w.times.long && now.Sub(w.looked) < lookEvery {
		blocked[k] = true
		return reply{}, false
	}
	w.looked = now
	states := s.deps.Tracker.Usable(now, w.call.Service.Name)
	if len(states) == 0 && !s.deps.Tracker.Outdated() {
		return reply{refusal: &Refusal{Code: None, After: comeBack, Waits: w.waits.end(now)}}, true
	}
	cs := s.candidates(now, w.call.Service, states)
	choice, ok := s.choose(now, w, cs)
	if s.yields(now, w, ok) {
		blocked[k] = true
		w.waits.turn(now, reasonOf(choice, ok))
		return reply{}, false
	}
	g := s.grant(now, w, choice, states)
	g.Waits = w.waits.end(now)
	return reply{grant: g}, true
}

func (s *Scheduler) choose(now time.Time, w *waiter, cs []placer.Candidate) (placer.Choice, bool) {
	if w.call.Service.Engine == nil {
		return placer.Plain(w.call.Ask, cs)
	}
	mood := w.times.mood(now)
	if !w.times.long && mood != placer.Last {
		return s.match(now, w, cs, mood)
	}
	return placer.Engine(w.call.Service.Engine, w.call.Ask, cs, now, mood)
}

// match chooses for a short prompt what the VMs leave whose prompts go before it.
// A slot that comes free in a burst is seen by all VMs at once. If each took it
// for its own, their prompts would stand there behind one another: at 91 VMs one
// in ten had its first event 1.3 s after it was sent, beside 0.2 s for the half.
func (s *Scheduler) match(now time.Time, w *waiter, cs []placer.Candidate, m placer.Mood) (placer.Choice, bool) {
	for range s.deps.Peers.Before(w.head(now)) {
		theirs, ok := placer.Engine(w.call.Service.Engine, w.call.Ask, cs, now, m)
		if !ok {
			return placer.Choice{Lack: theirs.Lack}, false
		}
		l := &cs[theirs.Main].Load
		l.Streams++
		l.Unread += theirs.Read
	}
	return placer.Engine(w.call.Service.Engine, w.call.Ask, cs, now, m)
}

func (s *Scheduler) candidates(now time.Time, v *matcher.Service, states []tracker.State) []placer.Candidate {
	cs := make([]placer.Candidate, 0, len(states))
	for i := range states {
		u := &states[i]
		others := s.deps.Peers.Outcomes(u.ID)
		c := placer.Candidate{
			ID: u.ID, Zone: u.Zone, Slots: u.Slots, Near: u.Zone == s.zone, Room: unbounded,
			Cold: now.Before(u.ColdUntil), Silent: now.Before(u.SilentUntil) || s.deps.Peers.Silent(u.ID),
			Failed: u.Outcomes.Failed + others.Failed, Answered: u.Outcomes.Answered + others.Answered,
			Load: s.deps.Peers.Load(u.ID),
		}
		if own, ok := s.own[u.ID]; ok {
			c.Load.Add(*own)
		}
		if v.ColdRate > 0 && c.Cold {
			c.Room = s.room(now, v, u.ID)
		}
		cs = append(cs, c)
	}
	return cs
}

func (s *Scheduler) room(now time.Time, v *matcher.Service, id string) int {
	b := s.deps.Bounds()
	return s.coldOf(id).Room(now, v.ColdRate*b.ColdMultiplier+b.ColdSlack, id, s.vm, s.deps.Peers.VMs())
}

func (s *Scheduler) coldOf(id string) *budgeter.Cold {
	c, ok := s.cold[id]
	if !ok {
		c = budgeter.NewCold()
		s.cold[id] = c
	}
	return c
}

// add changes this VM's own work at an upstream and tells the others.
func (s *Scheduler) add(id string, l placer.Load, sign int) {
	own, ok := s.own[id]
	if !ok {
		own = &placer.Load{}
		s.own[id] = own
	}
	if sign > 0 {
		own.Add(l)
	} else {
		own.Take(l)
	}
	s.deps.Peers.Share(id, *own)
	if *own == (placer.Load{}) {
		delete(s.own, id)
	}
}

// Own is this VM's work at all upstreams.
func (s *Scheduler) Own() map[string]placer.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]placer.Load, len(s.own))
	for id, l := range s.own {
		all[id] = *l
	}
	return all
}

// Until has requests that cannot end before a time refused: this VM stops then,
// and they still have time to go to another.
func (s *Scheduler) Until(stop time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = stop
	s.pump()
}

// Waiting is how many requests wait.
func (s *Scheduler) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// Forget drops the count of a cold upstream that is gone.
func (s *Scheduler) Forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cold, id)
}
