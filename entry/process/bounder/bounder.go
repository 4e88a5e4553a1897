// Package bounder bounds a quantity over all requests of a process together,
// such as the bytes of the request bodies in memory. It does not wait: an entry
// VM is small, and a caller who is told at once can go to another.
package bounder

import "sync"

// A Bounder lends parts of a fixed total.
type Bounder struct {
	mu    sync.Mutex
	total int64
	used  int64
}

// New returns a Bounder of a total.
func New(total int64) *Bounder {
	return &Bounder{total: total}
}

// TryAcquire takes n of the total, or nothing and false where that much is not left.
func (b *Bounder) TryAcquire(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n < 0 || b.used+n > b.total {
		return false
	}
	b.used += n
	return true
}

// Release returns n that TryAcquire took.
func (b *Bounder) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// Used is what is taken now.
func (b *Bounder) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Total is the bound.
func (b *Bounder) Total() int64 { return b.total }
