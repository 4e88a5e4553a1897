// Package driver plays an experiment's plan against a running fleet and records
// what every request got. Each request is sent when it is due, whatever became
// of those before it, and its times count from when it was due: a generator
// that waits for answers, or that forgives itself its late sends, would hide
// exactly the stalls that the experiment looks for.
package driver

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/bench/caller"
	"github.com/heathervane/heathervane/bench/planner"
	"github.com/heathervane/heathervane/bench/starter"
	"github.com/heathervane/heathervane/bench/verifier"
)

// A Verdict says what became of a request.
type Verdict string

// The verdicts.
const (
	// Whole is a whole answer that belongs to its request.
	Whole Verdict = "whole"
	// Refused is an answer that turns the request away.
	Refused Verdict = "refused"
	// Cut is a stream that ended early, said or unsaid.
	Cut Verdict = "cut"
	// Wrong is a text that is not the start of the request's own answer.
	Wrong Verdict = "wrong"
	// Lost is a request that got no answer, or a booking without a clear one.
	Lost Verdict = "lost"
)

// A Sample is one request and what it got. Times count from when it was due.
type Sample struct {
	planner.Arrival
	// Lag is how late it was sent.
	Lag time.Duration
	// Way is what the answer says about how it came about.
	caller.Way
	Verdict Verdict
	First   time.Duration
	End     time.Duration
	Gaps    []time.Duration
	// Note is the error's text, for the report.
	Note string
}

// A Record is all that one run gave.
type Record struct {
	// Start is the time that arrivals count from.
	Start   time.Time
	Samples []Sample
	// Works are the pieces of work that engines began, as they listed them.
	Works []Work
	// Peaks are what upstreams counted while cold, by upstream.
	Peaks map[string]starter.Peak
	// Effects is how often each booking took effect, by its number.
	Effects map[int]int
	// Events are what happened and when it really did.
	Events []Happened
	// Zones are the zones of VMs and upstreams.
	Zones map[string]string
}

// A Driver plays one plan.
type Driver struct {
	fleet    *starter.Fleet
	caller   *caller.Caller
	balancer *balancer
	observer *observer
	progress func(string)

	start time.Time
	keys  map[int]string

	mu     sync.Mutex
	record Record
}

// New returns a Driver for a running fleet; progress is called about once a
// second with a line for a person.
func New(f *starter.Fleet, c *caller.Caller, progress func(string)) *Driver {
	return &Driver{fleet: f, caller: c, progress: progress, keys: make(map[int]string)}
}

// prepare is how long before its time a request's body is built: a prompt of a
// million tokens takes milliseconds, which must not count as waiting.
const prepare = 300 * time.Millisecond

// Drive plays the arrivals and the events to the end of the last answer.
func (d *Driver) Drive(ctx context.Context, plan []planner.Arrival, events []planner.Event) (*Record, error) {
	if err := d.number(plan); err != nil {
		return nil, err
	}
	background, stop := context.WithCancel(ctx)
	defer stop()
	d.balancer = newBalancer(d.fleet.VMs)
	d.observer = newObserver(d.fleet.Engines)
	d.start = time.Now().Add(prepare)
	d.record.Start = d.start
	var watching sync.WaitGroup
	watching.Go(func() { d.balancer.run(background) })
	watching.Go(func() { d.observer.run(background) })
	watching.Go(func() { d.report(background, len(plan)) })
	var failed error
	var playing sync.WaitGroup
	playing.Go(func() { failed = d.play(ctx, events) })
	d.send(ctx, plan)
	playing.Wait()
	stop()
	watching.Wait()
	if err := errs.Combine(failed, errs.Wrap(ctx.Err())); err != nil {
		return nil, err
	}
	return &d.record, d.gather(ctx)
}

// number gives each booking its key before the start: drawing one takes time.
func (d *Driver) number(plan []planner.Arrival) error {
	for _, a := range plan {
		if a.Kind != planner.Booking || d.keys[a.Key] != "" {
			continue
		}
		id, err := uuid.NewV7()
		if err != nil {
			return errs.Wrap(err)
		}
		d.keys[a.Key] = id.String()
	}
	return nil
}

func (d *Driver) send(ctx context.Context, plan []planner.Arrival) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for _, a := range plan {
		if !sleep(ctx, d.start.Add(a.At-prepare)) {
			return
		}
		sending.Go(func() {
			s, ok := d.one(ctx, a)
			if !ok {
				return
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			d.record.Samples = append(d.record.Samples, s)
		})
	}
}

