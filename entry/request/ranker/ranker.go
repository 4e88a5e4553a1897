// Package ranker determines which teams currently use more than their share of a
// model. It is for the case that one team sends most of the load. The queue of this
// VM puts such a team's prompts behind those of others, but prompts already sent
// occupy every engine: without a rank, the engines would serve a small team's
// question and a busy team's documents at the same pace, and the small team would
// wait for work that was admitted only because nobody else was there. The rank is
// passed to the engines as part of the priority, which they honour.
//
// It limits nobody: a team that is alone may use all capacity.
package ranker

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant with which recorded use decays. Engines hold
	// work for some seconds: with a shorter time constant a team would count as
	// quiet while its work still occupies them, and with one of minutes a burst
	// would count against the team long afterwards.
	decayTime = 10 * time.Second
	// tolerance is how many times its share a team may use before it counts as
	// over its share. With a lower value, a few long prompts would decide by
	// chance.
	tolerance = 1.5
	// minTokens is the use in tokens below which a team is removed.
	minTokens = 1
)

// Ranker tracks the teams' use of one model at one VM. It is not safe for
// concurrent use.
type Ranker struct {
	teams map[string]*usage
	// tokens and shares are the sums over all teams, as of at.
	tokens float64
	shares int
	at     time.Time
}

type usage struct {
	tokens float64
	share  int
}

// New returns a Ranker without any recorded use.
func New() *Ranker {
	return &Ranker{teams: make(map[string]*usage)}
}

// Record adds a team's use of tokens. The team's share replaces the one given
// before.
func (r *Ranker) Record(now time.Time, team string, share, tokens int) {
	r.decay(now)
	u, ok := r.teams[team]
	if !ok {
		u = &usage{}
		r.teams[team] = u
	}
	r.shares += share - u.share
	u.share = share
	u.tokens += float64(tokens)
	r.tokens += float64(tokens)
}

// decay reduces all recorded use by the elapsed time. Its cost is proportional to
// the number of teams, so that it runs in steps of a tenth of decayTime, in which use
// changes by less than the tolerance.
func (r *Ranker) decay(now time.Time) {
	elapsed := now.Sub(r.at)
	if elapsed < decayTime/10 {
		return
	}
	if r.at.IsZero() {
		elapsed = 0
	}
	r.at = now
	factor := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
	r.tokens = 0
	for name, u := range r.teams {
		u.tokens *= factor
		if u.tokens < minTokens {
			r.shares -= u.share
			delete(r.teams, name)
			continue
		}
		r.tokens += u.tokens
	}
}

// OverShare reports whether a team uses more than its share, relative to the teams
// with recent use.
func (r *Ranker) OverShare(now time.Time, team string) bool {
	r.decay(now)
	u, ok := r.teams[team]
	if !ok || r.tokens == 0 || r.shares == 0 {
		return false
	}
	fairUse := r.tokens * float64(u.share) / float64(r.shares)
	return u.tokens > tolerance*fairUse
}
