package router_test

import (
	"slices"
	"time"
)

type report struct {
	at                     time.Duration
	running, waiting, used int
	left                   float64
}

type engine struct {
	name       string
	slowdown   float64
	running    int
	used       int
	queue      []*call // waiting for a slot
	unread     []*call
	left       float64 // tokens of unread[0] still to read
	since      time.Duration
	planSeq    int // invalidates a scheduled end of prefill
	reports    []report
	sent       []time.Duration // arrival times of requests
	maxRunning int
}

func (f *fleet) arrive(e *engine, c *call) {
	e.sent = append(e.sent, f.now)
	need := c.request.PromptTokens + c.request.MaxOutput
	if e.running >= slots || e.used+need > memory {
		e.queue = append(e.queue, c)
		return
	}
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
	e.used += need
	e.advance(f.now)
	e.unread = append(e.unread, c)
	if len(e.unread) == 1 {
		e.left = float64(c.request.PromptTokens)
		f.schedulePrefill(e)
	}
}

func (f *fleet) schedulePrefill(e *engine) {
	e.planSeq++
	seq := e.planSeq
	c := e.unread[0]
	took := time.Duration(e.left * e.slowdown / prefill * float64(time.Second))
	f.at(f.now+took, func() {
		if e.planSeq != seq {
			return
		}
		e.since = f.now
		e.unread = e.unread[1:]
		e.left = 0
		if len(e.unread) > 0 {
			e.left = float64(e.unread[0].request.PromptTokens)
			f.schedulePrefill(e)
		}
		c.first = f.now + networkDelay // when its VM learns of it
		f.at(c.first, func() {
			c.vm.byEngine[c.engine].unread -= c.request.PromptTokens
			f.dispatch(c.vm)
		})
		f.at(c.first+time.Duration(float64(c.request.MaxOutput)/decode*e.slowdown*float64(time.Second)), func() { f.finish(e, c) })
	})
}

func (f *fleet) finish(e *engine, c *call) {
	c.end = f.now
	m := &c.vm.byEngine[c.engine]
	m.calls = slices.DeleteFunc(m.calls, func(o *call) bool { return o == c })
	e.running--
	e.used -= c.request.PromptTokens + c.request.MaxOutput
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		f.arrive(e, next)
	}
	f.dispatch(c.vm)
}

// advance reads prompts up to now.
func (e *engine) advance(now time.Duration) {
	if len(e.unread) > 0 {
		e.left = max(0, e.left-(now-e.since).Seconds()*prefill/e.slowdown)
	}
	e.since = now
}

// slow changes an engine's true speed; its reports and claimed rates stay the
// same.
func (f *fleet) slow(e *engine, factor float64) {
	e.advance(f.now)
	e.slowdown = factor
	if len(e.unread) > 0 {
		f.schedulePrefill(e)
	}
}

// lastReport returns the newest report that has arrived by now.
func (e *engine) lastReport(now time.Duration) report {
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.reports[i].at <= now-reportDelay {
			e.reports = e.reports[max(0, i-1):]
			return e.reports[min(i, 1)]
		}
	}
	return report{at: now}
}
