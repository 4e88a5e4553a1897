package admitter

import (
	"math/bits"
)

// quantum is the number of tokens that a team of share 1 receives per round. It
// is small compared with any prompt, so that the service order follows the
// shares closely. Rounds in which no team can be served are skipped, so a small
// quantum costs nothing.
const quantum = 256

// band holds requests of similar prompt length and the round-robin state of
// their teams.
type band struct {
	weight float64
	// virtualTime is the number of tokens served, divided by the weight.
	virtualTime float64
	// blocked is set when none of the requests last tried found an upstream.
	blocked bool
	// finishTag is the virtual time at which its first request would finish.
	finishTag float64
	load      load
	// maxCost is the highest cost of a request since the band was last empty.
	maxCost int64
	flows   map[string]*flow
	heap    indexedHeap[*flow]
	// overdrawn are the teams with nothing waiting whose overdraft is not paid
	// off yet.
	overdrawn indexedHeap[*flow]
	// round is the round of the last request served; seq numbers the flows in
	// the order in which they were queued.
	round, seq int64
	// sizeClasses groups the teams by the binary logarithm of cost over share.
	sizeClasses   [64]sizeClass
	firstFlowsBuf []*flow
}

// sizeClass sums the teams whose backlog over share is within a factor of two
// of each other.
type sizeClass struct {
	cost, share, teams int64
}

// flow is a team's requests and round-robin state in one band.
type flow struct {
	team  string
	share int64
	queue queue
	cost  int64
	// round is the round from which it may be served, once everything served
	// before is paid off.
	round, seq int64
	index      int
}

// before orders flows by round, and within a round by waiting time, longest
// first.
func (f *flow) before(other *flow) bool {
	if f.round != other.round {
		return f.round < other.round
	}
	return f.seq < other.seq
}

func (f *flow) heapIndex() *int { return &f.index }

func newBand(weight float64) *band {
	return &band{weight: weight, flows: map[string]*flow{}}
}

// finishTime returns the virtual time at which a request of this cost would
// finish.
func (b *band) finishTime(cost int64) float64 {
	return b.virtualTime + float64(cost)/b.weight
}

// firstFlows returns up to n flows in service order.
func (b *band) firstFlows(n int) []*flow {
	b.firstFlowsBuf = b.firstFlowsBuf[:0]
	for len(b.firstFlowsBuf) < n && len(b.heap) > 0 {
		b.firstFlowsBuf = append(b.firstFlowsBuf, b.heap.pop())
	}
	for _, f := range b.firstFlowsBuf {
		b.heap.push(f)
	}
	return b.firstFlowsBuf
}

func (b *band) insert(it *item) {
	req := it.request
	if b.load.requests == 0 {
		b.maxCost = 0
	}
	b.load.add(req, it.cost, 1)
	b.maxCost = max(b.maxCost, it.cost)
	f := b.flows[req.Team]
	if f == nil {
		f = &flow{team: req.Team}
		b.flows[req.Team] = f
	}
	if f.cost == 0 {
		b.activate(f, int64(req.Share))
	}
	it.flow = f
	f.queue.insert(it)
	b.addCost(f, it.cost)
}

// activate queues a flow that had nothing waiting: in the current round, or in
// the one in which its overdraft is paid off. It accumulates no credit while it
// has nothing waiting.
func (b *band) activate(f *flow, share int64) {
	if f.round > b.round {
		b.overdrawn.remove(f)
	}
	f.share = share
	f.round = max(f.round, b.round)
	b.seq++
	f.seq = b.seq
	b.heap.push(f)
}

// delete removes a request that was not served.
func (b *band) delete(it *item) {
	f := it.flow
	b.load.add(it.request, it.cost, -1)
	f.queue.delete(it)
	b.addCost(f, -it.cost)
	if f.cost == 0 {
		b.heap.remove(f)
		b.deactivate(f)
	}
}

// dequeue removes the first request of a team and charges the team's flow.
func (b *band) dequeue(it *item) {
	f := it.flow
	b.round = max(b.round, f.round)
	perRound := quantum * f.share
	f.round += (it.cost + perRound - 1) / perRound
	b.seq++
	f.seq = b.seq
	b.heap.fix(f)
	b.delete(it)
	for len(b.overdrawn) > 0 && b.overdrawn[0].round <= b.round {
		f := b.overdrawn.pop()
		delete(b.flows, f.team)
	}
}

// deactivate handles a flow that has become empty. An overdrawn one is kept,
// because otherwise its overdraft would be forgotten whenever its queue runs
// empty.
func (b *band) deactivate(f *flow) {
	if f.round <= b.round {
		delete(b.flows, f.team)
		return
	}
	b.overdrawn.push(f)
}

func (b *band) addCost(f *flow, cost int64) {
	b.countInSizeClass(f, -1)
	f.cost += cost
	b.countInSizeClass(f, 1)
}

// countInSizeClass adds the flow to its size class, or removes it if sign is
// negative.
func (b *band) countInSizeClass(f *flow, sign int64) {
	if f.cost == 0 {
		return
	}
	s := &b.sizeClasses[bits.Len64(uint64(f.cost/f.share))]
	s.cost += sign * f.cost
	s.share += sign * f.share
	s.teams += sign
}

// costAhead estimates the cost that is served before a request: all, and own as
// the part of the same team. It counts the team's requests with earlier
// deadlines and, for every other team, its proportional share of that plus one
// request by which it may overdraw. Teams are counted by size class rather than
// one by one, so that the runtime does not grow with their number.
func (b *band) costAhead(it *item) (all, own int64) {
	share := int64(it.request.Share)
	f := b.flows[it.request.Team]
	waiting := f != nil && f.cost > 0
	if waiting {
		share = f.share
		own = f.queue.costAhead(it)
		b.countInSizeClass(f, -1)
		defer b.countInSizeClass(f, 1)
	}
	// turns is the number of tokens that each unit of share receives before
	// the request is served; an overdrawn team has to pay off its overdraft
	// first.
	turns := (own + it.cost + share - 1) / share
	if f != nil {
		turns += max(0, f.round-b.round) * quantum
	}
	all = own
	for _, s := range b.sizeClasses {
		if s.teams > 0 {
			all += min(s.cost, turns*s.share+s.teams*b.maxCost)
		}
	}
	return all, own
}
