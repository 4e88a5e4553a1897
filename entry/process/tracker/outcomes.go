package tracker

import (
	"math"
	"time"
)

// halfLife is how fast outcomes are forgotten. An upstream that fails a part of
// its requests shows about two failures a second under today's load, so that
// two seconds keep it disliked while it goes on.
const halfLife = 2 * time.Second

// Outcomes are how many requests an upstream failed and answered lately: older
// ones count for less.
type Outcomes struct {
	Failed, Answered float64
	at               time.Time
}

// Add counts outcomes.
func (o *Outcomes) Add(now time.Time, failed, answered float64) {
	o.Decay(now)
	o.Failed += failed
	o.Answered += answered
}

// Decay lets what was counted count for less with time.
func (o *Outcomes) Decay(now time.Time) {
	left := math.Exp2(-now.Sub(o.at).Seconds() / halfLife.Seconds())
	o.Failed *= left
	o.Answered *= left
	o.at = now
}
