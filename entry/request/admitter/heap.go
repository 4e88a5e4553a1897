package admitter

import (
	"container/heap"
)

// A pile is a heap of entries that know their own places in it, so that any of
// them can be taken out or moved in logarithmic time.
type pile[E entry[E]] []E

// An entry is what a pile holds.
type entry[E any] interface {
	// before says whether it comes out ahead of the other.
	before(other E) bool
	// place is where its index in the pile is kept.
	place() *int
}

// Len is how many there are.
func (p pile[E]) Len() int { return len(p) }

// Less orders the pile.
func (p pile[E]) Less(i, j int) bool { return p[i].before(p[j]) }

// Swap keeps the entries' own places right.
func (p pile[E]) Swap(i, j int) {
	p[i], p[j] = p[j], p[i]
	*p[i].place(), *p[j].place() = i, j
}

// Push appends for package heap.
func (p *pile[E]) Push(x any) {
	e := x.(E) //nolint:forcetypeassert // only push calls it
	*e.place() = len(*p)
	*p = append(*p, e)
}

// Pop removes the last for package heap.
func (p *pile[E]) Pop() any {
	old := *p
	last := len(old) - 1
	e := old[last]
	clear(old[last:])
	*p = old[:last]
	return e
}

func (p *pile[E]) push(e E) { heap.Push(p, e) }

func (p *pile[E]) remove(e E) { heap.Remove(p, *e.place()) }

func (p *pile[E]) fix(e E) { heap.Fix(p, *e.place()) }

func (p *pile[E]) pop() E {
	return heap.Pop(p).(E) //nolint:forcetypeassert // only entries are pushed
}
