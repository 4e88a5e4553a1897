package reporter

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/heathervane/heathervane/bench/collector"
)

// Write sets results side by side as plain text, one column for each. The
// results must be of one experiment; a group that one of them lacks stays
// empty.
func Write(w io.Writer, results []collector.Result) error {
	if len(results) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	r := results[0]
	fmt.Fprintf(w, "%s: %s\nfleet %s, seed %d, %.0f s of arrivals; times in ms from when a request was due\n\n",
		r.Name, r.Text, r.Fleet, r.Seed, r.Time)
	row(t, "", results, func(r collector.Result) string { return r.Policy })
	row(t, "sent late p99", results, func(r collector.Result) string { return number(r.Lag.P99) })
	totals(t, results)
	for _, k := range keysOf(results) {
		groupRows(t, k, results)
	}
	refusals(t, results)
	counts(t, results)
	shares(t, results)
	return t.Flush()
}

func row(w io.Writer, name string, results []collector.Result, cell func(collector.Result) string) {
	cells := make([]string, 0, len(results))
	filled := false
	for _, r := range results {
		c := cell(r)
		filled = filled || c != ""
		cells = append(cells, c)
	}
	if filled {
		fmt.Fprintf(w, "%s\t%s\t\n", name, strings.Join(cells, "\t"))
	}
}

func number(v float64) string {
	if v == 0 {
		return "0"
	}
	if v < 100 {
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.0f", v)
}

func count(n int) string { return fmt.Sprint(n) }

func totals(w io.Writer, results []collector.Result) {
	lines := []struct {
		name string
		of   func(collector.Totals) string
	}{
		{"sent", func(t collector.Totals) string { return count(t.Sent) }},
		{"whole", func(t collector.Totals) string { return count(t.Whole) }},
		{"refused", func(t collector.Totals) string { return count(t.Refused) }},
		{"cut", func(t collector.Totals) string { return count(t.Cut) }},
		{"wrong", func(t collector.Totals) string { return count(t.Wrong) }},
		{"lost", func(t collector.Totals) string { return count(t.Lost) }},
		{"past limit", func(t collector.Totals) string { return count(t.Late) }},
		{"goodput tokens/s", func(t collector.Totals) string { return fmt.Sprintf("%.0f", t.Goodput) }},
	}
	for _, l := range lines {
		row(w, l.name, results, func(r collector.Result) string { return l.of(r.Full.Totals) })
	}
	row(w, "goodput of reference", results, func(r collector.Result) string {
		if r.Reference == nil || r.Reference.Totals.Goodput == 0 {
			return ""
		}
		return fmt.Sprintf("%.2f", r.Full.Totals.Goodput/r.Reference.Totals.Goodput)
	})
}

type groupKey struct{ load, window, band string }

func (k groupKey) String() string {
	return strings.Join(slices.DeleteFunc([]string{k.load, k.window, k.band}, func(s string) bool { return s == "" }), " ")
}

func keyOf(g collector.Group) groupKey { return groupKey{g.Load, g.Window, g.Band} }

func keysOf(results []collector.Result) []groupKey {
	seen := make(map[groupKey]bool)
	for _, r := range results {
		for _, g := range r.Full.Groups {
			seen[keyOf(g)] = true
		}
	}
	return slices.SortedFunc(maps.Keys(seen), func(a, b groupKey) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.window, b.window), cmp.Compare(a.band, b.band))
	})
}

func find(p *collector.Part, k groupKey) *collector.Group {
	if p == nil {
		return nil
	}
	for i := range p.Groups {
		if keyOf(p.Groups[i]) == k {
			return &p.Groups[i]
		}
	}
	return nil
}

func groupRows(w io.Writer, k groupKey, results []collector.Result) {
	cell := func(of func(g *collector.Group) string) func(collector.Result) string {
		return func(r collector.Result) string {
			g := find(&r.Full, k)
			if g == nil {
				return ""
			}
			return of(g)
		}
	}
	first := func(g *collector.Group) string {
		if g.First.Count == 0 {
			return ""
		}
		return number(g.First.P50) + " / " + number(g.First.P95)
	}
	row(w, k.String()+" whole/sent", results, cell(func(g *collector.Group) string {
		return fmt.Sprintf("%d/%d", g.Totals.Whole, g.Totals.Sent)
	}))
	row(w, k.String()+" first p50 / p95", results, cell(first))
	if k.window == "" {
		row(w, k.String()+" gap p50 / p95", results, cell(func(g *collector.Group) string {
			if g.Gap.Count == 0 {
				return ""
			}
			return number(g.Gap.P50) + " / " + number(g.Gap.P95)
		}))
	}
	row(w, k.String()+" first p95 of reference", results, func(r collector.Result) string {
		g, alone := find(&r.Full, k), find(r.Reference, k)
		if g == nil || alone == nil || g.First.Count == 0 || alone.First.P95 == 0 {
			return ""
		}
		return fmt.Sprintf("%.2f", g.First.P95/alone.First.P95)
	})
}

func refusals(w io.Writer, results []collector.Result) {
	codes := make(map[string]bool)
	for _, r := range results {
		for code := range r.Full.Refusals.Codes {
			codes[code] = true
		}
	}
	for _, code := range slices.Sorted(maps.Keys(codes)) {
		row(w, "refused: "+code, results, func(r collector.Result) string { return count(r.Full.Refusals.Codes[code]) })
	}
	away := func(of func(collector.Refusals) string) func(collector.Result) string {
		return func(r collector.Result) string {
			if r.Full.Refusals.End.Count == 0 {
				return ""
			}
			return of(r.Full.Refusals)
		}
	}
	row(w, "turned away in, p50 / p99", results, away(func(r collector.Refusals) string {
		return number(r.Answer.P50) + " / " + number(r.Answer.P99)
	}))
	row(w, "turned away with Retry-After", results, away(func(r collector.Refusals) string {
		return fmt.Sprintf("%.2f", r.Hinted)
	}))
}

func counts(w io.Writer, results []collector.Result) {
	row(w, "highest cold peak / bears", results, func(r collector.Result) string { return fmt.Sprintf("%.2f", r.Full.Peak) })
	row(w, "upstreams fallen or above", results, func(r collector.Result) string { return count(len(r.Full.Cold)) })
	row(w, "new work in a zone that was out", results, func(r collector.Result) string { return count(r.Full.Entered) })
	row(w, "bookings", results, func(r collector.Result) string { return count(r.Full.Bookings) })
	row(w, "bookings run twice", results, func(r collector.Result) string { return count(r.Full.Doubled) })
	row(w, "bookings untruly not run", results, func(r collector.Result) string { return count(r.Full.Untrue) })
}

// shares shows, for each upstream that an event names, its part of the
// questions in each window.
func shares(w io.Writer, results []collector.Result) {
	named := make(map[string]bool)
	for _, r := range results {
		for _, e := range r.Full.Events {
			named[e.On] = true
		}
	}
	for i := range fewest(results) {
		for _, name := range slices.Sorted(maps.Keys(named)) {
			label := fmt.Sprintf("share of %s in %s", name, results[0].Full.Windows[i].Name)
			row(w, label, results, func(r collector.Result) string {
				share, ok := r.Full.Windows[i].Shares[name]
				if !ok {
					return ""
				}
				return fmt.Sprintf("%.3f", share)
			})
		}
	}
}

// fewest is how many windows all results have.
func fewest(results []collector.Result) int {
	n := len(results[0].Full.Windows)
	for _, r := range results {
		n = min(n, len(r.Full.Windows))
	}
	return n
}
