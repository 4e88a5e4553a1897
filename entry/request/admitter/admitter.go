// Package admitter decides what is let in to wait, in which order it waits and
// what is turned away at once. It answers saturation (three times the load that
// fits), bursts, one team that sends most of the load, and million-token
// prompts among short ones. Without it a queue grows until everything in it is
// late, one team's backlog stands before everybody's, and a short question
// waits behind a document that takes a minute to read.
//
// Each ask is in a band by prompt length. Bands share the upstreams by weight,
// counted in tokens; in a band, teams take turns by deficit round robin,
// counted in tokens, in a form in which a team may overdraw and then waits
// until it has paid; within a team the earliest deadline goes first. An ask
// that cannot be done in time, given what is ahead of it in that order, is
// refused when it comes and not when its time is over.
//
// The package does not choose upstreams, reads no clock, and is not safe for
// use by several goroutines.
package admitter

import (
	"time"
)

// An Request is a request that wants to be let in.
type Request struct {
	// ID is unique among the asks of one Admitter.
	ID uint64
	// Team names whose it is.
	Team string
	// Share is the team's weight beside the other teams; below 1 reads as 1.
	Share int
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// MaxOutput is the most answer tokens that may come.
	MaxOutput int
	// Arrived is when the request's time limit began to run.
	Arrived time.Time
	// Deadline is when the whole answer must be out.
	Deadline time.Time
	// PrefixHash is the hash of the prompt's first 4 KiB, by which cached prefixes
	// are known.
	PrefixHash uint64
}

// A Capacity is what this VM may expect of a model's upstreams.
type Capacity struct {
	// Slots is how many requests this VM may have in progress.
	Slots int
	// PrefillRate is the prompt tokens per second that this VM's share of all
	// upstreams reads.
	PrefillRate float64
	// UpstreamPrefillRate is the prompt tokens per second of a single upstream, which bounds
	// how soon one prompt can be read; 0 reads as Prefill.
	UpstreamPrefillRate float64
	// DecodeRate is the answer tokens per second of one stream.
	DecodeRate float64
	// Running is how many of the slots are taken.
	Running int
	// PrefillLeft is how many prompt tokens of work already placed are unread,
	// on this VM's share.
	PrefillLeft float64
}

// Codes of a Refusal.
const (
	// Saturated says that the upstreams have more to do than they can in time.
	Saturated = "saturated"
	// Late says that the ask could not end in time even with nothing ahead.
	Late = "late"
	// Share says that the team's own backlog is what stands before the ask.
	Share = "share"
)

// A Refusal is the error that turns an ask away. Nothing of it has run.
type Refusal struct { //nolint:errname // the word that callers meet
	// Code is Saturated, Late or Share.
	Code string
	// RetryAfter is when coming back helps; 0 where it does not.
	RetryAfter time.Duration
}

// Error gives the code and the time to come back.
func (r *Refusal) Error() string {
	if r.RetryAfter == 0 {
		return "refused as " + r.Code
	}
	return "refused as " + r.Code + ", come back after " + r.RetryAfter.String()
}

// An Admitter is one model's queue on one VM.
type Admitter struct {
	conf Config
	// items holds every waiting ask.
	items map[uint64]*item
	// teams counts what each team has waiting, over all bands.
	teams  map[string]load
	total  load
	bands  []*band
	latest pile[*item]
	// gone are asks that Next found too late, until Expire hands them out.
	gone []Request
	// clock is the virtual time of the bands: the finish tag of the last
	// band served.
	clock float64
	pace  Capacity
	// line is the queue of the baseline, tries the bands that Next tries.
	line  []uint64
	tries []*band
}

// A load sums waiting asks.
type load struct {
	asks, tokens, output int
	cost                 int64
}

func (l *load) add(a Request, cost int64, sign int) {
	l.asks += sign
	l.tokens += sign * a.PromptTokens
	l.output += sign * a.MaxOutput
	l.cost += int64(sign) * cost
}

// An item is a waiting ask.
type item struct {
	ask  Request
	cost int64
	band *band
	turn *turn
	// start is the latest moment at which it can be placed and end in time.
	start time.Time
	// refused is when place first found no place for it.
	refused time.Time
	// index is its place in the heap of latest starts.
	index int
	// left, right, rank and sum are its team's tree, in deadline order.
	left, right *item
	rank        uint64
	sum         int64
}

// before orders asks by the latest moment of their start.
func (it *item) before(other *item) bool { return it.start.Before(other.start) }

func (it *item) place() *int { return &it.index }

// New returns an empty Admitter.
func New(c Config) *Admitter {
	c = c.withDefaults()
	a := &Admitter{conf: c, items: map[uint64]*item{}, teams: map[string]load{}}
	n := len(c.Bounds) + 1
	if c.Queue == First {
		n = 1
	}
	for i := range n {
		weight := 1
		if i < len(c.Weights) {
			weight = max(1, c.Weights[i])
		}
		a.bands = append(a.bands, newBand(float64(weight)))
	}
	return a
}

