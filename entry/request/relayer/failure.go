package relayer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
	"github.com/heathervane/heathervane/entry/request/refuser"
)

// handleSendFailure handles an attempt without a response.
func (r *Relayer) handleSendFailure(ctx context.Context, j *job, a *attempt, f *carrier.SendError) outcome {
	id := a.grant.Upstream.ID
	if errors.Is(f, carrier.ErrWithheld) && ctx.Err() == nil {
		r.deps.Meter.Count("placements.returned", 1)
		j.tried = append(j.tried, r.unusableUpstreams(a.grant)...)
		return retryGranted
	}
	if f.Sent {
		j.possibleRuns++
	} else {
		j.declines++
	}
	if ctx.Err() != nil {
		return final
	}
	if a.watchdog.gaveWay.Load() {
		r.handleWithdrawal(j, a)
		return retryGranted
	}
	if a.watchdog.retryGranted.Load() {
		r.handleStall(j, a)
		return retryGranted
	}
	if isConnectionFailure(f) && r.isPathBroken(ctx, j, id) {
		r.recordFailure(j, a, id, f.Error())
		if !f.Sent {
			return retryGranted
		}
		return j.afterPossibleRun()
	}
	r.recordLoss(j, a, f)
	r.recordFailure(j, a, id, f.Error())
	// A reused connection that was closed is no evidence against the upstream.
	r.deps.Tracker.ReportFailure(r.deps.Now(), id, !f.Reused)
	if !f.Sent {
		return unsent
	}
	return j.afterPossibleRun()
}

// recordLoss tells the quarantine that an upstream may have crashed while it ran the
// request. It ignores errors other than a connection lost after the request was
// sent: an upstream that responds wrongly has not crashed.
func (r *Relayer) recordLoss(j *job, a *attempt, err error) {
	var f *carrier.SendError
	if (errors.As(err, &f) && !f.Sent) || !isConnectionLoss(err) {
		return
	}
	j.log.losses = r.deps.Quarantine.Lost(j.fingerprint, a.grant.Upstream.ID, a.grant.Upstream.StartedAt, j.suspectParts()...)
}

// suspectParts returns the parts of the prompt that may have crashed the upstream of an
// attempt: none once the answer of this attempt, or of an earlier one, went on.
func (j *job) suspectParts() []fingerprinter.Fingerprint {
	if j.begun {
		return nil
	}
	return j.parts
}

// isConnectionFailure reports whether an error may be due to the network path to the
// upstream: the connection could not be made, was lost, or timed out.
func isConnectionFailure(err error) bool {
	var f *carrier.SendError
	if errors.As(err, &f) && !f.Sent {
		return true
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return true
	}
	var network *net.OpError
	return isConnectionLoss(err) || (errors.As(err, &network) && network.Op == "dial")
}

