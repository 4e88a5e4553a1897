package tracker

import (
	"math"
	"time"
)

// halfLife is the half-life of recorded outcomes. An upstream that fails some of its
// requests shows about two failures per second under the usual load; with two seconds
// it stays out of favour for as long as it fails.
const halfLife = 2 * time.Second

// Outcomes counts failed and answered requests, with exponential decay.
type Outcomes struct {
	Failed, Answered float64
	decayedAt        time.Time
}

// Add adds failures and answers.
func (o *Outcomes) Add(now time.Time, failed, answered float64) {
	o.Decay(now)
	o.Failed += failed
	o.Answered += answered
}

// Decay reduces the counts by the time that has passed since the last update.
func (o *Outcomes) Decay(now time.Time) {
	factor := math.Exp2(-now.Sub(o.decayedAt).Seconds() / halfLife.Seconds())
	o.Failed *= factor
	o.Answered *= factor
	o.decayedAt = now
}
