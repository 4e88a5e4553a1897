// Package worker is a test double of an upstream of the platform, a model engine or a
// plain service. It maintains its entry in the platform's list, serves requests in the
// platform's protocol, reserves memory, and fails on demand. It records the requests that
// it gets, so that tests can check that none ran twice.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A Config configures a Worker.
type Config struct {
	ID, Service, Zone string
	// Address is the address of the worker, and Store that of the store.
	Address, Store string
	Slots          int
	// Work is the duration of a plain request or of one event of a stream, which has
	// Events events.
	Work   time.Duration
	Events int
	// Memory is the number of tokens that can be reserved.
	Memory int
	// HeartbeatInterval is the interval at which the entry is written.
	HeartbeatInterval time.Duration
}

// A Fault is a way in which requests fail.
type Fault string

// The faults.
const (
	None Fault = ""
	// Decline rejects the request as not run. Lose runs it and closes the connection,
	// Cut closes the connection in the middle of a stream's event, Reset resets it after
	// half of an answer or between two events, NoResponse does not respond, Foreign
	// responds with the ID of another request, and Endless responds with bytes that do not
	// end until the caller closes the connection.
	Decline    Fault = "decline"
	Lose       Fault = "lose"
	Cut        Fault = "cut"
	Reset      Fault = "reset"
	NoResponse Fault = "mute"
	Foreign    Fault = "foreign"
	Endless    Fault = "endless"
)

// A RawAnswer is sent in place of an answer. The connection is closed after it.
type RawAnswer struct {
	// Data is sent byte for byte, with the ID of the request in place of ID.
	Data string
	// Early sends it before the body of the request is read, so that closing the connection
	// resets it.
	Early bool
}

// Poison is the prefix of the body of a request that crashes the worker: its running
// requests are interrupted, and it continues as a new process.
const Poison = "poison"

// PoisonPart is the prefix of the ID of a part of prompts. It crashes the worker like Poison,
// but only once the answer to a prompt with it begins. The last part of a prompt does not.
const PoisonPart = "deadbeef"

func hasPoisonPart(h http.Header) bool {
	parts := strings.Split(h.Get("X-Prompt-Prefix"), ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool { return strings.HasPrefix(p, PoisonPart) })
}

// truncatedEvent is the event of a stream that the fault Cut truncates, and before which Reset
// resets the connection.
const truncatedEvent = 3

// A Worker is an upstream.
type Worker struct {
	config Config
	born   int64

	mu sync.Mutex
	// crashed is closed when the worker crashes.
	crashed    chan struct{}
	state      string
	sequence   int64
	running    int
	fault      Fault
	faultsLeft int
	// raw, if not nil, is sent in place of the next rawLeft answers.
	raw     *RawAnswer
	rawLeft int
	// limit is the announced rate limit in requests per second; negative if there is
	// none.
	limit float64
	// unframed reports whether answers have neither a length nor chunks, and end with their
	// connection.
	unframed bool
	// leaving reports whether responses announce that the worker is leaving.
	leaving bool
	// rejectionsLeft is the number of requests that are still to be rejected with
	// Retry-After, and backoff its value.
	rejectionsLeft int
	backoff        time.Duration
	arrivals       []Arrival
	runs           map[string]int
	ran            []Run
	reservations   map[string]reservation
	// endedEarly are the requests whose unframed streams ended between two events.
	endedEarly map[string]bool
}

// A Run is a request that the worker ran.
type Run struct {
	ID, Method, Target, Tenant, Helpers, Parts, Body string
	Key                                              bool
	// At is when it began. It is not serialised.
	At time.Time `json:"-"`
}

// An Arrival is a request that reached the worker, whether or not it ran.
type Arrival struct {
	ID string
	At time.Time
	// Born is the start time of the worker's process.
	Born int64
	// Leaving reports whether the response announces that the worker is leaving, and
	// Backoff is the value of its Retry-After; 0 if there is none.
	Leaving bool
	Backoff time.Duration
}

type reservation struct {
	tokens int
	until  time.Time
}

// New returns a Worker in state "ready".
func New(c Config) *Worker {
	return &Worker{
		config: c, born: time.Now().UnixMilli(), state: "ready", crashed: make(chan struct{}), limit: -1,
		runs: make(map[string]int), reservations: make(map[string]reservation), endedEarly: make(map[string]bool),
	}
}

