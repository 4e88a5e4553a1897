package quarantiner_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
)

var (
	start = time.Unix(1_000_000, 0)
	one   = fingerprinter.Of(&fingerprinter.Request{Body: []byte("one")})
	other = fingerprinter.Of(&fingerprinter.Request{Body: []byte("other")})
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func entries() *rapid.Generator[quarantiner.Entry] {
	return rapid.Custom(func(t *rapid.T) quarantiner.Entry {
		e := quarantiner.Entry{Fingerprint: one}
		for range rapid.IntRange(0, 3).Draw(t, "losses") {
			// The time of an upstream's loss is the same for all that know of it.
			u := rapid.IntRange(0, 7).Draw(t, "upstream")
			if !slices.ContainsFunc(e.Losses, func(l quarantiner.Loss) bool { return l.Upstream == uint32(u) }) {
				e.Losses = append(e.Losses, quarantiner.Loss{Upstream: uint32(u), At: at(100 * (u + 1))})
			}
		}
		if rapid.IntRange(0, 3).Draw(t, "served") == 0 {
			e.Served = at(rapid.IntRange(0, 900).Draw(t, "when"))
		}
		if rapid.IntRange(0, 5).Draw(t, "held") == 0 {
			e.Held = at(rapid.IntRange(1, 900).Draw(t, "since"))
		}
		if rapid.IntRange(0, 5).Draw(t, "confirmed") == 0 {
			e.Confirmed = at(rapid.IntRange(1, 900).Draw(t, "at"))
		}
		return e
	})
}

// Datagrams come late, twice and in another order at each VM: VMs that took them for
// different things would let the request loose at some.
func TestVMsThatHeardTheSameInAnyOrderAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(entries(), 1, 8).Draw(t, "entries")
		now := at(1000)
		a, b := quarantiner.NewLedger(), quarantiner.NewLedger()
		for _, e := range all {
			a.Merge(now, e)
		}
		twice := append(slices.Clone(all), all...)
		for _, i := range rapid.Permutation(indices(len(twice))).Draw(t, "order") {
			b.Merge(now, twice[i])
		}
		_, here := a.Held(now, one)
		_, there := b.Held(now, one)
		if here != there {
			t.Fatalf("held: %v and %v", here, there)
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

// Many callers ask for the same, and upstreams die of another cause: it was served
// between their deaths, and must not be turned away.
func TestWhatIsServedIsNotHeldForUpstreamsThatDieBesides(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 20 {
		l.Lost(at(100*i), one, uint32(i))
		if i%2 == 1 {
			l.Served(at(100*i+50), one)
		}
		_, held := l.Held(at(100*i+60), one)
		assert.Assert(t, !held, "held after %d upstreams", i+1)
	}
}

// Upstreams of one rack die together, and a question that many ask was under way at three
// of them. It must not be turned away for as long as it is asked.
func TestWhatWasLostWithARackIsTriedOnce(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 5 {
		l.Lost(at(i), one, uint32(i))
	}
	assert.Assert(t, !l.Try(at(20_000), one), "tried at once")
	_, held, due := l.Arrived(at(31_000), one)
	assert.Assert(t, held && due)
	assert.Assert(t, l.Try(at(31_000), one))
	_, held = l.Held(at(31_001), one)
	assert.Assert(t, !held, "the trial itself is held")
	_, held, _ = l.Arrived(at(31_001), one)
	assert.Assert(t, held)
	assert.Assert(t, !l.Try(at(31_001), one), "tried twice at once")
	assert.Assert(t, l.Served(at(31_500), one))
	_, held, _ = l.Arrived(at(31_600), one)
	assert.Assert(t, !held)
}

// A trial that crashes as well is the last one for long.
func TestTrialThatCrashesIsNotRepeated(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 20 {
		l.Lost(at(i), one, uint32(i))
	}
	assert.Assert(t, l.Try(at(31_000), one))
	l.Lost(at(31_100), one, 99)
	for i := range 60 {
		_, held, due := l.Arrived(at(31_200+10_000*i), one)
		assert.Assert(t, held && !due, "tried again after %d s", 10*i)
	}
}

// One upstream that breaks many connections is one loss.
func TestOneUpstreamIsOneLoss(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 10 {
		losses, held := l.Lost(at(i), one, 1)
		assert.Equal(t, losses, 1)
		assert.Assert(t, !held)
	}
	l.Lost(at(20), one, 2)
	_, held := l.Lost(at(30), one, 3)
	assert.Assert(t, held)
	_, held = l.Held(at(31), other)
	assert.Assert(t, !held)
}

// A request that is asked for without end would be let loose at the end of a fixed
// time, and one that nobody asks for any more would be kept for ever.
func TestHoldLastsWhileTheRequestComesAndNoLongerThanADay(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 3 {
		l.Lost(at(i), one, uint32(i))
		l.Lost(at(i), other, uint32(i))
	}
	now := at(40_000)
	l.Lost(now, one, 3)
	l.Lost(now, other, 3)
	for range 100 {
		now = now.Add(10 * time.Minute)
		l.Arrived(now, one)
		l.Expire(now)
		_, held := l.Held(now, one)
		assert.Assert(t, held, "let loose after %v", now.Sub(start))
	}
	_, held := l.Held(now, other)
	assert.Assert(t, !held)
	now = start.Add(25 * time.Hour)
	l.Arrived(now, one)
	_, held = l.Held(now, one)
	assert.Assert(t, !held)
	l.Expire(now)
	known, _ := l.Len()
	assert.Equal(t, known, 0)
}

// A caller that makes up a new request each time must not fill a VM's memory, nor
// push out what is held.
func TestLedgerIsBoundedAndKeepsWhatIsHeld(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 3 {
		l.Lost(at(i), one, uint32(i))
	}
	const many = 6000
	for i := range many {
		body := []byte{byte(i), byte(i >> 8)}
		l.Lost(at(10+i), fingerprinter.Of(&fingerprinter.Request{Body: body}), 1)
	}
	known, held := l.Len()
	assert.Assert(t, known <= 4096, "%d entries", known)
	assert.Equal(t, held, 1)
	_, still := l.Held(at(many+10), one)
	assert.Assert(t, still)
}

// A request that was served after all must not be held again by what the platform kept.
func TestRecordOfALiftedQuarantineIsDropped(t *testing.T) {
	l := quarantiner.NewLedger()
	for i := range 3 {
		l.Lost(at(i), one, uint32(i))
	}
	l.Stored(one, quarantiner.StoredHeld)
	assert.Equal(t, len(l.Expire(at(4))), 0)
	l.Served(at(5), one)
	assert.DeepEqual(t, l.Expire(at(6)), []fingerprinter.Fingerprint{one})
	assert.Equal(t, len(l.Expire(at(7))), 0)
}
