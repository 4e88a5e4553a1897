package admitter

import (
	"cmp"
)

// Values of Config.Queue.
const (
	// Fair is the queue that the package's comment describes.
	Fair = "fair"
	// First is the baseline: one queue, first come first served, that refuses
	// only when it is full and whose head blocks all behind it.
	First = "first"
)

// A Config sets an Admitter. A zero field takes the default named with it.
type Config struct {
	// Queue is Fair (the default) or First.
	Queue string
	// Requests bounds the queue's length; 4,096 by default, at which a team
	// of 2,700 still finds room for its first ask.
	Requests int
	// Tokens bounds the prompts that wait; 16 Mi tokens by default, about
	// 64 MiB of bodies, which a small VM can hold.
	Tokens int
	// Bounds are the longest prompts of all bands but the last, ascending:
	// 16 Ki, 64 Ki and 256 Ki tokens by default. In a band of this width the
	// longest takes four times as long as the shortest, and so delays it by
	// little; each band more would add one call of place to each Next.
	Bounds []int
	// Weights are the bands' parts of the tokens when all bands wait: 8, 4, 2
	// and 2 by default. The short band has half, because its callers feel
	// each second; the long ones keep an eighth each and are never starved.
	Weights []int
	// Answer is how many prompt tokens one answer token counts for in teams'
	// turns; 8 by default, as an engine reads about that many prompt tokens in
	// the time that it makes one answer token over all its streams.
	Answer int
	// Length is the part of Output that estimates reckon with; 1 by default,
	// so that an ask that uses all it asked for still ends in time.
	Length float64
	// Wait is the part of an ask's spare time that it may be expected to wait,
	// its spare time being what its limit leaves beside its own service; 0.5
	// by default. The other half is kept for what estimates leave out: an
	// upstream lost, a report that lags. A fleet that loses half of its speed
	// still ends what it let in.
	Wait float64
	// Margin is the part of an ask's limit that must be left beside its own
	// service for it to be placed; 0.05 by default, a second of twenty, for
	// what stands before it in the upstream. With less left it is given up.
	Margin float64
	// Tries bounds the calls of place per band in one Next; 2 by default.
	Tries int
	// Patience is the part of an ask's time for which others of its band may
	// be placed before it when it finds no place itself; 0.125 by default.
	Patience float64
}

func (c Config) withDefaults() Config {
	c.Queue = cmp.Or(c.Queue, Fair)
	c.Requests = cmp.Or(c.Requests, 4096)
	c.Tokens = cmp.Or(c.Tokens, 16<<20)
	if c.Bounds == nil {
		c.Bounds = []int{16 << 10, 64 << 10, 256 << 10}
	}
	if c.Weights == nil {
		c.Weights = []int{8, 4, 2, 2}
	}
	c.Answer = cmp.Or(c.Answer, 8)
	c.Length = cmp.Or(c.Length, 1)
	c.Wait = cmp.Or(c.Wait, 0.5)
	c.Margin = cmp.Or(c.Margin, 0.05)
	c.Tries = cmp.Or(c.Tries, 2)
	c.Patience = cmp.Or(c.Patience, 0.125)
	return c
}
