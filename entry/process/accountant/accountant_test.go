package accountant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/accountant"
)

const (
	total = int64(1 << 20)
	unit  = total / 64
)

var start = time.Unix(1000, 0)

func fail(accountant.Ending) { panic("a response was ended") }

// fill opens requests of a team until no more is admitted.
func fill(a *accountant.Accountant, team string, end func(accountant.Ending)) (all []*accountant.Holder) {
	for {
		h := a.Open(team, end)
		if !h.Admit(start, accountant.Sockets, unit) {
			h.Close(start)
			return all
		}
		all = append(all, h)
	}
}

// Guards against one team that leaves no memory to the others.
func TestOneTeamCannotTakeAll(t *testing.T) {
	a := accountant.New(accountant.Limits{Total: total})
	large := fill(a, "large", fail)
	used := a.Usage("large").Team
	assert.Assert(t, used > total*3/4 && used <= total*4/5, "%d of %d", used, total)
	for large[0].Grow(start, accountant.Events, unit) {
	}
	assert.Assert(t, a.Usage("large").Team > used, "requests in progress may use more than new ones")
	small := a.Open("small", fail)
	assert.Assert(t, small.Grow(start, accountant.Bodies, unit), "another team gets none")
}

// Guards against ending a response while its caller reads, or that of a small team for a
// large one.
func TestSlowestReadersAreEnded(t *testing.T) {
	a := accountant.New(accountant.Limits{Total: total})
	var ended []string
	note := func(name string) func(accountant.Ending) {
		return func(e accountant.Ending) {
			assert.Assert(t, e.Team == "large" && e.Held == unit && e.Lacking > 0 && e.Behind == 5*time.Second, "%+v", e)
			ended = append(ended, name)
		}
	}
	small := a.Open("small", note("small"))
	assert.Assert(t, small.Admit(start, accountant.Sockets, unit))
	slow, slower := a.Open("large", note("slow")), a.Open("large", note("slower"))
	assert.Assert(t, slow.Admit(start, accountant.Sockets, unit) && slower.Admit(start, accountant.Sockets, unit))
	fill(a, "large", fail)
	small.Behind(start)
	slower.Behind(start.Add(time.Second))
	slow.Behind(start.Add(2 * time.Second))

	next := a.Open("large", fail)
	assert.Assert(t, !next.Admit(start.Add(3*time.Second), accountant.Sockets, unit))
	assert.Equal(t, len(ended), 0, "some seconds must pass: %v", ended)
	at := start.Add(6 * time.Second)
	assert.Assert(t, !next.Admit(at, accountant.Sockets, unit))
	assert.DeepEqual(t, ended, []string{"slower"})
	assert.Assert(t, !next.Admit(at, accountant.Sockets, unit))
	assert.Equal(t, len(ended), 1, "what an ended response holds will be free")
	slower.Close(at)
	assert.Assert(t, next.Admit(at, accountant.Sockets, unit))
	for slow.Grow(at, accountant.Events, unit) {
	}
	assert.Equal(t, len(ended), 1, "it is the furthest behind of its team: %v", ended)
	slow.CaughtUp()
	assert.Assert(t, !a.Open("large", fail).Admit(at, accountant.Sockets, unit))
	assert.Equal(t, len(ended), 1)
}

// Guards against refused callers that come back while nothing is free yet.
func TestRetryAfterFollowsReleases(t *testing.T) {
	a := accountant.New(accountant.Limits{Total: total})
	all := fill(a, "a", fail)
	stalled := a.RetryAfter(start, "a", unit)
	now := start
	for _, h := range all[:8] {
		now = now.Add(50 * time.Millisecond)
		h.Close(now)
	}
	fill(a, "a", fail)
	assert.Equal(t, stalled, 3*time.Second)
	assert.Equal(t, a.RetryAfter(now, "a", unit), 500*time.Millisecond)
	later := a.RetryAfter(now, "a", 6*unit)
	assert.Assert(t, later > time.Second && later < 3*time.Second, "%v", later)
}

// With the feature off, bodies alone are limited, as before.
func TestBodiesOnly(t *testing.T) {
	a := accountant.New(accountant.Limits{Total: total, BodiesOnly: true})
	h := a.Open("a", fail)
	assert.Assert(t, h.Admit(start, accountant.Bodies, total))
	assert.Assert(t, !h.Admit(start, accountant.Bodies, 1))
	assert.Assert(t, h.Grow(start, accountant.Events, total))
	a.SetLimits(accountant.Limits{Total: total})
	h.Release(start, accountant.Events, total)
	assert.Equal(t, a.Usage("a").Used, total)
	h.Close(start)
	assert.Equal(t, a.Usage("a").Used, int64(0))
}

// In any history no more is in use than the total, sums agree, no response is ended whose
// caller reads, and nothing stays in use once all requests are over.
func TestMemoryIsBoundedAndReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := accountant.New(accountant.Limits{Total: total})
		teams := []string{"a", "b", "c"}
		now := start
		type request struct {
			holder *accountant.Holder
			team   string
			held   [accountant.NumKinds]int64
			behind time.Time
			ended  bool
		}
		var open []*request
		openOne := func(t *rapid.T) {
			r := &request{team: rapid.SampledFrom(teams).Draw(t, "team")}
			r.holder = a.Open(r.team, func(accountant.Ending) {
				assert.Assert(t, !r.ended && !r.behind.IsZero() && now.Sub(r.behind) >= 3*time.Second)
				r.ended = true
			})
			open = append(open, r)
		}
		pick := func(t *rapid.T) *request {
			if len(open) == 0 {
				openOne(t)
			}
			return rapid.SampledFrom(open).Draw(t, "request")
		}
		kind := func(t *rapid.T) accountant.Kind {
			return accountant.Kind(rapid.IntRange(0, int(accountant.NumKinds)-1).Draw(t, "kind"))
		}
		take := func(t *rapid.T, f func(*accountant.Holder, time.Time, accountant.Kind, int64) bool) {
			r, k, n := pick(t), kind(t), rapid.Int64Range(0, total/4).Draw(t, "n")
			if f(r.holder, now, k, n) {
				r.held[k] += n
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"open":  openOne,
			"admit": func(t *rapid.T) { take(t, (*accountant.Holder).Admit) },
			"grow":  func(t *rapid.T) { take(t, (*accountant.Holder).Grow) },
			"release": func(t *rapid.T) {
				r, k := pick(t), kind(t)
				n := rapid.Int64Range(0, r.held[k]).Draw(t, "n")
				r.holder.Release(now, k, n)
				r.held[k] -= n
			},
			"behind": func(t *rapid.T) {
				r := pick(t)
				r.behind = now
				r.holder.Behind(now)
			},
			"caught up": func(t *rapid.T) {
				r := pick(t)
				r.behind = time.Time{}
				r.holder.CaughtUp()
			},
			"close": func(t *rapid.T) {
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "i")
					open[i].holder.Close(now)
					open = append(open[:i], open[i+1:]...)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				var byKind [accountant.NumKinds]int64
				byTeam, sum := map[string]int64{}, int64(0)
				for _, r := range open {
					for k, n := range r.held {
						byKind[k] += n
						byTeam[r.team] += n
						sum += n
					}
				}
				u := a.Usage("")
				assert.Assert(t, u.Used <= total && u.Used == sum)
				assert.Equal(t, u.ByKind, byKind)
				for _, team := range teams {
					assert.Equal(t, a.Usage(team).Team, byTeam[team])
				}
			},
		})
		for _, r := range open {
			r.holder.Close(now)
			r.holder.Close(now)
		}
		assert.Equal(t, a.Usage("").Used, int64(0))
	})
}
