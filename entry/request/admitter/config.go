package admitter

import (
	"cmp"
)

// Values of Config.Queue.
const (
	// Fair is the queue that the package documentation describes.
	Fair = "fair"
	// FIFO is the baseline: a single first-come, first-served queue that rejects
	// requests only when it is full and whose head blocks everything behind it.
	FIFO = "first"
)

// Config configures an Admitter. A zero field takes its documented default.
type Config struct {
	// Queue is Fair (the default) or FIFO.
	Queue string
	// MaxRequests limits the length of the queue. The default is 4,096, with
	// which a team among 2,700 still finds room for its first request.
	MaxRequests int
	// MaxTokens limits the total length of the waiting prompts. The default is
	// 16 Mi tokens, about 64 MiB of request bodies, which a small VM can hold.
	MaxTokens int
	// BandBounds are the longest prompts of all bands but the last, in ascending
	// order. The default is 16 Ki, 64 Ki and 256 Ki tokens. In a band of this
	// width the longest prompt takes four times as long as the shortest, and so
	// delays it only a little. Every additional band would add a call of place
	// to each Next.
	BandBounds []int
	// BandWeights are the parts of the tokens that the bands receive while all
	// of them have requests. The default is 8, 4, 2 and 2. The shortest band
	// gets half, because its callers notice every second; the long bands get an
	// eighth each and are never starved.
	BandWeights []int
	// OutputTokenCost is the cost of an answer token in prompt tokens. The
	// default is 8: an engine reads about that many prompt tokens in the time
	// in which it generates one answer token over all its streams.
	OutputTokenCost int
	// OutputFraction is the fraction of MaxOutput that estimates assume. The
	// default is 1, so that a request that generates all its output still
	// finishes in time.
	OutputFraction float64
	// WaitFraction is the fraction of a request's spare time that it may be
	// expected to wait; the spare time is the time until its latest start.
	// The default is 0.5. The other half covers what estimates leave out, such
	// as a lost upstream or a stale report: a fleet that loses half of its
	// speed still finishes what it has admitted.
	WaitFraction float64
	// MarginFraction is the fraction of a request's time limit that must be left
	// besides its own service time for it to be placed; with less left it
	// expires. The default is 0.05, one second of twenty, for the requests ahead
	// of it in the upstream.
	MarginFraction float64
	// MaxTries limits the calls of place per band in one Next. The default is 2.
	MaxTries int
	// BypassFraction is the fraction of a request's time limit for which other
	// requests of its band may be placed before it while no upstream can take
	// it. The default is 0.125.
	BypassFraction float64
}

func (c Config) withDefaults() Config {
	c.Queue = cmp.Or(c.Queue, Fair)
	c.MaxRequests = cmp.Or(c.MaxRequests, 4096)
	c.MaxTokens = cmp.Or(c.MaxTokens, 16<<20)
	if c.BandBounds == nil {
		c.BandBounds = []int{16 << 10, 64 << 10, 256 << 10}
	}
	if c.BandWeights == nil {
		c.BandWeights = []int{8, 4, 2, 2}
	}
	c.OutputTokenCost = cmp.Or(c.OutputTokenCost, 8)
	c.OutputFraction = cmp.Or(c.OutputFraction, 1)
	c.WaitFraction = cmp.Or(c.WaitFraction, 0.5)
	c.MarginFraction = cmp.Or(c.MarginFraction, 0.05)
	c.MaxTries = cmp.Or(c.MaxTries, 2)
	c.BypassFraction = cmp.Or(c.BypassFraction, 0.125)
	return c
}
