package scheduler_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/switcher"
	"github.com/heathervane/heathervane/entry/request/placer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// A caller sends a request, and once more if it is told to come back while it has time.
type caller struct {
	*arrival
	request  scheduler.Request
	first    time.Time
	deadline time.Time
	comesAt  time.Time
	tries    int
	// waited is the longest wait that ended with a refusal.
	waited time.Duration
	served bool
}

// crowd plays callers of long prompts, more than the engines can serve, and returns them.
// A service with one priority has no admission and no claims.
func crowd(seed uint64, rate float64, priorities []int) []*caller {
	const (
		engines  = 8
		duration = 2500 * time.Millisecond
		step     = 5 * time.Millisecond
		burst    = 15 * time.Second
		limit    = 15 * time.Second
	)
	s := &simulation{fleet: newFleet(engines)}
	service := newFleet(0).request(5000, time.Second).Service
	service = &matcher.Service{Name: service.Name, Engine: service.Engine, Priorities: priorities}
	random := rand.New(rand.NewPCG(seed, seed))
	var all, open []*caller
	for elapsed := time.Duration(0); elapsed < burst+limit; elapsed += step {
		s.advance(step, duration)
		if elapsed < burst && random.Float64() < rate*step.Seconds() {
			c := &caller{first: s.now, deadline: s.now.Add(limit), comesAt: s.now}
			c.request = scheduler.Request{Service: service, Priority: 1, Team: "t", Fingerprint: random.Uint64() | 1}
			all, open = append(all, c), append(open, c)
		}
		var remaining []*caller
		for _, c := range open {
			if c.arrival == nil && s.now.Before(c.comesAt) {
				remaining = append(remaining, c)
				continue
			}
			if c.arrival == nil {
				c.request.Requirements = placer.Request{
					Prompt: 150_000, Output: 1000, MaxPause: 1000, Arrived: s.now, Objective: s.now.Add(limit * 4 / 10), Deadline: c.deadline,
				}
				c.arrival, c.tries = &arrival{arrivedAt: s.now}, c.tries+1
				c.out = s.submit(c.request)
				s.pending = append(s.pending, c.arrival)
				s.collect(duration)
			}
			switch o := c.outcome; {
			case o.grant != nil:
				c.served = true
			case o.refusal == nil:
				remaining = append(remaining, c)
			default:
				c.waited = max(c.waited, s.now.Sub(c.arrivedAt))
				c.comesAt, c.arrival = s.now.Add(o.refusal.RetryAfter), nil
				if c.tries < 2 && o.refusal.RetryAfter <= c.deadline.Sub(s.now)/3 {
					remaining = append(remaining, c)
				}
			}
		}
		open = remaining
	}
	return all
}

func count(all []*caller, f func(*caller) bool) int {
	n := 0
	for _, c := range all {
		if f(c) {
			n++
		}
	}
	return n
}

// Long prompts come at twice the rate that the engines can serve. Without a look at what is
// ahead, they wait until there is no time left, and are refused then; their callers
// have no time to come back. Fewer must not be served for it.
func TestNobodyIsHeldForWhatCannotBeHad(t *testing.T) {
	const objective = 6 * time.Second
	held := func(c *caller) bool { return c.waited > objective }
	served := func(c *caller) bool { return c.served }
	var heldBefore, heldNow, servedBefore, servedNow, total int
	for seed, rate := range []float64{8, 10, 12} {
		before, now := crowd(uint64(seed), rate, []int{0}), crowd(uint64(seed), rate, []int{0, 1})
		total += len(now)
		heldBefore, heldNow = heldBefore+count(before, held), heldNow+count(now, held)
		servedBefore, servedNow = servedBefore+count(before, served), servedNow+count(now, served)
	}
	t.Logf("of %d: held %d without and %d with admission, served %d and %d", total, heldBefore, heldNow, servedBefore, servedNow)
	assert.Assert(t, heldBefore*5 > total, "no overload")
	assert.Assert(t, heldNow*50 <= total, "%d of %d were held past their objective and refused", heldNow, total)
	assert.Assert(t, servedNow*100 >= servedBefore*97, "%d were served, %d without admission", servedNow, servedBefore)
}

