package admitter_test

import (
	"cmp"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/request/admitter"
)

// ask is a prompt of a team whose limit, in seconds, begins at the epoch.
func ask(id uint64, team string, tokens, limit int) admitter.Request {
	return admitter.Request{
		ID: id, Team: team, Share: 1, PromptTokens: tokens,
		Arrived: epoch, Deadline: epoch.Add(time.Duration(limit) * time.Second),
	}
}

func anywhere(admitter.Request) bool { return true }

// fill lets in asks of a thousand tokens, each a second of work.
func fill(t *testing.T, adm *admitter.Admitter, team string, n, limit int) {
	t.Helper()
	for range n {
		r := adm.Offer(epoch, ask(uint64(1000+adm.Len()), team, 1000, limit), pace)
		assert.Assert(t, r == nil, "%v", r)
	}
}

func TestOffer(t *testing.T) {
	tests := []struct {
		name    string
		conf    admitter.Config
		hot, by int // asks that wait: of the same team, and of another
		limit   int // of these, in seconds; an hour if 0
		pace    admitter.Capacity
		ask     admitter.Request
		code    string // empty: let in
		after   time.Duration
	}{
		{name: "empty", pace: pace, ask: ask(1, "a", 1000, 10)},
		{name: "too long for its limit", pace: pace, ask: ask(1, "a", 20_000, 10), code: admitter.Late},
		{name: "answer too long for its limit", pace: admitter.Capacity{Slots: 1, PrefillRate: 1000, DecodeRate: 10}, ask: admitter.Request{ID: 1, PromptTokens: 1, MaxOutput: 200, Arrived: epoch, Deadline: epoch.Add(10 * time.Second)}, code: admitter.Late},
		{name: "nothing is up", ask: ask(1, "a", 1000, 10), code: admitter.Late},
		{name: "placed work is ahead", pace: admitter.Capacity{Slots: 9, PrefillRate: 1000, DecodeRate: 9, PrefillLeft: 50_000}, ask: ask(1, "a", 1000, 60), code: admitter.Saturated, after: 51 * time.Second},
		{name: "own backlog is ahead", hot: 25, limit: 60, pace: pace, ask: ask(9999, "a", 10_000, 60), code: admitter.Share, after: 25 * time.Second},
		{name: "own backlog is due later", hot: 25, limit: 60, pace: pace, ask: ask(9999, "a", 10_000, 59)},
		{name: "the other team's backlog does not matter", by: 600, pace: pace, ask: ask(1, "a", 1000, 40)},
		{name: "room for tokens", conf: admitter.Config{Tokens: 20_000}, by: 10, pace: pace, ask: ask(1, "a", 11_000, 3600), code: admitter.Saturated},
		{name: "room for requests", conf: admitter.Config{Requests: 10}, hot: 5, pace: pace, ask: ask(1, "a", 1000, 3600), code: admitter.Share},
		{name: "half of the room is the others'", conf: admitter.Config{Requests: 10}, by: 5, pace: pace, ask: ask(1, "a", 1000, 3600)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			adm := admitter.New(tt.conf)
			limit := cmp.Or(tt.limit, 3600)
			fill(t, adm, "a", tt.hot, limit)
			fill(t, adm, "b", tt.by, limit)
			r := adm.Offer(epoch, tt.ask, tt.pace)
			if tt.code == "" {
				assert.Assert(t, r == nil, "%v", r)
				return
			}
			assert.Assert(t, r != nil)
			assert.Equal(t, r.Code, tt.code)
			assert.Assert(t, r.RetryAfter >= tt.after, "come back after %v", r.RetryAfter)
			assert.Equal(t, adm.Len(), tt.hot+tt.by)
		})
	}
}

// A million-token prompt is first in its queue and finds no engine with memory
// for it. Callers with short questions notice when they wait behind it.
func TestNoHeadOfLineBlocking(t *testing.T) {
	for _, tt := range []struct {
		queue string
		ok    bool
	}{{admitter.Fair, true}, {admitter.First, false}} {
		adm := admitter.New(admitter.Config{Queue: tt.queue})
		assert.Assert(t, adm.Offer(epoch, ask(1, "a", 900_000, 36_000), pace) == nil)
		assert.Assert(t, adm.Offer(epoch, ask(2, "a", 1000, 3600), pace) == nil)
		got, ok := adm.Next(epoch, func(a admitter.Request) bool { return a.PromptTokens < 100_000 })
		assert.Equal(t, ok, tt.ok, tt.queue)
		assert.Equal(t, got.ID == 2, tt.ok, tt.queue)
	}
}

