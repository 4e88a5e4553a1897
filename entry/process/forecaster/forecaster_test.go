package forecaster_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/forecaster"
)

const step = 50 * time.Millisecond

// A load draws how much comes within a step at a time.
type load func(at time.Duration, rng *rand.Rand) float64

// poisson draws a number of arrivals with the given mean.
func poisson(rng *rand.Rand, mean float64) (n float64) {
	for left := rng.ExpFloat64(); left < mean; left += rng.ExpFloat64() {
		n++
	}
	return n
}

// bursts are arrivals with a burst of a second's length at the end of each period.
func bursts(period time.Duration) load {
	return func(at time.Duration, rng *rand.Rand) float64 {
		rate := 10.0
		if at%period >= period-time.Second {
			rate = 80
		}
		return poisson(rng, rate*step.Seconds())
	}
}

func steady(_ time.Duration, rng *rand.Rand) float64 { return poisson(rng, 20*step.Seconds()) }

// play observes a load from one time to another and calls see after each step.
func play(f *forecaster.Forecaster, l load, from, till time.Duration, rng *rand.Rand, see func(at time.Duration, fc forecaster.Forecast, ok bool)) {
	for at := from; at < till; at += step {
		now := time.Unix(1000, 0).Add(at)
		f.Observe(now, l(at, rng))
		fc, ok := f.Forecast(now, time.Second)
		see(at, fc, ok)
	}
}

// A burst comes every ten seconds. It must be foreseen a second ahead, and no burst
// between two.
func TestBurstsAreForeseen(t *testing.T) {
	for seed := range uint64(20) {
		var f forecaster.Forecaster
		said, before, between := 0, 0, 0
		play(&f, bursts(10*time.Second), 0, 90*time.Second, rand.New(rand.NewPCG(seed, 0)), func(at time.Duration, fc forecaster.Forecast, ok bool) {
			if at < 45*time.Second {
				return
			}
			if at%(10*time.Second) == 9*time.Second {
				if ok {
					said++
				}
				if fc.Rise() > 30 {
					before++
				}
			}
			if at%(10*time.Second) == 4*time.Second && fc.Rise() > 30 {
				between++
			}
		})
		assert.Assert(t, before >= 4 && between == 0, "seed %d: %d of 5 bursts foreseen (%d forecasts), %d wrong", seed, before, said, between)
	}
}

// Nothing can be foreseen of arrivals without a pattern.
func TestNothingIsForeseenWithoutAPattern(t *testing.T) {
	said, steps := 0, 0
	for seed := range uint64(20) {
		var f forecaster.Forecaster
		play(&f, steady, 0, 120*time.Second, rand.New(rand.NewPCG(seed, 0)), func(_ time.Duration, _ forecaster.Forecast, ok bool) {
			steps++
			if ok {
				said++
			}
		})
	}
	t.Logf("%d forecasts in %d steps", said, steps)
	assert.Assert(t, said*50 <= steps)
}

// The bursts stop, or come at another time. The forecasts must end with the first burst
// that does not come.
func TestForecastsEndWhenThePatternBreaks(t *testing.T) {
	for seed := range uint64(20) {
		var f forecaster.Forecaster
		rng := rand.New(rand.NewPCG(seed, 0))
		foreseen, wrong := false, 0
		play(&f, bursts(10*time.Second), 0, 60*time.Second, rng, func(at time.Duration, fc forecaster.Forecast, ok bool) {
			foreseen = foreseen || (ok && at >= 55*time.Second && fc.Rise() > 30)
		})
		assert.Assert(t, foreseen, "seed %d", seed)
		play(&f, steady, 60*time.Second, 120*time.Second, rng, func(at time.Duration, fc forecaster.Forecast, ok bool) {
			if ok && at >= 71*time.Second && fc.Rise() > 30 {
				wrong++
			}
		})
		assert.Equal(t, wrong, 0, "seed %d", seed)
	}
}

// After a gap, the process was paused, the bins are not those of the last minute.
func TestNothingIsForeseenAfterALongPause(t *testing.T) {
	var f forecaster.Forecaster
	rng := rand.New(rand.NewPCG(1, 0))
	play(&f, bursts(10*time.Second), 0, 60*time.Second, rng, func(time.Duration, forecaster.Forecast, bool) {})
	_, ok := f.Forecast(time.Unix(1000, 0).Add(5*time.Minute), time.Second)
	assert.Assert(t, !ok)
}
