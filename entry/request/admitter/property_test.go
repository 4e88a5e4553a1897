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

// capacity reads 1,000 tokens per second.
var capacity = admitter.Capacity{Slots: 1000, PrefillRate: 1000, DecodeRate: 1000}

// machine offers, places, removes and expires requests at random, and tracks
// which ones must be waiting.
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
	if m.adm.Offer(m.now, a, capacity) == nil {
		m.waiting[a.ID] = a
	}
}

// checkRemoved checks that a removed request was waiting, and removes it from
// the expected state.
func (m *machine) checkRemoved(t *rapid.T, a admitter.Request) {
	if _, ok := m.waiting[a.ID]; !ok {
		t.Fatalf("request %d returned but was not waiting", a.ID)
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
		t.Fatalf("%d calls of place in one Next", calls)
	}
	if !ok {
		return
	}
	if a.PromptTokens > most {
		t.Fatalf("request of %d tokens placed where at most %d are accepted", a.PromptTokens, most)
	}
	if !m.now.Before(a.Deadline) {
		t.Fatalf("request placed after its deadline")
	}
	for _, o := range m.waiting {
		if o.Team == a.Team && o.PromptTokens == a.PromptTokens && o.Deadline.Before(a.Deadline) && m.now.Before(o.Deadline.Add(-time.Hour)) {
			t.Fatalf("request %d placed before %d of its team, which has an earlier deadline", a.ID, o.ID)
		}
	}
	m.checkRemoved(t, a)
}

func (m *machine) expire(t *rapid.T) {
	for _, a := range m.adm.Expire(m.now, capacity) {
		m.checkRemoved(t, a)
	}
}

func (m *machine) remove(t *rapid.T) {
	id := uint64(rapid.IntRange(0, int(m.id)+1).Draw(t, "id"))
	if m.adm.Remove(id) {
		m.checkRemoved(t, m.waiting[id])
		return
	}
	// A request that Next found too late is returned only by Expire.
	m.expire(t)
	if _, ok := m.waiting[id]; ok {
		t.Fatalf("request %d is waiting but could not be removed", id)
	}
}

// drain checks that no request is lost: with place accepting everything, Next
// returns every request that can finish in time and Expire the rest.
func (m *machine) drain(t *rapid.T) {
	for {
		a, ok := m.adm.Next(m.now, func(admitter.Request) bool { return true })
		if !ok {
			break
		}
		m.checkRemoved(t, a)
	}
	m.expire(t)
	if len(m.waiting) != 0 || m.adm.Len() != 0 || m.adm.Tokens() != 0 {
		t.Fatalf("%d requests lost; Len %d, Tokens %d", len(m.waiting), m.adm.Len(), m.adm.Tokens())
	}
}

func (m *machine) check(t *rapid.T) {
	tokens := 0
	for _, a := range m.waiting {
		tokens += a.PromptTokens
	}
	// Requests that Next found too late have left the queue before Expire
	// returns them.
	if m.adm.Len() > len(m.waiting) || m.adm.Tokens() > tokens {
		t.Fatalf("Len %d, Tokens %d; at most %d and %d expected", m.adm.Len(), m.adm.Tokens(), len(m.waiting), tokens)
	}
}

func TestNoRequestLostOrDuplicated(t *testing.T) {
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

// An admitted request is placed in time, whatever waits ahead of it, if the
// upstreams keep their rates and nothing is admitted after it.
func TestAdmittedRequestIsPlacedInTime(t *testing.T) {
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
			for _, a := range m.adm.Expire(m.now, capacity) {
				if a.ID == last.ID {
					t.Fatalf("expired after admission: %+v", a)
				}
				m.checkRemoved(t, a)
			}
		}
	})
}

// serve places one request on an upstream that reads prompts one at a time.
func (m *machine) serve(t *rapid.T) {
	a, ok := m.adm.Next(m.now, func(admitter.Request) bool { return true })
	if !ok {
		return
	}
	m.checkRemoved(t, a)
	m.now = m.now.Add(time.Duration(float64(a.PromptTokens) / capacity.PrefillRate * float64(time.Second)))
}

// Two teams that always have requests waiting are served tokens in the ratio of
// their shares, to within the longest request of each.
func TestTeamsServedByShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		adm := admitter.New(admitter.Config{OutputTokenCost: 1})
		shares := map[string]int{"a": 1, "b": rapid.IntRange(1, 5).Draw(t, "share")}
		served := map[string]float64{}
		longest := 0.0
		id := uint64(0)
		offer := func(team string) {
			id++
			a := admitter.Request{ID: id, Team: team, Share: shares[team], PromptTokens: rapid.IntRange(1, 16_000).Draw(t, "tokens")}
			a.Arrived, a.Deadline = epoch, epoch.Add(1000*time.Hour)
			longest = max(longest, float64(a.PromptTokens))
			assert.Assert(t, adm.Offer(epoch, a, capacity) == nil)
		}
		for range 3 {
			offer("a")
			offer("b")
		}
		for range 100 {
			a, _ := adm.Next(epoch, func(admitter.Request) bool { return true })
			served[a.Team] += float64(a.PromptTokens) / float64(shares[a.Team])
			offer(a.Team)
			// A round gives 256 tokens per share, and overdrafts are tracked in whole
			// rounds, which adds an error of up to one round.
			bound := longest + longest/float64(shares["b"]) + 2*256*100
			if gap := served["a"] - served["b"]; gap > bound || gap < -bound {
				t.Fatalf("served %v, bound %.0f", served, bound)
			}
		}
	})
}