// Run writes the worker's entry at each heartbeat until ctx is done, and then deletes it.
func (k *Worker) Run(ctx context.Context) {
	t := time.NewTicker(k.config.HeartbeatInterval)
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

// Handler serves requests, and the calls of tests below /test/.
func (k *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", k.serveHealth)
	mux.HandleFunc("GET /api/report", k.serveReport)
	mux.HandleFunc("POST /api/order", k.serveOrder)
	mux.HandleFunc("GET /test/runs", k.serveRuns)
	mux.HandleFunc("PUT /test/fault", k.serveSetFault)
	mux.HandleFunc("PUT /test/drain", k.serveDrain)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		k.addAnnouncements(w)
		if _, pattern := mux.Handler(q); pattern != "" {
			mux.ServeHTTP(w, q)
			return
		}
		k.serve(w, q)
	})
}

func (k *Worker) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", k.config.ID)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state != "ready" || k.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (k *Worker) serveReport(w http.ResponseWriter, _ *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	used := 0
	for _, t := range k.reservations {
		used += t.tokens
	}
	json.NewEncoder(w).Encode(map[string]int{ //nolint:errcheck,errchkjson // the caller may have disconnected
		"Running": k.running, "KvUsed": used, "KvTotal": k.config.Memory, "HandleCount": len(k.reservations),
	})
}

func (k *Worker) expire() {
	for name, t := range k.reservations {
		if time.Now().After(t.until) {
			delete(k.reservations, name)
		}
	}
}

func (k *Worker) serveOrder(w http.ResponseWriter, q *http.Request) {
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
		delete(k.reservations, o.InstanceId)
		return
	}
	free := k.config.Memory
	for name, t := range k.reservations {
		if name != o.InstanceId {
			free -= t.tokens
		}
	}
	if o.TokenCount > free {
		w.WriteHeader(http.StatusConflict)
		return
	}
	k.reservations[o.InstanceId] = reservation{o.TokenCount, time.Now().Add(time.Duration(o.HoldMs) * time.Millisecond)}
}

func (k *Worker) serveRuns(w http.ResponseWriter, _ *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	json.NewEncoder(w).Encode(k.ran) //nolint:errcheck,errchkjson // the caller may have disconnected
}

// Runs returns the requests that ran.
func (k *Worker) Runs() []Run {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Run(nil), k.ran...)
}

// SetFault sets the fault of the next n requests.
func (k *Worker) SetFault(f Fault, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault, k.faultsLeft = f, n
}

// SetRawAnswer sets what is sent in place of the next n answers.
func (k *Worker) SetRawAnswer(a RawAnswer, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.raw, k.rawLeft = &a, n
}

func (k *Worker) nextRawAnswer() *RawAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.rawLeft == 0 {
		return nil
	}
	k.rawLeft--
	return k.raw
}

func (k *Worker) serveSetFault(_ http.ResponseWriter, q *http.Request) {
	n, err := strconv.Atoi(q.FormValue("n"))
	if err != nil {
		n = 1
	}
	k.SetFault(Fault(q.FormValue("fault")), n)
}

func (k *Worker) serveDrain(http.ResponseWriter, *http.Request) {
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
	id := q.Header.Get("X-Request-Id")
	raw := k.nextRawAnswer()
	if raw != nil && raw.Early {
		if _, _, ok := k.begin(id, q, ""); ok {
			defer k.end()
		}
		sendRaw(w, raw, id)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
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
	if raw != nil {
		sendRaw(w, raw, id)
		return
	}
	if strings.HasPrefix(string(body), Poison) {
		k.crash()
	}
	switch fault {
	case NoResponse:
		<-q.Context().Done()
		return
	case Lose:
		panic(http.ErrAbortHandler)
	case Foreign:
		w.Header().Set("X-Request-Id", "of-another")
	default:
	}
	w.Header().Set("X-Response-Seal", "seal-"+k.config.ID)
	if fault == Endless {
		writeEndlessly(w)
		return
	}
	if q.Header.Get("X-Token-Usage") == "" {
		k.work(q, k.crashing())
		if fault == Reset {
			io.WriteString(w, "answer")
			http.NewResponseController(w).Flush()
			reset(w)
			return
		}
		io.WriteString(w, "answer of "+id)
		return
	}
	k.stream(w, q, fault)
}

// crashing returns a channel that is closed when the worker crashes.
func (k *Worker) crashing() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.crashed
}

// crash interrupts all running requests, including the one that calls it.
func (k *Worker) crash() {
	k.mu.Lock()
	close(k.crashed)
	k.crashed, k.born = make(chan struct{}), time.Now().UnixMilli()
	k.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// work waits for the duration of a plain request or of one event, and reports whether the
// caller is still connected.
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

// SetRateLimit sets the announced rate limit in requests per second; a negative value
// removes it.
func (k *Worker) SetRateLimit(perSecond float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limit = perSecond
}

// SetUnframed sets whether answers have neither a length nor chunks and end with their
// connection.
func (k *Worker) SetUnframed(unframed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unframed = unframed
}

// EndedEarly reports whether the stream of a request ended between two events before the last
// one, so that nothing but the missing events tells it from a whole one.
func (k *Worker) EndedEarly(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.endedEarly[id]
}

func (k *Worker) markEndedEarly(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unframed {
		k.endedEarly[id] = true
	}
}

// sendRaw sends a raw answer to the request with the given ID, and closes its connection.
func sendRaw(w http.ResponseWriter, a *RawAnswer, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	io.WriteString(c, strings.ReplaceAll(a.Data, "ID", id)) //nolint:errcheck // the caller may have disconnected
	c.Close()
}

// reset resets the connection of a request after what was written to it.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // closing it resets it at best
	}
	c.Close()
}

