package admitter_test

import (
	"cmp"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/request/admitter"
)

// newRequest returns a request whose time limit, in seconds, starts at the
// epoch.
func newRequest(id uint64, team string, tokens, limit int) admitter.Request {
	return admitter.Request{
		ID: id, Team: team, Share: 1, PromptTokens: tokens,
		Arrived: epoch, Deadline: epoch.Add(time.Duration(limit) * time.Second),
	}
}

func placeAlways(admitter.Request) bool { return true }

// fill admits n requests of 1,000 tokens, each one second of work.
func fill(t *testing.T, adm *admitter.Admitter, team string, n, limit int) {
	t.Helper()
	for range n {
		r := adm.Offer(epoch, newRequest(uint64(1000+adm.Len()), team, 1000, limit), capacity)
		assert.Assert(t, r == nil, "%v", r)
	}
}

func TestOffer(t *testing.T) {
	tests := []struct {
		name                string
		conf                admitter.Config
		sameTeam, otherTeam int // waiting requests: of the same team, and of another
		limit               int // of the waiting requests, in seconds; an hour if 0
		capacity            admitter.Capacity
		request             admitter.Request
		code                string // empty: admitted
		after               time.Duration
	}{
		{name: "empty", capacity: capacity, request: newRequest(1, "a", 1000, 10)},
		{name: "prompt too long for its time limit", capacity: capacity, request: newRequest(1, "a", 20_000, 10), code: admitter.Late},
		{name: "answer too long for its time limit", capacity: admitter.Capacity{Slots: 1, PrefillRate: 1000, DecodeRate: 10}, request: admitter.Request{ID: 1, PromptTokens: 1, MaxOutput: 200, Arrived: epoch, Deadline: epoch.Add(10 * time.Second)}, code: admitter.Late},
		{name: "no capacity", request: newRequest(1, "a", 1000, 10), code: admitter.Late},
		{name: "placed requests ahead", capacity: admitter.Capacity{Slots: 9, PrefillRate: 1000, DecodeRate: 9, PrefillLeft: 50_000}, request: newRequest(1, "a", 1000, 60), code: admitter.Saturated, after: 51 * time.Second},
		{name: "own backlog ahead", sameTeam: 25, limit: 60, capacity: capacity, request: newRequest(9999, "a", 10_000, 60), code: admitter.Share, after: 25 * time.Second},
		{name: "own backlog with later deadlines", sameTeam: 25, limit: 60, capacity: capacity, request: newRequest(9999, "a", 10_000, 59)},
		{name: "backlog of another team", otherTeam: 600, capacity: capacity, request: newRequest(1, "a", 1000, 40)},
		{name: "token limit", conf: admitter.Config{MaxTokens: 20_000}, otherTeam: 10, capacity: capacity, request: newRequest(1, "a", 11_000, 3600), code: admitter.Saturated},
		{name: "request limit", conf: admitter.Config{MaxRequests: 10}, sameTeam: 5, capacity: capacity, request: newRequest(1, "a", 1000, 3600), code: admitter.Share},
		{name: "half of the queue for other teams", conf: admitter.Config{MaxRequests: 10}, otherTeam: 5, capacity: capacity, request: newRequest(1, "a", 1000, 3600)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			adm := admitter.New(tt.conf)
			limit := cmp.Or(tt.limit, 3600)
			fill(t, adm, "a", tt.sameTeam, limit)
			fill(t, adm, "b", tt.otherTeam, limit)
			r := adm.Offer(epoch, tt.request, tt.capacity)
			if tt.code == "" {
				assert.Assert(t, r == nil, "%v", r)
				return
			}
			assert.Assert(t, r != nil)
			assert.Equal(t, r.Code, tt.code)
			assert.Assert(t, r.RetryAfter >= tt.after, "retry after %v", r.RetryAfter)
			assert.Equal(t, adm.Len(), tt.sameTeam+tt.otherTeam)
		})
	}
}

// Guards against head-of-line blocking: the first request is a million-token
// prompt that no engine has memory for, and short prompts wait behind it.
func TestNoHeadOfLineBlocking(t *testing.T) {
	for _, tt := range []struct {
		queue string
		ok    bool
	}{{admitter.Fair, true}, {admitter.FIFO, false}} {
		adm := admitter.New(admitter.Config{Queue: tt.queue})
		assert.Assert(t, adm.Offer(epoch, newRequest(1, "a", 900_000, 36_000), capacity) == nil)
		assert.Assert(t, adm.Offer(epoch, newRequest(2, "a", 1000, 3600), capacity) == nil)
		got, ok := adm.Next(epoch, func(a admitter.Request) bool { return a.PromptTokens < 100_000 })
		assert.Equal(t, ok, tt.ok, tt.queue)
		assert.Equal(t, got.ID == 2, tt.ok, tt.queue)
	}
}

// Guards against starvation: short prompts arrive faster than they can be read,
// and a long document next to them is never started.
func TestLongPromptIsNotStarved(t *testing.T) {
	adm := admitter.New(admitter.Config{MaxTokens: 1 << 30})
	assert.Assert(t, adm.Offer(epoch, newRequest(1, "docs", 300_000, 36_000), capacity) == nil)
	served := 0
	for id := uint64(2); ; id++ {
		_ = adm.Offer(epoch, newRequest(id, "a", 1000, 36_000), capacity)
		a, ok := adm.Next(epoch, placeAlways)
		assert.Assert(t, ok)
		if a.ID == 1 {
			break
		}
		served += a.PromptTokens
		// The short band has four times the long band's weight.
		assert.Assert(t, served <= 4*300_000+1000, "%d short tokens before the long prompt", served)
	}
	assert.Assert(t, served > 0, "short prompts go first")
}

