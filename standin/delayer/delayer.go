// Package delayer shows what was true a while ago: the load reports of
// upstreams and the list of VMs lag. It reads no clock and takes no lock.
package delayer

import (
	"time"
)

// minTrim is how many outdated values are kept before they are dropped.
const minTrim = 64

// A Delayer keeps the values of the last lag.
type Delayer[T any] struct {
	lag  time.Duration
	list []Aged[T] // never empty, the oldest first
}

// Aged is a value and when it was noted.
type Aged[T any] struct {
	At    time.Time
	Value T
}

// New returns a Delayer whose value has always been v.
func New[T any](lag time.Duration, now time.Time, v T) *Delayer[T] {
	return &Delayer[T]{lag: lag, list: []Aged[T]{{now, v}}}
}

// Note sets the value from now on.
func (d *Delayer[T]) Note(now time.Time, v T) {
	d.list = append(d.list, Aged[T]{now, v})
	if i := d.find(now); i >= minTrim {
		d.list = append(d.list[:0], d.list[i:]...)
	}
}

// Noted is when the newest value was noted.
func (d *Delayer[T]) Noted() time.Time { return d.list[len(d.list)-1].At }

// Show returns the value as it was a lag ago, and the time it speaks of: a value
// noted long ago and unchanged since was still true a lag ago.
func (d *Delayer[T]) Show(now time.Time) Aged[T] {
	shown := d.list[d.find(now)]
	if until := now.Add(-d.lag); shown.At.Before(until) {
		shown.At = until
	}
	return shown
}

// find is the place of the newest value that is at least a lag old, else the
// first.
func (d *Delayer[T]) find(now time.Time) int {
	until := now.Add(-d.lag)
	for i := len(d.list) - 1; i > 0; i-- {
		if !d.list[i].At.After(until) {
			return i
		}
	}
	return 0
}
