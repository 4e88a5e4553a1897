package deduplicator_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/deduplicator"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/library/appender"
)

func TestRepetitionGetsFirstOutcome(t *testing.T) {
	log := newLog()
	a, b := run(t, log, "a", 1, nobodyGone), run(t, log, "b", 1, nobodyGone)
	c := call(keyMade(time.Now(), 1))
	first := a.Begin(bounded(t), c)
	assert.Assert(t, first.Ticket != nil)
	assert.NilError(t, first.Ticket.Check())
	first.Ticket.Complete(ok("booked"))
	first.Ticket.Abandon() // the first word counts

	for _, k := range []vm{a, b} {
		again := k.Begin(bounded(t), c)
		assert.Equal(t, string(again.Outcome.Body), "booked")
		assert.Assert(t, again.Outcome.Kept)
		assert.Equal(t, again.Outcome.Header["Content-Type"], "text/plain")
	}
	upper := c
	upper.Key = strings.ToUpper(c.Key)
	assert.Assert(t, b.Begin(bounded(t), upper).Outcome != nil, "the same UUID")
	for name, change := range map[string]func(*deduplicator.Call){
		"path": func(c *deduplicator.Call) { c.Path = "/rooms" },
		"body": func(c *deduplicator.Call) { c.Body = []byte("seat 8") },
	} {
		other := c
		change(&other)
		r := b.Begin(bounded(t), other).Refusal
		assert.Equal(t, r.Status, 422, name)
		assert.Equal(t, r.Ran, refuser.RanNo)
	}
	other := c
	other.Team = "u"
	assert.Assert(t, b.Begin(bounded(t), other).Ticket != nil, "another team's key is another key")
}

func TestLongBodyIsNotKept(t *testing.T) {
	k := run(t, newLog(), "a", 1, nobodyGone)
	c := call(keyMade(time.Now(), 1))
	k.Begin(bounded(t), c).Ticket.Complete(ok(strings.Repeat("x", 101)))
	again := k.Begin(bounded(t), c).Outcome
	assert.Assert(t, again.Status == 200 && !again.Kept && again.Body == nil)
}

// A member repeats a booking through another VM while the first is still under
// way. The second waits and gets the first's answer.
func TestSecondWaitsForFirst(t *testing.T) {
	log := newLog()
	a, b := run(t, log, "a", 1, nobodyGone), run(t, log, "b", 1, nobodyGone)
	c := call(keyMade(time.Now(), 1))
	first := a.Begin(bounded(t), c).Ticket
	answers := make(chan deduplicator.Decision)
	go func() { answers <- b.Begin(bounded(t), c) }()
	first.Complete(ok("booked"))
	assert.Equal(t, string((<-answers).Outcome.Body), "booked")
}

func TestSecondWaitsWithinItsLimit(t *testing.T) {
	log := newLog()
	a, b := run(t, log, "a", 1, nobodyGone), run(t, log, "b", 1, nobodyGone)
	c := call(keyMade(time.Now(), 1))
	assert.Assert(t, a.Begin(bounded(t), c).Ticket != nil)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r := b.Begin(ctx, c).Refusal
	assert.Equal(t, r.Code, "outcome_unknown")
	assert.Equal(t, r.Ran, refuser.RanUnknown)
}

func TestNextWinsAfterAbandon(t *testing.T) {
	log := newLog()
	a, b := run(t, log, "a", 1, nobodyGone), run(t, log, "b", 1, nobodyGone)
	c := call(keyMade(time.Now(), 1))
	first := a.Begin(bounded(t), c).Ticket
	answers := make(chan deduplicator.Decision)
	go func() { answers <- b.Begin(bounded(t), c) }()
	first.Abandon()
	second := (<-answers).Ticket
	assert.Assert(t, second != nil)
	second.Complete(ok("by b"))
	assert.Equal(t, string(a.Begin(bounded(t), c).Outcome.Body), "by b")
}

