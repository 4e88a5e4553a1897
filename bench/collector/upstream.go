package collector

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/heathervane/heathervane/bench/planner"
)

// windows counts which upstreams the questions of each window went to.
func (c *collector) windows() []Window {
	var list []Window
	for _, w := range c.experiment.Windows {
		counts, sum := make(map[string]float64), 0.0
		for _, s := range c.record.Samples {
			if s.Kind != planner.Question || s.Upstream == "" ||
				s.At < time.Duration(w.From) || s.At >= time.Duration(w.Till) {
				continue
			}
			for _, name := range strings.Split(s.Upstream, ",") {
				counts[strings.TrimSpace(name)]++
				sum++
			}
		}
		for name := range counts {
			counts[name] /= sum
		}
		list = append(list, Window{Name: w.Name, Shares: counts})
	}
	return list
}

// bookings sets what the services counted against what callers were told.
func (c *collector) bookings(p *Part) {
	told := make(map[int]bool)
	for _, s := range c.record.Samples {
		if s.Kind != planner.Booking {
			continue
		}
		if _, ok := told[s.Key]; !ok {
			p.Bookings++
		}
		// A booking that was sent twice is untruly refused only where every
		// answer said that nothing ran: the other may have run it.
		no := s.Ran == "no"
		if was, ok := told[s.Key]; ok {
			no = no && was
		}
		told[s.Key] = no
	}
	for n, no := range told {
		effects := c.record.Effects[n]
		if effects > 1 {
			p.Doubled++
		}
		if no && effects > 0 {
			p.Untrue++
		}
	}
}

// cold compares what cold upstreams got with what they bear.
func (c *collector) cold(p *Part) {
	for name, peak := range c.record.Peaks {
		if peak.Bears == 0 {
			continue
		}
		p.Peak = max(p.Peak, float64(peak.Most())/float64(peak.Bears))
		if peak.Most() > peak.Bears || peak.Falls > 0 {
			p.Cold = append(p.Cold, Overload{Upstream: name, Peak: peak.Most(), Bears: peak.Bears, Falls: peak.Falls})
		}
	}
	slices.SortFunc(p.Cold, func(a, b Overload) int { return cmp.Compare(a.Upstream, b.Upstream) })
}

// settle is within how long a zone that was taken out must get no new work.
const settle = 3 * time.Second

// zones counts the work that engines of a zone began while it was out.
func (c *collector) zones(p *Part) {
	r := c.record
	for i, out := range r.Events {
		if out.What != planner.ZoneOut {
			continue
		}
		till := time.Now().Add(time.Hour)
		for _, in := range r.Events[i:] {
			if in.What == planner.ZoneIn && in.On == out.On {
				till = in.Start
				break
			}
		}
		for _, w := range r.Works {
			if r.Zones[w.Upstream] == out.On && w.Start.After(out.End.Add(settle)) && w.Start.Before(till) {
				p.Entered++
			}
		}
	}
}
