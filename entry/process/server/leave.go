package server

import (
	"context"
	"time"
)

const (
	// settle is how long a leaving VM still takes new work after it has failed
	// its readiness: the platform's balancer looks every second or so, and a
	// caller whom it sends here in between should be served, not refused.
	settle = 2 * time.Second
	// outGrace is the same for a VM that operators have taken out.
	outGrace = 2 * time.Second
	// outEvery is how often a VM looks whether it is out.
	outEvery = 200 * time.Millisecond
	// handTime bounds handing over what is held.
	handTime = 5 * time.Second
	// cancelTime bounds waiting for engines to confirm cancels. What they do
	// not confirm by then, the sweep of another VM finds.
	cancelTime = 3 * time.Second
	// keepTime bounds waiting for the log to take the outcomes of keyed calls.
	keepTime = 3 * time.Second
	// closeTime bounds closing idle connections.
	closeTime = time.Second
)

// leave ends the process without cutting a request: it fails its readiness,
// hands over what it holds, refuses new work once the balancer has had time to
// look, waits for what runs, and sees its cancels confirmed. The wait for what
// runs ends at the settings' drain limit, which should be above the longest
// class of work: every request has ended by its own limit before that.
func (v *Server) leave() {
	v.leaving.Store(true)
	v.log.Info().Int("running", v.drainer.Running()).Msg("leaving")
	handed := make(chan struct{})
	go func() {
		defer close(handed)
		ctx, cancel := context.WithTimeout(context.Background(), handTime)
		defer cancel()
		if err := v.coordinator.Leave(ctx); err != nil {
			v.log.Warn().Err(err).Msg("not all was handed over")
		}
	}()
	time.Sleep(settle)
	v.drainer.StopAccepting("it is leaving")
	limit := time.Duration(v.settings.Limits.Drain)
	if !wait(limit, v.drainer.Wait) {
		v.log.Warn().Int("running", v.drainer.Running()).Msg("the drain limit cuts requests")
	}
	<-handed
	wait(cancelTime, v.canceller.Wait)
	if !wait(keepTime, v.deduplicator.Flush) {
		v.log.Warn().Int("outcomes", v.deduplicator.Pending()).Msg("the log did not take all outcomes of keyed calls")
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	v.close(ctx)
}

func wait(limit time.Duration, until func(context.Context) error) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return until(ctx) == nil
}

// outs follows whether operators have taken this VM, or its zone, out.
type outs struct {
	since time.Time
	shut  bool
}

// subscribeOut refuses new work while this VM is out. Its readiness fails at
// once; work that the balancer still sends is taken for a moment more, since a
// refusal helps nobody who was sent here before the balancer could know.
func (v *Server) subscribeOut() {
	v.ticker.Subscribe(outEvery, func(now time.Time) {
		switch out := v.isOut(); {
		case !out && v.out.shut && !v.leaving.Load():
			v.out = outs{}
			v.drainer.Resume()
			v.log.Info().Msg("back in service")
		case !out:
			v.out = outs{}
		case v.out.since.IsZero():
			v.out.since = now
			v.log.Info().Msg("taken out of service")
		case !v.out.shut && now.Sub(v.out.since) >= outGrace:
			v.out.shut = true
			v.drainer.StopAccepting("it is out of service")
		}
	})
}
