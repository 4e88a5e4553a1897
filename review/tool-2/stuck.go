package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["stuck"] = stuck }

const idleMaxMs = 9 * time.Second

// stepTime is the time of one event of such a stream, by the Engine's figures.
const stepTime = 90 * time.Millisecond

// readTime returns how long the engine and its helpers read a prompt of longPrompt tokens, by
// the Engine's figures: read_per_s, and pairs_per_m for the pairs of tokens.
func readTime(r *http.Request) time.Duration {
	readers := 1 + strings.Count(r.Header.Get("X-Helpers"), ",")
	if r.Header.Get("X-Helpers") != "" {
		readers++
	}
	const pairs = float64(longPrompt) * longPrompt / 2 / 1e6
	ms := (longPrompt/readPerMs + 0.138*pairs) / float64(readers)
	return time.Duration(ms * float64(time.Millisecond))
}

const longPrompt = 300_000

// stuck: a runner hangs a part of its requests while its health check is good. Prompts that
// are larger than a runner's memory come on a route whose streams may not be resumed.
func stuck(trouble bool) bool {
	const (
		span = 6500 * time.Millisecond
		// Clients abandon a stream after four times the objective without an event.
		patience = 12 * time.Second
		// The engines read a prompt in about a second, all of them together.
		prompts, interval = 8, 2200 * time.Millisecond
	)
	s := newStore()
	log := &ticketLog{tenures: make(map[string][]*tenure), lastUse: make(map[string]time.Time)}
	var mu sync.Mutex
	var hangsUntil time.Time
	hung, served, arrived, inTrouble := 0, 0, 0, -1
	byAddress := make(map[string]*runner)
	changeUses := func(names map[string]string, n int) {
		for address, name := range names {
			byAddress[address].changeUses(name, n)
		}
	}
	for i := range 8 {
		k := newRunner("i-engine-"+strconv.Itoa(i+1), "pool", "bayern-"+string(rune('a'+i%3)), s, true)
		byAddress[k.address] = k
		k.mu.Lock()
		k.work, k.events, k.onTicket, k.firstEvent = stepTime, 10, log.onTicket, readTime
		k.intercept = func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("X-Request-Id")
			if id == "" {
				return false
			}
			mu.Lock()
			hangs := false
			if time.Now().Before(hangsUntil) {
				if inTrouble < 0 {
					inTrouble = i
				}
				if i == inTrouble {
					hangs = arrived%3 == 0
					arrived++
				}
			}
			if hangs {
				hung++
			}
			mu.Unlock()
			if hangs {
				io.Copy(io.Discard, r.Body)
				note("%s gets %s and hangs, helpers=%q", k.id, id, r.Header.Get("X-Helpers"))
				<-r.Context().Done()
				note("%s: the connection of %s was closed", k.id, id)
				return true
			}
			names := helperTickets(r.Header.Get("X-Helpers"))
			if len(names) == 0 {
				return false
			}
			log.use(names, false)
			changeUses(names, 1)
			defer log.use(names, true)
			defer changeUses(names, -1)
			k.serveRequest(w, r)
			return true
		}
		k.mu.Unlock()
	}
	newRunner("i-app-1", "app", "bayern-a", s, false)
	c := newConfig()
	c.routes[0]["Resumable"] = false
	c.publish(s)
	var all []*vm
	for _, zone := range []string{"a", "b", "c"} {
		all = append(all, newVM("front-bayern-"+zone+"-1", "bayern-"+zone, s))
	}
	for _, v := range all {
		v.awaitReady()
	}
	time.Sleep(4 * time.Second)
	if trouble {
		mu.Lock()
		hangsUntil = time.Now().Add(span)
		mu.Unlock()
		note("one runner, the first to get a prompt, hangs every third of its requests for %v", span)
	}
	var requests sync.WaitGroup
	for i := range prompts {
		requests.Add(1)
		go func() {
			defer requests.Done()
			o := send(all[i%3], request{method: "POST", path: "/ask/x", key: key, prompt: longPrompt, output: 400, deadline: 15 * time.Second, patience: patience, body: fmt.Sprintf("document %d", i)})
			if o.status == http.StatusOK && o.err == nil {
				mu.Lock()
				served++
				mu.Unlock()
			}
		}()
		time.Sleep(interval)
	}
	requests.Wait()
	time.Sleep(6 * time.Second)
	say("%d of %d prompts served, %d hung", served, prompts, hung)
	if trouble && hung == 0 {
		cannotRun("no runner got a prompt in time")
	}
	n := log.unused()
	say("%d tickets held memory for IdleMaxMs and %v more, and no request used them", n, stretchMs)
	return n > 0
}
