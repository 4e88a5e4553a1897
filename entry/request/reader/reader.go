// Package reader reads request bodies. It limits the size of each body and the
// memory of all bodies together. A prompt of a million tokens is several
// megabytes and an entry VM is small: without the limit on the total, a handful
// of concurrent long prompts would exhaust the memory of the process and end
// every stream that it serves.
package reader

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/heathervane/heathervane/entry/request/refuser"
)

// CopiesPerBody is the largest number of copies of a body in memory while it is
// parsed and forwarded: the bytes read, the prompt extracted from them and the
// body encoded for the upstream.
const CopiesPerBody = 3

// initialReservation is the buffer size in bytes that a body of unknown length
// starts with. The buffer doubles whenever it is full.
const initialReservation = 64 << 10

// CodeMemory is the code of refusals for lack of memory.
const CodeMemory = "memory"

// retryAfter is when a caller may retry after a rejection for lack of memory, unless the
// Reader knows better. Bodies stay in memory only until they are forwarded, which takes less time.
const retryAfter = time.Second

// A MemoryBudget limits the bytes reserved by all requests together.
type MemoryBudget interface {
	TryAcquire(n int64) bool
	Release(n int64)
}

// A Reader reads request bodies within its limits.
type Reader struct {
	// MaxBytes is the size limit of one body.
	MaxBytes int64
	// Budget limits the memory of all bodies.
	Budget MemoryBudget
	// RetryAfter returns when a caller may retry for which no memory was free, given the
	// missing bytes. It may be nil.
	RetryAfter func(n int64) time.Duration
	// Timeout limits the time for reading a body, so that a caller that stops
	// in the middle of one does not keep its memory reserved.
	Timeout time.Duration
}

// A Body is a request body. Its memory stays reserved until Release.
type Body struct {
	Data     []byte
	budget   MemoryBudget
	reserved int64
}

// Release returns the body's memory to the budget. It may be called on nil, and
// more than once.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.budget.Release(b.reserved)
	b.reserved = 0
	b.Data = nil
}

// Read reads the body of a request. On failure it returns the refusal to send.
func (r *Reader) Read(w http.ResponseWriter, q *http.Request) (*Body, *refuser.Refusal) {
	if q.ContentLength > r.MaxBytes {
		return nil, r.tooLarge()
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(r.Timeout)); err == nil {
		defer control.SetReadDeadline(time.Time{}) //nolint:errcheck // a closed connection fails the next read
	}
	b := &Body{budget: r.Budget}
	if refusal := r.fill(b, q); refusal != nil {
		b.Release()
		// The rest of the body stays unread, so that the connection cannot be
		// reused for another request.
		w.Header().Set("Connection", "close")
		return nil, refusal
	}
	return b, nil
}

func (r *Reader) fill(b *Body, q *http.Request) *refuser.Refusal {
	size := q.ContentLength
	if size < 0 {
		size = initialReservation
	}
	if !b.reserve(size) {
		return r.outOfMemory(size)
	}
	b.Data = make([]byte, 0, size+1)
	for {
		if len(b.Data) == cap(b.Data) {
			if !b.reserve(int64(cap(b.Data))) {
				return r.outOfMemory(int64(cap(b.Data)))
			}
			b.Data = append(make([]byte, 0, 2*cap(b.Data)), b.Data...)
		}
		n, err := q.Body.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		if int64(len(b.Data)) > r.MaxBytes {
			return r.tooLarge()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return readFailure(err)
		}
	}
}

func (b *Body) reserve(n int64) bool {
	if !b.budget.TryAcquire(n * CopiesPerBody) {
		return false
	}
	b.reserved += n * CopiesPerBody
	return true
}

func (r *Reader) tooLarge() *refuser.Refusal {
	return refuser.New(http.StatusRequestEntityTooLarge, "body_too_large", "the body is longer than %d bytes", r.MaxBytes)
}

func (r *Reader) outOfMemory(size int64) *refuser.Refusal {
	after := retryAfter
	if r.RetryAfter != nil {
		after = r.RetryAfter(size * CopiesPerBody)
	}
	return refuser.New(http.StatusServiceUnavailable, CodeMemory, "no memory is free for a body of this length").WithRetryAfter(after)
}

func readFailure(err error) *refuser.Refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuser.New(http.StatusRequestTimeout, "body_slow", "the body did not arrive in time")
	}
	return refuser.New(http.StatusBadRequest, "body_cut", "the body ended early")
}
