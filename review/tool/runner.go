package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A runner is a stand-in of a server of a service.
type runner struct {
	id, service, zone string
	slots             int
	store             *store
	listener          net.Listener
	born              int64
	// answer writes the answer to a request that runs. It returns early if the caller has
	// gone.
	answer func(r *runner, w http.ResponseWriter, q *http.Request)

	mu       sync.Mutex
	sequence int64
	running  int
	runs     map[string]int
	// silentFrom and silentUntil are when the runner falls silent and when it goes on.
	silentFrom, silentUntil time.Time
}

// fallSilent makes the runner do nothing for a time, after which it goes on.
func (r *runner) fallSilent(from time.Time, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentFrom, r.silentUntil = from, from.Add(d)
	note("runner %s falls silent for %d ms", r.id, d.Milliseconds())
}

// work waits for the duration of some work, and longer if the runner falls silent meanwhile.
// It reports whether the caller is still there.
func (r *runner) work(q *http.Request, d time.Duration) bool {
	for start := time.Now(); ; {
		r.mu.Lock()
		from, until := r.silentFrom, r.silentUntil
		r.mu.Unlock()
		now, end := time.Now(), start.Add(d)
		silent := now.Before(until) && !now.Before(from)
		switch {
		case silent:
			d -= max(0, from.Sub(start))
			if !wait(q, time.Until(until)) {
				return false
			}
			start = until
		case !now.Before(end):
			return true
		default:
			if !wait(q, min(5*time.Millisecond, time.Until(end))) {
				return false
			}
		}
	}
}

var zones = []string{"seoul-a", "seoul-b", "seoul-c"}

const heartbeat = 1200 * time.Millisecond

func newRunner(s *store, id string, number int, service string, slots int, answer func(*runner, http.ResponseWriter, *http.Request)) *runner {
	r := &runner{
		id: id, service: service, zone: zones[number%len(zones)], slots: slots, store: s, listener: listen(), born: time.Now().UnixMilli(), answer: answer,
		runs: make(map[string]int),
	}
	go http.Serve(r.listener, http.HandlerFunc(r.serve))
	go func() {
		for {
			r.beat()
			time.Sleep(heartbeat)
		}
	}()
	return r
}

func (r *runner) beat() {
	r.mu.Lock()
	r.sequence++
	data, err := json.Marshal(map[string]any{
		"Service": r.service, "Address": r.listener.Addr().String(), "Zone": r.zone, "Version": "v1", "Slots": r.slots, "State": "ready",
		"ColdLeftMs": 0, "Stage": "both", "Sequence": r.sequence, "born": r.born,
	})
	r.mu.Unlock()
	if err != nil {
		unusable("encode an entry: %v", err)
	}
	r.store.put("keyed.servers", r.id, data)
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", r.id)
		return
	case "/api/report":
		r.mu.Lock()
		running := r.running
		r.mu.Unlock()
		writeJSON(w, map[string]any{"Running": running, "Queued": 0, "KvUsed": 0, "KvTotal": 232000, "pace": 1})
		return
	case "/api/order":
		writeJSON(w, map[string]any{"Free": 100000})
		return
	}
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("X-Request-Id")
	if id == "" {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if ms, err := strconv.Atoi(q.Header.Get("X-Deadline-Ms")); err == nil {
		// Work stops at the deadline.
		ctx, cancel := context.WithTimeout(q.Context(), time.Duration(ms)*time.Millisecond)
		defer cancel()
		q = q.WithContext(ctx)
	}
	w.Header().Set("X-Request-Id", id)
	r.mu.Lock()
	full := r.running >= r.slots
	if !full {
		r.running++
		r.runs[id]++
	}
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", r.running, r.slots))
	r.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	note("runner %s runs %s (%d bytes of body, deadline %s ms)", r.id, id, len(body), q.Header.Get("X-Deadline-Ms"))
	w.Header().Set("X-Response-Seal", "seal-"+id)
	r.answer(r, w, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	note("runner %s ends %s, caller still there: %t", r.id, id, q.Context().Err() == nil)
}

// wait waits, and reports whether the caller is still there.
func wait(q *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-q.Context().Done():
		return false
	}
}

// The published figures of the engines, as in configure. Times are in milliseconds.
const (
	stride        = 43
	stepTime      = 1.02
	stepPerSeq    = 0.00226
	contextPerK   = 0.00431
	readPerMs     = 206.0
	pairsPerM     = 0.138
	tokensAnEvent = 43
)

// An engine is the state of a model runner: the contexts of the requests that write, and the
// number of prompts that are being read.
type engine struct {
	mu       sync.Mutex
	contexts map[string]int
	reading  int
}

// passTime returns how long the engine takes for one event of each stream.
func (e *engine) passTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for _, n := range e.contexts {
		sum += n
	}
	return milliseconds(stride * (stepTime + stepPerSeq*float64(len(e.contexts)) + contextPerK*float64(sum)/1000))
}

// answer reads the prompt and writes the longest answer that the request allows, at the speed
// that the engines' figures give. Prompts that are read at once share the engine.
func (e *engine) answer(r *runner, w http.ResponseWriter, q *http.Request) {
	prompt, output := 0, 0
	fmt.Sscanf(q.Header.Get("X-Token-Usage"), "%d,%d", &prompt, &output)
	readers := 1
	if h := q.Header.Get("X-Helpers"); h != "" {
		readers += strings.Count(h, ",") + 1
	}
	p := float64(prompt)
	left := milliseconds((p/readPerMs + pairsPerM*p*p/2/1e6) / float64(readers))
	const slice = 10 * time.Millisecond
	e.change(func() { e.reading++ })
	for left > 0 {
		if !r.work(q, slice) {
			e.change(func() { e.reading-- })
			return
		}
		e.change(func() { left -= slice / time.Duration(max(1, e.reading)) })
	}
	id := q.Header.Get("X-Request-Id")
	e.change(func() {
		e.reading--
		e.contexts[id] = prompt
	})
	defer e.change(func() { delete(e.contexts, id) })
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= max(1, output/tokensAnEvent); i++ {
		if !r.work(q, e.passTime()) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 40))
		w.(http.Flusher).Flush()
	}
}

func (e *engine) change(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func newEngine(s *store, number int) *runner {
	e := &engine{contexts: make(map[string]int)}
	return newRunner(s, fmt.Sprintf("i-engine-%d", number), number, engines, 16, e.answer)
}

// plain answers a request of a plain service after the given work.
func plain(work time.Duration) func(*runner, http.ResponseWriter, *http.Request) {
	return func(r *runner, w http.ResponseWriter, q *http.Request) {
		if r.work(q, work) {
			io.WriteString(w, "answer of "+q.Header.Get("X-Request-Id"))
			return
		}
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

// runnerOf returns the first of the runners that has run a request; nil if none has.
func runnerOf(runners []*runner, id string) *runner {
	for _, r := range runners {
		r.mu.Lock()
		runs := r.runs[id]
		r.mu.Unlock()
		if runs > 0 {
			return r
		}
	}
	return nil
}
