package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silence"] = silence }

// Bounds of the rule LOST.
const (
	graceS    = 8 * time.Second
	lossSlack = 200 * time.Millisecond
)

// A streamState is what is known of one stream that a client has asked a VM for.
type streamState struct {
	id          string
	vm          *vm
	sent, ended time.Time
	deadline    time.Duration
	outcome     outcome
	complete    bool
	// runs are the stretches in which runners worked on it.
	runs []*tenure
	// brokenOff is true if a runner ended its connection.
	brokenOff bool
}

// A streamLog records the streams by their ids.
type streamLog struct {
	mu      sync.Mutex
	streams map[string]*streamState
}

// begin records that a runner works on a stream. It returns nil if no client sent it.
func (l *streamLog) begin(id string) *tenure {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.streams[id]
	if st == nil {
		return nil
	}
	run := &tenure{from: time.Now()}
	st.runs = append(st.runs, run)
	return run
}

func (l *streamLog) end(run *tenure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.to = time.Now()
}

// A pauser makes an engine fall silent for a while.
type pauser struct {
	mu    sync.Mutex
	until time.Time
}

// wait waits until the engine goes on.
func (p *pauser) wait() {
	p.mu.Lock()
	left := time.Until(p.until)
	p.mu.Unlock()
	if left > 0 {
		time.Sleep(left)
		// The engine first notices which connections were closed meanwhile.
		time.Sleep(20 * time.Millisecond)
	}
}

// Figures of the configuration's Engine.
const (
	stepMs, perSeqMs, contextPerK = 1.02, 0.00226, 0.00431
	stride                        = 43
	readPerMs                     = 206
	promptTokens                  = 5000
	streamEvents                  = 40
	outputTokens                  = streamEvents * stride
	queueLength                   = 32
)

// pass returns the time of one pass that writes, by the Engine's figures.
func (k *runner) pass() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	ms := stride * (stepMs + perSeqMs*float64(k.running) + contextPerK*float64(k.context)/1000)
	return time.Duration(ms * float64(time.Millisecond))
}

// admit takes a slot, behind those that wait; it reports whether the engine took the request.
func (k *runner) admit(r *http.Request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.queued >= queueLength {
		return false
	}
	k.queued++
	defer func() { k.queued-- }()
	for k.running >= k.slots {
		k.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		gone := r.Context().Err() != nil
		k.mu.Lock()
		if gone {
			return false
		}
	}
	k.running++
	k.context += promptTokens + outputTokens/2
	return true
}

func (k *runner) leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running--
	k.context -= promptTokens + outputTokens/2
}

// runStream runs a stream at the speed that the Engine's figures give.
func (k *runner) runStream(w http.ResponseWriter, r *http.Request, p *pauser, log *streamLog) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	io.Copy(io.Discard, r.Body)
	if !k.admit(r) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer k.leave()
	run := log.begin(id)
	if run == nil {
		note("%s gets %s, which no client sent", k.id, id)
		return
	}
	defer log.end(run)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	note("%s begins to run %s after event %d", k.id, id, last)
	w.Header().Set("X-Response-Seal", "seal-"+k.id)
	w.Header().Set("Content-Type", "text/event-stream")
	wait := time.Duration(promptTokens/readPerMs) * time.Millisecond
	for n := last + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(wait + k.pass()):
		case <-r.Context().Done():
		}
		wait = 0
		p.wait()
		if r.Context().Err() != nil {
			note("%s: the run of %s was ended before event %d: its connection was closed", k.id, id, n)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		w.(http.Flusher).Flush()
	}
	note("%s: the run of %s ends: whole", k.id, id)
}

// isLost reports whether a stream broke the rule: a SIGTERM of its VM at stoppedAt is the only
// disruption.
func (st *streamState) isLost(stoppedAt time.Time) bool {
	switch {
	case st.complete, st.outcome.err == nil && st.outcome.status >= http.StatusMultipleChoices:
		return false // It has an answer or a refusal.
	case st.ended.Before(stoppedAt), st.ended.After(stoppedAt.Add(graceS + time.Second)):
		return false // There was no planned work then.
	case st.ended.Sub(st.sent) >= st.deadline:
		return false // The deadline was reached; the route's timeout is the same.
	case len(st.runs) == 0 && st.ended.Sub(st.sent) <= lossSlack:
		return false
	}
	for _, run := range st.runs {
		atWork := run.to.IsZero() || run.to.After(stoppedAt.Add(graceS*5/6))
		if atWork && st.sent.Before(stoppedAt.Add(3*time.Second)) {
			return false // The runner was still at work in the last sixth of GraceS.
		}
	}
	return true
}

