package coordinator

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/heathervane/heathervane/entry/process/lender"
	"github.com/heathervane/heathervane/library/recorder"
)

const (
	// mostClaims is how many records one read of the claims asks for.
	mostClaims = 512
	// quarters is how many reads of the log's end are made in a lease.
	quarters = 4
	// rest is the pause after a failed read or between two ticks that were
	// asked for.
	rest = 100 * time.Millisecond
	calm = 5 * time.Millisecond
)

type counters struct {
	taken, empty, turned, claims, failed, woke, messages metrics.Counter
	held                                                 metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return counters{
		taken: counter("slots.taken"), empty: counter("slots.empty"), turned: counter("upstreams.turned"),
		claims: counter("claims.appended"), failed: counter("claims.failed"), woke: counter("process.woke"),
		messages: counter("links.messages"), held: metrics.GetOrRegisterGauge("upstreams.held", r),
	}
}

// Run works until the context ends, and returns once all has stopped.
func (o *Coordinator) Run(ctx context.Context) error {
	stops := []func(){
		o.d.Ticker.Subscribe(o.c.Timings.Step, func(time.Time) { o.urge() }),
		o.d.Ticker.Subscribe(o.c.Timings.Poll, func(now time.Time) { o.probe(ctx, now) }),
	}
	o.wait.Go(func() { o.reader(ctx) })
	o.wait.Go(func() { o.lister(ctx) })
	o.urge()
	o.loop(ctx)
	for _, stop := range stops {
		stop()
	}
	o.wait.Wait()
	return nil
}

func (o *Coordinator) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.nudge:
		}
		o.do(ctx, o.node.Tick(o.d.Ticker.Now()))
		// Whatever comes within this time shares the next tick and its messages.
		if !pause(ctx, calm) {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// do carries out what a tick asks for.
func (o *Coordinator) do(ctx context.Context, s Step) {
	if s.Woke > 0 {
		o.count.woke.Inc(1)
		o.d.Logger.Warn().Dur("after", s.Woke).Msg("the process was suspended")
	}
	for _, m := range s.Open {
		o.d.Links.Open(m.VM, m.Address)
	}
	for _, m := range s.Sends {
		o.count.messages.Inc(1)
		o.d.Links.Send(m.To, m.Message)
	}
	for _, c := range s.Claims {
		o.wait.Go(func() { o.append(ctx, c) })
	}
	if s.More {
		o.signal()
	}
}

// append writes one claim. Whatever the answer, only reading it back counts: an
// append whose answer was lost may have landed, and one that landed may have
// lost to another.
func (o *Coordinator) append(ctx context.Context, c recorder.Claim) {
	data, err := recorder.Wrap(recorder.KindClaim, c)
	if err == nil {
		limited, cancel := context.WithTimeout(ctx, o.c.Timings.Lease)
		_, err = o.d.Log.Append(limited, recorder.ClaimStream, data)
		cancel()
	}
	if err != nil {
		o.count.failed.Inc(1)
		return
	}
	o.count.claims.Inc(1)
	o.d.Logger.Info().Str("vm", c.VM).Int("upstreams", len(c.Upstreams)).Int("seats", len(c.Seats)).
		Bool("handed", c.Handed).Bool("given", c.Given).Msg("claim appended")
}

// reader follows the claims.
func (o *Coordinator) reader(ctx context.Context) {
	lease := o.c.Timings.Lease
	for ctx.Err() == nil {
		began := o.d.Ticker.Now()
		limited, cancel := context.WithTimeout(ctx, lease)
		b, err := o.d.Log.Read(limited, recorder.ClaimStream, o.node.From(), mostClaims, lease/quarters)
		cancel()
		if err != nil {
			pause(ctx, rest)
			continue
		}
		o.node.Read(began, o.d.Ticker.Now(), b)
		o.urge()
	}
}

// lister follows the list of VMs.
func (o *Coordinator) lister(ctx context.Context) {
	for {
		limited, cancel := context.WithTimeout(ctx, o.c.Timings.Listing)
		list, err := o.d.List.VMs(limited)
		cancel()
		if err == nil {
			o.node.List(o.d.Ticker.Now(), list)
		}
		if !pause(ctx, o.c.Timings.Listing) {
			return
		}
	}
}

// receive takes in a message from another VM.
func (o *Coordinator) receive(from lender.Who, m Message) {
	if o.node.Handle(o.d.Ticker.Now(), from, m) {
		o.signal()
	}
	if m.Beat != nil && o.c.Heard != nil && m.Beat.VM == from.VM {
		o.c.Heard(from.VM, m.Beat.Version)
	}
	if m.Beat == nil || !m.beat() {
		o.urge()
	}
}

// probe asks upstreams for their load, each once at a time: a slow one must not
// hold up the others.
func (o *Coordinator) probe(ctx context.Context, now time.Time) {
	looks := o.node.Looks(now)
	o.count.held.Update(int64(len(looks)))
	for _, k := range looks {
		if _, busy := o.probes.LoadOrStore(k.Name, true); busy {
			continue
		}
		o.wait.Go(func() {
			defer o.probes.Delete(k.Name)
			o.look(ctx, k)
		})
	}
}

func (o *Coordinator) look(ctx context.Context, k Look) {
	limited, cancel := context.WithTimeout(ctx, o.c.Timings.Lease)
	defer cancel()
	asked := o.d.Ticker.Now()
	load, err := o.d.Prober.Load(limited, k.Address)
	if err != nil {
		return
	}
	// The report's own age counts from when it was asked for: it can't be newer.
	load.Taken = asked.Add(-load.Age)
	o.node.Loaded(asked, o.d.Ticker.Now(), k.Name, load)
	if k.Streams {
		asked = o.d.Ticker.Now()
		if boot, counts, err := o.d.Prober.Streams(limited, k.Address); err == nil {
			o.node.Streams(asked, o.d.Ticker.Now(), k.Name, boot, counts)
		}
	}
	o.urge()
}

// Leave hands over all that this VM holds and gives back its seat. It returns
// when that is done, when nobody is there to take it, or with an error when the
// context ends. Work in progress keeps its slots.
func (o *Coordinator) Leave(ctx context.Context) error {
	o.node.Leave()
	for {
		o.urge()
		if !pause(ctx, o.c.Timings.Step) {
			return ErrLeave.New("still holding upstreams: %v", ctx.Err())
		}
		if o.node.Left(o.d.Ticker.Now()) {
			return nil
		}
	}
}
