package budgeter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/budgeter"
)

// Whenever requests arrive, they must not exceed the rate limit of the upstream,
// however long it got none before.
func TestRateLimiterKeepsTheRateInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.25, 50).Draw(t, "rate")
		r := budgeter.NewRateLimiter(start)
		now := start
		var sent []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if r.Available(now, rate) > 0 {
				r.Sent()
				sent = append(sent, now)
			}
		}
		const span = 4 * time.Second
		allowed := int(rate*span.Seconds()+max(1, rate/4)) + 1
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < span {
					n++
				}
			}
			if n > allowed {
				t.Fatalf("%d requests within %v at a rate of %v per second", n, span, rate)
			}
		}
	})
}

// An upstream with a rate limit of zero must still get an occasional request.
// Otherwise no VM would learn that it accepts requests again.
func TestUpstreamWithZeroRateGetsOccasionalRequests(t *testing.T) {
	r := budgeter.NewRateLimiter(start)
	n := 0
	for i := range 60 {
		if r.Available(start.Add(time.Duration(i)*time.Second), budgeter.EffectiveRate(0)) > 0 {
			r.Sent()
			n++
		}
	}
	if n < 10 || n > 16 {
		t.Fatalf("%d requests within a minute", n)
	}
}
