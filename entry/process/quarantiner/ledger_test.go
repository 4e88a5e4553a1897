package quarantiner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/meter"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
)

var (
	start   = time.Unix(1_000_000, 0)
	request = fingerprinter.Of(&fingerprinter.Request{Body: []byte("one")})
	other   = fingerprinter.Of(&fingerprinter.Request{Body: []byte("other")})
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// generateEntry generates entries of request.
func generateEntry() *rapid.Generator[quarantiner.Entry] {
	return rapid.Custom(func(t *rapid.T) quarantiner.Entry {
		e := quarantiner.Entry{Fingerprint: request}
		for range rapid.IntRange(0, 3).Draw(t, "losses") {
			// All VMs know the same time for the loss of an upstream.
			u := rapid.IntRange(0, 7).Draw(t, "upstream")
			if !slices.ContainsFunc(e.Losses, func(l quarantiner.Loss) bool { return l.Upstream == uint32(u) }) {
				e.Losses = append(e.Losses, quarantiner.Loss{Upstream: uint32(u), At: at(100 * (u + 1))})
			}
		}
		if rapid.IntRange(0, 3).Draw(t, "served") == 0 {
			e.Served = at(rapid.IntRange(0, 900).Draw(t, "when"))
		}
		if rapid.IntRange(0, 5).Draw(t, "held") == 0 {
			e.RecordedSince = at(rapid.IntRange(1, 900).Draw(t, "since"))
		}
		if rapid.IntRange(0, 5).Draw(t, "confirmed") == 0 {
			e.Confirmed = at(rapid.IntRange(1, 900).Draw(t, "at"))
		}
		return e
	})
}

// Datagrams arrive late, twice and in a different order at each VM. If VMs drew
// different conclusions from them, some would let the request through.
func TestLedgersAgreeForAnyOrderOfMerges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(generateEntry(), 1, 8).Draw(t, "entries")
		now := at(1000)
		a, b := quarantiner.NewLedger(), quarantiner.NewLedger()
		for _, e := range all {
			a.Merge(now, e)
		}
		twice := append(slices.Clone(all), all...)
		for _, i := range rapid.Permutation(indices(len(twice))).Draw(t, "order") {
			b.Merge(now, twice[i])
		}
		_, heldByA := a.Held(now, request)
		_, heldByB := b.Held(now, request)
		if heldByA != heldByB {
			t.Fatalf("held: %v and %v", heldByA, heldByB)
		}
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// Many callers send the same request while upstreams crash for another reason. The
// request is served between the crashes and must not be held.
func TestServedRequestIsNotHeldForUnrelatedCrashes(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 20 {
		l.Lost(at(100*i), request, uint32(i))
		if i%2 == 1 {
			l.Served(at(100*i+50), request)
		}
		_, held := l.Held(at(100*i+60), request)
		assert.Assert(t, !held, "held after %d upstreams", i+1)
	}
}

// The upstreams of one rack fail together while three or more of them run a request
// that many callers send. The request must not be held for as long as it keeps
// arriving.
func TestRequestLostWithARackGetsOneTrial(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 5 {
		l.Lost(at(i), request, uint32(i))
	}
	assert.Assert(t, !l.StartTrial(at(20_000), request), "trial before the delay")
	_, held, due := l.Arrived(at(31_000), request)
	assert.Assert(t, held && due)
	assert.Assert(t, l.StartTrial(at(31_000), request))
	_, held = l.Held(at(31_001), request)
	assert.Assert(t, !held, "the trial run is held")
	_, held, _ = l.Arrived(at(31_001), request)
	assert.Assert(t, held)
	assert.Assert(t, !l.StartTrial(at(31_001), request), "two trials at once")
	assert.Assert(t, l.Served(at(31_500), request))
	_, held, _ = l.Arrived(at(31_600), request)
	assert.Assert(t, !held)
}

// A trial that crashes its upstream as well must not be repeated while the hold lasts.
func TestTrialThatCrashesIsNotRepeated(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 20 {
		l.Lost(at(i), request, uint32(i))
	}
	assert.Assert(t, l.StartTrial(at(31_000), request))
	l.Lost(at(31_100), request, 99)
	for i := range 60 {
		_, held, due := l.Arrived(at(31_200+10_000*i), request)
		assert.Assert(t, held && !due, "another trial after %d s", 10*i)
	}
}

// Several broken connections to one upstream count as one loss.
func TestOneUpstreamIsOneLoss(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 10 {
		losses, held := l.Lost(at(i), request, 1)
		assert.Equal(t, losses, 1)
		assert.Assert(t, !held)
	}
	l.Lost(at(20), request, 2)
	_, held := l.Lost(at(30), request, 3)
	assert.Assert(t, held)
	_, held = l.Held(at(31), other)
	assert.Assert(t, !held)
}

// With a fixed hold time, a request that keeps arriving would be let through when it
// ends. Without an end, a request that no longer arrives would be kept forever.
func TestHoldLastsWhileTheRequestArrivesButAtMostADay(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 3 {
		l.Lost(at(i), request, uint32(i))
		l.Lost(at(i), other, uint32(i))
	}
	now := at(40_000)
	l.Lost(now, request, 3)
	l.Lost(now, other, 3)
	for range 100 {
		now = now.Add(10 * time.Minute)
		l.Arrived(now, request)
		l.Expire(now)
		_, held := l.Held(now, request)
		assert.Assert(t, held, "not held after %v", now.Sub(start))
	}
	_, held := l.Held(now, other)
	assert.Assert(t, !held)
	now = start.Add(25 * time.Hour)
	l.Arrived(now, request)
	_, held = l.Held(now, request)
	assert.Assert(t, !held)
	l.Expire(now)
	known, _ := l.Len()
	assert.Equal(t, known, 0)
}

// A caller that sends a different request each time must neither fill the memory of a
// VM nor evict the entries of held requests.
func TestLedgerIsBoundedAndKeepsHeldRequests(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 3 {
		l.Lost(at(i), request, uint32(i))
	}
	const requests = 6000
	for i := range requests {
		body := []byte{byte(i), byte(i >> 8)}
		l.Lost(at(10+i), fingerprinter.Of(&fingerprinter.Request{Body: body}), 1)
	}
	known, held := l.Len()
	assert.Assert(t, known <= 4096, "%d entries", known)
	assert.Equal(t, held, 1)
	_, stillHeld := l.Held(at(requests+10), request)
	assert.Assert(t, stillHeld)
}

// A request that was served after all must not be held again because of the platform's
// record.
func TestRecordOfALiftedQuarantineIsDropped(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 3 {
		l.Lost(at(i), request, uint32(i))
	}
	l.MarkStored(request, quarantiner.StoredHeld)
	assert.Equal(t, len(l.Expire(at(4))), 0)
	l.Served(at(5), request)
	assert.DeepEqual(t, l.Expire(at(6)), []fingerprinter.Fingerprint{request})
	assert.Equal(t, len(l.Expire(at(7))), 0)
}

// The platform was restored from a backup that lacks the record of a held request. Every
// VM knows that it was stored, and without being told otherwise none would store it again;
// the next restart of all VMs would then end the quarantine.
func TestLostRecordIsStoredAgain(t *testing.T) {
	now := start
	q := quarantiner.New(quarantiner.Deps{
		Meter: meter.New(), Now: func() time.Time { return now }, Log: zerolog.Nop(), Broadcast: func() {}, MayRunTrial: neverTrial,
	})
	record := quarantiner.Record{Fingerprint: request, Since: start}
	q.Restore(record)
	store, _ := q.Reconcile()
	assert.Equal(t, len(store), 0)
	q.MarkLost(map[fingerprinter.Fingerprint]bool{request: true}, true)
	store, _ = q.Reconcile()
	assert.Equal(t, len(store), 0, "the backup has it")
	q.MarkLost(nil, false)
	now = now.Add(time.Second)
	store, _ = q.Reconcile()
	assert.Equal(t, len(store), 0, "another VM may store it first")
	q.MarkLost(nil, true)
	store, _ = q.Reconcile()
	assert.Equal(t, len(store), 1)
	q.MarkStored(store[0])
	now = now.Add(time.Minute)
	store, _ = q.Reconcile()
	assert.Equal(t, len(store), 0)
}