// Guards against unbounded bypassing: no engine can take the largest prompt of a
// band, and other requests of the band pass it forever.
func TestBypassIsBounded(t *testing.T) {
	adm := admitter.New(admitter.Config{})
	small := func(a admitter.Request) bool { return a.PromptTokens < 15_000 }
	assert.Assert(t, adm.Offer(epoch, newRequest(1, "a", 16_000, 800), capacity) == nil)
	for id := uint64(2); id < 12; id++ {
		assert.Assert(t, adm.Offer(epoch, newRequest(id, "b", 1000, 800), capacity) == nil)
	}
	_, ok := adm.Next(epoch, small)
	assert.Assert(t, ok, "must be bypassed at first")
	_, ok = adm.Next(epoch.Add(99*time.Second), small)
	assert.Assert(t, ok, "must be bypassed within an eighth of the time limit")
	_, ok = adm.Next(epoch.Add(101*time.Second), small)
	assert.Assert(t, !ok, "must not be bypassed after an eighth of the time limit")
}

func TestNextOrder(t *testing.T) {
	adm := admitter.New(admitter.Config{})
	for _, a := range []admitter.Request{
		newRequest(1, "a", 1000, 3600), newRequest(2, "a", 1000, 3500), newRequest(3, "a", 1000, 3550), // by deadline: 2 3 1
		newRequest(4, "b", 1000, 3600), newRequest(5, "b", 1000, 3601),
		newRequest(6, "c", 300_000, 36_000),
	} {
		assert.Assert(t, adm.Offer(epoch, a, capacity) == nil)
	}
	var order []uint64
	for adm.Len() > 0 {
		a, ok := adm.Next(epoch, placeAlways)
		assert.Assert(t, ok)
		order = append(order, a.ID)
	}
	assert.DeepEqual(t, order, []uint64{2, 4, 3, 5, 1, 6})
}

// Guards against forgotten overdrafts: a team that sends one request at a time
// empties its queue each time. If its overdraft were dropped with it, the team
// would get more than its share.
func TestOverdraftIsKeptWhenQueueEmpties(t *testing.T) {
	adm := admitter.New(admitter.Config{MaxTokens: 1 << 30})
	for id := range uint64(100) {
		assert.Assert(t, adm.Offer(epoch, newRequest(id+1, "steady", 1000, 36_000), capacity) == nil)
	}
	served := map[string]int{}
	waits := false
	for id := uint64(1000); id < 1060; id++ {
		if !waits {
			assert.Assert(t, adm.Offer(epoch, newRequest(id, "single", 10_000, 36_000), capacity) == nil)
		}
		a, _ := adm.Next(epoch, placeAlways)
		served[a.Team] += a.PromptTokens
		waits = a.Team != "single"
	}
	assert.Assert(t, served["single"] <= served["steady"]+10_000, "%v", served)
}

// Guards against late expiry: an engine is lost, and a waiting request could be
// done only at its speed. It must expire immediately, not at its deadline.
func TestExpireWhenCapacityFalls(t *testing.T) {
	adm := admitter.New(admitter.Config{})
	assert.Assert(t, adm.Offer(epoch, newRequest(1, "a", 10_000, 60), capacity) == nil)
	assert.Equal(t, len(adm.Expire(epoch, capacity)), 0)
	slow := admitter.Capacity{Slots: 10, PrefillRate: 100, DecodeRate: 10}
	gone := adm.Expire(epoch, slow)
	assert.Equal(t, len(gone), 1)
	assert.Equal(t, adm.Len(), 0)
}

// Guards against needless refusals: a million-token prompt waits for memory that
// does not become free, and short prompts pass it. The service that the blocked
// prompt is owed must not count as work ahead of the next short prompt, or every
// VM with such a prompt would refuse requests that it could serve immediately.
func TestBlockedRequestCausesNoRefusals(t *testing.T) {
	a := admitter.New(admitter.Config{})
	capacity := admitter.Capacity{Slots: 16, PrefillRate: 10_000, UpstreamPrefillRate: 10_000, DecodeRate: 100}
	long := admitter.Request{ID: 1, Team: "a", Share: 1, PromptTokens: 900_000, MaxOutput: 1, Arrived: epoch, Deadline: epoch.Add(time.Hour)}
	assert.Assert(t, a.Offer(epoch, long, capacity) == nil)
	_, ok := a.Next(epoch, func(admitter.Request) bool { return false })
	assert.Assert(t, !ok)
	now := epoch
	for id := uint64(2); id < 6000; id++ {
		now = now.Add(100 * time.Millisecond)
		short := admitter.Request{ID: id, Team: "b", Share: 1, PromptTokens: 1000, MaxOutput: 1, Arrived: now, Deadline: now.Add(20 * time.Second)}
		r := a.Offer(now, short, capacity)
		assert.Assert(t, r == nil, "request %d: %v", id, r)
		got, ok := a.Next(now, func(k admitter.Request) bool { return k.ID != 1 })
		assert.Assert(t, ok && got.ID == id)
	}
	got, ok := a.Next(now, func(admitter.Request) bool { return true })
	assert.Assert(t, ok && got.ID == 1, "blocked request is placed as soon as an upstream takes it")
}
