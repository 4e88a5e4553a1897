// Package admitter decides which requests may wait for an upstream, in which
// order they wait, and which are rejected immediately. It handles saturation
// (three times the capacity), bursts, a team that sends most of the load, and
// million-token prompts among short ones. Without it a queue would grow until
// everything in it misses its deadline, one team's backlog would delay all
// others, and a short question would wait behind a document that takes a minute
// to read.
//
// Requests are grouped into bands by prompt length. Bands share the upstreams
// by weighted fair queueing, counted in tokens. Within a band, teams are served
// by deficit round robin, also counted in tokens; a team may overdraw and then
// waits until it has paid off its overdraft. Within a team, the earliest
// deadline goes first. A request that cannot finish in time, given
// what is ahead of it in that order, is rejected when it arrives rather than
// when its time limit ends.
//
// The package does not choose upstreams and reads no clock. It is not safe for
// concurrent use.
package admitter

import (
	"time"
)

// Request describes a request to be admitted.
type Request struct {
	// ID is unique among the requests of one Admitter.
	ID uint64
	// Team is the name of the team that sent it.
	Team string
	// Share is the weight of the team relative to other teams; values below 1
	// count as 1.
	Share int
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// MaxOutput is the maximum number of answer tokens.
	MaxOutput int
	// Arrived is when the time limit of the request started.
	Arrived time.Time
	// Deadline is when the whole answer must be complete.
	Deadline time.Time
	// PrefixHash is the hash of the first 4 KiB of the prompt, which
	// identifies cached prefixes.
	PrefixHash uint64
}

// Capacity is what this VM can expect of the upstreams of a model.
type Capacity struct {
	// Slots is how many requests this VM may have in progress.
	Slots int
	// PrefillRate is the prompt tokens per second that this VM's share of all
	// upstreams reads.
	PrefillRate float64
	// UpstreamPrefillRate is the prompt tokens per second of a single
	// upstream, which limits how fast one prompt can be read; 0 means
	// PrefillRate.
	UpstreamPrefillRate float64
	// DecodeRate is the answer tokens per second of one stream.
	DecodeRate float64
	// Running is how many of the slots are in use.
	Running int
	// PrefillLeft is how many prompt tokens of requests already placed are
	// still unread, in this VM's share.
	PrefillLeft float64
}

// Codes of a Refusal.
const (
	// Saturated means that the upstreams cannot finish all their work in time.
	Saturated = "saturated"
	// Late means that the request could not finish in time even with nothing
	// ahead of it.
	Late = "late"
	// Share means that most of the work ahead is the team's own backlog, or that
	// the team holds its part of the queue's limits.
	Share = "share"
)

// Refusal is the error for a rejected request. No part of the request has run.
type Refusal struct { //nolint:errname // callers see this word
	// Code is Saturated, Late or Share.
	Code string
	// RetryAfter is the delay after which a retry may succeed; 0 if a retry
	// does not help.
	RetryAfter time.Duration
}

// Error returns the code and the delay before a retry.
func (r *Refusal) Error() string {
	if r.RetryAfter == 0 {
		return "refused as " + r.Code
	}
	return "refused as " + r.Code + ", come back after " + r.RetryAfter.String()
}

// Admitter is the queue of one model on one VM.
type Admitter struct {
	config Config
	// items holds every waiting request by ID.
	items map[uint64]*item
	// teamLoads sums the waiting requests of each team over all bands.
	teamLoads     map[string]load
	total         load
	bands         []*band
	byLatestStart indexedHeap[*item]
	// expired are requests that Next found too late; Expire returns them.
	expired []Request
	// virtualTime is the finish time of the last band served, in the virtual
	// time of the bands.
	virtualTime float64
	capacity    Capacity
	// fifo is the queue of the FIFO baseline, by request ID. bandOrder is the
	// reused result of bandsByFinishTime.
	fifo      []uint64
	bandOrder []*band
}

// load sums waiting requests.
type load struct {
	requests, promptTokens, maxOutput int
	cost                              int64
}

func (l *load) add(req Request, cost int64, sign int) {
	l.requests += sign
	l.promptTokens += sign * req.PromptTokens
	l.maxOutput += sign * req.MaxOutput
	l.cost += int64(sign) * cost
}

// item is a waiting request.
type item struct {
	request Request
	cost    int64
	band    *band
	flow    *flow
	// latestStart is the latest time at which it can be placed and still finish
	// before its deadline.
	latestStart time.Time
	// blockedSince is when it was first tried and found no upstream.
	blockedSince time.Time
	// index is its position in byLatestStart.
	index int
	// left, right, priority and subtreeCost belong to the treap of its team's
	// queue, which is ordered by deadline.
	left, right *item
	priority    uint64
	subtreeCost int64
}

// before orders items by latest start.
func (it *item) before(other *item) bool { return it.latestStart.Before(other.latestStart) }

func (it *item) heapIndex() *int { return &it.index }

// New returns an empty Admitter.
func New(c Config) *Admitter {
	c = c.withDefaults()
	a := &Admitter{config: c, items: map[uint64]*item{}, teamLoads: map[string]load{}}
	n := len(c.BandBounds) + 1
	if c.Queue == FIFO {
		n = 1
	}
	for i := range n {
		weight := 1
		if i < len(c.BandWeights) {
			weight = max(1, c.BandWeights[i])
		}
		a.bands = append(a.bands, newBand(float64(weight)))
	}
	return a
}

