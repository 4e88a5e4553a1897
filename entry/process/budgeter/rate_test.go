package budgeter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/budgeter"
)

// Requests that come at any times must not exceed what the upstream takes, however
// long it had none before.
func TestRateIsKeptInAnySpan(t *testing.T) {
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
				t.Fatalf("%d in %v at %v a second", n, span, rate)
			}
		}
	})
}

// An upstream that takes nothing must be asked now and then: nobody else would hear
// that it takes requests again.
func TestUpstreamThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	r := budgeter.NewRateLimiter(start)
	n := 0
	for i := range 60 {
		if r.Available(start.Add(time.Duration(i)*time.Second), budgeter.EffectiveRate(0)) > 0 {
			r.Sent()
			n++
		}
	}
	if n < 10 || n > 16 {
		t.Fatalf("%d in a minute", n)
	}
}
