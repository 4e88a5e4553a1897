// Package ranker tells which teams use more than their share of a model now. It
// answers one team that sends most of the load. The order of waiting keeps such
// a team's prompts behind the others' here, but those already sent stand on
// every engine: without a rank the engines read a quiet team's question and a
// busy team's documents at the same pace, and the quiet team waits for work that
// was let in only because nobody else was there. The rank goes to the engines as
// a part of the priority, which they honour.
//
// It does not limit anyone: a team alone may use all there is.
package ranker

import (
	"math"
	"time"
)

const (
	// memory is the time constant over which use is remembered. Engines hold
	// work of some seconds; a memory shorter than that would call a team quiet
	// while its work still stands there, one of minutes would punish a burst
	// long after it.
	memory = 10 * time.Second
	// slack is how many times its share a team may use before it counts as
	// over it. Below it, the chance of a few long prompts would decide.
	slack = 1.5
	// least is the use in tokens below which a team is forgotten.
	least = 1
)

// A Ranker keeps the teams' use of one model at one VM. It is not safe for
// concurrent use.
type Ranker struct {
	teams map[string]*use
	// tokens and shares are the sums over all teams, as of at.
	tokens float64
	shares int
	at     time.Time
}

type use struct {
	tokens float64
	share  int
}

// New returns a Ranker that knows no team.
func New() *Ranker {
	return &Ranker{teams: make(map[string]*use)}
}

// Record counts a prompt of a team. All uses decay alike, so that instead of each
// being made smaller with time, the new ones count for more.
func (r *Ranker) Record(now time.Time, team string, share, tokens int) {
	r.age(now)
	u, ok := r.teams[team]
	if !ok {
		u = &use{}
		r.teams[team] = u
	}
	r.shares += share - u.share
	u.share = share
	u.tokens += float64(tokens)
	r.tokens += float64(tokens)
}

// age lets all use decay. It costs the number of teams, and so is done in steps
// of a tenth of the memory, in which use changes by less than the slack.
func (r *Ranker) age(now time.Time) {
	passed := now.Sub(r.at)
	if passed < memory/10 {
		return
	}
	if r.at.IsZero() {
		passed = 0
	}
	r.at = now
	left := math.Exp(-passed.Seconds() / memory.Seconds())
	r.tokens = 0
	for name, u := range r.teams {
		u.tokens *= left
		if u.tokens < least {
			r.shares -= u.share
			delete(r.teams, name)
			continue
		}
		r.tokens += u.tokens
	}
}

// OverShare tells whether a team uses more than its share beside the teams that send
// now.
func (r *Ranker) OverShare(now time.Time, team string) bool {
	r.age(now)
	u, ok := r.teams[team]
	if !ok || r.tokens == 0 || r.shares == 0 {
		return false
	}
	fair := r.tokens * float64(u.share) / float64(r.shares)
	return u.tokens > slack*fair
}