// writeEndlessly writes lines until the caller closes the connection. To a caller that
// expects a stream they are comments.
func writeEndlessly(w http.ResponseWriter) {
	lines := bytes.Repeat([]byte(": endless\n\n"), 4<<10)
	for err := error(nil); err == nil; {
		_, err = w.Write(lines)
	}
}

// AnnounceLeaving makes responses announce that the worker is leaving. It continues to
// serve, and its entry in the list does not change.
func (k *Worker) AnnounceLeaving() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
}

// Restart makes the worker continue as a new process, which has announced nothing.
func (k *Worker) Restart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving, k.rejectionsLeft, k.born, k.sequence = false, 0, time.Now().UnixMilli(), 0
}

// RejectWithBackoff rejects the next n requests with 503 and the given Retry-After.
func (k *Worker) RejectWithBackoff(n int, retryAfter time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rejectionsLeft, k.backoff = n, retryAfter
}

// Address returns the address of the worker.
func (k *Worker) Address() string { return k.config.Address }

// Arrivals returns the requests that reached the worker.
func (k *Worker) Arrivals() []Arrival {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Arrival(nil), k.arrivals...)
}

// addAnnouncements adds the headers that all responses of the worker have.
func (k *Worker) addAnnouncements(w http.ResponseWriter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.limit >= 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(k.limit, 'f', -1, 64))
	}
	if k.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if k.unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
}

// begin admits a request or rejects it. It returns the fault to apply to it, and the value
// of Retry-After if it was rejected with one.
func (k *Worker) begin(id string, q *http.Request, body string) (f Fault, backoff time.Duration, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	if k.rejectionsLeft > 0 {
		k.rejectionsLeft--
		backoff = k.backoff
	}
	k.arrivals = append(k.arrivals, Arrival{ID: id, At: time.Now(), Born: k.born, Leaving: k.leaving, Backoff: backoff})
	if backoff > 0 {
		return None, backoff, false
	}
	fault := None
	if k.faultsLeft > 0 {
		k.faultsLeft--
		fault = k.fault
	}
	if fault == Decline || k.running >= k.config.Slots {
		return fault, 0, false
	}
	k.running++
	k.runs[id]++
	h := q.Header
	k.ran = append(k.ran, Run{
		ID: id, Method: q.Method, Target: q.RequestURI, Tenant: h.Get("X-Tenant"), Helpers: h.Get("X-Helpers"),
		Parts: h.Get("X-Prompt-Prefix"),
		Body:  body, Key: h.Get("Authorization") != "", At: time.Now(),
	})
	return fault, 0, true
}

func (k *Worker) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running--
}

// LongEvents is the end of the paths whose streams have events of LongEventBytes and more:
// a caller that reads them slowly soon fills the buffers on the way.
const (
	LongEvents     = "/long"
	LongEventBytes = 64 << 10
)

// event returns an event of a stream.
func event(path string, i int) string {
	text := strconv.Itoa(i)
	if strings.HasSuffix(path, LongEvents) {
		text += strings.Repeat(".", LongEventBytes)
	}
	return "id: " + strconv.Itoa(i) + "\ndata: " + text + "\n\n"
}

func (k *Worker) stream(w http.ResponseWriter, q *http.Request, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(strings.TrimSpace(q.Header.Get("Last-Event-Id")))
	if err != nil {
		last = 0
	}
	flusher, ok := w.(http.Flusher)
	crashing := k.crashing()
	endsEarly := false
	defer func() {
		if endsEarly {
			k.markEndedEarly(q.Header.Get("X-Request-Id"))
		}
	}()
	for i := last + 1; ok && i <= k.config.Events; i++ {
		endsEarly = i > last+1
		if !k.work(q, crashing) {
			// The VM closed the connection.
			endsEarly = false
			return
		}
		endsEarly = false
		if i == last+1 && hasPoisonPart(q.Header) {
			k.crash()
		}
		if fault == Cut && i == truncatedEvent {
			io.WriteString(w, "id: 3\nda")
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if fault == Reset && i == truncatedEvent {
			reset(w)
			return
		}
		io.WriteString(w, event(q.URL.Path, i))
		flusher.Flush()
	}
}
