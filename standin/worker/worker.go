// Package worker stands in for an upstream of the users' platform, a model
// engine or a plain service: it writes its entry to the platform's list, answers
// requests in the platform's dialect, sets memory aside, and can be told to go
// wrong. It takes no time to compute anything but what a test asks for, and
// remembers what ran, so that a test can tell whether something ran twice.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A Config is what a worker is.
type Config struct {
	ID, Service, Zone string
	// Address is where it serves, and Store the store's address.
	Address, Store string
	Slots          int
	// Work is how long a plain request or one event takes, Events how many
	// events a stream has.
	Work   time.Duration
	Events int
	// Memory is the tokens that can be set aside.
	Memory int
	// Beat is the time between two writings of its entry.
	Beat time.Duration
}

// A Fault is what goes wrong with the next requests.
type Fault string

// The faults.
const (
	None Fault = ""
	// Decline refuses as not run, Lose runs and breaks the connection, Cut
	// breaks a stream inside its third event, Mute answers nothing, Foreign
	// answers with another request's id.
	Decline Fault = "decline"
	Lose    Fault = "lose"
	Cut     Fault = "cut"
	Mute    Fault = "mute"
	Foreign Fault = "foreign"
)

// Poison is how the body of a request begins that crashes whoever runs it: all
// that is in progress there breaks off, and it goes on as one that has just
// started.
const Poison = "poison"

// cutAt is the event inside which a stream is cut.
const cutAt = 3

// A Worker is one upstream.
type Worker struct {
	config Config
	born   int64

	mu sync.Mutex
	// crashed is closed when what is in progress breaks off.
	crashed  chan struct{}
	state    string
	sequence int64
	running  int
	fault    Fault
	strikes  int
	// limit is how many requests a second it says that it takes; negative where it
	// says nothing.
	limit float64
	// leaving is whether it says that it leaves.
	leaving bool
	// shedLeft is how many requests it rejects with Retry-After, and shedFor the
	// time that it names there.
	shedLeft int
	shedFor  time.Duration
	arrivals []Arrival
	runs     map[string]int
	seen     []Run
	tickets  map[string]ticket
}

// A Run is a request that ran here.
type Run struct {
	ID, Method, Target, Tenant, Helpers, Body string
	Key                                       bool
	// At is when it began; it is known in this process only.
	At time.Time `json:"-"`
}

// An Arrival is a request that has reached the worker, whether or not it ran.
type Arrival struct {
	ID string
	At time.Time
	// Born is the start of the worker's process that it reached.
	Born int64
	// Leaving is whether the response says that the worker leaves, and Backoff the
	// time that it names in Retry-After; 0 where it names none.
	Leaving bool
	Backoff time.Duration
}

type ticket struct {
	tokens int
	until  time.Time
}

// New returns a Worker that is ready.
func New(c Config) *Worker {
	return &Worker{
		config: c, born: time.Now().UnixMilli(), state: "ready", crashed: make(chan struct{}), limit: -1,
		runs: make(map[string]int), tickets: make(map[string]ticket),
	}
}

// Run writes the worker's entry until the context ends, and then drops it.
func (k *Worker) Run(ctx context.Context) {
	t := time.NewTicker(k.config.Beat)
	defer t.Stop()
	for {
		k.write(ctx, k.entry())
		select {
		case <-ctx.Done():
			k.write(context.WithoutCancel(ctx), nil)
			return
		case <-t.C:
		}
	}
}

type entry struct {
	Service, Address, Zone, Version, State string
	Slots                                  int
	ColdLeftMs                             float64
	Sequence                               int64
	Born                                   int64 `json:"born"`
}

func (k *Worker) entry() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sequence++
	c := k.config
	data, err := json.Marshal(entry{c.Service, c.Address, c.Zone, "v1", k.state, c.Slots, 0, k.sequence, k.born})
	if err != nil {
		return nil
	}
	return data
}

func (k *Worker) write(ctx context.Context, value []byte) {
	target := "http://" + k.config.Store + "/put?topic=keyed.servers&key=" + k.config.ID
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(value))
	if err != nil {
		return
	}
	if reply, err := http.DefaultClient.Do(q); err == nil {
		reply.Body.Close()
	}
}

// Handler serves requests, and a test's own calls below /test/.
func (k *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", k.health)
	mux.HandleFunc("GET /api/report", k.report)
	mux.HandleFunc("POST /api/order", k.order)
	mux.HandleFunc("GET /test/runs", k.list)
	mux.HandleFunc("PUT /test/fault", k.strike)
	mux.HandleFunc("PUT /test/drain", k.drain)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		k.name(w)
		if _, pattern := mux.Handler(q); pattern != "" {
			mux.ServeHTTP(w, q)
			return
		}
		k.serve(w, q)
	})
}

func (k *Worker) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", k.config.ID)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state != "ready" || k.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (k *Worker) report(w http.ResponseWriter, _ *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	used := 0
	for _, t := range k.tickets {
		used += t.tokens
	}
	json.NewEncoder(w).Encode(map[string]int{ //nolint:errcheck,errchkjson // a caller that left is no matter here
		"Running": k.running, "KvUsed": used, "KvTotal": k.config.Memory, "HandleCount": len(k.tickets),
	})
}

func (k *Worker) expire() {
	for name, t := range k.tickets {
		if time.Now().After(t.until) {
			delete(k.tickets, name)
		}
	}
}

