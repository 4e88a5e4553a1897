package relayer

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/request/trimmer"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// Headers of requests that one VM forwards to another.
const (
	// fromHeader names the VM that forwards the request.
	fromHeader = "Heathervane-From"
	// elapsedHeader is the time since the request arrived there, in milliseconds.
	elapsedHeader = "Heathervane-Elapsed"
	// versionHeader is the version of the configuration in force there. A response has the
	// version by which the request was served.
	versionHeader = "Heathervane-Version"
	// runsHeader is how often the request may have run already, and countedHeader is set
	// if it counts in the retry budget.
	runsHeader    = "Heathervane-Runs"
	countedHeader = "Heathervane-Counted"
	// eventHeader is the last event of the stream that the caller has from there.
	eventHeader = "Heathervane-Event"
)

// declinedHeader, in the response of a VM, says that it does not take a forwarded request,
// and why. Another VM may take it. All its responses have refuser.VMHeader, which those
// of earlier builds lack.
const declinedHeader = "Heathervane-Declined"

const (
	// configWait is how long a forwarded request waits for the version of the
	// configuration that is in force at the VM from which it comes, and
	// configPollInterval how often that is checked. It waits for at most the time left to
	// its caller divided by configWaitDivisor, so that it can still be declined in time:
	// the caller of one that is not would be told that it may have run.
	configWait         = 500 * time.Millisecond
	configPollInterval = 10 * time.Millisecond
	configWaitDivisor  = 2
	// peerCheckInterval is after how long without a response a VM to which a request was
	// forwarded must be live.
	peerCheckInterval = 250 * time.Millisecond
)

// Reachability tells whether this VM can reach the upstreams of a service. Without it
// the upstreams would be blamed for a network partition of this VM.
type Reachability interface {
	// ReportFailure records that a connection to an upstream failed, or that a request on
	// it made no progress. It waits for a check of the service's upstreams, if one is
	// running, and reports whether they are unreachable.
	ReportFailure(ctx context.Context, service, upstream string) (unreachable bool)
	// Unreachable reports whether the upstreams of a service are unreachable. Confirm
	// reports the same, after a check if the last one is too old: a VM that gets few
	// requests may not have noticed yet that its path is broken.
	Unreachable(service string) bool
	Confirm(ctx context.Context, service string) (unreachable bool)
}

// Peers are the VMs to which requests may be forwarded.
type Peers interface {
	// Candidates returns the VMs that a request of a service tries, in order.
	Candidates(service string) []allocator.Member
	// Avoid records that a VM declined a request or could not be reached, and Accepted that
	// it accepted one.
	Avoid(service, vm string)
	Accepted(service, vm string)
	// IsLive reports whether a VM sends heartbeats.
	IsLive(vm string) bool
}

// IsForwarded reports whether another VM forwarded a request. Only connections of other
// VMs may be asked: callers could set the header too.
func IsForwarded(q *http.Request) bool { return q.Header.Get(fromHeader) != "" }

// ServeForwarded serves a request that another VM has forwarded because it reaches no
// upstream of the service. This VM does not forward it again.
func (r *Relayer) ServeForwarded(w http.ResponseWriter, q *http.Request) {
	r.deps.Meter.Count("forwarded.received", 1)
	w.Header().Set(refuser.VMHeader, r.deps.VM)
	defer r.activeForwarded.Add(-1)
	if r.activeForwarded.Add(1) > int64(r.deps.MaxForwarded) {
		w.Header().Set(declinedHeader, "busy")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	j := &job{request: q, forwarded: true}
	j.log.from = q.Header.Get(fromHeader)
	j.arrivedAt = r.deps.Now().Add(-time.Duration(parseCount(q.Header.Get(elapsedHeader))) * time.Millisecond)
	j.minVersion = parseCount(q.Header.Get(versionHeader))
	j.earlierRuns = int(parseCount(q.Header.Get(runsHeader)))
	j.possibleRuns = j.earlierRuns
	j.recorded = q.Header.Get(countedHeader) != ""
	lastEventID := q.Header.Get(eventHeader)
	for _, name := range []string{fromHeader, elapsedHeader, versionHeader, runsHeader, countedHeader, eventHeader} {
		q.Header.Del(name)
	}
	j.info = r.deps.Protocol.ParseRequest(q.Header)
	if lastEventID != "" {
		j.info.LastEventID, j.resumed = lastEventID, true
	}
	r.serve(w, j)
}

// parseCount returns the number in a header, or 0 if there is none.
func parseCount(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// awaitVersion waits until the configuration in force is at least as new as the one that
// another VM has applied to the request, or to an earlier one of this VM. An older one could
// refuse it, or send it elsewhere.
func (r *Relayer) awaitVersion(j *job, table *matcher.Table) *matcher.Table {
	now := r.deps.Now()
	wait := configWait
	if j.info.Timeout > 0 {
		wait = min(wait, j.arrivedAt.Add(j.info.Timeout).Sub(now)/configWaitDivisor)
	}
	for end := now.Add(wait); table != nil && table.Version < j.minVersion && r.deps.Now().Before(end); {
		t := time.NewTimer(configPollInterval)
		select {
		case <-t.C:
		case <-j.request.Context().Done():
			t.Stop()
			return table
		}
		table = r.deps.Table()
	}
	return table
}

// mustDecline reports whether another VM has forwarded the request to this one, which
// reaches no upstream either and has not sent the request to any.
func (r *Relayer) mustDecline(j *job) bool {
	return j.forwarded && j.possibleRuns == j.earlierRuns && r.deps.Reachability.Unreachable(j.service.Name)
}

func unreachableRefusal() *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, "unreachable", "this VM reaches no upstream of the service").WithRetryAfter(retryAfter)
}

