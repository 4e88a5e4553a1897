package provisioner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/provisioner"
)

// play lets requests of priority 0 begin at a rate for some time, each held for a time.
func play(p *provisioner.Provisioner, now time.Time, perSecond float64, held, span time.Duration) time.Time {
	random := rand.New(rand.NewPCG(3, 3))
	const step = 5 * time.Millisecond
	for end := now.Add(span); now.Before(end); now = now.Add(step) {
		if random.Float64() < perSecond*step.Seconds() {
			p.Began(now, 0)
			p.Ended(now, 0, held)
		}
	}
	return now
}

// What is kept must follow a burst within a second or two, and be given back as fast.
func TestKeptPlacesFollowTheArrivals(t *testing.T) {
	p := provisioner.New()
	now := time.Unix(1_000_000, 0)
	assert.Equal(t, p.Streams(now, 1, 0, time.Second), 0, "nothing is kept for requests that never came")
	now = play(p, now, 20, 2*time.Second, 10*time.Second)
	calm := p.Streams(now, 1, 0, time.Second)
	assert.Assert(t, calm >= 40 && calm <= 65, "%d", calm)
	now = play(p, now, 80, 2*time.Second, 3*time.Second)
	burst := p.Streams(now, 1, 0, time.Second)
	assert.Assert(t, burst >= 130 && burst <= 200, "%d", burst)
	assert.Equal(t, p.Streams(now, 1, 7, time.Second), burst+7)
	assert.Equal(t, p.Streams(now, 0, 0, time.Second), 0, "nothing is more urgent than the most urgent")
	assert.Assert(t, p.Streams(now.Add(4*time.Second), 1, 0, time.Second) < burst/3)
	assert.Equal(t, p.Streams(now.Add(time.Minute), 1, 0, time.Second), 0)
}

func TestUsualTimeCountsUntilARequestHasEnded(t *testing.T) {
	p := provisioner.New()
	now := time.Unix(1_000_000, 0)
	for range 20 {
		p.Began(now, 0)
	}
	short, long := p.Streams(now, 1, 0, time.Second), p.Streams(now, 1, 0, 4*time.Second)
	assert.Assert(t, short >= 10 && short < long, "%d, %d", short, long)
}

// However requests begin and end, less urgent ones see no more than is kept from more
// urgent ones, and nothing is negative.
func TestKeptPlacesGrowWithPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := provisioner.New()
		now := time.Unix(1_000_000, 0)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-10, 2000).Draw(t, "elapsed")) * time.Millisecond)
			priority := rapid.IntRange(0, 4).Draw(t, "priority")
			if rapid.Bool().Draw(t, "begins") {
				p.Began(now, priority)
			} else {
				p.Ended(now, priority, time.Duration(rapid.IntRange(0, 9000).Draw(t, "held"))*time.Millisecond)
			}
			last := 0
			for priority := range 6 {
				n := p.Streams(now, priority, 0, time.Second)
				if n < last {
					t.Fatalf("%d places kept from priority %d, %d from the one before", n, priority, last)
				}
				last = n
			}
		}
	})
}
