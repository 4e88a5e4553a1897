package admitter

import (
	"container/heap"
)

// indexedHeap is a heap whose entries store their own index, so that any entry
// can be removed or moved in logarithmic time.
type indexedHeap[E heapEntry[E]] []E

// heapEntry is the element type of an indexedHeap.
type heapEntry[E any] interface {
	// before reports whether the entry is ordered ahead of the other.
	before(other E) bool
	// heapIndex returns a pointer to the stored index of the entry.
	heapIndex() *int
}

// Len implements sort.Interface.
func (p indexedHeap[E]) Len() int { return len(p) }

// Less implements sort.Interface.
func (p indexedHeap[E]) Less(i, j int) bool { return p[i].before(p[j]) }

// Swap implements sort.Interface and updates the stored indexes.
func (p indexedHeap[E]) Swap(i, j int) {
	p[i], p[j] = p[j], p[i]
	*p[i].heapIndex(), *p[j].heapIndex() = i, j
}

// Push implements heap.Interface.
func (p *indexedHeap[E]) Push(x any) {
	e := x.(E) //nolint:forcetypeassert // only called by push
	*e.heapIndex() = len(*p)
	*p = append(*p, e)
}

// Pop implements heap.Interface.
func (p *indexedHeap[E]) Pop() any {
	old := *p
	last := len(old) - 1
	e := old[last]
	clear(old[last:])
	*p = old[:last]
	return e
}

func (p *indexedHeap[E]) push(e E) { heap.Push(p, e) }

func (p *indexedHeap[E]) remove(e E) { heap.Remove(p, *e.heapIndex()) }

func (p *indexedHeap[E]) fix(e E) { heap.Fix(p, *e.heapIndex()) }

func (p *indexedHeap[E]) pop() E {
	return heap.Pop(p).(E) //nolint:forcetypeassert // push accepts only E
}
