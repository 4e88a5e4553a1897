package follower

import (
	"github.com/rcrowley/go-metrics"

	"github.com/heathervane/heathervane/library/folder"
)

// counts holds the Follower's metrics.
type counts struct {
	version, read              metrics.Gauge
	accepted, refused, ignored metrics.Counter
	broken, back, gaps, errors metrics.Counter
	adopted, checkpoints       metrics.Counter
	disagreed                  metrics.Counter
}

func newCounts(r metrics.Registry) counts {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return counts{
		version:     metrics.GetOrRegisterGauge("config.version", r),
		read:        metrics.GetOrRegisterGauge("config.read", r),
		accepted:    counter("config.accepted"),
		refused:     counter("config.refused"),
		ignored:     counter("config.ignored"),
		broken:      counter("config.broken"),
		back:        counter("config.back"),
		gaps:        counter("config.gaps"),
		errors:      counter("config.errors"),
		adopted:     counter("config.adopted"),
		checkpoints: counter("config.checkpoints"),
		disagreed:   counter("config.disagreed"),
	}
}

func (c counts) record(v folder.Verdict) {
	switch v.Outcome {
	case folder.Accepted:
		c.accepted.Inc(1)
	case folder.Refused:
		c.refused.Inc(1)
	default:
		c.ignored.Inc(1)
	}
	switch v.Reason {
	case folder.ReasonMalformed:
		c.broken.Inc(1)
	case folder.ReasonOldOffset:
		c.back.Inc(1)
	}
}