// The VM that holds a key dies after it may have sent the call. Whoever repeats
// it learns at once that the outcome is unknown, and nobody runs it again.
func TestWinnerGone(t *testing.T) {
	log := newLog()
	a := run(t, log, "a", 1, nobodyGone)
	c := call(keyMade(time.Now(), 1))
	assert.Assert(t, a.Begin(bounded(t), c).Ticket != nil)
	a.stop()
	gone := func(vm string, boot uint64) bool { return vm == "a" && boot == 1 }
	for _, k := range []vm{run(t, log, "b", 1, gone), run(t, log, "a", 2, gone)} {
		ctx := bounded(t)
		r := k.Begin(ctx, c).Refusal
		assert.NilError(t, ctx.Err(), "not only at the end of its limit")
		assert.Equal(t, r.Code, "outcome_unknown")
		assert.Equal(t, r.Ran, refuser.RanUnknown)
	}
}

// The answer of an append is lost. The record may have landed or not; the VM
// reads it back and runs the call once, or truly says that it did not run.
func TestAppendFaults(t *testing.T) {
	tests := []struct {
		name string
		f    fault
		code string // empty: the call may be sent
	}{
		{"answer lost", lost, ""},
		{"landed twice", twice, ""},
		{"refused", refused, "keys_unready"},
		{"never landed", never, "keys_slow"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := newLog()
			k := run(t, log, "a", 1, nobodyGone)
			log.set(first(test.f))
			c := call(keyMade(time.Now(), 1))
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			answer := k.Begin(ctx, c)
			if test.code == "" {
				answer.Ticket.Complete(ok("booked"))
				return
			}
			assert.Equal(t, answer.Refusal.Code, test.code)
			assert.Equal(t, answer.Refusal.Ran, refuser.RanNo)
			// Nothing ran, so the key is still of use.
			again := k.Begin(bounded(t), c)
			assert.Assert(t, again.Ticket != nil)
			again.Ticket.Abandon()
		})
	}
}

// An intent lands only after its VM gave up and said that nothing ran. It must
// not hold the key: the member's repetition runs.
func TestIntentLandsLate(t *testing.T) {
	log := newLog()
	k := run(t, log, "a", 1, nobodyGone)
	log.set(first(late))
	c := call(keyMade(time.Now(), 1))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.Equal(t, k.Begin(ctx, c).Refusal.Code, "keys_slow")
	again := k.Begin(bounded(t), c).Ticket
	assert.Assert(t, again != nil)
}

// The log is down for longer than a while. Calls with a key are refused as not
// run; what was settled before is still answered; outcomes land afterwards.
func TestLogDown(t *testing.T) {
	log := newLog()
	k := run(t, log, "a", 1, nobodyGone)
	settled, open := call(keyMade(time.Now(), 1)), call(keyMade(time.Now(), 2))
	k.Begin(bounded(t), settled).Ticket.Complete(ok("booked"))
	assert.NilError(t, k.Flush(bounded(t)))
	ticket := k.Begin(bounded(t), open).Ticket
	log.setDown(true)
	ticket.Complete(ok("also booked"))
	r := k.Begin(bounded(t), call(keyMade(time.Now(), 3))).Refusal
	assert.Equal(t, r.Code, "keys_unready")
	assert.Equal(t, r.Ran, refuser.RanNo)
	assert.Assert(t, r.RetryAfter > 0)
	assert.Equal(t, string(k.Begin(bounded(t), settled).Outcome.Body), "booked")
	assert.Equal(t, string(k.Begin(bounded(t), open).Outcome.Body), "also booked")
	assert.Assert(t, k.Pending() > 0)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.Assert(t, k.Flush(ctx) != nil)
	log.setDown(false)
	assert.NilError(t, k.Flush(bounded(t)))
	assert.Equal(t, k.Pending(), 0)
	b := run(t, log, "b", 1, nobodyGone)
	assert.Equal(t, string(b.Begin(bounded(t), open).Outcome.Body), "also booked")
}

// An outage begins with the first append: the log goes down in the moment in
// which the record has landed.
type outage struct {
	*fakeLog

	begun bool
}

func (l *outage) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if l.begun {
		return l.fakeLog.Append(ctx, stream, data)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun, l.down = true, true
	l.land(data)
	return 0, appender.ErrUnknown.New("down")
}