// Len is how many asks wait.
func (a *Admitter) Len() int { return len(a.items) }

// Tokens is the sum of the waiting prompts.
func (a *Admitter) Tokens() int { return a.total.tokens }

// Offer queues the ask, or says why not and when to come back.
func (a *Admitter) Offer(now time.Time, k Request, p Capacity) *Refusal {
	if k.Share < 1 {
		k.Share = 1
	}
	it := &item{ask: k, cost: a.cost(k), band: a.band(k.PromptTokens)}
	it.start = a.start(k, p)
	if r := a.refuse(now, it, p); r != nil {
		return r
	}
	if _, ok := a.items[k.ID]; ok {
		return &Refusal{Code: Saturated}
	}
	a.pace = p
	a.insert(it)
	return nil
}

// Remove takes an ask out, as when its caller has gone.
func (a *Admitter) Remove(id uint64) bool {
	it, ok := a.items[id]
	if ok {
		a.delete(it)
	}
	return ok
}

// Expire takes out the asks that can no longer be done in time, at the pace
// given, so that their callers learn it now.
func (a *Admitter) Expire(now time.Time, p Capacity) []Request {
	if a.conf.Queue == Fair && slower(p, a.pace) {
		a.rebuild(p)
	}
	a.giveUp(now)
	gone := a.gone
	a.gone = nil
	return gone
}

// Next gives the next ask in order that place takes, and takes it out. It
// calls place at most Config.Tries times for each band, so that one call's
// cost does not grow with the queue. An ask that finds no place holds back
// nobody of another band, and nobody of its own for Config.Patience.
func (a *Admitter) Next(now time.Time, place func(Request) bool) (Request, bool) {
	a.giveUp(now)
	if a.conf.Queue == First {
		return a.nextFirst(place)
	}
	for _, b := range a.order() {
		for _, t := range b.first(a.conf.Tries) {
			it := t.queue.first()
			if place(it.ask) {
				a.serve(it)
				return it.ask, true
			}
			if it.refused.IsZero() {
				it.refused = now
			}
			limit := it.ask.Deadline.Sub(it.ask.Arrived)
			if now.Sub(it.refused) > time.Duration(a.conf.Patience*float64(limit)) {
				break
			}
		}
		b.stuck = true
	}
	return Request{}, false
}

// giveUp takes out the asks that can no longer be done in time. Placed, they
// would take an upstream's time for answers that nobody gets.
func (a *Admitter) giveUp(now time.Time) {
	for len(a.latest) > 0 && !now.Before(a.latest[0].start) {
		it := a.latest[0]
		a.delete(it)
		a.gone = append(a.gone, it.ask)
	}
}

// serve takes out an ask that found a place, and charges its team and band.
func (a *Admitter) serve(it *item) {
	b := it.band
	b.stuck = false
	b.spent = b.finish(it.cost)
	a.clock = max(a.clock, b.spent)
	b.serve(it)
	a.drop(it)
}

func (a *Admitter) insert(it *item) {
	k := it.ask
	a.items[k.ID] = it
	l := a.teams[k.Team]
	l.add(k, it.cost, 1)
	a.teams[k.Team] = l
	a.total.add(k, it.cost, 1)
	a.latest.push(it)
	if a.conf.Queue == First {
		a.line = append(a.line, k.ID)
		return
	}
	if it.band.load.asks == 0 {
		// A band that was idle starts where the others are: it has saved up
		// no claim from the time in which it wanted nothing.
		it.band.spent = max(it.band.spent, a.clock)
	}
	it.band.insert(it)
}

func (a *Admitter) delete(it *item) {
	if a.conf.Queue == Fair {
		it.band.delete(it)
	}
	a.drop(it)
}

// drop forgets an ask that has left its band.
func (a *Admitter) drop(it *item) {
	k := it.ask
	delete(a.items, k.ID)
	l := a.teams[k.Team]
	l.add(k, it.cost, -1)
	a.teams[k.Team] = l
	if l.asks == 0 {
		delete(a.teams, k.Team)
	}
	a.total.add(k, it.cost, -1)
	a.latest.remove(it)
}

func (a *Admitter) cost(k Request) int64 {
	return int64(max(1, k.PromptTokens+a.conf.Answer*k.MaxOutput))
}

func (a *Admitter) band(tokens int) *band {
	if a.conf.Queue == First {
		return a.bands[0]
	}
	for i, most := range a.conf.Bounds {
		if tokens <= most {
			return a.bands[i]
		}
	}
	return a.bands[len(a.bands)-1]
}
