package relayer

import (
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// mayGiveWay reports whether the request may be taken back from an upstream for a more
// urgent one: its stream can be started again at another, an attempt would be left for
// that, and it has not given way before.
func (j *job) mayGiveWay() bool {
	return j.service.Engine != nil && j.service.HasPriorities() && !j.gaveWay && !j.headerSent && !j.resumed &&
		j.route.Kind == matcher.Stream && j.route.Repeatable() && j.possibleRuns+1 < j.route.MaxAttempts
}

// watchWithdrawal ends the attempt if the leader asks for its placement back in time.
func (r *Relayer) watchWithdrawal(j *job, a *attempt) {
	if j.mayGiveWay() {
		a.grant.OnWithdrawal(a.watchdog.giveWay)
	}
}

// giveWay ends the attempt if no event has come and a retry is allowed. The retry is
// taken from the budget: the request reaches a second upstream.
func (w *watchdog) giveWay() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || w.eventSeen || !w.mayRetry() {
		return
	}
	w.timer.Stop()
	w.timer = nil
	w.gaveWay.Store(true)
	w.retryGranted.Store(true)
	w.cancel()
}

// handleWithdrawal handles an attempt that has given way. The upstream is not blamed, and
// may get the request again.
func (r *Relayer) handleWithdrawal(j *job, a *attempt) {
	j.gaveWay = true
	r.deps.Meter.Count("gaveway", 1)
	r.deps.Log.Info().Str("id", j.info.ID).Str("upstream", a.grant.Upstream.ID).Int("priority", j.priority()).Dur("after", r.deps.Now().Sub(a.sentAt)).
		Int("runs", j.possibleRuns).Msg("request gave way to a more urgent one")
}
