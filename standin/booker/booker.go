// Package booker is a stand-in for a plain service, such as one that books
// seats. It counts the effects of each call, so that a test sees at the
// upstream itself whether something ran twice.
package booker

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathervane/heathervane/standin/answerer"
	"github.com/heathervane/heathervane/standin/delayer"
	"github.com/heathervane/heathervane/standin/faulter"
	"github.com/heathervane/heathervane/standin/warmer"
)

// A Config sets up a service.
type Config struct {
	// Slots is how many calls run at once; Queue is how many more may wait.
	Slots, Queue int
	// Work is how long a call takes.
	Work time.Duration
	// Cold, Warm, Fall and Started are as in warmer.Config.
	Cold, Warm int
	Fall       time.Duration
	Started    bool
	// Lag is how late load reports are.
	Lag time.Duration
	// Now reads the time.
	Now func() time.Time
}

// maxBody bounds a call's body in bytes.
const maxBody = 8 << 20

// A Booker is one process of a service. It is safe for concurrent use.
type Booker struct {
	config Config
	faults *faulter.Faulter
	slots  chan struct{}

	mu      sync.Mutex
	warm    *warmer.Warmer
	fallen  chan struct{} // closed when all calls in progress are lost
	inside  int           // calls that run or wait
	effects map[string]int
	reports *delayer.Delayer[report]
}

// report is the load, in its form for callers.
type report struct {
	Boot    uint64 `json:"boot"`
	Age     int64  `json:"age_ms"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Slots   int    `json:"slots"`
	Cold    bool   `json:"cold"`
}

// New returns a service that starts now.
func New(c Config) *Booker {
	now := c.Now()
	b := &Booker{
		config:  c,
		slots:   make(chan struct{}, c.Slots),
		fallen:  make(chan struct{}),
		effects: make(map[string]int),
		warm: warmer.New(warmer.Config{
			Cold: c.Cold, Warm: c.Warm, Fall: c.Fall, Started: c.Started,
		}, now),
	}
	b.reports = delayer.New(c.Lag, now, b.report())
	b.faults = faulter.New(b.faultsSet)
	return b
}

func (b *Booker) faultsSet(f faulter.Faults) {
	if !f.Cold {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warm.Turn(b.config.Now())
	b.clear()
}

// clear loses the calls in progress, which have no effect then.
func (b *Booker) clear() {
	close(b.fallen)
	b.fallen = make(chan struct{})
	b.inside = 0
	b.note()
}

func (b *Booker) note() { b.reports.Note(b.config.Now(), b.report()) }

func (b *Booker) report() report {
	running := min(b.inside, b.config.Slots)
	return report{
		Boot: b.warm.Boot(), Running: running, Waiting: b.inside - running,
		Slots: b.config.Slots, Cold: b.warm.Cold(),
	}
}

// Handler serves calls, counts and faults.
func (b *Booker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/effects", b.count)
	mux.HandleFunc("GET /v1/load", b.load)
	mux.HandleFunc("GET /v1/peak", b.peak)
	mux.HandleFunc("/", b.call)
	return b.faults.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		boot := b.warm.Boot()
		b.mu.Unlock()
		w.Header().Set("Upstream-Boot", strconv.FormatUint(boot, 10))
		mux.ServeHTTP(w, r)
	}))
}

// answer is what a call gets: enough to see that it belongs to it.
type answer struct {
	Key     string `json:"key"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"` // xxhash64 in hex
	Effects int    `json:"effects"`
}

func (b *Booker) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		answerer.Refuse(w, http.StatusRequestEntityTooLarge, "body", err.Error())
		return
	}
	a := answer{Method: r.Method, Path: r.URL.Path, Body: fmt.Sprintf("%016x", xxhash.Sum64(body))}
	a.Key = keyOf(r, a.Body)
	fallen, status := b.enter()
	if status != 0 {
		refuse(w, status)
		return
	}
	if !b.work(fallen) {
		panic(http.ErrAbortHandler)
	}
	a.Effects = b.effect(a.Key)
	answerer.JSON(w, http.StatusOK, a)
}

// keyOf is what a call's effect is counted under.
func keyOf(r *http.Request, body string) string {
	for _, name := range []string{"Idempotency-Key", "Call"} {
		if v := r.Header.Get(name); v != "" {
			return v
		}
	}
	return body
}

// fell is the status of a call from which the service fell over: it gets no
// answer.
const fell = -1

func refuse(w http.ResponseWriter, status int) {
	switch status {
	case fell:
		panic(http.ErrAbortHandler)
	case http.StatusServiceUnavailable:
		answerer.Refuse(w, status, "down", "fallen over")
	default:
		answerer.Refuse(w, status, "full", "no slot and no place in the queue")
	}
}

// enter lets a call in; a status other than 0 says why not.
func (b *Booker) enter() (fallen chan struct{}, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	if b.warm.Down(now) {
		return nil, http.StatusServiceUnavailable
	}
	if b.inside >= b.config.Slots+b.config.Queue {
		return nil, http.StatusTooManyRequests
	}
	if !b.warm.Enter(now, b.inside+1) {
		b.clear()
		return nil, fell
	}
	b.inside++
	b.note()
	return b.fallen, 0
}

// work takes a call's time in a slot. It goes on when the caller has left, and
// returns false where the service fell over meanwhile.
func (b *Booker) work(fallen chan struct{}) bool {
	select {
	case b.slots <- struct{}{}:
	case <-fallen:
		return false
	}
	defer func() { <-b.slots }()
	took := b.config.Work
	if x := b.faults.Faults().Slower; x > 1 {
		took = time.Duration(float64(took) * x)
	}
	t := time.NewTimer(took)
	defer t.Stop()
	select {
	case <-t.C:
	case <-fallen:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fallen != fallen {
		return false
	}
	b.inside--
	b.warm.Done()
	b.note()
	return true
}

// effect counts a call and returns how often it has run.
func (b *Booker) effect(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.effects[key]++
	return b.effects[key]
}

// effectsAnswer is the counts of all calls.
type effectsAnswer struct {
	Effects map[string]int `json:"effects"`
}

func (b *Booker) count(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	a := effectsAnswer{make(map[string]int, len(b.effects))}
	for key, n := range b.effects {
		a.Effects[key] = n
	}
	b.mu.Unlock()
	answerer.JSON(w, http.StatusOK, a)
}

func (b *Booker) load(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	now := b.config.Now()
	shown := b.reports.Show(now)
	b.mu.Unlock()
	shown.Value.Age = now.Sub(shown.At).Milliseconds()
	answerer.JSON(w, http.StatusOK, shown.Value)
}

func (b *Booker) peak(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	p := b.warm.Peak()
	b.mu.Unlock()
	answerer.JSON(w, http.StatusOK, p)
}
