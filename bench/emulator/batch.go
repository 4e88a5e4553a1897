package emulator

import (
	"context"
	"image/color"
	"runtime"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// RunAll plays so many loads of each deployment, several at a time, and gives the
// sums of each deployment's loads.
func RunAll(ctx context.Context, ds []Deployment, seeds uint64) ([]Result, error) {
	each := make([][]Result, len(ds))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, runtime.NumCPU()/2))
	for i, d := range ds {
		each[i] = make([]Result, seeds)
		for seed := range seeds {
			group.Go(func() error {
				if ctx.Err() != nil {
					return errs.Wrap(ctx.Err())
				}
				each[i][seed] = Run(d, seed)
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var sums []Result
	for _, rs := range each {
		sums = append(sums, sum(rs))
	}
	return sums, nil
}

func sum(rs []Result) Result {
	out := Result{Deployment: rs[0].Deployment, Kinds: make([]Outcome, len(rs[0].Kinds))}
	for _, r := range rs {
		out.Worth += r.Worth / float64(len(rs))
		out.Bound += r.Bound / float64(len(rs))
		out.Datagrams += r.Datagrams / len(rs)
		out.Bytes += r.Bytes / len(rs)
		out.After += r.After
		out.AfterInTime += r.AfterInTime
		for i, o := range r.Kinds {
			k := &out.Kinds[i]
			k.Name = o.Name
			k.Asked += o.Asked
			k.InTime += o.InTime
			k.Late += o.Late
			k.Refused += o.Refused
			k.Lost += o.Lost
			k.Bound += o.Bound
			k.Earned += o.Earned
			k.Owed += o.Owed
		}
	}
	return out
}

// Plot draws what each deployment earned beside the bound.
func Plot(file string, rs []Result) error {
	const (
		width, height = vg.Length(680), vg.Length(312)
		bar           = vg.Length(12)
	)
	p := plot.New()
	p.Title.Text = "worth of the answers, and of those that a perfect engine would begin in time"
	p.Y.Label.Text = "part of what was asked"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	var names []string
	worth, bound := make(plotter.Values, 0, len(rs)), make(plotter.Values, 0, len(rs))
	for _, r := range rs {
		names = append(names, r.Deployment)
		worth, bound = append(worth, r.Worth), append(bound, r.Bound)
	}
	for i, one := range []struct {
		name   string
		values plotter.Values
		color  color.Color
	}{
		{"decisions", worth, color.RGBA{0x00, 0x45, 0x8b, 0xff}},
		{"bound", bound, color.RGBA{0xe6, 0x9f, 0x00, 0xff}},
	} {
		bars, err := plotter.NewBarChart(one.values, bar)
		if err != nil {
			return errs.Wrap(err)
		}
		bars.Color = one.color
		bars.Offset = vg.Length(2*i-1) * bar / 2
		p.Add(bars)
		p.Legend.Add(one.name, bars)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.6
	p.X.Tick.Label.XAlign = -1
	return errs.Wrap(p.Save(width, height, file))
}
