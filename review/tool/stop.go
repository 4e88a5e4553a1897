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
	cases["booking"] = bookingCase
	cases["stream"] = streamCase
}

// Requests of the kinds that the small deployments have: course-qa, agreement-brief at its
// largest, and seat-booking.
var (
	question = call{method: http.MethodPost, path: "/lohu930/2f", tokens: "1000,86", deadline: 10 * time.Second}
	brief    = call{method: http.MethodPost, path: "/pufi791/2f", tokens: "110000,2042", deadline: 10 * time.Second}
	booking  = call{method: http.MethodPost, path: "/puxa403/2f", deadline: 4 * time.Second}
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

// grace is GraceS of the settings, and calm how long a machine must have been without
// disruption (StableWindowMs).
const (
	grace = 8 * time.Second
	calm  = 3 * time.Second
)

// silence is for how long a sound runner falls silent, and longestBooking the longest work of
// a booking.
const (
	silence        = 1400 * time.Millisecond
	longestBooking = 450 * time.Millisecond
)

// isLost reports whether a request is lost as the rule LOST says for a SIGTERM: it was sent
// after the SIGTERM and until 1 s after the grace period, was passed on to a runner, and its
// connection ended without a complete answer. Not counted are requests that were sent no later
// than 3 s after the SIGTERM, whose runner may have been at work in the last sixth of the grace
// period, and those whose deadline or route's timeout was reached.
func isLost(k *call, termAt time.Time, timeout time.Duration, ran bool) bool {
	after := k.sentAt.Sub(termAt)
	return ran && !k.whole && after > 3*time.Second && after < grace+time.Second && k.endedAt.Sub(k.sentAt) < min(timeout, k.deadline)-50*time.Millisecond
}

func countLost(calls []*call, termAt time.Time, timeout time.Duration, runners []*runner) (lost int) {
	for _, k := range calls {
		ran := false
		for _, r := range runners {
			r.mu.Lock()
			ran = ran || r.runs[k.id] > 0
			r.mu.Unlock()
		}
		if isLost(k, termAt, timeout, ran) {
			lost++
			note("%s LOST: sent %.2f s after the SIGTERM, passed on to a runner, its connection ended %.2f s later without a complete answer: %v",
				k.id, k.sentAt.Sub(termAt).Seconds(), k.endedAt.Sub(k.sentAt).Seconds(), k.err)
		}
	}
	note("%d of %d requests lost", lost, len(calls))
	return lost
}

// bookingCase: the operator has changed IdleTimeoutMs since the oldest connections were opened.
// A VM that gets SIGTERM waits for the streams on these connections, and meanwhile takes
// bookings on newer ones, also those that it can't finish.
func bookingCase(trouble bool) bool {
	s := newStore()
	configure(s, 7, 15*time.Second)
	var runners, apps []*runner
	for i := range 4 {
		runners = append(runners, newEngine(s, fmt.Sprintf("i-engine-%d", i)))
	}
	app := &application{work: 60 * time.Millisecond}
	for i := range 3 {
		apps = append(apps, newRunner(s, fmt.Sprintf("i-app-%d", i), bookings, 6, app.answer))
	}
	fleet = startFleet(s, 3)
	time.Sleep(calm)
	stopped := fleet[0]
	var old []*caller
	for i := range 2 {
		old = append(old, open(stopped, fmt.Sprintf("old-%d", i), booking))
	}
	configure(s, 12, 20*time.Second)
	time.Sleep(calm + 2*time.Second)
	const n = 4
	var callers []*caller
	for i := range n {
		callers = append(callers, open(stopped, fmt.Sprintf("new-%d", i), booking))
	}
	time.Sleep(300 * time.Millisecond)
	termAt := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(termAt.Add(2850 * time.Millisecond)))
	var done sync.WaitGroup
	var streams []*call
	for i, c := range old {
		k := brief
		k.id = fmt.Sprintf("brief-%d", i)
		streams = append(streams, &k)
		done.Go(func() { c.do(&k) })
		time.Sleep(20 * time.Millisecond)
	}
	sendAt := termAt.Add(5950 * time.Millisecond)
	time.Sleep(time.Until(sendAt.Add(-50 * time.Millisecond)))
	app.mu.Lock()
	app.work = longestBooking
	app.mu.Unlock()
	for _, r := range apps {
		r.fallSilent(sendAt, silence)
	}
	time.Sleep(time.Until(sendAt))
	var calls []*call
	for i, c := range callers {
		k := booking
		k.id = fmt.Sprintf("booking-%d", i)
		calls = append(calls, &k)
		done.Go(func() { c.do(&k) })
		time.Sleep(25 * time.Millisecond)
	}
	done.Wait()
	for _, k := range streams {
		note("%s: %d events, whole %t", k.id, strings.Count(k.body, "id: "), k.whole)
	}
	return countLost(calls, termAt, 2*time.Second, apps) > 0
}

// streamCase: a VM that got SIGTERM more than 3 s ago takes streams on kept connections which
// it can't finish before its grace period ends.
func streamCase(trouble bool) bool {
	s := newStore()
	configure(s, 7, 15*time.Second)
	var runners []*runner
	for i := range 4 {
		runners = append(runners, newEngine(s, fmt.Sprintf("i-engine-%d", i)))
	}
	fleet = startFleet(s, 3)
	time.Sleep(calm)
	stopped := fleet[0]
	const n = 5
	var callers []*caller
	for i := range n {
		callers = append(callers, open(stopped, fmt.Sprintf("kept-%d", i), question))
	}
	time.Sleep(300 * time.Millisecond)
	termAt := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(termAt.Add(3050 * time.Millisecond)))
	for i, r := range runners {
		// One after the other, when most of the answers have begun.
		r.fallSilent(termAt.Add(5*time.Second+time.Duration(i)*200*time.Millisecond), silence)
	}
	var calls []*call
	var done sync.WaitGroup
	for i, c := range callers {
		k := brief
		k.id = fmt.Sprintf("brief-%d", i)
		calls = append(calls, &k)
		done.Go(func() { c.do(&k) })
		time.Sleep(40 * time.Millisecond)
	}
	done.Wait()
	for _, k := range calls {
		note("%s: status %d, %d events, whole %t", k.id, k.status, strings.Count(k.body, "id: "), k.whole)
	}
	return countLost(calls, termAt, 10*time.Second, runners) > 0
}
