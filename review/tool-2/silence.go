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

const graceS = 8 * time.Second

// A streamState is what is known of one stream that a client has asked the stopping VM for.
type streamState struct {
	id          string
	sent, ended time.Time
	// runs are the stretches in which runners worked on it.
	runs    []*tenure
	outcome outcome
}

// A pauser makes an engine fall silent for a while.
type pauser struct {
	mu    sync.Mutex
	until time.Time
}

// wait waits until the engine goes on, and reports whether it was silent.
func (p *pauser) wait() bool {
	p.mu.Lock()
	left := time.Until(p.until)
	p.mu.Unlock()
	time.Sleep(left)
	return left > 0
}

// silence: a VM gets SIGTERM while its clients' streams run, and a sound runner falls silent
// for a moment and goes on. All other runners are busy.
func silence(trouble bool) bool {
	const (
		pause    = 1500 * time.Millisecond
		interval = 350 * time.Millisecond
		events   = 16
		streams  = 12
		patience = 25 * time.Second
	)
	s := newStore()
	var mu sync.Mutex
	watched := make(map[string]*streamState)
	pausers := make([]*pauser, 3)
	onEngine := make([]int, 3)
	for i := range pausers {
		p := &pauser{}
		pausers[i] = p
		k := newRunner("i-engine-"+strconv.Itoa(i+1), "pool", "bayern-"+string(rune('a'+i)), s, true)
		k.mu.Lock()
		k.intercept = func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("X-Request-Id")
			if id == "" || r.Header.Get("X-Expect-Instance") != k.id {
				return false
			}
			io.Copy(io.Discard, r.Body)
			if p.wait() {
				// The engine first notices which connections were closed meanwhile.
				time.Sleep(20 * time.Millisecond)
			}
			w.Header().Set("X-Request-Id", id)
			k.mu.Lock()
			full := k.running >= k.slots
			if !full {
				k.running++
			}
			k.mu.Unlock()
			if full {
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
			run := &tenure{from: time.Now()}
			mu.Lock()
			st := watched[id]
			if st != nil {
				st.runs = append(st.runs, run)
				onEngine[i]++
			}
			mu.Unlock()
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			if st != nil {
				note("%s begins to run %s after event %d", k.id, id, last)
			}
			w.Header().Set("X-Response-Seal", "seal-"+k.id)
			w.Header().Set("Content-Type", "text/event-stream")
			how := "whole"
			for n := last + 1; n <= events; n++ {
				select {
				case <-time.After(interval):
				case <-r.Context().Done():
				}
				p.wait()
				if r.Context().Err() != nil {
					how = fmt.Sprintf("cut before event %d", n)
					break
				}
				fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
				w.(http.Flusher).Flush()
			}
			k.mu.Lock()
			k.running--
			k.mu.Unlock()
			mu.Lock()
			run.to = time.Now()
			if st != nil {
				onEngine[i]--
				note("%s: the run of %s ends: %s", k.id, id, how)
			}
			mu.Unlock()
			return true
		}
		k.mu.Unlock()
	}
	newRunner("i-app-1", "app", "bayern-a", s, false)
	c := newConfig()
	c.routes[0]["TimeoutMs"], c.routes[0]["GapTargetMs"] = patience.Milliseconds(), 250
	c.publish(s)
	var all []*vm
	for _, zone := range []string{"a", "b", "c"} {
		all = append(all, newVM("front-bayern-"+zone+"-1", "bayern-"+zone, s))
	}
	for _, v := range all {
		v.awaitReady()
	}
	time.Sleep(4 * time.Second)

	// Clients of the other VMs ask for one stream after the other.
	stop := make(chan struct{})
	var load sync.WaitGroup
	work := func(n int, until <-chan struct{}) {
		for i := range n {
			load.Add(1)
			go func() {
				defer load.Done()
				for first := true; ; first = false {
					select {
					case <-until:
						return
					default:
					}
					if first {
						time.Sleep(time.Duration(i) * 40 * time.Millisecond)
					}
					c, err := dial(all[1+i%2].front)
					if err != nil {
						return
					}
					o := c.do(&request{method: "POST", path: "/ask/x", key: otherKey, prompt: 5000, output: 1360, deadline: 10 * time.Second, body: "question"})
					c.Close()
					if o.status != http.StatusOK {
						time.Sleep(300 * time.Millisecond)
					}
				}
			}()
		}
	}
	work(30, stop)
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	states := make([]*streamState, streams)
	for i := range states {
		st := &streamState{id: newRequestID()}
		states[i] = st
		mu.Lock()
		watched[st.id] = st
		mu.Unlock()
		clients.Add(1)
		go func() {
			defer clients.Done()
			st.sent = time.Now()
			st.outcome = send(all[0], request{id: st.id, method: "POST", path: "/ask/x", key: key, prompt: 5000, output: 1360, deadline: patience, body: fmt.Sprintf("question %d", i)})
			st.ended = time.Now()
		}()
	}
	time.Sleep(1200 * time.Millisecond)
	more := make(chan struct{})
	work(24, more)
	time.Sleep(1300 * time.Millisecond)
	stoppedAt := time.Now()
	time.AfterFunc(6500*time.Millisecond, func() { close(more) })
	if trouble {
		note("%s gets SIGTERM", all[0].name)
		all[0].signal(syscall.SIGTERM)
		time.AfterFunc(graceS, func() { all[0].signal(syscall.SIGKILL) })
	}
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	most := 0
	for i, n := range onEngine {
		if n > onEngine[most] {
			most = i
		}
	}
	note("i-engine-%d, which runs %d of the streams, falls silent for %v", most+1, onEngine[most], pause)
	mu.Unlock()
	pausers[most].mu.Lock()
	pausers[most].until = time.Now().Add(pause)
	pausers[most].mu.Unlock()
	clients.Wait()
	close(stop)
	broken, whole := 0, 0
	mu.Lock()
	for _, st := range states {
		complete := st.outcome.err == nil && strings.Contains(st.outcome.body, fmt.Sprintf("id: %d\n", events))
		if complete {
			whole++
			continue
		}
		atWork := false
		passedOn := len(st.runs) > 0
		for _, r := range st.runs {
			// In the last sixth of GraceS.
			if r.to.IsZero() || r.to.After(stoppedAt.Add(graceS*5/6)) {
				atWork = true
			}
		}
		refused := st.outcome.status >= 300 && st.outcome.err == nil
		if trouble && passedOn && !atWork && !refused {
			broken++
			say("stream %s, sent %.1f s before SIGTERM, ends incomplete %.1f s after it; its last run was ended after %.1f s", st.id, stoppedAt.Sub(st.sent).Seconds(), st.ended.Sub(stoppedAt).Seconds(), st.runs[len(st.runs)-1].to.Sub(stoppedAt).Seconds())
		}
	}
	mu.Unlock()
	say("%d of %d streams were whole, %d were passed on and ended incomplete though no runner worked on them any more", whole, streams, broken)
	if !trouble {
		return whole < streams
	}
	return broken > 0
}