func (k *Worker) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation, InstanceId string //nolint:revive // the platform's spelling
		TokenCount            int
		HoldMs                int64
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	if o.Operation == "release" {
		delete(k.tickets, o.InstanceId)
		return
	}
	free := k.config.Memory
	for name, t := range k.tickets {
		if name != o.InstanceId {
			free -= t.tokens
		}
	}
	if o.TokenCount > free {
		w.WriteHeader(http.StatusConflict)
		return
	}
	k.tickets[o.InstanceId] = ticket{o.TokenCount, time.Now().Add(time.Duration(o.HoldMs) * time.Millisecond)}
}

func (k *Worker) list(w http.ResponseWriter, _ *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	json.NewEncoder(w).Encode(k.seen) //nolint:errcheck,errchkjson // a caller that left is no matter here
}

// Runs are the requests that ran here.
func (k *Worker) Runs() []Run {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Run(nil), k.seen...)
}

// Strike sets the fault of so many next requests.
func (k *Worker) Strike(f Fault, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault, k.strikes = f, n
}

func (k *Worker) strike(_ http.ResponseWriter, q *http.Request) {
	n, err := strconv.Atoi(q.FormValue("n"))
	if err != nil {
		n = 1
	}
	k.Strike(Fault(q.FormValue("fault")), n)
}

func (k *Worker) drain(http.ResponseWriter, *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = "draining"
}

func (k *Worker) serve(w http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != k.config.ID {
		w.Header().Set("X-Instance-Id", k.config.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	fault, backoff, ok := k.begin(id, q, string(body))
	if !ok {
		if backoff > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
		}
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer k.end()
	if strings.HasPrefix(string(body), Poison) {
		k.crash()
	}
	switch fault {
	case Mute:
		<-q.Context().Done()
		return
	case Lose:
		panic(http.ErrAbortHandler)
	case Foreign:
		w.Header().Set("X-Request-Id", "of-another")
	default:
	}
	w.Header().Set("X-Response-Seal", "seal-"+k.config.ID)
	if q.Header.Get("X-Token-Usage") == "" {
		k.work(q, k.crashing())
		io.WriteString(w, "answer of "+id)
		return
	}
	k.stream(w, q, fault)
}

// crashing is closed when the worker next crashes.
func (k *Worker) crashing() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.crashed
}

// crash breaks off all that is in progress, and the request that calls it.
func (k *Worker) crash() {
	k.mu.Lock()
	close(k.crashed)
	k.crashed, k.born = make(chan struct{}), time.Now().UnixMilli()
	k.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// work takes the time of a plain request or of one event, and says whether its
// caller is still there.
func (k *Worker) work(q *http.Request, crashing <-chan struct{}) bool {
	select {
	case <-crashing:
		panic(http.ErrAbortHandler)
	case <-q.Context().Done():
		return false
	case <-time.After(k.config.Work):
		return true
	}
}

// Limit has the worker say from now on that it takes so many requests a second, or
// nothing of it where that is negative.
func (k *Worker) Limit(perSecond float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limit = perSecond
}

// Leave has the worker say from now on that it leaves. It goes on serving, and its
// entry in the list does not change.
func (k *Worker) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
}

// Restart has the worker go on as a new process: it no longer says that it leaves, nor
// that it wants no requests.
func (k *Worker) Restart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving, k.shedLeft, k.born, k.sequence = false, 0, time.Now().UnixMilli(), 0
}

// Shed rejects the next n requests with 503 and asks their senders for a pause.
func (k *Worker) Shed(n int, pause time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.shedLeft, k.shedFor = n, pause
}

// Address is where the worker serves.
func (k *Worker) Address() string { return k.config.Address }

// Arrivals are the requests that have reached the worker.
func (k *Worker) Arrivals() []Arrival {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Arrival(nil), k.arrivals...)
}

// name names in an answer what the worker says of itself in all of them.
func (k *Worker) name(w http.ResponseWriter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.limit >= 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(k.limit, 'f', -1, 64))
	}
	if k.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
}

// begin takes a request in, or not; and says what goes wrong with it, and for how long
// its sender is to pause.
func (k *Worker) begin(id string, q *http.Request, body string) (f Fault, backoff time.Duration, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	if k.shedLeft > 0 {
		k.shedLeft--
		backoff = k.shedFor
	}
	k.arrivals = append(k.arrivals, Arrival{ID: id, At: time.Now(), Born: k.born, Leaving: k.leaving, Backoff: backoff})
	if backoff > 0 {
		return None, backoff, false
	}
	fault := None
	if k.strikes > 0 {
		k.strikes--
		fault = k.fault
	}
	if fault == Decline || k.running >= k.config.Slots {
		return fault, 0, false
	}
	k.running++
	k.runs[id]++
	h := q.Header
	k.seen = append(k.seen, Run{
		ID: id, Method: q.Method, Target: q.RequestURI, Tenant: h.Get("X-Tenant"), Helpers: h.Get("X-Helpers"),
		Body: body, Key: h.Get("Authorization") != "", At: time.Now(),
	})
	return fault, 0, true
}

func (k *Worker) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running--
}

func (k *Worker) stream(w http.ResponseWriter, q *http.Request, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(strings.TrimSpace(q.Header.Get("Last-Event-Id")))
	if err != nil {
		last = 0
	}
	flusher, ok := w.(http.Flusher)
	crashing := k.crashing()
	for i := last + 1; ok && i <= k.config.Events; i++ {
		if !k.work(q, crashing) {
			return
		}
		if fault == Cut && i == cutAt {
			io.WriteString(w, "id: 3\nda")
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		flusher.Flush()
	}
}