// Len returns the number of waiting requests.
func (a *Admitter) Len() int { return len(a.items) }

// Tokens returns the total length of the waiting prompts.
func (a *Admitter) Tokens() int { return a.total.promptTokens }

// Offer queues a request, or returns the reason for rejecting it and the delay
// before a retry.
func (a *Admitter) Offer(now time.Time, req Request, c Capacity) *Refusal {
	if req.Share < 1 {
		req.Share = 1
	}
	it := &item{request: req, cost: a.cost(req), band: a.bandFor(req.PromptTokens)}
	it.latestStart = a.latestStart(req, c)
	if r := a.checkAdmission(now, it, c); r != nil {
		return r
	}
	if _, ok := a.items[req.ID]; ok {
		return &Refusal{Code: Saturated}
	}
	a.capacity = c
	a.insert(it)
	return nil
}

// Remove deletes a waiting request, for example because its caller has
// disconnected.
func (a *Admitter) Remove(id uint64) bool {
	it, ok := a.items[id]
	if ok {
		a.delete(it)
	}
	return ok
}

// Expire removes and returns the requests that can no longer finish in time at
// the given capacity, so that their callers can be told immediately.
func (a *Admitter) Expire(now time.Time, c Capacity) []Request {
	if a.config.Queue == Fair && isSlower(c, a.capacity) {
		a.recomputeLatestStarts(c)
	}
	a.dropExpired(now)
	expired := a.expired
	a.expired = nil
	return expired
}

// Next removes and returns the first request in order that place accepts. It
// calls place at most Config.MaxTries times per band, so that the cost of a
// call does not grow with the queue. A request that place does not accept never
// blocks other bands, and blocks its own band only once it has been passed over
// for longer than Config.BypassFraction allows.
func (a *Admitter) Next(now time.Time, place func(Request) bool) (Request, bool) {
	a.dropExpired(now)
	if a.config.Queue == FIFO {
		return a.nextFIFO(place)
	}
	for _, b := range a.bandsByFinishTime() {
		for _, f := range b.firstFlows(a.config.MaxTries) {
			it := f.queue.first()
			if place(it.request) {
				a.dequeue(it)
				return it.request, true
			}
			if it.blockedSince.IsZero() {
				it.blockedSince = now
			}
			limit := it.request.Deadline.Sub(it.request.Arrived)
			if now.Sub(it.blockedSince) > time.Duration(a.config.BypassFraction*float64(limit)) {
				break
			}
		}
		b.blocked = true
	}
	return Request{}, false
}

// dropExpired removes the requests that can no longer finish in time. If they
// were placed, they would use an upstream's time for answers that nobody
// receives.
func (a *Admitter) dropExpired(now time.Time) {
	for len(a.byLatestStart) > 0 && !now.Before(a.byLatestStart[0].latestStart) {
		it := a.byLatestStart[0]
		a.delete(it)
		a.expired = append(a.expired, it.request)
	}
}

// dequeue removes a request that has been placed and charges its team and band.
func (a *Admitter) dequeue(it *item) {
	b := it.band
	b.blocked = false
	b.virtualTime = b.finishTime(it.cost)
	a.virtualTime = max(a.virtualTime, b.virtualTime)
	b.dequeue(it)
	a.forget(it)
}

func (a *Admitter) insert(it *item) {
	req := it.request
	a.items[req.ID] = it
	l := a.teamLoads[req.Team]
	l.add(req, it.cost, 1)
	a.teamLoads[req.Team] = l
	a.total.add(req, it.cost, 1)
	a.byLatestStart.push(it)
	if a.config.Queue == FIFO {
		a.fifo = append(a.fifo, req.ID)
		return
	}
	if it.band.load.requests == 0 {
		// A band that was idle starts at the current virtual time, so that it
		// accumulates no credit while it has no requests.
		it.band.virtualTime = max(it.band.virtualTime, a.virtualTime)
	}
	it.band.insert(it)
}

func (a *Admitter) delete(it *item) {
	if a.config.Queue == Fair {
		it.band.delete(it)
	}
	a.forget(it)
}

// forget removes a request from all indexes outside its band.
func (a *Admitter) forget(it *item) {
	req := it.request
	delete(a.items, req.ID)
	l := a.teamLoads[req.Team]
	l.add(req, it.cost, -1)
	a.teamLoads[req.Team] = l
	if l.requests == 0 {
		delete(a.teamLoads, req.Team)
	}
	a.total.add(req, it.cost, -1)
	a.byLatestStart.remove(it)
}

func (a *Admitter) cost(req Request) int64 {
	return int64(max(1, req.PromptTokens+a.config.OutputTokenCost*req.MaxOutput))
}

func (a *Admitter) bandFor(tokens int) *band {
	if a.config.Queue == FIFO {
		return a.bands[0]
	}
	for i, bound := range a.config.BandBounds {
		if tokens <= bound {
			return a.bands[i]
		}
	}
	return a.bands[len(a.bands)-1]
}
