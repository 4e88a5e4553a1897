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
	a, b := run(t, log, "a", 1, neverGone), run(t, log, "b", 1, neverGone)
	c := call(uuidAt(time.Now(), 1))
	first := a.Begin(testContext(t), c)
	assert.Assert(t, first.Ticket != nil)
	assert.NilError(t, first.Ticket.Check())
	first.Ticket.Complete(ok("booked"))
	first.Ticket.Abandon() // no effect: the ticket is already completed

	for _, d := range []vm{a, b} {
		again := d.Begin(testContext(t), c)
		assert.Equal(t, string(again.Outcome.Body), "booked")
		assert.Assert(t, again.Outcome.Kept)
		assert.Equal(t, again.Outcome.Header["Content-Type"], "text/plain")
	}
	upper := c
	upper.Key = strings.ToUpper(c.Key)
	assert.Assert(t, b.Begin(testContext(t), upper).Outcome != nil, "the same UUID")
	for name, change := range map[string]func(*deduplicator.Call){
		"path": func(c *deduplicator.Call) { c.Path = "/rooms" },
		"body": func(c *deduplicator.Call) { c.Body = []byte("seat 8") },
	} {
		other := c
		change(&other)
		r := b.Begin(testContext(t), other).Refusal
		assert.Equal(t, r.Status, 422, name)
		assert.Equal(t, r.Ran, refuser.RanNo)
	}
	other := c
	other.Team = "u"
	assert.Assert(t, b.Begin(testContext(t), other).Ticket != nil, "the keys of two teams are distinct")
}

func TestLongBodyIsNotKept(t *testing.T) {
	d := run(t, newLog(), "a", 1, neverGone)
	c := call(uuidAt(time.Now(), 1))
	d.Begin(testContext(t), c).Ticket.Complete(ok(strings.Repeat("x", 101)))
	again := d.Begin(testContext(t), c).Outcome
	assert.Assert(t, again.Status == 200 && !again.Kept && again.Body == nil)
}

// A caller repeats a booking through another VM while the first call is still in
// progress. The second call must wait and get the response to the first.
func TestSecondWaitsForFirst(t *testing.T) {
	log := newLog()
	a, b := run(t, log, "a", 1, neverGone), run(t, log, "b", 1, neverGone)
	c := call(uuidAt(time.Now(), 1))
	first := a.Begin(testContext(t), c).Ticket
	answers := make(chan deduplicator.Decision)
	go func() { answers <- b.Begin(testContext(t), c) }()
	first.Complete(ok("booked"))
	assert.Equal(t, string((<-answers).Outcome.Body), "booked")
}

func TestSecondWaitsUntilDeadline(t *testing.T) {
	log := newLog()
	a, b := run(t, log, "a", 1, neverGone), run(t, log, "b", 1, neverGone)
	c := call(uuidAt(time.Now(), 1))
	assert.Assert(t, a.Begin(testContext(t), c).Ticket != nil)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r := b.Begin(ctx, c).Refusal
	assert.Equal(t, r.Code, "outcome_unknown")
	assert.Equal(t, r.Ran, refuser.RanUnknown)
}

func TestNextWinsAfterAbandon(t *testing.T) {
	log := newLog()
	a, b := run(t, log, "a", 1, neverGone), run(t, log, "b", 1, neverGone)
	c := call(uuidAt(time.Now(), 1))
	first := a.Begin(testContext(t), c).Ticket
	answers := make(chan deduplicator.Decision)
	go func() { answers <- b.Begin(testContext(t), c) }()
	first.Abandon()
	second := (<-answers).Ticket
	assert.Assert(t, second != nil)
	second.Complete(ok("by b"))
	assert.Equal(t, string(a.Begin(testContext(t), c).Outcome.Body), "by b")
}