// sleep waits until a time; false where the context ends first.
func sleep(ctx context.Context, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// grace is how long after its limit a caller still listens: a request past its
// limit must show in the record as one, and not as a caller who left.
const grace = 10 * time.Second

// patience bounds a request that asks for no limit of its own.
const patience = 3 * time.Minute

func (d *Driver) one(ctx context.Context, a planner.Arrival) (Sample, bool) {
	most := patience
	if a.Limit > 0 {
		most = a.Limit + grace
	}
	ctx, cancel := context.WithDeadline(ctx, d.start.Add(a.At+most))
	defer cancel()
	if a.Kind == planner.Booking {
		return d.book(ctx, a)
	}
	return d.ask(ctx, a)
}

func (d *Driver) ask(ctx context.Context, a planner.Arrival) (Sample, bool) {
	size := d.fleet.Size
	prompt := verifier.Prompt(a.Title, a.Prompt*size.Bytes)
	body, err := caller.Encode(caller.Question{Model: size.Model, Prompt: prompt, Output: a.Output})
	due := d.start.Add(a.At)
	if err != nil || !sleep(ctx, due) {
		return Sample{}, false
	}
	s := Sample{Arrival: a, Lag: time.Since(due)}
	got := d.caller.Send(ctx, d.balancer.pick(a.VM), d.fleet.Tokens[a.Team], body, a.Limit)
	s.Way, s.Gaps = got.Way, got.Gaps
	s.First, s.End = got.First+s.Lag, got.End+s.Lag
	s.Verdict, s.Note = judge(prompt, a.Output, got)
	return s, true
}

func judge(prompt string, output int, a caller.Answer) (Verdict, string) {
	err := verifier.Check(prompt, output, a)
	switch {
	case err == nil:
		return Whole, ""
	case a.Status == 0:
		return Lost, err.Error()
	case a.Status != http.StatusOK:
		return Refused, err.Error()
	case !verifier.Begins(prompt, output, a):
		return Wrong, err.Error()
	default:
		return Cut, err.Error()
	}
}

func (d *Driver) book(ctx context.Context, a planner.Arrival) (Sample, bool) {
	due := d.start.Add(a.At)
	if !sleep(ctx, due) {
		return Sample{}, false
	}
	s := Sample{Arrival: a, Lag: time.Since(due)}
	got := d.caller.Call(ctx, d.balancer.pick(a.VM), d.fleet.Tokens[a.Team], caller.Call{
		Service: d.fleet.Size.Service, Method: http.MethodPost, Path: "/book",
		Body: fmt.Sprintf(`{"booking":%d}`, a.Key), Key: d.keys[a.Key], Limit: a.Limit,
	})
	s.Way, s.End = got.Way, got.End+s.Lag
	switch {
	case got.Status == http.StatusOK:
		s.Verdict = Whole
	case got.Err != nil:
		s.Verdict, s.Note = Lost, got.Err.Error()
	case got.Ran == "no":
		s.Verdict, s.Note = Refused, got.Code+": "+got.Text
	default:
		s.Verdict, s.Note = Lost, got.Code+": "+got.Text
	}
	return s, true
}

// report tells how far a long run is.
func (d *Driver) report(ctx context.Context, planned int) {
	ticks := time.NewTicker(time.Second)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		d.mu.Lock()
		counts := make(map[Verdict]int)
		for i := range d.record.Samples {
			counts[d.record.Samples[i].Verdict]++
		}
		done := len(d.record.Samples)
		d.mu.Unlock()
		d.progress(fmt.Sprintf("%4.0fs  %d of %d ended: %d whole, %d refused, %d cut, %d wrong, %d lost",
			time.Since(d.start).Seconds(), done, planned,
			counts[Whole], counts[Refused], counts[Cut], counts[Wrong], counts[Lost]))
	}
}

// gather collects at the end what the upstreams counted.
func (d *Driver) gather(ctx context.Context) error {
	d.record.Works = d.observer.works()
	d.record.Zones = make(map[string]string)
	d.record.Peaks = make(map[string]starter.Peak)
	d.record.Effects = make(map[int]int)
	for _, p := range d.fleet.VMs {
		d.record.Zones[p.Name] = d.fleet.Zone(p)
	}
	for _, p := range d.fleet.Upstreams() {
		d.record.Zones[p.Name] = d.fleet.Zone(p)
		if !p.Alive() {
			continue
		}
		peak, err := starter.PeakOf(ctx, p)
		if err != nil {
			return err
		}
		d.record.Peaks[p.Name] = peak
	}
	for _, p := range d.fleet.Services {
		effects, err := starter.Effects(ctx, p)
		if err != nil {
			return err
		}
		for n, key := range d.keys {
			d.record.Effects[n] += effects[key]
		}
	}
	return nil
}
