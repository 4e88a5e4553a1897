// Package warmer simulates the cold start of an upstream: it crashes if it gets too many
// concurrent requests while cold, warms up with completed requests, and has a new boot
// number after each crash. It records the highest concurrency while cold, so that tests
// can check that a cold upstream was never overloaded. It reads no clock and is not safe
// for concurrent use.
package warmer

import (
	"strconv"
	"time"
)

// A Config configures a Warmer.
type Config struct {
	// Cold is the number of concurrent requests that a cold upstream can handle; with 0
	// it never crashes.
	Cold int
	// Warm is the number of completed requests after which the upstream is warm.
	Warm int
	// Fall is the downtime after a crash.
	Fall time.Duration
	// Started makes the upstream start warm.
	Started bool
}

// A Warmer is the cold start state of an upstream.
type Warmer struct {
	config Config
	boot   uint64
	cold   bool
	done   int
	until  time.Time
	falls  int
	peaks  map[uint64]int
}

// New returns a Warmer for an upstream that starts now.
func New(c Config, now time.Time) *Warmer {
	w := &Warmer{config: c, peaks: make(map[uint64]int)}
	w.restart(now)
	w.cold = !c.Started && c.Cold > 0 && c.Warm > 0
	return w
}

// Boot returns the boot number. Boot numbers increase; they are start times in Unix
// milliseconds, unless two starts fall into the same millisecond.
func (w *Warmer) Boot() uint64 { return w.boot }

// Cold reports whether the upstream is cold.
func (w *Warmer) Cold() bool { return w.cold }

// Down reports whether the upstream is down after a crash.
func (w *Warmer) Down(now time.Time) bool { return now.Before(w.until) }

// Enter records a request that raises the concurrency to n. It returns false if the
// upstream crashes from it, which loses all running requests.
func (w *Warmer) Enter(now time.Time, n int) bool {
	if !w.cold {
		return true
	}
	w.peaks[w.boot] = max(w.peaks[w.boot], n)
	if n <= w.config.Cold {
		return true
	}
	w.falls++
	w.until = now.Add(w.config.Fall)
	w.restart(now)
	return false
}

// Done records a completed request.
func (w *Warmer) Done() {
	w.done++
	if w.done >= w.config.Warm {
		w.cold = false
	}
}

// Turn makes the upstream cold again under a new boot number, which loses all running requests.
func (w *Warmer) Turn(now time.Time) { w.restart(now) }

func (w *Warmer) restart(now time.Time) {
	w.boot = max(w.boot+1, uint64(now.UnixMilli()))
	w.cold = true
	w.done = 0
}

// A Peak is the load that an upstream got while cold, in the format of GET /v1/peak.
type Peak struct {
	// Bears is the number of concurrent requests that it can handle while cold.
	Bears int `json:"bears"`
	// Falls is the number of crashes.
	Falls int `json:"falls"`
	// Peaks is the highest concurrency while cold, by boot number. It includes the
	// request that caused a crash.
	Peaks map[string]int `json:"peaks"`
}

// Peak returns the load so far.
func (w *Warmer) Peak() Peak {
	p := Peak{Bears: w.config.Cold, Falls: w.falls, Peaks: make(map[string]int, len(w.peaks))}
	for boot, n := range w.peaks {
		p.Peaks[strconv.FormatUint(boot, 10)] = n
	}
	return p
}
