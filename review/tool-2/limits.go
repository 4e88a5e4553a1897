package main

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["limits"] = limits }

// limits: a version of the configuration raises MaxHeaderBytes while clients keep their
// connections. With trouble left out it is in force from the start.
func limits(trouble bool) bool {
	const (
		clients = 60
		perVM   = clients / 3
		before  = 4096
		after   = 16384
		size    = 15_000
	)
	s := newStore()
	newRunner("i-app-1", "app", "bayern-a", s, false)
	newRunner("i-app-2", "app", "bayern-b", s, false)
	newRunner("i-app-3", "app", "bayern-c", s, false)
	c := newConfig()
	c.limits["MaxHeaderBytes"] = before
	if !trouble {
		c.limits["MaxHeaderBytes"] = after
	}
	c.publish(s)
	var all []*vm
	for _, zone := range []string{"a", "b", "c"} {
		all = append(all, newVM("front-bayern-"+zone+"-1", "bayern-"+zone, s))
	}
	for _, v := range all {
		v.awaitReady()
	}
	time.Sleep(4 * time.Second)

	var sent, served, denied atomic.Int64
	ask := func(at *vm, conn *connection, bytes int) int {
		q := request{method: http.MethodGet, path: "/look/x", key: key, deadline: 1500 * time.Millisecond, header: http.Header{}}
		if bytes > 0 {
			q.header.Set("X-Trace", strings.Repeat("t", bytes))
		}
		o := conn.do(&q)
		sent.Add(1)
		switch {
		case o.status == http.StatusOK:
			served.Add(1)
		case o.status >= 300 && o.status < 500 && o.header.Get("X-Response-Seal") == "":
			denied.Add(1)
		}
		note("client: %s GET /look/x with %d bytes of headers at %s: %v", q.id, bytes+200, at.name, o)
		return o.status
	}
	conns := make([]*connection, clients)
	var wg sync.WaitGroup
	for i := range conns {
		v := all[i/perVM]
		conn, err := dial(v.front)
		if err != nil {
			cannotRun("%v", err)
		}
		conns[i] = conn
		wg.Add(1)
		go func() {
			defer wg.Done()
			ask(v, conn, 0)
		}()
	}
	wg.Wait()
	if served.Load() < clients {
		cannotRun("only %d of %d clients were served at first", served.Load(), clients)
	}
	if trouble {
		c.limits["MaxHeaderBytes"] = after
		c.publish(s)
	}
	// The new limits have been in force for five times ConfigApplyMs plus StableWindowMs.
	// Meanwhile each client goes on using its connection, well within IdleTimeoutMs.
	for range 4 {
		time.Sleep(3 * time.Second)
		for i := range conns {
			wg.Add(1)
			go func() {
				defer wg.Done()
				ask(all[i/perVM], conns[i], 0)
			}()
		}
		wg.Wait()
	}
	for i := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ask(all[i/perVM], conns[i], size)
		}()
	}
	wg.Wait()
	allowed := 5 + sent.Load()/500
	say("%d requests, %d served, %d denied with a 4xx of the system's own (allowed: %d)", sent.Load(), served.Load(), denied.Load(), allowed)
	fresh := 0
	for range 10 {
		conn, err := dial(all[0].front)
		if err == nil && ask(all[0], conn, size) == http.StatusOK {
			fresh++
		}
	}
	say("the same request on 10 new connections: %d served", fresh)
	return denied.Load() > allowed
}
