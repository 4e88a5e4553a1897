package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/request/admitter"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// pace reads a thousand tokens a second.
var pace = admitter.Capacity{Slots: 1000, PrefillRate: 1000, DecodeRate: 1000}

// A machine offers, places, removes and expires at random, and knows what
// must wait.
type machine struct {
	adm     *admitter.Admitter
	now     time.Time
	id      uint64
	waiting map[uint64]admitter.Request
}

func newMachine() *machine {
	return &machine{adm: admitter.New(admitter.Config{}), now: epoch, waiting: map[uint64]admitter.Request{}}
}

func (m *machine) offer(t *rapid.T) {
	m.id++
	a := admitter.Request{
		ID:           m.id,
		Team:         fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "team")),
		Share:        rapid.IntRange(0, 3).Draw(t, "share"),
		PromptTokens: rapid.SampledFrom([]int{1, 900, 16_000, 20_000, 100_000, 500_000}).Draw(t, "tokens"),
		MaxOutput:    rapid.IntRange(0, 100).Draw(t, "output"),
		Arrived:      m.now,
	}
	a.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "limit")) * time.Second)
	if m.adm.Offer(m.now, a, pace) == nil {
		m.waiting[a.ID] = a
	}
}

// leave checks that an ask that comes out was there, once.
func (m *machine) leave(t *rapid.T, a admitter.Request) {
	if _, ok := m.waiting[a.ID]; !ok {
		t.Fatalf("ask %d came out and did not wait", a.ID)
	}
	delete(m.waiting, a.ID)
}

func (m *machine) next(t *rapid.T) {
	most := rapid.SampledFrom([]int{0, 1000, 50_000, 1_000_000}).Draw(t, "most")
	calls := 0
	a, ok := m.adm.Next(m.now, func(a admitter.Request) bool {
		calls++
		return a.PromptTokens <= most
	})
	if calls > 8 {
		t.Fatalf("%d calls of place", calls)
	}
	if !ok {
		return
	}
	if a.PromptTokens > most {
		t.Fatalf("ask of %d tokens placed where %d fit", a.PromptTokens, most)
	}
	if !m.now.Before(a.Deadline) {
		t.Fatalf("ask placed after its deadline")
	}
	for _, o := range m.waiting {
		if o.Team == a.Team && o.PromptTokens == a.PromptTokens && o.Deadline.Before(a.Deadline) && m.now.Before(o.Deadline.Add(-time.Hour)) {
			t.Fatalf("ask %d passed %d of its team, which is due earlier", a.ID, o.ID)
		}
	}
	m.leave(t, a)
}

func (m *machine) expire(t *rapid.T) {
	for _, a := range m.adm.Expire(m.now, pace) {
		m.leave(t, a)
	}
}

func (m *machine) remove(t *rapid.T) {
	id := uint64(rapid.IntRange(0, int(m.id)+1).Draw(t, "id"))
	if m.adm.Remove(id) {
		m.leave(t, m.waiting[id])
		return
	}
	// One that Next has found too late waits for Expire alone.
	m.expire(t)
	if _, ok := m.waiting[id]; ok {
		t.Fatalf("ask %d waits and could not be removed", id)
	}
}

// drain checks that nothing was lost: all that can be done in time comes out
// of Next where everything finds a place, and the rest out of Expire.
func (m *machine) drain(t *rapid.T) {
	for {
		a, ok := m.adm.Next(m.now, func(admitter.Request) bool { return true })
		if !ok {
			break
		}
		m.leave(t, a)
	}
	m.expire(t)
	if len(m.waiting) != 0 || m.adm.Len() != 0 || m.adm.Tokens() != 0 {
		t.Fatalf("%d asks lost; Len %d, Tokens %d", len(m.waiting), m.adm.Len(), m.adm.Tokens())
	}
}

func (m *machine) check(t *rapid.T) {
	tokens := 0
	for _, a := range m.waiting {
		tokens += a.PromptTokens
	}
	// Asks that Next found too late are out of the queue until Expire hands
	// them out.
	if m.adm.Len() > len(m.waiting) || m.adm.Tokens() > tokens {
		t.Fatalf("Len %d, Tokens %d; %d and %d wait", m.adm.Len(), m.adm.Tokens(), len(m.waiting), tokens)
	}
}

func TestNoneLostOrDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"offer2": m.offer,
			"next":   m.next,
			"expire": m.expire,
			"remove": m.remove,
			"wait":   func(*rapid.T) { m.now = m.now.Add(time.Second) },
			"drain":  m.drain,
			"":       m.check,
		})
	})
}

// An ask that is let in is placed in time if the upstreams keep their pace and
// nothing is let in after it, whatever waits before it.
func TestEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		for range rapid.IntRange(0, 60).Draw(t, "asks") {
			m.offer(t)
			if rapid.Bool().Draw(t, "serve") {
				m.serve(t)
			}
		}
		m.offer(t)
		last := m.waiting[m.id]
		for m.adm.Len() > 0 {
			m.serve(t)
			for _, a := range m.adm.Expire(m.now, pace) {
				if a.ID == last.ID {
					t.Fatalf("given up after being let in: %+v", a)
				}
				m.leave(t, a)
			}
		}
	})
}

// serve places one ask on an upstream that reads one prompt after another.
func (m *machine) serve(t *rapid.T) {
	a, ok := m.adm.Next(m.now, func(admitter.Request) bool { return true })
	if !ok {
		return
	}
	m.leave(t, a)
	m.now = m.now.Add(time.Duration(float64(a.PromptTokens) / pace.PrefillRate * float64(time.Second)))
}

// Two teams that always have something waiting get tokens in the ratio of
// their shares, but for one longest ask of each.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		adm := admitter.New(admitter.Config{Answer: 1})
		shares := map[string]int{"a": 1, "b": rapid.IntRange(1, 5).Draw(t, "share")}
		served := map[string]float64{}
		longest := 0.0
		id := uint64(0)
		offer := func(team string) {
			id++
			a := admitter.Request{ID: id, Team: team, Share: shares[team], PromptTokens: rapid.IntRange(1, 16_000).Draw(t, "tokens")}
			a.Arrived, a.Deadline = epoch, epoch.Add(1000*time.Hour)
			longest = max(longest, float64(a.PromptTokens))
			assert.Assert(t, adm.Offer(epoch, a, pace) == nil)
		}
		for range 3 {
			offer("a")
			offer("b")
		}
		for range 100 {
			a, _ := adm.Next(epoch, func(admitter.Request) bool { return true })
			served[a.Team] += float64(a.PromptTokens) / float64(shares[a.Team])
			offer(a.Team)
			// A round gives 256 tokens a share; being paid up is known to the
			// round, and so to within one.
			bound := longest + longest/float64(shares["b"]) + 2*256*100
			if gap := served["a"] - served["b"]; gap > bound || gap < -bound {
				t.Fatalf("served %v, bound %.0f", served, bound)
			}
		}
	})
}