// The VM that holds a key crashes after it may have sent the call. A repetition must
// learn at once that the outcome is unknown, and no VM may run the call again.
func TestWinnerGone(t *testing.T) {
	log := newLog()
	a := run(t, log, "a", 1, neverGone)
	c := call(uuidAt(time.Now(), 1))
	assert.Assert(t, a.Begin(testContext(t), c).Ticket != nil)
	a.stop()
	gone := func(vm string, boot uint64) bool { return vm == "a" && boot == 1 }
	for _, d := range []vm{run(t, log, "b", 1, gone), run(t, log, "a", 2, gone)} {
		ctx := testContext(t)
		r := d.Begin(ctx, c).Refusal
		assert.NilError(t, ctx.Err(), "refused only at the deadline")
		assert.Equal(t, r.Code, "outcome_unknown")
		assert.Equal(t, r.Ran, refuser.RanUnknown)
	}
}

// The response to an append is lost, and the record may have been appended or not.
// The VM must read it back and run the call once, or correctly report that it did
// not run.
func TestAppendFaults(t *testing.T) {
	tests := []struct {
		name string
		f    fault
		code string // empty: the call may be sent
	}{
		{"response lost", lost, ""},
		{"appended twice", twice, ""},
		{"refused", refused, "keys_unready"},
		{"never appended", never, "keys_slow"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := newLog()
			d := run(t, log, "a", 1, neverGone)
			log.setFaults(onFirstEntry(test.f))
			c := call(uuidAt(time.Now(), 1))
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			answer := d.Begin(ctx, c)
			if test.code == "" {
				answer.Ticket.Complete(ok("booked"))
				return
			}
			assert.Equal(t, answer.Refusal.Code, test.code)
			assert.Equal(t, answer.Refusal.Ran, refuser.RanNo)
			// Nothing ran, so the key can still be used.
			again := d.Begin(testContext(t), c)
			assert.Assert(t, again.Ticket != nil)
			again.Ticket.Abandon()
		})
	}
}

// An intent is appended only after its VM has given up and reported that nothing
// ran. It must not hold the key: a repetition of the call must run.
func TestIntentAppendedAfterAbandon(t *testing.T) {
	log := newLog()
	d := run(t, log, "a", 1, neverGone)
	log.setFaults(onFirstEntry(late))
	c := call(uuidAt(time.Now(), 1))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.Equal(t, d.Begin(ctx, c).Refusal.Code, "keys_slow")
	again := d.Begin(testContext(t), c).Ticket
	assert.Assert(t, again != nil)
}

// The log is down for some time. New keys must be refused as not run, known outcomes
// must still be returned, and pending outcomes must be appended afterwards.
func TestLogDown(t *testing.T) {
	log := newLog()
	d := run(t, log, "a", 1, neverGone)
	settled, open := call(uuidAt(time.Now(), 1)), call(uuidAt(time.Now(), 2))
	d.Begin(testContext(t), settled).Ticket.Complete(ok("booked"))
	assert.NilError(t, d.Flush(testContext(t)))
	ticket := d.Begin(testContext(t), open).Ticket
	log.setDown(true)
	ticket.Complete(ok("also booked"))
	r := d.Begin(testContext(t), call(uuidAt(time.Now(), 3))).Refusal
	assert.Equal(t, r.Code, "keys_unready")
	assert.Equal(t, r.Ran, refuser.RanNo)
	assert.Assert(t, r.RetryAfter > 0)
	assert.Equal(t, string(d.Begin(testContext(t), settled).Outcome.Body), "booked")
	assert.Equal(t, string(d.Begin(testContext(t), open).Outcome.Body), "also booked")
	assert.Assert(t, d.Pending() > 0)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.Assert(t, d.Flush(ctx) != nil)
	log.setDown(false)
	assert.NilError(t, d.Flush(testContext(t)))
	assert.Equal(t, d.Pending(), 0)
	b := run(t, log, "b", 1, neverGone)
	assert.Equal(t, string(b.Begin(testContext(t), open).Outcome.Body), "also booked")
}

// An outage is a log that goes down with the first append, just after the record
// has been appended.
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
	l.store(data)
	return 0, appender.ErrUnknown.New("down")
}

