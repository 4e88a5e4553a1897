package admitter

import (
	"math/bits"
)

// quantum is the tokens that a team of share 1 is given in each round. It is
// small against any prompt, so that turns follow the shares closely; rounds in
// which nobody can pay are skipped, so that it costs nothing to be small.
const quantum = 256

// A band is the asks of similar length, and their teams' turns.
type band struct {
	weight float64
	// spent is the tokens served over the weight: the band's virtual time.
	spent float64
	// stuck says that none of its asks found a place when they were last tried.
	stuck bool
	// tag is the virtual time at which its first ask would end.
	tag  float64
	load load
	// longest is the highest cost of one ask since the band was last empty.
	longest int64
	turns   map[string]*turn
	heap    pile[*turn]
	// debtors are the teams that want nothing and have not paid yet.
	debtors pile[*turn]
	// round is that of the last ask served, and seq counts turns given.
	round, seq int64
	// sizes groups the teams by the binary logarithm of cost over share.
	sizes [64]size
	tries []*turn
}

// A size sums the teams whose backlog over share is within a factor of two.
type size struct {
	cost, share, teams int64
}

// A turn is one team's place in a band.
type turn struct {
	team  string
	share int64
	queue queue
	cost  int64
	// round is when it may be served: when all it was served before is paid.
	round, seq int64
	index      int
}

// before orders teams by round, and within a round by who waited longer.
func (t *turn) before(other *turn) bool {
	if t.round != other.round {
		return t.round < other.round
	}
	return t.seq < other.seq
}

func (t *turn) place() *int { return &t.index }

func newBand(weight float64) *band {
	return &band{weight: weight, turns: map[string]*turn{}}
}

// finish is the virtual time at which an ask of this cost would end.
func (b *band) finish(cost int64) float64 {
	return b.spent + float64(cost)/b.weight
}

// first gives up to n teams in the order of their turns.
func (b *band) first(n int) []*turn {
	b.tries = b.tries[:0]
	for len(b.tries) < n && len(b.heap) > 0 {
		b.tries = append(b.tries, b.heap.pop())
	}
	for _, t := range b.tries {
		b.heap.push(t)
	}
	return b.tries
}

func (b *band) insert(it *item) {
	k := it.ask
	if b.load.asks == 0 {
		b.longest = 0
	}
	b.load.add(k, it.cost, 1)
	b.longest = max(b.longest, it.cost)
	t := b.turns[k.Team]
	if t == nil {
		t = &turn{team: k.Team}
		b.turns[k.Team] = t
	}
	if t.cost == 0 {
		b.enter(t, int64(k.Share))
	}
	it.turn = t
	t.queue.insert(it)
	b.resize(t, it.cost)
}

// enter gives a team with nothing waiting its turn: now, or when it has paid.
// It has saved up nothing from the time in which it wanted nothing.
func (b *band) enter(t *turn, share int64) {
	if t.round > b.round {
		b.debtors.remove(t)
	}
	t.share = share
	t.round = max(t.round, b.round)
	b.seq++
	t.seq = b.seq
	b.heap.push(t)
}

// delete takes out an ask that was not served.
func (b *band) delete(it *item) {
	t := it.turn
	b.load.add(it.ask, it.cost, -1)
	t.queue.delete(it)
	b.resize(t, -it.cost)
	if t.cost == 0 {
		b.heap.remove(t)
		b.leave(t)
	}
}

// serve takes out the first ask of a team and charges the team for it.
func (b *band) serve(it *item) {
	t := it.turn
	b.round = max(b.round, t.round)
	each := quantum * t.share
	t.round += (it.cost + each - 1) / each
	b.seq++
	t.seq = b.seq
	b.heap.fix(t)
	b.delete(it)
	for len(b.debtors) > 0 && b.debtors[0].round <= b.round {
		t := b.debtors.pop()
		delete(b.turns, t.team)
	}
}

// leave keeps a team that has not paid yet, or it would come back with its
// debt forgotten each time that its queue runs empty.
func (b *band) leave(t *turn) {
	if t.round <= b.round {
		delete(b.turns, t.team)
		return
	}
	b.debtors.push(t)
}

func (b *band) resize(t *turn, cost int64) {
	b.size(t, -1)
	t.cost += cost
	b.size(t, 1)
}

// size counts a team in, or out where sign is negative.
func (b *band) size(t *turn, sign int64) {
	if t.cost == 0 {
		return
	}
	s := &b.sizes[bits.Len64(uint64(t.cost/t.share))]
	s.cost += sign * t.cost
	s.share += sign * t.share
	s.teams += sign
}

// ahead estimates the cost that is served before an ask: what its team has
// with earlier deadlines, and of each other team its share of that, and one ask
// more by which it may overdraw. Teams are read by size and not one by one, so
// that the cost does not grow with their number.
func (b *band) ahead(it *item) (all, own int64) {
	share := int64(it.ask.Share)
	t := b.turns[it.ask.Team]
	waits := t != nil && t.cost > 0
	if waits {
		share = t.share
		own = t.queue.ahead(it)
		b.size(t, -1)
		defer b.size(t, 1)
	}
	// turns is how much each share is given until it is the ask's turn; a
	// team that is in debt has first to pay.
	turns := (own + it.cost + share - 1) / share
	if t != nil {
		turns += max(0, t.round-b.round) * quantum
	}
	all = own
	for _, s := range b.sizes {
		if s.teams > 0 {
			all += min(s.cost, turns*s.share+s.teams*b.longest)
		}
	}
	return all, own
}
