package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/scheduler"
)

// backoffFrom returns a function for Request.Backoffs.
func backoffFrom(until time.Time, ids ...string) func() map[string]time.Time {
	backoffs := make(map[string]time.Time, len(ids))
	for _, id := range ids {
		backoffs[id] = until
	}
	return func() map[string]time.Time { return backoffs }
}

// An overloaded upstream asked one VM to back off, and the other one is full. That VM's
// request must wait, and must not hold back the request of a VM that may use the first.
func TestRequestOfAVMInBackoffHoldsBackNoOther(t *testing.T) {
	f := newFleet(2)
	f.adoptStreams("u1", 2)
	c := f.request(1000, 10*time.Second)
	c.Backoffs = backoffFrom(f.now.Add(5*time.Second), "u0")
	waiting := f.submit(c)
	g, _ := f.acquire(t, f.request(1000, 10*time.Second))
	assert.Assert(t, g != nil && g.Upstream.ID == "u0")
	assert.Equal(t, f.QueueLength(), 1)
	select {
	case o := <-waiting:
		t.Fatalf("settled: %v", o)
	default:
	}
	g.Release()
	f.now = f.now.Add(50 * time.Millisecond)
	f.Dispatch()
	assert.Equal(t, f.QueueLength(), 1, "it was given the upstream from which its VM backs off")
}

// All upstreams asked the VM to back off. A request that can be served afterwards waits;
// one that cannot is refused at once and told when to come back.
func TestRequestIsRefusedAtOnceIfTheBackoffOutlastsIt(t *testing.T) {
	f := newFleet(2)
	until := f.now.Add(3 * time.Second)
	long, short := f.request(1000, 10*time.Second), f.request(1000, 2*time.Second)
	long.Backoffs, short.Backoffs = backoffFrom(until, "u0", "u1"), backoffFrom(until, "u0", "u1")
	_, r := f.acquire(t, short)
	assert.Assert(t, r != nil)
	assert.Equal(t, r.Code, scheduler.CodeBackoff)
	assert.Equal(t, r.RetryAfter, 3*time.Second)
	waiting := f.submit(long)
	assert.Equal(t, f.QueueLength(), 1)
	f.now = until
	f.Dispatch()
	o := <-waiting
	assert.Assert(t, o.grant != nil)
}

// A long prompt needs several engines, and two of those that are idle asked its VM to back
// off. They must not get a part of it.
func TestEnginesInBackoffGetNoPartOfAPrompt(t *testing.T) {
	f := newFleet(8)
	c := f.request(100_000, 20*time.Second)
	c.Backoffs = backoffFrom(f.now.Add(time.Second), "u0", "u1")
	g, r := f.acquire(t, c)
	assert.Assert(t, r == nil)
	assert.Assert(t, len(g.Helpers) > 0)
	used := []string{g.Upstream.ID}
	for _, h := range g.Helpers {
		used = append(used, h.ID)
	}
	for _, id := range used {
		assert.Assert(t, id != "u0" && id != "u1", "%s got a part", id)
	}
}
