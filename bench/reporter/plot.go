package reporter

import (
	"image/color"
	"path/filepath"
	"slices"
	"time"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/heathervane/heathervane/bench/collector"
	"github.com/heathervane/heathervane/bench/planner"
	"github.com/heathervane/heathervane/bench/runner"
)

// Size of a plot in points.
const (
	width  = vg.Length(510)
	height = vg.Length(312)
)

// palette has one colour for each policy, told apart by people who cannot tell
// red from green as well.
var palette = []color.Color{
	color.RGBA{0x00, 0x45, 0x8b, 0xff},
	color.RGBA{0xe6, 0x9f, 0x00, 0xff},
	color.RGBA{0x00, 0x9e, 0x73, 0xff},
	color.RGBA{0xcc, 0x79, 0xa7, 0xff},
	color.RGBA{0x55, 0x55, 0x55, 0xff},
}

// plotFirsts draws, for each load, how many requests had their first token
// within which time.
func plotFirsts(folder string, e planner.Experiment, outcomes []runner.Outcome) error {
	for _, load := range questions(e) {
		p := plot.New()
		p.Title.Text = e.Name + ": first token of " + load
		p.X.Label.Text = "ms since due (logarithmic)"
		p.Y.Label.Text = "part of whole answers"
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		p.Legend.Top, p.Legend.Left = true, true
		drawn := false
		for i, o := range outcomes {
			times := collector.Firsts(o.Record, load, "", time.Duration(e.Skip))
			if len(times) < 2 {
				continue
			}
			drawn = true
			if err := line(p, i, o.Result.Policy, distribution(times)); err != nil {
				return err
			}
		}
		if !drawn {
			continue
		}
		if err := p.Save(width, height, filepath.Join(folder, "first-"+load+".svg")); err != nil {
			return errs.Wrap(err)
		}
	}
	return nil
}

func distribution(times []time.Duration) plotter.XYs {
	times = slices.Sorted(slices.Values(times))
	points := make(plotter.XYs, 0, len(times))
	for i, t := range times {
		ms := max(float64(t.Microseconds())/1000, 0.1)
		points = append(points, plotter.XY{X: ms, Y: float64(i+1) / float64(len(times))})
	}
	return points
}

func line(p *plot.Plot, i int, name string, points plotter.XYs) error {
	l, err := plotter.NewLine(points)
	if err != nil {
		return errs.Wrap(err)
	}
	l.Color = palette[i%len(palette)]
	l.Width = vg.Points(1.5)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// plotSeries draws each load's first tokens through time.
func plotSeries(folder string, e planner.Experiment, results []collector.Result) error {
	for _, load := range questions(e) {
		p := plot.New()
		p.Title.Text = e.Name + ": 95th percentile of first token of " + load
		p.X.Label.Text = "s"
		p.Y.Label.Text = "ms"
		p.Legend.Top = true
		for i, r := range results {
			for _, s := range r.Full.Series {
				if s.Load != load {
					continue
				}
				points := make(plotter.XYs, 0, len(s.P95))
				for n, v := range s.P95 {
					points = append(points, plotter.XY{X: float64(n), Y: v})
				}
				if err := line(p, i, r.Policy, points); err != nil {
					return err
				}
			}
		}
		if err := p.Save(width, height, filepath.Join(folder, "series-"+load+".svg")); err != nil {
			return errs.Wrap(err)
		}
	}
	return nil
}