// The log goes down after it has accepted an intent and before its VM has read it
// back. The VM must not send the call, because the intent of another VM may be the
// first. It must report that nothing ran, and the caller can book through another VM
// once the log is back.
func TestOutageBeforeTheIntentIsRead(t *testing.T) {
	log := newLog()
	a := run(t, &outage{fakeLog: log}, "a", 1, neverGone)
	c := call(uuidAt(time.Now(), 1))
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	r := a.Begin(ctx, c).Refusal
	assert.Assert(t, r != nil, "expected a refusal")
	assert.Equal(t, r.Ran, refuser.RanNo)
	log.setDown(false)
	again := run(t, log, "b", 1, neverGone).Begin(testContext(t), c)
	assert.Assert(t, again.Ticket != nil, "%+v", again.Refusal)
}

// Hundreds of callers book at once. Records must leave room for outcomes besides new
// intents: otherwise outcomes accumulate until new calls are refused, although the
// log keeps up.
func TestManyConcurrentCallers(t *testing.T) {
	const callers, calls = 768, 5
	d := runWithInterval(t, newLog(), "a", 1, neverGone, deduplicator.DefaultAppendInterval)
	ctx := testContext(t)
	var refusals atomic.Int64
	var wg sync.WaitGroup
	for id := range callers {
		wg.Go(func() {
			for n := range calls {
				a := d.Begin(ctx, call(uuidAt(time.Now(), id*calls+n)))
				if a.Ticket == nil {
					refusals.Add(1)
					continue
				}
				a.Ticket.Complete(ok("booked"))
			}
		})
	}
	wg.Wait()
	assert.Equal(t, refusals.Load(), int64(0))
}

func TestAgeOfKeys(t *testing.T) {
	d := run(t, newLog(), "a", 1, neverGone)
	tests := []struct {
		key, code string
		ran       refuser.Ran
	}{
		{"booking 1", "key_bad", refuser.RanNo},
		{uuidAt(time.Now().Add(-2*time.Hour), 1), "key_old", refuser.RanUnknown},
		{uuidAt(time.Now().Add(2*time.Hour), 1), "key_bad", refuser.RanNo},
	}
	for _, test := range tests {
		r := d.Begin(testContext(t), call(test.key)).Refusal
		assert.Equal(t, r.Code, test.code)
		assert.Equal(t, r.Status, 400)
		assert.Equal(t, r.Param, "Idempotency-Key")
		assert.Equal(t, r.Ran, test.ran)
	}
	free := call("booking 1")
	free.Timestamped = false
	assert.Assert(t, d.Begin(testContext(t), free).Ticket != nil)
}

// A VM is frozen between the decision and the send. By the time it resumes the caller
// has been informed that the call failed, so the booking must not be made.
func TestTicketExpires(t *testing.T) {
	free := call("booking 1")
	free.Timestamped = false
	tests := []struct {
		name       string
		call       deduplicator.Call
		limit      time.Duration
		validAfter time.Duration // a freeze after which the ticket is still valid
		staleAfter time.Duration // a freeze after which the ticket is stale
	}{
		{"past its deadline", call(uuidAt(time.Now(), 1)), 10 * time.Minute, 9 * time.Minute, 11 * time.Minute},
		{"key expires", call(uuidAt(time.Now().Add(-30*time.Minute), 2)), time.Hour, 29 * time.Minute, 31 * time.Minute},
		{"key of any form", free, 2 * time.Hour, 58 * time.Minute, time.Hour},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := run(t, newLog(), "a", 1, neverGone)
			ctx, cancel := context.WithTimeout(t.Context(), test.limit)
			defer cancel()
			ticket := d.Begin(ctx, test.call).Ticket
			d.advance(test.validAfter)
			assert.NilError(t, ticket.Check())
			d.advance(test.staleAfter - test.validAfter)
			assert.Assert(t, deduplicator.ErrStale.Has(ticket.Check()))
		})
	}
}

// The caller disconnects before the call is sent.
func TestTicketAfterCallerDisconnects(t *testing.T) {
	d := run(t, newLog(), "a", 1, neverGone)
	ctx, cancel := context.WithCancel(t.Context())
	ticket := d.Begin(ctx, call(uuidAt(time.Now(), 1))).Ticket
	assert.NilError(t, ticket.Check())
	cancel()
	assert.Assert(t, deduplicator.ErrStale.Has(ticket.Check()))
}