// The log goes down after it took an intent and before its VM has read it back.
// Nothing may be sent, since another's intent may be the first; the member is
// told truly that nothing ran, and books through another VM when the log is
// back.
func TestOutageBeforeTheIntentIsRead(t *testing.T) {
	log := newLog()
	a := run(t, &outage{fakeLog: log}, "a", 1, nobodyGone)
	c := call(keyMade(time.Now(), 1))
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	r := a.Begin(ctx, c).Refusal
	assert.Assert(t, r != nil, "the call may be sent")
	assert.Equal(t, r.Ran, refuser.RanNo)
	log.setDown(false)
	again := run(t, log, "b", 1, nobodyGone).Begin(bounded(t), c)
	assert.Assert(t, again.Ticket != nil, "%+v", again.Refusal)
}

// Hundreds of members book at once. The records of those who come must leave
// room for the outcomes of those who are done: otherwise outcomes pile up until
// new calls are refused, though the log keeps up.
func TestRush(t *testing.T) {
	const callers, calls = 768, 5
	k := runAt(t, newLog(), "a", 1, nobodyGone, deduplicator.DefaultAppendInterval)
	ctx := bounded(t)
	var refusals atomic.Int64
	var all sync.WaitGroup
	for id := range callers {
		all.Go(func() {
			for n := range calls {
				a := k.Begin(ctx, call(keyMade(time.Now(), id*calls+n)))
				if a.Ticket == nil {
					refusals.Add(1)
					continue
				}
				a.Ticket.Complete(ok("booked"))
			}
		})
	}
	all.Wait()
	assert.Equal(t, refusals.Load(), int64(0))
}

func TestAgeOfKeys(t *testing.T) {
	k := run(t, newLog(), "a", 1, nobodyGone)
	tests := []struct {
		key, code string
		ran       refuser.Ran
	}{
		{"booking 1", "key_bad", refuser.RanNo},
		{keyMade(time.Now().Add(-2*time.Hour), 1), "key_old", refuser.RanUnknown},
		{keyMade(time.Now().Add(2*time.Hour), 1), "key_bad", refuser.RanNo},
	}
	for _, test := range tests {
		r := k.Begin(bounded(t), call(test.key)).Refusal
		assert.Equal(t, r.Code, test.code)
		assert.Equal(t, r.Status, 400)
		assert.Equal(t, r.Param, "Idempotency-Key")
		assert.Equal(t, r.Ran, test.ran)
	}
	free := call("booking 1")
	free.Timestamped = false
	assert.Assert(t, k.Begin(bounded(t), free).Ticket != nil)
}

// A VM is frozen between the verdict and the send. When it wakes the caller has
// long been told that the call failed; the booking must not be made then.
func TestTicketGoesStale(t *testing.T) {
	free := call("booking 1")
	free.Timestamped = false
	tests := []struct {
		name  string
		call  deduplicator.Call
		limit time.Duration
		fresh time.Duration // a freeze that does no harm
		stale time.Duration
	}{
		{"past its limit", call(keyMade(time.Now(), 1)), 10 * time.Minute, 9 * time.Minute, 11 * time.Minute},
		{"key grows old", call(keyMade(time.Now().Add(-30*time.Minute), 2)), time.Hour, 29 * time.Minute, 31 * time.Minute},
		{"key of any form", free, 2 * time.Hour, 58 * time.Minute, time.Hour},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k := run(t, newLog(), "a", 1, nobodyGone)
			ctx, cancel := context.WithTimeout(t.Context(), test.limit)
			defer cancel()
			ticket := k.Begin(ctx, test.call).Ticket
			k.skip(test.fresh)
			assert.NilError(t, ticket.Check())
			k.skip(test.stale - test.fresh)
			assert.Assert(t, deduplicator.ErrStale.Has(ticket.Check()))
		})
	}
}

// The caller has gone before the call was sent.
func TestTicketOfCallerWhoLeft(t *testing.T) {
	k := run(t, newLog(), "a", 1, nobodyGone)
	ctx, cancel := context.WithCancel(t.Context())
	ticket := k.Begin(ctx, call(keyMade(time.Now(), 1))).Ticket
	assert.NilError(t, ticket.Check())
	cancel()
	assert.Assert(t, deduplicator.ErrStale.Has(ticket.Check()))
}
