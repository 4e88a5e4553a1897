package emulator

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// usable is the part of the engines' reading power that the bound counts on: the
// rest is for writing.
const usable = 0.8

func result(d Deployment, all []*request) Result {
	out := Result{Deployment: d.Name}
	earned, owed, bound := 0.0, 0.0, 0.0
	for i := range d.Kinds {
		out.Kinds = append(out.Kinds, Outcome{Name: d.Kinds[i].Name})
	}
	begun := perfect(d, all)
	for _, r := range all {
		if d.restarted(r) {
			out.After++
			if r.inTime() {
				out.AfterInTime++
			}
		}
		o := &out.Kinds[slices.IndexFunc(out.Kinds, func(o Outcome) bool { return o.Name == r.kind.Name })]
		o.Asked++
		owed += r.weight()
		earned += r.earned()
		o.Owed += r.weight()
		o.Earned += r.earned()
		switch {
		case r.inTime():
			o.InTime++
		case r.refused:
			o.Refused++
		case r.ended && !r.gone:
			o.Late++
		default:
			o.Lost++
		}
		if begun[r] {
			o.Bound++
			bound += r.weight()
		}
	}
	if owed > 0 {
		out.Worth, out.Bound = earned/owed, bound/owed
	}
	return out
}

// restarted says that a request of the first kind came in the second after VMs had
// started again.
func (d *Deployment) restarted(r *request) bool {
	for _, f := range d.Faults {
		since := r.at - float64((f.At + f.For).Milliseconds())
		if f.Trouble == Restarts && r.kind == &d.Kinds[0] && since >= 0 && since < 1000 {
			return true
		}
	}
	return false
}

// perfect are the requests that one engine would begin in time that had the whole
// pool's reading power, earliest objective first, interrupted at will. No prompt
// is read faster than by the most engines that can help.
func perfect(d Deployment, all []*request) map[*request]bool {
	const step = 2.0
	begun := make(map[*request]bool)
	left := make(map[*request]float64)
	due := func(r *request) float64 { return r.at + float64(r.kind.Objective.Milliseconds()) - way }
	var active []*request
	next := 0
	for now := 0.0; next < len(all) || len(active) > 0; now += step {
		for ; next < len(all) && all[next].at <= now; next++ {
			active = append(active, all[next])
			left[all[next]] = d.work(float64(all[next].prompt))
		}
		engines := d.Engines
		if d.Lost > 0 && now >= float64(d.LostAt.Milliseconds()) {
			engines -= d.Lost
		}
		slices.SortStableFunc(active, func(a, b *request) int { return compare(due(a), due(b)) })
		room := usable * float64(engines) * step
		still := active[:0]
		for _, r := range active {
			use := min(room, left[r], step*maxParts)
			room -= use
			left[r] -= use
			switch {
			case left[r] <= 1e-9:
				begun[r] = true
			case now < due(r):
				still = append(still, r)
			}
		}
		active = still
	}
	return begun
}

// maxParts is the most engines that read one prompt.
const maxParts = 17

// Print writes a table of results.
func Print(w io.Writer, all []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "deployment\tworth\tbound\tkind\tasked\tin time\tbound\tlate\trefused\tlost\tdatagrams\tKB\t")
	for _, r := range all {
		for i, o := range r.Kinds {
			name, worth, bound, sent := "", "", "", "\t"
			if i == 0 {
				name, worth, bound = r.Deployment, fmt.Sprintf("%.3f", r.Worth), fmt.Sprintf("%.3f", r.Bound)
				sent = fmt.Sprintf("%d\t%d", r.Datagrams, r.Bytes>>10)
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n", name, worth, bound, o.Name, o.Asked, o.InTime, o.Bound, o.Late, o.Refused, o.Lost, sent)
		}
	}
	return t.Flush()
}
