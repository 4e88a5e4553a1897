package admitter

// queue holds the waiting requests of one team in one band, ordered by deadline.
// It is a treap with the sum of costs per subtree, because estimates need the
// total cost ahead of a deadline, which a plain heap could compute only by a
// full scan.
type queue struct {
	root *item
}

// first returns the item with the earliest deadline, or nil.
func (q *queue) first() *item {
	it := q.root
	for it != nil && it.left != nil {
		it = it.left
	}
	return it
}

// costAhead returns the total cost of the items that go before the given one.
func (q *queue) costAhead(of *item) int64 {
	var sum int64
	for it := q.root; it != nil; {
		if earlier(it, of) {
			sum += it.cost + subtreeCost(it.left)
			it = it.right
		} else {
			it = it.left
		}
	}
	return sum
}

func (q *queue) insert(it *item) {
	// A multiplicative hash of the ID serves as the random treap priority.
	it.priority = (it.request.ID + 1) * 0x9e3779b97f4a7c15
	it.priority ^= it.priority >> 29
	it.priority *= 0xbf58476d1ce4e5b9
	it.left, it.right = nil, nil
	q.root = insert(q.root, it)
}

func (q *queue) delete(it *item) {
	q.root = remove(q.root, it)
	it.left, it.right = nil, nil
}

func insert(at, it *item) *item {
	if at == nil {
		it.update()
		return it
	}
	if it.priority > at.priority {
		it.left, it.right = split(at, it)
		it.update()
		return it
	}
	if earlier(it, at) {
		at.left = insert(at.left, it)
	} else {
		at.right = insert(at.right, it)
	}
	at.update()
	return at
}

func remove(at, it *item) *item {
	if at == nil {
		return nil
	}
	if at == it {
		return merge(at.left, at.right)
	}
	if earlier(it, at) {
		at.left = remove(at.left, it)
	} else {
		at.right = remove(at.right, it)
	}
	at.update()
	return at
}

// split divides a tree into the items that go before key and the rest.
func split(at, key *item) (left, right *item) {
	if at == nil {
		return nil, nil
	}
	if earlier(at, key) {
		at.right, right = split(at.right, key)
		left = at
	} else {
		left, at.left = split(at.left, key)
		right = at
	}
	at.update()
	return left, right
}

func merge(left, right *item) *item {
	switch {
	case left == nil:
		return right
	case right == nil:
		return left
	case left.priority > right.priority:
		left.right = merge(left.right, right)
		left.update()
		return left
	default:
		right.left = merge(left, right.left)
		right.update()
		return right
	}
}

func (it *item) update() {
	it.subtreeCost = it.cost + subtreeCost(it.left) + subtreeCost(it.right)
}

func subtreeCost(it *item) int64 {
	if it == nil {
		return 0
	}
	return it.subtreeCost
}

func earlier(i, j *item) bool {
	if !i.request.Deadline.Equal(j.request.Deadline) {
		return i.request.Deadline.Before(j.request.Deadline)
	}
	return i.request.ID < j.request.ID
}
