package driver

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/bench/planner"
	"github.com/heathervane/heathervane/bench/starter"
)

// A Happened is an event that was carried out.
type Happened struct {
	planner.Event
	// Start and End are when it was begun and done.
	Start, End time.Time
}

// play carries the events out, each at its time.
func (d *Driver) play(ctx context.Context, events []planner.Event) error {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b planner.Event) int { return cmp.Compare(a.At, b.At) })
	for _, e := range events {
		if !sleep(ctx, d.start.Add(time.Duration(e.At))) {
			return nil
		}
		h := Happened{Event: e, Start: time.Now()}
		if err := d.carry(ctx, e); err != nil {
			return errs.New("event %s on %s: %v", e.What, e.On, err)
		}
		h.End = time.Now()
		d.mu.Lock()
		d.record.Events = append(d.record.Events, h)
		d.mu.Unlock()
	}
	return nil
}

func (d *Driver) carry(ctx context.Context, e planner.Event) error {
	if e.What == planner.ZoneOut || e.What == planner.ZoneIn {
		return d.zone(ctx, e)
	}
	p, err := d.fleet.Find(e.On)
	if err != nil {
		return err
	}
	switch e.What {
	case planner.Kill:
		return p.Kill()
	case planner.Freeze:
		return p.Freeze()
	case planner.Wake:
		return p.Wake()
	case planner.Stop:
		return p.Stop()
	case planner.Restart:
		return d.fleet.Restart(ctx, p)
	default:
		return starter.SetFaults(ctx, p, faultsOf(e))
	}
}

// faultsOf are the faults that an event sets; Mend sets none.
func faultsOf(e planner.Event) starter.Faults {
	faults := starter.Faults{Cold: e.What == planner.Cold, Down: e.What == planner.Down}
	if e.What == planner.Slower {
		faults.Slower = e.By
	}
	return faults
}

// zone takes a zone out or in as an operator does.
func (d *Driver) zone(ctx context.Context, e planner.Event) error {
	out, code, err := d.fleet.Operate(ctx, "zone", e.What, e.On)
	if err == nil && code != 0 {
		err = errs.New("exit code %d: %s", code, out)
	}
	return err
}