// Short questions come faster than they can be read, and a long document waits
// beside them. Its caller notices when it is never begun.
func TestLongIsNotStarved(t *testing.T) {
	adm := admitter.New(admitter.Config{Tokens: 1 << 30})
	assert.Assert(t, adm.Offer(epoch, ask(1, "docs", 300_000, 36_000), pace) == nil)
	served := 0
	for id := uint64(2); ; id++ {
		_ = adm.Offer(epoch, ask(id, "a", 1000, 36_000), pace)
		a, ok := adm.Next(epoch, anywhere)
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

// The largest prompt of a band finds no place while others of its band do. Its
// caller notices when they pass it for ever.
func TestPassedOverNoLongerThanPatience(t *testing.T) {
	adm := admitter.New(admitter.Config{})
	small := func(a admitter.Request) bool { return a.PromptTokens < 15_000 }
	assert.Assert(t, adm.Offer(epoch, ask(1, "a", 16_000, 800), pace) == nil)
	for id := uint64(2); id < 12; id++ {
		assert.Assert(t, adm.Offer(epoch, ask(id, "b", 1000, 800), pace) == nil)
	}
	_, ok := adm.Next(epoch, small)
	assert.Assert(t, ok, "others pass at first")
	_, ok = adm.Next(epoch.Add(99*time.Second), small)
	assert.Assert(t, ok, "others pass within an eighth of the limit")
	_, ok = adm.Next(epoch.Add(101*time.Second), small)
	assert.Assert(t, !ok, "others pass after an eighth of the limit")
}

func TestNextOrder(t *testing.T) {
	adm := admitter.New(admitter.Config{})
	for _, a := range []admitter.Request{
		ask(1, "a", 1000, 3600), ask(2, "a", 1000, 3500), ask(3, "a", 1000, 3550), // by deadline: 2 3 1
		ask(4, "b", 1000, 3600), ask(5, "b", 1000, 3601),
		ask(6, "c", 300_000, 36_000),
	} {
		assert.Assert(t, adm.Offer(epoch, a, pace) == nil)
	}
	var order []uint64
	for adm.Len() > 0 {
		a, ok := adm.Next(epoch, anywhere)
		assert.Assert(t, ok)
		order = append(order, a.ID)
	}
	assert.DeepEqual(t, order, []uint64{2, 4, 3, 5, 1, 6})
}

// A team keeps its queue empty by sending one ask at a time. The others notice
// when it is forgiven what it has had each time, and so gets more than its
// share.
func TestDebtIsKept(t *testing.T) {
	adm := admitter.New(admitter.Config{Tokens: 1 << 30})
	for id := range uint64(100) {
		assert.Assert(t, adm.Offer(epoch, ask(id+1, "steady", 1000, 36_000), pace) == nil)
	}
	served := map[string]int{}
	waits := false
	for id := uint64(1000); id < 1060; id++ {
		if !waits {
			assert.Assert(t, adm.Offer(epoch, ask(id, "single", 10_000, 36_000), pace) == nil)
		}
		a, _ := adm.Next(epoch, anywhere)
		served[a.Team] += a.PromptTokens
		waits = a.Team != "single"
	}
	assert.Assert(t, served["single"] <= served["steady"]+10_000, "%v", served)
}

// An engine is lost, and what waits could be done only at its speed. Callers
// notice when they wait for the end of their limit to learn it.
func TestExpireAtOnceWhenPaceFalls(t *testing.T) {
	adm := admitter.New(admitter.Config{})
	assert.Assert(t, adm.Offer(epoch, ask(1, "a", 10_000, 60), pace) == nil)
	assert.Equal(t, len(adm.Expire(epoch, pace)), 0)
	slow := admitter.Capacity{Slots: 10, PrefillRate: 100, DecodeRate: 10}
	gone := adm.Expire(epoch, slow)
	assert.Equal(t, len(gone), 1)
	assert.Equal(t, adm.Len(), 0)
}

// A prompt of a million tokens waits for engines' memory, which does not come.
// Short questions go past it all the time. Its turn, long overdue, must not be
// reckoned as work that is done before the next question: every VM with such a
// prompt would refuse questions that it could answer at once.
func TestWhatFindsNoPlaceRefusesNobody(t *testing.T) {
	a := admitter.New(admitter.Config{})
	pace := admitter.Capacity{Slots: 16, PrefillRate: 10_000, UpstreamPrefillRate: 10_000, DecodeRate: 100}
	long := admitter.Request{ID: 1, Team: "a", Share: 1, PromptTokens: 900_000, MaxOutput: 1, Arrived: epoch, Deadline: epoch.Add(time.Hour)}
	assert.Assert(t, a.Offer(epoch, long, pace) == nil)
	_, ok := a.Next(epoch, func(admitter.Request) bool { return false })
	assert.Assert(t, !ok)
	now := epoch
	for id := uint64(2); id < 6000; id++ {
		now = now.Add(100 * time.Millisecond)
		short := admitter.Request{ID: id, Team: "b", Share: 1, PromptTokens: 1000, MaxOutput: 1, Arrived: now, Deadline: now.Add(20 * time.Second)}
		r := a.Offer(now, short, pace)
		assert.Assert(t, r == nil, "question %d: %v", id, r)
		got, ok := a.Next(now, func(k admitter.Request) bool { return k.ID != 1 })
		assert.Assert(t, ok && got.ID == id)
	}
	got, ok := a.Next(now, func(admitter.Request) bool { return true })
	assert.Assert(t, ok && got.ID == 1, "its turn is not lost")
}