// A load that the engines can serve is served without refusals.
func TestNobodyIsRefusedWithoutOverload(t *testing.T) {
	all := crowd(3, 1.5, []int{0, 1})
	refused := slices.IndexFunc(all, func(c *caller) bool { return c.tries > 1 || !c.served })
	assert.Equal(t, refused, -1)
}

// Requests of two priorities take one slot each, and their number exceeds the slots. The more
// urgent ones alone do not: none of them may be refused while less urgent ones are served.
func TestLessUrgentRequestsAreRefusedFirst(t *testing.T) {
	const (
		step     = 5 * time.Millisecond
		duration = time.Second
	)
	s := &simulation{fleet: newFleet(8)} // 16 slots: 16 requests a second
	service := &matcher.Service{Name: "s", Engine: engine, Priorities: []int{0, 1}}
	random := rand.New(rand.NewPCG(1, 1))
	var all [2][]*arrival
	for elapsed := time.Duration(0); elapsed < 15*time.Second; elapsed += step {
		s.advance(step, duration)
		for priority, rate := range []float64{7, 20} {
			if random.Float64() > rate*step.Seconds() {
				continue
			}
			a := &arrival{arrivedAt: s.now}
			a.out = s.submit(scheduler.Request{Service: service, Priority: priority, Requirements: placer.Request{
				Prompt: 5000, Output: 3400, MaxPause: 250, Arrived: s.now, Objective: s.now.Add(300 * time.Millisecond),
				CallerTimeout: s.now.Add(2 * time.Second), Deadline: s.now.Add(10 * time.Second),
			}})
			all[priority] = append(all[priority], a)
			s.pending = append(s.pending, a)
		}
	}
	var refused, held [2]int
	for priority := range all {
		for _, a := range all[priority] {
			if r := a.outcome.refusal; r != nil {
				refused[priority]++
				if _, longest := r.WaitTimes.Longest(); longest > 300*time.Millisecond {
					held[priority]++
				}
			}
		}
	}
	t.Logf("refused %v, held past the objective %v, of %d and %d", refused, held, len(all[0]), len(all[1]))
	assert.Assert(t, refused[1]*5 > len(all[1]), "no overload")
	assert.Assert(t, refused[0]*50 <= len(all[0]), "%d of %d urgent requests were refused", refused[0], len(all[0]))
	assert.Assert(t, held[1]*50 <= len(all[1]), "%d of %d were held and refused", held[1], len(all[1]))
}

// With admission and claims off, requests of different priorities wait as before.
func TestPolicySwitchesAdmissionAndClaims(t *testing.T) {
	for _, mode := range []switcher.Mode{switcher.Off, switcher.On} {
		f := newFullFleet(t)
		f.Scheduler = scheduler.New("", scheduler.Deps{
			Tracker: f.tracker, Now: func() time.Time { return f.now },
			ColdQuota: func(_ string, rate float64) int { return int(rate) }, RateQuota: func(limit float64) float64 { return limit },
			Policy: func() switcher.Policy { return switcher.Policy{Admission: mode, Claims: mode} },
		})
		f.adoptStreams("u0", 2)
		var outs []chan outcome
		for i := range 40 {
			r := f.request(1000, 10*time.Second)
			r.Service.ColdStartRate = 0
			r.Requirements.CallerTimeout, r.Fingerprint = f.now.Add(3*time.Second), uint64(1+i)
			outs = append(outs, f.submit(r))
		}
		f.now = f.now.Add(time.Second)
		f.Dispatch()
		refused, claims := 0, len(f.Claims())
		for _, out := range outs {
			refused += len(out)
		}
		assert.Equal(t, refused > 0, mode == switcher.On, "%d refused", refused)
		assert.Equal(t, claims > 0, mode == switcher.On, "%d claims", claims)
	}
}
