package admitter

import (
	"container/heap"
)

// A latestHeap orders waiting asks by the latest moment of their start.
type latestHeap []*item

func (h *latestHeap) push(it *item) { heap.Push(h, it) }

func (h *latestHeap) remove(it *item) { heap.Remove(h, it.index) }

// Len is how many there are.
func (h latestHeap) Len() int { return len(h) }

// Less orders by start.
func (h latestHeap) Less(i, j int) bool { return h[i].start.Before(h[j].start) }

// Swap keeps the items' own places right.
func (h latestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends for package heap.
func (h *latestHeap) Push(x any) {
	it := x.(*item) //nolint:forcetypeassert // only push calls it
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop removes the last for package heap.
func (h *latestHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}

// A turnHeap orders the teams of a band by their next turn.
type turnHeap []*turn

// Len is how many there are.
func (h turnHeap) Len() int { return len(h) }

// Less orders by round, and within a round by who waited longer for it.
func (h turnHeap) Less(i, j int) bool {
	if h[i].round != h[j].round {
		return h[i].round < h[j].round
	}
	return h[i].seq < h[j].seq
}

// Swap keeps the turns' own places right.
func (h turnHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends for package heap.
func (h *turnHeap) Push(x any) {
	t := x.(*turn) //nolint:forcetypeassert // only bands push
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop removes the last for package heap.
func (h *turnHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}
