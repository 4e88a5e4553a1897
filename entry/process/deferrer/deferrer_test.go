package deferrer_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/deferrer"
)

const lifetime = 3 * time.Second

// Claims are added, taken, given back, used, and expire in any order, and asked for again
// and again. A claim that was lost would break a promise; one that moved, doubled or came
// back could be made by asking more often.
func TestClaimsAreConserved(t *testing.T) {
	const (
		none = iota
		open
		taken
		used
	)
	type model struct {
		due   time.Time
		state int
	}
	rapid.Check(t, func(t *rapid.T) {
		d, now := deferrer.New(), time.Unix(1_000_000, 0)
		claims := make(map[uint64]model)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			f := rapid.Uint64Range(1, 12).Draw(t, "fingerprint")
			for f, m := range claims {
				if !now.Before(m.due.Add(lifetime)) {
					delete(claims, f)
				}
			}
			m := claims[f]
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				wish := now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "due")) * time.Millisecond)
				if m.state == none {
					m = model{wish, open}
				}
				c, ok := d.Add(now, deferrer.Claim{Fingerprint: f, Team: strconv.Itoa(int(f % 3)), Due: wish})
				if ok != (m.state != used) || (ok && !c.Due.Equal(m.due)) {
					t.Fatalf("claim %v %v, want %v", c, ok, m)
				}
				claims[f] = m
			case 1:
				want := m.state == open && !now.Before(m.due.Add(-20*time.Millisecond))
				if got := d.Take(now, f); got != want {
					t.Fatalf("taken: %v, claim %v", got, m)
				}
				if want {
					claims[f] = model{m.due, taken}
				}
			case 2:
				d.Return(f)
				if m.state == taken {
					claims[f] = model{m.due, open}
				}
			default:
				want := m.state == open || m.state == taken
				if got := d.Use(now, f); got != want {
					t.Fatalf("used: %v, claim %v", got, m)
				}
				if want {
					claims[f] = model{m.due, used}
				}
			}
			live := 0
			for _, m := range claims {
				if m.state != used {
					live++
				}
			}
			if got := len(d.All(now)); got != live {
				t.Fatalf("%d claims, want %d", got, live)
			}
		}
	})
}

// A team that is refused without end must neither fill the memory nor take the claims of
// others.
func TestClaimsAreBounded(t *testing.T) {
	d, now := deferrer.New(), time.Unix(1_000_000, 0)
	add := func(f uint64, team string) bool {
		_, ok := d.Add(now, deferrer.Claim{Fingerprint: f, Team: team, Due: now.Add(time.Second)})
		return ok
	}
	for f := uint64(1); f < 5000; f++ {
		add(f, "loud")
	}
	assert.Equal(t, len(d.All(now)), 256)
	assert.Assert(t, add(9000, "quiet"))
	for f := uint64(10_000); f < 20_000; f++ {
		add(f, strconv.Itoa(int(f%100)))
	}
	assert.Equal(t, len(d.All(now)), 1024)
	now = now.Add(time.Second + lifetime)
	assert.Assert(t, add(9001, "quiet"))
	assert.Equal(t, len(d.All(now)), 1)
}

// A claim without a fingerprint, one that has expired and one that is due in an hour are
// not kept.
func TestUselessClaimsAreNotKept(t *testing.T) {
	d, now := deferrer.New(), time.Unix(1_000_000, 0)
	for _, c := range []deferrer.Claim{{Due: now}, {Fingerprint: 1, Due: now.Add(-lifetime)}, {Fingerprint: 2, Due: now.Add(time.Hour)}} {
		_, ok := d.Add(now, c)
		assert.Assert(t, !ok)
	}
}

// Two leaders have refused the request, and told it different times.
func TestTheEarlierOfTwoClaimsStands(t *testing.T) {
	for _, late := range []time.Duration{time.Second, 2 * time.Second} {
		d, now := deferrer.New(), time.Unix(1_000_000, 0)
		d.Add(now, deferrer.Claim{Fingerprint: 1, Due: now.Add(3*time.Second - late)})
		c, ok := d.Merge(now, deferrer.Claim{Fingerprint: 1, Due: now.Add(late)})
		assert.Assert(t, ok && c.Due.Equal(now.Add(time.Second)))
		assert.Equal(t, len(d.All(now)), 1)
	}
}

func TestWorkCountsTheClaimsOfASizeThatAreDue(t *testing.T) {
	d, now := deferrer.New(), time.Unix(1_000_000, 0)
	for i, c := range []deferrer.Claim{{Work: 1}, {Work: 2, Size: 1}, {Work: 4, Priority: 1}, {Work: 8, Due: now.Add(2 * time.Second)}} {
		c.Fingerprint = uint64(i + 1)
		if c.Due.IsZero() {
			c.Due = now
		}
		d.Add(now, c)
	}
	assert.Equal(t, d.Work(now, 0, 0, now.Add(time.Second)), 1.0)
	assert.Equal(t, d.Work(now, 0, 0, now.Add(3*time.Second)), 9.0)
	assert.Equal(t, d.Work(now, 1, 0, now.Add(time.Second)), 4.0)
}
