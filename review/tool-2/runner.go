package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An arrival is a request that reached a runner.
type arrival struct {
	id, tenant, target, helpers string
	at                          time.Time
}

// A ticket is memory set aside.
type ticket struct {
	tokens, uses  int
	at, expiresAt time.Time
	expiry        *time.Timer
}

// A runner is a stand-in of a runner.
type runner struct {
	id, service, zone, address string
	engine                     bool
	slots, memory              int
	work                       time.Duration
	events                     int
	store                      *store

	mu       sync.Mutex
	born     int64
	sequence int
	state    string
	running  int
	// queued are the requests that wait for a slot, and context is the memory of those that run.
	queued, context int
	arrivals        []arrival
	tickets         map[string]*ticket
	// intercept, if set, is asked first with each call.
	intercept func(w http.ResponseWriter, r *http.Request) (done bool)
	// firstEvent, if set, returns how long the engine reads a prompt.
	firstEvent func(r *http.Request) time.Duration
	// onTicket is told when memory is set aside or free.
	onTicket func(name string, held bool, tokens int)
}

func newRunner(id, service, zone string, s *store, engine bool) *runner {
	l := listen()
	k := &runner{
		id: id, service: service, zone: zone, store: s, engine: engine, slots: 16, memory: 232_000, work: 30 * time.Millisecond, events: 10,
		born: time.Now().UnixMilli(), state: "ready", address: l.Addr().String(), tickets: make(map[string]*ticket),
	}
	go http.Serve(l, k)
	k.beat()
	go func() {
		t := time.NewTicker(1200 * time.Millisecond)
		for range t.C {
			k.beat()
		}
	}()
	return k
}

// beat writes the runner's entry.
func (k *runner) beat() {
	k.mu.Lock()
	k.sequence++
	data, _ := json.Marshal(map[string]any{
		"Service": k.service, "Address": k.address, "Zone": k.zone, "Version": "v1", "Slots": k.slots, "State": k.state,
		"ColdLeftMs": 0, "Sequence": k.sequence, "born": k.born,
	})
	k.mu.Unlock()
	k.store.put("keyed.servers", k.id, data)
}

func (k *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	intercept := k.intercept
	k.mu.Unlock()
	if intercept != nil && intercept(w, r) {
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", k.id)
	case r.Method == http.MethodGet && r.URL.Path == "/api/report":
		k.serveReport(w)
	case r.Method == http.MethodPost && r.URL.Path == "/api/order":
		k.serveOrder(w, r)
	default:
		k.serveRequest(w, r)
	}
}

func (k *runner) serveReport(w http.ResponseWriter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	used := k.context
	tickets := []any{}
	for name, t := range k.tickets {
		used += t.tokens
		state := "held"
		if t.uses > 0 {
			state = "used"
		}
		tickets = append(tickets, map[string]any{"InstanceId": name, "TokenCount": t.tokens, "State": state, "AgeMs": time.Since(t.at).Milliseconds()})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{
		"Stage": "both", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Busy": false, "Sequence": 0,
		"Queued": k.queued, "Running": k.running, "KvUsed": used, "KvTotal": k.memory, "HandleCount": len(k.tickets), "Tickets": tickets,
		"pace": 1, "born": k.born,
	})
}

type order struct {
	Operation, InstanceId string
	TokenCount            int
	HoldMs                int64
}

func (k *runner) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := k.carryOut(o)
	k.mu.Lock()
	free := k.memory
	for _, t := range k.tickets {
		free -= t.tokens
	}
	k.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"Free": free})
}

// carryOut carries an order out and returns the status of its answer.
func (k *runner) carryOut(o order) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	status := http.StatusOK
	switch o.Operation {
	case "reserve":
		free := k.memory
		for name, t := range k.tickets {
			if name != o.InstanceId {
				free -= t.tokens
			}
		}
		if o.TokenCount > k.memory {
			status = http.StatusBadRequest
		} else if o.TokenCount > free || len(k.tickets) >= 64 {
			status = http.StatusConflict
		} else {
			k.reserve(o)
		}
	case "release":
		k.release(o.InstanceId)
	default:
		status = http.StatusBadRequest
	}
	note("%s carries out: %s %s %d tokens for %d ms: %d", k.id, o.Operation, o.InstanceId, o.TokenCount, o.HoldMs, status)
	return status
}

func (k *runner) reserve(o order) {
	t, ok := k.tickets[o.InstanceId]
	if !ok {
		t = &ticket{at: time.Now()}
		k.tickets[o.InstanceId] = t
		if k.onTicket != nil {
			k.onTicket(o.InstanceId, true, o.TokenCount)
		}
	} else {
		t.expiry.Stop()
	}
	t.tokens = o.TokenCount
	hold := time.Duration(o.HoldMs) * time.Millisecond
	t.expiresAt = time.Now().Add(hold)
	t.expiry = time.AfterFunc(hold, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.tickets[o.InstanceId] == t && !time.Now().Before(t.expiresAt) {
			k.release(o.InstanceId)
			note("%s: the lease of %s has ended", k.id, o.InstanceId)
		}
	})
}

func (k *runner) release(name string) {
	if t, ok := k.tickets[name]; ok {
		t.expiry.Stop()
		delete(k.tickets, name)
		if k.onTicket != nil {
			k.onTicket(name, false, 0)
		}
	}
}

func (k *runner) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != k.id {
		w.Header().Set("X-Instance-Id", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	k.mu.Lock()
	k.arrivals = append(k.arrivals, arrival{id, r.Header.Get("X-Tenant"), r.RequestURI, r.Header.Get("X-Helpers"), time.Now()})
	full := k.running >= k.slots
	if !full {
		k.running++
	}
	k.mu.Unlock()
	note("%s gets %s %s %s helpers=%q full=%v", k.id, id, r.Method, r.RequestURI, r.Header.Get("X-Helpers"), full)
	if full {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		k.mu.Lock()
		k.running--
		k.mu.Unlock()
	}()
	w.Header().Set("X-Response-Seal", "seal-"+k.id)
	if !k.engine {
		select {
		case <-time.After(k.work):
		case <-r.Context().Done():
			return
		}
		io.WriteString(w, "answer of "+id)
		return
	}
	k.stream(w, r)
}

func (k *runner) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	wait := time.Duration(0)
	if k.firstEvent != nil {
		wait = k.firstEvent(r)
	}
	for i := last + 1; i <= k.events; i++ {
		select {
		case <-time.After(wait + k.work):
		case <-r.Context().Done():
			return
		}
		wait = 0
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, r.Header.Get("X-Request-Id"))
		w.(http.Flusher).Flush()
	}
}

// changeUses changes by n how many requests use a ticket.
func (k *runner) changeUses(name string, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.tickets[name]; t != nil {
		t.uses += n
	}
}

// helperTickets returns the tickets in a request's header, by address.
func helperTickets(header string) map[string]string {
	all := make(map[string]string)
	for _, part := range strings.Split(header, ",") {
		if address, name, ok := strings.Cut(strings.TrimSpace(part), "/"); ok {
			all[address] = name
		}
	}
	return all
}
