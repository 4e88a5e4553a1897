// Package warmer is the cold state of an upstream: how it falls over when it is
// given too much while cold, gets warm by completed requests, and has a new
// boot number after each fall. It counts what came at once while cold, so that
// a test can see whether a cold upstream ever got more than it bears. It reads
// no clock and takes no lock.
package warmer

import (
	"strconv"
	"time"
)

// A Config says how cold an upstream starts and how much it bears.
type Config struct {
	// Cold is how many requests at once it bears while cold; 0 means that it
	// never falls over.
	Cold int
	// Warm is after how many completed requests it is warm.
	Warm int
	// Fall is how long it is down after it fell over.
	Fall time.Duration
	// Started has it start warm.
	Started bool
}

// A Warmer is the state of one upstream.
type Warmer struct {
	config Config
	boot   uint64
	cold   bool
	done   int
	until  time.Time
	falls  int
	peaks  map[uint64]int
}

// New returns the state of an upstream that starts now.
func New(c Config, now time.Time) *Warmer {
	w := &Warmer{config: c, peaks: make(map[uint64]int)}
	w.restart(now)
	w.cold = !c.Started && c.Cold > 0 && c.Warm > 0
	return w
}

// Boot is the number of the present start. Numbers only rise; they are Unix
// milliseconds unless two starts share one.
func (w *Warmer) Boot() uint64 { return w.boot }

// Cold says whether it is cold.
func (w *Warmer) Cold() bool { return w.cold }

// Down says whether it lies fallen over.
func (w *Warmer) Down(now time.Time) bool { return now.Before(w.until) }

// Enter counts a request that brings those at once to n. It returns false where
// the upstream falls over from it: then everything in it is gone.
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

// Done counts a completed request.
func (w *Warmer) Done() {
	w.done++
	if w.done >= w.config.Warm {
		w.cold = false
	}
}

// Turn makes it cold again with a new boot number; everything in it is gone.
func (w *Warmer) Turn(now time.Time) { w.restart(now) }

func (w *Warmer) restart(now time.Time) {
	w.boot = max(w.boot+1, uint64(now.UnixMilli()))
	w.cold = true
	w.done = 0
}

// A Peak is what an upstream was given while cold, as GET /v1/peak shows it.
type Peak struct {
	// Bears is how many requests at once it bears while cold.
	Bears int `json:"bears"`
	// Falls counts how often it fell over.
	Falls int `json:"falls"`
	// Peaks is the highest number of requests at once while cold, by boot
	// number. A fall counts the request that caused it.
	Peaks map[string]int `json:"peaks"`
}

// Peak returns the counts so far.
func (w *Warmer) Peak() Peak {
	p := Peak{Bears: w.config.Cold, Falls: w.falls, Peaks: make(map[string]int, len(w.peaks))}
	for boot, n := range w.peaks {
		p.Peaks[strconv.FormatUint(boot, 10)] = n
	}
	return p
}
