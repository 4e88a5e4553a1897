package server

import (
	"context"
	"time"
)

const (
	// readinessGrace is how long a VM that shuts down still accepts work after
	// its readiness check fails: the platform's load balancer polls about once
	// a second, and callers that it routes here in between should be served,
	// not refused.
	readinessGrace = 2 * time.Second
	// outOfServiceGrace is the same for a VM that operators have taken out of
	// service.
	outOfServiceGrace = 2 * time.Second
	// serviceStateInterval is how often a VM checks whether it is out of
	// service.
	serviceStateInterval = 200 * time.Millisecond
	// handoverTimeout bounds handing over what this VM holds.
	handoverTimeout = 5 * time.Second
	// cancelTimeout bounds waiting for engines to confirm cancels. Streams
	// whose cancels are not confirmed by then are found by another VM's sweep.
	cancelTimeout = 3 * time.Second
	// flushTimeout bounds waiting for the log to accept the outcomes of calls
	// with idempotency keys.
	flushTimeout = 3 * time.Second
	// closeTimeout bounds shutting down the HTTP servers.
	closeTimeout = time.Second
)

// shutDown ends the process without aborting requests: it fails the readiness
// checks, hands over what the VM holds, refuses new requests once the load
// balancer has had time to notice, waits for running requests, and waits for
// cancels to be confirmed. The wait for requests ends at the drain limit of the
// settings, which should be above the longest time limit of any class of work,
// so that every request has ended by its own limit before.
func (v *Server) shutDown() {
	v.leaving.Store(true)
	v.log.Info().Int("running", v.drainer.Running()).Msg("leaving")
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		defer cancel()
		if err := v.coordinator.Leave(ctx); err != nil {
			v.log.Warn().Err(err).Msg("handover incomplete")
		}
	}()
	time.Sleep(readinessGrace)
	v.drainer.StopAccepting("it is leaving")
	limit := time.Duration(v.settings.Limits.Drain)
	if !waitUntil(limit, v.drainer.Wait) {
		v.log.Warn().Int("running", v.drainer.Running()).Msg("drain limit reached, aborting requests")
	}
	<-handedOver
	waitUntil(cancelTimeout, v.canceller.Wait)
	if !waitUntil(flushTimeout, v.deduplicator.Flush) {
		v.log.Warn().Int("outcomes", v.deduplicator.Pending()).Msg("log did not accept all outcomes of calls with idempotency keys")
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	v.close(ctx)
}

// waitUntil calls until with a time limit and reports whether it returned no
// error.
func waitUntil(limit time.Duration, until func(context.Context) error) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return until(ctx) == nil
}

// serviceState tracks whether operators have taken this VM, or its zone, out of
// service.
type serviceState struct {
	outSince time.Time
	refusing bool
}

// subscribeServiceState makes the VM refuse new requests while it is out of
// service. Its readiness check fails at once, but requests are accepted for
// outOfServiceGrace more, as the load balancer may not have noticed yet.
func (v *Server) subscribeServiceState() {
	v.ticker.Subscribe(serviceStateInterval, func(now time.Time) {
		switch out := v.outOfService(); {
		case !out && v.serviceState.refusing && !v.leaving.Load():
			v.serviceState = serviceState{}
			v.drainer.Resume()
			v.log.Info().Msg("back in service")
		case !out:
			v.serviceState = serviceState{}
		case v.serviceState.outSince.IsZero():
			v.serviceState.outSince = now
			v.log.Info().Msg("taken out of service")
		case !v.serviceState.refusing && now.Sub(v.serviceState.outSince) >= outOfServiceGrace:
			v.serviceState.refusing = true
			v.drainer.StopAccepting("it is out of service")
		}
	})
}
