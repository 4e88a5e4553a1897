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
	name    string
	slower  float64
	running int
	used    int
	queue   []*call // without a slot
	unread  []*call
	left    float64 // tokens of unread[0] still to read
	since   time.Duration
	turn    int // invalidates a planned end of prefill
	reports []report
	sent    []time.Duration // when requests came
	most    int
}

func (f *fleet) arrive(e *engine, c *call) {
	e.sent = append(e.sent, f.now)
	need := c.ask.PromptTokens + c.ask.MaxOutput
	if e.running >= slots || e.used+need > memory {
		e.queue = append(e.queue, c)
		return
	}
	e.running++
	e.most = max(e.most, e.running)
	e.used += need
	e.advance(f.now)
	e.unread = append(e.unread, c)
	if len(e.unread) == 1 {
		e.left = float64(c.ask.PromptTokens)
		f.plan(e)
	}
}

func (f *fleet) plan(e *engine) {
	e.turn++
	turn := e.turn
	c := e.unread[0]
	took := time.Duration(e.left * e.slower / prefill * float64(time.Second))
	f.at(f.now+took, func() {
		if e.turn != turn {
			return
		}
		e.since = f.now
		e.unread = e.unread[1:]
		e.left = 0
		if len(e.unread) > 0 {
			e.left = float64(e.unread[0].ask.PromptTokens)
			f.plan(e)
		}
		c.first = f.now + hop // told to its VM then
		f.at(c.first, func() {
			c.vm.mine[c.engine].unread -= c.ask.PromptTokens
			f.dispatch(c.vm)
		})
		f.at(c.first+time.Duration(float64(c.ask.MaxOutput)/decode*e.slower*float64(time.Second)), func() { f.finish(e, c) })
	})
}

func (f *fleet) finish(e *engine, c *call) {
	c.end = f.now
	m := &c.vm.mine[c.engine]
	m.calls = slices.DeleteFunc(m.calls, func(o *call) bool { return o == c })
	e.running--
	e.used -= c.ask.PromptTokens + c.ask.MaxOutput
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
		e.left = max(0, e.left-(now-e.since).Seconds()*prefill/e.slower)
	}
	e.since = now
}

// slow changes an engine's true speed; its reports and promises stay.
func (f *fleet) slow(e *engine, factor float64) {
	e.advance(f.now)
	e.slower = factor
	if len(e.unread) > 0 {
		f.plan(e)
	}
}

// seen is the newest report that has come by now.
func (e *engine) seen(now time.Duration) report {
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.reports[i].at <= now-lag {
			e.reports = e.reports[max(0, i-1):]
			return e.reports[min(i, 1)]
		}
	}
	return report{at: now}
}