// silence: a VM gets SIGTERM under a steady load that keeps the engines busy, and a sound
// engine falls silent for a moment and goes on.
func silence(trouble bool) bool {
	const (
		pause    = 1700 * time.Millisecond
		clients  = 63
		deadline = 15 * time.Second
		// Clients abandon a stream after four times the objective without an event.
		patience = 12 * time.Second
		// quiet is how long after the SIGTERM clients send no more.
		quiet = 6500 * time.Millisecond
	)
	s := newStore()
	log := &streamLog{streams: make(map[string]*streamState)}
	engines := make([]*runner, 3)
	pausers := make([]*pauser, 3)
	for i := range engines {
		p := &pauser{}
		k := newRunner("i-engine-"+strconv.Itoa(i+1), "pool", "bayern-"+string(rune('a'+i)), s, true)
		engines[i], pausers[i] = k, p
		k.mu.Lock()
		k.intercept = func(w http.ResponseWriter, r *http.Request) bool {
			p.wait()
			if r.Header.Get("X-Request-Id") == "" || r.Header.Get("X-Expect-Instance") != k.id {
				return false
			}
			k.runStream(w, r, p, log)
			return true
		}
		k.mu.Unlock()
	}
	newRunner("i-app-1", "app", "bayern-a", s, false)
	c := newConfig()
	c.routes[0]["TimeoutMs"], c.routes[0]["SloMs"], c.routes[0]["GapTargetMs"] = deadline.Milliseconds(), 3000, 600
	c.publish(s)
	var all []*vm
	for _, zone := range []string{"a", "b", "c"} {
		all = append(all, newVM("front-bayern-"+zone+"-1", "bayern-"+zone, s))
	}
	for _, v := range all {
		v.awaitReady()
	}
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	leaving, done := false, make(chan struct{})
	ask := func(v *vm) outcome {
		st := &streamState{id: newRequestID(), vm: v, deadline: deadline}
		log.mu.Lock()
		log.streams[st.id] = st
		st.sent = time.Now()
		log.mu.Unlock()
		o := send(v, request{id: st.id, method: "POST", path: "/ask/x", key: key, prompt: promptTokens, output: outputTokens, deadline: deadline, patience: patience, body: "question"})
		log.mu.Lock()
		defer log.mu.Unlock()
		st.ended, st.outcome = time.Now(), o
		st.complete = o.err == nil && strings.Contains(o.body, fmt.Sprintf("id: %d\n", streamEvents))
		return o
	}
	var load sync.WaitGroup
	for i := range clients {
		load.Add(1)
		go func() {
			defer load.Done()
			time.Sleep(time.Duration(i) * 4 * time.Second / clients)
			for at := i; ; {
				select {
				case <-done:
					return
				default:
				}
				mu.Lock()
				if leaving && all[at%3] == all[0] {
					at++ // The platform hands new connections to the other VMs.
				}
				mu.Unlock()
				o := ask(all[at%3])
				if after, err := strconv.ParseFloat(o.header.Get("Retry-After"), 64); err == nil {
					time.Sleep(time.Duration(after * float64(time.Second)))
				}
			}
		}()
	}
	time.Sleep(12 * time.Second)
	stoppedAt := time.Now()
	time.AfterFunc(quiet, func() { close(done) })
	if trouble {
		note("%s gets SIGTERM", all[0].name)
		all[0].signal(syscall.SIGTERM)
		// The platform hands on new connections until two questions in a row had no 200.
		time.AfterFunc(2*time.Second, func() { mu.Lock(); leaving = true; mu.Unlock() })
		time.AfterFunc(graceS, func() { all[0].signal(syscall.SIGKILL) })
	}
	time.Sleep(200 * time.Millisecond)
	note("i-engine-1, which runs %d requests, falls silent for %v", engines[0].busy(), pause)
	pausers[0].mu.Lock()
	pausers[0].until = time.Now().Add(pause)
	pausers[0].mu.Unlock()
	load.Wait()

	lost, cut, whole, refused := 0, 0, 0, 0
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, st := range log.streams {
		switch {
		case st.complete:
			whole++
		case st.outcome.err == nil:
			refused++
		default:
			cut++
			note("stream %s at %s, sent %.1f s before the moment of SIGTERM, ends incomplete %.1f s after it", st.id, st.vm.name, stoppedAt.Sub(st.sent).Seconds(), st.ended.Sub(stoppedAt).Seconds())
		}
		if trouble && st.vm == all[0] && st.isLost(stoppedAt) {
			lost++
			at := "no runner had it"
			if n := len(st.runs); n > 0 {
				at = fmt.Sprintf("its last run was ended after %.1f s", st.runs[n-1].to.Sub(stoppedAt).Seconds())
			}
			say("lost: stream %s, sent %.1f s before SIGTERM, ends incomplete %.1f s after it; %s", st.id, stoppedAt.Sub(st.sent).Seconds(), st.ended.Sub(stoppedAt).Seconds(), at)
		}
	}
	say("%d streams: %d whole, %d refused, %d ended incomplete, %d of them lost at the VM that was stopped", len(log.streams), whole, refused, cut, lost)
	if whole < clients {
		cannotRun("only %d streams were whole", whole)
	}
	if !trouble {
		return cut > 0
	}
	return lost > 0
}

func (k *runner) busy() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.running
}