// isConnectionLoss reports whether the upstream ended the connection prematurely.
func isConnectionLoss(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, errTruncatedEvent, errNoEvents, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// handleStall handles an attempt that its watchdog has ended. Upstreams that have
// answered other requests since it was sent are not blamed. The idle connections to
// the upstream are dropped: if only the network path from this VM is broken, each of
// them would stall in turn, while opening a new one detects it.
func (r *Relayer) handleStall(j *job, a *attempt) {
	if a.peer != "" {
		r.deps.Peers.Avoid(j.service.Name, a.peer)
		r.recordFailure(j, a, a.peer, "VM stalled")
		return
	}
	r.deps.Carrier.CloseIdle(a.grant.Upstream.Address)
	if r.isPathBroken(context.Background(), j, a.grant.Upstream.ID) {
		r.recordFailure(j, a, a.grant.Upstream.ID, "upstream stalled; this VM reaches none")
		return
	}
	blamed := r.deps.Tracker.ReportStall(r.deps.Now(), a.sentAt, a.upstreams())
	if slices.Contains(blamed, a.grant.Upstream.ID) {
		j.log.losses = r.deps.Quarantine.Lost(j.fingerprint, a.grant.Upstream.ID, a.grant.Upstream.StartedAt, j.suspectParts()...)
	}
	r.recordFailure(j, a, a.grant.Upstream.ID, "upstream stalled; blamed: "+strings.Join(blamed, " "))
	j.tried = append(j.tried, blamed...)
}

// handleDecline handles a response that says that the request did not run.
func (r *Relayer) handleDecline(ctx context.Context, j *job, a *attempt) outcome {
	id := a.grant.Upstream.ID
	for _, h := range a.grant.Helpers {
		if a.response.FaultyAddress != "" && h.Address == a.response.FaultyAddress {
			id = h.ID
			r.RecordAnnouncements(h.Upstream, ResponseInfo{ID: a.response.ID, Backoff: a.response.Backoff})
		}
	}
	j.declines++
	r.recordFailure(j, a, id, "upstream declined")
	if a.response.Misdirected {
		r.deps.Tracker.ReportReplaced(id)
		return retryable
	}
	// An engine that declines to help is leaving or gone. One that declines a
	// request of its own may just be full.
	byHelper := id != a.grant.Upstream.ID
	r.deps.Tracker.ReportFailure(r.deps.Now(), id, byHelper)
	if byHelper {
		r.deps.Tracker.ReportLeaving(r.deps.Now(), id)
		r.deps.Prober.Probe(ctx, j.service)
	}
	return retryable
}

// recordInterruption handles a response that ended before it was complete. broken is set
// if the upstream is to be avoided for it.
func (r *Relayer) recordInterruption(ctx context.Context, j *job, a *attempt, cause string, err error, broken bool) {
	if a.peer != "" {
		r.deps.Peers.Avoid(j.service.Name, a.peer)
		r.recordFailure(j, a, a.peer, cause+": "+err.Error())
		return
	}
	id := a.grant.Upstream.ID
	if isConnectionFailure(err) && r.isPathBroken(ctx, j, id) {
		r.recordFailure(j, a, id, cause+": "+err.Error())
		return
	}
	r.recordLoss(j, a, err)
	r.recordFailure(j, a, id, cause+": "+err.Error())
	r.deps.Tracker.ReportFailure(r.deps.Now(), id, broken)
}

// recordFailure logs a failed attempt and adds the upstream to those tried.
func (r *Relayer) recordFailure(j *job, a *attempt, upstream, cause string) {
	j.tried = append(j.tried, upstream)
	j.log.cause = cause
	r.deps.Meter.Count("failures", 1)
	r.deps.Log.Info().Str("id", j.info.ID).Stringer("fingerprint", j.fingerprint).Str("upstream", upstream).Str("cause", cause).
		Int("runs", j.possibleRuns).Int("refused", j.declines).Int("losses", j.log.losses).
		Strs("parts", j.info.PromptParts).Bool("begun", a.begun).Msg("attempt failed")
}

// failureRefusal returns the refusal of a request that no upstream answered and that
// must not be sent again.
func (r *Relayer) failureRefusal(ctx context.Context, j *job) *refuser.Refusal {
	if after, held := r.deps.Quarantine.Held(j.fingerprint, j.parts...); held && j.possibleRuns == 0 {
		return r.quarantineRefusal(j, after)
	}
	return j.failureRefusal(ctx)
}

func (j *job) failureRefusal(ctx context.Context) *refuser.Refusal {
	switch {
	case j.possibleRuns == 0:
		return refuser.New(http.StatusServiceUnavailable, "declined", "no upstream accepted the request").WithRetryAfter(retryAfter)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refuser.New(http.StatusGatewayTimeout, "timeout", "time limit exceeded").WithRan(refuser.RanUnknown)
	}
	return lostRefusal()
}

func lostRefusal() *refuser.Refusal {
	return refuser.New(http.StatusBadGateway, "lost", "an upstream accepted the request, but its response was lost").WithRan(refuser.RanUnknown)
}

// correctRan replaces a refusal that reports the request as not run if an earlier
// attempt may have run it.
func (j *job) correctRan(f *refuser.Refusal) *refuser.Refusal {
	if j.possibleRuns == 0 || f.Status != http.StatusServiceUnavailable {
		return f
	}
	return lostRefusal()
}
