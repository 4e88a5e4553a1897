// Package bounder limits a quantity across all requests of a process, such as the
// bytes of request bodies in memory. It never waits: an entry VM is small, and a
// caller that is refused immediately can go to another VM.
package bounder

import "sync"

// A Bounder hands out parts of a fixed total.
type Bounder struct {
	mu    sync.Mutex
	total int64
	used  int64
}

// New returns a Bounder with the given total.
func New(total int64) *Bounder {
	return &Bounder{total: total}
}

// TryAcquire takes n from the total. It takes nothing and returns false if n is
// negative or less than n is left.
func (b *Bounder) TryAcquire(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n < 0 || b.used+n > b.total {
		return false
	}
	b.used += n
	return true
}

// Release returns n that TryAcquire has taken.
func (b *Bounder) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// Used returns how much is currently taken.
func (b *Bounder) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Total returns the total.
func (b *Bounder) Total() int64 { return b.total }
