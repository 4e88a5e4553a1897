package admitter

// A queue holds one team's waiting asks of one band by deadline. It is a treap
// that sums costs, because an estimate needs the cost ahead of a deadline, and
// a plain heap could give it only by reading everything.
type queue struct {
	root *item
}

// first gives the earliest deadline, or nil.
func (q *queue) first() *item {
	it := q.root
	for it != nil && it.left != nil {
		it = it.left
	}
	return it
}

// ahead sums the costs of what goes before an ask.
func (q *queue) ahead(of *item) int64 {
	var sum int64
	for it := q.root; it != nil; {
		if earlier(it, of) {
			sum += it.cost + total(it.left)
			it = it.right
		} else {
			it = it.left
		}
	}
	return sum
}

func (q *queue) insert(it *item) {
	// A multiplicative hash of the identifier serves as the random rank.
	it.rank = (it.ask.ID + 1) * 0x9e3779b97f4a7c15
	it.rank ^= it.rank >> 29
	it.rank *= 0xbf58476d1ce4e5b9
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
	if it.rank > at.rank {
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

// split cuts a tree into what goes before the key and the rest.
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
	case left.rank > right.rank:
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
	it.sum = it.cost + total(it.left) + total(it.right)
}

func total(it *item) int64 {
	if it == nil {
		return 0
	}
	return it.sum
}

func earlier(i, j *item) bool {
	if !i.ask.Deadline.Equal(j.ask.Deadline) {
		return i.ask.Deadline.Before(j.ask.Deadline)
	}
	return i.ask.ID < j.ask.ID
}
