package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["newer"] = newerCase
	cases["stream"] = streamCase
}

// Requests of the kinds that the small deployments have.
var (
	// lookup is a course-qa with an answer of two events, and question one with 30 events.
	lookup   = call{method: http.MethodPost, path: "/lohu930/2f", tokens: "1000,86", deadline: 10 * time.Second}
	question = call{method: http.MethodPost, path: "/lohu930/2f", tokens: "16000,1290", deadline: 10 * time.Second}
	// brief is the largest agreement-brief.
	brief = call{method: http.MethodPost, path: "/pufi791/2f", tokens: "110000,2042", deadline: 10 * time.Second}
	// booking is a seat-booking.
	booking = call{method: http.MethodPost, path: "/puxa403/2f", deadline: 4 * time.Second}
)

const (
	// grace is GraceS of the settings, and calm StableWindowMs.
	grace = 8 * time.Second
	calm  = 3 * time.Second
	// streamTimeout is TimeoutMs of the streaming routes.
	streamTimeout = 10 * time.Second
	// silence is for how long a sound runner falls silent.
	silence = time.Second
)

// open opens a connection and uses it once, so that it is a kept one.
func open(v *vm, name string, first call) *caller {
	c, err := dial(v)
	if err != nil {
		unusable("connect to %s: %v", v.name, err)
	}
	first.id = name + "-first"
	c.do(&first)
	if !first.whole || first.status != http.StatusOK || first.closes {
		unusable("the first request of %s failed", name)
	}
	return c
}

// sendAll sends a request on each connection, with pauses between, and returns the calls.
func sendAll(done *sync.WaitGroup, callers []*caller, name string, k call, pause time.Duration) (calls []*call) {
	for i, c := range callers {
		one := k
		one.id = fmt.Sprintf("%s-%d", name, i)
		calls = append(calls, &one)
		done.Go(func() { c.do(&one) })
		time.Sleep(pause)
	}
	return calls
}

// silenceRunnerOf makes the runner of a request fall silent, if it has got one.
func silenceRunnerOf(runners []*runner, id string) {
	if r := runnerOf(runners, id); r != nil {
		r.fallSilent(time.Now(), silence)
	}
}

// isLost reports whether a request is lost as the rule LOST says for a SIGTERM: it was sent
// after the SIGTERM and until 1 s after the grace period, was passed on to a runner, and its
// connection ended without a complete answer. Not counted are requests that were sent no later
// than 3 s after the SIGTERM, whose runner may have been at work in the last sixth of the grace
// period, and those whose deadline or route's timeout was reached. No runner breaks off here.
func isLost(k *call, termAt time.Time, ran bool) bool {
	after := k.sentAt.Sub(termAt)
	return ran && !k.whole && after > 3*time.Second && after < grace+time.Second &&
		k.endedAt.Sub(k.sentAt) < min(streamTimeout, k.deadline)-100*time.Millisecond
}

func countLost(calls []*call, termAt time.Time, runners []*runner) (lost int) {
	for _, k := range calls {
		note("%s: status %d, %d events, whole %t", k.id, k.status, strings.Count(k.body, "id: "), k.whole)
		if isLost(k, termAt, runnerOf(runners, k.id) != nil) {
			lost++
			note("%s LOST: sent %d ms after the SIGTERM, passed on to a runner, its connection ended %d ms later without a complete answer: %v",
				k.id, k.sentAt.Sub(termAt).Milliseconds(), k.endedAt.Sub(k.sentAt).Milliseconds(), k.err)
		}
	}
	note("%d of %d requests lost", lost, len(calls))
	return lost
}

// newerCase: the operator has changed IdleTimeoutMs since the oldest connections were opened.
// A VM that gets SIGTERM waits for the streams on these connections, and meanwhile takes
// requests on newer ones, also those that it can't finish.
func newerCase(trouble bool) bool {
	s := newStore()
	configure(s, 7, 15*time.Second)
	var runners []*runner
	for i := range 4 {
		runners = append(runners, newEngine(s, i))
	}
	for i := range 3 {
		newRunner(s, fmt.Sprintf("i-app-%d", i), i, bookings, 6, plain(60*time.Millisecond))
	}
	startFleet(s, 3)
	time.Sleep(calm)
	stopped := fleet[0]
	var older, newer []*caller
	for i := range 2 {
		older = append(older, open(stopped, fmt.Sprintf("older-%d", i), booking))
	}
	configure(s, 12, 20*time.Second)
	time.Sleep(calm + 2*time.Second)
	for i := range 4 {
		newer = append(newer, open(stopped, fmt.Sprintf("newer-%d", i), booking))
	}
	time.Sleep(300 * time.Millisecond)
	termAt := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(termAt.Add(2850 * time.Millisecond)))
	var done sync.WaitGroup
	sendAll(&done, older, "brief", brief, 20*time.Millisecond)
	time.Sleep(time.Until(termAt.Add(5420 * time.Millisecond)))
	calls := sendAll(&done, newer, "question", question, 40*time.Millisecond)
	time.Sleep(time.Until(termAt.Add(6 * time.Second)))
	silenceRunnerOf(runners, calls[0].id)
	done.Wait()
	return countLost(calls, termAt, runners) > 0
}

// streamCase: a VM that got SIGTERM more than 3 s ago takes streams on kept connections which
// it can't finish before its grace period ends.
func streamCase(trouble bool) bool {
	s := newStore()
	configure(s, 7, 15*time.Second)
	var runners []*runner
	for i := range 4 {
		runners = append(runners, newEngine(s, i))
	}
	startFleet(s, 3)
	time.Sleep(calm)
	stopped := fleet[0]
	var callers []*caller
	for i := range 5 {
		callers = append(callers, open(stopped, fmt.Sprintf("kept-%d", i), lookup))
	}
	time.Sleep(300 * time.Millisecond)
	termAt := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(termAt.Add(3050 * time.Millisecond)))
	var done sync.WaitGroup
	calls := sendAll(&done, callers, "brief", brief, 40*time.Millisecond)
	time.Sleep(time.Until(termAt.Add(5 * time.Second)))
	silenceRunnerOf(runners, calls[1].id)
	done.Wait()
	return countLost(calls, termAt, runners) > 0
}
