package collector

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/heathervane/heathervane/bench/driver"
	"github.com/heathervane/heathervane/bench/planner"
)

// Histograms count microseconds up to ten minutes with three digits.
const (
	finest   = 1
	coarsest = int64(10 * time.Minute / time.Microsecond)
	digits   = 3
)

// Histogram counts times in microseconds.
func Histogram(times []time.Duration) *hdrhistogram.Histogram {
	h := hdrhistogram.New(finest, coarsest, digits)
	for _, t := range times {
		_ = h.RecordValue(min(max(t.Microseconds(), finest), coarsest))
	}
	return h
}

func timesOf(times []time.Duration) Times {
	if len(times) == 0 {
		return Times{}
	}
	h := Histogram(times)
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Times{Count: len(times), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// A Band is a span of prompt lengths in tokens.
type Band struct {
	Name string
	Most int
}

// Bands are the spans of prompt lengths that are told apart.
func Bands() []Band {
	return []Band{{"to4k", 4_000}, {"to32k", 32_000}, {"to100k", 100_000}, {"over100k", 1 << 40}}
}

func bandOf(a planner.Arrival) string {
	if a.Kind != planner.Question {
		return ""
	}
	for _, b := range Bands() {
		if a.Prompt <= b.Most {
			return b.Name
		}
	}
	return ""
}

// Collect gives the measures of one play of an experiment.
func Collect(e planner.Experiment, r *driver.Record) Part {
	c := &collector{experiment: e, record: r, groups: make(map[key]*Group), times: make(map[key]*times)}
	for i := range r.Samples {
		s := &r.Samples[i]
		if s.At >= time.Duration(e.Skip) {
			c.add(s)
		}
	}
	part := Part{
		Totals: c.totals, Groups: c.list(), Refusals: c.refusals(), Windows: c.windows(), Series: c.series(),
	}
	c.bookings(&part)
	c.cold(&part)
	c.zones(&part)
	for _, h := range r.Events {
		part.Events = append(part.Events, Event{
			What: h.What, On: h.On, At: h.Start.Sub(r.Start).Seconds(), Took: h.End.Sub(h.Start).Seconds(),
		})
	}
	part.Totals.rate(c.span())
	return part
}

// key tells groups apart.
type key struct{ load, window, band string }

type times struct{ first, gap, end []time.Duration }

type collector struct {
	experiment planner.Experiment
	record     *driver.Record
	totals     Totals
	groups     map[key]*Group
	times      map[key]*times
	order      []key
	away, sent []time.Duration
	codes      map[string]int
	hinted     int
}

func (c *collector) span() time.Duration {
	return c.experiment.Span() - time.Duration(c.experiment.Skip)
}

func (c *collector) add(s *driver.Sample) {
	c.totals.add(s)
	windows := []string{""}
	for _, w := range c.experiment.Windows {
		if s.At >= time.Duration(w.From) && s.At < time.Duration(w.Till) {
			windows = append(windows, w.Name)
		}
	}
	bands := []string{""}
	if b := bandOf(s.Arrival); b != "" {
		bands = append(bands, b)
	}
	for _, w := range windows {
		for _, b := range bands {
			c.group(key{s.Load, w, b}, s)
		}
	}
	c.refuse(s)
}

func (c *collector) group(k key, s *driver.Sample) {
	g, t := c.groups[k], c.times[k]
	if g == nil {
		g, t = &Group{Load: k.load, Window: k.window, Band: k.band}, &times{}
		c.groups[k], c.times[k] = g, t
		c.order = append(c.order, k)
	}
	g.Totals.add(s)
	t.end = append(t.end, s.End)
	if s.Verdict == driver.Whole && s.Kind == planner.Question {
		t.first = append(t.first, s.First)
		t.gap = append(t.gap, s.Gaps...)
	}
}

// late allows for the way back to the caller and the generator's own delay.
const late = 250 * time.Millisecond

func (t *Totals) add(s *driver.Sample) {
	t.Sent++
	switch s.Verdict {
	case driver.Whole:
		t.Whole++
	case driver.Refused:
		t.Refused++
	case driver.Cut:
		t.Cut++
	case driver.Wrong:
		t.Wrong++
	case driver.Lost:
		t.Lost++
	}
	past := s.Limit > 0 && s.End > s.Limit+late
	if past {
		t.Late++
	}
	if s.Verdict == driver.Whole && !past {
		t.Goodput += float64(s.Prompt + s.Output)
	}
}

// rate turns the sum of tokens into tokens a second.
func (t *Totals) rate(span time.Duration) { t.Goodput /= span.Seconds() }

func (c *collector) refuse(s *driver.Sample) {
	if s.Verdict != driver.Refused {
		return
	}
	if c.codes == nil {
		c.codes = make(map[string]int)
	}
	c.codes[s.Code]++
	if s.Status != http.StatusTooManyRequests && s.Status != http.StatusServiceUnavailable {
		return
	}
	c.away = append(c.away, s.End)
	c.sent = append(c.sent, s.End-s.Lag)
	if s.Retry > 0 {
		c.hinted++
	}
}

func (c *collector) refusals() Refusals {
	r := Refusals{Codes: c.codes, End: timesOf(c.away), Answer: timesOf(c.sent)}
	if len(c.away) > 0 {
		r.Hinted = float64(c.hinted) / float64(len(c.away))
	}
	return r
}

// list gives the groups in the order in which they came up.
func (c *collector) list() []Group {
	var list []Group
	for _, k := range c.order {
		g, t := c.groups[k], c.times[k]
		g.First, g.Gap, g.End = timesOf(t.first), timesOf(t.gap), timesOf(t.end)
		g.Totals.rate(c.spanOf(k.window))
		list = append(list, *g)
	}
	return list
}

func (c *collector) spanOf(window string) time.Duration {
	for _, w := range c.experiment.Windows {
		if w.Name == window {
			return time.Duration(w.Till - w.From)
		}
	}
	return c.span()
}

// series gives each load's first tokens second by second.
func (c *collector) series() []Series {
	seconds := int(c.experiment.Span().Seconds()) + 1
	var list []Series
	for _, l := range c.experiment.Loads {
		if l.Kind != planner.Question {
			continue
		}
		buckets := make([][]time.Duration, seconds)
		for _, s := range c.record.Samples {
			if s.Load == l.Name && s.Verdict == driver.Whole {
				n := min(int(s.At.Seconds()), seconds-1)
				buckets[n] = append(buckets[n], s.First)
			}
		}
		series := Series{Load: l.Name}
		for _, b := range buckets {
			series.P95 = append(series.P95, timesOf(b).P95)
		}
		list = append(list, series)
	}
	return list
}

// Firsts are the first-token times of a load's whole answers; an empty band
// takes all.
func Firsts(r *driver.Record, load, band string, skip time.Duration) []time.Duration {
	var list []time.Duration
	for _, s := range r.Samples {
		in := s.Load == load && s.At >= skip && (band == "" || bandOf(s.Arrival) == band)
		if in && s.Verdict == driver.Whole {
			list = append(list, s.First)
		}
	}
	return list
}

// Lag is how late the requests were sent.
func Lag(r *driver.Record) Times {
	list := make([]time.Duration, 0, len(r.Samples))
	for _, s := range r.Samples {
		list = append(list, s.Lag)
	}
	return timesOf(list)
}
