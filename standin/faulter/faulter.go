// Package faulter gives a stand-in the faults that tests set at run time over
// HTTP. It changes how answers travel; what a fault does inside a role (a cut
// stream, slower rates) the role asks for.
package faulter

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/heathervane/heathervane/standin/answerer"
)

// Faults are what is wrong with a stand-in at present.
type Faults struct {
	// Down has every call answered 503, and streams in progress cut.
	Down bool `json:"down"`
	// Slow delays each answer by so many milliseconds, after its effect.
	Slow int `json:"slow_ms"`
	// Freeze holds all calls and all work until it is taken back.
	Freeze bool `json:"freeze"`
	// Lose loses the next n answers to calls other than GET, after the effect.
	Lose int `json:"lose"`
	// Double sends the next n stream tokens twice, or lands the next n appends
	// twice.
	Double int `json:"double"`
	// Reorder swaps the next n stream tokens with the token after each.
	Reorder int `json:"reorder"`
	// Cut cuts the next stream after n tokens, once.
	Cut int `json:"cut"`
	// Cold makes an upstream cold again, with a new boot number, once.
	Cold bool `json:"cold"`
	// Slower divides an upstream's rates; 0 and 1 leave them.
	Slower float64 `json:"slower"`
}

// maxFaults bounds the body of PUT /faults in bytes.
const maxFaults = 4 << 10

// A Faulter keeps the faults of one stand-in. It is safe for concurrent use.
type Faulter struct {
	onSet func(Faults)

	mu     sync.Mutex
	faults Faults
	thawed chan struct{} // closed when not frozen
}

// New returns a Faulter without faults. It calls onSet, unless nil, after each
// change.
func New(onSet func(Faults)) *Faulter {
	f := &Faulter{onSet: onSet, thawed: make(chan struct{})}
	close(f.thawed)
	return f
}

// Faults returns what is wrong at present.
func (f *Faulter) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Set replaces the faults.
func (f *Faulter) Set(faults Faults) {
	f.mu.Lock()
	was := f.faults.Freeze
	f.faults = faults
	if faults.Freeze && !was {
		f.thawed = make(chan struct{})
	}
	if !faults.Freeze && was {
		close(f.thawed)
	}
	f.mu.Unlock()
	if f.onSet != nil {
		f.onSet(faults)
	}
}

// take reports whether a counted fault applies now, and counts it down.
func (f *Faulter) take(count func(*Faults) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := count(&f.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Double reports whether the next token or append is to be doubled.
func (f *Faulter) Double() bool { return f.take(func(s *Faults) *int { return &s.Double }) }

// Reorder reports whether the next token is to be swapped.
func (f *Faulter) Reorder() bool { return f.take(func(s *Faults) *int { return &s.Reorder }) }

// Cut returns after how many tokens the stream that starts now is cut; 0 means
// not at all.
func (f *Faulter) Cut() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.faults.Cut
	f.faults.Cut = 0
	return n
}

// Wrap puts the faults before a handler and serves /faults itself, which no
// fault touches.
func (f *Faulter) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", f.get)
	mux.HandleFunc("PUT /faults", f.put)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if !f.await(r) {
			panic(http.ErrAbortHandler)
		}
		if f.Faults().Down {
			answerer.Refuse(w, http.StatusServiceUnavailable, "down", "down")
			return
		}
		next.ServeHTTP(&writer{ResponseWriter: w, request: r, faulter: f}, r)
	})
	return mux
}

// await waits while frozen, and returns false where the caller left meanwhile.
func (f *Faulter) await(r *http.Request) bool {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	select {
	case <-thawed:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (f *Faulter) get(w http.ResponseWriter, _ *http.Request) {
	answerer.JSON(w, http.StatusOK, f.Faults())
}

func (f *Faulter) put(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaults))
	d.DisallowUnknownFields() // a misspelt fault would make a test pass for nothing
	if err := d.Decode(&faults); err != nil {
		answerer.Error(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	f.Set(faults)
	answerer.JSON(w, http.StatusOK, faults)
}

// A writer applies the faults of answers when the first byte would leave: by
// then the call has had its effect.
type writer struct {
	http.ResponseWriter
	request *http.Request
	faulter *Faulter
	started bool
}

// WriteHeader delays or loses the answer.
func (w *writer) WriteHeader(status int) {
	if !w.started {
		w.started = true
		w.start()
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *writer) start() {
	if w.request.Method != http.MethodGet && w.faulter.take(func(s *Faults) *int { return &s.Lose }) {
		panic(http.ErrAbortHandler)
	}
	if !w.faulter.await(w.request) {
		panic(http.ErrAbortHandler)
	}
	slow := time.Duration(w.faulter.Faults().Slow) * time.Millisecond
	if slow <= 0 {
		return
	}
	t := time.NewTimer(slow)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.request.Context().Done():
	}
}

// Write starts the answer where WriteHeader did not.
func (w *writer) Write(data []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap lets an http.ResponseController reach the connection.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