// canForward reports whether the request is to be forwarded to another VM.
func (r *Relayer) canForward(j *job) bool {
	return !j.forwarded && r.deps.Reachability.Unreachable(j.service.Name) && len(r.deps.Peers.Candidates(j.service.Name)) > 0
}

// isPathBroken records a failed connection to an upstream. It reports whether this VM's
// path is broken, so that the failure says nothing of the upstream. If no other VM takes
// the requests either, the upstreams count as down.
func (r *Relayer) isPathBroken(ctx context.Context, j *job, upstream string) bool {
	return r.deps.Reachability.ReportFailure(ctx, j.service.Name, upstream) && len(r.deps.Peers.Candidates(j.service.Name)) > 0
}

// forward sends the request to another VM, which serves it in place of this one. The
// outcome is notForwarded if no VM takes it.
func (r *Relayer) forward(ctx context.Context, j *job) (*attempt, outcome) {
	service := j.service.Name
	for _, m := range r.deps.Peers.Candidates(service) {
		attemptCtx, cancel := context.WithCancel(ctx)
		a := &attempt{peer: m.VM, cancel: cancel, sentAt: r.deps.Now()}
		a.watchdog = r.startPeerWatchdog(j, m.VM, cancel)
		x, failure := r.deps.PeerCarrier.Send(attemptCtx, m.Address.String(), r.newForwardedRequest(j, a.sentAt))
		if failure != nil {
			a.close()
			if failure.Sent {
				j.possibleRuns++
			}
			if ctx.Err() != nil {
				return nil, final
			}
			r.deps.Peers.Avoid(service, m.VM)
			r.recordFailure(j, a, m.VM, "forwarding failed: "+failure.Error())
			switch {
			case a.watchdog.retryGranted.Load():
				return nil, retryGranted
			case failure.Sent:
				return nil, j.afterPossibleRun()
			}
			continue
		}
		a.exchange = x
		if cause, declined := isDeclined(x); declined {
			a.close()
			r.deps.Peers.Avoid(service, m.VM)
			r.deps.Meter.Count("forwarded.declined", 1)
			r.deps.Log.Info().Str("id", j.info.ID).Str("peer", m.VM).Str("service", service).Str("cause", cause).Msg("another VM declined a request")
			continue
		}
		r.deps.Peers.Accepted(service, m.VM)
		r.deps.Meter.Count("forwarded", 1)
		r.recordPeerVersion(parseCount(x.Header.Get(versionHeader)))
		x.Header.Del(refuser.VMHeader)
		x.Header.Del(versionHeader)
		a.response = r.deps.Protocol.ParseResponse(x.Status, x.Header)
		j.possibleRuns++
		j.log.peer = m.VM
		return a, answered
	}
	return nil, notForwarded
}

// startPeerWatchdog starts the watchdog of an attempt at another VM. It ends the attempt if
// that VM sends no heartbeats: a paused process keeps its connections open. A request may
// well wait at a VM that is live.
func (r *Relayer) startPeerWatchdog(j *job, vm string, cancel context.CancelFunc) *watchdog {
	w := &watchdog{now: r.deps.Now, cancel: cancel}
	if !j.route.Repeatable() || j.possibleRuns+1 >= j.route.MaxAttempts {
		return w
	}
	w.start(peerCheckInterval, func() bool { return !r.deps.Peers.IsLive(vm) && r.takeRetry(j) })
	return w
}

// recordPeerVersion records the version of the configuration by which another VM has served a
// request of this one.
func (r *Relayer) recordPeerVersion(version int64) {
	for old := r.peerVersion.Load(); version > old && !r.peerVersion.CompareAndSwap(old, version); {
		old = r.peerVersion.Load()
	}
}

// isDeclined reports whether a VM has not taken a forwarded request, and why.
func isDeclined(x *carrier.Exchange) (cause string, declined bool) {
	if x.Header.Get(refuser.VMHeader) == "" {
		return "forwarding not supported", true
	}
	cause = x.Header.Get(declinedHeader)
	return cause, cause != ""
}

func (r *Relayer) newForwardedRequest(j *job, now time.Time) carrier.Request {
	h := trimmer.EndToEndHeaders(j.request.Header)
	h.Del("Expect")
	h.Del("Content-Length")
	if keys := j.request.Header.Values("Authorization"); len(keys) > 0 {
		h["Authorization"] = keys
	}
	h.Set(fromHeader, r.deps.VM)
	h.Set(elapsedHeader, strconv.FormatInt(now.Sub(j.arrivedAt).Milliseconds(), 10))
	h.Set(versionHeader, strconv.FormatInt(max(j.configVersion, j.minVersion), 10))
	h.Set(runsHeader, strconv.Itoa(j.possibleRuns))
	h.Del(countedHeader)
	if j.recorded {
		h.Set(countedHeader, "1")
	}
	h.Del(eventHeader)
	if j.headerSent && j.lastEventID != "" {
		h.Set(eventHeader, j.lastEventID)
	}
	return carrier.Request{
		Method: j.request.Method, Target: j.request.RequestURI, Host: j.request.Host, Header: h, Body: j.body.Data,
		NewConnection: !j.route.Repeatable(),
	}
}
