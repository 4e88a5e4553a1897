// Package forecaster foresees what comes in the next seconds from what came before. It
// answers load that repeats: bursts at regular intervals, and waves, which are otherwise
// met only when they stand in the queue.
//
// A forecast is what came one period ago. The package says nothing unless its forecasts
// of the last seconds, each made before the time that it is about, were clearly closer
// than the mean: not for arrivals without a pattern, and no longer once a pattern breaks.
//
// It reads no clock and knows neither engines nor requests, only amounts and times.
package forecaster

import "time"

const (
	// binLength is the resolution in time. Shorter bins hold too few arrivals to tell a
	// burst from chance.
	binLength = 500 * time.Millisecond
	// historyBins is how many bins are kept: two of the longest periods.
	historyBins = 128
	// minPeriodBins and maxPeriodBins bound the periods that are looked for.
	minPeriodBins, maxPeriodBins = 4, historyBins / 2
	// minOverlap is the fewest bins that are compared with those a period before.
	minOverlap = 16
	// minCorrelation is the correlation with what came a period ago from which a period
	// is tried.
	minCorrelation = 0.4
	// maxErrorRatio is the largest squared error of forecasts, relative to that of the
	// mean, at which they are used. Forecasts of arrivals without a pattern have twice
	// the error of the mean.
	maxErrorRatio = 0.6
	// errorDecay is how much earlier errors weigh less with each bin; forecasts of some
	// seconds count.
	errorDecay = 0.9
	// minForecasts is how many forecasts must have been compared with what came.
	minForecasts = 8
)

// A Forecast is what comes within a time.
type Forecast struct {
	// Amount is expected, Usual what comes in as much time on average.
	Amount, Usual float64
	// Period is the time after which the arrivals repeat.
	Period time.Duration
	// ErrorRatio is the squared error of the last forecasts relative to that of the
	// mean.
	ErrorRatio float64
}

// Rise returns by how much the expected amount exceeds the usual one.
func (f Forecast) Rise() float64 { return max(0, f.Amount-f.Usual) }

// A Forecaster observes the arrivals of one kind. Its zero value has observed none.
type Forecaster struct {
	// bins are the complete bins, the oldest first; current is the sum since the last
	// one ended, and begun its beginning.
	bins    []float64
	current float64
	begun   time.Time
	// period is in bins; 0 while none is known.
	period int
	// compared counts the forecasts whose errors are in forecastError and meanError.
	compared                 int
	forecastError, meanError float64
}

// Observe records an arrival.
func (f *Forecaster) Observe(now time.Time, amount float64) {
	f.advance(now)
	f.current += amount
}

// Forecast returns what is expected to come within the time ahead, and false if nothing
// can be foreseen.
func (f *Forecaster) Forecast(now time.Time, ahead time.Duration) (Forecast, bool) {
	f.advance(now)
	if f.period == 0 || f.compared < minForecasts || f.meanError <= 0 || f.forecastError > maxErrorRatio*f.meanError {
		return Forecast{}, false
	}
	out := Forecast{
		Usual: mean(f.bins) * float64(ahead) / float64(binLength), Period: time.Duration(f.period) * binLength,
		ErrorRatio: f.forecastError / f.meanError,
	}
	from := float64(now.Sub(f.begun)) / float64(binLength)
	till := from + float64(ahead)/float64(binLength)
	for i := int(from); float64(i) < till; i++ {
		out.Amount += f.predict(i) * (min(till, float64(i+1)) - max(from, float64(i)))
	}
	return out, true
}

// advance completes the bins that have ended.
func (f *Forecaster) advance(now time.Time) {
	if f.begun.IsZero() || now.Sub(f.begun) > historyBins*binLength {
		*f = Forecaster{begun: now}
		return
	}
	for now.Sub(f.begun) >= binLength {
		f.complete()
		f.begun = f.begun.Add(binLength)
	}
}

// complete ends the current bin: it compares it with its forecast and looks for the
// period anew.
func (f *Forecaster) complete() {
	x := f.current
	f.current = 0
	if f.period > 0 {
		p, m := f.predict(0)-x, mean(f.bins)-x
		f.forecastError = errorDecay*f.forecastError + p*p
		f.meanError = errorDecay*f.meanError + m*m
		f.compared++
	}
	if len(f.bins) == historyBins {
		copy(f.bins, f.bins[1:])
		f.bins[historyBins-1] = x
	} else {
		f.bins = append(f.bins, x)
	}
	period := findPeriod(f.bins)
	if period == 0 {
		f.compared, f.forecastError, f.meanError = 0, 0, 0
	}
	f.period = period
}

// predict returns the amount expected in a bin, counted from the current one.
func (f *Forecaster) predict(ahead int) float64 {
	i := len(f.bins) + ahead
	for i >= len(f.bins) {
		i -= f.period
	}
	if i < 0 {
		return 0
	}
	return f.bins[i]
}

// findPeriod returns the period with the highest correlation, in bins; 0 if there is
// none.
func findPeriod(bins []float64) int {
	m := mean(bins)
	best, highest := 0, minCorrelation
	for lag := minPeriodBins; lag <= maxPeriodBins && len(bins)-lag >= max(minOverlap, lag/2); lag++ {
		product, before, after := 0.0, 0.0, 0.0
		for i := lag; i < len(bins); i++ {
			x, y := bins[i-lag]-m, bins[i]-m
			product += x * y
			before += x * x
			after += y * y
		}
		if larger := max(before, after); larger > 0 && product/larger > highest {
			best, highest = lag, product/larger
		}
	}
	return best
}

func mean(bins []float64) float64 {
	if len(bins) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range bins {
		sum += x
	}
	return sum / float64(len(bins))
}
