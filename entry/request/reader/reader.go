// Package reader reads request bodies within a bound on each and a bound over
// all of them together. A prompt of a million tokens is several megabytes and
// an entry VM is small: without the second bound a handful of long prompts at
// once would end the process, and every stream on it.
package reader

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/heathervane/heathervane/entry/request/refuser"
)

// CopiesPerBody is how many copies of a body stand in memory at worst while it is
// parsed and sent on: as read, as the prompt taken from it, as encoded for the
// upstream.
const CopiesPerBody = 3

// step is how much a body of unknown length reserves at a time, in bytes.
const step = 64 << 10

// retry is when a caller turned away for memory may come back: bodies are held
// only until they are sent on, which takes less than this.
const retry = time.Second

// A MemoryBudget bounds bytes over all requests.
type MemoryBudget interface {
	TryAcquire(n int64) bool
	Release(n int64)
}

// A Reader reads bodies.
type Reader struct {
	// MaxBytes is the longest body in bytes.
	MaxBytes int64
	// Budget bounds the memory of all bodies.
	Budget MemoryBudget
	// Timeout is how long a body may take from its first byte to its last.
	// A caller who sends half a body and stops would else hold its memory.
	Timeout time.Duration
}

// A Body is what was read. Its memory counts until Release.
type Body struct {
	Data   []byte
	budget MemoryBudget
	held   int64
}

// Release gives the body's memory back. It may be called more than once.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.budget.Release(b.held)
	b.held = 0
	b.Data = nil
}

// Read reads the body of a request, or says why not.
func (r *Reader) Read(w http.ResponseWriter, q *http.Request) (*Body, *refuser.Refusal) {
	if q.ContentLength > r.MaxBytes {
		return nil, r.large()
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(r.Timeout)); err == nil {
		defer control.SetReadDeadline(time.Time{}) //nolint:errcheck // a closed connection shows at the next read
	}
	b := &Body{budget: r.Budget}
	if refusal := r.fill(b, q); refusal != nil {
		b.Release()
		// What is left of the body is not read: the connection is of no use
		// to a later request.
		w.Header().Set("Connection", "close")
		return nil, refusal
	}
	return b, nil
}

func (r *Reader) fill(b *Body, q *http.Request) *refuser.Refusal {
	size := q.ContentLength
	if size < 0 {
		size = step
	}
	if !b.grow(size) {
		return full()
	}
	b.Data = make([]byte, 0, size+1)
	for {
		if len(b.Data) == cap(b.Data) {
			if !b.grow(int64(cap(b.Data))) {
				return full()
			}
			b.Data = append(make([]byte, 0, 2*cap(b.Data)), b.Data...)
		}
		n, err := q.Body.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		if int64(len(b.Data)) > r.MaxBytes {
			return r.large()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return broken(err)
		}
	}
}

func (b *Body) grow(n int64) bool {
	if !b.budget.TryAcquire(n * CopiesPerBody) {
		return false
	}
	b.held += n * CopiesPerBody
	return true
}

func (r *Reader) large() *refuser.Refusal {
	return refuser.New(http.StatusRequestEntityTooLarge, "body_too_large", "the body is longer than %d bytes", r.MaxBytes)
}

func full() *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, "memory", "no memory is free for a body of this length").WithRetryAfter(retry)
}

func broken(err error) *refuser.Refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuser.New(http.StatusRequestTimeout, "body_slow", "the body did not arrive in time")
	}
	return refuser.New(http.StatusBadRequest, "body_cut", "the body ended early")
}
